// Verifies that all frontends give the same delivery guarantees. The same faults are injected while messages
// are submitted through RESP2, HTTP and HTTP batches. Where a fault determines the outcome of each message,
// outcomes and effects are compared message by message; where timing decides, every outcome must be an
// allowed one.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "latency.hpp"
#include "misbehaving_clients.hpp"
#include "testbed.hpp"

using namespace quilltide::standin;
using nlohmann::json;

namespace {

constexpr std::size_t kPartners = 5;
const std::string kBothFrontends = "RESP2 and HTTP";

// Pseudo-random values that depend only on seed, salt and message number, so that a fault hits the same
// messages through each frontend.
class SeededDraw {
 public:
  SeededDraw(std::uint64_t seed, std::string salt) : seed_(seed), salt_(std::move(salt)) {}
  // Value in [0, 1) for a message id; only the part from '-' on counts.
  double valueFor(const std::string& id) const {
    std::uint64_t hash = 14695981039346656037ULL ^ seed_;  // FNV-1a; the generator mixes the bits
    for (const char c : salt_ + id.substr(id.find('-')))
      hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    std::mt19937_64 mix(hash);
    return std::uniform_real_distribution<double>()(mix);
  }

 private:
  std::uint64_t seed_;
  std::string salt_;
};

// A fault scenario.
struct Fault {
  std::string name;
  bool deterministic;  // the fault, not timing, determines the outcome of each message
  // Configures the stand-ins before the forwarder starts.
  std::function<void(Testbed&, std::uint64_t seed)> prepare = [](Testbed&, std::uint64_t) {};
  // Called before each submission, with the message's number.
  std::function<void(Testbed&, std::size_t number, std::size_t count)> beforeMessage =
      [](Testbed&, std::size_t, std::size_t) {};
  // Each message is submitted twice in a row, some of them with a changed body.
  bool submitTwice = false;
  bool alsoBothFrontends = false;  // also runs with both frontends in use at once
  bool scriptedPartners = false;   // partners inject the fault; a run without an injected fault is an error
};

void setScriptOnAll(Testbed& testbed, const Partner::Script& script) {
  for (std::size_t i = 0; i < testbed.partnerCount(); ++i) testbed.partner(i).setScript(script);
}

// In each block of `blockSize` messages of a destination, the first attempt of one message gets the behavior.
// The first block has no fault, and no two faults follow each other, so that no breaker opens and the fault
// alone determines each outcome.
Fault faultOnFirstAttempt(const std::string& name, Behavior behavior, std::size_t blockSize,
                          bool deterministic = true) {
  Fault firstAttemptFault{name, deterministic};
  firstAttemptFault.scriptedPartners = true;
  firstAttemptFault.prepare = [name, behavior, blockSize](Testbed& testbed, std::uint64_t seed) {
    setScriptOnAll(
        testbed, [draw = SeededDraw(seed, name), behavior, blockSize](const std::string& id, int attempt) {
          const std::size_t number = std::stoul(id.substr(id.find('-') + 1));
          const std::size_t destination = number / 3 % kPartners;
          const std::size_t indexInDestination =
              number / (3 * kPartners) * 3 + number % 3;  // among the messages of its destination
          const std::string blockId =
              "-" + std::to_string(destination) + "-" + std::to_string(indexInDestination / blockSize);
          const auto faultIndexInBlock =
              static_cast<std::size_t>(draw.valueFor(blockId) * static_cast<double>(blockSize / 2));
          return attempt == 0 && indexInDestination >= blockSize &&
                         indexInDestination % blockSize == faultIndexInBlock
                     ? behavior
                     : Behavior::deliver;
        });
  };
  return firstAttemptFault;
}

std::vector<Fault> makeFaults() {
  std::vector<Fault> faults;
  faults.push_back({"none", true});
  faults.push_back(faultOnFirstAttempt("error after the effect", Behavior::errorAfterEffect, 20));
  faults.push_back(faultOnFirstAttempt("error before the effect", Behavior::errorBeforeEffect, 20));
  faults.push_back(faultOnFirstAttempt("turned away", Behavior::busy, 20, false));
  faults.push_back(faultOnFirstAttempt("turned away with a wait", Behavior::rateLimited, 20, false));
  faults.push_back(faultOnFirstAttempt("withdrawn", Behavior::gone, 6));
  faults.push_back(faultOnFirstAttempt("reset before the effect", Behavior::resetBeforeEffect, 20));
  faults.push_back(faultOnFirstAttempt("reset after the effect", Behavior::resetAfterEffect, 20));
  faults.push_back(faultOnFirstAttempt("half an answer", Behavior::truncatedResponse, 20));
  faults.push_back(faultOnFirstAttempt("a spoilt answer", Behavior::malformedResponse, 20));
  faults.push_back(faultOnFirstAttempt("silence", Behavior::hangAfterEffect, 40, false));
  Fault duplicate{"handed in twice", true};
  duplicate.submitTwice = true;
  faults.push_back(duplicate);
  Fault offline{"a partner away", false};
  offline.beforeMessage = [](Testbed& testbed, std::size_t number, std::size_t count) {
    if (number == count / 4) testbed.partner(1).goOffline();
    if (number == count / 2) testbed.partner(1).comeOnline(0.3, milliseconds(1'000));
  };
  faults.push_back(offline);
  Fault limit{"a limit with waits", false};
  limit.prepare = [](Testbed& testbed, std::uint64_t) {
    testbed.partner(2).configure({milliseconds(0), 30, milliseconds(500)});
  };
  faults.push_back(limit);
  Fault kill{"SIGKILL", false};
  kill.alsoBothFrontends = true;
  kill.beforeMessage = [](Testbed& testbed, std::size_t number, std::size_t count) {
    if (number != count / 3 && number != 2 * count / 3) return;
    testbed.forwarder().kill();
    testbed.restart();
  };
  faults.push_back(kill);
  Fault term{"SIGTERM", false};
  term.alsoBothFrontends = true;
  term.beforeMessage = [](Testbed& testbed, std::size_t number, std::size_t count) {
    if (number != count / 2) return;
    testbed.forwarder().sendSignal(SIGTERM);
    testbed.runUntil([&] { return testbed.forwarder().waitForExit(milliseconds(0)); }, milliseconds(6'000));
    testbed.forwarder().kill();
    testbed.restart();
  };
  faults.push_back(term);
  Fault directory{"the directory down", false};
  directory.beforeMessage = [](Testbed& testbed, std::size_t number, std::size_t count) {
    if (number == count / 4) testbed.directory().goOffline();
    if (number == count / 2) testbed.directory().comeOnline();
  };
  faults.push_back(directory);
  return faults;
}

// Result of one fault through one frontend.
struct PlayResult {
  std::map<std::string, std::string> summaries;  // by message id: answers, final outcome, effects
  std::vector<std::string> violations;
  std::map<std::string, std::size_t> counts;
  std::size_t injectedFaults = 0;
};

// Submits `count` messages through one frontend with the fault injected. Blocks; throws std::runtime_error if
// the forwarder does not start.
PlayResult play(const Fault& fault, const std::string& frontend, std::size_t count, std::uint64_t seed) {
  ForwarderProcess::Options options;
  options.maxCallsInFlight = 32;
  options.maxOpenMessages = 10'000;
  Testbed testbed(FORWARDER, kPartners, options, {milliseconds(1)});
  fault.prepare(testbed, seed);
  testbed.start();
  const auto makeClient = [&]() -> std::unique_ptr<Client> {
    if (frontend == "RESP2") return makeRespClient(testbed.io(), testbed.forwarder().respEndpoint(), 4);
    if (frontend == "HTTP" || frontend == kBothFrontends)
      return makeHttpClient(testbed.io(), testbed.forwarder().httpEndpoint(), 24);
    return makeBatchClient(testbed.io(), testbed.forwarder().httpEndpoint(), 50, milliseconds(4));
  };
  auto client = makeClient();
  // With both frontends in use, messages alternate between them.
  std::unique_ptr<Client> concurrentClient;
  if (frontend == kBothFrontends)
    concurrentClient = makeRespClient(testbed.io(), testbed.forwarder().respEndpoint(), 4);
  const std::string prefix = "m";
  const SeededDraw changedDraw(seed, "changed");
  auto nextSubmission = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    fault.beforeMessage(testbed, i, count);
    Message newMessage = makeMessage(prefix, i, kPartners);
    newMessage.timeToLive = milliseconds(12'000);
    testbed.submitVia(concurrentClient && i % 2 == 0 ? *concurrentClient : *client, frontend, newMessage);
    if (fault.submitTwice) {
      if (changedDraw.valueFor(newMessage.id) < 0.3) newMessage.body += " changed";
      testbed.submitVia(*client, frontend, newMessage);
    }
    nextSubmission =
        std::max(nextSubmission + std::chrono::microseconds(1'300), Clock::now() - milliseconds(20));
    testbed.runUntil(nextSubmission);
  }
  testbed.runUntil([&] { return testbed.allCompleted(); }, milliseconds(30'000));
  PlayResult result;
  result.violations = testbed.violations();
  for (std::size_t i = 0; i < testbed.partnerCount(); ++i)
    result.injectedFaults += testbed.partner(i).injectedFaults();
  for (const auto& [id, record] : testbed.records()) {
    // Two submissions of one message use different connections, so the order of their answers is not
    // compared.
    std::multiset<std::string> resultNames;
    for (const SubmitResult& submitResult : record.results) resultNames.insert(toString(submitResult.kind));
    std::string joinedResults;
    for (const std::string& resultName : resultNames)
      joinedResults += (joinedResults.empty() ? "" : "+") + resultName;
    const std::string outcome = testbed.finalOutcome(record);
    // Classes other than paiement may be sent a second time if a call is slow: only whether the message took
    // effect is compared.
    const std::size_t effectCount = testbed.effects().countOf(id);
    const std::size_t comparedEffects =
        record.message.messageClass == "paiement" ? effectCount : std::min<std::size_t>(effectCount, 1);
    result.summaries[id] = joinedResults + " / " + outcome + " / " + std::to_string(comparedEffects);
    ++result.counts[outcome];
  }
  return result;
}

// Whether the outcome may occur at all under a fault whose outcomes depend on timing. Violations of the
// delivery guarantees are checked apart, by Testbed::violations().
bool isAllowed(const Fault& fault, const std::string& outcome) {
  static const std::set<std::string> kUsualOutcomes = {"delivered", "given_up", "handed_back", "refused"};
  if (kUsualOutcomes.contains(outcome)) return true;
  // A client whose connection fails during a request gets no answer.
  return outcome == "no answer" && (fault.name == "SIGKILL" || fault.name == "SIGTERM");
}

// ---- Saturation of one frontend ----

// Latencies of one frontend without load and with the other frontend saturated.
struct Saturation {
  double unloadedP99Ms = 0, saturatedP99Ms = 0;  // from scheduled time to answer; medians of the rounds
  double maxLatenessMs = 0;                      // longest delay of this program behind its schedule
  std::size_t misbehavingConnections = 0;        // connections opened by the misbehaving clients
  bool allAccepted = true;
};

// Sends 400 messages a second through one frontend and returns the p99 latency in ms. Clears `allAccepted` if
// a message was not accepted, and raises `maxLatenessMs` to the longest delay behind the schedule.
double measureP99(Testbed& testbed, const std::string& frontend, std::size_t messages, std::size_t round,
                  bool& allAccepted, double& maxLatenessMs) {
  auto client = frontend == "RESP2" ? makeRespClient(testbed.io(), testbed.forwarder().respEndpoint(), 4)
                                    : makeHttpClient(testbed.io(), testbed.forwarder().httpEndpoint(), 8);
  Latencies latencies(messages);
  std::size_t answeredCount = 0, acceptedCount = 0;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < messages; ++i) {
    const auto scheduled = start + std::chrono::microseconds(2'500) * i;
    testbed.runUntil(scheduled);
    maxLatenessMs =
        std::max(maxLatenessMs, std::chrono::duration<double, std::milli>(Clock::now() - scheduled).count());
    Message newMessage = makeMessage("s" + std::to_string(round), i, kPartners);
    client->submit(newMessage, [&, scheduled](const SubmitResult& answer) {
      ++answeredCount;
      acceptedCount += answer.kind == SubmitResult::Kind::accepted ? 1 : 0;
      latencies.add(std::chrono::duration<double, std::milli>(Clock::now() - scheduled).count());
    });
  }
  testbed.runUntil([&] { return answeredCount == messages; }, milliseconds(5'000));
  allAccepted = allAccepted && acceptedCount == messages;
  return latencies.quantile(0.99);
}

Saturation measureSaturation(const std::string& observedFrontend, std::size_t messages) {
  ForwarderProcess::Options options;
  options.maxSockets = 256;
  Testbed testbed(FORWARDER, kPartners, options, {milliseconds(1)});
  testbed.start();
  Saturation measurements;
  std::vector<double> unloadedP99s, saturatedP99s;
  measureP99(testbed, observedFrontend, messages, 0, measurements.allAccepted,
             measurements.maxLatenessMs);               // warm-up, not included
  constexpr std::size_t kMisbehavingConnections = 160;  // more than either frontend's share of 256 sockets
  for (std::size_t round = 0; round < 3; ++round) {
    unloadedP99s.push_back(measureP99(testbed, observedFrontend, messages, 1 + 2 * round,
                                      measurements.allAccepted, measurements.maxLatenessMs));
    // The misbehaving clients run on their own thread so that they do not delay the measured client.
    boost::asio::io_context clientIo;
    MisbehavingClients misbehavingClients(
        clientIo,
        observedFrontend == "RESP2" ? testbed.forwarder().httpEndpoint() : testbed.forwarder().respEndpoint(),
        observedFrontend == "RESP2" ? MisbehavingClients::Frontend::http : MisbehavingClients::Frontend::resp,
        kMisbehavingConnections, 20'000);
    std::jthread thread([&clientIo] { clientIo.run(); });
    testbed.runFor(milliseconds(300));
    saturatedP99s.push_back(measureP99(testbed, observedFrontend, messages, 2 + 2 * round,
                                       measurements.allAccepted, measurements.maxLatenessMs));
    clientIo.stop();
    thread.join();
    measurements.misbehavingConnections += misbehavingClients.opened();
  }
  std::sort(unloadedP99s.begin(), unloadedP99s.end());
  std::sort(saturatedP99s.begin(), saturatedP99s.end());
  measurements.unloadedP99Ms = unloadedP99s[1];
  measurements.saturatedP99Ms = saturatedP99s[1];
  return measurements;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Injects the same faults through each frontend and compares the outcomes.", "doors");
  bool quick = false, verbose = false;
  std::uint64_t seed = 1;
  std::string onlyFault;
  app.add_flag("--quick", quick, "fewer messages per fault");
  app.add_option("--seed", seed, "seed of the faults");
  app.add_option("--only", onlyFault, "run one fault only, by name");
  app.add_flag("--verbose", verbose, "print every difference");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  const std::size_t count = quick ? 300 : 2'000;
  const std::vector<std::string> frontends = {"RESP2", "HTTP", "HTTP batch", kBothFrontends};
  const std::vector<Fault> faults = makeFaults();
  struct Job {
    std::size_t faultIndex, frontendIndex;
  };
  std::vector<Job> jobs;
  for (std::size_t faultIndex = 0; faultIndex < faults.size(); ++faultIndex) {
    if (!onlyFault.empty() && faults[faultIndex].name != onlyFault) continue;
    for (std::size_t frontendIndex = 0; frontendIndex < frontends.size(); ++frontendIndex) {
      if (frontends[frontendIndex] != kBothFrontends || faults[faultIndex].alsoBothFrontends)
        jobs.push_back({faultIndex, frontendIndex});
    }
  }
  std::vector<std::vector<PlayResult>> results(faults.size(), std::vector<PlayResult>(frontends.size()));
  std::atomic<std::size_t> nextJob = 0;
  std::mutex errorsMutex;
  std::vector<std::string> errors;
  const auto playFault = [&](std::size_t faultIndex, std::size_t frontendIndex) {
    try {
      results[faultIndex][frontendIndex] = play(faults[faultIndex], frontends[frontendIndex], count, seed);
    } catch (const std::exception& failure) {
      const std::lock_guard lock(errorsMutex);
      errors.push_back(faults[faultIndex].name + ", " + frontends[frontendIndex] + ": " + failure.what());
    }
  };
  const auto playJobs = [&] {
    for (std::size_t jobIndex; (jobIndex = nextJob++) < jobs.size();)
      playFault(jobs[jobIndex].faultIndex, jobs[jobIndex].frontendIndex);
  };
  const auto started = Clock::now();
  std::vector<std::thread> threads;
  // Runs mostly wait, so several fit on one machine. On an overloaded machine calls look slow, the decision
  // module parks destinations, and outcomes no longer depend on the fault alone.
  const std::size_t workerCount = quick ? 8 : 3;
  for (std::size_t i = 0; i < workerCount; ++i) threads.emplace_back(playJobs);
  for (std::thread& thread : threads) thread.join();

  // Frontends may differ because concurrent runs slowed this machine down and a destination was parked. Such
  // a fault runs once more on its own, and that result counts; violations of the first run still count.
  std::size_t replayedAlone = 0, violationsBeforeReplay = 0;
  for (std::size_t faultIndex = 0; faultIndex < faults.size(); ++faultIndex) {
    const auto differsFromFirst = [&](const PlayResult& result) {
      return !result.summaries.empty() && result.summaries != results[faultIndex][0].summaries;
    };
    if (!faults[faultIndex].deterministic ||
        std::none_of(results[faultIndex].begin(), results[faultIndex].end(), differsFromFirst))
      continue;
    ++replayedAlone;
    for (std::size_t frontendIndex = 0; frontendIndex < frontends.size(); ++frontendIndex) {
      if (frontends[frontendIndex] == kBothFrontends) continue;
      violationsBeforeReplay += results[faultIndex][frontendIndex].violations.size();
      playFault(faultIndex, frontendIndex);
    }
  }

  std::size_t differences = 0, violations = violationsBeforeReplay, disallowed = 0, compared = 0,
              deterministicFaults = 0, racingFaults = 0;
  for (std::size_t faultIndex = 0; faultIndex < faults.size(); ++faultIndex) {
    if (!onlyFault.empty() && faults[faultIndex].name != onlyFault) continue;
    ++(faults[faultIndex].deterministic ? deterministicFaults : racingFaults);
    for (std::size_t frontendIndex = 0; frontendIndex < frontends.size(); ++frontendIndex) {
      if (frontends[frontendIndex] == kBothFrontends && !faults[faultIndex].alsoBothFrontends) continue;
      const PlayResult& result = results[faultIndex][frontendIndex];
      std::cout << faults[faultIndex].name << ", " << frontends[frontendIndex] << ":";
      for (const auto& [outcome, occurrences] : result.counts)
        std::cout << " " << outcome << " " << occurrences;
      std::cout << (faults[faultIndex].scriptedPartners
                        ? "; injected faults " + std::to_string(result.injectedFaults)
                        : "")
                << "\n";
      if (faults[faultIndex].scriptedPartners && result.injectedFaults == 0)
        errors.push_back(faults[faultIndex].name + ", " + frontends[frontendIndex] +
                         ": no fault was injected");
      for (std::size_t i = 0; i < result.violations.size() && (verbose || i < 5); ++i)
        std::cout << "  VIOLATION " << result.violations[i] << "\n";
      violations += result.violations.size();
      if (result.summaries.size() != count)
        errors.push_back(faults[faultIndex].name + ", " + frontends[frontendIndex] +
                         ": not all messages were submitted");
      for (const auto& [outcome, occurrences] : result.counts) {
        if (faults[faultIndex].deterministic ? false : !isAllowed(faults[faultIndex], outcome)) {
          disallowed += occurrences;
          std::cout << "  OUTCOME NOT ALLOWED: " << outcome << "\n";
        }
      }
      if (!faults[faultIndex].deterministic || frontendIndex == 0) continue;
      std::size_t printed = 0;
      for (const auto& [id, summary] : results[faultIndex][0].summaries) {
        ++compared;
        const auto found = result.summaries.find(id);
        const std::string other = found == result.summaries.end() ? "nothing" : found->second;
        if (other == summary) continue;
        ++differences;
        if (verbose || printed++ < 5)
          std::cout << "  DIFFERS " << id << ": " << summary << " by " << frontends[0] << ", " << other
                    << " by " << frontends[frontendIndex] << "\n";
      }
    }
  }
  // Latencies are compared after all other runs have ended.
  json saturation = json::object();
  if (onlyFault.empty() || onlyFault == "saturation") {
    for (const char* observedFrontend : {"RESP2", "HTTP"}) {
      const Saturation measured = measureSaturation(observedFrontend, quick ? 200 : 1'500);
      std::cout << observedFrontend << " while the other frontend is saturated with "
                << measured.misbehavingConnections << " connections: p99 " << measured.saturatedP99Ms
                << " ms, without load " << measured.unloadedP99Ms << " ms\n";
      // Below this bound differences come from the scheduler, not from the other frontend.
      const double kMinP99BoundMs = quick ? 50 : 5;  // --quick must also pass on a busy machine
      if (measured.saturatedP99Ms > std::max(2 * measured.unloadedP99Ms, kMinP99BoundMs))
        errors.push_back(std::string(observedFrontend) +
                         ": p99 more than doubled while the other frontend was saturated");
      if (!measured.allAccepted)
        errors.push_back(std::string(observedFrontend) +
                         ": not all messages were accepted while the other frontend was saturated");
      saturation[observedFrontend] = {{"quiet_p99_ms", measured.unloadedP99Ms},
                                      {"saturated_p99_ms", measured.saturatedP99Ms},
                                      {"late_ms", measured.maxLatenessMs},
                                      {"rude", measured.misbehavingConnections}};
    }
  }
  for (const std::string& error : errors) std::cout << "ERROR " << error << "\n";
  const bool passed = differences + violations + disallowed + errors.size() == 0;
  std::cout << json{{"proof", "doors"},
                    {"seed", seed},
                    {"quick", quick},
                    {"holds", passed},
                    {"faults", deterministicFaults + racingFaults},
                    {"faults_decided", deterministicFaults},
                    {"faults_racing", racingFaults},
                    {"doors", frontends.size() - 1},
                    {"messages", jobs.size() * count},
                    {"compared", compared},
                    {"differences", differences},
                    {"played_alone", replayedAlone},
                    {"promises_broken", violations},
                    {"outside_allowed", disallowed},
                    {"saturation", saturation},
                    {"errors", errors.size()},
                    {"seconds", std::chrono::duration<double>(Clock::now() - started).count()}}
                   .dump()
            << std::endl;
  return passed ? 0 : 1;
}
