// Applies commands to the replicated state.
#include "fleet/state/state.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quilltide::fleet {
namespace {

using nlohmann::json;

constexpr int kSnapshotFormatVersion = 1;
constexpr std::size_t kMaxRemovedKeys = 1'000;  // a watcher that is further behind has to read all values

bool isValidName(const std::string& text, const StateLimits& limits) {
  if (text.empty() || text.size() > limits.maxNameBytes) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

}  // namespace

// ---- Helpers ----

Result State::apply(LogIndex index, const std::string& bytes, std::vector<Effect>* effects) {
  Command command;
  try {
    command = decode(bytes);
  } catch (const std::exception& problem) {
    appliedIndex_ = index;
    return rejected(ResultCode::invalid, problem.what());
  }
  return apply(index, command, effects);
}

Result State::apply(LogIndex index, const Command& command, std::vector<Effect>* effects) {
  appliedIndex_ = index;
  Effects ignored;
  return std::visit([&](const auto& c) { return applyCommand(c, effects != nullptr ? *effects : ignored); },
                    command);
}

Result State::rejected(ResultCode code, const std::string& message) const {
  Result r;
  r.code = code;
  r.index = appliedIndex_;
  r.reason = message;
  return r;
}

// Applies a session's request at most once: a repeat gets the stored result.
template <typename Request, typename Act>
Result State::applyOnce(const Request& request, const Act& act) {
  const auto at = sessions_.find(request.session);
  if (at == sessions_.end()) return rejected(ResultCode::noSession);
  Session& s = at->second;
  if (request.request == s.lastRequestNumber && s.lastRequestNumber != 0) return s.lastResult;
  if (request.request <= s.lastRequestNumber) return rejected(ResultCode::oldRequest);
  const Result result = act(s);
  s.lastRequestNumber = request.request;
  s.lastResult = result;
  return result;
}

std::uint64_t State::nextSequenceNumber() {
  if (lastSequence_ == UINT32_MAX) {
    ++generation_;
    lastSequence_ = 0;
  }
  return static_cast<std::uint64_t>(generation_) << 32 | ++lastSequence_;
}

const Session* State::findSession(SessionId id) const {
  const auto at = sessions_.find(id);
  return at == sessions_.end() ? nullptr : &at->second;
}

const Lease* State::findLease(const std::string& name) const {
  const auto at = leases_.find(name);
  return at == leases_.end() ? nullptr : &at->second;
}

std::vector<HeldLease> State::heldLeasesOf(const Session& s) const {
  std::vector<HeldLease> out;
  for (const std::string& name : s.holds) {
    const Lease& lease = leases_.at(name);
    out.push_back({name, lease.token, lease.recalled});
  }
  return out;
}

void State::grantLease(Lease& lease, Session& to, Effects& effects) {
  lease.holder = to.id;
  lease.token = nextSequenceNumber();
  lease.since = appliedIndex_;
  lease.recalled = false;
  to.holds.insert(lease.name);
  to.waits.erase(lease.name);
  to.changed = appliedIndex_;
  effects.push_back({Effect::Kind::leaseGranted, to.id, lease.name, lease.token});
}

void State::freeLease(const std::string& name, Effects& effects) {
  Lease& lease = leases_.at(name);
  if (const auto holder = sessions_.find(lease.holder); holder != sessions_.end()) {
    holder->second.holds.erase(name);
    holder->second.changed = appliedIndex_;
  }
  effects.push_back({Effect::Kind::leaseFreed, 0, name, lease.token});
  if (lease.waitQueue.empty()) {
    leases_.erase(name);
    return;
  }
  Session& next = sessions_.at(lease.waitQueue.front());
  lease.waitQueue.pop_front();
  lease.recallRequesters.erase(next.id);
  grantLease(lease, next, effects);
}

void State::endSession(SessionId id, Effects& effects) {
  Session& s = sessions_.at(id);
  for (const std::string& name : std::set<std::string>(s.waits)) {
    Lease& lease = leases_.at(name);
    lease.waitQueue.erase(std::find(lease.waitQueue.begin(), lease.waitQueue.end(), id));
    lease.recallRequesters.erase(id);
    effects.push_back({Effect::Kind::waitQueueChanged, 0, name, 0});
  }
  s.waits.clear();
  for (const std::string& name : std::set<std::string>(s.holds)) freeLease(name, effects);
  sessionsByNonce_.erase(s.nonce);
  auto& same = sessionsByMember_.at(s.name);
  same.erase(id);
  if (same.empty()) sessionsByMember_.erase(s.name);
  sessions_.erase(id);
  effects.push_back({Effect::Kind::sessionEnded, id, "", 0});
}

// ---- Sessions ----

Result State::applyCommand(const OpenSession& c, Effects& effects) {
  if (!isValidName(c.name, limits_) || !isValidName(c.nonce, limits_))
    return rejected(ResultCode::invalid, "invalid name or nonce");
  if (c.ttl < limits_.minTtl || c.ttl > limits_.maxTtl)
    return rejected(ResultCode::invalid, "ttl out of range");
  if (inGracePeriod_)
    return rejected(ResultCode::gracePeriod, "waiting for leases from before the restore to expire");
  Result r;
  if (const auto known = sessionsByNonce_.find(c.nonce); known != sessionsByNonce_.end()) {
    const Session& s = sessions_.at(known->second);
    if (s.name != c.name || s.ttl != c.ttl)
      return rejected(ResultCode::invalid, "the nonce belongs to another session");
    r.index = s.opened;
    r.session = s.id;
    return r;
  }
  if (sessions_.size() >= limits_.maxSessions) return rejected(ResultCode::limitReached, "too many sessions");
  Session s;
  s.id = nextSequenceNumber();
  s.name = c.name;
  s.nonce = c.nonce;
  s.ttl = c.ttl;
  s.opened = s.renewed = s.changed = appliedIndex_;
  sessionsByNonce_[s.nonce] = s.id;
  sessionsByMember_[s.name].insert(s.id);
  effects.push_back({Effect::Kind::sessionOpened, s.id, s.name, 0});
  r.index = appliedIndex_;
  r.session = s.id;
  sessions_[s.id] = std::move(s);
  return r;
}

Result State::applyCommand(const RenewSessions& c, Effects& effects) {
  Result r;
  r.index = appliedIndex_;
  for (const SessionId id : c.sessions) {
    const auto at = sessions_.find(id);
    if (at == sessions_.end()) {
      r.renewals.push_back({id, false, {}});
      continue;
    }
    at->second.renewed = appliedIndex_;
    effects.push_back({Effect::Kind::sessionRenewed, id, "", 0});
    r.renewals.push_back({id, true, heldLeasesOf(at->second)});
  }
  return r;
}

Result State::applyCommand(const CloseSession& c, Effects& effects) {
  Result r;
  r.index = appliedIndex_;
  if (sessions_.contains(c.session)) endSession(c.session, effects);  // otherwise it has already ended
  return r;
}

Result State::applyCommand(const ExpireSessions& c, Effects& effects) {
  Result r;
  r.index = appliedIndex_;
  for (const auto& [id, renewed] : c.sessions) {
    const Session* s = findSession(id);
    if (s != nullptr && s->renewed == renewed) endSession(id, effects);
  }
  return r;
}

// ---- Leases ----

Result State::applyCommand(const AcquireLease& c, Effects& effects) {
  return applyOnce(c, [&](Session& s) {
    if (!isValidName(c.lease, limits_)) return rejected(ResultCode::invalid, "invalid lease name");
    Result r;
    r.index = appliedIndex_;
    auto at = leases_.find(c.lease);
    if (at != leases_.end()) {
      Lease& lease = at->second;
      if (lease.holder == s.id) {
        // The lease expires one term after the recall, so this must not count as a new grant.
        if (lease.recalled) return rejected(ResultCode::busy, "the lease is recalled");
        r.token = lease.token;
        return r;
      }
      const auto place = std::find(lease.waitQueue.begin(), lease.waitQueue.end(), s.id);
      if (place == lease.waitQueue.end()) {
        if (!c.wait) return rejected(ResultCode::busy);
        if (lease.waitQueue.size() >= limits_.maxWaitQueue)
          return rejected(ResultCode::limitReached, "the wait queue is full");
        if (s.holds.size() + s.waits.size() >= limits_.maxLeasesPerSession)
          return rejected(ResultCode::limitReached, "leases of one session");
        lease.waitQueue.push_back(s.id);
        if (c.recallHolder) lease.recallRequesters.insert(s.id);
        s.waits.insert(c.lease);
        s.changed = appliedIndex_;
        effects.push_back({Effect::Kind::waitQueueChanged, 0, c.lease, 0});
        r.queuePosition = lease.waitQueue.size();
      } else {
        r.queuePosition = static_cast<std::size_t>(place - lease.waitQueue.begin()) + 1;
      }
      r.code = ResultCode::waiting;
      return r;
    }
    if (leases_.size() >= limits_.maxLeases) return rejected(ResultCode::limitReached, "too many leases");
    if (s.holds.size() + s.waits.size() >= limits_.maxLeasesPerSession)
      return rejected(ResultCode::limitReached, "leases of one session");
    Lease& lease = leases_[c.lease];
    lease.name = c.lease;
    grantLease(lease, s, effects);
    r.token = lease.token;
    return r;
  });
}

Result State::applyCommand(const ReleaseLease& c, Effects& effects) {
  return applyOnce(c, [&](Session& s) {
    Result r;
    r.index = appliedIndex_;
    const auto at = leases_.find(c.lease);
    if (at == leases_.end()) return rejected(ResultCode::notHolder);
    Lease& lease = at->second;
    if (const auto place = std::find(lease.waitQueue.begin(), lease.waitQueue.end(), s.id);
        place != lease.waitQueue.end()) {
      lease.waitQueue.erase(place);
      lease.recallRequesters.erase(s.id);
      s.waits.erase(c.lease);
      s.changed = appliedIndex_;
      effects.push_back({Effect::Kind::waitQueueChanged, 0, c.lease, 0});
      return r;
    }
    if (lease.holder != s.id || (c.token != 0 && c.token != lease.token))
      return rejected(ResultCode::notHolder);
    freeLease(c.lease, effects);
    return r;
  });
}

Result State::applyCommand(const TransferLease& c, Effects& effects) {
  return applyOnce(c, [&](Session& s) {
    const auto at = leases_.find(c.lease);
    if (at == leases_.end() || at->second.holder != s.id || at->second.token != c.token)
      return rejected(ResultCode::notHolder);
    const auto named = sessionsByMember_.find(c.to);
    if (named == sessionsByMember_.end()) return rejected(ResultCode::noMember);
    Session& to = sessions_.at(*named->second.rbegin());
    if (to.id == s.id) return rejected(ResultCode::invalid, "a session cannot transfer a lease to itself");
    if (!to.waits.contains(c.lease) && to.holds.size() + to.waits.size() >= limits_.maxLeasesPerSession)
      return rejected(ResultCode::limitReached, "leases of one session");
    Lease& lease = at->second;
    if (const auto place = std::find(lease.waitQueue.begin(), lease.waitQueue.end(), to.id);
        place != lease.waitQueue.end())
      lease.waitQueue.erase(place);
    lease.waitQueue.push_front(to.id);
    to.waits.insert(c.lease);
    freeLease(c.lease, effects);
    Result r;
    r.index = appliedIndex_;
    return r;
  });
}

Result State::applyCommand(const RecallLease& c, Effects& effects) {
  const auto at = leases_.find(c.lease);
  if (at == leases_.end() || at->second.token != c.token) return rejected(ResultCode::notHolder);
  Result r;
  r.index = appliedIndex_;
  if (at->second.recalled) return r;
  at->second.recalled = true;
  sessions_.at(at->second.holder).changed = appliedIndex_;
  effects.push_back({Effect::Kind::leaseRecalled, at->second.holder, c.lease, c.token});
  return r;
}

Result State::applyCommand(const ExpireLease& c, Effects& effects) {
  const auto at = leases_.find(c.lease);
  if (at == leases_.end() || at->second.token != c.token || !at->second.recalled)
    return rejected(ResultCode::notHolder);
  freeLease(c.lease, effects);
  Result r;
  r.index = appliedIndex_;
  return r;
}

Result State::applyCommand(const RaiseGeneration& c, Effects& effects) {
  while (!sessions_.empty()) endSession(sessions_.begin()->first, effects);
  generation_ = std::max(generation_ + 1, c.generation);
  lastSequence_ = 0;
  inGracePeriod_ = true;
  Result r;
  r.index = appliedIndex_;
  return r;
}

Result State::applyCommand(const EndGracePeriod& c, Effects&) {
  if (c.generation != generation_) return rejected(ResultCode::conflict, "generation does not match");
  inGracePeriod_ = false;
  Result r;
  r.index = appliedIndex_;
  return r;
}

// ---- Values ----

Result State::applyCommand(const PutValue& c, Effects& effects) {
  const auto put = [&](const std::string& by) {
    if (!isValidName(c.key, limits_)) return rejected(ResultCode::invalid, "invalid key");
    if (c.value && c.value->size() > limits_.maxValueBytes)
      return rejected(ResultCode::invalid, "value too long");
    const auto at = values_.find(c.key);
    const LogIndex version = at == values_.end() ? 0 : at->second.version;
    Result r;
    r.index = appliedIndex_;
    r.version = version;
    if (c.fence) {
      const Lease* l = findLease(c.fence->lease);
      const bool owns =
          l != nullptr && l->token == c.fence->token && (c.session == 0 || l->holder == c.session);
      if (!owns) {
        r.code = ResultCode::staleFence;
        return r;
      }
    }
    if (c.expectedVersion && *c.expectedVersion != version) {
      r.code = ResultCode::conflict;
      return r;
    }
    const std::size_t before = at == values_.end() ? 0 : at->second.text.size();
    if (!c.value) {
      if (at == values_.end()) return r;
      valueBytes_ -= before;
      values_.erase(at);
      removedKeys_.emplace_back(appliedIndex_, c.key);
      if (removedKeys_.size() > kMaxRemovedKeys) {
        removalsCompleteAfter_ = removedKeys_.front().first;
        removedKeys_.pop_front();
      }
      r.version = 0;
    } else {
      if (at == values_.end() && values_.size() >= limits_.maxValues)
        return rejected(ResultCode::limitReached, "too many values");
      if (valueBytes_ - before + c.value->size() > limits_.maxTotalValueBytes)
        return rejected(ResultCode::limitReached, "total size of values exceeds its limit");
      valueBytes_ += c.value->size() - before;
      values_[c.key] = {*c.value, appliedIndex_, by};
      r.version = appliedIndex_;
    }
    effects.push_back({Effect::Kind::valueChanged, c.session, c.key, 0});
    return r;
  };
  if (c.session == 0) return put("");
  return applyOnce(c, [&](Session& s) { return put(s.name); });
}

std::optional<std::vector<std::string>> State::keysRemovedAfter(LogIndex index) const {
  if (index < removalsCompleteAfter_) return std::nullopt;
  std::vector<std::string> out;
  for (const auto& [at, key] : removedKeys_)
    if (at > index) out.push_back(key);
  return out;
}

// ---- Snapshots ----

namespace {

json resultToArray(const Result& r) {
  return json::array(
      {static_cast<int>(r.code), r.index, r.session, r.token, r.queuePosition, r.version, r.reason});
}
Result resultFromArray(const json& j) {
  Result r;
  r.code = static_cast<ResultCode>(j.at(0).get<int>());
  r.index = j.at(1).get<LogIndex>();
  r.session = j.at(2).get<SessionId>();
  r.token = j.at(3).get<FencingToken>();
  r.queuePosition = j.at(4).get<std::size_t>();
  r.version = j.at(5).get<std::uint64_t>();
  r.reason = j.at(6).get<std::string>();
  return r;
}

}  // namespace

std::string State::snapshot() const {
  json sessions = json::array(), leases = json::array(), values = json::array(), removed = json::array();
  for (const auto& [id, s] : sessions_)
    sessions.push_back(json::array({id, s.name, s.nonce, s.ttl, s.opened, s.renewed, s.changed,
                                    s.lastRequestNumber, resultToArray(s.lastResult)}));
  for (const auto& [name, l] : leases_)
    leases.push_back(
        json::array({name, l.holder, l.token, l.since, l.recalled, l.waitQueue, l.recallRequesters}));
  for (const auto& [key, v] : values_) values.push_back(json::array({key, v.text, v.version, v.by}));
  for (const auto& [index, key] : removedKeys_) removed.push_back(json::array({index, key}));
  std::string out;
  json::to_cbor(json::array({kSnapshotFormatVersion, appliedIndex_, generation_, lastSequence_,
                             inGracePeriod_, sessions, leases, values, removed, removalsCompleteAfter_}),
                out);
  return out;
}

void State::restore(const std::string& bytes) {
  const json all = json::from_cbor(bytes);
  if (all.at(0).get<int>() != kSnapshotFormatVersion)
    throw std::runtime_error("unsupported snapshot format version");
  State next(limits_);
  next.appliedIndex_ = all.at(1).get<LogIndex>();
  next.generation_ = all.at(2).get<std::uint32_t>();
  next.lastSequence_ = all.at(3).get<std::uint32_t>();
  next.inGracePeriod_ = all.at(4).get<bool>();
  for (const json& j : all.at(5)) {
    Session s;
    s.id = j.at(0).get<SessionId>();
    s.name = j.at(1).get<std::string>();
    s.nonce = j.at(2).get<std::string>();
    s.ttl = j.at(3).get<Micros>();
    s.opened = j.at(4).get<LogIndex>();
    s.renewed = j.at(5).get<LogIndex>();
    s.changed = j.at(6).get<LogIndex>();
    s.lastRequestNumber = j.at(7).get<std::uint64_t>();
    s.lastResult = resultFromArray(j.at(8));
    next.sessionsByNonce_[s.nonce] = s.id;
    next.sessionsByMember_[s.name].insert(s.id);
    next.sessions_[s.id] = std::move(s);
  }
  for (const json& j : all.at(6)) {
    Lease l;
    l.name = j.at(0).get<std::string>();
    l.holder = j.at(1).get<SessionId>();
    l.token = j.at(2).get<FencingToken>();
    l.since = j.at(3).get<LogIndex>();
    l.recalled = j.at(4).get<bool>();
    l.waitQueue = j.at(5).get<std::deque<SessionId>>();
    l.recallRequesters = j.at(6).get<std::set<SessionId>>();
    next.sessions_.at(l.holder).holds.insert(l.name);
    for (const SessionId id : l.waitQueue) next.sessions_.at(id).waits.insert(l.name);
    next.leases_[l.name] = std::move(l);
  }
  for (const json& j : all.at(7)) {
    Value v{j.at(1).get<std::string>(), j.at(2).get<LogIndex>(), j.at(3).get<std::string>()};
    next.valueBytes_ += v.text.size();
    next.values_[j.at(0).get<std::string>()] = std::move(v);
  }
  for (const json& j : all.at(8))
    next.removedKeys_.emplace_back(j.at(0).get<LogIndex>(), j.at(1).get<std::string>());
  next.removalsCompleteAfter_ = all.at(9).get<LogIndex>();
  if (const auto violation = next.violatedInvariant())
    throw std::runtime_error("inconsistent snapshot: " + *violation);
  *this = std::move(next);
}

std::optional<std::string> State::violatedInvariant() const {
  std::set<FencingToken> tokens;
  const std::uint64_t last = static_cast<std::uint64_t>(generation_) << 32 | lastSequence_;
  for (const auto& [name, l] : leases_) {
    const Session* holder = findSession(l.holder);
    if (holder == nullptr || !holder->holds.contains(name)) return "lease " + name + " has no holder";
    if (!tokens.insert(l.token).second) return "two leases have the same token";
    if (l.token > last) return "lease " + name + " has a token that was never issued";
    std::set<SessionId> line(l.waitQueue.begin(), l.waitQueue.end());
    if (line.size() != l.waitQueue.size()) return "a session is queued twice for " + name;
    if (line.contains(l.holder)) return "the holder of " + name + " is in its wait queue";
    for (const SessionId id : l.recallRequesters)
      if (!line.contains(id)) return "a session that recalls the holder of " + name + " does not wait for it";
    for (const SessionId id : line) {
      const Session* s = findSession(id);
      if (s == nullptr || !s->waits.contains(name))
        return "a session in the wait queue does not wait for " + name;
    }
  }
  for (const auto& [id, s] : sessions_) {
    if (id > last) return "a session has an id that was never issued";
    for (const std::string& name : s.holds)
      if (findLease(name) == nullptr || findLease(name)->holder != id)
        return "a session lists a lease that it does not hold: " + name;
    for (const std::string& name : s.waits) {
      const Lease* l = findLease(name);
      if (l == nullptr || std::find(l->waitQueue.begin(), l->waitQueue.end(), id) == l->waitQueue.end())
        return "a session waits but is not in the wait queue of " + name;
    }
    const auto nonce = sessionsByNonce_.find(s.nonce);
    if (nonce == sessionsByNonce_.end() || nonce->second != id) return "a nonce maps to another session";
  }
  return std::nullopt;
}

}  // namespace quilltide::fleet
