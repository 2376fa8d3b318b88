// thistleyoke: one forwarder. Reads its configuration, serves until SIGTERM, then lets its calls end.
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "net/config.hpp"
#include "net/forwarder.hpp"

namespace {
constexpr auto kDrain = std::chrono::milliseconds(3'600);  // SIGKILL comes 3.7 s after SIGTERM at the soonest
}

int main() {
  using namespace quilltide;
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a full disk is an error to handle, not an end
  try {
    const char* path = std::getenv("PROXY_CONFIG");
    const char* state = std::getenv("PROXY_STATE");
    if (path == nullptr || state == nullptr)
      throw std::runtime_error("PROXY_CONFIG and PROXY_STATE must be set");
    const net::Config config = net::readConfig(path, state);
    boost::asio::io_context io(1);
    net::Forwarder forwarder(io, config);
    forwarder.start();
    boost::asio::signal_set signals(io, SIGTERM, SIGINT);
    signals.async_wait([&](boost::system::error_code error, int) {
      if (!error) forwarder.drain(kDrain, [&io] { io.stop(); });
    });
    std::cerr << config.name << " is ready" << std::endl;
    io.run();
    return 0;
  } catch (const std::exception& problem) {
    std::cerr << "thistleyoke: " << problem.what() << std::endl;
    return 1;
  }
}
