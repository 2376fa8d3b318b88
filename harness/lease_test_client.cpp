// Test client for the harness: acquires leases and sends operations with their fencing tokens to a fenced
// resource. Uses the shipped session client.
#include <signal.h>
#include <unistd.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <boost/asio/signal_set.hpp>
#include <iostream>
#include <map>

#include "fleet/session_client/session_client.hpp"

using namespace quilltide::fleet;
using std::chrono::milliseconds;

namespace {

struct LeaseWorker {
  explicit LeaseWorker(boost::asio::io_context& io) : call(io), pauseTimer(io) {}
  JsonCall call;
  boost::asio::steady_timer pauseTimer;
  int operationCount = 0;
  bool recalled = false;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Runs operations under leases against a fenced resource.", "thistleyoke-lease-test-client");
  std::string name, coordinators, resourceAddress, pauseHook;
  std::vector<std::string> leases;
  int ttlMs = 1'000, operationMs = 20, pauseMs = 30, releaseAfter = 0;
  double maxClockDrift = 0.01;
  app.add_option("--name", name)->required();
  app.add_option("--coordinators", coordinators)->required();
  app.add_option("--witness", resourceAddress, "ADDRESS:PORT")->required();
  app.add_option("--lease", leases)->required();
  app.add_option("--term-ms", ttlMs);
  app.add_option("--act-ms", operationMs, "duration of an operation");
  app.add_option("--every-ms", pauseMs, "pause between operations");
  app.add_option("--give-back-after", releaseAfter, "operations until the lease is released; 0: never");
  app.add_option("--drift", maxClockDrift);
  app.add_option(
      "--hook", pauseHook,
      "if this file exists, the process removes it and stops itself between lease check and operation");
  CLI11_PARSE(app, argc, argv);
  ::signal(SIGPIPE, SIG_IGN);
  boost::asio::io_context io(1);
  const tcp::endpoint resource = parseCoordinators("1=" + resourceAddress).front().http;
  SessionClient::Settings settings;
  settings.leaseClient.memberName = name;
  settings.leaseClient.ttl = static_cast<Micros>(ttlMs) * 1'000;
  settings.leaseClient.maxClockDrift = maxClockDrift;
  settings.leaseClient.requestTimeout = std::max<Micros>(settings.leaseClient.ttl / 4, 100'000);
  settings.coordinators = parseCoordinators(coordinators);
  settings.onRequestFailure = [](const SessionClient::RequestFailure& failure) {
    std::cout << "request failed at coordinator " << failure.coordinator << ", status " << failure.status
              << ", named leader " << failure.namedLeader << ", next coordinator " << failure.nextCoordinator
              << std::endl;
  };
  std::map<std::string, std::unique_ptr<LeaseWorker>> workers;
  for (const std::string& lease : leases) workers[lease] = std::make_unique<LeaseWorker>(io);
  std::function<void(const std::string&)> startOperation, releaseLease;
  bool stopping = false;
  SessionClient client(io, settings, [&](const LeaseClient::Event& event) {
    using Kind = LeaseClient::Event::Kind;
    const char* eventName = event.kind == Kind::leaseAcquired   ? "gained"
                            : event.kind == Kind::leaseExpiring ? "ending"
                            : event.kind == Kind::leaseRecalled ? "recalled"
                            : event.kind == Kind::leaseLost     ? "lost"
                            : event.kind == Kind::sessionOpened ? "opened"
                                                                : "session_lost";
    std::cout << eventName << " " << event.lease << " " << event.token << " left_ms "
              << event.remaining / 1'000 << std::endl;
    // A lease is released only when no operation under it is in progress.
    if (event.kind == Kind::leaseRecalled) workers.at(event.lease)->recalled = true;
    if (event.kind == Kind::leaseRecalled && !workers.at(event.lease)->call.busy()) releaseLease(event.lease);
    if (event.kind == Kind::leaseAcquired) startOperation(event.lease);
  });
  releaseLease = [&](const std::string& lease) {
    workers.at(lease)->recalled = false;
    client.release(lease);
    client.acquire(lease);
  };
  startOperation = [&](const std::string& lease) {
    LeaseWorker& worker = *workers.at(lease);
    if (worker.call.busy() || stopping) return;
    // The call is aborted after this time, so that no operation outlasts the lease.
    const milliseconds operationTimeout(operationMs * 3 + 30);
    const auto token = client.validToken(lease, operationTimeout.count() * 1'000);
    const auto scheduleNext = [&, lease](milliseconds pause) {
      LeaseWorker& currentWorker = *workers.at(lease);
      currentWorker.pauseTimer.expires_after(pause);
      currentWorker.pauseTimer.async_wait([&, lease](boost::system::error_code error) {
        if (!error) startOperation(lease);
      });
    };
    if (!token) return scheduleNext(milliseconds(5));
    if (!pauseHook.empty() && ::access(pauseHook.c_str(), F_OK) == 0) {
      ::unlink(pauseHook.c_str());
      std::cout << "stops between check and act " << lease << " " << *token << std::endl;
      ::raise(SIGSTOP);
    }
    const nlohmann::json body = {{"lease", lease}, {"token", *token}, {"member", name}, {"ms", operationMs}};
    worker.call.call(resource, "/act", &body, operationTimeout,
                     [&, lease, scheduleNext](int status, const nlohmann::json&) {
                       LeaseWorker& currentWorker = *workers.at(lease);
                       if (status == 409) std::cout << "refused " << lease << std::endl;
                       if ((releaseAfter > 0 && ++currentWorker.operationCount % releaseAfter == 0) ||
                           currentWorker.recalled)
                         releaseLease(lease);
                       scheduleNext(milliseconds(pauseMs));
                     });
  };
  for (const std::string& lease : leases) client.acquire(lease);
  client.start();
  boost::asio::signal_set signals(io, SIGTERM);
  boost::asio::steady_timer shutdownTimer(io);
  std::function<void()> shutDown = [&] {
    stopping = true;
    const bool operationRunning = std::any_of(workers.begin(), workers.end(),
                                              [](const auto& entry) { return entry.second->call.busy(); });
    if (!operationRunning) return client.close(milliseconds(500), [&] { io.stop(); });
    shutdownTimer.expires_after(milliseconds(2));
    shutdownTimer.async_wait([&](boost::system::error_code error) {
      if (!error) shutDown();
    });
  };
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) shutDown();
  });
  std::cout << name << " is ready" << std::endl;
  io.run();
}
