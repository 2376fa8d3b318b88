// JSON encoding of commands and results.
#include "fleet/wire/wire.hpp"

#include <array>
#include <stdexcept>

namespace quilltide::fleet {
namespace {

using nlohmann::json;

constexpr std::array kCodes{ResultCode::ok,          ResultCode::waiting,      ResultCode::busy,
                            ResultCode::noSession,   ResultCode::notHolder,    ResultCode::noMember,
                            ResultCode::staleFence,  ResultCode::conflict,     ResultCode::oldRequest,
                            ResultCode::gracePeriod, ResultCode::limitReached, ResultCode::invalid};

ResultCode codeFromName(const std::string& wireName) {
  for (const ResultCode code : kCodes)
    if (wireName == codeName(code)) return code;
  throw std::runtime_error("unknown result code: " + wireName);
}

std::uint64_t number(const json& body, const char* key, std::uint64_t defaultValue = 0) {
  const auto at = body.find(key);
  if (at == body.end()) return defaultValue;
  if (!at->is_number_integer() || (!at->is_number_unsigned() && at->get<std::int64_t>() < 0))
    throw std::runtime_error(std::string(key) + " is not a non-negative integer");
  return at->get<std::uint64_t>();
}
// Defaults to true.
bool flag(const json& body, const char* key) {
  const auto at = body.find(key);
  if (at == body.end()) return true;
  if (!at->is_boolean()) throw std::runtime_error(std::string(key) + " is not a boolean");
  return at->get<bool>();
}
std::string text(const json& body, const char* key) {
  const auto at = body.find(key);
  if (at == body.end()) throw std::runtime_error(std::string(key) + " is missing");
  if (!at->is_string()) throw std::runtime_error(std::string(key) + " is not a string");
  return at->get<std::string>();
}

}  // namespace

CommandRequest requestFromCommand(const Command& command) {
  if (const auto* c = std::get_if<OpenSession>(&command))
    return {"/v1/open", {{"name", c->name}, {"nonce", c->nonce}, {"ttl_us", c->ttl}}};
  if (const auto* c = std::get_if<RenewSessions>(&command))
    return {"/v1/renew", {{"session", c->sessions.at(0)}}};
  if (const auto* c = std::get_if<CloseSession>(&command)) return {"/v1/close", {{"session", c->session}}};
  if (const auto* c = std::get_if<AcquireLease>(&command))
    return {"/v1/acquire",
            {{"session", c->session},
             {"request", c->request},
             {"lease", c->lease},
             {"wait", c->wait},
             {"turns", c->recallHolder}}};
  if (const auto* c = std::get_if<ReleaseLease>(&command))
    return {"/v1/release",
            {{"session", c->session}, {"request", c->request}, {"lease", c->lease}, {"token", c->token}}};
  if (const auto* c = std::get_if<TransferLease>(&command))
    return {"/v1/transfer",
            {{"session", c->session},
             {"request", c->request},
             {"lease", c->lease},
             {"token", c->token},
             {"to", c->to}}};
  if (const auto* c = std::get_if<PutValue>(&command)) {
    json body = {{"session", c->session}, {"request", c->request}, {"key", c->key}};
    body["value"] = c->value ? json(*c->value) : json();
    if (c->expectedVersion) body["if_version"] = *c->expectedVersion;
    if (c->fence) body["fence"] = {{"lease", c->fence->lease}, {"token", c->fence->token}};
    return {"/v1/put", body};
  }
  throw std::runtime_error("only a leading coordinator issues this command");
}

Command commandFromRequest(const std::string& path, const json& body) {
  if (!body.is_object()) throw std::runtime_error("the body is not a JSON object");
  const auto session = [&] { return number(body, "session"); };
  const auto request = [&] {
    const auto n = number(body, "request");
    if (n == 0) throw std::runtime_error("request is missing; requests are numbered from 1");
    return n;
  };
  if (path == "/v1/open")
    return OpenSession{text(body, "name"), text(body, "nonce"), static_cast<Micros>(number(body, "ttl_us"))};
  if (path == "/v1/renew") return RenewSessions{{session()}};
  if (path == "/v1/close") return CloseSession{session()};
  if (path == "/v1/acquire") {
    return AcquireLease{session(), request(), text(body, "lease"), flag(body, "wait"), flag(body, "turns")};
  }
  if (path == "/v1/release")
    return ReleaseLease{session(), request(), text(body, "lease"), number(body, "token")};
  if (path == "/v1/transfer")
    return TransferLease{session(), request(), text(body, "lease"), number(body, "token"), text(body, "to")};
  if (path == "/v1/put") {
    PutValue p;
    p.session = session();
    p.request = p.session == 0 ? 0 : request();
    p.key = text(body, "key");
    if (const auto at = body.find("value"); at != body.end() && !at->is_null()) p.value = text(body, "value");
    if (body.contains("if_version")) p.expectedVersion = number(body, "if_version");
    if (const auto at = body.find("fence"); at != body.end())
      p.fence = Fence{text(*at, "lease"), number(*at, "token")};
    return p;
  }
  throw std::runtime_error("unknown path " + path);
}

json toJson(const Result& r) {
  json out = {{"code", codeName(r.code)}, {"index", r.index}};
  if (r.session != 0) out["session"] = r.session;
  if (r.token != 0) out["token"] = r.token;
  if (r.queuePosition != 0) out["place"] = r.queuePosition;
  if (r.version != 0) out["version"] = r.version;
  if (!r.reason.empty()) out["why"] = r.reason;
  if (!r.renewals.empty()) {
    json all = json::array();
    for (const RenewalResult& n : r.renewals) {
      json holdings = json::array();
      for (const HeldLease& h : n.holdings)
        holdings.push_back({{"lease", h.lease}, {"token", h.token}, {"recalled", h.recalled}});
      all.push_back({{"session", n.session}, {"alive", n.alive}, {"holdings", std::move(holdings)}});
    }
    out["renewed"] = std::move(all);
  }
  return out;
}

Result resultFromJson(const json& j) {
  Result r;
  r.code = codeFromName(j.at("code").get<std::string>());
  r.index = j.at("index").get<LogIndex>();
  r.session = j.value("session", SessionId{0});
  r.token = j.value("token", FencingToken{0});
  r.queuePosition = j.value("place", std::size_t{0});
  r.version = j.value("version", std::uint64_t{0});
  r.reason = j.value("why", std::string());
  if (const auto all = j.find("renewed"); all != j.end()) {
    for (const json& n : *all) {
      RenewalResult renewed{n.at("session").get<SessionId>(), n.at("alive").get<bool>(), {}};
      for (const json& h : n.at("holdings"))
        renewed.holdings.push_back({h.at("lease").get<std::string>(), h.at("token").get<FencingToken>(),
                                    h.at("recalled").get<bool>()});
      r.renewals.push_back(std::move(renewed));
    }
  }
  return r;
}

}  // namespace quilltide::fleet
