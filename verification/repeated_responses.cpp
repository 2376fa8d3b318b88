// Verifies that responses which partners send twice neither lose a message nor make one of an unsafe class
// run twice. Each run is one forwarder among four partners that reject some calls and repeat some responses
// on their connections; in some runs messages share calls, and in some the process is killed and started
// again.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <random>
#include <thread>

#include "testbed.hpp"

using namespace quilltide::standin;
using nlohmann::json;

namespace {

constexpr std::size_t kPartners = 4;
constexpr std::size_t kConnections = 4;  // of the client
constexpr double kRejectedShare = 0.02;
constexpr double kHangingShare = 0.04;  // in half of the runs
// The bound holds for repeats within 350 ms where calls may stay unanswered, and for later ones where none
// does.
constexpr auto kMaxRepeatDelayWithHangs = milliseconds(300), kMaxRepeatDelay = milliseconds(700);
constexpr double kRepeatedShare = 0.15;  // where all responses or those with 200 are repeated
constexpr auto kMessageInterval = std::chrono::microseconds(6'600);
// A message must have ended by 300 ms after its deadline; a restart adds 1.5 s from readiness.
constexpr auto kEndGrace = milliseconds(350), kRestartGrace = milliseconds(1'500);

struct Options {
  std::string program = FORWARDER;
  double seconds = 6;
  bool verbose = false;
};

// What a run is about.
struct Plan {
  std::uint64_t seed = 1;
  std::set<int> repeatedStatuses;  // empty: all
  int maxBatchSize = 1;
  bool restarts = false;
  bool hangs = false;  // some calls are never answered
};

struct RunResult {
  std::size_t accepted = 0, delivered = 0, notices = 0, unneededNotices = 0, repeats = 0;
  std::vector<std::string> violations;
};

std::string describe(const Plan& plan) {
  std::string text = "seed " + std::to_string(plan.seed) + ", repeats of ";
  for (const int status : plan.repeatedStatuses) text += std::to_string(status) + " ";
  if (plan.repeatedStatuses.empty()) text += "all ";
  text += plan.maxBatchSize > 1 ? "in batches" : "in single calls";
  text += plan.hangs ? ", with hangs" : "";
  return text + (plan.restarts ? ", with restarts" : "");
}

PartnerSettings partnerSettings(const Plan& plan, std::size_t index) {
  PartnerSettings settings;
  settings.responseDelay = milliseconds(20);
  settings.responseDelayRange = milliseconds(70);
  const bool onlyRareStatuses = !plan.repeatedStatuses.empty() && !plan.repeatedStatuses.contains(200);
  settings.repeats = {onlyRareStatuses ? 1.0 : kRepeatedShare, plan.repeatedStatuses, milliseconds(0),
                      milliseconds(300)};
  settings.seed = plan.seed * kPartners + index;
  return settings;
}

// Rejections, errors and waits at random, so that there are responses of each status to repeat.
Partner::Script partnerScript(std::uint64_t seed, bool hangs) {
  return [random = std::make_shared<std::mt19937_64>(seed), hangs](const std::string&, int) {
    const double draw = std::uniform_real_distribution<double>()(*random);
    if (draw < kRejectedShare) return Behavior::busy;
    if (draw < 1.25 * kRejectedShare) return Behavior::rateLimited;
    if (draw < 1.5 * kRejectedShare) return Behavior::errorBeforeEffect;
    if (hangs && draw > 1 - kHangingShare) return Behavior::hangBeforeEffect;
    return Behavior::deliver;
  };
}

RunResult play(const Options& options, const Plan& plan) {
  ForwarderProcess::Options processOptions;
  processOptions.maxBatchSize = plan.maxBatchSize;
  Testbed testbed(options.program, kPartners, processOptions);
  for (std::size_t i = 0; i < kPartners; ++i) {
    testbed.partner(i).configure(partnerSettings(plan, i));
    testbed.partner(i).setScript(partnerScript(plan.seed * 31 + i, plan.hangs));
  }
  testbed.start();
  auto client = makeRespClient(testbed.io(), testbed.forwarder().respEndpoint(), kConnections);
  std::mt19937_64 random(plan.seed);
  constexpr milliseconds kDeadlines[] = {milliseconds(600), milliseconds(1'500), milliseconds(3'000)};
  const auto count =
      static_cast<std::size_t>(options.seconds * 1e6 / static_cast<double>(kMessageInterval.count()));
  std::size_t nextRestart = plan.restarts ? count / 4 + random() % (count / 4) : count;
  auto nextSubmission = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    Message message = makeMessage("r", i, kPartners);
    message.destination = static_cast<std::int64_t>(random() % kPartners);
    message.timeToLive = kDeadlines[random() % std::size(kDeadlines)];
    testbed.submitVia(*client, "RESP2", message);
    nextSubmission += kMessageInterval;
    testbed.runUntil(nextSubmission);
    if (i != nextRestart) continue;
    nextRestart += count / 4 + random() % (count / 4);
    testbed.forwarder().kill();
    testbed.restart();
    nextSubmission = Clock::now();
  }
  testbed.runFor(kDeadlines[2] + kEndGrace + (plan.restarts ? kRestartGrace : milliseconds(0)));

  RunResult result;
  result.violations = testbed.violations();
  for (std::size_t i = 0; i < kPartners; ++i) result.repeats += testbed.partner(i).repeatedResponses();
  for (const auto& [id, record] : testbed.records()) {
    if (!record.accepted()) continue;
    ++result.accepted;
    const bool delivered = testbed.effects().isSettled(id),
               noticed = testbed.directory().notices().contains(id);
    result.delivered += delivered ? 1 : 0;
    result.notices += noticed ? 1 : 0;
    result.unneededNotices += delivered && noticed ? 1 : 0;
  }
  if (options.verbose) {
    std::cerr << "log of " << describe(plan) << ":\n" << testbed.forwarder().log();
  }
  return result;
}

std::vector<Plan> makePlans(std::uint64_t firstSeed, std::size_t runs) {
  const std::vector<std::set<int>> statusSets = {{}, {200}, {503, 429}, {500}};
  std::vector<Plan> plans;
  for (std::size_t i = 0; i < runs; ++i) {
    Plan plan;
    plan.seed = firstSeed + i;
    plan.repeatedStatuses = statusSets[i % statusSets.size()];
    plan.maxBatchSize = i / statusSets.size() % 2 == 1 ? 10 : 1;
    plan.restarts = i / (2 * statusSets.size()) % 2 == 1;
    plan.hangs = (i / statusSets.size() + i) % 2 == 0;
    plans.push_back(plan);
  }
  return plans;
}

// Plays the plans, some at the same time. Errors are those of runs that could not be played.
std::vector<RunResult> playAll(const Options& options, const std::vector<Plan>& plans, std::size_t parallel,
                               std::vector<std::string>& errors) {
  std::vector<RunResult> results(plans.size());
  std::mutex errorsMutex;
  std::atomic<std::size_t> next = 0;
  const auto work = [&] {
    for (std::size_t i; (i = next++) < plans.size();) {
      try {
        results[i] = play(options, plans[i]);
      } catch (const std::exception& problem) {
        const std::lock_guard lock(errorsMutex);
        errors.push_back(describe(plans[i]) + ": " + problem.what());
      }
    }
  };
  std::vector<std::thread> threads;
  for (std::size_t i = 0; i < parallel; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();
  return results;
}

// Plays the plans with each mutant of the program until one of them is violated; returns the exit status.
int findMutants(const Options& options, const std::vector<Plan>& plans, std::size_t parallel, int mutants) {
  std::size_t found = 0;
  for (int mutant = 1; mutant <= mutants; ++mutant) {
    ::setenv("QUILLTIDE_MUTANT", std::to_string(mutant).c_str(), 1);
    std::size_t violations = 0, played = 0;
    std::vector<std::string> errors;
    while (violations == 0 && played < plans.size()) {
      const std::size_t end = std::min(plans.size(), played + parallel);
      const std::vector<Plan> some(plans.begin() + static_cast<std::ptrdiff_t>(played),
                                   plans.begin() + static_cast<std::ptrdiff_t>(end));
      for (const RunResult& result : playAll(options, some, parallel, errors))
        violations += result.violations.size();
      played = end;
    }
    found += violations > 0 ? 1 : 0;
    std::cout << "mutant " << mutant << ": " << violations << " violations within " << played << " runs\n";
  }
  const bool holds = found == static_cast<std::size_t>(mutants);
  std::cout << json{{"verification", "repeated-responses"},
                    {"mutants", mutants},
                    {"found", found},
                    {"holds", holds}}
                   .dump()
            << std::endl;
  return holds ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Repeats responses on their connections and checks the delivery guarantees.",
               "repeated-responses");
  Options options;
  bool quick = false;
  std::uint64_t seed = 1;
  std::size_t runs = 32, parallel = 4;
  int mutants = 0;
  app.add_flag("--quick", quick, "sixteen short runs");
  app.add_option("--seed", seed, "seed of the first run; each further run has the next one");
  app.add_option("--runs", runs, "number of runs");
  app.add_option("--parallel", parallel, "runs at the same time")->check(CLI::Range(1, 16));
  app.add_option("--forwarder", options.program, "path of the forwarder's program");
  app.add_option("--mutants", mutants, "number of mutants that the program has; each must be found");
  app.add_flag("--verbose", options.verbose, "print the log of each run");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (quick) {
    runs = 16;
    options.seconds = 3;
  }
  if (mutants > 0) return findMutants(options, makePlans(seed, runs), parallel, mutants);
  const std::vector<Plan> plans = makePlans(seed, runs);
  std::vector<std::string> errors;
  const std::vector<RunResult> results = playAll(options, plans, parallel, errors);
  RunResult total;
  for (std::size_t i = 0; i < plans.size(); ++i) {
    const RunResult& result = results[i];
    std::cout << describe(plans[i]) << ": accepted " << result.accepted << ", delivered " << result.delivered
              << ", notices " << result.notices << " (" << result.unneededNotices
              << " of delivered ones), repeats " << result.repeats << "\n";
    for (const std::string& violation : result.violations) std::cout << "  VIOLATION " << violation << "\n";
    total.accepted += result.accepted;
    total.delivered += result.delivered;
    total.notices += result.notices;
    total.unneededNotices += result.unneededNotices;
    total.repeats += result.repeats;
    total.violations.insert(total.violations.end(), result.violations.begin(), result.violations.end());
  }
  if (total.repeats == 0) errors.push_back("no response was repeated");
  for (const std::string& error : errors) std::cout << "ERROR " << error << "\n";
  const bool passed = total.violations.empty() && errors.empty();
  std::cout << json{{"verification", "repeated-responses"},
                    {"seed", seed},
                    {"runs", plans.size()},
                    {"holds", passed},
                    {"accepted", total.accepted},
                    {"delivered", total.delivered},
                    {"notices", total.notices},
                    {"unneeded_notices", total.unneededNotices},
                    {"repeats", total.repeats},
                    {"violations", total.violations.size()},
                    {"errors", errors.size()}}
                   .dump()
            << std::endl;
  return passed ? 0 : 1;
}
