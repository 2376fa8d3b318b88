// Entry point of thistleyoke, one forwarder. `run` serves until SIGTERM and then drains its calls; `check`
// validates the configuration; `version` prints the version. SIGHUP reloads the address of the discovery
// service.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <iostream>
#include <utility>

#include "app/fleet_membership.hpp"
#include "app/folder_host.hpp"
#include "config/platform.hpp"
#include "config/service_config.hpp"
#include "process/startup_signals.hpp"

namespace {

using namespace quilltide::net;
using quilltide::process::StartupSignals;

constexpr int kExitFolderNotOwned = 4;  // another process owns the state folder
constexpr auto kDrainDuration =
    std::chrono::milliseconds(3'600);  // the platform sends SIGKILL 3.7 s after SIGTERM or later

// Handles SIGHUP: applies a changed discovery address. An invalid file changes nothing.
void reloadConfiguration(const std::string& path, FolderHost& folders) {
  try {
    const auto discovery = readDiscoveryAddress(path);
    std::cerr << "SIGHUP: discovery is at " << discovery << std::endl;
    folders.setDiscoveryAddress(discovery);
  } catch (const std::exception& problem) {
    std::cerr << "SIGHUP: configuration '" << path << "' not reloaded: " << problem.what() << std::endl;
  }
}

// Value of an environment variable, or `fallback` if it is not set.
std::string environmentOr(const char* variable, const std::string& fallback) {
  const char* value = std::getenv(variable);
  return value != nullptr ? value : fallback;
}

struct LoadedConfig {
  ServiceConfig service;
  std::string platformConfigPath;
  PlatformConfig config;
};

LoadedConfig loadConfig(const std::string& serviceConfigPath) {
  LoadedConfig loaded;
  if (!serviceConfigPath.empty()) loaded.service = readServiceConfig(serviceConfigPath);
  loaded.platformConfigPath = environmentOr("PROXY_CONFIG", loaded.service.platformConfigPath);
  const std::string stateFolder = environmentOr("PROXY_STATE", loaded.service.stateFolder);
  if (loaded.platformConfigPath.empty() || stateFolder.empty())
    throw std::runtime_error("PROXY_CONFIG and PROXY_STATE must be set");
  loaded.config = readPlatformConfig(loaded.platformConfigPath, stateFolder);
  if (!serviceConfigPath.empty()) validateAgainstPlatform(loaded.service, loaded.config, serviceConfigPath);
  return loaded;
}

// Runs the forwarder and handles signals. With a fleet, the forwarder starts when its folder is acquired.
class ForwarderProcess {
 public:
  ForwarderProcess(boost::asio::io_context& io, const LoadedConfig& loaded)
      : io_(io),
        loaded_(loaded),
        reloadSignals_(io, SIGHUP),
        stopSignals_(io, SIGTERM, SIGINT),
        folders_(io, loaded.config.discovery) {}

  void start() {
    waitForReload();
    stopSignals_.async_wait([this](boost::system::error_code error, int) {
      if (!error) shutDown();
    });
    if (!loaded_.service.fleet) return serve(nullptr);
    FleetSettings fleet = *loaded_.service.fleet;
    if (fleet.name.empty()) fleet.name = loaded_.config.name;
    membership_ = std::make_unique<FleetMembership>(
        io_, folders_, fleet, fleet.name, loaded_.platformConfigPath, loaded_.config.stateFolder,
        [this](std::uint64_t epoch) {
          boost::asio::post(io_, [this, epoch] { handleFolderAcquired(epoch); });
        });
    membership_->start();
  }
  int status() const { return status_; }

 private:
  void handleFolderAcquired(std::uint64_t epoch) {
    if (folders_.own() != nullptr) return folders_.renewOwn(epoch);
    if (!shuttingDown_) serveFolder(epoch);
  }

  void serveFolder(std::uint64_t epoch) {
    try {
      serve(std::make_unique<Ownership>(loaded_.config.stateFolder, epoch));
    } catch (const std::exception& problem) {
      std::cerr << "thistleyoke: " << problem.what() << std::endl;
      exitWith(kExitFolderNotOwned);
    }
  }

  void serve(std::unique_ptr<Ownership> ownership) {
    folders_.serveOwn(loaded_.config, loaded_.service, std::move(ownership), [this] {
      std::cerr << "another process has taken over the state folder; exiting" << std::endl;
      exitWith(kExitFolderNotOwned);
    });
    std::cerr << loaded_.config.name << " is ready" << std::endl;
    if (loaded_.service.http) std::cerr << "HTTP frontend at " << folders_.own()->httpAddress() << std::endl;
    if (std::exchange(reloadDeferred_, false)) reload();
  }

  void waitForReload() {
    reloadSignals_.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      reload();
      waitForReload();
    });
  }

  // Deferred until the forwarder serves: it starts with the configuration that was read first.
  void reload() {
    if (folders_.own() == nullptr) {
      reloadDeferred_ = true;
      return;
    }
    reloadConfiguration(loaded_.platformConfigPath, folders_);
  }

  void shutDown() {
    shuttingDown_ = true;
    if (membership_) membership_->stopClaiming();
    folders_.drain(kDrainDuration, [this] {
      if (!membership_) return io_.stop();
      const Forwarder* own = folders_.own();
      membership_->close(own != nullptr && own->engine().messageJournal().hasNoPendingMessages(),
                         [this] { io_.stop(); });
    });
  }

  void exitWith(int status) {
    status_ = status;
    io_.stop();
  }

  boost::asio::io_context& io_;
  const LoadedConfig& loaded_;
  boost::asio::signal_set reloadSignals_, stopSignals_;
  bool reloadDeferred_ = false;  // a SIGHUP came before the forwarder served
  bool shuttingDown_ = false;
  FolderHost folders_;
  std::unique_ptr<FleetMembership> membership_;
  int status_ = 0;
};

int run(const std::string& serviceConfigPath, StartupSignals& startupSignals) {
  std::signal(SIGPIPE, SIG_IGN);
  std::signal(SIGXFSZ, SIG_IGN);  // the file size limit is handled as a write error
  const LoadedConfig loaded = loadConfig(serviceConfigPath);
  if (startupSignals.shutdownRequested()) {
    std::cerr << "thistleyoke: stopped before the start" << std::endl;
    return 0;
  }
  boost::asio::io_context io(1);
  ForwarderProcess process(io, loaded);
  process.start();
  startupSignals.release();
  io.run();
  return process.status();
}

int check(const std::string& serviceConfigPath) {
  const LoadedConfig loaded = loadConfig(serviceConfigPath);
  const ResourceBudget budget = computeBudget(loaded.config, loaded.service);
  std::cout << "the configuration is valid\n"
            << "RESP2 frontend at " << loaded.config.listen << ", " << budget.resp.connections
            << " connections, " << budget.resp.requestBytes << " bytes of incomplete requests\n";
  if (loaded.service.http)
    std::cout << "HTTP frontend at " << loaded.service.http->listen << ", " << budget.http.connections
              << " connections, " << budget.http.requestBytes
              << " bytes of incomplete requests, final outcomes kept for "
              << loaded.service.outcomeRetention().duration / 1'000'000 << " s\n";
  std::cout << "targets: " << budget.targetConnections << " connections\n";
  if (loaded.service.fleet)
    std::cout << "fleet: " << quilltide::fleet::parseCoordinators(loaded.service.fleet->coordinators).size()
              << " coordinators, " << loaded.service.fleet->coordinators << ", terms of "
              << loaded.service.fleet->leaseTermMs << " ms, "
              << (loaded.service.fleet->takeOverEnabled ? "takes over" : "does not take over") << "\n";
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  StartupSignals startupSignals;
  CLI::App app("Delivers messages to external systems over HTTP.", "thistleyoke");
  std::string serviceConfigPath;
  app.add_option("--config", serviceConfigPath,
                 "path of the service configuration, for example deploy/thistleyoke.toml");
  app.require_subcommand(0, 1);
  app.fallthrough();
  app.add_subcommand("run", "serve until SIGTERM; also without a subcommand");
  CLI::App* checkCommand =
      app.add_subcommand("check", "check the configuration, report all errors, and exit");
  CLI::App* versionCommand = app.add_subcommand("version", "print the version and exit");
  CLI11_PARSE(app, argc, argv);
  try {
    if (versionCommand->parsed()) {
      std::cout << "thistleyoke " << THISTLEYOKE_VERSION << std::endl;
      return 0;
    }
    if (!checkCommand->parsed()) return run(serviceConfigPath, startupSignals);
    startupSignals.release();
    return check(serviceConfigPath);
  } catch (const ConfigErrors& problems) {
    for (const std::string& line : problems.lines) std::cerr << "thistleyoke: " << line << std::endl;
  } catch (const boost::system::system_error& problem) {
    // what() would name a source file of the library.
    std::cerr << "thistleyoke: " << problem.code().message() << std::endl;
  } catch (const std::exception& problem) {
    std::cerr << "thistleyoke: " << problem.what() << std::endl;
  }
  return 1;
}
