// Deadlines by the leading coordinator's clock.
#include "fleet/expiry/expiry.hpp"

#include <algorithm>

namespace quilltide::fleet {
namespace {

constexpr Micros kLongestPause = 100'000;  // between two looks, so that a stall shows

}  // namespace

void ExpiryTracker::set(SessionId session, Micros deadline) {
  drop(session);
  deadlines_[session] = deadline;
  order_.emplace(deadline, session);
}

void ExpiryTracker::drop(SessionId session) {
  const auto at = deadlines_.find(session);
  if (at == deadlines_.end()) return;
  order_.erase({at->second, session});
  deadlines_.erase(at);
}

void ExpiryTracker::lead(const State& state, Micros now) {
  follow();
  leads_ = true;
  asked_ = now + kLongestPause;
  for (const auto& [id, s] : state.sessions()) set(id, now + term(s.ttl));
  for (const auto& [name, l] : state.leases()) look(state, name, now);
  lookAtBar(state, now);
}

void ExpiryTracker::follow() {
  leads_ = false;
  deadlines_.clear();
  order_.clear();
  held_.clear();
  admit_ = 0;
}

void ExpiryTracker::lookAtBar(const State& state, Micros now) {
  if (!state.barred()) {
    admit_ = 0;
  } else if (admit_ == 0 || barred_ != state.generation()) {
    barred_ = state.generation();
    admit_ = now + term(state.bounds().longestTtl);
  }
}

// A lease that others wait for in turns has an end; so has one that was called back.
void ExpiryTracker::look(const State& state, const std::string& name, Micros now) {
  const Lease* lease = state.lease(name);
  if (lease == nullptr || (lease->turns.empty() && !lease->recalled)) {
    held_.erase(name);
    return;
  }
  Held& held = held_[name];
  const bool isNew = held.token != lease->token;
  if (isNew) held = {lease->token, 0, false};
  if (lease->recalled && !held.recalled) {
    held.recalled = true;
    held.ends = now + term(state.session(lease->holder)->ttl);
  } else if (!lease->recalled && isNew) {
    held.ends = settings_.mostHold == 0 ? 0 : now + settings_.mostHold;
  }
}

void ExpiryTracker::observe(const State& state, const std::vector<Effect>& effects, Micros now) {
  if (!leads_) return;
  lookAtBar(state, now);
  for (const Effect& e : effects) {
    switch (e.kind) {
      case Effect::Kind::opened:
      case Effect::Kind::renewed:
        if (const Session* s = state.session(e.session)) set(e.session, now + term(s->ttl));
        break;
      case Effect::Kind::ended:
        drop(e.session);
        break;
      case Effect::Kind::granted:
      case Effect::Kind::recalled:
      case Effect::Kind::freed:
      case Effect::Kind::lineChanged:
        look(state, e.name, now);
        break;
      case Effect::Kind::value:
        break;
    }
  }
}

std::vector<Command> ExpiryTracker::due(const State& state, Micros now) {
  std::vector<Command> out;
  if (!leads_) return out;
  // This coordinator stood still and heard nobody: what it missed is not held against them.
  if (const Micros late = now - asked_; late > settings_.stall) {
    std::set<std::pair<Micros, SessionId>> moved;
    for (auto& [id, deadline] : deadlines_) moved.emplace(deadline += late, id);
    order_ = std::move(moved);
    for (auto& [name, held] : held_)
      if (held.ends != 0) held.ends += late;
    if (admit_ != 0) admit_ += late;
  }
  asked_ = now + kLongestPause;
  if (admit_ != 0 && admit_ <= now) {
    admit_ = now + settings_.again;
    out.emplace_back(Admit{barred_});
  }
  Expire expire;
  while (!order_.empty() && order_.begin()->first <= now && expire.sessions.size() < settings_.atOnce) {
    const SessionId id = order_.begin()->second;
    if (const Session* s = state.session(id)) {
      expire.sessions.emplace_back(id, s->renewed);
      set(id, now + settings_.again);
    } else {
      drop(id);
    }
  }
  if (!expire.sessions.empty()) out.emplace_back(std::move(expire));
  for (auto& [name, held] : held_) {
    if (held.ends == 0 || held.ends > now) continue;
    held.ends = now + settings_.again;
    if (held.recalled) {
      out.emplace_back(ExpireLease{name, held.token});
    } else {
      out.emplace_back(Recall{name, held.token});
    }
  }
  return out;
}

Micros ExpiryTracker::next(Micros now) const {
  Micros at = now + kLongestPause;
  if (!order_.empty()) at = std::min(at, order_.begin()->first);
  if (admit_ != 0) at = std::min(at, admit_);
  for (const auto& [name, held] : held_)
    if (held.ends != 0) at = std::min(at, held.ends);
  return std::max(at, now + 1);
}

Micros ExpiryTracker::deadlineOf(SessionId session) const {
  const auto at = deadlines_.find(session);
  return at == deadlines_.end() ? 0 : at->second;
}

}  // namespace quilltide::fleet
