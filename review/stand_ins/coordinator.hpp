// A coordinator that leads alone, for members that need one: sessions, leases with lines and values over the HTTP
// interface of docs/operators/coordination-servers.md and docs/design/leases.md, kept in memory. It is never in trouble.
#pragma once

#include <deque>

#include "kit.hpp"

namespace kit {

class Coordinator {
 public:
  Coordinator() : server_([this](int fd, const HttpMessage& m) { return handle(fd, m); }) {
    ticker_ = std::thread([this] {
      for (; !server_.stopping(); sleepMs(20)) {
        const std::lock_guard lock(mutex_);
        expire();
      }
    });
  }
  ~Coordinator() { stop(); }
  void stop() {
    server_.stop();
    if (ticker_.joinable()) ticker_.join();
  }
  std::string address() const { return "1=" + server_.address(); }
  // Name of the member that holds the lease; empty if nobody does.
  std::string holderOf(const std::string& lease) {
    const std::lock_guard lock(mutex_);
    const auto at = leases_.find(lease);
    return at == leases_.end() ? "" : sessions_.at(at->second.holder).name;
  }

 private:
  struct Session {
    std::string name, nonce;
    long ttlUs = 0;
    Clock::time_point endsAt;
    std::uint64_t lastRequest = 0, changed = 0;
    json lastResult;
  };
  struct Lease {
    std::uint64_t holder = 0, token = 0;
    std::deque<std::uint64_t> line;
  };

  static std::uint64_t queryNumber(const std::string& target, const std::string& name) {
    const auto at = target.find(name + "=");
    return at == std::string::npos ? 0 : std::strtoull(target.c_str() + at + name.size() + 1, nullptr, 10);
  }
  void renew(Session& session) {
    // A little longer than the member counts, as for clocks that drift.
    session.endsAt = Clock::now() + std::chrono::microseconds(session.ttlUs + session.ttlUs / 50);
  }
  void grant(const std::string& name, Lease& lease, std::uint64_t to) {
    lease.holder = to;
    lease.token = ++lastNumber_;
    sessions_.at(to).changed = index_;
    note("coordinator: lease %s to %s, token %llu", name.c_str(), sessions_.at(to).name.c_str(),
         static_cast<unsigned long long>(lease.token));
  }
  void freeLease(const std::string& name) {
    Lease& lease = leases_.at(name);
    if (lease.line.empty()) {
      leases_.erase(name);
      return;
    }
    const std::uint64_t next = lease.line.front();
    lease.line.pop_front();
    grant(name, lease, next);
  }
  void endSession(std::uint64_t id) {
    note("coordinator: the session of %s has ended", sessions_.at(id).name.c_str());
    ++index_;
    std::vector<std::string> held;
    for (auto& [name, lease] : leases_) {
      std::erase(lease.line, id);
      if (lease.holder == id) held.push_back(name);
    }
    for (const std::string& name : held) freeLease(name);
    sessions_.erase(id);
  }
  void expire() {
    std::vector<std::uint64_t> ended;
    for (const auto& [id, session] : sessions_)
      if (session.endsAt <= Clock::now()) ended.push_back(id);
    for (const std::uint64_t id : ended) endSession(id);
  }

  json command(const std::string& path, const json& body) {
    if (path == "/v1/open") {
      for (const auto& [id, session] : sessions_)
        if (session.nonce == body.at("nonce")) return {{"code", "ok"}, {"index", index_}, {"session", id}};
      Session session;
      session.name = body.at("name");
      session.nonce = body.at("nonce");
      session.ttlUs = body.at("ttl_us");
      session.changed = index_;
      renew(session);
      const std::uint64_t id = ++lastNumber_;
      sessions_[id] = session;
      return {{"code", "ok"}, {"index", index_}, {"session", id}};
    }
    const std::uint64_t id = body.value("session", std::uint64_t{0});
    const auto at = sessions_.find(id);
    if (path == "/v1/renew") {
      json renewed = {{"session", id}, {"alive", at != sessions_.end()}, {"holdings", json::array()}};
      if (at != sessions_.end()) renew(at->second);
      for (const auto& [name, lease] : leases_)
        if (lease.holder == id)
          renewed["holdings"].push_back({{"lease", name}, {"token", lease.token}, {"recalled", false}});
      return {{"code", "ok"}, {"index", index_}, {"renewed", json::array({renewed})}};
    }
    if (path == "/v1/close") {
      if (at != sessions_.end()) endSession(id);
      return {{"code", "ok"}, {"index", index_}};
    }
    if (at == sessions_.end()) return {{"code", "no_session"}, {"index", index_}};
    const std::uint64_t request = body.at("request");
    if (request == at->second.lastRequest) return at->second.lastResult;
    json result = {{"code", "ok"}, {"index", index_}};
    if (path == "/v1/acquire") {
      const std::string name = body.at("lease");
      const auto found = leases_.find(name);
      if (found == leases_.end()) grant(name, leases_[name], id);
      Lease& lease = leases_.at(name);
      if (lease.holder == id) {
        result["token"] = lease.token;
      } else {
        if (std::find(lease.line.begin(), lease.line.end(), id) == lease.line.end()) lease.line.push_back(id);
        result["code"] = "waiting";
        result["place"] = lease.line.size();
      }
    } else if (path == "/v1/release") {
      const std::string name = body.at("lease");
      const auto found = leases_.find(name);
      if (found != leases_.end() && std::erase(found->second.line, id) == 0) {
        if (found->second.holder == id) freeLease(name);
      }
    } else if (path == "/v1/put") {
      const std::string key = body.at("key");
      if (const auto fence = body.find("fence"); fence != body.end()) {
        const auto found = leases_.find(fence->at("lease").get<std::string>());
        if (found == leases_.end() || found->second.holder != id || found->second.token != fence->at("token"))
          result["code"] = "stale_fence";
      }
      if (result["code"] == "ok") {
        if (body.at("value").is_null()) {
          values_.erase(key);
        } else {
          values_[key] = {body.at("value").get<std::string>(), index_};
          result["version"] = index_;
        }
      }
    }
    at->second.lastRequest = request;
    at->second.lastResult = result;
    return result;
  }

  bool handle(int fd, const HttpMessage& request) {
    const std::string target = request.target(), path = target.substr(0, target.find('?'));
    if (path == "/v1/changes") {
      const std::uint64_t id = queryNumber(target, "session"), after = queryNumber(target, "after");
      const auto until = Clock::now() + milliseconds(queryNumber(target, "wait_ms"));
      for (; !server_.stopping(); sleepMs(5)) {
        const std::lock_guard lock(mutex_);
        const auto at = sessions_.find(id);
        const bool alive = at != sessions_.end();
        if (alive && at->second.changed <= after && Clock::now() < until) continue;
        return sendAll(fd, httpResponse(200, json{{"alive", alive}, {"changed", alive ? at->second.changed : 0}}.dump()));
      }
      return false;
    }
    json answer;
    {
      const std::lock_guard lock(mutex_);
      if (request.method() == "POST") {
        ++index_;
        answer = command(path, json::parse(request.body));
      } else if (path == "/v1/values") {
        answer = {{"index", index_}, {"values", json::array()}};
        for (const auto& [key, value] : values_)
          answer["values"].push_back({{"key", key}, {"value", value.first}, {"version", value.second}, {"by", ""}});
      } else {
        answer = {{"index", index_}, {"leases", json::array()}};
        for (const auto& [name, lease] : leases_)
          answer["leases"].push_back({{"lease", name},
                                      {"holder", sessions_.at(lease.holder).name},
                                      {"session", lease.holder},
                                      {"token", lease.token},
                                      {"since", index_},
                                      {"recalled", false},
                                      {"line", json::array()}});
      }
    }
    return sendAll(fd, httpResponse(200, answer.dump()));
  }

  std::mutex mutex_;
  std::uint64_t index_ = 1, lastNumber_ = 100;
  std::map<std::uint64_t, Session> sessions_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, std::pair<std::string, std::uint64_t>> values_;
  HttpServer server_;
  std::thread ticker_;
};

}  // namespace kit
