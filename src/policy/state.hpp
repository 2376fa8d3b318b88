// State of one sender: circuits, destinations, messages and in-flight calls, with decaying counters and token
// buckets. Decisions are taken in logic.cpp.
#pragma once

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "quilltide/sender.hpp"

namespace quilltide {

// A time that is never reached; negated, a time in the distant past.
constexpr Micros kFarFutureUs = std::numeric_limits<Micros>::max() / 4;
constexpr double kUsPerSecond = 1e6;

// Deterministic random number generator (SplitMix64).
struct SplitMix64 {
  std::uint64_t state = 0;
  // Returns a number in [0, 1).
  double uniform() {
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return static_cast<double>((z ^ (z >> 31)) >> 11) / 9007199254740992.0;
  }
};

// A count that decays exponentially. Time constants are in microseconds.
struct DecayingCounter {
  double value = 0;
  Micros updatedAt = 0;
  double valueAt(Micros now, double timeConstantUs) const {
    return now > updatedAt
               ? value * std::exp(-static_cast<double>(now - updatedAt) / std::max(1.0, timeConstantUs))
               : value;
  }
  void add(Micros now, double timeConstantUs, double amount) {
    value = valueAt(now, timeConstantUs) + amount;
    updatedAt = std::max(updatedAt, now);
  }
};

// A token bucket of a rate limiter.
struct TokenBucket {
  double tokens = 0;
  Micros updatedAt = 0;
  void refill(Micros now, double tokensPerSecond, double burst) {
    if (now > updatedAt)
      tokens =
          std::min(burst, tokens + tokensPerSecond * static_cast<double>(now - updatedAt) / kUsPerSecond);
    updatedAt = std::max(updatedAt, now);
  }
};

// Returns the cost of a call to a zone. Zones without an entry cost as much as the most expensive one.
inline double callCostForZone(const std::vector<double>& costsByZone, int zone) {
  const auto index = static_cast<std::size_t>(std::max(0, zone));
  return costsByZone.empty()          ? 0
         : index < costsByZone.size() ? costsByZone[index]
                                      : *std::max_element(costsByZone.begin(), costsByZone.end());
}

enum class BreakerState { closed, open, halfOpen };

// Circuit breaker, bulkhead and rate limits of a destination or an endpoint. Windows last
// Logic::windowUs_.
struct Circuit {
  double tickets = 0;  // bulkhead size; 0: the initial one
  int inFlight = 0;
  int batchLimit = 0;  // messages per call after an unanswered one; 0: no limit of its own
  int hungCalls = 0;   // calls in flight past their time-out, which hold no ticket
  BreakerState breaker = BreakerState::closed;
  DecayingCounter errorsInWindow, callsInWindow;  // including bulkhead rejections
  int consecutiveFailures = 0;
  Micros lastFailureAt = -kFarFutureUs;
  Micros nextProbeAt = 0, openDuration = 0, openedAt = 0;
  int probesInFlight = 0;
  bool needsSlowStart = false;        // a call failed since the circuit was last healthy
  bool onlyConnectFailures = true;    // no failed call of this outage can have run
  bool respondedWithFailure = false;  // with errors, resets, or rejections that opened the breaker
  Micros slowStartAt = -1;            // -1: not in slow start
  TokenBucket slowStartBucket;
  Micros retryAfterUntil = 0, backoffUntil = 0;  // as told by the destination; as decided here
  int consecutiveRejections = 0;
  Micros firstRejectionAt = 0, lastRateCutAt = -kFarFutureUs;
  bool hasNoRateLimit = false;   // as told by a report
  double rateLimit = 0;          // calls per second; 0: none
  double rateLimitShare = 0;     // in a large fleet, rate limit as a share of the arrival rate; 0: none
  double fastRecoveryShare = 0;  // rate limit share up to which recovery is fast
  TokenBucket rateBucket;
  DecayingCounter sentCalls;
  DecayingCounter acceptedCalls;
  DecayingCounter answersInWindow, lostInWindow;  // lost: a call sent later was answered
  DecayingCounter arrivals;                       // messages, each counted once
  double totalRate = 0;                           // calls per second of all senders; 0: unknown
  Micros lastSuccessAt = -kFarFutureUs;
  Micros unansweredSentAt = -1;                 // send time of the latest unanswered call; -1: none
  Micros latestAnsweredSentAt = -kFarFutureUs;  // latest send time of an answered call
  double meanDurationUs = 0;                    // 0: unknown
  double slowdown = 1;                          // ratio of recent durations to the mean
};

struct DestinationState;
struct Message;

// A target of a destination, with its connections.
struct Endpoint {
  TargetEntry entry;
  DestinationState* parent = nullptr;
  Circuit circuit;
  int inFlight = 0;
  int openConnections = 0;
  Micros lastUsedAt = -kFarFutureUs;
};

// Idle time-out of the connections to one kind of destination.
struct IdleConnections {
  double idleLimitUs = 0;   // at `reducedAt`; it grows from there on
  Micros reducedAt = -1;    // -1: never
  double provenIdleUs = 0;  // longest idle time after which a call was answered, at `provenAt`
  Micros provenAt = 0;
  std::deque<std::pair<Micros, TargetId>> lastUses;  // oldest first
};

// A destination with its endpoints and pending messages.
struct DestinationState {
  Circuit circuit;  // unused where endpoints have separate limits
  std::map<TargetId, Endpoint*> endpoints;
  int inFlight = 0;
  Micros nextDispatchAt = 0;
  std::map<std::uint64_t, Message*> pendingMessages;  // by sequence; owned by the sender
};

// What a provisional outcome says of its message.
struct ProvisionalResult {
  bool endsMessage = false, mayHaveExecuted = false;
  bool held = false;  // the message waits for the review; otherwise it may be sent again before
  Micros sentAt = 0;
  TargetId target;
};

// A message without a final answer.
struct Message {
  MessageId id = 0;
  std::uint64_t sequence = 0;
  int classIndex = 0;
  std::int64_t destination = 0;
  Micros submittedAt = 0, expiresAt = 0, arrivedAt = 0;
  int attempts = 0;
  int attemptsInFlight = 0;                             // provisional results included
  std::map<int, ProvisionalResult> provisionalResults;  // by attempt
  bool provisionallyEnded = false;                      // one of them ends the message
  bool mayHaveRun = false;
  Micros firstUncertainAttemptAt = kFarFutureUs;  // send time of the first attempt that may have run
  int uncertainAttemptZone = -1;
  TargetId uncertainAttemptTarget;
  bool bulkheadRejectionCounted = false;  // since its last call
  bool recoveredFromRestart = false;

  // Whether an attempt may have run, provisional results included.
  bool isUncertain() const { return mayHaveRun || !provisionalResults.empty(); }
  // Send time of the first such attempt.
  Micros firstUncertainAt() const {
    Micros first = firstUncertainAttemptAt;
    for (const auto& [attempt, result] : provisionalResults) first = std::min(first, result.sentAt);
    return first;
  }
  // Records that an attempt may have run.
  void recordUncertainAttempt(const ProvisionalResult& result, int zone) {
    mayHaveRun = true;
    firstUncertainAttemptAt = std::min(firstUncertainAttemptAt, result.sentAt);
    if (uncertainAttemptZone < 0)
      std::tie(uncertainAttemptZone, uncertainAttemptTarget) = std::tie(zone, result.target);
  }

  // Restores the attempts made before a restart.
  void restore(const RecoveredState& recovered, Micros now, int zone) {
    // A backlog that is pending after a restart must not open the breaker of a healthy destination.
    bulkheadRejectionCounted = true;
    recoveredFromRestart = true;
    attempts = recovered.attempts;
    mayHaveRun = recovered.mayHaveRun;
    if (!mayHaveRun) return;
    firstUncertainAttemptAt = now - recovered.uncertainAttemptAge;
    uncertainAttemptZone = zone;
    uncertainAttemptTarget = recovered.uncertainAttemptTarget;
  }
};

// A call without an outcome for each of its messages.
struct InFlightCall {
  std::vector<std::pair<MessageId, int>> attempts;
  std::int64_t destination = 0;
  TargetId target;
  Micros sentAt = 0, overdueAt = kFarFutureUs;
  Micros connectionIdleTime = 0;  // 0: new connection
  double baseTimeoutUs = 0;       // as estimated when the call was sent
  int pendingOutcomes = 0;
  bool probe = false, outcomeApplied = false, overdue = false, cancelRequested = false, lossCounted = false,
       hung = false, lost = false;
  bool onStaleConnection = false;  // probably lost with an idle connection
};

}  // namespace quilltide
