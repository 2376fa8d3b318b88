// Finds addresses nobody uses.
#include "ports.hpp"

#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <stdexcept>

namespace quilltide::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

asio::ip::address ownLoopback() {
  const auto pid = static_cast<std::uint32_t>(::getpid());
  return asio::ip::address_v4((127U << 24) | (64U + (pid >> 16) % 64U) << 16 | (pid & 0xffffU));
}

tcp::endpoint freePort() {
  static std::atomic<unsigned> next{0};
  asio::io_context io;
  for (int tries = 0; tries < 1'000; ++tries) {
    const tcp::endpoint at(ownLoopback(), static_cast<unsigned short>(10'000 + next++ % 20'000));
    tcp::acceptor probe(io);
    boost::system::error_code taken;
    probe.open(at.protocol());
    probe.bind(at, taken);
    if (!taken) return at;
  }
  throw std::runtime_error("no port is free");
}

}  // namespace quilltide::standin
