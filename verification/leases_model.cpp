// Model test: a lease never has two valid holders, fencing tokens never decrease, and every lease is held
// again after faults stop. Runs the production state machine, expiry tracker and lease client in virtual time
// under random and enumerated schedules and checks the invariants after each event. The mutants build does
// the same with one injected fault at a time, each of which has to be detected.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "leases_world.hpp"
#ifdef LEASES_MUTANTS
#include "mutants.hpp"
#endif

using namespace quilltide::fleet;
using namespace quilltide::fleet::model;

namespace {

struct Totals {
  std::size_t schedules = 0, steps = 0, grants = 0, operations = 0, elections = 0, restores = 0, pauses = 0,
              lostMessages = 0, duplicatedMessages = 0, fencedWrites = 0, rejectedWrites = 0,
              guaranteedLeases = 0;
  Micros longestWithoutHolder = 0;
  void add(const Counts& c) {
    ++schedules;
    steps += c.steps;
    grants += c.grants;
    operations += c.operations;
    elections += c.elections;
    restores += c.restores;
    pauses += c.pauses;
    lostMessages += c.lostMessages;
    duplicatedMessages += c.duplicatedMessages;
    fencedWrites += c.fencedWrites;
    rejectedWrites += c.rejectedWrites;
    guaranteedLeases += c.guaranteedLeases;
    longestWithoutHolder = std::max(longestWithoutHolder, c.longestWithoutHolder);
  }
};

// The leader fails and no message is lost: holders with enough of their terms left keep their leases.
Plan failoverPlan(std::uint64_t number) {
  Plan p;
  p.failover = true;
  p.pauses = p.elections = p.restores = false;
  p.members = 2 + number % 4;
  p.leases = 2;
  p.coordinators = number % 3 == 0 ? 5 : 3;
  p.normalDeliveryShare = 1;
  p.requestTimeout = p.ttl / 10;
  p.maxRetryPause = p.ttl;
  p.maxMessageDelay = 5'000;
  p.faultPhase = 4 * p.ttl;
  p.recoveryPhase = 3 * p.ttl;
  return p;
}

// Parameters of a random schedule.
Plan randomPlan(std::uint64_t number) {
  Plan p;
  p.members = 2 + number % 4;
  p.leases = 1 + number / 4 % 2;
  p.restores = number % 3 == 0;
  p.pauses = number % 5 != 0;
  p.elections = number % 7 != 0;
  p.normalDeliveryShare = number % 2 == 0 ? 0.85 : 0.6;
  p.recallAfter = number % 11 == 0 ? 700'000 : 0;
  p.faultPhase = 2'500'000;
  p.recoveryPhase = 4'500'000;
  return p;
}

Plan enumeratedPlan(std::uint64_t number) {
  Plan p;
  p.members = 2;
  p.leases = 1;
  p.restores = false;
  p.faultPhase = 2'200'000;
  p.recoveryPhase = 3'500'000;
  p.actualDrift = number % 2 == 0 ? 0.05 : 0.0;
  return p;
}

std::optional<std::string> runSchedule(const Plan& plan, Choices choices, Totals* totals) {
  World world(plan, std::move(choices));
  auto violation = world.run();
  if (totals != nullptr) totals->add(world.counts());
  return violation;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Model test: a lease never has two valid holders.", "leases-model");
  std::uint64_t seed = 1, only = 0, onlyFailover = 0;
  std::size_t randomCount = 400'000, enumeratedCount = 100'000, failoverCount = 60'000;
  bool quick = false;
  app.add_option("--seed", seed, "seed of the random schedules");
  app.add_flag("--quick", quick, "70,000 random, 40,000 enumerated and 12,000 failover schedules");
  app.add_option("--drawn", randomCount, "number of random schedules");
  app.add_option("--enumerated", enumeratedCount, "number of enumerated schedules");
  app.add_option("--failovers", failoverCount, "number of failover schedules");
  app.add_option("--only", only, "run one random schedule, by its number");
  app.add_option("--only-failover", onlyFailover, "run one failover schedule, by its number");
  CLI11_PARSE(app, argc, argv);
  if (quick) {
    randomCount = 70'000;
    enumeratedCount = 40'000;
    failoverCount = 12'000;
  }
  const auto runRandom = [&](std::uint64_t number, Totals* totals) {
    return runSchedule(randomPlan(number), Choices::randomized(seed * 1'000'003 + number), totals);
  };
  const auto runFailover = [&](std::uint64_t number, Totals* totals) {
    return runSchedule(failoverPlan(number), Choices::randomized(seed * 1'000'003 + number), totals);
  };
  if (only != 0 || onlyFailover != 0) {
    const auto violation = only != 0 ? runRandom(only, nullptr) : runFailover(onlyFailover, nullptr);
    std::cout << (violation ? *violation : "holds") << std::endl;
    return violation ? 1 : 0;
  }
  nlohmann::json out = {{"proof", "leases-model"}, {"seed", seed}};
  bool holds = true;
#ifdef LEASES_MUTANTS
  // Each mutant has to violate an invariant in one of these schedules; the unmodified code must not.
  nlohmann::json caught = nlohmann::json::object();
  for (quilltide_mutant = 0; quilltide_mutant <= kMutants; ++quilltide_mutant) {
    std::uint64_t number = 1;
    std::optional<std::string> violation;
    const std::uint64_t maxSchedules = quilltide_mutant == 0 ? (quick ? 2'000 : 20'000) : 20'000;
    for (; number <= maxSchedules && !violation; ++number) {
      violation = runRandom(number, nullptr);
      if (!violation && number <= enumeratedCount && number % 4 == 0)
        violation = runSchedule(enumeratedPlan(number), Choices::enumerated(number), nullptr);
      if (!violation && number % 4 == 0) violation = runFailover(number, nullptr);
    }
    if (quilltide_mutant == 0) {
      if (violation) {
        std::cerr << "without a mutant: schedule " << number - 1 << ": " << *violation << std::endl;
        holds = false;
      }
      continue;
    }
    const char* name = kMutantNames[quilltide_mutant];
    std::cerr << name << ": "
              << (violation ? "schedule " + std::to_string(number - 1) + ", " + *violation : "NOT CAUGHT")
              << std::endl;
    caught[name] = violation ? number - 1 : 0;
    holds = holds && violation;
  }
  out["caught_by_schedule"] = caught;
  out["mutants"] = kMutants;
#else
  Totals totals;
  for (std::uint64_t number = 1; number <= randomCount; ++number) {
    if (const auto violation = runRandom(number, &totals)) {
      std::cerr << "random schedule " << number << ": " << *violation << "\nrepeat with: leases-model --seed "
                << seed << " --only " << number << std::endl;
      holds = false;
      break;
    }
  }
  out["drawn"] = totals.schedules;
  for (std::uint64_t number = 0; number < enumeratedCount && holds; ++number) {
    if (const auto violation = runSchedule(enumeratedPlan(number), Choices::enumerated(number), &totals)) {
      std::cerr << "enumerated schedule " << number << ": " << *violation << std::endl;
      holds = false;
    }
  }
  for (std::uint64_t number = 1; number <= failoverCount && holds; ++number) {
    if (const auto violation = runFailover(number, &totals)) {
      std::cerr << "failover schedule " << number << ": " << *violation
                << "\nrepeat with: leases-model --seed " << seed << " --only-failover " << number
                << std::endl;
      holds = false;
    }
  }
  out["schedules"] = totals.schedules;
  out["steps"] = totals.steps;
  out["grants"] = totals.grants;
  out["acts"] = totals.operations;
  out["elections"] = totals.elections;
  out["restores"] = totals.restores;
  out["pauses"] = totals.pauses;
  out["messages_lost"] = totals.lostMessages;
  out["messages_repeated"] = totals.duplicatedMessages;
  out["fenced_writes"] = totals.fencedWrites;
  out["refused_by_fence"] = totals.rejectedWrites;
  out["guaranteed_leases"] = totals.guaranteedLeases;
  out["longest_without_holder_ms"] = totals.longestWithoutHolder / 1'000;
  // The run is only meaningful if every kind of fault occurred.
  if (totals.grants == 0 || totals.operations == 0 || totals.elections <= totals.schedules ||
      totals.restores == 0 || totals.lostMessages == 0 || totals.duplicatedMessages == 0 ||
      totals.fencedWrites == 0 || totals.rejectedWrites == 0 || totals.guaranteedLeases == 0)
    holds = false;
#endif
  out["holds"] = holds;
  std::cout << out.dump() << std::endl;
  return holds ? 0 : 1;
}
