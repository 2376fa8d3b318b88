// A coordinator that stands alone: sessions with a term, leases in order of request with tokens that grow,
// values. It never stops and loses nothing.
#pragma once

#include "stand_ins_2/kit.hpp"

namespace kit {

class Coordinator {
 public:
  explicit Coordinator(Record& record)
      : record_(record), server_([this](Connection& connection) { serve(connection); }) {
    expiry_ = std::thread([this] {
      for (; !stopping_; sleepMs(20)) expire();
    });
  }
  ~Coordinator() {
    stopping_ = true;
    expiry_.join();
    server_.stop();
  }
  int port() const { return server_.port(); }
  std::string holder(const std::string& lease) {
    const std::lock_guard<std::mutex> lock(mutex_);
    const auto at = leases_.find(lease);
    return at == leases_.end() ? "" : sessions_.at(at->second.holder).name;
  }

 private:
  struct Session {
    std::string name, nonce;
    std::int64_t ttlMs = 0, renewedAt = 0;
    std::uint64_t changed = 0, lastRequest = 0;
    json lastResult;
  };
  struct Lease {
    std::uint64_t holder = 0, token = 0, since = 0;
    std::vector<std::uint64_t> line;
  };

  json result(const char* code) { return {{"code", code}, {"index", index_}}; }
  void grant(const std::string& name, Lease& lease, std::uint64_t to) {
    lease.holder = to;
    lease.token = ++lastToken_;
    lease.since = index_;
    sessions_.at(to).changed = index_;
    record_.line("coordinator: " + name + " is held by " + sessions_.at(to).name + ", token " +
                 std::to_string(lease.token));
  }
  void free(const std::string& name) {
    Lease& lease = leases_.at(name);
    if (const auto held = sessions_.find(lease.holder); held != sessions_.end())
      held->second.changed = index_;
    if (lease.line.empty()) {
      leases_.erase(name);
      return;
    }
    const std::uint64_t next = lease.line.front();
    lease.line.erase(lease.line.begin());
    grant(name, lease, next);
  }
  void end(std::uint64_t id) {
    for (auto& [name, lease] : leases_) std::erase(lease.line, id);
    std::vector<std::string> held;
    for (const auto& [name, lease] : leases_)
      if (lease.holder == id) held.push_back(name);
    for (const std::string& name : held) free(name);
    sessions_.erase(id);
  }
  void expire() {
    const std::lock_guard<std::mutex> lock(mutex_);
    std::vector<std::uint64_t> ended;
    for (const auto& [id, session] : sessions_)
      if (nowMs() > session.renewedAt + session.ttlMs + session.ttlMs / 50) ended.push_back(id);
    for (const std::uint64_t id : ended) {
      ++index_;
      record_.line("coordinator: the term of " + sessions_.at(id).name + " has ended");
      end(id);
    }
  }
  json command(const std::string& path, const json& body) {
    ++index_;
    if (path == "/v1/open") {
      for (const auto& [id, session] : sessions_)
        if (session.nonce == body.at("nonce")) return {{"code", "ok"}, {"index", index_}, {"session", id}};
      const std::uint64_t id = ++lastToken_;
      sessions_[id] = {body.at("name"),
                       body.at("nonce"),
                       body.at("ttl_us").get<std::int64_t>() / 1000,
                       nowMs(),
                       index_,
                       0,
                       {}};
      return {{"code", "ok"}, {"index", index_}, {"session", id}};
    }
    const std::uint64_t id = body.value("session", std::uint64_t{0});
    const auto at = sessions_.find(id);
    if (path == "/v1/renew") {
      json renewed = {{"session", id}, {"alive", at != sessions_.end()}, {"holdings", json::array()}};
      if (at != sessions_.end()) {
        at->second.renewedAt = nowMs();
        for (const auto& [name, lease] : leases_)
          if (lease.holder == id)
            renewed["holdings"].push_back({{"lease", name}, {"token", lease.token}, {"recalled", false}});
      }
      json out = result("ok");
      out["renewed"] = json::array({renewed});
      return out;
    }
    if (path == "/v1/close") {
      if (at != sessions_.end()) end(id);
      return result("ok");
    }
    if (at == sessions_.end()) return result("no_session");
    const std::uint64_t request = body.value("request", std::uint64_t{0});
    if (request != 0 && request == at->second.lastRequest) return at->second.lastResult;
    json out = result("ok");
    if (path == "/v1/acquire") {
      const std::string name = body.at("lease");
      const auto found = leases_.find(name);
      if (found == leases_.end()) {
        grant(name, leases_[name], id);
        out["token"] = leases_.at(name).token;
      } else if (found->second.holder == id) {
        out["token"] = found->second.token;
      } else {
        auto& line = found->second.line;
        if (std::find(line.begin(), line.end(), id) == line.end()) line.push_back(id);
        out["code"] = "waiting";
        out["place"] = std::find(line.begin(), line.end(), id) - line.begin() + 1;
      }
    } else if (path == "/v1/release") {
      const std::string name = body.at("lease");
      const auto found = leases_.find(name);
      if (found != leases_.end() && std::erase(found->second.line, id) > 0) {
      } else if (found != leases_.end() && found->second.holder == id) {
        free(name);
      } else {
        out["code"] = "not_holder";
      }
    } else if (path == "/v1/put") {
      const std::string key = body.at("key");
      if (body.at("value").is_null()) {
        values_.erase(key);
      } else {
        values_[key] = body.at("value");
      }
      out["version"] = index_;
    }
    if (const auto session = sessions_.find(id); session != sessions_.end()) {
      session->second.lastRequest = request;
      session->second.lastResult = out;
    }
    return out;
  }
  json changes(std::uint64_t id, std::uint64_t after, std::int64_t waitMs) {
    for (const std::int64_t until = nowMs() + waitMs;; sleepMs(10)) {
      const std::lock_guard<std::mutex> lock(mutex_);
      const auto at = sessions_.find(id);
      if (at == sessions_.end() || at->second.changed > after || nowMs() >= until || stopping_)
        return {{"alive", at != sessions_.end()},
                {"changed", at == sessions_.end() ? 0 : at->second.changed}};
    }
  }
  static std::uint64_t queryNumber(const std::string& target, const std::string& name) {
    const auto found = target.find(name + "=");
    return found == std::string::npos ? 0 : std::stoull(target.substr(found + name.size() + 1));
  }
  json read(const std::string& target) {
    if (target.starts_with("/v1/changes"))
      return changes(queryNumber(target, "session"), queryNumber(target, "after"),
                     static_cast<std::int64_t>(queryNumber(target, "wait_ms")));
    const std::lock_guard<std::mutex> lock(mutex_);
    json all = json::array();
    if (target.starts_with("/v1/values")) {
      const auto prefix = target.find("prefix=");
      const std::string wanted = prefix == std::string::npos ? "" : target.substr(prefix + 7);
      for (const auto& [key, value] : values_)
        if (key.starts_with(wanted))
          all.push_back({{"key", key}, {"value", value}, {"version", 1}, {"by", ""}});
      return {{"index", index_}, {"values", all}};
    }
    for (const auto& [name, lease] : leases_)
      all.push_back({{"lease", name},
                     {"holder", sessions_.at(lease.holder).name},
                     {"session", lease.holder},
                     {"token", lease.token},
                     {"since", lease.since},
                     {"recalled", false},
                     {"line", json::array()}});
    return {{"index", index_}, {"leases", all}};
  }
  void serve(Connection& connection) {
    Request request;
    while (readRequest(connection, request)) {
      json answer;
      if (request.method == "POST") {
        const std::lock_guard<std::mutex> lock(mutex_);
        answer = command(request.target, json::parse(request.body));
      } else {
        answer = read(request.target);
      }
      if (!connection.write(response(200, answer.dump(), "Content-Type: application/json\r\n"))) return;
    }
  }

  Record& record_;
  std::mutex mutex_;
  std::uint64_t index_ = 0, lastToken_ = 0;
  std::map<std::uint64_t, Session> sessions_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, std::string> values_;
  std::atomic<bool> stopping_{false};
  std::thread expiry_;
  Server server_;
};

}  // namespace kit
