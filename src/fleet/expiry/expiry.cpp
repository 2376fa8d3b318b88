// Session and lease deadlines on the leading coordinator.
#include "fleet/expiry/expiry.hpp"

#include <algorithm>

namespace quilltide::fleet {
namespace {

constexpr Micros kMaxCheckInterval = 100'000;  // short enough to detect stalls

}  // namespace

void ExpiryTracker::setSessionDeadline(SessionId session, Micros deadline) {
  removeSessionDeadline(session);
  sessionDeadlines_[session] = deadline;
  sessionsByDeadline_.emplace(deadline, session);
}

void ExpiryTracker::removeSessionDeadline(SessionId session) {
  const auto at = sessionDeadlines_.find(session);
  if (at == sessionDeadlines_.end()) return;
  sessionsByDeadline_.erase({at->second, session});
  sessionDeadlines_.erase(at);
}

void ExpiryTracker::startLeading(const State& state, Micros now) {
  stopLeading();
  leading_ = true;
  nextCheckAt_ = now + kMaxCheckInterval;
  for (const auto& [id, s] : state.sessions()) setSessionDeadline(id, now + extendedTerm(s.ttl));
  for (const auto& [name, l] : state.leases()) updateLeaseDeadline(state, name, now);
  updateGracePeriod(state, now);
}

void ExpiryTracker::stopLeading() {
  leading_ = false;
  sessionDeadlines_.clear();
  sessionsByDeadline_.clear();
  leaseDeadlines_.clear();
  gracePeriodEnd_ = 0;
}

void ExpiryTracker::updateGracePeriod(const State& state, Micros now) {
  if (!state.inGracePeriod()) {
    gracePeriodEnd_ = 0;
  } else if (gracePeriodEnd_ == 0 || gracePeriodGeneration_ != state.generation()) {
    gracePeriodGeneration_ = state.generation();
    gracePeriodEnd_ = now + extendedTerm(state.limits().maxTtl);
  }
}

// Only recalled leases, and leases whose waiting sessions request a recall, have a deadline.
void ExpiryTracker::updateLeaseDeadline(const State& state, const std::string& name, Micros now) {
  const Lease* lease = state.findLease(name);
  if (lease == nullptr || (lease->recallRequesters.empty() && !lease->recalled)) {
    leaseDeadlines_.erase(name);
    return;
  }
  LeaseDeadline& held = leaseDeadlines_[name];
  const bool isNew = held.token != lease->token;
  if (isNew) held = {lease->token, 0, false};
  if (lease->recalled && !held.recalled) {
    held.recalled = true;
    held.expiresAt = now + extendedTerm(state.findSession(lease->holder)->ttl);
  } else if (!lease->recalled && isNew) {
    held.expiresAt = settings_.recallAfter == 0 ? 0 : now + settings_.recallAfter;
  }
}

void ExpiryTracker::observe(const State& state, const std::vector<Effect>& effects, Micros now) {
  if (!leading_) return;
  updateGracePeriod(state, now);
  for (const Effect& e : effects) {
    switch (e.kind) {
      case Effect::Kind::sessionOpened:
      case Effect::Kind::sessionRenewed:
        if (const Session* s = state.findSession(e.session))
          setSessionDeadline(e.session, now + extendedTerm(s->ttl));
        break;
      case Effect::Kind::sessionEnded:
        removeSessionDeadline(e.session);
        break;
      case Effect::Kind::leaseGranted:
      case Effect::Kind::leaseRecalled:
      case Effect::Kind::leaseFreed:
      case Effect::Kind::waitQueueChanged:
        updateLeaseDeadline(state, e.name, now);
        break;
      case Effect::Kind::valueChanged:
        break;
    }
  }
}

std::vector<Command> ExpiryTracker::dueCommands(const State& state, Micros now) {
  std::vector<Command> out;
  if (!leading_) return out;
  // After a stall all deadlines move: renewals could not be received in the meantime.
  if (const Micros late = now - nextCheckAt_; late > settings_.stallThreshold) {
    std::set<std::pair<Micros, SessionId>> extended;
    for (auto& [id, deadline] : sessionDeadlines_) extended.emplace(deadline += late, id);
    sessionsByDeadline_ = std::move(extended);
    for (auto& [name, held] : leaseDeadlines_)
      if (held.expiresAt != 0) held.expiresAt += late;
    if (gracePeriodEnd_ != 0) gracePeriodEnd_ += late;
  }
  nextCheckAt_ = now + kMaxCheckInterval;
  if (gracePeriodEnd_ != 0 && gracePeriodEnd_ <= now) {
    gracePeriodEnd_ = now + settings_.reproposeAfter;
    out.emplace_back(EndGracePeriod{gracePeriodGeneration_});
  }
  ExpireSessions expire;
  while (!sessionsByDeadline_.empty() && sessionsByDeadline_.begin()->first <= now &&
         expire.sessions.size() < settings_.maxSessionsPerEntry) {
    const SessionId id = sessionsByDeadline_.begin()->second;
    if (const Session* s = state.findSession(id)) {
      expire.sessions.emplace_back(id, s->renewed);
      setSessionDeadline(id, now + settings_.reproposeAfter);
    } else {
      removeSessionDeadline(id);
    }
  }
  if (!expire.sessions.empty()) out.emplace_back(std::move(expire));
  for (auto& [name, held] : leaseDeadlines_) {
    if (held.expiresAt == 0 || held.expiresAt > now) continue;
    held.expiresAt = now + settings_.reproposeAfter;
    if (held.recalled) {
      out.emplace_back(ExpireLease{name, held.token});
    } else {
      out.emplace_back(RecallLease{name, held.token});
    }
  }
  return out;
}

Micros ExpiryTracker::nextCheck(Micros now) const {
  Micros at = now + kMaxCheckInterval;
  if (!sessionsByDeadline_.empty()) at = std::min(at, sessionsByDeadline_.begin()->first);
  if (gracePeriodEnd_ != 0) at = std::min(at, gracePeriodEnd_);
  for (const auto& [name, held] : leaseDeadlines_)
    if (held.expiresAt != 0) at = std::min(at, held.expiresAt);
  return std::max(at, now + 1);
}

Micros ExpiryTracker::sessionDeadline(SessionId session) const {
  const auto at = sessionDeadlines_.find(session);
  return at == sessionDeadlines_.end() ? 0 : at->second;
}

}  // namespace quilltide::fleet
