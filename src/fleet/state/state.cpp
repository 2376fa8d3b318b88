// What each command does to the state.
#include "fleet/state/state.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quilltide::fleet {
namespace {

using nlohmann::json;

constexpr int kSnapshotForm = 1;
constexpr std::size_t kRemovalsKept = 1'000;  // a watcher that is further behind looks at everything once

bool isName(const std::string& text, const Bounds& bounds) {
  if (text.empty() || text.size() > bounds.name) return false;
  return std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > 0x20 && c < 0x7f; });
}

}  // namespace

// ---- The common ways ----

Result State::apply(Index index, const std::string& bytes, std::vector<Effect>* effects) {
  Command command;
  try {
    command = decode(bytes);
  } catch (const std::exception& problem) {
    applied_ = index;
    return refused(Code::bad, problem.what());
  }
  return apply(index, command, effects);
}

Result State::apply(Index index, const Command& command, std::vector<Effect>* effects) {
  applied_ = index;
  Effects ignored;
  return std::visit([&](const auto& c) { return on(c, effects != nullptr ? *effects : ignored); }, command);
}

Result State::refused(Code code, const std::string& why) const {
  Result r;
  r.code = code;
  r.index = applied_;
  r.why = why;
  return r;
}

// A session's request has one effect, however often it comes.
template <typename Request, typename Act>
Result State::once(const Request& request, const Act& act) {
  const auto at = sessions_.find(request.session);
  if (at == sessions_.end()) return refused(Code::noSession);
  Session& s = at->second;
  if (request.request == s.lastRequest && s.lastRequest != 0) return s.lastResult;
  if (request.request <= s.lastRequest) return refused(Code::oldRequest);
  const Result result = act(s);
  s.lastRequest = request.request;
  s.lastResult = result;
  return result;
}

std::uint64_t State::draw() {
  if (count_ == UINT32_MAX) {
    ++generation_;
    count_ = 0;
  }
  return static_cast<std::uint64_t>(generation_) << 32 | ++count_;
}

const Session* State::session(SessionId id) const {
  const auto at = sessions_.find(id);
  return at == sessions_.end() ? nullptr : &at->second;
}

const Lease* State::lease(const std::string& name) const {
  const auto at = leases_.find(name);
  return at == leases_.end() ? nullptr : &at->second;
}

std::vector<Holding> State::holdingsOf(const Session& s) const {
  std::vector<Holding> out;
  for (const std::string& name : s.holds) {
    const Lease& lease = leases_.at(name);
    out.push_back({name, lease.token, lease.recalled});
  }
  return out;
}

void State::grant(Lease& lease, Session& to, Effects& effects) {
  lease.holder = to.id;
  lease.token = draw();
  lease.since = applied_;
  lease.recalled = false;
  to.holds.insert(lease.name);
  to.waits.erase(lease.name);
  to.changed = applied_;
  effects.push_back({Effect::Kind::granted, to.id, lease.name, lease.token});
}

void State::free(const std::string& name, Effects& effects) {
  Lease& lease = leases_.at(name);
  if (const auto holder = sessions_.find(lease.holder); holder != sessions_.end()) {
    holder->second.holds.erase(name);
    holder->second.changed = applied_;
  }
  effects.push_back({Effect::Kind::freed, 0, name, lease.token});
  if (lease.line.empty()) {
    leases_.erase(name);
    return;
  }
  Session& next = sessions_.at(lease.line.front());
  lease.line.pop_front();
  lease.turns.erase(next.id);
  grant(lease, next, effects);
}

void State::end(SessionId id, Effects& effects) {
  Session& s = sessions_.at(id);
  for (const std::string& name : std::set<std::string>(s.waits)) {
    Lease& lease = leases_.at(name);
    lease.line.erase(std::find(lease.line.begin(), lease.line.end(), id));
    lease.turns.erase(id);
    effects.push_back({Effect::Kind::lineChanged, 0, name, 0});
  }
  s.waits.clear();
  for (const std::string& name : std::set<std::string>(s.holds)) free(name, effects);
  byNonce_.erase(s.nonce);
  auto& same = byName_.at(s.name);
  same.erase(id);
  if (same.empty()) byName_.erase(s.name);
  sessions_.erase(id);
  effects.push_back({Effect::Kind::ended, id, "", 0});
}

// ---- Sessions ----

Result State::on(const OpenSession& c, Effects& effects) {
  if (!isName(c.name, bounds_) || !isName(c.nonce, bounds_)) return refused(Code::bad, "name or nonce");
  if (c.ttl < bounds_.shortestTtl || c.ttl > bounds_.longestTtl) return refused(Code::bad, "ttl");
  if (barred_) return refused(Code::barred, "terms from before the restore are waited out");
  Result r;
  if (const auto known = byNonce_.find(c.nonce); known != byNonce_.end()) {
    const Session& s = sessions_.at(known->second);
    if (s.name != c.name || s.ttl != c.ttl) return refused(Code::bad, "the nonce is another session's");
    r.index = s.opened;
    r.session = s.id;
    return r;
  }
  if (sessions_.size() >= bounds_.sessions) return refused(Code::full, "sessions");
  Session s;
  s.id = draw();
  s.name = c.name;
  s.nonce = c.nonce;
  s.ttl = c.ttl;
  s.opened = s.renewed = s.changed = applied_;
  byNonce_[s.nonce] = s.id;
  byName_[s.name].insert(s.id);
  effects.push_back({Effect::Kind::opened, s.id, s.name, 0});
  r.index = applied_;
  r.session = s.id;
  sessions_[s.id] = std::move(s);
  return r;
}

Result State::on(const Renew& c, Effects& effects) {
  Result r;
  r.index = applied_;
  for (const SessionId id : c.sessions) {
    const auto at = sessions_.find(id);
    if (at == sessions_.end()) {
      r.renewed.push_back({id, false, {}});
      continue;
    }
    at->second.renewed = applied_;
    effects.push_back({Effect::Kind::renewed, id, "", 0});
    r.renewed.push_back({id, true, holdingsOf(at->second)});
  }
  return r;
}

Result State::on(const CloseSession& c, Effects& effects) {
  Result r;
  r.index = applied_;
  if (sessions_.contains(c.session)) end(c.session, effects);  // else it is over already, as was asked for
  return r;
}

Result State::on(const Expire& c, Effects& effects) {
  Result r;
  r.index = applied_;
  for (const auto& [id, renewed] : c.sessions) {
    const Session* s = session(id);
    if (s != nullptr && s->renewed == renewed) end(id, effects);
  }
  return r;
}

// ---- Leases ----

Result State::on(const Acquire& c, Effects& effects) {
  return once(c, [&](Session& s) {
    if (!isName(c.lease, bounds_)) return refused(Code::bad, "lease");
    Result r;
    r.index = applied_;
    auto at = leases_.find(c.lease);
    if (at != leases_.end()) {
      Lease& lease = at->second;
      if (lease.holder == s.id) {
        // Its end counts from the recall: nobody may take it for a grant from now on.
        if (lease.recalled) return refused(Code::busy, "it was called back");
        r.token = lease.token;
        return r;
      }
      const auto place = std::find(lease.line.begin(), lease.line.end(), s.id);
      if (place == lease.line.end()) {
        if (!c.wait) return refused(Code::busy);
        if (lease.line.size() >= bounds_.line) return refused(Code::full, "the line");
        if (s.holds.size() + s.waits.size() >= bounds_.leasesOfSession)
          return refused(Code::full, "leases of one session");
        lease.line.push_back(s.id);
        if (c.turns) lease.turns.insert(s.id);
        s.waits.insert(c.lease);
        s.changed = applied_;
        effects.push_back({Effect::Kind::lineChanged, 0, c.lease, 0});
        r.place = lease.line.size();
      } else {
        r.place = static_cast<std::size_t>(place - lease.line.begin()) + 1;
      }
      r.code = Code::waiting;
      return r;
    }
    if (leases_.size() >= bounds_.leases) return refused(Code::full, "leases");
    if (s.holds.size() + s.waits.size() >= bounds_.leasesOfSession)
      return refused(Code::full, "leases of one session");
    Lease& lease = leases_[c.lease];
    lease.name = c.lease;
    grant(lease, s, effects);
    r.token = lease.token;
    return r;
  });
}

Result State::on(const Release& c, Effects& effects) {
  return once(c, [&](Session& s) {
    Result r;
    r.index = applied_;
    const auto at = leases_.find(c.lease);
    if (at == leases_.end()) return refused(Code::notHolder);
    Lease& lease = at->second;
    if (const auto place = std::find(lease.line.begin(), lease.line.end(), s.id); place != lease.line.end()) {
      lease.line.erase(place);
      lease.turns.erase(s.id);
      s.waits.erase(c.lease);
      s.changed = applied_;
      effects.push_back({Effect::Kind::lineChanged, 0, c.lease, 0});
      return r;
    }
    if (lease.holder != s.id || (c.token != 0 && c.token != lease.token)) return refused(Code::notHolder);
    free(c.lease, effects);
    return r;
  });
}

Result State::on(const Transfer& c, Effects& effects) {
  return once(c, [&](Session& s) {
    const auto at = leases_.find(c.lease);
    if (at == leases_.end() || at->second.holder != s.id || at->second.token != c.token)
      return refused(Code::notHolder);
    const auto named = byName_.find(c.to);
    if (named == byName_.end()) return refused(Code::noMember);
    Session& to = sessions_.at(*named->second.rbegin());
    if (to.id == s.id) return refused(Code::bad, "to itself");
    if (!to.waits.contains(c.lease) && to.holds.size() + to.waits.size() >= bounds_.leasesOfSession)
      return refused(Code::full, "leases of one session");
    Lease& lease = at->second;
    if (const auto place = std::find(lease.line.begin(), lease.line.end(), to.id); place != lease.line.end())
      lease.line.erase(place);
    lease.line.push_front(to.id);
    to.waits.insert(c.lease);
    free(c.lease, effects);
    Result r;
    r.index = applied_;
    return r;
  });
}

Result State::on(const Recall& c, Effects& effects) {
  const auto at = leases_.find(c.lease);
  if (at == leases_.end() || at->second.token != c.token) return refused(Code::notHolder);
  Result r;
  r.index = applied_;
  if (at->second.recalled) return r;
  at->second.recalled = true;
  sessions_.at(at->second.holder).changed = applied_;
  effects.push_back({Effect::Kind::recalled, at->second.holder, c.lease, c.token});
  return r;
}

Result State::on(const ExpireLease& c, Effects& effects) {
  const auto at = leases_.find(c.lease);
  if (at == leases_.end() || at->second.token != c.token || !at->second.recalled)
    return refused(Code::notHolder);
  free(c.lease, effects);
  Result r;
  r.index = applied_;
  return r;
}

Result State::on(const Raise& c, Effects& effects) {
  while (!sessions_.empty()) end(sessions_.begin()->first, effects);
  generation_ = std::max(generation_ + 1, c.generation);
  count_ = 0;
  barred_ = true;
  Result r;
  r.index = applied_;
  return r;
}

Result State::on(const Admit& c, Effects&) {
  if (c.generation != generation_) return refused(Code::conflict, "another generation");
  barred_ = false;
  Result r;
  r.index = applied_;
  return r;
}

// ---- Values ----

Result State::on(const Put& c, Effects& effects) {
  const auto put = [&](const std::string& by) {
    if (!isName(c.key, bounds_)) return refused(Code::bad, "key");
    if (c.value && c.value->size() > bounds_.value) return refused(Code::bad, "the value is too long");
    const auto at = values_.find(c.key);
    const Index version = at == values_.end() ? 0 : at->second.version;
    Result r;
    r.index = applied_;
    r.version = version;
    if (c.fence) {
      const Lease* l = lease(c.fence->lease);
      const bool owns =
          l != nullptr && l->token == c.fence->token && (c.session == 0 || l->holder == c.session);
      if (!owns) {
        r.code = Code::staleFence;
        return r;
      }
    }
    if (c.ifVersion && *c.ifVersion != version) {
      r.code = Code::conflict;
      return r;
    }
    const std::size_t before = at == values_.end() ? 0 : at->second.text.size();
    if (!c.value) {
      if (at == values_.end()) return r;
      valueBytes_ -= before;
      values_.erase(at);
      removed_.emplace_back(applied_, c.key);
      if (removed_.size() > kRemovalsKept) {
        removedKnownFrom_ = removed_.front().first;
        removed_.pop_front();
      }
      r.version = 0;
    } else {
      if (at == values_.end() && values_.size() >= bounds_.values) return refused(Code::full, "values");
      if (valueBytes_ - before + c.value->size() > bounds_.allValues)
        return refused(Code::full, "bytes of all values");
      valueBytes_ += c.value->size() - before;
      values_[c.key] = {*c.value, applied_, by};
      r.version = applied_;
    }
    effects.push_back({Effect::Kind::value, c.session, c.key, 0});
    return r;
  };
  if (c.session == 0) return put("");
  return once(c, [&](Session& s) { return put(s.name); });
}

std::optional<std::vector<std::string>> State::removedAfter(Index index) const {
  if (index < removedKnownFrom_) return std::nullopt;
  std::vector<std::string> out;
  for (const auto& [at, key] : removed_)
    if (at > index) out.push_back(key);
  return out;
}

// ---- Snapshots ----

namespace {

json packed(const Result& r) {
  return json::array({static_cast<int>(r.code), r.index, r.session, r.token, r.place, r.version, r.why});
}
Result resultOf(const json& j) {
  Result r;
  r.code = static_cast<Code>(j.at(0).get<int>());
  r.index = j.at(1).get<Index>();
  r.session = j.at(2).get<SessionId>();
  r.token = j.at(3).get<Token>();
  r.place = j.at(4).get<std::size_t>();
  r.version = j.at(5).get<std::uint64_t>();
  r.why = j.at(6).get<std::string>();
  return r;
}

}  // namespace

std::string State::snapshot() const {
  json sessions = json::array(), leases = json::array(), values = json::array(), removed = json::array();
  for (const auto& [id, s] : sessions_)
    sessions.push_back(json::array(
        {id, s.name, s.nonce, s.ttl, s.opened, s.renewed, s.changed, s.lastRequest, packed(s.lastResult)}));
  for (const auto& [name, l] : leases_)
    leases.push_back(json::array({name, l.holder, l.token, l.since, l.recalled, l.line, l.turns}));
  for (const auto& [key, v] : values_) values.push_back(json::array({key, v.text, v.version, v.by}));
  for (const auto& [index, key] : removed_) removed.push_back(json::array({index, key}));
  std::string out;
  json::to_cbor(json::array({kSnapshotForm, applied_, generation_, count_, barred_, sessions, leases, values,
                             removed, removedKnownFrom_}),
                out);
  return out;
}

void State::restore(const std::string& bytes) {
  const json all = json::from_cbor(bytes);
  if (all.at(0).get<int>() != kSnapshotForm) throw std::runtime_error("a snapshot of another form");
  State next(bounds_);
  next.applied_ = all.at(1).get<Index>();
  next.generation_ = all.at(2).get<std::uint32_t>();
  next.count_ = all.at(3).get<std::uint32_t>();
  next.barred_ = all.at(4).get<bool>();
  for (const json& j : all.at(5)) {
    Session s;
    s.id = j.at(0).get<SessionId>();
    s.name = j.at(1).get<std::string>();
    s.nonce = j.at(2).get<std::string>();
    s.ttl = j.at(3).get<Micros>();
    s.opened = j.at(4).get<Index>();
    s.renewed = j.at(5).get<Index>();
    s.changed = j.at(6).get<Index>();
    s.lastRequest = j.at(7).get<std::uint64_t>();
    s.lastResult = resultOf(j.at(8));
    next.byNonce_[s.nonce] = s.id;
    next.byName_[s.name].insert(s.id);
    next.sessions_[s.id] = std::move(s);
  }
  for (const json& j : all.at(6)) {
    Lease l;
    l.name = j.at(0).get<std::string>();
    l.holder = j.at(1).get<SessionId>();
    l.token = j.at(2).get<Token>();
    l.since = j.at(3).get<Index>();
    l.recalled = j.at(4).get<bool>();
    l.line = j.at(5).get<std::deque<SessionId>>();
    l.turns = j.at(6).get<std::set<SessionId>>();
    next.sessions_.at(l.holder).holds.insert(l.name);
    for (const SessionId id : l.line) next.sessions_.at(id).waits.insert(l.name);
    next.leases_[l.name] = std::move(l);
  }
  for (const json& j : all.at(7)) {
    Value v{j.at(1).get<std::string>(), j.at(2).get<Index>(), j.at(3).get<std::string>()};
    next.valueBytes_ += v.text.size();
    next.values_[j.at(0).get<std::string>()] = std::move(v);
  }
  for (const json& j : all.at(8))
    next.removed_.emplace_back(j.at(0).get<Index>(), j.at(1).get<std::string>());
  next.removedKnownFrom_ = all.at(9).get<Index>();
  if (const auto what = next.broken())
    throw std::runtime_error("a snapshot that contradicts itself: " + *what);
  *this = std::move(next);
}

std::optional<std::string> State::broken() const {
  std::set<Token> tokens;
  const std::uint64_t last = static_cast<std::uint64_t>(generation_) << 32 | count_;
  for (const auto& [name, l] : leases_) {
    const Session* holder = session(l.holder);
    if (holder == nullptr || !holder->holds.contains(name)) return "lease " + name + " has no holder";
    if (!tokens.insert(l.token).second) return "two leases have one token";
    if (l.token > last) return "lease " + name + " has a token that was never drawn";
    std::set<SessionId> line(l.line.begin(), l.line.end());
    if (line.size() != l.line.size()) return "somebody stands twice in the line for " + name;
    if (line.contains(l.holder)) return "the holder of " + name + " stands in its line";
    for (const SessionId id : l.turns)
      if (!line.contains(id)) return "somebody takes turns for " + name + " and does not wait";
    for (const SessionId id : line) {
      const Session* s = session(id);
      if (s == nullptr || !s->waits.contains(name)) return "somebody unknown stands in the line for " + name;
    }
  }
  for (const auto& [id, s] : sessions_) {
    if (id > last) return "a session has an id that was never drawn";
    for (const std::string& name : s.holds)
      if (lease(name) == nullptr || lease(name)->holder != id)
        return "session holds what is not its own: " + name;
    for (const std::string& name : s.waits) {
      const Lease* l = lease(name);
      if (l == nullptr || std::find(l->line.begin(), l->line.end(), id) == l->line.end())
        return "a session waits where it does not stand in line: " + name;
    }
    const auto nonce = byNonce_.find(s.nonce);
    if (nonce == byNonce_.end() || nonce->second != id) return "a nonce leads elsewhere";
  }
  return std::nullopt;
}

}  // namespace quilltide::fleet
