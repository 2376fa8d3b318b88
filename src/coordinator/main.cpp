// thistleyoke-coordinator: a coordination server. `run` serves until SIGTERM, `check` validates the
// configuration, `recover` makes a folder or its copy the only coordinator of its fleet.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iostream>

#include "clock/alarm.hpp"
#include "clock/clock.hpp"
#include "config/service_config.hpp"
#include "coordinator/coordinator.hpp"
#include "coordinator/recover.hpp"
#include "process/startup_signals.hpp"

namespace {

using namespace quilltide;

// Exit statuses. A folder error is not resolved by a restart.
constexpr int kExitFolderError = 2, kExitRuntimeFailure = 3;
constexpr auto kShutdownTimeout = std::chrono::seconds(3);

void configureLogging(const std::string& level) {
  auto logger = spdlog::stderr_logger_st("coordinator");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  logger->set_level(spdlog::level::from_str(level == "warn" ? "warning" : level));
  logger->flush_on(spdlog::level::trace);
  spdlog::set_default_logger(logger);
}

// SIGHUP changes nothing: a coordinator reads its settings at its start only.
void logReloadRequests(boost::asio::signal_set& signals, std::uint64_t id) {
  signals.async_wait([&signals, id](boost::system::error_code error, int) {
    if (error) return;
    spdlog::warn("event=not_reloaded id={} why=\"settings are read at the start only\"", id);
    logReloadRequests(signals, id);
  });
}

int run(const coordinator::Settings& settings, process::StartupSignals& startupSignals) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // a file size limit is reported as a write error
  boost::asio::io_context io(1);
  int status = 0;
  coordinator::Coordinator server(io, settings, [&](const std::string& why) {
    spdlog::error("event=cannot_go_on id={} why=\"{}\"", settings.id, why);
    status = kExitRuntimeFailure;
    io.stop();
  });
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  boost::asio::signal_set reloadSignals(io, SIGHUP);
  logReloadRequests(reloadSignals, settings.id);
  quilltide::clocks::Alarm shutdownAlarm(io);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (error) return;
    spdlog::info("event=ending id={}", settings.id);
    shutdownAlarm.armAfter(kShutdownTimeout, [&] { io.stop(); });
    server.close([&] { io.stop(); });
  });
  server.start();
  startupSignals.release();
  io.run();
  // Raft's files are consistent at any time, so open handles need no orderly shutdown.
  spdlog::info("event=ended id={} status={}", settings.id, status);
  spdlog::shutdown();
  std::_Exit(status);
}

}  // namespace

int main(int argc, char** argv) {
  process::StartupSignals startupSignals;
  CLI::App app("Coordination server: replicates the members, leases and values of a fleet.",
               "thistleyoke-coordinator");
  std::string file;
  app.add_option("--config", file, "as deploy/coordinator.toml")->required();
  app.require_subcommand(0, 1);
  app.fallthrough();
  app.add_subcommand("run", "serve until SIGTERM; also without a subcommand");
  CLI::App* check = app.add_subcommand("check", "validate the configuration, print all errors, and exit");
  CLI::App* recover = app.add_subcommand("recover",
                                         "make this folder the only coordinator of its fleet: after a "
                                         "majority was lost for good, or from a copy");
  std::uint32_t generation = 0;
  bool yes = false;
  recover->add_option("--generation", generation,
                      "tokens go on above this number; by default the seconds since 1970");
  recover->add_flag("--yes", yes,
                    "all other coordinators of the fleet are stopped, and their folders will not come back");
  CLI11_PARSE(app, argc, argv);
  try {
    const coordinator::Settings settings = coordinator::readSettings(file);
    if (check->parsed() || recover->parsed()) startupSignals.release();
    if (check->parsed()) {
      std::cout << "the configuration can be used\ncoordinator " << settings.id << " of "
                << settings.peers.size() + 1 << " in fleet '" << settings.fleet << "', HTTP at "
                << settings.listen << "\ndisk: at most " << coordinator::maxDiskBytes(settings) / 1'000'000
                << " MB with values and leases at their bounds, " << 3 * settings.segmentBytes / 1'000
                << " KB when idle\n";
      return 0;
    }
    if (recover->parsed()) {
      if (!yes) {
        std::cerr << "thistleyoke-coordinator: with --yes, if all other coordinators of '" << settings.fleet
                  << "' are stopped and will not come back with their folders: two fleets of one name would "
                     "grant the "
                     "same leases\n";
        return 1;
      }
      if (generation == 0) generation = static_cast<std::uint32_t>(clocks::wallNow() / 1'000'000);
      coordinator::recover(settings, generation);
      std::cout << "coordinator " << settings.id << " is the only coordinator of '" << settings.fleet
                << "' from its next start on; no session is opened for the longest term, "
                << settings.stateLimits.maxTtl / 1'000'000 << " s, after it leads\n";
      return 0;
    }
    configureLogging(settings.log);
    return run(settings, startupSignals);
  } catch (const net::ConfigErrors& problems) {
    for (const std::string& line : problems.lines)
      std::cerr << "thistleyoke-coordinator: " << line << std::endl;
    return 1;
  } catch (const coordinator::FolderError& problem) {
    std::cerr << "thistleyoke-coordinator: " << problem.what() << std::endl;
    return kExitFolderError;
  } catch (const boost::system::system_error& problem) {
    // what() would name a source file of the library.
    std::cerr << "thistleyoke-coordinator: " << problem.code().message() << std::endl;
    return 1;
  } catch (const std::exception& problem) {
    std::cerr << "thistleyoke-coordinator: " << problem.what() << std::endl;
    return 1;
  }
}
