// Event processing, journaling and execution of the decision module's actions.
#include "engine/engine.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <iostream>

namespace quilltide::net {
namespace {

using boost::system::error_code;

constexpr Micros kWriteRetryDelayUs = 50'000;
constexpr Micros kNoticeLeadUs =
    100'000;  // a notice is decided this long before the deadline at the earliest
constexpr std::size_t kMaxLoggedUnknownNames = 32;      // each is logged once
constexpr std::size_t kAcceptingOverheadBytes = 8'000;  // journal space per message in addition to its body

Micros steadyNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::steady_clock::now().time_since_epoch())
      .count();
}
Micros wallNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

bool provesNotExecuted(CallResult result) {
  return result == CallResult::busy || result == CallResult::connectFailed || result == CallResult::skipped;
}

using Kind = Reply::Kind;
using Reason = Reply::Reason;

Reply rejectForCapacity(Micros retryAfter) { return {Kind::rejected, Reason::noCapacity, retryAfter}; }

Digest digestOfMessage(const Submission& message) {
  return digestOf(message.messageClass, message.destination, message.key, message.body);
}

}  // namespace

Engine::Engine(boost::asio::io_context& io, const PlatformConfig& config, const RetentionSource& retention,
               std::unique_ptr<Ownership> ownership)
    : io_(io),
      settings_(config.settings),
      names_(config.names),
      initialDirectory_(config.initialDirectory),
      journal_(config.stateFolder, config.diskLimitBytes, retention, std::move(ownership)),
      sender_(config.settings, config.seed),
      processingAlarm_(io) {
  for (const ClassSettings& classSettings : settings_.classes)
    destinationRetention_ = std::max(destinationRetention_, classSettings.deadline);
}

void Engine::attach(UpstreamClient& upstream, DirectoryClient& directory) {
  upstream_ = &upstream;
  directory_ = &directory;
}

void Engine::start() {
  applyDirectory(initialDirectory_);
  events_.push_back(std::move(initialDirectory_.view));
  initialDirectory_ = {};
  recoverMessages();
  if (!settings_.directoryOnRequest) directory_->watch(true);
  processEvents();
}

void Engine::announceShutdown(Micros timeLeft) {
  events_.push_back(ShutdownNotice{timeLeft});
  scheduleProcessing(steadyNow());
}

// ---- Events ----

// An attempt without a recorded result may have been executed by its target, and counts as an attempt.
void Engine::recoverMessages() {
  const Micros wallTime = wallNow(), now = steadyNow();
  std::size_t resumed = 0;
  for (auto& [id, message] : journal_.pendingMessages()) {
    message->handle = allocateHandle(id);
    if (message->notice) {
      ++pendingNotices_;
      // The journal may have been written with outcome retention disabled.
      journal_.recordOutcome(*message, message->notice->returned ? FinalState::returned : FinalState::failed,
                             message->notice->retryInMs, wallTime);
      directory_->sendNotice(id, *message->notice);
      continue;
    }
    Arrival arrival;
    arrival.id = message->handle;
    arrival.messageClass = message->messageClass;
    arrival.destination = message->destination;
    // After a reboot the wall clock may have been stepped: no message has more time than its class allows.
    arrival.timeLeft = std::clamp<Micros>(message->deadline - now, 0, kMaxTimeToLiveUs);
    message->deadline = now + arrival.timeLeft;
    RecoveredState recoveredState;
    for (const auto& [number, attempt] : message->attempts) {
      recoveredState.attempts = std::max(recoveredState.attempts, number + 1);
      if (attempt.notExecuted ||
          (recoveredState.mayHaveRun && attempt.sentAt >= now - recoveredState.uncertainAttemptAge))
        continue;
      recoveredState.mayHaveRun = true;
      recoveredState.uncertainAttemptAge = std::max<Micros>(0, now - attempt.sentAt);
      recoveredState.uncertainAttemptTarget = attempt.target;
    }
    attemptCounts_[message->handle] = recoveredState.attempts;
    if (recoveredState.attempts == 0) recoveredUntried_.remaining.insert(message->handle);
    arrival.recovered = recoveredState;
    events_.push_back(arrival);
    ++resumed;
  }
  journal_.evictExpiredOutcomes(wallTime);
  publishedPosition_ = journal_.lastDurablePosition();
  if (resumed + pendingNotices_ > 0) {
    std::cerr << "recovered " << resumed << " messages and " << pendingNotices_ << " notices" << std::endl;
  }
  recoveredUntried_.total = recoveredUntried_.remaining.size();
}

void Engine::recordRecoveredProgress(MessageId handle, bool attempted) {
  if (recoveredUntried_.remaining.erase(handle) == 0) return;
  if (attempted) ++recoveredUntried_.attempted;
  if (!recoveredUntried_.remaining.empty()) return;
  std::cerr << "of " << recoveredUntried_.total << " recovered messages without an attempt, "
            << recoveredUntried_.attempted << " were called, "
            << recoveredUntried_.total - recoveredUntried_.attempted << " ended without a call" << std::endl;
}

bool Engine::matchesAccepting(MessageId handle, const Submission& message) const {
  return accepting_.at(handle).digest == digestOfMessage(message);
}

void Engine::submit(Submission message, ReplyHandler handler) {
  constexpr Reply idConflict{Kind::conflict, Reason::idConflict};
  if (const auto duplicate = acceptingById_.find(message.id); duplicate != acceptingById_.end()) {
    if (!matchesAccepting(duplicate->second, message)) return handler(idConflict);
    accepting_.at(duplicate->second).replies.push_back(std::move(handler));
    return;
  }
  const Digest digest = digestOfMessage(message);
  // A retry of a message that was accepted before, for example after its connection was lost.
  if (const Digest* known = journal_.digestOf(message.id); known != nullptr)
    return handler(*known == digest ? Reply{Kind::duplicate} : idConflict);
  if (!destinationLastSeen_.contains(message.destination))
    return handler({Kind::failed, Reason::unknownDestination});
  if (openMessages() >= static_cast<std::size_t>(settings_.maxOpenMessages))
    return handler(rejectForCapacity(0));
  journal_.evictExpiredOutcomes(wallNow());
  if (!journal_.hasRoomFor(message.id.size(), message.key.size(), message.body.size() + acceptingBytes_) ||
      !journal_.hasRoomForOutcomes(accepting_.size() + 1))
    return handler(rejectForCapacity(settings_.maxRetryAfter));
  Arrival arrival;
  arrival.id = allocateHandle(message.id);
  arrival.messageClass = message.messageClass;
  arrival.destination = message.destination;
  arrival.timeLeft = message.timeToLive;
  events_.push_back(arrival);
  acceptingById_[message.id] = arrival.id;
  AcceptingMessage& entry = accepting_[arrival.id];
  acceptingBytes_ += message.body.size() + kAcceptingOverheadBytes;
  entry.deadline = message.timeToLive + steadyNow();
  entry.digest = digest;
  entry.message = std::move(message);
  entry.replies.push_back(std::move(handler));
  scheduleProcessing(steadyNow());
}

void Engine::handleOutcome(const Outcome& outcome) {
  if (PendingMessage* message = findByHandle(outcome.id)) {
    if (outcome.provisional) {
      provisionalOutcomes_[{outcome.id, outcome.attempt}] = outcome;
      if (outcome.endsMessage) provisionallyEnded_.insert(outcome.id);
    } else {
      recordCertainOutcome(*message, outcome);
    }
  }
  events_.push_back(outcome);
  scheduleProcessing(steadyNow());
}

void Engine::recordCertainOutcome(PendingMessage& message, const Outcome& outcome) {
  if (outcome.endsMessage) {
    journal_.recordOutcome(
        message,
        outcome.callResult == CallResult::succeeded ? FinalState::delivered : FinalState::endedByTarget, 0,
        wallNow());
    removeMessage(message.id);
  } else if (provesNotExecuted(outcome.callResult)) {
    journal_.recordNotExecuted(message, outcome.attempt);
  }
  scheduleCommit();
}

// A message whose delivery could not be verified is left to the decision module: it stays open until its
// deadline, and ends by a notice then.
void Engine::handleReview(const OutcomeReview& review) {
  const auto found = provisionalOutcomes_.find({review.id, review.attempt});
  if (found == provisionalOutcomes_.end()) return;
  const Outcome outcome = found->second;
  provisionalOutcomes_.erase(found);
  using Verdict = OutcomeReview::Verdict;
  if (review.verdict == Verdict::disproved) provisionallyEnded_.erase(review.id);
  PendingMessage* message = findByHandle(review.id);
  if (message != nullptr && review.verdict == Verdict::confirmed) recordCertainOutcome(*message, outcome);
  events_.push_back(review);
  scheduleProcessing(steadyNow());
}

void Engine::handleRetryDelay(const RetryDelayNotice& notice) {
  events_.push_back(notice);
  scheduleProcessing(steadyNow());
}

std::size_t Engine::openMessages() const {
  return journal_.pendingMessages().size() - pendingNotices_ - provisionallyEnded_.size() + accepting_.size();
}

// The message was delivered after its time-out had been reported: it has ended and needs no retry or
// notice.
void Engine::handleLateDelivery(MessageId handle) {
  PendingMessage* message = findByHandle(handle);
  if (message == nullptr || message->notice) return;
  journal_.recordOutcome(*message, FinalState::delivered, 0, wallNow());
  removeMessage(message->id);
  scheduleCommit();
  events_.push_back(MessageEnded{handle});
  scheduleProcessing(steadyNow());
}

// A destination without targets may get a new one soon: its messages are accepted for as long as the
// longest deadline of a class.
void Engine::applyDirectory(const DirectoryUpdate& update) {
  for (const std::string& name : update.unknownNames) {
    if (loggedUnknownNames_.size() < kMaxLoggedUnknownNames && loggedUnknownNames_.insert(name).second)
      std::cerr << "directory lists a target with unknown " << name << ": the most restrictive limits apply"
                << std::endl;
  }
  upstream_->updateTargets(update);
  const Micros now = steadyNow();
  // Those that had a target until now count from this moment, however long ago the last update came.
  for (const std::int64_t destination : listedDestinations_) destinationLastSeen_[destination] = now;
  listedDestinations_ = upstream_->destinations();
  for (const std::int64_t destination : listedDestinations_) destinationLastSeen_[destination] = now;
  std::erase_if(destinationLastSeen_,
                [&](const auto& entry) { return entry.second < now - destinationRetention_; });
}

void Engine::handleDirectoryUpdate(std::optional<DirectoryUpdate> update) {
  // The decision module does not request the directory if it is pushed, so the engine keeps the watch
  // open.
  if (!update && !settings_.directoryOnRequest) return directory_->watch(true);
  if (!update) {
    events_.push_back(DirectoryView{ViewScope::refused, {}});
  } else {
    applyDirectory(*update);
    events_.push_back(std::move(update->view));
  }
  scheduleProcessing(steadyNow());
}

void Engine::handleAcknowledgedNotices(const std::vector<std::string>& ids) {
  for (const std::string& id : ids) removeMessage(id);
  scheduleCommit();
}

// Batches all changes of one iteration of the event loop into one write.
void Engine::scheduleCommit() {
  if (std::exchange(commitPosted_, true)) return;
  boost::asio::post(io_, [this] {
    if (commitPosted_ && !commit()) scheduleProcessing(steadyNow() + kWriteRetryDelayUs);
  });
}

void Engine::renewOwnership(std::unique_ptr<Ownership> ownership) {
  if (!journal_.renewOwnership(std::move(ownership))) return reportFencing();
  scheduleCommit();
}

void Engine::reportFencing() {
  if (journal_.fenced() && onFenced_) boost::asio::post(io_, std::exchange(onFenced_, nullptr));
}

bool Engine::commit() {
  commitPosted_ = false;
  if (!journal_.commit()) {
    reportFencing();
    return false;
  }
  // A subscriber may submit messages, which changes the journal: no pointer into it is kept across the
  // calls.
  while (const FinalOutcome* next = journal_.outcomeAfter(publishedPosition_)) {
    publishedPosition_ = next->position;
    const FinalOutcome outcome = *next;
    for (const OutcomeHandler& handler : subscribers_) handler(outcome);
  }
  return true;
}

// ---- Processing ----

void Engine::scheduleProcessing(Micros at) {
  const Micros period = settings_.tickInterval;
  at = (at / period + 1) * period;
  if (processingAt_ != 0 && processingAt_ <= at) return;
  processingAt_ = at;
  processingAlarm_.armAt(std::chrono::steady_clock::time_point(std::chrono::microseconds(at)),
                         [this] { processEvents(); });
}

void Engine::processEvents() {
  processingAt_ = 0;
  const Micros now = steadyNow();
  while (!timers_.empty() && timers_.begin()->first <= now) {
    events_.push_back(TimerFired{timers_.begin()->second});
    timers_.erase(timers_.begin());
  }
  const std::vector<Event> events = std::exchange(events_, {});
  const std::vector<Action> actions = sender_.processEvents(now, events);

  // Messages that are not written can be rejected for certain.
  if (!accepting_.empty()) journal_.refreshOwnership();
  Replies replies = applyRejections(actions);
  journalAccepted();
  std::vector<Call> calls;
  for (const Action& action : actions) {
    const auto* call = std::get_if<Call>(&action);
    if (call != nullptr && findByHandle(call->id) != nullptr) calls.push_back(*call);
  }

  // Reply handlers may submit messages: containers that submit() changes must not be iterated while they
  // run.
  auto acceptedMessages = std::exchange(accepting_, {});
  acceptingById_.clear();
  acceptingBytes_ = 0;
  const bool committed = commit();
  const Reply acceptedReply = committed ? Reply{Kind::acknowledged} : replyToUncommitted();
  for (auto& [handle, accepting] : acceptedMessages)
    replies.emplace_back(acceptedReply, std::move(accepting.replies));
  if (!committed) calls = rollBack(acceptedMessages, calls);
  for (const auto& [reply, handlers] : replies) {
    for (const ReplyHandler& handler : handlers) handler(reply);
  }
  if (!journal_.fenced()) {
    sendNotices(committed);
    sendCalls(calls);
  }
  if (!committed) scheduleProcessing(now + kWriteRetryDelayUs);

  for (const Action& action : actions) {
    if (const auto* cancellation = std::get_if<CancelCall>(&action)) {
      upstream_->cancelCall(cancellation->id, cancellation->attempt);
    } else if (const auto* timer = std::get_if<SetTimer>(&action)) {
      timers_.emplace(now + timer->delay, timer->token);
    } else if (const auto* watch = std::get_if<WatchDirectory>(&action)) {
      directory_->watch(watch->enable);
    } else if (const auto* idle = std::get_if<CloseIdleConnections>(&action)) {
      upstream_->closeIdle(idle->target);
    } else if (const auto* log = std::get_if<Log>(&action)) {
      std::cerr << log->text << '\n';
    }
  }
  if (!timers_.empty()) scheduleProcessing(timers_.begin()->first - 1);
  if (!events_.empty()) scheduleProcessing(now);
}

// A message that is rejected or fails before it was journaled is answered to the client directly. An
// accepted one gets a notice and a final outcome.
Engine::Replies Engine::applyRejections(const std::vector<Action>& actions) {
  Replies replies;
  for (const Action& action : actions) {
    const auto* rejection = std::get_if<RejectMessage>(&action);
    const auto* failure = std::get_if<FailMessage>(&action);
    if (rejection == nullptr && failure == nullptr) continue;
    const MessageId handle = rejection != nullptr ? rejection->id : failure->id;
    const Micros retryAfter = rejection != nullptr ? rejection->retryDelay : 0;
    if (const auto at = accepting_.find(handle); at != accepting_.end()) {
      replies.emplace_back(rejection != nullptr ? Reply{Kind::rejected, Reason::destinationBusy, retryAfter}
                                                : Reply{Kind::failed, Reason::deliveryFailed},
                           std::move(at->second.replies));
      acceptingById_.erase(at->second.message.id);
      idsByHandle_.erase(handle);
      accepting_.erase(at);
    } else if (PendingMessage* message = findByHandle(handle); message != nullptr && !message->notice) {
      recordRecoveredProgress(handle, false);
      const Notice notice{rejection != nullptr, (retryAfter + 999) / 1000};
      journal_.recordNotice(*message, notice);
      journal_.recordOutcome(*message, notice.returned ? FinalState::returned : FinalState::failed,
                             notice.retryInMs, wallNow());
      unsentNotices_.push_back(message->id);
      ++pendingNotices_;
      provisionallyEnded_.erase(handle);
    }
  }
  return replies;
}

// A rejection tells the client that the message will not be delivered.
Reply Engine::replyToUncommitted() const {
  if (journal_.uncertain()) return {Kind::failed, Reason::mayBeDelivered};
  return rejectForCapacity(settings_.maxRetryAfter);
}

void Engine::journalAccepted() {
  for (auto& [handle, accepting] : accepting_) {
    PendingMessage pending;
    pending.id = accepting.message.id;
    pending.key = accepting.message.key;
    pending.body = std::move(accepting.message.body);
    pending.handle = handle;
    pending.messageClass = accepting.message.messageClass;
    pending.destination = accepting.message.destination;
    pending.deadline = accepting.deadline;
    pending.digest = accepting.digest;
    journal_.accept(std::move(pending));
  }
}

// The connection may be established long after the call was decided, so the decision module is asked
// again. The attempt is journaled only now: after a crash, a call that was still connecting counts as not
// attempted.
std::vector<bool> Engine::authorizeSend(const TargetId& target,
                                        const std::vector<const UpstreamRequest*>& requests) {
  const Micros now = steadyNow();
  std::vector<bool> allowed;
  for (const UpstreamRequest* request : requests) {
    PendingMessage* message = findByHandle(request->handle);
    allowed.push_back(message != nullptr && !message->notice &&
                      sender_.maySend(now, request->handle, target));
    if (allowed.back()) journal_.recordAttempt(*message, request->attempt, target, now);
    if (allowed.back()) recordRecoveredProgress(request->handle, true);
  }
  if (std::find(allowed.begin(), allowed.end(), true) == allowed.end() || commit()) return allowed;
  for (std::size_t i = 0; i < requests.size(); ++i) {
    PendingMessage* message = allowed[i] ? findByHandle(requests[i]->handle) : nullptr;
    if (message == nullptr || mayCallWithoutRecord(*message)) continue;
    journal_.recordNotExecuted(*message, requests[i]->attempt);
    allowed[i] = false;
  }
  return allowed;
}

Effect Engine::effectOf(const PendingMessage& message) const {
  const auto index = static_cast<std::size_t>(message.messageClass);
  return index < settings_.classes.size() ? settings_.classes[index].effect : Effect::unsafe;
}

// If concurrent attempts are forbidden, a message that waits until its deadline would delay the retries of
// the other messages of its call.
bool Engine::canShareCall(const UpstreamRequest& first, const UpstreamRequest& second) const {
  return settings_.concurrentAttemptsAllowed ||
         (first.timeout < first.timeToLive) == (second.timeout < second.timeToLive);
}

// Groups the messages for a target into calls up to the batch limit of its kind.
void Engine::sendCalls(const std::vector<Call>& calls) {
  std::vector<std::pair<TargetId, std::vector<UpstreamRequest>>> batches;
  for (const Call& call : calls) {
    const PendingMessage& message = *findByHandle(call.id);
    const Micros timeLeft = std::max<Micros>(1, message.deadline - steadyNow());
    UpstreamRequest request;
    request.handle = call.id;
    request.attempt = attemptCounts_[call.id]++;
    request.id = message.id;
    request.key = message.key;
    request.body = message.body;
    request.timeout = call.timeout == 0 ? timeLeft : std::clamp<Micros>(call.timeout, 1, timeLeft);
    request.timeToLive = timeLeft;
    request.responseExpectedWithin = call.responseExpectedWithin;
    request.mayRepeat = effectOf(message) != Effect::unsafe;
    const std::size_t batchLimit = upstream_->maxMessagesPerCall(call.target);
    auto batch = std::find_if(batches.rbegin(), batches.rend(), [&](const auto& candidate) {
      return candidate.first == call.target && candidate.second.size() < batchLimit &&
             canShareCall(request, candidate.second.front());
    });
    if (batch == batches.rend()) {
      batches.emplace_back(call.target, std::vector<UpstreamRequest>());
      batch = batches.rbegin();
    }
    batch->second.push_back(std::move(request));
  }
  for (auto& [target, requests] : batches) upstream_->call(target, std::move(requests));
}

// Without a record on disk only the notices that are due are sent: the message cannot be called after a crash
// then, because its deadline has passed when the next process starts.
void Engine::sendNotices(bool recordsOnDisk) {
  const Micros dueUntil = steadyNow() + kNoticeLeadUs;
  for (const std::string& id : std::exchange(unsentNotices_, {})) {
    const PendingMessage* message = journal_.find(id);
    if (message == nullptr) continue;
    if (recordsOnDisk || message->deadline <= dueUntil) {
      directory_->sendNotice(id, *message->notice);
    } else {
      unsentNotices_.push_back(id);
    }
  }
}

// After a crash, a call without a record would count as not started.
bool Engine::mayCallWithoutRecord(const PendingMessage& message) const {
  return !journal_.fenced() && effectOf(message) == Effect::safe;
}

// The commit failed: the new messages are not accepted, and the calls count as not executed. Returns those
// that may be sent all the same.
std::vector<Call> Engine::rollBack(const std::map<MessageId, AcceptingMessage>& acceptedMessages,
                                   const std::vector<Call>& calls) {
  std::vector<Call> sendable;
  for (const auto& [handle, accepting] : acceptedMessages) {
    idsByHandle_.erase(handle);
    attemptCounts_.erase(handle);
    journal_.discard(accepting.message.id);
    events_.push_back(MessageEnded{handle});
  }
  for (const Call& call : calls) {
    PendingMessage* message = findByHandle(call.id);
    if (message != nullptr && mayCallWithoutRecord(*message)) {
      sendable.push_back(call);
      continue;
    }
    const int number = attemptCounts_[call.id]++;
    Outcome outcome;
    outcome.id = call.id;
    outcome.attempt = number;
    outcome.target = call.target;
    outcome.callResult = CallResult::skipped;
    if (message != nullptr) journal_.recordNotExecuted(*message, number);
    events_.push_back(outcome);
  }
  return sendable;
}

void Engine::removeMessage(const std::string& idReference) {
  const std::string id = idReference;  // a copy: the reference may point into the message that is erased
  if (const PendingMessage* message = journal_.find(id)) {
    idsByHandle_.erase(message->handle);
    attemptCounts_.erase(message->handle);
    provisionallyEnded_.erase(message->handle);
    if (message->notice) --pendingNotices_;
    journal_.recordEnd(id);
  }
}

MessageStatus Engine::status(const std::string& id) const {
  MessageStatus status;
  if (acceptingById_.contains(id)) {
    status.state = MessageStatus::State::accepting;
  } else if (const FinalOutcome* outcome = journal_.durableOutcome(id)) {
    status.state = MessageStatus::State::ended;
    status.finalOutcome = outcome;
  } else if (journal_.hasUncommittedOutcome(id)) {
    status.state = MessageStatus::State::attempted;  // the outcome is reported only after it is on disk
  } else if (const PendingMessage* message = journal_.find(id)) {
    const auto count = attemptCounts_.find(message->handle);
    status.attempts = count == attemptCounts_.end() ? 0 : count->second;
    status.state = status.attempts > 0 ? MessageStatus::State::attempted : MessageStatus::State::pending;
  } else if (journal_.digestOf(id) != nullptr) {
    status.state = MessageStatus::State::ended;
  }
  return status;
}

PendingMessage* Engine::findByHandle(MessageId handle) {
  const auto found = idsByHandle_.find(handle);
  return found == idsByHandle_.end() ? nullptr : journal_.find(found->second);
}

MessageId Engine::allocateHandle(const std::string& id) {
  idsByHandle_[++lastHandle_] = id;
  return lastHandle_;
}

}  // namespace quilltide::net
