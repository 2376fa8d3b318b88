// thistleyoke: one forwarder. Reads its configuration, serves until SIGTERM, then lets its calls end.
// SIGHUP rereads where discovery is.
#include <sys/resource.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>

#include "net/config.hpp"
#include "net/forwarder.hpp"

namespace {
constexpr auto kDrain = std::chrono::milliseconds(3'600);  // SIGKILL comes 3.7 s after SIGTERM at the soonest

// SIGHUP: discovery may have another address. A file of no use changes nothing.
void takeOver(const char* path, quilltide::net::Forwarder& forwarder) {
  try {
    const auto discovery = quilltide::net::readDiscovery(path);
    std::cerr << "SIGHUP: discovery is at " << discovery << std::endl;
    forwarder.moveDiscovery(discovery);
  } catch (const std::exception& problem) {
    std::cerr << "SIGHUP: nothing is taken over: " << problem.what() << std::endl;
  }
}

}  // namespace

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
    boost::asio::signal_set reload(
        io, SIGHUP);  // from here on: one that comes during recovery is kept for the loop
    net::Forwarder forwarder(io, config);
    std::function<void()> awaitReload = [&] {
      reload.async_wait([&](boost::system::error_code error, int) {
        if (error) return;
        takeOver(path, forwarder);
        awaitReload();
      });
    };
    awaitReload();
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
