// Simulates a fleet in virtual time: coordinators with a replicated log, members with the production lease
// client, and faults of clocks, processes and the network. A World runs one schedule and is determined by its
// Choices.
#pragma once

#include <algorithm>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "fleet/expiry/expiry.hpp"
#include "fleet/lease_client/coordinator_selector.hpp"
#include "fleet/lease_client/lease_client.hpp"
#include "fleet/state/state.hpp"

namespace quilltide::fleet::model {

// Source of a schedule's decisions: random, or enumerated. In an enumerated schedule the digits of a number
// give the first outcomes, and all other decisions take the first alternative.
class Choices {
 public:
  static Choices randomized(std::uint64_t seed) { return Choices(seed, std::nullopt); }
  static Choices enumerated(std::uint64_t number) { return Choices(1, number); }
  bool isRandom() const { return !digits_; }
  // One of `outcomeCount` outcomes; 0 is the normal one.
  std::size_t outcome(std::size_t outcomeCount, double normalShare) {
    if (digits_) {
      const std::uint64_t digit = *digits_ % outcomeCount;
      *digits_ /= outcomeCount;
      return digit;
    }
    if (std::uniform_real_distribution<double>()(random_) < normalShare) return 0;
    return 1 + random_() % (outcomeCount - 1);
  }
  Micros between(Micros least, Micros most) {
    if (digits_) return least;
    return least + static_cast<Micros>(random_() % static_cast<std::uint64_t>(most - least + 1));
  }
  std::size_t below(std::size_t n) { return digits_ ? 0 : random_() % n; }
  bool chance(double p) { return !digits_ && std::uniform_real_distribution<double>()(random_) < p; }
  double clockRate(double maxError) {
    const double choice = std::uniform_real_distribution<double>(-1, 1)(random_);
    // Prefers extreme rates, which are the most likely to violate an invariant.
    return 1 + maxError * (choice > 0.3 ? 1 : choice < -0.3 ? -1 : choice);
  }

 private:
  Choices(std::uint64_t seed, std::optional<std::uint64_t> digits) : random_(seed), digits_(digits) {}
  std::mt19937_64 random_;
  std::optional<std::uint64_t> digits_;
};

struct Plan {
  std::size_t members = 4, leases = 2, coordinators = 3;
  Micros ttl = 1'000'000, faultPhase = 3'000'000, recoveryPhase = 6'000'000;
  Micros recallAfter = 0;
  double assumedDrift = 0.05;         // maximum clock drift in the settings
  double actualDrift = 0.05;          // maximum rate error of the simulated clocks
  double normalDeliveryShare = 0.85;  // share of messages that arrive once and in time
  bool pauses = true, elections = true, restores = true;
  // The leader fails once, and another coordinator leads after a while. There are no other faults.
  bool failover = false;
  Micros requestTimeout = ttl / 4, maxRetryPause = ttl / 4;
  Micros maxMessageDelay = 30'000;  // of messages that arrive in time
};

// Longest delays of a coordinator that leads and is not paused.
constexpr Micros kMaxCommitDelay = 10'000, kMaxApplyDelay = 2'000;

struct Counts {
  std::size_t steps = 0, grants = 0, operations = 0, elections = 0, restores = 0, pauses = 0,
              lostMessages = 0, duplicatedMessages = 0, fencedWrites = 0, rejectedWrites = 0, earlyLosses = 0,
              guaranteedLeases = 0;  // held at a failover with more left than the bound
  Micros longestWithoutHolder = 0;   // of any lease, after faults have stopped
};

class World {
 public:
  World(const Plan& plan, Choices choices) : plan_(plan), choices_(std::move(choices)) {
    StateLimits limits;
    limits.maxTtl = plan.ttl;
    ExpiryTracker::Settings expirySettings;
    expirySettings.maxClockDrift = plan.assumedDrift;
    expirySettings.recallAfter = plan.recallAfter;
    for (std::size_t i = 0; i < plan.coordinators; ++i) {
      coordinators_.push_back(std::make_unique<Coordinator>(State(limits), ExpiryTracker(expirySettings)));
      coordinators_.back()->rate = choices_.clockRate(plan.actualDrift);
    }
    backups_.emplace_back(0, State(limits));
    for (std::size_t i = 0; i < plan.members; ++i) {
      LeaseClient::Settings s;
      s.memberName = "m" + std::to_string(i);
      s.nonce = "n" + std::to_string(i);
      s.ttl = plan.ttl;
      s.maxClockDrift = plan.assumedDrift;
      s.requestTimeout = plan.requestTimeout;
      s.minRetryPause = kMinRetryPause;
      s.maxRetryPause = plan.maxRetryPause;
      s.jitterSeed = i + 1;
      members_.push_back(std::make_unique<Member>(LeaseClient(s), plan.coordinators));
      members_.back()->rate = choices_.clockRate(plan.actualDrift);
      members_.back()->offset = static_cast<Micros>(i) * 77'000'000;
      for (std::size_t l = 0; l < plan.leases; ++l) members_.back()->leaseClient.acquire(leaseName(l));
      scheduleAt(static_cast<Micros>(i) * 1'000, [this, i] { runMember(i); });
    }
    scheduleAt(0, [this] { elect(0); });
    if (plan.pauses || plan.elections || plan.restores) scheduleAt(200'000, [this] { injectFault(); });
    if (plan.failover) scheduleAt(choices_.between(plan.ttl, plan.ttl * 2), [this] { failLeader(); });
  }

  // Runs the schedule and returns the first violated invariant, or nullopt.
  std::optional<std::string> run() {
    const Micros end = plan_.faultPhase + plan_.recoveryPhase;
    while (!events_.empty() && !violation_) {
      Event event = std::move(const_cast<Event&>(events_.top()));
      events_.pop();
      if (event.time > end) break;
      now_ = std::max(now_, event.time);
      event.action();
      ++counts_.steps;
      checkInvariants();
    }
    if (!violation_) checkAtEnd();
    return violation_;
  }
  const Counts& counts() const { return counts_; }
  Micros now() const { return now_; }

 private:
  struct Event {
    Micros time;
    std::uint64_t order;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(time, order) > std::tie(other.time, other.order);
    }
  };
  static constexpr Micros kMinRetryPause = 20'000, kRetryPausesPerTerm = 10;
  struct Reply {
    std::size_t member;
    std::uint64_t requestId;
  };
  // How a failed coordinator treats requests.
  enum class Failure { none, refuses, silent };
  struct Proposal {
    std::uint64_t term;
    Command command;
    std::optional<Reply> reply;
  };
  struct Coordinator {
    Coordinator(State s, ExpiryTracker tracker) : state(std::move(s)), expiry(std::move(tracker)) {}
    State state;
    ExpiryTracker expiry;
    double rate = 1;
    bool leading = false;
    Failure failure = Failure::none;
    std::optional<std::size_t> knownLeader;  // named in responses; may be outdated
    std::uint64_t term = 0;
    Micros pausedUntil = 0;
    LogIndex committedIndex = 0;  // last entry known to be committed
    std::deque<Proposal> proposals;
    std::map<LogIndex, std::vector<Reply>> replies;
    std::uint64_t incarnation = 0;  // incremented by each restore; events of earlier incarnations are ignored
    bool expiryScheduled = false;
  };
  struct Operation {
    std::string lease;
    FencingToken token;
    bool paused = false;
  };
  struct Member {
    Member(LeaseClient client, std::size_t coordinators)
        : leaseClient(std::move(client)), selector(coordinatorIds(coordinators), 0) {}
    LeaseClient leaseClient;
    CoordinatorSelector selector;
    std::size_t anyCoordinator = 0;              // asked next, except in a failover
    std::map<std::uint64_t, std::size_t> asked;  // coordinator by request id, in a failover
    std::set<std::string> guaranteedLeases;      // may not expire, see guaranteeLeases()
    double rate = 1;
    Micros offset = 0, pausedUntil = 0;
    Micros nextRunAt = 0;
    std::vector<Operation> operations;
  };

  // Ids of coordinators are their indexes plus 1.
  static std::vector<std::uint64_t> coordinatorIds(std::size_t count) {
    std::vector<std::uint64_t> ids;
    for (std::size_t i = 0; i < count; ++i) ids.push_back(i + 1);
    return ids;
  }
  std::string leaseName(std::size_t i) const { return "lease" + std::to_string(i); }
  void scheduleAt(Micros when, std::function<void()> action) {
    events_.push({when, ++order_, std::move(action)});
  }
  void scheduleAfter(Micros delay, std::function<void()> action) {
    scheduleAt(now_ + delay, std::move(action));
  }
  Micros clockOf(const Member& m) const {
    return m.offset + static_cast<Micros>(static_cast<double>(now_) * m.rate);
  }
  Micros clockOf(const Coordinator& k) const {
    return static_cast<Micros>(static_cast<double>(now_) * k.rate);
  }
  bool faultsEnded() const { return now_ >= plan_.faultPhase; }
  void reportViolation(const std::string& description) {
    if (!violation_) violation_ = "at " + std::to_string(now_) + " us: " + description;
  }

  // ---- Messages ----

  void sendMessage(std::function<void()> deliver, bool mayDuplicate) {
    const std::size_t outcome =
        faultsEnded() ? 0 : choices_.outcome(mayDuplicate ? 4 : 3, plan_.normalDeliveryShare);
    if (outcome == 1) {
      ++counts_.lostMessages;
      return;
    }
    if (outcome == 2)
      return scheduleAfter(choices_.between(plan_.ttl * 2 / 5, plan_.ttl * 5 / 2),
                           std::move(deliver));  // late
    if (outcome == 3) {
      ++counts_.duplicatedMessages;
      scheduleAfter(choices_.between(plan_.ttl / 10, plan_.ttl * 2), deliver);
    }
    scheduleAfter(choices_.between(500, plan_.maxMessageDelay), std::move(deliver));
  }

  void runMember(std::size_t i) {
    Member& m = *members_[i];
    if (m.pausedUntil > now_) return scheduleAt(m.pausedUntil, [this, i] { runMember(i); });
    const Micros clock = clockOf(m);
    for (LeaseClient::Request& request : m.leaseClient.takeRequests(clock)) {
      const std::size_t to = coordinatorFor(m);
      if (plan_.failover) {
        m.asked[request.id] = to;
        scheduleAfter(static_cast<Micros>(static_cast<double>(plan_.requestTimeout) / m.rate),
                      [this, reply = Reply{i, request.id}] { timeOutRequest(reply); });
      }
      sendMessage(
          [this, i, to, request = std::move(request)] {
            receiveRequest(to, {i, request.id}, request.command);
          },
          true);
    }
    for (const LeaseClient::Event& e : m.leaseClient.takeEvents(clock)) {
      if (e.kind == LeaseClient::Event::Kind::leaseLost && m.guaranteedLeases.contains(e.lease))
        reportViolation("a holder with enough of its term left at a failover lost " + e.lease);
      if (e.kind != LeaseClient::Event::Kind::leaseAcquired) continue;
      ++counts_.grants;
      FencingToken& last = lastToken_[e.lease];
      if (e.token < last) reportViolation("the token of " + e.lease + " decreased");
      last = std::max(last, e.token);
    }
    startOperations(i);
    const Micros waitTime = m.leaseClient.nextWakeup(clock) - clock;
    const Micros when =
        now_ + std::max<Micros>(1, static_cast<Micros>(static_cast<double>(waitTime) / m.rate) + 1);
    // Only the earliest scheduled run counts.
    if (m.nextRunAt <= now_ || when < m.nextRunAt) {
      m.nextRunAt = when;
      scheduleAt(when, [this, i, when] {
        if (members_[i]->nextRunAt == when) runMember(i);
      });
    }
  }

  void receiveRequest(std::size_t k, const Reply& reply, const Command& command) {
    Coordinator& coordinator = *coordinators_[k];
    if (coordinator.pausedUntil > now_)
      return scheduleAt(coordinator.pausedUntil,
                        [this, k, reply, command] { receiveRequest(k, reply, command); });
    if (coordinator.failure != Failure::none) return failRequest(k, reply);
    if (!coordinator.leading) {
      sendMessage([this, k, reply, named = coordinator.knownLeader] { deliverFailure(k, reply, named); },
                  false);
      return;
    }
    propose(k, command, reply);
  }

  // Ends a request at a failed coordinator: its connection is closed, or nothing happens.
  void failRequest(std::size_t k, const Reply& reply) {
    if (coordinators_[k]->failure == Failure::refuses)
      sendMessage([this, k, reply] { deliverFailure(k, reply, {}); }, false);
  }

  void deliverFailure(std::size_t from, const Reply& reply, std::optional<std::size_t> namedLeader) {
    Member& m = *members_[reply.member];
    if (m.pausedUntil > now_)
      return scheduleAt(m.pausedUntil,
                        [this, from, reply, namedLeader] { deliverFailure(from, reply, namedLeader); });
    if (m.asked.erase(reply.requestId) != 0)
      m.selector.recordFailure(from, namedLeader ? *namedLeader + 1 : 0);
    m.anyCoordinator = choices_.isRandom() ? choices_.below(coordinators_.size()) : currentLeader_;
    if (faultsEnded()) m.anyCoordinator = currentLeader_;
    m.leaseClient.handleFailure(reply.requestId, clockOf(m));
    runMember(reply.member);
  }

  void timeOutRequest(const Reply& reply) {
    const auto at = members_[reply.member]->asked.find(reply.requestId);
    if (at != members_[reply.member]->asked.end()) deliverFailure(at->second, reply, {});
  }

  // No lease may be granted twice whichever coordinator is asked, so any one is asked; in a failover it is
  // the one that a member would ask.
  std::size_t coordinatorFor(const Member& m) const {
    return plan_.failover ? m.selector.current() : m.anyCoordinator;
  }

  void deliverResult(const Reply& reply, const Result& result) {
    Member& m = *members_[reply.member];
    if (m.pausedUntil > now_)
      return scheduleAt(m.pausedUntil, [this, reply, result] { deliverResult(reply, result); });
    if (const auto at = m.asked.find(reply.requestId); at != m.asked.end()) {
      m.selector.recordSuccess(at->second);
      m.asked.erase(at);
    }
    m.leaseClient.handleResult(reply.requestId, result, clockOf(m));
    runMember(reply.member);
  }

  // ---- The log ----

  void propose(std::size_t k, const Command& command, std::optional<Reply> reply) {
    Coordinator& coordinator = *coordinators_[k];
    coordinator.proposals.push_back({coordinator.term, command, reply});
    const std::uint64_t incarnation = coordinator.incarnation;
    scheduleAfter(choices_.between(500, kMaxCommitDelay), [this, k, incarnation] { commit(k, incarnation); });
  }

  void commit(std::size_t k, std::uint64_t incarnation) {
    Coordinator& coordinator = *coordinators_[k];
    if (incarnation != coordinator.incarnation || coordinator.proposals.empty()) return;
    Proposal p = std::move(coordinator.proposals.front());
    coordinator.proposals.pop_front();
    if (p.term != term_) {  // another coordinator has been elected
      if (p.reply) sendMessage([this, k, reply = *p.reply] { deliverFailure(k, reply, {}); }, false);
      return;
    }
    if (coordinator.failure != Failure::none) {
      if (p.reply) failRequest(k, *p.reply);
      return;
    }
    append(p.command);
    const LogIndex index = log_.size();
    if (p.reply) coordinator.replies[index].push_back(*p.reply);
    // Acknowledgements may reach the leader late, even after another one was elected.
    const bool late = !faultsEnded() && !plan_.failover && choices_.isRandom() && choices_.chance(0.05);
    const Micros delay =
        late ? choices_.between(plan_.ttl / 4, plan_.ttl * 2) : choices_.between(0, kMaxApplyDelay);
    scheduleAfter(delay, [this, k, incarnation, index] { applyUpTo(k, incarnation, index); });
    for (std::size_t other = 0; other < coordinators_.size(); ++other) {
      if (other == k) continue;
      scheduleAfter(choices_.between(1'000, faultsEnded() ? 10'000 : 200'000),
                    [this, other, incarnation = coordinators_[other]->incarnation, index] {
                      applyUpTo(other, incarnation, index);
                    });
    }
  }

  void append(const Command& command) { log_.push_back(command); }

  void applyUpTo(std::size_t k, std::uint64_t incarnation, LogIndex index) {
    Coordinator& coordinator = *coordinators_[k];
    if (incarnation != coordinator.incarnation) return;
    if (coordinator.pausedUntil > now_)
      return scheduleAt(coordinator.pausedUntil,
                        [this, k, incarnation, index] { applyUpTo(k, incarnation, index); });
    for (LogIndex i = coordinator.state.appliedIndex() + 1; i <= index; ++i) {
      std::vector<Effect> effects;
      const Result result = coordinator.state.apply(i, log_[i - 1], &effects);
      coordinator.expiry.observe(coordinator.state, effects, clockOf(coordinator));
      if (i > highestAppliedIndex_) {
        highestAppliedIndex_ = i;
        if (const auto* put = std::get_if<PutValue>(&log_[i - 1]); put != nullptr && put->fence)
          checkFencedWrite(i, *put, result);
        if (i % 8 == 0) backups_.emplace_back(i, coordinator.state);
        if (const auto violation = coordinator.state.violatedInvariant()) reportViolation(*violation);
      }
      const auto replies = coordinator.replies.find(i);
      if (replies == coordinator.replies.end()) continue;
      for (const Reply& reply : replies->second) {
        if (coordinator.failure != Failure::none) {
          failRequest(k, reply);
          continue;
        }
        sendMessage([this, reply, result] { deliverResult(reply, result); }, false);
      }
      coordinator.replies.erase(replies);
    }
  }

  void checkFencedWrite(LogIndex index, const PutValue& put, const Result& result) {
    if (result.index != index) return;  // a retry that got the stored result
    if (result.code == ResultCode::staleFence) ++counts_.rejectedWrites;
    if (result.code != ResultCode::ok) return;
    ++counts_.fencedWrites;
    FencingToken& last = lastFencedToken_[put.fence->lease];
    if (put.fence->token < last) reportViolation("a write with an outdated token was applied");
    last = put.fence->token;
  }

  void elect(std::size_t k) {
    ++counts_.elections;
    const std::uint64_t term = ++term_;
    // Uncommitted entries of the previous leader may still be in the log of the new one.
    Coordinator& previous = *coordinators_[currentLeader_];
    const std::size_t inherited =
        previous.proposals.empty() ? 0 : choices_.below(previous.proposals.size() + 1);
    for (std::size_t i = 0; i < inherited; ++i) append(previous.proposals[i].command);
    for (Proposal& p : previous.proposals) p.term = 0;
    currentLeader_ = k;
    for (std::size_t other = 0; other < coordinators_.size(); ++other) {
      if (other == k) continue;
      const Micros stepDownDelay = faultsEnded() ? 1'000 : choices_.between(0, plan_.ttl * 4 / 5);
      scheduleAfter(stepDownDelay, [this, other, term] { stepDown(other, term); });
    }
    scheduleAfter(
        choices_.between(1'000, 20'000),
        [this, k, term, incarnation = coordinators_[k]->incarnation] { lead(k, term, incarnation); });
  }

  void stepDown(std::size_t k, std::uint64_t term) {
    Coordinator& coordinator = *coordinators_[k];
    if (coordinator.pausedUntil > now_)
      return scheduleAt(coordinator.pausedUntil, [this, k, term] { stepDown(k, term); });
    if (coordinator.term >= term) return;
    coordinator.knownLeader = currentLeader_;
    coordinator.leading = false;
    coordinator.expiry.stopLeading();
  }

  void lead(std::size_t k, std::uint64_t term, std::uint64_t incarnation) {
    Coordinator& coordinator = *coordinators_[k];
    if (term != term_ || incarnation != coordinator.incarnation) return;
    if (coordinator.pausedUntil > now_)
      return scheduleAt(coordinator.pausedUntil,
                        [this, k, term, incarnation] { lead(k, term, incarnation); });
    coordinator.leading = true;
    coordinator.knownLeader = k;
    coordinator.term = term;
    coordinator.expiry.startLeading(coordinator.state, clockOf(coordinator));
    // Committing the leader's first entry also commits all earlier entries.
    const LogIndex lastIndex = log_.size();
    scheduleAfter(choices_.between(0, faultsEnded() ? 5'000 : 300'000),
                  [this, k, incarnation, lastIndex] { applyUpTo(k, incarnation, lastIndex); });
    if (!std::exchange(coordinator.expiryScheduled, true)) runExpiry(k);
    if (failedLeader_) guaranteeLeases();
  }

  void runExpiry(std::size_t k) {
    Coordinator& coordinator = *coordinators_[k];
    if (!coordinator.leading) {
      coordinator.expiryScheduled = false;
      return;
    }
    if (coordinator.pausedUntil > now_)
      return scheduleAt(coordinator.pausedUntil, [this, k] { runExpiry(k); });
    const Micros clock = clockOf(coordinator);
    for (const Command& command : coordinator.expiry.dueCommands(coordinator.state, clock))
      propose(k, command, {});
    const Micros waitTime = coordinator.expiry.nextCheck(clock) - clock;
    scheduleAfter(
        std::max<Micros>(1, static_cast<Micros>(static_cast<double>(waitTime) / coordinator.rate) + 1),
        [this, k] { runExpiry(k); });
  }

  // ---- Failover ----

  // The leader fails for good, and another coordinator is elected.
  void failLeader() {
    Coordinator& failed = *coordinators_[currentLeader_];
    failed.failure = choices_.chance(0.5) ? Failure::silent : Failure::refuses;
    failed.leading = false;
    failed.expiry.stopLeading();
    failedLeader_ = currentLeader_;
    const std::size_t next =
        (currentLeader_ + 1 + choices_.below(coordinators_.size() - 1)) % coordinators_.size();
    scheduleAfter(choices_.between(plan_.ttl / 20, plan_.ttl * 9 / 10), [this, next] { elect(next); });
  }

  // Longest time from when a coordinator leads until a renewal is answered, by a member's clock: see
  // docs/design/leases.md.
  Micros failoverBound() const {
    const Micros pause =
        std::min(plan_.maxRetryPause, std::max(kMinRetryPause, plan_.ttl / kRetryPausesPerTerm));
    const Micros answer = 2 * plan_.maxMessageDelay + kMaxCommitDelay + kMaxApplyDelay;
    const Micros silent =
        coordinators_[*failedLeader_]->failure == Failure::silent ? plan_.requestTimeout : 0;
    const Micros bound = static_cast<Micros>(coordinators_.size()) * (pause + answer) + silent;
    return static_cast<Micros>(static_cast<double>(bound) * (1 + plan_.actualDrift));
  }

  // A coordinator leads again: leases with more than the bound left must not expire any more.
  void guaranteeLeases() {
    for (const auto& member : members_) {
      for (std::size_t l = 0; l < plan_.leases; ++l) {
        if (!member->leaseClient.validToken(leaseName(l), clockOf(*member), failoverBound())) continue;
        member->guaranteedLeases.insert(leaseName(l));
        ++counts_.guaranteedLeases;
      }
    }
  }

  // ---- Faults ----

  void injectFault() {
    if (faultsEnded()) return endFaults();
    std::vector<std::function<void()>> faults;
    if (plan_.pauses) {
      faults.push_back([this] {
        Member& m = *members_[choices_.below(members_.size())];
        m.pausedUntil = now_ + choices_.between(plan_.ttl / 5, plan_.ttl * 3);
        for (Operation& operation : m.operations) operation.paused = true;
        ++counts_.pauses;
      });
      faults.push_back([this] {
        Coordinator& k = *coordinators_[choices_.below(coordinators_.size())];
        k.pausedUntil = now_ + choices_.between(plan_.ttl / 5, plan_.ttl * 2);
        ++counts_.pauses;
      });
    }
    if (plan_.elections)
      faults.push_back([this] {
        elect(choices_.isRandom() ? choices_.below(coordinators_.size())
                                  : (currentLeader_ + 1) % coordinators_.size());
      });
    if (plan_.restores) {
      faults.push_back([this] {
        if (choices_.chance(0.3)) restore();
      });
    }
    const std::size_t which =
        choices_.isRandom() ? 1 + choices_.below(faults.size()) : choices_.outcome(faults.size() + 1, 0);
    if (which > 0 && which <= faults.size()) faults[which - 1]();
    scheduleAfter(choices_.between(plan_.ttl / 10, plan_.ttl * 3 / 5), [this] { injectFault(); });
  }

  // Restarts all coordinators from an older backup.
  void restore() {
    ++counts_.restores;
    const auto& [index, backup] = backups_[choices_.below(backups_.size())];
    const State restored = backup;
    log_.resize(index);
    highestAppliedIndex_ = index;
    while (backups_.back().first > index) backups_.pop_back();
    ++term_;
    for (auto& coordinator : coordinators_) {
      ++coordinator->incarnation;
      coordinator->state = restored;
      coordinator->expiry.stopLeading();
      coordinator->leading = false;
      coordinator->proposals.clear();
      coordinator->replies.clear();
      coordinator->committedIndex = 0;
    }
    append(RaiseGeneration{++lastGeneration_});
    scheduleAfter(choices_.between(50'000, 300'000), [this] { elect(choices_.below(coordinators_.size())); });
  }

  void endFaults() {
    for (auto& m : members_) m->pausedUntil = std::min(m->pausedUntil, now_);
    for (auto& k : coordinators_) k->pausedUntil = std::min(k->pausedUntil, now_);
    // Delayed messages still arrive; one coordinator leads from here on.
    elect(0);
    for (std::size_t i = 0; i < members_.size(); ++i) scheduleAt(now_ + 1, [this, i] { runMember(i); });
  }

  // ---- Operations and invariants ----

  void startOperations(std::size_t i) {
    Member& m = *members_[i];
    const Micros clock = clockOf(m);
    const Micros duration = plan_.ttl / 20;
    for (std::size_t l = 0; l < plan_.leases; ++l) {
      const std::string lease = leaseName(l);
      const bool busy = std::any_of(m.operations.begin(), m.operations.end(),
                                    [&](const Operation& operation) { return operation.lease == lease; });
      if (busy) continue;
      const auto token = m.leaseClient.validToken(lease, clock, duration);
      if (!token) continue;
      ++counts_.operations;
      m.operations.push_back({lease, *token, false});
      for (std::size_t other = 0; other < members_.size(); ++other) {
        if (other == i) continue;
        for (const Operation& operation : members_[other]->operations)
          if (operation.lease == lease && !operation.paused)
            reportViolation("two operations under " + lease + " overlap");
      }
      if (choices_.chance(0.3)) m.leaseClient.put("last-" + lease, std::to_string(*token), {}, lease);
      const auto simulatedDuration = static_cast<Micros>(static_cast<double>(duration) / m.rate);
      scheduleAfter(simulatedDuration, [this, i, lease] {
        auto& operations = members_[i]->operations;
        operations.erase(std::find_if(operations.begin(), operations.end(),
                                      [&](const Operation& operation) { return operation.lease == lease; }));
      });
    }
    if (choices_.chance(0.04) && plan_.leases > 0) {
      const std::string lease = leaseName(choices_.below(plan_.leases));
      // A lease is released only when no operation under it is in progress.
      if (std::any_of(m.operations.begin(), m.operations.end(),
                      [&](const Operation& operation) { return operation.lease == lease; }))
        return;
      m.guaranteedLeases.erase(lease);
      if (choices_.chance(0.5)) {
        m.leaseClient.release(lease);
        m.leaseClient.acquire(lease);
      } else {
        m.leaseClient.transfer(lease, "m" + std::to_string(choices_.below(members_.size())));
        m.leaseClient.acquire(lease);
      }
    }
  }

  void checkInvariants() {
    for (std::size_t l = 0; l < plan_.leases; ++l) {
      const std::string lease = leaseName(l);
      std::size_t count = 0;
      for (const auto& m : members_) count += m->leaseClient.holds(lease, clockOf(*m));
      if (count > 1) reportViolation(std::to_string(count) + " holders of " + lease);
      if (faultsEnded()) {
        Micros& since = unheldSince_[lease];
        if (count > 0) {
          since = 0;
        } else if (since == 0) {
          since = now_;
        } else {
          counts_.longestWithoutHolder = std::max(counts_.longestWithoutHolder, now_ - since);
        }
      }
    }
  }

  void checkAtEnd() {
    for (const auto& m : members_) counts_.earlyLosses += m->leaseClient.prematureLosses();
    // A restore ends all sessions at once, so early losses are expected after it.
    if (counts_.earlyLosses > 0 && counts_.restores == 0)
      reportViolation("the coordinators ended a lease that was still valid at its holder");
    for (std::size_t l = 0; l < plan_.leases; ++l) {
      bool held = false;
      for (const auto& m : members_) held = held || m->leaseClient.holds(leaseName(l), clockOf(*m));
      if (!held && unheldSince_[leaseName(l)] != 0 && now_ - unheldSince_[leaseName(l)] > plan_.ttl)
        reportViolation("no member holds " + leaseName(l) + " long after the faults");
    }
  }

  Plan plan_;
  Choices choices_;
  Micros now_ = 0;
  std::uint64_t order_ = 0;
  std::priority_queue<Event> events_;
  std::vector<std::unique_ptr<Coordinator>> coordinators_;
  std::vector<std::unique_ptr<Member>> members_;
  std::vector<Command> log_;
  std::uint64_t term_ = 0;
  std::size_t currentLeader_ = 0;
  std::optional<std::size_t> failedLeader_;
  std::uint32_t lastGeneration_ = 1'000;
  LogIndex highestAppliedIndex_ = 0;
  std::vector<std::pair<LogIndex, State>> backups_;
  std::map<std::string, FencingToken> lastToken_, lastFencedToken_;
  std::map<std::string, Micros> unheldSince_;
  Counts counts_;
  std::optional<std::string> violation_;
};

}  // namespace quilltide::fleet::model
