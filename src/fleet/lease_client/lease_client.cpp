// Renewals, lines and terms as one member sees them.
#include "fleet/lease_client/lease_client.hpp"

#include <algorithm>

namespace quilltide::fleet {
namespace {

template <class... F>
struct Overloaded : F... {
  using F::operator()...;
};
template <class... F>
Overloaded(F...) -> Overloaded<F...>;

// The lease that a queued command gives away, if it does.
const std::string* givenAway(const Command& command) {
  if (const auto* release = std::get_if<Release>(&command)) return &release->lease;
  if (const auto* transfer = std::get_if<Transfer>(&command)) return &transfer->lease;
  return nullptr;
}

}  // namespace

LeaseClient::LeaseClient(const Settings& settings) : settings_(settings), random_(settings.seed * 2 + 1) {}

Micros LeaseClient::term() const {
  return static_cast<Micros>(static_cast<double>(settings_.ttl) * (1 - settings_.drift));
}

Micros LeaseClient::jitter(Micros most) {
  random_ ^= random_ << 13;
  random_ ^= random_ >> 7;
  random_ ^= random_ << 17;
  return most <= 0 ? 0 : static_cast<Micros>(random_ % static_cast<std::uint64_t>(most));
}

// ---- What the process wants ----

void LeaseClient::ask(const std::string& lease) {
  queue_.push_back({Acquire{0, 0, lease, true, wanted_.at(lease)}, 0});
}

void LeaseClient::want(const std::string& lease, bool turns) {
  if (closing_ || !wanted_.try_emplace(lease, turns).second) return;
  waiting_.insert(lease);
  ask(lease);
}

void LeaseClient::giveBack(const std::string& lease) {
  if (wanted_.erase(lease) == 0) return;
  const auto at = held_.find(lease);
  const Token token = at == held_.end() ? 0 : at->second.token;
  if (at != held_.end()) held_.erase(at);
  waiting_.erase(lease);
  queue_.push_back({Release{0, 0, lease, token}, 0});
}

void LeaseClient::transfer(const std::string& lease, const std::string& to) {
  const auto at = held_.find(lease);
  if (at == held_.end()) return;
  const Token token = at->second.token;
  held_.erase(at);
  wanted_.erase(lease);
  queue_.push_back({Transfer{0, 0, lease, token, to}, 0});
}

std::uint64_t LeaseClient::put(const std::string& key, const std::optional<std::string>& value,
                               std::optional<std::uint64_t> ifVersion, const std::string& fence) {
  Put p{0, 0, key, value, ifVersion, {}};
  if (!fence.empty()) {
    const auto at = held_.find(fence);
    if (at == held_.end()) return 0;
    p.fence = Fence{fence, at->second.token};
  }
  queue_.push_back({std::move(p), ++lastNumber_});
  return lastNumber_;
}

void LeaseClient::close() {
  if (closing_) return;
  closing_ = true;
  wanted_.clear();
  waiting_.clear();
  held_.clear();
  renewal_.reset();
  if (session_ != 0) queue_.push_back({CloseSession{0}, 0});
}

// ---- What it may do ----

std::optional<Token> LeaseClient::mayAct(const std::string& lease, Micros now, Micros need) const {
  const auto at = held_.find(lease);
  if (at == held_.end() || now + need >= at->second.until) return std::nullopt;
  return at->second.token;
}

void LeaseClient::lose(const std::string& lease, Micros now, bool byCoordinators) {
  const auto at = held_.find(lease);
  if (at == held_.end()) return;
  if (byCoordinators && now < at->second.until) ++violations_;
  events_.push_back({Event::Kind::lost, lease, at->second.token, 0, 0, {}});
  held_.erase(at);
  if (!wanted_.contains(lease)) return;
  waiting_.insert(lease);
  ask(lease);
}

std::vector<LeaseClient::Event> LeaseClient::take(Micros now) {
  for (auto at = held_.begin(); at != held_.end();) {
    const auto entry = at++;
    Held& held = entry->second;
    const Micros left = held.until - now;
    if (left <= 0) {
      // Not known to be over at the coordinators: said first, so that the next one need not wait for them to
      // find out.
      queue_.push_back({Release{0, 0, entry->first, held.token}, 0});
      lose(std::string(entry->first), now, false);
    } else if (!held.warned && !held.recalled &&
               left <= static_cast<Micros>(static_cast<double>(settings_.ttl) * settings_.warnAt)) {
      held.warned = true;
      events_.push_back({Event::Kind::ending, entry->first, held.token, left, 0, {}});
    }
  }
  return std::exchange(events_, {});
}

// ---- What passes between it and the coordinators ----

void LeaseClient::pauseAfterFailure(Micros now) {
  pause_ = std::clamp(pause_ * 2, settings_.retry, settings_.longestRetry);
  const Micros at = now + pause_ / 2 + jitter(pause_ / 2 + 1);
  controlAt_ = std::max(controlAt_, at);
  renewAt_ = std::max(renewAt_, at);
}

std::vector<LeaseClient::Request> LeaseClient::send(Micros now) {
  for (auto* out : {&renewal_, &control_}) {
    if (*out && now - (*out)->sent >= settings_.answer) {
      out->reset();
      pauseAfterFailure(now);
    }
  }
  std::vector<Request> requests;
  const auto goes = [&](std::optional<Out>& out, Command command) {
    out = Out{++lastTag_, now};
    requests.push_back({lastTag_, std::move(command)});
  };
  if (session_ == 0) {
    if (closing_) {
      queue_.clear();
    } else if (!control_ && now >= controlAt_) {
      if (openFirstSent_ == 0) {
        openFirstSent_ = now;
        ++opened_;
      }
      goes(control_,
           OpenSession{settings_.name, settings_.nonce + "-" + std::to_string(opened_), settings_.ttl});
    }
    return requests;
  }
  if (!renewal_ && !closing_ && now >= renewAt_) goes(renewal_, Renew{{session_}});
  if (!control_ && !queue_.empty() && now >= controlAt_) {
    Command& command = queue_.front().command;
    // Numbered when it goes out first, so that the numbers are in the order of the queue.
    std::visit(
        [&](auto& c) {
          if constexpr (requires { c.session; }) c.session = session_;
          if constexpr (requires { c.request; }) {
            if (c.request == 0) c.request = ++lastRequest_;
          }
        },
        command);
    goes(control_, command);
  }
  return requests;
}

void LeaseClient::failed(std::uint64_t tag, Micros now) {
  for (auto* out : {&renewal_, &control_}) {
    if (!*out || (*out)->tag != tag) continue;
    out->reset();
    pauseAfterFailure(now);
  }
}

void LeaseClient::hint(Micros now) { renewAt_ = std::min(renewAt_, now); }

bool LeaseClient::waits() const { return session_ != 0 && !waiting_.empty(); }

void LeaseClient::answered(std::uint64_t tag, const Result& result, Micros now) {
  if (renewal_ && renewal_->tag == tag) {
    const Micros sent = renewal_->sent;
    renewal_.reset();
    pause_ = 0;
    if (result.renewed.empty() || result.renewed.front().session != session_) return;
    renewed(result.renewed.front(), result.index, sent, now);
  } else if (control_ && control_->tag == tag) {
    const Micros sent = control_->sent;
    control_.reset();
    pause_ = 0;
    controlAnswered(result, sent, now);
  }
}

void LeaseClient::renewed(const Renewed& told, Index index, Micros sent, Micros now) {
  if (!told.alive) return loseSession(now);
  if (index <= lastRenewal_) return;
  lastRenewal_ = index;
  const Micros period = static_cast<Micros>(static_cast<double>(settings_.ttl) * settings_.renewAt);
  renewAt_ = sent + period - jitter(period / 8 + 1);
  const Micros until = sent + term();
  until_ = std::max(until_, until);
  std::set<std::string> listed;
  for (const Holding& h : told.holdings) {
    listed.insert(h.lease);
    if (!wanted_.contains(h.lease) || leaving(h.lease)) continue;
    if (const auto left = leftAt_.find(h.lease); left != leftAt_.end() && index <= left->second) continue;
    const auto at = held_.find(h.lease);
    if (at == held_.end() || at->second.token != h.token) {
      if (at != held_.end()) lose(h.lease, now, true);
      if (h.recalled) {
        // Heard of too late to be of use: its term began with the recall, or before.
        queue_.push_back({Release{0, 0, h.lease, h.token}, 0});
        continue;
      }
      gain(h.lease, h.token, index, now);
      continue;
    }
    Held& held = at->second;
    held.index = index;
    if (!h.recalled) {
      held.until = until_;
      held.warned = false;
    } else if (!held.recalled) {
      held.recalled = true;
      events_.push_back({Event::Kind::recalled, h.lease, h.token, held.until - now, 0, {}});
    }
  }
  std::vector<std::string> gone;
  for (const auto& [lease, held] : held_)
    if (!listed.contains(lease) && held.index < index) gone.push_back(lease);
  for (const std::string& lease : gone) lose(lease, now, true);
}

void LeaseClient::gain(const std::string& lease, Token token, Index index, Micros now) {
  if (until_ <= now) return;  // the next renewal tells of it again
  held_[lease] = {token, index, until_, false, false};
  waiting_.erase(lease);
  events_.push_back({Event::Kind::gained, lease, token, until_ - now, 0, {}});
}

bool LeaseClient::leaving(const std::string& lease) const {
  return std::any_of(queue_.begin(), queue_.end(), [&](const Asked& a) {
    const std::string* away = givenAway(a.command);
    return away != nullptr && *away == lease;
  });
}

void LeaseClient::controlAnswered(const Result& result, Micros sent, Micros now) {
  if (session_ == 0) {
    if (result.code != Code::ok) return pauseAfterFailure(now);
    static_cast<void>(sent);
    session_ = result.session;
    lastRequest_ = 0;
    lastRenewal_ = result.index;
    // An earlier try may be the one that opened it: its term counts from the first.
    until_ = openFirstSent_ + term();
    openFirstSent_ = 0;
    renewAt_ = now;
    events_.push_back({Event::Kind::opened, "", 0, 0, 0, {}});
    return;
  }
  if (result.code == Code::noSession) return loseSession(now);
  if (queue_.empty()) return;
  const Asked asked = std::move(queue_.front());
  queue_.pop_front();
  std::visit(
      Overloaded{[&](const Acquire& c) {
                   if (!wanted_.contains(c.lease) || leaving(c.lease)) return;
                   if (result.code == Code::ok) {
                     // A renewal that was applied later has the last word, and has had it.
                     if (result.index > lastRenewal_ && !held_.contains(c.lease)) {
                       gain(c.lease, result.token, result.index, now);
                     } else {
                       hint(now);
                     }
                   } else if (result.code != Code::waiting) {
                     ask(c.lease);  // full: again, after a pause
                     pauseAfterFailure(now);
                   }
                 },
                 [&](const Release& c) { leftAt_[c.lease] = std::max(leftAt_[c.lease], result.index); },
                 [&](const Transfer& c) {
                   if (result.code == Code::ok) {
                     leftAt_[c.lease] = std::max(leftAt_[c.lease], result.index);
                     return;
                   }
                   // It stays here: taken back, as the coordinators have it.
                   want(c.lease, true);
                 },
                 [&](const Put&) {
                   events_.push_back({Event::Kind::wrote, "", 0, 0, asked.number, result});
                 },
                 [&](const CloseSession&) { session_ = 0; }, [](const auto&) {}},
      asked.command);
}

// The coordinators have ended the session: nothing of it is left, and all that is wanted is asked for anew.
void LeaseClient::loseSession(Micros now) {
  session_ = 0;
  renewal_.reset();
  control_.reset();
  openFirstSent_ = 0;
  leftAt_.clear();
  std::vector<Asked> puts;
  for (Asked& asked : queue_)
    if (asked.number != 0) puts.push_back(std::move(asked));
  queue_.clear();
  Result gone;
  gone.code = Code::noSession;
  for (const Asked& asked : puts) events_.push_back({Event::Kind::wrote, "", 0, 0, asked.number, gone});
  std::vector<std::string> lost;
  for (const auto& [lease, held] : held_) lost.push_back(lease);
  for (const std::string& lease : lost) lose(lease, now, true);
  queue_.clear();
  for (const auto& [lease, turns] : wanted_) {
    waiting_.insert(lease);
    ask(lease);
  }
  events_.push_back({Event::Kind::sessionLost, "", 0, 0, 0, {}});
}

Micros LeaseClient::next(Micros now) const {
  Micros at = now + settings_.longestRetry;
  const auto sooner = [&](Micros when) { at = std::min(at, std::max(when, now + 1)); };
  if (!events_.empty()) return now;
  for (const auto* out : {&renewal_, &control_})
    if (*out) sooner((*out)->sent + settings_.answer);
  if (session_ == 0) {
    if (!closing_ && !control_) sooner(controlAt_);
  } else {
    if (!renewal_ && !closing_) sooner(renewAt_);
    if (!control_ && !queue_.empty()) sooner(controlAt_);
  }
  const auto warn = static_cast<Micros>(static_cast<double>(settings_.ttl) * settings_.warnAt);
  for (const auto& [lease, held] : held_) {
    sooner(held.until);
    if (!held.warned && !held.recalled) sooner(held.until - warn);
  }
  return at;
}

}  // namespace quilltide::fleet
