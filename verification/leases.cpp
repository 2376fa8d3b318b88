// Fault-injection test with real processes: operations under a lease never overlap, fencing tokens never
// decrease, and every lease is used again within a fixed time after faults stop. Coordinators and members
// have a proxy in every link and clocks of their own; a fenced resource records every operation. Holders are
// not paused here; pauses between check and operation are covered by tests/harness/leases_test.cpp and by the
// model.
#include <signal.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <fstream>
#include <iostream>
#include <random>
#include <set>

#include "fleet.hpp"

using namespace quilltide::harness;
using nlohmann::json;

namespace {

constexpr double kMaxClockDrift = 0.02;
constexpr int kTtlMs = 1'000, kElectionMs = 300;
// Two election rounds of at most twice the election timeout, and one term that the new leader waits; doubled
// as margin for a slow machine.
constexpr int kRecoveryMs = 2 * (2 * 2 * kElectionMs + static_cast<int>(kTtlMs * (1 + kMaxClockDrift)) + 200);

struct RunPlan {
  std::uint64_t seed = 1;
  int coordinators = 5, testClients = 12, leases = 6, seconds = 90;
};

class FaultInjector {
 public:
  FaultInjector(Harness& harness, const RunPlan& runPlan, std::mt19937_64& random)
      : harness_(harness), plan_(runPlan), random_(random) {}

  void injectRandomFault() {
    static const std::vector<std::pair<const char*, void (FaultInjector::*)()>> kinds{
        {"kill a coordinator", &FaultInjector::killCoordinator},
        {"kill the leader", &FaultInjector::killLeader},
        {"kill a member", &FaultInjector::killTestClient},
        {"end a member", &FaultInjector::endTestClient},
        {"pause a coordinator", &FaultInjector::pauseCoordinator},
        {"cut coordinators apart", &FaultInjector::cutCoordinators},
        {"isolate a coordinator", &FaultInjector::isolate},
        {"cut a member", &FaultInjector::cutTestClient},
        {"delay", &FaultInjector::delay},
        {"reset", &FaultInjector::reset},
        {"break after bytes", &FaultInjector::breakAfter},
        {"all coordinators", &FaultInjector::killAll}};
    std::size_t which = pick(kinds.size());
    if (which + 1 == kinds.size() && pick(3) != 0)
      which = pick(kinds.size() - 1);  // restarting all coordinators is rarer
    ++counts_[kinds[which].first];
    (this->*kinds[which].second)();
  }

  // Runs the repairs that are due.
  void runDueRepairs() {
    const auto now = harness_.timeline().nowUs();
    for (auto at = scheduledRepairs_.begin(); at != scheduledRepairs_.end() && at->first <= now;) {
      at->second();
      at = scheduledRepairs_.erase(at);
    }
  }
  void repairAll() {
    for (auto& [when, repair] : scheduledRepairs_) repair();
    scheduledRepairs_.clear();
    for (const auto& [name, link] : harness_.links(".*")) link->heal();
    for (ChildProcess* child : harness_.children("[ka][0-9]+")) {
      if (child->paused()) child->sendSignal(SIGCONT);
      if (!child->running()) harness_.start(child->name());
    }
    harness_.timeline().add("harness", "faults have stopped");
  }
  const std::map<std::string, std::size_t>& counts() const { return counts_; }

 private:
  std::size_t pick(std::size_t n) { return random_() % n; }
  std::string coordinator() {
    return "k" + std::to_string(1 + pick(static_cast<std::size_t>(plan_.coordinators)));
  }
  std::string testClient() {
    return "a" + std::to_string(1 + pick(static_cast<std::size_t>(plan_.testClients)));
  }
  void scheduleRepair(std::int64_t minMs, std::int64_t maxMs, std::function<void()> repair) {
    const auto ms = minMs + static_cast<std::int64_t>(pick(static_cast<std::size_t>(maxMs - minMs)));
    scheduledRepairs_.emplace(harness_.timeline().nowUs() + ms * 1'000, std::move(repair));
  }
  void scheduleRestart(const std::string& name) {
    scheduleRepair(100, 1'500, [this, name] {
      if (!harness_.child(name).running()) harness_.start(name);
    });
  }
  void killAndRestart(const std::string& name) {
    harness_.child(name).kill();
    scheduleRestart(name);
  }
  void killCoordinator() { killAndRestart(coordinator()); }
  void killLeader() {
    const std::string leader = findLeader(harness_, plan_.coordinators);
    if (!leader.empty()) killAndRestart(leader);
  }
  void killTestClient() { killAndRestart(testClient()); }
  void endTestClient() {
    const std::string name = testClient();
    harness_.child(name).sendSignal(SIGTERM);
    scheduleRestart(name);
  }
  void pauseCoordinator() {
    const std::string name = coordinator();
    if (!harness_.child(name).running()) return;
    harness_.child(name).sendSignal(SIGSTOP);
    scheduleRepair(200, 2'500, [this, name] { harness_.child(name).sendSignal(SIGCONT); });
  }
  void applyFaults(const std::string& pattern, const Faults& faults, std::size_t directions) {
    for (const auto& [name, link] : harness_.links(pattern)) {
      if (directions != 1) link->setFaults(Direction::clientToServer, faults);
      if (directions != 2) link->setFaults(Direction::serverToClient, faults);
      harness_.timeline().add("harness", name + (faults.cut ? ": cut" : ": faults") +
                                             (directions == 1   ? " back"
                                              : directions == 2 ? " toward"
                                                                : ""));
    }
    scheduleRepair(200, 2'500, [this, pattern] {
      for (const auto& [name, link] : harness_.links(pattern)) link->heal();
      harness_.timeline().add("harness", pattern + ": healed");
    });
  }
  void cutCoordinators() {
    Faults cut;
    cut.cut = true;
    applyFaults(coordinator() + "->" + coordinator() + "\\..*", cut, pick(3));
  }
  void isolate() {
    Faults cut;
    cut.cut = true;
    const std::string name = coordinator();
    applyFaults("(" + name + "->k.*|k.->" + name + "\\..*)", cut, pick(3));
  }
  void cutTestClient() {
    Faults cut;
    cut.cut = true;
    applyFaults(testClient() + "->k.*", cut, pick(3));
  }
  void delay() {
    Faults slow;
    slow.delay = milliseconds(10 + pick(150));
    applyFaults(pick(2) == 0 ? coordinator() + "->k.*" : testClient() + "->k.*", slow, pick(3));
  }
  void reset() {
    for (const auto& [name, link] :
         harness_.links(pick(2) == 0 ? coordinator() + "->k.*" : testClient() + "->k.*"))
      link->resetConnections();
  }
  void breakAfter() {
    Faults breaks;
    breaks.resetAfterBytes = pick(2'000);
    applyFaults(pick(2) == 0 ? coordinator() + "->k.*" : testClient() + "->k.*", breaks, 2);
  }
  void killAll() {
    for (int id = 1; id <= plan_.coordinators; ++id) killAndRestart("k" + std::to_string(id));
  }

  Harness& harness_;
  const RunPlan& plan_;
  std::mt19937_64& random_;
  std::multimap<std::int64_t, std::function<void()>> scheduledRepairs_;
  std::map<std::string, std::size_t> counts_;
};

std::string leaseName(int i) { return "job" + std::to_string(i); }

json runFaults(const RunPlan& runPlan, std::vector<std::string>& violations, const std::string& keep) {
  boost::asio::io_context io;
  Harness harness(io, keep);
  FencedResource resource(io, harness.timeline(), harness.portEndpoint("witness", "http"));
  std::mt19937_64 random(runPlan.seed);
  CoordinatorConfig coordinators;
  coordinators.count = runPlan.coordinators;
  coordinators.electionMs = kElectionMs;
  coordinators.maxClockDrift = kMaxClockDrift;
  coordinators.maxHoldMs = 1'500;
  coordinators.useTestClock = true;
  coordinators.snapshotEntries = 256;
  coordinators.trailingEntries = 64;
  addCoordinators(harness, COORDINATOR, coordinators);
  for (int i = 1; i <= runPlan.testClients; ++i) {
    TestClientConfig testClient;
    testClient.name = "a" + std::to_string(i);
    for (int l = 0; l < runPlan.leases; ++l)
      if ((i + l) % 2 == 0) testClient.leases.push_back(leaseName(l));
    testClient.ttlMs = kTtlMs;
    testClient.maxClockDrift = kMaxClockDrift;
    testClient.useTestClock = true;
    testClient.releaseAfter = i % 3 == 0 ? 25 : 0;
    addTestClient(harness, LEASE_TEST_CLIENT, testClient, runPlan.coordinators);
  }
  harness.startAll();
  // Clock rates close to the maximum drift.
  for (ChildProcess* child : harness.children("[ka][0-9]+"))
    child->testClock()->setRate(random() % 2 == 0 ? 1 + kMaxClockDrift * 0.99 : 1 - kMaxClockDrift * 0.99);
  if (waitForLeader(harness, runPlan.coordinators).empty())
    violations.push_back("no coordinator became leader at the start");
  FaultInjector faults(harness, runPlan, random);
  const auto end = harness.timeline().nowUs() + static_cast<std::int64_t>(runPlan.seconds) * 1'000'000;
  while (harness.timeline().nowUs() < end) {
    harness.runFor(milliseconds(100 + random() % 500));
    faults.runDueRepairs();
    faults.injectRandomFault();
  }
  faults.repairAll();
  const auto faultsStoppedUs = harness.timeline().nowUs();
  double slowestRecoveryMs = 0;
  std::map<int, bool> recovered;
  harness.waitUntil(
      [&] {
        bool allRecovered = true;
        for (int l = 0; l < runPlan.leases; ++l) {
          if (!recovered[l] && resource.countUnderLease(leaseName(l), faultsStoppedUs) > 0) {
            recovered[l] = true;
            slowestRecoveryMs = std::max(
                slowestRecoveryMs, static_cast<double>(harness.timeline().nowUs() - faultsStoppedUs) / 1'000);
          }
          allRecovered = allRecovered && recovered[l];
        }
        return allRecovered;
      },
      milliseconds(kRecoveryMs));
  for (int l = 0; l < runPlan.leases; ++l)
    if (!recovered[l])
      violations.push_back("no operation under " + leaseName(l) + " " + std::to_string(kRecoveryMs) +
                           " ms after the faults");
  harness.runFor(milliseconds(500));
  if (const std::string overlap = resource.findOverlap(); !overlap.empty()) violations.push_back(overlap);
  if (resource.rejectedCount() > 0) violations.push_back("an operation had an outdated token");
  std::map<std::string, std::set<std::uint64_t>> grants;
  std::size_t handovers = 0;
  for (const FencedResource::Operation& operation : resource.operations())
    handovers += grants[operation.lease].insert(operation.token).second;
  for (ChildProcess* child : harness.children("[ka][0-9]+")) {
    if (child->crashCount() > 0) violations.push_back(child->name() + " crashed");
    // None of these faults justifies that a coordinator exits by itself.
    if (harness.timeline().countMatches(child->name(), "event=cannot_go_on") > 0)
      violations.push_back(child->name() + " exited by itself");
  }
  if (!violations.empty()) {
    std::ofstream("leases-time-line.txt") << harness.timeline().text();
    std::cerr << "the timeline is in leases-time-line.txt" << std::endl;
  }
  return {{"acts", resource.operations().size()},
          {"grants", handovers},
          {"faults", faults.counts()},
          {"elections", harness.timeline().countMatches("k[0-9]+", "event=leads")},
          {"terms_run_out", harness.timeline().countMatches("a[0-9]+", "lost job")},
          {"recovered_within_ms", slowestRecoveryMs},
          {"recovery_bound_ms", kRecoveryMs}};
}

// Checks that the test detects overlapping holders: a clock is off far beyond the maximum drift.
bool detectsBrokenClocks() {
  boost::asio::io_context io;
  Harness harness(io);
  FencedResource resource(io, harness.timeline(), harness.portEndpoint("witness", "http"));
  CoordinatorConfig coordinators;
  coordinators.count = 1;
  addCoordinators(harness, COORDINATOR, coordinators);
  for (const char* name : {"a1", "a2"}) {
    TestClientConfig testClient{name, {"job"}};
    testClient.useTestClock = true;
    testClient.operationMs = 30;
    testClient.pauseMs = 1;
    addTestClient(harness, LEASE_TEST_CLIENT, testClient, 1);
  }
  harness.startAll();
  harness.waitUntil([&] { return resource.operations().size() > 5; }, milliseconds(10'000));
  if (resource.operations().empty()) return false;
  const std::string first = resource.operations().back().member;
  harness.child(first).testClock()->setRate(0.3);
  Faults cut;
  cut.cut = true;
  harness.runFor(milliseconds(500));
  for (const auto& [name, link] : harness.links(first + "->k.*"))
    link->setFaults(Direction::clientToServer, cut);
  return harness.waitUntil([&] { return !resource.findOverlap().empty() || resource.rejectedCount() > 0; },
                           milliseconds(6'000));
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Fault injection: operations under a lease never overlap.", "leases");
  RunPlan plan;
  bool quick = false;
  std::string keep;
  app.add_option("--seed", plan.seed, "seed of the faults");
  app.add_flag("--quick", quick, "25 s of faults");
  app.add_option("--seconds", plan.seconds, "duration of the fault phase")->check(CLI::Range(1, 3'600));
  app.add_option("--keep", keep, "folder that keeps all files");
  CLI11_PARSE(app, argc, argv);
  if (quick) plan.seconds = 25;
  std::vector<std::string> violations;
  json out = runFaults(plan, violations, keep);
  const bool detected = detectsBrokenClocks();
  if (!detected) violations.push_back("a clock far beyond the maximum drift was not detected");
  for (const std::string& violation : violations) std::cerr << "BROKEN: " << violation << std::endl;
  if (!violations.empty())
    std::cerr << "repeat with: leases --seed " << plan.seed << " --seconds " << plan.seconds << std::endl;
  out["proof"] = "leases";
  out["seed"] = plan.seed;
  out["coordinators"] = plan.coordinators;
  out["members"] = plan.testClients;
  out["sees_broken_clocks"] = detected;
  out["holds"] = violations.empty();
  std::cout << out.dump() << std::endl;
  return violations.empty() ? 0 : 1;
}
