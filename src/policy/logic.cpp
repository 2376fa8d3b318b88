// Decision logic of one sender: circuit breakers, bulkheads, rate limits, slow start, retries and batching.
// Each destination has a Circuit that all its endpoints share; where endpoints have separate limits, each
// endpoint has its own. A call needs a bulkhead ticket. A message for which no ticket is free stays pending,
// and the rejection may count as an error. Errors, overdue calls and such rejections open the breaker; probes
// close it again.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "quilltide/sender.hpp"
#include "state.hpp"

namespace quilltide {
namespace {

// A "SoftDeadlineFactor" multiplies the shortest soft deadline of all message classes, a "DurationFactor" the
// mean duration of a call.
constexpr double kTicketGrowthFactor = 1.5;
constexpr double kTripErrorCount = 5;
// Any load brings a few errors, so their share of the calls counts as well.
constexpr double kTripErrorShare = 0.5;
constexpr int kTripConsecutiveRejectionCount = 5;
// Senders with few calls never reach the error count within the window.
constexpr int kTripConsecutiveFailureCount = 2;
// Long enough for five calls of a slow destination.
constexpr double kWindowSoftDeadlineFactor = 4;

// Several probes fit into one soft deadline.
constexpr double kFirstOpenProbeIntervalFactor = 0.4;
// Long outages cost few calls.
constexpr double kOpenDurationGrowthFactor = 1.5;

// So many probes of the whole fleet harm no destination.
constexpr double kFleetProbesPerSoftDeadline = 4;

// So few senders learn fast enough alone and fill no connection table.
constexpr int kSmallFleetMaxSenders = 4;

// The directory needs about this long to answer one watch request.
constexpr double kWatchSpreadUsPerSender = 80'000;
constexpr double kWatchSpreadMaxShare = 0.8;
constexpr double kWatchRetryMaxUs = 4.4e6;
constexpr double kWatchRetryMinShare = 0.55;

// Lower bound of the probe interval while all failures are failed connects.
constexpr double kConnectProbeSoftDeadlineFactor = 0.5;
// Jitter keeps the probes of different senders from coinciding.
constexpr double kProbeJitterShare = 0.2;

constexpr double kOverdueDurationFactor = 6;
// Shorter delays may come from a busy machine.
constexpr double kMinOverdueSoftDeadlineFactor = 0.1;
// A time-out throws work away, so it lies well past the overdue limit, and past two soft deadlines, since a
// late delivery still has some value.
constexpr double kTimeoutDurationFactor = 12;
constexpr double kExpectedResponseDurationFactor = 2;
constexpr double kMinExpectedResponseSoftDeadlineFactor = 0.04;
constexpr double kMinTimeoutSoftDeadlineFactor = 2;

// Weight of a new sample in the moving average, and the limit of a sample in multiples of that average.
constexpr double kMeanDurationWeight = 0.1;
constexpr double kMeanDurationClipFactor = 3;
constexpr double kSlowdownWeight = 0.3;

// Share of the overload factor in the settings that slow start uses.
constexpr double kSlowStartOverloadShare = 0.9;
// Call rate that any destination is assumed to sustain, summed over all senders.
constexpr double kMinDestinationCallsPerSecond = 1;
// Time constant of the arrival rate, in warm-up durations.
constexpr double kArrivalWarmUpFactor = 4;

constexpr double kRateLimitCutFactor = 0.85;
constexpr double kTicketCutFactor = 0.75;

// In a large fleet the rate limit is a share of the arrival rate, since a single sender sees too few
// responses to estimate an absolute limit.
constexpr double kRateShareCutFactor = 0.6;
// Lower where calls carry several messages: those that are held go with the next call.
constexpr double kBatchRateShareCutFactor = 0.4;
constexpr double kConnectionRateShareCutFactor = 0.85;

// Growth per answered call: fast below the share that was rejected first, slow above it.
constexpr double kFastRateShareGrowthFactor = 1.6;
constexpr double kFastGrowthEndFactor = 0.8;
constexpr double kSlowRateShareGrowthFactor = 1.01;

// Growth without any answer.
constexpr double kRateShareGrowthPerSecond = 0.02;
// Lowest rate limit, as a fraction of this sender's share of the total rate.
constexpr double kMinListedRateShare = 0.5;
// A smaller share would leave too few calls to detect recovery.
constexpr double kMinRateShare = 0.1;
// The rate limit is removed above this share.
constexpr double kUnlimitedRateShare = 1.5;

constexpr double kFirstBackoffSoftDeadlineFactor = 0.1;
constexpr double kMaxBackoffSoftDeadlineFactor = 4;

constexpr double kRateLimitGrowthPerSecond = 0.1;
constexpr double kRateBurstSoftDeadlineFactor = 0.2;
constexpr double kRateCutIntervalSoftDeadlineFactor = 0.1;

// Share of the delivery value that the first backoff after a rejection may cost.
constexpr double kFirstBackoffValueShare = 0.2;

// Probability that a message delayed by one soft deadline is still delivered.
constexpr double kLaterDeliveryProbability = 0.6;
// Share of the open-message limit above which pending messages are shed.
constexpr double kShedOpenMessagesShare = 0.95;
constexpr double kCheaperCallWaitSoftDeadlineFactor = 0.25;

// A destination that loses more than this share of its calls while it answers others counts as lossy.
constexpr double kLossyShare = 0.05;
// A single loss may be due to one dead connection.
constexpr double kMinLostCount = 1.5;
constexpr double kMinCallsForLossShare = 5;
// Probability with which random losses alone may open a breaker.
constexpr double kFalseTripProbability = 0.01;
// Failures between two answers closer together than this do not indicate an outage.
constexpr double kAnswerGapSoftDeadlineFactor = 1.5;

constexpr std::size_t kRecentSlowdownCount = 15;
constexpr double kSlowdownQuantile = 0.6;
constexpr std::size_t kMinSlowdownCount = 5;
constexpr double kDispatchIntervalSoftDeadlineFactor = 0.01;
constexpr double kInitialTicketCount = 1;

// Time that a call needs before the shutdown of the sender, by effect of its message.
constexpr double kShutdownDurationFactor = 2;
// An unknown end would be the last one of an unsafe message.
constexpr double kShutdownUnsafeDurationFactor = 6;

// Result of the admission check of a circuit.
enum class Admission { allowed, allowedAsProbe, noTicket, blocked };

}  // namespace

class Sender::Logic {
 public:
  Logic(Settings settings, std::uint64_t seed) : settings_(std::move(settings)), random_{seed} {
    settings_.maxInFlightCalls = std::max(1, settings_.maxInFlightCalls);
    settings_.fleetSize = std::max(1, settings_.fleetSize);
    settings_.tickInterval = std::max<Micros>(1, settings_.tickInterval);
    if (settings_.classes.empty()) settings_.classes.emplace_back();
    if (settings_.kinds.empty()) settings_.kinds.emplace_back();
    Micros shortestSoftDeadline = kFarFutureUs;
    for (const ClassSettings& classSettings : settings_.classes) {
      if (classSettings.softDeadline > 0)
        shortestSoftDeadline = std::min(shortestSoftDeadline, classSettings.softDeadline);
    }
    softDeadlineUs_ = static_cast<double>(shortestSoftDeadline == kFarFutureUs ? settings_.tickInterval * 100
                                                                               : shortestSoftDeadline);
    windowUs_ = kWindowSoftDeadlineFactor * softDeadlineUs_;
    // Rejected calls may themselves consume a destination's rate limit, so the first backoff grows with the
    // fleet as long as the delay costs little delivery value.
    double lostValue = 0, totalValue = 0;
    for (const ClassSettings& classSettings : settings_.classes) {
      const double lateSpanUs =
          static_cast<double>(std::max<Micros>(1, classSettings.deadline - classSettings.softDeadline));
      lostValue += classSettings.deliveryValue *
                   (settings_.valueDecay == ValueDecay::exponential
                        ? 0.5
                        : (1 - classSettings.lateValueShare) * softDeadlineUs_ / lateSpanUs);
      totalValue += classSettings.deliveryValue;
    }
    firstBackoffUs_ = softDeadlineUs_ *
                      std::min(kRateCutIntervalSoftDeadlineFactor * settings_.fleetSize / 2,
                               kFirstBackoffValueShare * totalValue / std::max(lostValue, 0.01 * totalValue));
    dispatchInterval_ = std::max(4 * settings_.tickInterval,
                                 static_cast<Micros>(kDispatchIntervalSoftDeadlineFactor * softDeadlineUs_));
  }

  std::vector<Action> processEvents(Micros now, const std::vector<Event>& events) {
    if (startedAt_ < 0) {
      startedAt_ = now;
      nextWatchAt_ = now + randomWatchDelay(0);
    }
    now_ = std::max(now_, now);
    actions_.clear();
    for (const Event& event : events) {
      std::visit([this](const auto& typedEvent) { on(typedEvent); }, event);
    }
    if (settings_.directoryOnRequest && !watching_ && now_ >= nextWatchAt_) {
      actions_.push_back(WatchDirectory{true});
      nextWatchAt_ = now_ + std::max({settings_.directoryQueryWindow / 10, settings_.tickInterval,
                                      randomWatchDelay(0.5)});
      if (!watchPending_) watchRequestedAt_ = now_;
      watchRequested_ = watchPending_ = true;
    }
    finishExpiringMessages();
    checkOverdueCalls();
    cancelHungCalls();
    dispatch();
    shedLeastUrgentMessages();
    closeExpiredConnections();
    if (timerDueAt_ <= now_) timerDueAt_ = 0;
    Micros nextWakeAt = nextMessageWakeAt();
    if (settings_.directoryOnRequest && !watching_)
      nextWakeAt = std::min(nextWakeAt, std::max(nextWatchAt_, now_ + dispatchInterval_));
    for (auto it = idleConnections_.begin(); isLargeFleet() && it != idleConnections_.end(); ++it) {
      const IdleConnections& idleConnections = it->second;
      if (!idleConnections.lastUses.empty())
        nextWakeAt =
            std::min(nextWakeAt, std::max(now_ + dispatchInterval_, idleConnections.lastUses.front().first +
                                                                        idleTimeout(idleConnections)));
    }
    if (nextWakeAt < kFarFutureUs && (timerDueAt_ == 0 || timerDueAt_ > nextWakeAt)) {
      actions_.push_back(SetTimer{std::max<Micros>(1, nextWakeAt - now_), 0});
      timerDueAt_ = nextWakeAt;
    }
    return std::move(actions_);
  }

  bool maySend(Micros now, MessageId id, const TargetId& target) const {
    const auto messageIt = messages_.find(id);
    const auto endpointIt = endpoints_.find(target);
    if (messageIt == messages_.end() || endpointIt == endpoints_.end() ||
        messageIt->second.attemptsInFlight == 0)
      return false;
    const Endpoint& endpoint = endpointIt->second;
    const Micros notBefore =
        (hasOwnCircuit(endpoint) ? endpoint.circuit : endpoint.parent->circuit).retryAfterUntil;
    // The target may serve another destination since the call was decided.
    return endpoint.entry.destination == messageIt->second.destination && now >= notBefore &&
           now < messageIt->second.expiresAt && endpoint.entry.availability == Availability::inService &&
           mayRetry(messageIt->second, now);
  }

 private:
  // Messages that seem delivered need no attention before their deadline.
  Micros nextMessageWakeAt() const {
    if (messages_.size() > provisionallyEndedCount_ || !calls_.empty()) return now_ + dispatchInterval_;
    Micros earliest = kFarFutureUs;
    for (const auto& [id, message] : messages_) earliest = std::min(earliest, failureTimeOf(message));
    return earliest == kFarFutureUs ? earliest : std::max(earliest, now_ + dispatchInterval_);
  }
  // When a message with calls in flight ends without their outcomes.
  Micros failureTimeOf(const Message& message) const {
    return message.expiresAt + settings_.deadlineGrace / 2;
  }

  // The directory answers watch requests one at a time, including those that have already timed out, so a
  // large fleet spreads its requests at random. Until the answer arrives the sender uses the endpoints that
  // it knows.
  Micros randomWatchDelay(double minShare) {
    if (!isLargeFleet()) return 0;
    const double spreadUs = std::min(
        kWatchSpreadUsPerSender * (settings_.fleetSize - kSmallFleetMaxSenders),
        kWatchSpreadMaxShare * static_cast<double>(std::max<Micros>(0, settings_.directoryQueryWindow)));
    return static_cast<Micros>((minShare + (1 - minShare) * random_.uniform()) * spreadUs);
  }
  bool isLargeFleet() const { return settings_.fleetSize > kSmallFleetMaxSenders; }

  // ---- Events ----

  void on(const Arrival& arrival) {
    if (messages_.contains(arrival.id)) return;
    Message message;
    message.id = arrival.id;
    message.sequence = nextSequence_++;
    message.classIndex = std::clamp(arrival.messageClass, 0, static_cast<int>(settings_.classes.size()) - 1);
    message.destination = arrival.destination;
    message.arrivedAt = now_;
    message.expiresAt = now_ + std::clamp<Micros>(arrival.timeLeft, 0, kFarFutureUs);
    message.submittedAt = message.expiresAt - std::max(arrival.timeLeft, classOf(message).deadline);
    DestinationState& destinationState = destinations_[message.destination];
    destinationState.circuit.arrivals.add(now_, arrivalTimeConstantUs(), 1);
    for (auto& [target, endpoint] : destinationState.endpoints)
      endpoint->circuit.arrivals.add(now_, arrivalTimeConstantUs(),
                                     1.0 / static_cast<double>(destinationState.endpoints.size()));
    // A recovered message that was never attempted queues like a new one; otherwise it would have a low
    // urgency.
    if (arrival.recovered && arrival.recovered->attempts == 0) message.submittedAt = now_;
    if (arrival.recovered)
      message.restore(*arrival.recovered, now_, zoneOf(arrival.recovered->uncertainAttemptTarget));
    enqueue(messages_[message.id] = message);
  }

  void on(const Outcome& outcome) {
    const auto attemptIt = callIdByAttempt_.find({outcome.id, outcome.attempt});
    if (attemptIt == callIdByAttempt_.end()) return;
    const auto callIt = calls_.find(attemptIt->second);
    callIdByAttempt_.erase(attemptIt);
    InFlightCall& call = callIt->second;
    const Micros sentAt = call.sentAt;
    const auto endpointIt = endpoints_.find(call.target);
    if (outcome.callResult == CallResult::succeeded && !call.outcomeApplied &&
        endpointIt != endpoints_.end()) {
      const double meanDurationUs = primaryCircuit(endpointIt->second).meanDurationUs;
      if (meanDurationUs > 0)
        recordSlowdown(
            std::min(static_cast<double>(outcome.duration) / meanDurationUs, 4 * kOverdueDurationFactor));
    }
    // The call was slow rather than lost.
    if (call.overdue && !call.outcomeApplied && outcome.callResult == CallResult::succeeded)
      recentLosses_.add(now_, kAnswerGapSoftDeadlineFactor * softDeadlineUs_, -1);
    if (call.lost && !call.outcomeApplied && outcome.callResult == CallResult::succeeded &&
        endpointIt != endpoints_.end())
      for (Circuit* circuit : circuitsOf(endpointIt->second)) circuit->lostInWindow.add(now_, windowUs_, -1);
    if (!call.outcomeApplied) {
      call.outcomeApplied = true;
      applyOutcome(call, outcome);
    }
    // Each outcome restarts the retry delay from the current round.
    if (outcome.retryDelay > 0 && endpointIt != endpoints_.end()) {
      Circuit& circuit = primaryCircuit(endpointIt->second);
      circuit.retryAfterUntil = std::max(circuit.retryAfterUntil, now_ + outcome.retryDelay);
    }
    const bool noAnswer =
        outcome.callResult == CallResult::timedOut || outcome.callResult == CallResult::canceled;
    if (noAnswer && !call.lossCounted && endpointIt != endpoints_.end())
      primaryCircuit(endpointIt->second).unansweredSentAt = call.sentAt;
    if (--call.pendingOutcomes == 0) {
      releaseCall(call);
      calls_.erase(callIt);
    }
    const bool mayHaveExecuted = outcome.callResult != CallResult::busy &&
                                 outcome.callResult != CallResult::connectFailed &&
                                 outcome.callResult != CallResult::skipped;
    const auto messageIt = messages_.find(outcome.id);
    if (messageIt == messages_.end()) return;
    Message& message = messageIt->second;
    const ProvisionalResult result{outcome.endsMessage, mayHaveExecuted, false, sentAt, outcome.target};
    if (outcome.provisional) return keepForReview(message, outcome.attempt, result);
    if (outcome.endsMessage) return eraseMessage(message);
    finishAttempt(message, result);
  }

  // A message that seems delivered waits for the review, and so does one that must not run twice. Others may
  // be sent again at once.
  void keepForReview(Message& message, int attempt, ProvisionalResult result) {
    const bool mayRepeatNow = settings_.concurrentAttemptsAllowed && isWithinKeyScope(message) &&
                              mayRepeatUntil(message, result.sentAt) > now_;
    result.held = result.endsMessage || !mayRepeatNow;
    message.provisionalResults[attempt] = result;
    if (result.endsMessage && !std::exchange(message.provisionallyEnded, true)) ++provisionallyEndedCount_;
    if (result.held) return;
    message.attemptsInFlight -= 1;
    continueMessage(message);
  }

  // A delivery that could not be verified is neither repeated nor relied on: the message ends at its
  // deadline.
  void on(const OutcomeReview& review) {
    const auto messageIt = messages_.find(review.id);
    if (messageIt == messages_.end()) return;
    Message& message = messageIt->second;
    const auto resultIt = message.provisionalResults.find(review.attempt);
    if (resultIt == message.provisionalResults.end()) return;
    ProvisionalResult result = resultIt->second;
    const bool confirmed = review.verdict == OutcomeReview::Verdict::confirmed;
    if (review.verdict == OutcomeReview::Verdict::unverified && result.endsMessage) return;
    if (confirmed && result.endsMessage) return eraseMessage(message);
    message.provisionalResults.erase(resultIt);
    if (result.endsMessage && std::exchange(message.provisionallyEnded, false)) --provisionallyEndedCount_;
    result.mayHaveExecuted = result.mayHaveExecuted || !confirmed;
    if (result.held) return finishAttempt(message, result);
    if (result.mayHaveExecuted) message.recordUncertainAttempt(result, zoneOf(result.target));
  }

  void on(const RetryDelayNotice& notice) {
    const auto endpointIt = endpoints_.find(notice.target);
    if (endpointIt == endpoints_.end()) return;
    Circuit& circuit = primaryCircuit(endpointIt->second);
    circuit.retryAfterUntil = std::max(circuit.retryAfterUntil, now_ + notice.retryDelay);
  }

  // Ends an attempt that did not end the message.
  void finishAttempt(Message& message, const ProvisionalResult& result) {
    message.attemptsInFlight -= 1;
    if (result.mayHaveExecuted) message.recordUncertainAttempt(result, zoneOf(result.target));
    continueMessage(message);
  }

  // Retries, rejects or fails a message without attempts in flight.
  void continueMessage(Message& message) {
    if (message.attemptsInFlight > 0) return;
    if (now_ >= message.expiresAt || message.attempts >= settings_.maxAttempts || !mayRetry(message))
      return rejectOrFail(message);
    message.bulkheadRejectionCounted = false;
    enqueue(message);
  }

  void on(const DirectoryView& view) {
    watchPending_ = false;
    if (view.scope == ViewScope::refused) {
      watching_ = false;
      // A directory change must be in force within 6 s after the directory becomes reachable again.
      const double delayShare =
          isLargeFleet() ? kWatchRetryMinShare + (1 - kWatchRetryMinShare) * random_.uniform() : 1;
      nextWatchAt_ =
          std::min(nextWatchAt_, watchRequestedAt_ + static_cast<Micros>(delayShare * kWatchRetryMaxUs));
      return;
    }
    if (watchRequested_) watching_ = true;
    std::set<TargetId> listedTargets;
    for (const TargetEntry& listedEntry : view.entries) {
      listedTargets.insert(listedEntry.target);
      Endpoint& endpoint = endpoints_[listedEntry.target];
      if (!endpoint.entry.target.empty() && endpoint.entry.destination != listedEntry.destination) {
        destinations_[endpoint.entry.destination].endpoints.erase(listedEntry.target);
      }
      endpoint.entry = listedEntry;
      if (listedEntry.availability == Availability::removed) removedTargets_.insert(listedEntry.target);
      DestinationState& destinationState = destinations_[listedEntry.destination];
      destinationState.endpoints[listedEntry.target] = &endpoint;
      endpoint.parent = &destinationState;
      if (settings_.capacityAccuracy != CapacityAccuracy::none) {
        endpoint.circuit.totalRate = listedEntry.ratedCapacity;
        destinationState.circuit.totalRate = listedEntry.ratedCapacity;
      }
    }
    if (view.scope == ViewScope::all) {
      for (auto& [target, endpoint] : endpoints_) {
        if (listedTargets.contains(target)) continue;
        endpoint.entry.availability = Availability::removed;
        removedTargets_.insert(target);
      }
    }
    eraseRemovedEndpoints();
  }

  void eraseRemovedEndpoints() {
    for (auto targetIt = removedTargets_.begin(); targetIt != removedTargets_.end();) {
      const auto endpointIt = endpoints_.find(*targetIt);
      const bool isListed =
          endpointIt == endpoints_.end() || endpointIt->second.entry.availability != Availability::removed;
      if (!isListed && (endpointIt->second.inFlight > 0 || !canErase(endpointIt->second.circuit))) {
        ++targetIt;
        continue;
      }
      if (!isListed) {
        const auto destinationIt = destinations_.find(endpointIt->second.entry.destination);
        destinationIt->second.endpoints.erase(*targetIt);
        eraseUnusedDestination(destinationIt);
        endpoints_.erase(endpointIt);
      }
      targetIt = removedTargets_.erase(targetIt);
    }
  }

  void eraseUnusedDestination(std::map<std::int64_t, DestinationState>::iterator destinationIt) {
    const DestinationState& destinationState = destinationIt->second;
    if (destinationState.endpoints.empty() && destinationState.pendingMessages.empty() &&
        destinationState.inFlight == 0 && canErase(destinationState.circuit)) {
      destinationsWithPending_.erase(destinationIt->first);
      destinations_.erase(destinationIt);
    }
  }

  // A target that is removed and listed again within a retry delay or an outage must find its circuit
  // unchanged.
  bool canErase(const Circuit& circuit) const {
    return now_ >= circuit.retryAfterUntil &&
           now_ - circuit.lastFailureAt > settings_.warmUpDuration + static_cast<Micros>(windowUs_);
  }

  void on(const MessageEnded& messageEnded) {
    const auto messageIt = messages_.find(messageEnded.id);
    if (messageIt != messages_.end()) eraseMessage(messageIt->second);
  }

  void on(const ShutdownNotice& shutdownNotice) { shutdownAt_ = now_ + shutdownNotice.timeLeft; }

  // A timer needs no handling because each round dispatches. Peer messages are ignored because they are
  // unreliable.
  template <typename Other>
  void on(const Other&) {}

  // ---- Messages ----

  const ClassSettings& classOf(const Message& message) const {
    return settings_.classes[static_cast<std::size_t>(message.classIndex)];
  }

  // Whether another attempt cannot repeat the effect of one that may have run.
  bool mayRetry(const Message& message) const { return mayRetry(message, now_); }
  bool mayRetry(const Message& message, Micros when) const {
    return !message.isUncertain() || when < mayRepeatUntil(message, message.firstUncertainAt());
  }
  // Until when an attempt that may have run at `sentAt` may be repeated.
  Micros mayRepeatUntil(const Message& message, Micros sentAt) const {
    const ClassSettings& classSettings = classOf(message);
    if (classSettings.effect == Effect::safe) return kFarFutureUs;
    return classSettings.effect == Effect::keyed ? sentAt + classSettings.keyTtl : -kFarFutureUs;
  }
  // Whether a repeat may go to any target, as far as idempotency keys are concerned.
  bool isWithinKeyScope(const Message& message) const {
    return classOf(message).effect != Effect::keyed || classOf(message).keyScope == KeyScope::allTargets;
  }
  // Whether the target is in the scope of the idempotency key that an earlier attempt may have used.
  bool maySendTo(const Message& message, const Endpoint& endpoint) const {
    if (!message.mayHaveRun || classOf(message).effect != Effect::keyed ||
        classOf(message).keyScope == KeyScope::allTargets)
      return true;
    return classOf(message).keyScope == KeyScope::zone
               ? endpoint.entry.zone == message.uncertainAttemptZone
               : endpoint.entry.target == message.uncertainAttemptTarget;
  }
  // A rejection tells the client that it may submit the message again.
  bool mayReject(const Message& message) const {
    const ClassSettings& classSettings = classOf(message);
    if (message.provisionallyEnded) return false;
    if (classSettings.effect == Effect::safe) return true;
    if (!message.isUncertain() && message.attemptsInFlight == 0) return true;
    return classSettings.effect == Effect::keyed && classSettings.keyScope == KeyScope::allTargets &&
           now_ < message.firstUncertainAt() + classSettings.keyTtl;
  }

  void rejectOrFail(Message& message) {
    if (mayReject(message)) {
      actions_.push_back(RejectMessage{
          message.id,
          settings_.retryAfterSupported ? std::min<Micros>(settings_.maxRetryAfter, softDeadlineUs_) : 0});
    } else {
      actions_.push_back(FailMessage{message.id});
    }
    eraseMessage(message);
  }

  void enqueue(Message& message) {
    destinations_[message.destination].pendingMessages[message.sequence] = &message;
    destinationsWithPending_.insert(message.destination);
    destinations_[message.destination].nextDispatchAt = 0;
  }

  void eraseMessage(Message& message) {
    const auto destinationIt = destinations_.find(message.destination);
    if (destinationIt != destinations_.end()) {
      destinationIt->second.pendingMessages.erase(message.sequence);
      eraseUnusedDestination(destinationIt);
    }
    if (message.provisionallyEnded) --provisionallyEndedCount_;
    messages_.erase(message.id);
  }

  double deliveryValueAt(const Message& message, Micros when) const {
    if (when >= message.expiresAt) return 0;
    const ClassSettings& classSettings = classOf(message);
    const double lateUs = static_cast<double>(when - message.submittedAt - classSettings.softDeadline);
    if (lateUs <= 0) return classSettings.deliveryValue;
    if (settings_.valueDecay == ValueDecay::exponential) {
      return classSettings.deliveryValue *
             std::max(classSettings.lateValueShare,
                      std::exp2(-lateUs / std::max<double>(1, classSettings.softDeadline)));
    }
    const double lateSpanUs =
        static_cast<double>(std::max<Micros>(1, classSettings.deadline - classSettings.softDeadline));
    return classSettings.deliveryValue *
           (1 - (1 - classSettings.lateValueShare) * std::min(1.0, lateUs / lateSpanUs));
  }

  // Expected loss of delivery value if the message waits for one more soft deadline.
  double urgency(const Message& message, double durationUs) const {
    const Micros deliveryAt = now_ + static_cast<Micros>(durationUs);
    return deliveryValueAt(message, deliveryAt) -
           kLaterDeliveryProbability * deliveryValueAt(message, deliveryAt + classOf(message).softDeadline);
  }

  // Every message gets one final answer. Without calls in flight it is answered in the last round before it
  // expires, otherwise within the deadline grace after that.
  void finishExpiringMessages() {
    std::vector<MessageId> dueIds;
    for (auto& [id, message] : messages_) {
      const Micros timeLeft = message.expiresAt - now_;
      const bool exhausted = !mayRetry(message) || message.attempts >= settings_.maxAttempts;
      if (message.attemptsInFlight == 0 ? timeLeft <= dispatchInterval_ || exhausted
                                        : now_ >= failureTimeOf(message))
        dueIds.push_back(id);
    }
    for (const MessageId id : dueIds) rejectOrFail(messages_.at(id));
  }

  // Near the open-message limit new messages would be rejected regardless of their value. The least urgent
  // pending messages are rejected instead, except recovered ones that were never attempted.
  void shedLeastUrgentMessages() {
    const auto openLimit = static_cast<std::size_t>(kShedOpenMessagesShare * settings_.maxOpenMessages);
    const auto openCount = [this] { return messages_.size() - provisionallyEndedCount_; };
    if (openCount() <= std::max<std::size_t>(1, openLimit)) return;
    std::set<std::pair<double, MessageId>> candidates;
    for (const auto& [id, message] : messages_) {
      if (message.attemptsInFlight == 0 && mayReject(message) &&
          (!message.recoveredFromRestart || message.attempts > 0))
        candidates.emplace(urgency(message, meanDurationUs_), id);
    }
    for (auto it = candidates.begin(); it != candidates.end() && openCount() > openLimit; ++it)
      rejectOrFail(messages_.at(it->second));
  }

  // ---- Circuits: bulkhead, breaker, rate limit ----

  bool hasOwnCircuit(const Endpoint& endpoint) const { return kindSettingsOf(endpoint).limitsPerTarget; }
  const KindSettings& kindSettingsOf(const Endpoint& endpoint) const {
    return settings_.kinds[static_cast<std::size_t>(
        std::clamp(endpoint.entry.kind, 0, static_cast<int>(settings_.kinds.size()) - 1))];
  }
  Circuit& primaryCircuit(Endpoint& endpoint) {
    return hasOwnCircuit(endpoint) ? endpoint.circuit : endpoint.parent->circuit;
  }
  // Endpoints that share the circuit of their destination also have their own breaker, for partial outages.
  std::vector<Circuit*> circuitsOf(Endpoint& endpoint) {
    if (hasOwnCircuit(endpoint)) return {&endpoint.circuit};
    return {&endpoint.parent->circuit, &endpoint.circuit};
  }
  int zoneOf(const TargetId& target) const {
    const auto endpointIt = endpoints_.find(target);
    return endpointIt == endpoints_.end() ? -1 : endpointIt->second.entry.zone;
  }
  double meanDurationOf(const Circuit& circuit) const {
    return circuit.meanDurationUs > 0 ? circuit.meanDurationUs : meanDurationUs_;
  }

  bool failedRecently(const Circuit& circuit) const {
    return now_ - circuit.lastFailureAt < static_cast<Micros>(softDeadlineUs_);
  }
  int ticketLimit(const Circuit& circuit) const {
    return static_cast<int>(std::max(kInitialTicketCount, circuit.tickets));
  }
  // Bulkhead limit: less than three quarters of the calls that the sender may have in flight, at most half
  // after failures, at least one.
  int inFlightLimit(const Circuit& circuit) const {
    return std::max(1, circuit.breaker != BreakerState::closed || failedRecently(circuit)
                           ? settings_.maxInFlightCalls / 2
                           : (3 * settings_.maxInFlightCalls - 1) / 4);
  }

  // Rate limit during slow start, in calls per second. It rises linearly over the warm-up duration.
  double slowStartRate(const Circuit& circuit) const {
    const double warmUpUs = static_cast<double>(std::max<Micros>(1, settings_.warmUpDuration));
    const double progress = std::clamp(static_cast<double>(now_ - circuit.slowStartAt) / warmUpUs, 0.0, 1.0);
    const double capacityShare =
        settings_.initialCapacityShare + (1 - settings_.initialCapacityShare) * progress;
    return kSlowStartOverloadShare * settings_.overloadFactor * capacityShare * fairShareRate(circuit);
  }

  double arrivalTimeConstantUs() const {
    return kArrivalWarmUpFactor *
           static_cast<double>(std::max(settings_.warmUpDuration, settings_.tickInterval));
  }
  // Messages per second that arrived for the circuit, averaged over at least `minObservedUs`.
  double arrivalRate(const Circuit& circuit, double minObservedUs) const {
    const double observedUs =
        arrivalTimeConstantUs() *
        (1 - std::exp(-static_cast<double>(now_ - startedAt_) / arrivalTimeConstantUs()));
    return circuit.arrivals.valueAt(now_, arrivalTimeConstantUs()) / std::max(observedUs, minObservedUs) *
           kUsPerSecond;
  }
  // Calls per second that this sender may expect to send: its arrival rate, or an equal share of the total
  // rate if that is higher.
  double fairShareRate(const Circuit& circuit) const {
    const double arrivalsPerSecond = arrivalRate(circuit, arrivalTimeConstantUs() / kArrivalWarmUpFactor);
    const double listedRate =
        circuit.totalRate * (settings_.capacityAccuracy == CapacityAccuracy::approximate ? 0.67 : 1);
    return std::max(arrivalsPerSecond,
                    std::max(listedRate, kMinDestinationCallsPerSecond) / settings_.fleetSize);
  }
  bool isLowTraffic(const Circuit& circuit) const {
    return fairShareRate(circuit) * windowUs_ < kTripConsecutiveFailureCount * kUsPerSecond;
  }
  // Interval between probes. The probes of all senders together stay within the initial slow-start capacity,
  // and low-traffic destinations get few concurrent probes. Probes are more frequent while every failure was
  // a failed connect, because such a probe cannot lose a call.
  double probeIntervalUs(const Circuit& circuit) const {
    const double callsPerSecond = std::max(fairShareRate(circuit), kUsPerSecond / windowUs_);
    const double capacityIntervalUs = kUsPerSecond / (kSlowStartOverloadShare * settings_.overloadFactor *
                                                      settings_.initialCapacityShare * callsPerSecond);
    const double minIntervalUs = circuit.needsSlowStart && circuit.onlyConnectFailures
                                     ? kConnectProbeSoftDeadlineFactor * softDeadlineUs_
                                     : softDeadlineUs_;
    return std::max(minIntervalUs, std::min(capacityIntervalUs, softDeadlineUs_ * settings_.fleetSize /
                                                                    kFleetProbesPerSoftDeadline));
  }

  // Whether a call may be sent now. Refills the token buckets but takes no token.
  Admission checkAdmission(Circuit& circuit, bool checkBulkhead) {
    if (now_ < circuit.retryAfterUntil || now_ < circuit.backoffUntil) return Admission::blocked;
    if (circuit.breaker != BreakerState::closed) {
      if (now_ < circuit.nextProbeAt || circuit.probesInFlight > 1 ||
          circuit.inFlight >= inFlightLimit(circuit))
        return Admission::blocked;
      return Admission::allowedAsProbe;
    }
    if (circuit.slowStartAt >= 0) {
      circuit.slowStartBucket.refill(now_, slowStartRate(circuit), 1);
      if (now_ > circuit.slowStartAt + settings_.warmUpDuration) {
        circuit.slowStartAt = -1;
        circuit.needsSlowStart = false;
      } else if (circuit.slowStartBucket.tokens < 1) {
        return Admission::blocked;
      }
    }
    if (circuit.rateLimit > 0) {
      const double elapsedSeconds =
          static_cast<double>(std::max<Micros>(0, now_ - circuit.rateBucket.updatedAt)) / kUsPerSecond;
      if (circuit.rateLimitShare > 0)
        circuit.rateLimitShare *= 1 + kRateShareGrowthPerSecond * elapsedSeconds;
      circuit.rateLimit = circuit.rateLimitShare > 0
                              ? circuit.rateLimitShare * demandRate(circuit)
                              : circuit.rateLimit * (1 + kRateLimitGrowthPerSecond * elapsedSeconds);
      circuit.rateBucket.refill(
          now_, circuit.rateLimit,
          std::max(1.0, circuit.rateLimit * kRateBurstSoftDeadlineFactor * softDeadlineUs_ / kUsPerSecond));
      if (now_ - circuit.lastRateCutAt > static_cast<Micros>(windowUs_) &&
          (circuit.rateLimitShare > 0 ? circuit.rateLimitShare > kUnlimitedRateShare
                                      : circuit.rateLimit > 3 * acceptedRate(circuit)))
        circuit.rateLimit = circuit.rateLimitShare = 0;
      if (circuit.rateLimit > 0 && circuit.rateBucket.tokens < 1) return Admission::blocked;
    }
    if (checkBulkhead && (circuit.inFlight - circuit.hungCalls >= ticketLimit(circuit) ||
                          circuit.inFlight >= inFlightLimit(circuit)))
      return Admission::noTicket;
    return Admission::allowed;
  }

  double acceptedRate(const Circuit& circuit) const {
    return circuit.acceptedCalls.valueAt(now_, softDeadlineUs_) / softDeadlineUs_ * kUsPerSecond;
  }
  double sentRate(const Circuit& circuit) const {
    return circuit.sentCalls.valueAt(now_, softDeadlineUs_) / softDeadlineUs_ * kUsPerSecond;
  }

  void recordSend(Circuit& circuit, bool probe) {
    circuit.inFlight += 1;
    circuit.callsInWindow.add(now_, windowUs_, 1);
    circuit.sentCalls.add(now_, softDeadlineUs_, 1);
    if (probe) {
      circuit.breaker = BreakerState::halfOpen;
      circuit.probesInFlight += 1;
      circuit.nextProbeAt = now_ + circuit.openDuration;
    }
    if (circuit.slowStartAt >= 0) circuit.slowStartBucket.tokens -= 1;
    if (circuit.rateLimit > 0) circuit.rateBucket.tokens -= 1;
  }

  void scheduleNextProbe(Circuit& circuit) {
    circuit.openDuration =
        std::min<Micros>(static_cast<Micros>(circuit.openDuration * kOpenDurationGrowthFactor),
                         static_cast<Micros>(probeIntervalUs(circuit)));
    const double jitteredUs = circuit.openDuration * (1 + kProbeJitterShare * (2 * random_.uniform() - 1));
    circuit.nextProbeAt = std::max(now_ + static_cast<Micros>(jitteredUs), circuit.retryAfterUntil);
  }

  void tripBreaker(Circuit& circuit, const TargetId& target) {
    if (circuit.breaker == BreakerState::closed) {
      actions_.push_back(Log{"open " + target});
      circuit.openedAt = now_;
      circuit.openDuration = static_cast<Micros>(kFirstOpenProbeIntervalFactor * probeIntervalUs(circuit));
    }
    circuit.breaker = BreakerState::open;
    circuit.tickets = kInitialTicketCount;
    circuit.batchLimit = 1;
    circuit.slowStartAt = -1;
    scheduleNextProbe(circuit);
  }

  // Counts an error, time-out, failed connect, reset or overdue call. An isolated loss, with later calls
  // answered, counts as an error but not as a consecutive failure.
  void recordFailure(Circuit& circuit, const TargetId& target, bool ended, bool notExecuted,
                     bool isolatedLoss, bool noAnswer) {
    circuit.lastFailureAt = now_;
    if (!isolatedLoss) circuit.consecutiveFailures += 1;
    circuit.errorsInWindow.add(now_, windowUs_, 1);
    if (ended && !isolatedLoss) {
      circuit.needsSlowStart = true;
      circuit.onlyConnectFailures =
          notExecuted && (circuit.onlyConnectFailures || circuit.consecutiveFailures == 1);
    }
    // At low traffic the next call comes too late to confirm an outage, so one unanswered call opens the
    // breaker.
    if (noAnswer && !isolatedLoss && isLowTraffic(circuit) && lossShareOf(circuit) <= kLossyShare)
      tripBreaker(circuit, target);
    tripIfFailing(circuit, target);
  }

  void tripIfFailing(Circuit& circuit, const TargetId& target) {
    const double errorCount = circuit.errorsInWindow.valueAt(now_, windowUs_);
    const bool tooManyErrors =
        errorCount >= kTripErrorCount && errorCount >= (kTripErrorShare + lossShareOf(circuit) / 2) *
                                                           circuit.callsInWindow.valueAt(now_, windowUs_);
    if (circuit.breaker != BreakerState::closed || tooManyErrors ||
        circuit.consecutiveFailures >= consecutiveFailureLimit(circuit))
      tripBreaker(circuit, target);
  }

  // Share of calls lost over all destinations, at most one half.
  double overallLossShare() const {
    const double callCount = recentCalls_.valueAt(now_, kAnswerGapSoftDeadlineFactor * softDeadlineUs_);
    return callCount < kMinCallsForLossShare
               ? 0
               : std::clamp(
                     recentLosses_.valueAt(now_, kAnswerGapSoftDeadlineFactor * softDeadlineUs_) / callCount,
                     0.0, 0.5);
  }
  // Share of calls lost at this destination or over all destinations, whichever is higher. A destination that
  // loses some calls but answers later ones needs more consecutive failures to open its breaker, since probes
  // alone would serve it too slowly.
  double lossShareOf(const Circuit& circuit) const {
    const double lostCount = circuit.lostInWindow.valueAt(now_, windowUs_),
                 callCount = lostCount + circuit.answersInWindow.valueAt(now_, windowUs_);
    const double ownShare = lostCount < kMinLostCount ? 0 : std::min(lostCount / callCount, 0.5);
    return std::max(overallLossShare(), ownShare);
  }
  int consecutiveFailureLimit(const Circuit& circuit) const {
    const double lossRatio = lossShareOf(circuit);
    if (lossRatio < kLossyShare) return kTripConsecutiveFailureCount;
    return std::max(kTripConsecutiveFailureCount,
                    static_cast<int>(std::ceil(std::log(kFalseTripProbability) / std::log(lossRatio))));
  }

  void recordSuccess(Circuit& circuit, const TargetId& target, Micros duration, bool probe) {
    const double durationUs = static_cast<double>(duration);
    const double expectedUs = meanDurationOf(circuit);
    if (expectedUs > 0)
      circuit.slowdown += kSlowdownWeight *
                          (std::min(durationUs / expectedUs, 4 * kOverdueDurationFactor) - circuit.slowdown);
    for (double* mean : {&circuit.meanDurationUs, &meanDurationUs_}) {
      *mean = *mean > 0 ? *mean + kMeanDurationWeight *
                                      (std::min(durationUs, kMeanDurationClipFactor * *mean) - *mean)
                        : durationUs;
    }
    // A later call was answered, so the unanswered one counts as lost.
    if (circuit.unansweredSentAt >= 0 && circuit.latestAnsweredSentAt > circuit.unansweredSentAt) {
      recentLosses_.add(now_, kAnswerGapSoftDeadlineFactor * softDeadlineUs_, 1);
      circuit.unansweredSentAt = -1;
    }
    const bool shortAnswerGap =
        now_ - circuit.lastSuccessAt < static_cast<Micros>(kAnswerGapSoftDeadlineFactor * softDeadlineUs_);
    circuit.lastSuccessAt = now_;
    const bool onlyOverdue = circuit.consecutiveFailures == 1 && !circuit.needsSlowStart;
    circuit.consecutiveFailures = 0;
    circuit.consecutiveRejections = 0;
    if (circuit.rateLimitShare > 0)
      circuit.rateLimitShare *= circuit.rateLimitShare < circuit.fastRecoveryShare
                                    ? kFastRateShareGrowthFactor
                                    : kSlowRateShareGrowthFactor;
    circuit.acceptedCalls.add(now_, softDeadlineUs_, 1);
    circuit.answersInWindow.add(now_, windowUs_, 1);
    if (circuit.batchLimit > 0) circuit.batchLimit = std::min(2 * circuit.batchLimit, 1024);
    if (circuit.breaker == BreakerState::closed && circuit.slowStartAt < 0 && !failedRecently(circuit))
      circuit.needsSlowStart = circuit.respondedWithFailure = false;
    if (circuit.breaker != BreakerState::closed && (probe || onlyOverdue)) {
      circuit.breaker = BreakerState::closed;
      circuit.errorsInWindow = circuit.callsInWindow = DecayingCounter{};
      circuit.tickets = kInitialTicketCount;
      // Time-outs between answers in close succession are no outage, but errors and rejections may indicate a
      // partial one. At low traffic, a probe answered quickly or an overdue call answered late indicates a
      // hang, after which the destination may need to warm up.
      if (shortAnswerGap && !circuit.respondedWithFailure) {
        circuit.needsSlowStart = false;
      } else if (isLowTraffic(circuit) &&
                 (probe ? durationUs <= kOverdueDurationFactor * expectedUs
                        : durationUs > kAnswerGapSoftDeadlineFactor * softDeadlineUs_)) {
        circuit.needsSlowStart = true;
      }
      if (circuit.needsSlowStart) {
        circuit.slowStartAt = now_;
        // The rate limit from before the outage no longer applies.
        if (sharesRateLimit(circuit)) circuit.rateLimit = circuit.rateLimitShare = 0;
        // A random start level spreads the first calls of all senders. In a large fleet it is lower, since
        // the probe was already one call.
        circuit.slowStartBucket = TokenBucket{random_.uniform() - (sharesRateLimit(circuit) ? 0.5 : 0), now_};
      }
      circuit.onlyConnectFailures = true;
      circuit.respondedWithFailure = false;
      actions_.push_back(Log{(circuit.needsSlowStart ? "return " : "close ") + target});
    } else if (circuit.breaker == BreakerState::closed && circuit.inFlight >= ticketLimit(circuit)) {
      circuit.tickets = std::min<double>(std::ceil(ticketLimit(circuit) * kTicketGrowthFactor),
                                         std::max(1, (3 * settings_.maxInFlightCalls - 1) / 4));
    }
  }

  // Lower bound for a reduced rate limit: a fraction of this sender's share of the total rate.
  double minListedRate(const Circuit& circuit) const {
    return kMinListedRateShare * circuit.totalRate / settings_.fleetSize;
  }
  bool sharesRateLimit(const Circuit& circuit) const { return isLargeFleet() && !circuit.hasNoRateLimit; }
  double demandRate(const Circuit& circuit) const {
    return std::max(arrivalRate(circuit, softDeadlineUs_),
                    kMinDestinationCallsPerSecond / settings_.fleetSize);
  }
  // Reduces the rate limit on each rejection: rejected calls may consume a limit that many senders share, and
  // above it none of them would have calls accepted.
  void reduceRateShare(Circuit& circuit, Micros retryDelay, double cutFactor) {
    const double demand = demandRate(circuit);
    double newShare =
        std::min(circuit.rateLimitShare > 0 ? circuit.rateLimitShare : 1, sentRate(circuit) / demand);
    if (circuit.slowStartAt >= 0) newShare = std::min(newShare, slowStartRate(circuit) / demand);
    if (circuit.consecutiveRejections == 1) circuit.fastRecoveryShare = kFastGrowthEndFactor * newShare;
    circuit.rateLimitShare = std::max({cutFactor * newShare, kMinRateShare, minListedRate(circuit) / demand});
    circuit.rateLimit = circuit.rateLimitShare * demand;
    circuit.lastRateCutAt = now_;
    circuit.rateBucket = TokenBucket{0.5 - random_.uniform(), now_ + retryDelay};
    const double backoffUs =
        softDeadlineUs_ *
        std::min(kFirstBackoffSoftDeadlineFactor * std::exp2(std::min(circuit.consecutiveRejections - 1, 16)),
                 kMaxBackoffSoftDeadlineFactor);
    circuit.backoffUntil = now_ + retryDelay + static_cast<Micros>(backoffUs * (0.5 + random_.uniform()));
  }

  // A rejection reduces the rate limit but opens the breaker only after a series without any accepted call,
  // or on a long retry delay. A destination without a rate limit rejects calls when a queue is full, so the
  // bulkhead shrinks and only the endpoint that rejected the call backs off.
  void recordRejection(Circuit& circuit, Circuit& endpointCircuit, const TargetId& target, Micros retryDelay,
                       double cutFactor) {
    if (circuit.consecutiveRejections++ == 0) circuit.firstRejectionAt = now_;
    const bool rejectedForLong = now_ - circuit.firstRejectionAt > static_cast<Micros>(softDeadlineUs_);
    if (circuit.breaker != BreakerState::closed ||
        (rejectedForLong && circuit.consecutiveRejections > kTripConsecutiveRejectionCount) ||
        retryDelay > softDeadlineUs_) {
      circuit.needsSlowStart = circuit.respondedWithFailure = true;
      circuit.lastFailureAt = now_;
      tripBreaker(circuit, target);
      return;
    }
    if (sharesRateLimit(circuit)) return reduceRateShare(circuit, retryDelay, cutFactor);
    if (now_ - circuit.lastRateCutAt >
        static_cast<Micros>(kRateCutIntervalSoftDeadlineFactor * softDeadlineUs_)) {
      circuit.lastRateCutAt = now_;
      if (circuit.hasNoRateLimit) {
        circuit.tickets = std::max(kInitialTicketCount, std::floor(ticketLimit(circuit) * kTicketCutFactor));
        circuit.rateLimit = circuit.rateLimitShare = 0;
      } else {
        double currentRate = circuit.rateLimit > 0 ? std::min(acceptedRate(circuit), circuit.rateLimit)
                                                   : acceptedRate(circuit);
        currentRate = std::max(currentRate, minListedRate(circuit));
        circuit.rateLimit = std::max(kRateLimitCutFactor * currentRate, kUsPerSecond / softDeadlineUs_);
        // The backoff or retry delay passes before this token can be used.
        circuit.rateBucket = TokenBucket{1, now_};
      }
    }
    // In a large fleet a random backoff is added to the retry delay, which ends for all senders at the same
    // time.
    const double backoffUs =
        std::min(firstBackoffUs_ * std::exp2(std::min(circuit.consecutiveRejections - 1, 16)),
                 probeIntervalUs(circuit));
    if (retryDelay == 0 || isLargeFleet())
      (circuit.hasNoRateLimit ? endpointCircuit : circuit).backoffUntil =
          now_ + retryDelay + static_cast<Micros>(backoffUs * (0.5 + random_.uniform()));
  }

  // The destination had no free connection slot. That indicates neither a rate limit nor a full queue, so the
  // rate limit is reduced by less.
  void handleConnectionLimit(Endpoint& endpoint, const TargetId& target) {
    reduceIdleTimeout(endpoint, std::max(idleTimeout(idleConnectionsOf(endpoint)) / 2, dispatchInterval_));
    closeIdleConnections(endpoint);
    recordRejection(primaryCircuit(endpoint), endpoint.circuit, target, 0, kConnectionRateShareCutFactor);
  }

  // A reset shortly after an answer is attributed to the network. A crashed destination refuses the next
  // connect, which counts in full.
  bool isIsolatedReset(const Circuit& circuit, const Outcome& outcome) const {
    return outcome.callResult == CallResult::reset &&
           now_ - circuit.lastSuccessAt < static_cast<Micros>(kAnswerGapSoftDeadlineFactor * softDeadlineUs_);
  }

  void applyOutcome(InFlightCall& call, const Outcome& outcome) {
    const auto endpointIt = endpoints_.find(call.target);
    if (endpointIt == endpoints_.end() || outcome.callResult == CallResult::skipped) return;
    Endpoint& endpoint = endpointIt->second;
    applyReport(endpoint, outcome.loadReport);
    if (outcome.callResult == CallResult::connectFailed) {
      // Divided by the fleet size, all senders together keep no more idle connections than a single one may.
      reduceIdleTimeout(endpoint, std::max(idleTimeout(idleConnectionsOf(endpoint)) / 2,
                                           settings_.connectionIdleTimeout / settings_.fleetSize));
      closeIdleConnections(endpoint);
    }
    if (outcome.callResult == CallResult::reset) handleLossOnIdleConnection(endpoint, call);
    IdleConnections& idleConnections = idleConnectionsOf(endpoint);
    if (outcome.callResult == CallResult::succeeded &&
        static_cast<double>(call.connectionIdleTime) > provenIdleTimeUs(idleConnections))
      std::tie(idleConnections.provenIdleUs, idleConnections.provenAt) =
          std::pair(static_cast<double>(call.connectionIdleTime), now_);
    for (Circuit* circuit : circuitsOf(endpoint)) {
      if (outcome.callResult == CallResult::succeeded) {
        circuit->latestAnsweredSentAt = std::max(circuit->latestAnsweredSentAt, call.sentAt);
        recordSuccess(*circuit, call.target, outcome.duration, call.probe);
      } else if (outcome.callResult == CallResult::busy) {
        if (circuit != &primaryCircuit(endpoint)) continue;
        outcome.connectionLimitReached
            ? handleConnectionLimit(endpoint, call.target)
            : recordRejection(
                  *circuit, endpoint.circuit, call.target, outcome.retryDelay,
                  kindSettingsOf(endpoint).maxBatchSize > 1 ? kBatchRateShareCutFactor : kRateShareCutFactor);
      } else if (circuit->breaker == BreakerState::closed &&
                 (outcome.unreadableResponse || isIsolatedReset(*circuit, outcome))) {
        // The destination still answers: this counts as an error but not as a consecutive failure.
        if (outcome.unreadableResponse)
          circuit->latestAnsweredSentAt = std::max(circuit->latestAnsweredSentAt, call.sentAt);
        circuit->errorsInWindow.add(now_, windowUs_, 1);
        tripIfFailing(*circuit, call.target);
      } else if (outcome.callResult != CallResult::canceled && call.overdue) {
        // The error was counted when the call became overdue.
        circuit->needsSlowStart = true;
        circuit->onlyConnectFailures = false;
        circuit->lastFailureAt = now_;
      } else if (outcome.callResult != CallResult::canceled) {
        if (outcome.callResult == CallResult::error || outcome.callResult == CallResult::reset)
          circuit->respondedWithFailure = true;
        recordFailure(*circuit, call.target, true, outcome.callResult == CallResult::connectFailed,
                      call.onStaleConnection, outcome.callResult == CallResult::timedOut);
      }
    }
  }

  // Time for which idle connections are kept. Too many of them exhaust the connection table of a destination,
  // and some networks drop them silently, so that the outcome of a call sent on one is unknown. A failed
  // connect halves the time, and a call lost on an idle connection reduces it to half of that idle time. The
  // time doubles with each window. Large fleets keep idle connections for a shorter time throughout.
  IdleConnections& idleConnectionsOf(const Endpoint& endpoint) {
    return idleConnections_[endpoint.entry.kind];
  }
  Micros idleTimeout(const IdleConnections& idleConnections) const {
    if (idleConnections.reducedAt < 0) return maxIdleTimeout();
    const double grownUs =
        idleConnections.idleLimitUs *
        std::exp2(std::min(64.0, static_cast<double>(now_ - idleConnections.reducedAt) / windowUs_));
    return static_cast<Micros>(std::min(grownUs, static_cast<double>(maxIdleTimeout())));
  }
  Micros maxIdleTimeout() const {
    return isLargeFleet() ? settings_.connectionIdleTimeout / settings_.fleetSize
                          : settings_.connectionIdleTimeout;
  }
  void reduceIdleTimeout(Endpoint& endpoint, Micros idleLimit) {
    IdleConnections& idleConnections = idleConnectionsOf(endpoint);
    idleConnections.idleLimitUs = static_cast<double>(std::min(idleLimit, idleTimeout(idleConnections)));
    idleConnections.reducedAt = now_;
  }
  // Attributes the loss to the connection if it had been idle for longer than connections that recently
  // worked. Each loss halves that proven idle time, since the network may have just begun to drop
  // connections.
  void handleLossOnIdleConnection(Endpoint& endpoint, InFlightCall& call) {
    IdleConnections& idleConnections = idleConnectionsOf(endpoint);
    call.onStaleConnection = call.connectionIdleTime > provenIdleTimeUs(idleConnections);
    if (call.connectionIdleTime > 0)
      std::tie(idleConnections.provenIdleUs, idleConnections.provenAt) =
          std::pair(provenIdleTimeUs(idleConnections) / 2, now_);
    if (!call.onStaleConnection) return;
    reduceIdleTimeout(endpoint, call.connectionIdleTime / 2);
    closeIdleConnections(endpoint);
  }
  double provenIdleTimeUs(const IdleConnections& idleConnections) const {
    return idleConnections.provenIdleUs *
           std::exp2(-static_cast<double>(now_ - idleConnections.provenAt) / windowUs_);
  }
  void closeIdleConnections(Endpoint& endpoint) {
    if (endpoint.openConnections <= endpoint.inFlight) return;
    actions_.push_back(CloseIdleConnections{endpoint.entry.target});
    endpoint.openConnections = endpoint.inFlight;
  }
  void closeExpiredConnections() {
    for (auto& [kind, idleConnections] : idleConnections_) {
      while (!idleConnections.lastUses.empty() &&
             now_ - idleConnections.lastUses.front().first >= idleTimeout(idleConnections)) {
        const auto endpointIt = endpoints_.find(idleConnections.lastUses.front().second);
        if (endpointIt != endpoints_.end() &&
            endpointIt->second.lastUsedAt <= idleConnections.lastUses.front().first)
          closeIdleConnections(endpointIt->second);
        idleConnections.lastUses.pop_front();
      }
    }
  }

  void applyReport(Endpoint& endpoint, const LoadReport& report) {
    const auto limitIt = report.find("x1");
    if (limitIt == report.end()) return;
    Circuit& circuit = primaryCircuit(endpoint);
    circuit.hasNoRateLimit = limitIt->second <= 0;
    if (!circuit.hasNoRateLimit) circuit.totalRate = limitIt->second;
  }

  void releaseCall(const InFlightCall& call) {
    callsInFlight_ -= 1;
    const auto destinationIt = destinations_.find(call.destination);
    if (destinationIt != destinations_.end()) {
      destinationIt->second.inFlight -= 1;
      destinationIt->second.nextDispatchAt = 0;
    }
    const auto endpointIt = endpoints_.find(call.target);
    if (endpointIt == endpoints_.end()) return;
    endpointIt->second.inFlight -= 1;
    endpointIt->second.lastUsedAt = now_;
    idleConnectionsOf(endpointIt->second).lastUses.emplace_back(now_, call.target);
    // The target may serve another destination since then.
    const bool sameDestination = endpointIt->second.entry.destination == call.destination;
    std::vector<Circuit*> circuits = circuitsOf(endpointIt->second);
    if (!sameDestination && destinationIt != destinations_.end())
      std::replace(circuits.begin(), circuits.end(), &endpointIt->second.parent->circuit,
                   &destinationIt->second.circuit);
    for (Circuit* circuit : circuits) {
      circuit->inFlight -= 1;
      if (call.hung) circuit->hungCalls -= 1;
      if (call.probe && !call.overdue && circuit->probesInFlight > 0) circuit->probesInFlight -= 1;
    }
  }

  // If most recent calls to all destinations are slow, the cause is not a single destination, and overdue
  // limits are stretched by this factor. This also delays the detection of hangs at most destinations at
  // once.
  double overallSlowdown() const {
    return recentSlowdowns_.empty() || now_ - recentSlowdowns_.back().first > static_cast<Micros>(windowUs_)
               ? 1
               : slowdownQuantile_;
  }
  void recordSlowdown(double slowdown) {
    recentSlowdowns_.emplace_back(now_, slowdown);
    if (recentSlowdowns_.size() > kRecentSlowdownCount ||
        now_ - recentSlowdowns_.front().first > static_cast<Micros>(windowUs_))
      recentSlowdowns_.pop_front();
    std::vector<double> values;
    for (const auto& [endedAt, recordedSlowdown] : recentSlowdowns_) values.push_back(recordedSlowdown);
    const auto quantileIt = values.begin() + static_cast<std::ptrdiff_t>(
                                                 kSlowdownQuantile * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), quantileIt, values.end());
    slowdownQuantile_ = values.size() < kMinSlowdownCount ? 1 : std::max(1.0, *quantileIt);
  }

  // An overdue call counts as an error before it times out. It counts as lost if a later call was answered,
  // and is cancelled if its messages may be retried, so that lost calls do not use up the limit of calls in
  // flight. The overdue limit doubles with each attempt to allow for long messages.
  void checkOverdueCalls() {
    const double slowdown = overallSlowdown();
    for (auto& [id, call] : calls_) {
      const auto endpointIt = endpoints_.find(call.target);
      const auto overdueLimit =
          static_cast<Micros>(slowdown * static_cast<double>(call.overdueAt - call.sentAt));
      if (call.cancelRequested || now_ < call.sentAt + overdueLimit || endpointIt == endpoints_.end())
        continue;
      const Circuit& primary = primaryCircuit(endpointIt->second);
      if (call.overdue && !call.lost && primary.latestAnsweredSentAt > call.sentAt) {
        call.lost = true;
        for (Circuit* circuit : circuitsOf(endpointIt->second)) circuit->lostInWindow.add(now_, windowUs_, 1);
      }
      const bool isLossy = lossShareOf(primary) > kLossyShare;
      const double baseTimeoutUs = std::min(call.baseTimeoutUs, baseTimeoutFor(primary, softDeadlineUs_));
      if (!call.hung && (call.overdue || call.outcomeApplied) &&
          (isLossy || static_cast<double>(now_ - call.sentAt) >= baseTimeoutUs)) {
        call.hung = true;
        for (Circuit* circuit : circuitsOf(endpointIt->second)) circuit->hungCalls += 1;
      }
      const bool overtaken =
          call.outcomeApplied || primaryCircuit(endpointIt->second).latestAnsweredSentAt > call.sentAt;
      if (!call.overdue && !call.outcomeApplied) {
        call.overdue = true;
        for (Circuit* circuit : circuitsOf(endpointIt->second))
          circuit->batchLimit = std::max(1, static_cast<int>(call.attempts.size()) / 2);
        handleLossOnIdleConnection(endpointIt->second, call);
        for (Circuit* circuit : circuitsOf(endpointIt->second)) {
          const bool isolatedLoss = circuit->latestAnsweredSentAt > call.sentAt || call.onStaleConnection;
          // A call sent before the breaker opened carries no new information.
          if (circuit->breaker == BreakerState::closed || call.sentAt >= circuit->openedAt)
            recordFailure(*circuit, call.target, false, false, isolatedLoss, true);
          if (call.probe && circuit->probesInFlight > 0) circuit->probesInFlight -= 1;
        }
      }
      if (overtaken && !call.lossCounted) {
        call.lossCounted = true;
        recentLosses_.add(now_, kAnswerGapSoftDeadlineFactor * softDeadlineUs_, 1);
      }
      if (settings_.cancelSupported && (call.outcomeApplied || call.onStaleConnection || isLossy ||
                                        (overtaken && now_ > call.sentAt + 2 * overdueLimit &&
                                         4 * callsInFlight_ >= 3 * settings_.maxInFlightCalls))) {
        cancelIfRetryable(call, now_ - call.sentAt, overdueLimit);
      }
    }
  }

  // A call that carries a message that may not be retried stays in flight until that message expires. Past
  // its time-out, or once overdue at a lossy destination, it counts as hung and frees its bulkhead ticket. If
  // hung calls use up the bulkhead limit or the limit of calls in flight while messages are pending, the
  // oldest is cancelled, even though it might still be answered.
  void cancelHungCalls() {
    std::set<const Circuit*> circuitsBeingFreed;
    for (const auto& [id, call] : calls_) {
      const auto endpointIt = call.cancelRequested ? endpoints_.find(call.target) : endpoints_.end();
      if (endpointIt != endpoints_.end()) circuitsBeingFreed.insert(&primaryCircuit(endpointIt->second));
    }
    for (auto& [id, call] : calls_) {
      const auto endpointIt =
          call.hung && !call.cancelRequested ? endpoints_.find(call.target) : endpoints_.end();
      if (endpointIt == endpoints_.end() || !settings_.cancelSupported) continue;
      const Circuit& circuit = primaryCircuit(endpointIt->second);
      const bool mayCallNow = now_ >= circuit.retryAfterUntil &&
                              (circuit.breaker == BreakerState::closed || now_ >= circuit.nextProbeAt);
      const bool atLimit =
          circuit.inFlight >= inFlightLimit(circuit) || callsInFlight_ >= settings_.maxInFlightCalls;
      if (!mayCallNow || !atLimit || endpointIt->second.parent->pendingMessages.empty() ||
          !circuitsBeingFreed.insert(&circuit).second)
        continue;
      cancelCall(call);
    }
  }

  // Cancels the call if all its messages may be retried and have waited long enough for this attempt.
  void cancelIfRetryable(InFlightCall& call, Micros age, Micros overdueLimit) {
    for (const auto& [id, attempt] : call.attempts) {
      const auto messageIt = messages_.find(id);
      if (messageIt == messages_.end()) continue;
      const Message& message = messageIt->second;
      const ClassSettings& classSettings = classOf(message);
      const bool mayRepeat =
          classSettings.effect == Effect::safe ||
          (classSettings.effect == Effect::keyed &&
           now_ < std::min(message.firstUncertainAt(), call.sentAt) + classSettings.keyTtl - overdueLimit);
      if (!mayRepeat || (message.attempts >= settings_.maxAttempts && !call.outcomeApplied) ||
          age < overdueLimit * (Micros{1} << std::clamp(attempt - 1, 0, 8)))
        return;
    }
    cancelCall(call);
  }
  void cancelCall(InFlightCall& call) {
    call.cancelRequested = true;
    for (const auto& attempt : call.attempts) {
      if (callIdByAttempt_.contains(attempt)) actions_.push_back(CancelCall{attempt.first, attempt.second});
    }
  }

  // ---- Calls ----

  bool hasFreeConnection(const Endpoint& endpoint) const {
    const bool usable = endpoint.inFlight > 0 || now_ - endpoint.lastUsedAt < settings_.connectionIdleTimeout;
    return usable &&
           endpoint.inFlight / std::max(1, settings_.streamsPerConnection) < endpoint.openConnections;
  }

  // Returns the endpoint with the lowest cost that may take the message now, or null.
  Endpoint* chooseEndpoint(Message& message, DestinationState& destinationState, bool& isProbe,
                           bool& ticketsExhausted) {
    Endpoint* best = nullptr;
    double bestCost = 0;
    for (auto& [target, endpointPointer] : destinationState.endpoints) {
      Endpoint& endpoint = *endpointPointer;
      if (endpoint.entry.availability != Availability::inService || !maySendTo(message, endpoint)) continue;
      Circuit& primary = primaryCircuit(endpoint);
      Admission admission = checkAdmission(primary, true);
      if (admission == Admission::noTicket ||
          (admission == Admission::allowed && destinationState.inFlight >= inFlightLimit(primary)))
        ticketsExhausted = true;
      if (admission == Admission::blocked || admission == Admission::noTicket ||
          destinationState.inFlight >= inFlightLimit(primary))
        continue;
      if (&primary != &endpoint.circuit && destinationState.endpoints.size() > 1 &&
          admission == Admission::allowed) {
        admission = checkAdmission(endpoint.circuit, false);
        if (admission == Admission::blocked) continue;
      }
      if (admission == Admission::allowedAsProbe && !mayProbeWith(message, primary)) continue;
      const double expectedUs =
          std::max(meanDurationOf(endpoint.circuit), 1.0) * std::max(1.0, endpoint.circuit.slowdown);
      const double requiredUs =
          expectedUs * (classOf(message).effect == Effect::unsafe ? kShutdownUnsafeDurationFactor
                                                                  : kShutdownDurationFactor);
      if (static_cast<double>(shutdownAt_ - now_) < requiredUs) continue;
      double cost =
          expectedUs * (1 + 0.5 * endpoint.inFlight) + (hasFreeConnection(endpoint) ? 0 : 0.5 * expectedUs);
      // Prefer an endpoint that answers over one whose last call failed.
      if (endpoint.circuit.consecutiveFailures > 0) cost += softDeadlineUs_;
      if (endpoint.circuit.breaker != BreakerState::closed)
        cost += admission == Admission::allowedAsProbe && primary.breaker == BreakerState::closed
                    ? 0
                    : softDeadlineUs_;
      if (hasOwnCircuit(endpoint)) {
        const double callCost = callCostForZone(settings_.callCostByZone, endpoint.entry.zone);
        if (callCost > lowestCallCost(destinationState) &&
            now_ - message.arrivedAt <
                static_cast<Micros>(kCheaperCallWaitSoftDeadlineFactor * softDeadlineUs_))
          continue;
        cost += callCost * softDeadlineUs_;
      }
      if (best == nullptr || cost < bestCost)
        std::tie(best, bestCost, isProbe) =
            std::tuple(&endpoint, cost, admission == Admission::allowedAsProbe);
    }
    return best;
  }

  double lowestCallCost(const DestinationState& destinationState) const {
    double lowestCost = std::numeric_limits<double>::max();
    for (const auto& [target, endpointPointer] : destinationState.endpoints) {
      const Endpoint& endpoint = *endpointPointer;
      if (endpoint.entry.availability != Availability::inService ||
          endpoint.circuit.breaker != BreakerState::closed)
        continue;
      lowestCost = std::min(lowestCost, callCostForZone(settings_.callCostByZone, endpoint.entry.zone));
    }
    return lowestCost;
  }

  // A probe may lose its message, so a message with an unsafe effect is used only if no failed call can have
  // run, or if the breaker has been open for long.
  bool mayProbeWith(const Message& message, const Circuit& circuit) const {
    return classOf(message).effect != Effect::unsafe || circuit.onlyConnectFailures ||
           now_ - circuit.openedAt > static_cast<Micros>(2 * probeIntervalUs(circuit));
  }

  double baseTimeoutFor(const Circuit& circuit, double classSoftDeadlineUs) const {
    return std::max(kTimeoutDurationFactor * meanDurationOf(circuit) * overallSlowdown(),
                    kMinTimeoutSoftDeadlineFactor * classSoftDeadlineUs);
  }
  // Nearly all calls are answered within this time.
  Micros responseExpectedWithin(const Circuit& circuit) const {
    const double meanUs = meanDurationOf(circuit);
    const double expectedUs = meanUs > 0
                                  ? kExpectedResponseDurationFactor * meanUs * std::max(1.0, circuit.slowdown)
                                  : kMinOverdueSoftDeadlineFactor * softDeadlineUs_;
    return static_cast<Micros>(
        std::max(expectedUs, kMinExpectedResponseSoftDeadlineFactor * softDeadlineUs_));
  }
  // An unanswered call halves the batch size, an opened breaker reduces it to one message, and each answer
  // doubles it.
  int batchLimitFor(Endpoint& endpoint) {
    const int maxBatch = kindSettingsOf(endpoint).maxBatchSize,
              currentLimit = primaryCircuit(endpoint).batchLimit;
    return currentLimit > 0 ? std::min(currentLimit, maxBatch) : maxBatch;
  }
  // Without concurrent attempts, a message in a call that also carries an unsafe one could not be retried
  // until that call ends.
  bool mayShareCall(const Message& message, const Message& other) const {
    return settings_.concurrentAttemptsAllowed ||
           (classOf(message).effect == Effect::unsafe) == (classOf(other).effect == Effect::unsafe);
  }
  Micros timeoutFor(const Message& message, const Circuit& circuit) {
    const ClassSettings& classSettings = classOf(message);
    const Micros timeLeft = message.expiresAt - now_;
    // An unsafe message cannot be retried after a time-out, so it waits until it expires.
    if (classSettings.effect == Effect::unsafe) return timeLeft;
    double timeoutUs = baseTimeoutFor(circuit, static_cast<double>(classSettings.softDeadline));
    if (classSettings.effect == Effect::keyed)
      timeoutUs = std::min(timeoutUs, static_cast<double>(classSettings.keyTtl) / 2);
    return std::clamp<Micros>(static_cast<Micros>(timeoutUs), std::min<Micros>(timeLeft, 1), timeLeft);
  }

  void dispatch() {
    if (callsInFlight_ >= settings_.maxInFlightCalls) return;
    std::vector<std::tuple<double, std::uint64_t, Message*>> byUrgency;
    for (auto destinationIt = destinationsWithPending_.begin();
         destinationIt != destinationsWithPending_.end();) {
      DestinationState& destinationState = destinations_[*destinationIt];
      destinationIt = destinationState.pendingMessages.empty() ? destinationsWithPending_.erase(destinationIt)
                                                               : std::next(destinationIt);
      if (now_ < destinationState.nextDispatchAt) continue;
      const double meanDurationUs = std::max(1.0, meanDurationOf(destinationState.circuit));
      for (const auto& [sequence, message] : destinationState.pendingMessages)
        byUrgency.emplace_back(-urgency(*message, meanDurationUs) / meanDurationUs, sequence, message);
    }
    std::sort(byUrgency.begin(), byUrgency.end());
    // Ordered by urgency; filled when the first batch is built.
    std::map<std::int64_t, std::vector<Message*>> pendingByDestination;
    for (const auto& [priority, sequence, messagePointer] : byUrgency) {
      if (callsInFlight_ >= settings_.maxInFlightCalls) break;
      Message& message = *messagePointer;
      if (message.attemptsInFlight > 0) continue;
      DestinationState& destinationState = destinations_[message.destination];
      bool isProbe = false, ticketsExhausted = false;
      Endpoint* endpoint = chooseEndpoint(message, destinationState, isProbe, ticketsExhausted);
      if (endpoint == nullptr) {
        if (ticketsExhausted && !message.bulkheadRejectionCounted)
          countBulkheadRejection(message, destinationState);
        destinationState.nextDispatchAt = now_ + dispatchInterval_;
        continue;
      }
      startCall(*endpoint, destinationState, message, isProbe);
      if (const int batchLimit = batchLimitFor(*endpoint); batchLimit > 1 && !isProbe) {
        int freePlaces = batchLimit - 1;
        if (pendingByDestination.empty()) {
          for (const auto& [unusedPriority, unusedSequence, other] : byUrgency)
            pendingByDestination[other->destination].push_back(other);
        }
        for (Message* extra : pendingByDestination[message.destination]) {
          if (freePlaces == 0) break;
          if (extra->attemptsInFlight > 0 || !maySendTo(*extra, *endpoint) || !mayShareCall(message, *extra))
            continue;
          addToCall(*endpoint, *extra);
          --freePlaces;
        }
      }
    }
  }

  // Counts a bulkhead rejection as an error, once per message between two calls and only after recent
  // failures, so that a burst does not open the breaker of a healthy destination. It is not counted during
  // slow start, when few tickets are available, nor at a lossy destination, where lost calls hold the
  // tickets.
  void countBulkheadRejection(Message& message, DestinationState& destinationState) {
    message.bulkheadRejectionCounted = true;
    for (auto& [target, endpoint] : destinationState.endpoints) {
      Circuit& circuit = primaryCircuit(*endpoint);
      if (!failedRecently(circuit) || circuit.breaker != BreakerState::closed || circuit.slowStartAt >= 0)
        continue;
      if (lossShareOf(circuit) > kLossyShare) continue;
      circuit.errorsInWindow.add(now_, windowUs_, 1);
      circuit.callsInWindow.add(now_, windowUs_, 1);
      tripIfFailing(circuit, target);
      return;
    }
  }

  void startCall(Endpoint& endpoint, DestinationState& destinationState, Message& message, bool isProbe) {
    Circuit& primary = primaryCircuit(endpoint);
    InFlightCall call;
    call.destination = message.destination;
    call.target = endpoint.entry.target;
    call.sentAt = now_;
    call.probe = isProbe;
    // Durations differ between destinations, so the overall mean is only a fallback.
    const double meanDurationUs =
        endpoint.circuit.meanDurationUs > 0 ? endpoint.circuit.meanDurationUs : primary.meanDurationUs;
    call.overdueAt =
        now_ + static_cast<Micros>(
                   std::max(kOverdueDurationFactor * (meanDurationUs > 0 ? meanDurationUs : meanDurationUs_),
                            (meanDurationUs > 0 ? kMinOverdueSoftDeadlineFactor : 1) * softDeadlineUs_));
    call.baseTimeoutUs = baseTimeoutFor(primary, softDeadlineUs_);
    currentCallId_ = ++lastCallId_;
    InFlightCall& storedCall = calls_[currentCallId_] = call;
    callsInFlight_ += 1;
    recentCalls_.add(now_, kAnswerGapSoftDeadlineFactor * softDeadlineUs_, 1);
    destinationState.inFlight += 1;
    if (endpoint.inFlight == 0 && now_ - endpoint.lastUsedAt >= settings_.connectionIdleTimeout)
      endpoint.openConnections = 0;
    if (endpoint.openConnections > endpoint.inFlight)
      storedCall.connectionIdleTime = now_ - endpoint.lastUsedAt;
    if (storedCall.connectionIdleTime >= idleTimeout(idleConnectionsOf(endpoint))) {
      closeIdleConnections(endpoint);
      storedCall.connectionIdleTime = 0;
    }
    if (!hasFreeConnection(endpoint)) endpoint.openConnections += 1;
    endpoint.inFlight += 1;
    recordSend(primary, isProbe && primary.breaker != BreakerState::closed);
    if (&primary != &endpoint.circuit)
      recordSend(endpoint.circuit, isProbe && endpoint.circuit.breaker != BreakerState::closed);
    addToCall(endpoint, message);
  }

  void addToCall(Endpoint& endpoint, Message& message) {
    actions_.push_back(Call{message.id, endpoint.entry.target, timeoutFor(message, primaryCircuit(endpoint)),
                            responseExpectedWithin(primaryCircuit(endpoint))});
    callIdByAttempt_[{message.id, message.attempts}] = currentCallId_;
    calls_[currentCallId_].attempts.emplace_back(message.id, message.attempts);
    calls_[currentCallId_].pendingOutcomes += 1;
    message.attempts += 1;
    message.attemptsInFlight += 1;
    destinations_[message.destination].pendingMessages.erase(message.sequence);
  }

  Settings settings_;
  SplitMix64 random_;
  // Shortest soft deadline of all classes, length of the breaker window, first backoff after a rejection.
  double softDeadlineUs_ = 1, windowUs_ = 1, firstBackoffUs_ = 1;
  Micros startedAt_ = -1, shutdownAt_ = kFarFutureUs, dispatchInterval_ = 1, now_ = 0, timerDueAt_ = 0,
         nextWatchAt_ = 0, watchRequestedAt_ = -kFarFutureUs;
  bool watching_ = false, watchRequested_ = false, watchPending_ = false;
  DecayingCounter recentCalls_, recentLosses_;
  std::deque<std::pair<Micros, double>> recentSlowdowns_;  // end time and slowdown of the latest calls
  double slowdownQuantile_ = 1;
  std::map<int, IdleConnections> idleConnections_;  // by kind of destination
  double meanDurationUs_ = 0;                       // over all destinations
  int callsInFlight_ = 0;
  std::uint64_t nextSequence_ = 0, lastCallId_ = 0, currentCallId_ = 0;
  std::map<MessageId, Message> messages_;
  std::size_t provisionallyEndedCount_ = 0;  // among messages_
  std::map<std::int64_t, DestinationState> destinations_;
  std::set<std::int64_t> destinationsWithPending_;
  std::map<TargetId, Endpoint> endpoints_;
  std::set<TargetId> removedTargets_;  // erased once their retry delays and failures have passed
  std::map<std::uint64_t, InFlightCall> calls_;
  std::map<std::pair<MessageId, int>, std::uint64_t> callIdByAttempt_;
  std::vector<Action> actions_;
};

Sender::Sender(Settings settings, std::uint64_t seed)
    : logic_(std::make_unique<Logic>(std::move(settings), seed)) {}
Sender::~Sender() = default;
Sender::Sender(Sender&&) noexcept = default;
Sender& Sender::operator=(Sender&&) noexcept = default;

std::vector<Action> Sender::processEvents(Micros now, const std::vector<Event>& events) {
  return logic_->processEvents(now, events);
}
bool Sender::maySend(Micros now, MessageId id, const TargetId& target) const {
  return logic_->maySend(now, id, target);
}

}  // namespace quilltide
