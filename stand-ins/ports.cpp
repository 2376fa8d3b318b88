// Searches for unbound endpoints.
#include "ports.hpp"

#include <unistd.h>

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <stdexcept>

namespace quilltide::standin {

namespace asio = boost::asio;
using asio::ip::tcp;

asio::ip::address processLoopbackAddress() {
  const auto pid = static_cast<std::uint32_t>(::getpid());
  return asio::ip::address_v4((127U << 24) | (64U + (pid >> 16) % 64U) << 16 | (pid & 0xffffU));
}

tcp::endpoint findFreeEndpoint() {
  static std::atomic<unsigned> nextPort{0};
  asio::io_context io;
  for (int attempt = 0; attempt < 1'000; ++attempt) {
    const tcp::endpoint candidate(processLoopbackAddress(),
                                  static_cast<unsigned short>(10'000 + nextPort++ % 20'000));
    tcp::acceptor probe(io);
    boost::system::error_code bindError;
    probe.open(candidate.protocol());
    probe.bind(candidate, bindError);
    if (!bindError) return candidate;
  }
  throw std::runtime_error("no free port on the loopback address of this process");
}

}  // namespace quilltide::standin
