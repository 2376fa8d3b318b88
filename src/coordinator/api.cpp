// Routes and handlers of the coordinator API.
#include "coordinator/api.hpp"

#include <algorithm>
#include <charconv>

#include "clock/clock.hpp"
#include "fleet/link/json_call.hpp"
#include "fleet/wire/wire.hpp"

namespace quilltide::coordinator {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr auto kMaxLongPoll = milliseconds(60'000);
constexpr auto kWaiterExpiryInterval = milliseconds(50);
constexpr std::size_t kMaxWaiters = 50'000;
constexpr auto kCoordinatorPrefix = "coordinators/";  // values that hold HTTP addresses of added coordinators

HttpResponse errorResponse(int status, const std::string& what) { return {status, {{"error", what}}}; }

std::uint64_t queryNumber(const HttpRequest& request, const std::string& key, std::uint64_t otherwise) {
  const auto at = request.query.find(key);
  if (at == request.query.end()) return otherwise;
  std::uint64_t value = 0;
  const auto [end, bad] = std::from_chars(at->second.data(), at->second.data() + at->second.size(), value);
  if (bad != std::errc() || end != at->second.data() + at->second.size())
    throw std::runtime_error(key + " is not a whole number from 0 on");
  return value;
}

json progressToJson(const ReplicaProgress& s) {
  return {{"boot", s.boot}, {"term", s.term}, {"applied", s.applied}};
}

}  // namespace

Api::Api(boost::asio::io_context& io, const Settings& settings, Folder& folder)
    : io_(io), settings_(settings), folder_(folder), expiryAlarm_(io) {}

void Api::handle(const HttpRequest& request, ResponseCallback respond) {
  try {
    if (request.path == "/v1/peer") return peer(request, respond);
    if (request.path == "/v1/status") return respond({200, status()});
    if (!request.path.starts_with("/v1/")) return respond(errorResponse(404, "there is no " + request.path));
    if (node_ == nullptr || !node_->running())
      return respond(errorResponse(503, "this coordinator is starting"));
    // `respond` is copied, not moved, because the catch block below may still need it.
    if (request.path == "/v1/coordinators") return coordinators(request, respond);
    if (request.method == "POST") return command(request, respond);
    if (request.method == "GET") return read(request, respond);
    respond(errorResponse(405, "GET or POST"));
  } catch (const std::exception& problem) {
    respond(errorResponse(400, problem.what()));
  }
}

std::string Api::httpAddressOf(std::uint64_t id) const {
  const auto text = [](const tcp::endpoint& e) {
    return e.address().to_string() + ":" + std::to_string(e.port());
  };
  if (id == settings_.id) return text(settings_.listen);
  for (const Peer& peer : settings_.peers)
    if (peer.id == id) return text(peer.http);
  if (node_ != nullptr) {
    const auto at = node_->state().values().find(kCoordinatorPrefix + std::to_string(id));
    if (at != node_->state().values().end()) return at->second.text;
  }
  return "";
}

bool Api::isCoordinator(std::uint64_t id) const {
  if (std::any_of(settings_.peers.begin(), settings_.peers.end(), [&](const Peer& p) { return p.id == id; }))
    return true;
  if (node_ == nullptr) return false;
  const auto all = node_->coordinators();
  return std::any_of(all.begin(), all.end(), [&](const CoordinatorEntry& k) { return k.id == id; });
}

HttpResponse Api::notLeaderResponse() const {
  json body = {{"error", "not_leader"}};
  if (const auto leader = node_->leader(); leader && *leader != settings_.id)
    body["leader"] = {{"id", *leader}, {"http", httpAddressOf(*leader)}};
  return {421, body};
}

HttpResponse Api::failedProposalResponse(ProposalOutcome outcome) const {
  if (outcome == ProposalOutcome::notLeader) return notLeaderResponse();
  // The command may still be applied; the client resolves this by repeating the same request.
  return errorResponse(503, "unknown_outcome");
}

// ---- Commands ----

void Api::command(const HttpRequest& request, ResponseCallback respond) {
  json body;
  try {
    body = json::parse(request.body);
  } catch (const json::exception&) {
    return respond(errorResponse(400, "the request body is not valid JSON"));
  }
  const fleet::Command command = fleet::commandFromRequest(request.path, body);
  if (!node_->isLeader()) return respond(notLeaderResponse());
  ++commands_;
  const ProposalCallback onOutcome = [this, respond](ProposalOutcome outcome, const fleet::Result& result) {
    if (outcome == ProposalOutcome::applied) return respond({200, fleet::toJson(result)});
    respond(failedProposalResponse(outcome));
  };
  if (const auto* renew = std::get_if<fleet::RenewSessions>(&command))
    return node_->renew(renew->sessions.front(), onOutcome);
  node_->propose(command, onOutcome);
}

// ---- Reads and long polls ----

void Api::read(const HttpRequest& request, ResponseCallback respond) {
  const auto after = queryNumber(request, "after", 0);
  const auto poll = std::min<std::uint64_t>(queryNumber(request, "wait_ms", 0), kMaxLongPoll.count());
  if (request.path == "/v1/changes" || (request.path == "/v1/values" && poll > 0)) {
    if (!node_->isLeader()) return respond(notLeaderResponse());
    Waiter waiter;
    waiter.after = after;
    waiter.deadline = std::chrono::steady_clock::now() + milliseconds(poll);
    waiter.respond = std::move(respond);
    if (request.path == "/v1/changes") {
      waiter.session = queryNumber(request, "session", 0);
      if (waiter.session == 0) throw std::runtime_error("session is missing");
    } else {
      const auto prefix = request.query.find("prefix");
      waiter.prefix = prefix == request.query.end() ? "" : prefix->second;
    }
    return wait(std::move(waiter));
  }
  std::function<json()> answer;
  if (request.path == "/v1/members") answer = [this] { return members(); };
  if (request.path == "/v1/leases") answer = [this] { return leases(); };
  if (request.path == "/v1/values") {
    const auto prefix = request.query.find("prefix");
    answer = [this, p = prefix == request.query.end() ? "" : prefix->second] { return values(p); };
  }
  if (!answer) return respond(errorResponse(404, "there is no " + request.path));
  // `local` allows a possibly stale read; otherwise the read is linearizable.
  if (request.query.contains("local")) return respond({200, answer()});
  if (!node_->isLeader()) return respond(notLeaderResponse());
  node_->barrier([this, respond, answer](ProposalOutcome outcome) {
    if (outcome == ProposalOutcome::applied) return respond({200, answer()});
    // A leader that could not confirm the read may be asked again; there is no other one to look for.
    respond(node_->isLeader() ? errorResponse(503, "read_not_confirmed") : notLeaderResponse());
  });
}

void Api::wait(Waiter waiter) {
  if (respondIfChanged(waiter, false)) return;
  if (waiters_.size() >= kMaxWaiters)
    return waiter.respond(errorResponse(503, "too many pending long polls"));
  waiters_.push_back(std::move(waiter));
  if (waiters_.size() == 1) expireWaiters();
}

// Responds if there are changes, this node is not the leader, or `timedOut` is set. Returns whether it did.
bool Api::respondIfChanged(const Waiter& w, bool timedOut) {
  const fleet::State& state = node_->state();
  if (!node_->isLeader()) {
    w.respond(notLeaderResponse());
    return true;
  }
  if (w.session != 0) {
    const fleet::Session* s = state.findSession(w.session);
    if (s != nullptr && s->changed <= w.after && !timedOut) return false;
    w.respond({200, {{"alive", s != nullptr}, {"changed", s == nullptr ? 0 : s->changed}}});
    return true;
  }
  const auto removed = state.keysRemovedAfter(w.after);
  bool hasChanges = !removed || timedOut;
  if (removed)
    for (const std::string& key : *removed) hasChanges = hasChanges || key.starts_with(w.prefix);
  for (auto at = state.values().lower_bound(w.prefix);
       !hasChanges && at != state.values().end() && at->first.starts_with(w.prefix); ++at)
    hasChanges = at->second.version > w.after;
  if (!hasChanges) return false;
  w.respond({200, values(w.prefix)});
  return true;
}

void Api::onEffects(const std::vector<fleet::Effect>& effects) {
  using Kind = fleet::Effect::Kind;
  // Skips effects that no long poll waits for.
  const bool hasChanges = std::any_of(effects.begin(), effects.end(), [](const fleet::Effect& e) {
    return e.kind != Kind::sessionRenewed && e.kind != Kind::sessionOpened;
  });
  if (!hasChanges) return;
  for (auto at = waiters_.begin(); at != waiters_.end();) {
    // Responding may add a new waiter, so the iterator is advanced first.
    const auto entry = at++;
    const Waiter w = *entry;
    if (respondIfChanged(w, false)) waiters_.erase(entry);
  }
}

void Api::expireWaiters() {
  expiryAlarm_.armAfter(kWaiterExpiryInterval, [this] {
    const auto now = std::chrono::steady_clock::now();
    const bool isLeader = node_ != nullptr && node_->isLeader();
    for (auto at = waiters_.begin(); at != waiters_.end();) {
      const auto entry = at++;
      if (isLeader && entry->deadline > now) continue;
      const Waiter w = *entry;
      waiters_.erase(entry);
      respondIfChanged(w, true);
    }
    if (!waiters_.empty()) expireWaiters();
  });
}

// ---- State as JSON ----

json Api::status() const {
  json out = {
      {"fleet", settings_.fleet},
      {"id", settings_.id},
      {"running", node_ != nullptr && node_->running()},
      {"standing", progressToJson(folder_.ownProgress())},
      {"up_s", std::chrono::duration_cast<std::chrono::seconds>(std::chrono::steady_clock::now() - startedAt_)
                   .count()}};
  if (node_ == nullptr || !node_->running()) return out;
  const fleet::State& state = node_->state();
  out["leads"] = node_->isLeader();
  out["term"] = node_->term();
  out["applied"] = state.appliedIndex();
  out["generation"] = state.generation();
  out["barred"] = state.inGracePeriod();
  out["members"] = state.sessions().size();
  out["leases"] = state.leases().size();
  out["values"] = state.values().size();
  out["commands"] = commands_;
  out["waiting"] = waiters_.size();
  if (const auto leader = node_->leader())
    out["leader"] = {{"id", *leader}, {"http", httpAddressOf(*leader)}};
  json coordinators = json::array();
  for (const CoordinatorEntry& k : node_->coordinators())
    coordinators.push_back({{"id", k.id}, {"raft", k.raft}, {"role", k.role}, {"http", httpAddressOf(k.id)}});
  out["coordinators"] = std::move(coordinators);
  return out;
}

json Api::members() const {
  const fleet::Micros now = clocks::bootNow();
  json all = json::array();
  for (const auto& [id, s] : node_->state().sessions()) {
    json one = {{"session", id},        {"name", s.name},   {"term_ms", s.ttl / 1'000},
                {"renewed", s.renewed}, {"holds", s.holds}, {"waits", s.waits}};
    if (const fleet::Micros deadline = node_->expiryTracker().sessionDeadline(id); deadline != 0)
      one["ends_in_ms"] = (deadline - now) / 1'000;
    all.push_back(std::move(one));
  }
  return {{"index", node_->state().appliedIndex()}, {"members", std::move(all)}};
}

json Api::leases() const {
  const fleet::State& state = node_->state();
  const auto nameOf = [&](fleet::SessionId id) {
    const fleet::Session* s = state.findSession(id);
    return s == nullptr ? "" : s->name;
  };
  json all = json::array();
  for (const auto& [name, l] : state.leases()) {
    json line = json::array();
    for (const fleet::SessionId id : l.waitQueue) line.push_back(nameOf(id));
    all.push_back({{"lease", name},
                   {"holder", nameOf(l.holder)},
                   {"session", l.holder},
                   {"token", l.token},
                   {"since", l.since},
                   {"recalled", l.recalled},
                   {"line", std::move(line)}});
  }
  return {{"index", state.appliedIndex()}, {"leases", std::move(all)}};
}

json Api::values(const std::string& prefix) const {
  const fleet::State& state = node_->state();
  json all = json::array();
  for (auto at = state.values().lower_bound(prefix);
       at != state.values().end() && at->first.starts_with(prefix); ++at)
    all.push_back({{"key", at->first},
                   {"value", at->second.text},
                   {"version", at->second.version},
                   {"by", at->second.by}});
  return {{"index", state.appliedIndex()}, {"values", std::move(all)}};
}

// ---- Coordinator peers and membership ----

// Records the sender's progress and returns the progress known of the sender.
void Api::peer(const HttpRequest& request, const ResponseCallback& respond) {
  const json body = json::parse(request.body, nullptr, false);
  if (body.is_discarded() || !body.is_object())
    return respond(errorResponse(400, "the request body is not a JSON object"));
  const auto named = body.find("fleet");
  const std::uint64_t id = fleet::numberIn(body, "id");
  if (named == body.end() || !named->is_string() || id == 0)
    return respond(errorResponse(400, "fleet or id is missing"));
  const auto senderFleet = named->get<std::string>();
  json out = {{"fleet", settings_.fleet}, {"id", settings_.id}};
  if (senderFleet == settings_.fleet) {
    if (const ReplicaProgress* known = folder_.peerProgress(id)) out["of_you"] = progressToJson(*known);
    // Ignores progress from ids that are not coordinators, which bounds the stored records.
    if (const auto reported = body.find("standing"); reported != body.end() && isCoordinator(id))
      folder_.recordPeerProgress(id, {fleet::numberIn(*reported, "boot"), fleet::numberIn(*reported, "term"),
                                      fleet::numberIn(*reported, "applied")});
  }
  respond({200, out});
}

void Api::coordinators(const HttpRequest& request, ResponseCallback respond) {
  if (request.method == "GET") return respond({200, status()});
  if (!node_->isLeader()) return respond(notLeaderResponse());
  const json body = json::parse(request.body);
  const auto id = body.at("id").get<std::uint64_t>();
  const std::string what = body.at("do").get<std::string>();
  if (what == "remove") {
    return node_->removeCoordinator(id, [respond](const std::string& problem) {
      respond(problem.empty() ? HttpResponse{200, {{"code", "ok"}}} : errorResponse(409, problem));
    });
  }
  if (what != "add") throw std::runtime_error("do is not add or remove");
  const CoordinatorEntry entry{id, body.at("raft").get<std::string>(), ""};
  const std::string http = body.at("http").get<std::string>();
  const fleet::PutValue put{0, 0, kCoordinatorPrefix + std::to_string(id), http, {}, {}};
  node_->propose(put, [this, entry, respond](ProposalOutcome outcome, const fleet::Result&) {
    if (outcome != ProposalOutcome::applied) return respond(failedProposalResponse(outcome));
    node_->addCoordinator(entry, [respond](const std::string& problem) {
      respond(problem.empty() ? HttpResponse{200, {{"code", "ok"}}} : errorResponse(409, problem));
    });
  });
}

}  // namespace quilltide::coordinator
