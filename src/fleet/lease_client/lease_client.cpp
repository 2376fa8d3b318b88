// Renewal, acquisition and expiry of one member's leases.
#include "fleet/lease_client/lease_client.hpp"

#include <algorithm>

namespace quilltide::fleet {
namespace {

constexpr Micros kRetryPausesPerRemainingTerm = 10;

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

// The lease that a command releases or transfers; nullptr for other commands.
const std::string* releasedLease(const Command& command) {
  if (const auto* releaseLease = std::get_if<ReleaseLease>(&command)) return &releaseLease->lease;
  if (const auto* transfer = std::get_if<TransferLease>(&command)) return &transfer->lease;
  return nullptr;
}

}  // namespace

LeaseClient::LeaseClient(const Settings& settings)
    : settings_(settings), jitterState_(settings.jitterSeed * 2 + 1) {}

Micros LeaseClient::safeTerm() const {
  return static_cast<Micros>(static_cast<double>(settings_.ttl) * (1 - settings_.maxClockDrift));
}

Micros LeaseClient::jitter(Micros bound) {
  jitterState_ ^= jitterState_ << 13;
  jitterState_ ^= jitterState_ >> 7;
  jitterState_ ^= jitterState_ << 17;
  return bound <= 0 ? 0 : static_cast<Micros>(jitterState_ % static_cast<std::uint64_t>(bound));
}

// ---- Commands of the process ----

void LeaseClient::enqueueAcquire(const std::string& lease) {
  commandQueue_.push_back({AcquireLease{0, 0, lease, true, wantedLeases_.at(lease)}, 0});
}

void LeaseClient::acquire(const std::string& lease, bool recallHolder) {
  if (closing_ || !wantedLeases_.try_emplace(lease, recallHolder).second) return;
  awaitedLeases_.insert(lease);
  enqueueAcquire(lease);
}

void LeaseClient::release(const std::string& lease) {
  if (wantedLeases_.erase(lease) == 0) return;
  const auto at = heldLeases_.find(lease);
  const FencingToken token = at == heldLeases_.end() ? 0 : at->second.token;
  if (at != heldLeases_.end()) heldLeases_.erase(at);
  awaitedLeases_.erase(lease);
  commandQueue_.push_back({ReleaseLease{0, 0, lease, token}, 0});
}

void LeaseClient::transfer(const std::string& lease, const std::string& to) {
  const auto at = heldLeases_.find(lease);
  if (at == heldLeases_.end()) return;
  const FencingToken token = at->second.token;
  heldLeases_.erase(at);
  wantedLeases_.erase(lease);
  commandQueue_.push_back({TransferLease{0, 0, lease, token, to}, 0});
}

std::uint64_t LeaseClient::put(const std::string& key, const std::optional<std::string>& value,
                               std::optional<std::uint64_t> expectedVersion, const std::string& fence) {
  PutValue p{0, 0, key, value, expectedVersion, {}};
  if (!fence.empty()) {
    const auto at = heldLeases_.find(fence);
    if (at == heldLeases_.end()) return 0;
    p.fence = Fence{fence, at->second.token};
  }
  commandQueue_.push_back({std::move(p), ++lastPutNumber_});
  return lastPutNumber_;
}

void LeaseClient::close() {
  if (closing_) return;
  closing_ = true;
  wantedLeases_.clear();
  awaitedLeases_.clear();
  heldLeases_.clear();
  renewal_.inFlight.reset();
  if (sessionId_ != 0) commandQueue_.push_back({CloseSession{0}, 0});
}

// ---- Validity of leases ----

std::optional<FencingToken> LeaseClient::validToken(const std::string& lease, Micros now, Micros need) const {
  const auto at = heldLeases_.find(lease);
  if (at == heldLeases_.end() || now + need >= at->second.validUntil) return std::nullopt;
  return at->second.token;
}

void LeaseClient::loseLease(const std::string& lease, Micros now, bool byCoordinators) {
  const auto at = heldLeases_.find(lease);
  if (at == heldLeases_.end()) return;
  if (byCoordinators && now < at->second.validUntil) ++prematureLosses_;
  events_.push_back({Event::Kind::leaseLost, lease, at->second.token, 0, 0, {}});
  heldLeases_.erase(at);
  if (!wantedLeases_.contains(lease)) return;
  awaitedLeases_.insert(lease);
  enqueueAcquire(lease);
}

std::vector<LeaseClient::Event> LeaseClient::takeEvents(Micros now) {
  for (auto at = heldLeases_.begin(); at != heldLeases_.end();) {
    const auto entry = at++;
    LocalLease& held = entry->second;
    const Micros remaining = held.validUntil - now;
    if (remaining <= 0) {
      // The coordinators may not have expired it yet: release it so that the next member need not wait.
      commandQueue_.push_back({ReleaseLease{0, 0, entry->first, held.token}, 0});
      loseLease(std::string(entry->first), now, false);
    } else if (!held.warned && !held.recalled &&
               remaining <=
                   static_cast<Micros>(static_cast<double>(settings_.ttl) * settings_.warnAtTermShareLeft)) {
      held.warned = true;
      events_.push_back({Event::Kind::leaseExpiring, entry->first, held.token, remaining, 0, {}});
    }
  }
  return std::exchange(events_, {});
}

// ---- Requests to the coordinators ----

Micros LeaseClient::longestRetryPause(Micros now) const {
  const Micros remaining = sessionId_ == 0 ? 0 : sessionValidUntil_ - now;
  if (remaining <= 0) return settings_.maxRetryPause;
  return std::clamp(remaining / kRetryPausesPerRemainingTerm, settings_.minRetryPause,
                    settings_.maxRetryPause);
}

void LeaseClient::backOff(RequestSlot& slot, Micros now) {
  slot.retryPause = std::clamp(slot.retryPause * 2, settings_.minRetryPause, longestRetryPause(now));
  const Micros at = now + slot.retryPause / 2 + jitter(slot.retryPause / 2 + 1);
  slot.nextAt = std::max(slot.nextAt, at);
  // Commands wait for renewals, never the other way round: a renewal is what keeps the leases.
  if (&slot == &renewal_) control_.nextAt = std::max(control_.nextAt, at);
}

std::vector<LeaseClient::Request> LeaseClient::takeRequests(Micros now) {
  for (RequestSlot* slot : {&renewal_, &control_}) {
    if (!slot->inFlight || now - slot->inFlight->sent < settings_.requestTimeout) continue;
    slot->inFlight.reset();
    backOff(*slot, now);
  }
  std::vector<Request> requests;
  const auto send = [&](RequestSlot& slot, Command command) {
    slot.inFlight = InFlightRequest{++lastRequestId_, now};
    requests.push_back({lastRequestId_, std::move(command)});
  };
  if (sessionId_ == 0) {
    if (closing_) {
      commandQueue_.clear();
    } else if (!control_.inFlight && now >= control_.nextAt) {
      if (openFirstSentAt_ == 0) {
        openFirstSentAt_ = now;
        ++sessionsOpened_;
      }
      send(control_, OpenSession{settings_.memberName,
                                 settings_.nonce + "-" + std::to_string(sessionsOpened_), settings_.ttl});
    }
    return requests;
  }
  if (!renewal_.inFlight && !closing_ && now >= renewal_.nextAt) send(renewal_, RenewSessions{{sessionId_}});
  if (!control_.inFlight && !commandQueue_.empty() && now >= control_.nextAt) {
    Command& command = commandQueue_.front().command;
    // Numbered on the first attempt, so that request numbers follow the order of the queue.
    std::visit(
        [&](auto& c) {
          if constexpr (requires { c.session; }) c.session = sessionId_;
          if constexpr (requires { c.request; }) {
            if (c.request == 0) c.request = ++lastRequestNumber_;
          }
        },
        command);
    send(control_, command);
  }
  return requests;
}

void LeaseClient::handleFailure(std::uint64_t id, Micros now) {
  for (RequestSlot* slot : {&renewal_, &control_}) {
    if (!slot->inFlight || slot->inFlight->id != id) continue;
    slot->inFlight.reset();
    backOff(*slot, now);
  }
}

void LeaseClient::renewSoon(Micros now) { renewal_.nextAt = std::min(renewal_.nextAt, now); }

bool LeaseClient::isWaiting() const { return sessionId_ != 0 && !awaitedLeases_.empty(); }

void LeaseClient::handleResult(std::uint64_t id, const Result& result, Micros now) {
  if (renewal_.inFlight && renewal_.inFlight->id == id) {
    const Micros sent = renewal_.inFlight->sent;
    renewal_.inFlight.reset();
    renewal_.retryPause = control_.retryPause = 0;  // the leader has been found
    if (result.renewals.empty() || result.renewals.front().session != sessionId_) return;
    handleRenewal(result.renewals.front(), result.index, sent, now);
  } else if (control_.inFlight && control_.inFlight->id == id) {
    const Micros sent = control_.inFlight->sent;
    control_.inFlight.reset();
    renewal_.retryPause = control_.retryPause = 0;  // the leader has been found
    handleControlResult(result, sent, now);
  }
}

void LeaseClient::handleRenewal(const RenewalResult& renewal, LogIndex index, Micros sent, Micros now) {
  if (!renewal.alive) return loseSession(now);
  if (index <= lastRenewalIndex_) return;
  lastRenewalIndex_ = index;
  const Micros period =
      static_cast<Micros>(static_cast<double>(settings_.ttl) * settings_.renewAfterTermShare);
  renewal_.nextAt = sent + period - jitter(period / 8 + 1);
  const Micros validUntil = sent + safeTerm();
  sessionValidUntil_ = std::max(sessionValidUntil_, validUntil);
  std::set<std::string> listed;
  for (const HeldLease& h : renewal.holdings) {
    listed.insert(h.lease);
    if (!wantedLeases_.contains(h.lease) || releasePending(h.lease)) continue;
    if (const auto released = releaseIndexes_.find(h.lease);
        released != releaseIndexes_.end() && index <= released->second)
      continue;
    const auto at = heldLeases_.find(h.lease);
    if (at == heldLeases_.end() || at->second.token != h.token) {
      if (at != heldLeases_.end()) loseLease(h.lease, now, true);
      if (h.recalled) {
        // Already recalled: its remaining term is unknown here, so it is released unused.
        commandQueue_.push_back({ReleaseLease{0, 0, h.lease, h.token}, 0});
        continue;
      }
      addLease(h.lease, h.token, index, now);
      continue;
    }
    LocalLease& held = at->second;
    held.index = index;
    if (!h.recalled) {
      held.validUntil = sessionValidUntil_;
      held.warned = false;
    } else if (!held.recalled) {
      held.recalled = true;
      events_.push_back({Event::Kind::leaseRecalled, h.lease, h.token, held.validUntil - now, 0, {}});
    }
  }
  std::vector<std::string> ended;
  for (const auto& [lease, held] : heldLeases_)
    if (!listed.contains(lease) && held.index < index) ended.push_back(lease);
  for (const std::string& lease : ended) loseLease(lease, now, true);
}

void LeaseClient::addLease(const std::string& lease, FencingToken token, LogIndex index, Micros now) {
  if (sessionValidUntil_ <= now) return;  // the next renewal lists it again
  heldLeases_[lease] = {token, index, sessionValidUntil_, false, false};
  awaitedLeases_.erase(lease);
  events_.push_back({Event::Kind::leaseAcquired, lease, token, sessionValidUntil_ - now, 0, {}});
}

bool LeaseClient::releasePending(const std::string& lease) const {
  return std::any_of(commandQueue_.begin(), commandQueue_.end(), [&](const QueuedCommand& queued) {
    const std::string* pendingLease = releasedLease(queued.command);
    return pendingLease != nullptr && *pendingLease == lease;
  });
}

void LeaseClient::handleControlResult(const Result& result, Micros sent, Micros now) {
  if (sessionId_ == 0) {
    if (result.code != ResultCode::ok) return backOff(control_, now);
    static_cast<void>(sent);
    sessionId_ = result.session;
    lastRequestNumber_ = 0;
    lastRenewalIndex_ = result.index;
    // An earlier attempt may have opened the session, so the term starts at the first one.
    sessionValidUntil_ = openFirstSentAt_ + safeTerm();
    openFirstSentAt_ = 0;
    renewal_.nextAt = now;
    events_.push_back({Event::Kind::sessionOpened, "", 0, 0, 0, {}});
    return;
  }
  if (result.code == ResultCode::noSession) return loseSession(now);
  if (commandQueue_.empty()) return;
  const QueuedCommand completed = std::move(commandQueue_.front());
  commandQueue_.pop_front();
  std::visit(
      Overloaded{[&](const AcquireLease& c) {
                   if (!wantedLeases_.contains(c.lease) || releasePending(c.lease)) return;
                   if (result.code == ResultCode::ok) {
                     // A renewal that was applied later takes precedence.
                     if (result.index > lastRenewalIndex_ && !heldLeases_.contains(c.lease)) {
                       addLease(c.lease, result.token, result.index, now);
                     } else {
                       renewSoon(now);
                     }
                   } else if (result.code != ResultCode::waiting) {
                     enqueueAcquire(c.lease);  // retried after a pause
                     backOff(control_, now);
                   }
                 },
                 [&](const ReleaseLease& c) {
                   releaseIndexes_[c.lease] = std::max(releaseIndexes_[c.lease], result.index);
                 },
                 [&](const TransferLease& c) {
                   if (result.code == ResultCode::ok) {
                     releaseIndexes_[c.lease] = std::max(releaseIndexes_[c.lease], result.index);
                     return;
                   }
                   // The transfer failed and this member is still the holder.
                   acquire(c.lease, true);
                 },
                 [&](const PutValue&) {
                   events_.push_back({Event::Kind::putCompleted, "", 0, 0, completed.putNumber, result});
                 },
                 [&](const CloseSession&) { sessionId_ = 0; }, [](const auto&) {}},
      completed.command);
}

// Handles the end of the session at the coordinators: all leases are lost and requested again.
void LeaseClient::loseSession(Micros now) {
  sessionId_ = 0;
  renewal_.inFlight.reset();
  control_.inFlight.reset();
  openFirstSentAt_ = 0;
  releaseIndexes_.clear();
  std::vector<QueuedCommand> puts;
  for (QueuedCommand& queued : commandQueue_)
    if (queued.putNumber != 0) puts.push_back(std::move(queued));
  commandQueue_.clear();
  Result failure;
  failure.code = ResultCode::noSession;
  for (const QueuedCommand& pendingPut : puts)
    events_.push_back({Event::Kind::putCompleted, "", 0, 0, pendingPut.putNumber, failure});
  std::vector<std::string> lost;
  for (const auto& [lease, held] : heldLeases_) lost.push_back(lease);
  for (const std::string& lease : lost) loseLease(lease, now, true);
  commandQueue_.clear();
  for (const auto& [lease, recallHolder] : wantedLeases_) {
    awaitedLeases_.insert(lease);
    enqueueAcquire(lease);
  }
  events_.push_back({Event::Kind::sessionLost, "", 0, 0, 0, {}});
}

Micros LeaseClient::nextWakeup(Micros now) const {
  Micros at = now + settings_.maxRetryPause;
  const auto wakeBy = [&](Micros when) { at = std::min(at, std::max(when, now + 1)); };
  if (!events_.empty()) return now;
  for (const RequestSlot* slot : {&renewal_, &control_})
    if (slot->inFlight) wakeBy(slot->inFlight->sent + settings_.requestTimeout);
  if (sessionId_ == 0) {
    if (!closing_ && !control_.inFlight) wakeBy(control_.nextAt);
  } else {
    if (!renewal_.inFlight && !closing_) wakeBy(renewal_.nextAt);
    if (!control_.inFlight && !commandQueue_.empty()) wakeBy(control_.nextAt);
  }
  const auto warn = static_cast<Micros>(static_cast<double>(settings_.ttl) * settings_.warnAtTermShareLeft);
  for (const auto& [lease, held] : heldLeases_) {
    wakeBy(held.validUntil);
    if (!held.warned && !held.recalled) wakeBy(held.validUntil - warn);
  }
  return at;
}

}  // namespace quilltide::fleet
