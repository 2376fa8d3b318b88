// The stand-in directory as a program: lists the given targets and prints the number of notices received.
#include "directory.hpp"

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <boost/asio/signal_set.hpp>
#include <iostream>

using namespace quilltide::standin;

int main(int argc, char** argv) {
  CLI::App app("Stand-in directory for manual tests.", "thistleyoke-directory");
  std::vector<std::string> targets;
  int downAfter = 0, downFor = 0, seconds = 3'600;
  app.add_option("--target", targets, "UID=DESTINATION@ADDRESS:PORT, repeatable");
  app.add_option("--down-after", downAfter, "seconds until the outage (0: no outage)");
  app.add_option("--down-for", downFor, "length of the outage in seconds");
  app.add_option("--seconds", seconds, "seconds to run")->check(CLI::Range(1, 86'400));
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io;
  Directory directory(io);
  for (const std::string& target : targets) {
    const std::size_t equals = target.find('='), atSign = target.find('@', equals);
    if (equals == std::string::npos || atSign == std::string::npos) {
      std::cerr << "invalid --target, expected UID=DESTINATION@ADDRESS:PORT: " << target << std::endl;
      return 1;
    }
    directory.set(
        {target.substr(0, equals), target.substr(atSign + 1), std::stoll(target.substr(equals + 1))});
  }
  std::cout << "directory at " << directory.hostAndPort() << std::endl;
  boost::asio::steady_timer outageStart(io), outageEnd(io), reportTimer(io);
  if (downAfter > 0) {
    outageStart.expires_after(std::chrono::seconds(downAfter));
    outageStart.async_wait([&](boost::system::error_code error) {
      if (!error) directory.goOffline();
    });
    outageEnd.expires_after(std::chrono::seconds(downAfter + downFor));
    outageEnd.async_wait([&](boost::system::error_code error) {
      if (!error) directory.comeOnline();
    });
  }
  std::size_t reportedNotices = 0;
  std::function<void()> scheduleReport = [&] {
    reportTimer.expires_after(std::chrono::seconds(1));
    reportTimer.async_wait([&](boost::system::error_code error) {
      if (error) return;
      if (directory.notices().size() != reportedNotices)
        std::cout << "notices: " << directory.notices().size() << std::endl;
      reportedNotices = directory.notices().size();
      scheduleReport();
    });
  };
  scheduleReport();
  boost::asio::signal_set stopSignals(io, SIGINT, SIGTERM);
  stopSignals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run_for(std::chrono::seconds(seconds));
}
