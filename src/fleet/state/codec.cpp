// Commands as CBOR arrays: a form number, the kind, its fields.
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "fleet/state/types.hpp"

namespace quilltide::fleet {
namespace {

using nlohmann::json;

constexpr int kForm = 1;

enum Kind {
  kOpen = 1,
  kRenew,
  kClose,
  kAcquire,
  kRelease,
  kTransfer,
  kPut,
  kExpire,
  kRecall,
  kExpireLease,
  kRaise,
  kAdmit
};

json fieldsOf(const OpenSession& c) { return {kOpen, c.name, c.nonce, c.ttl}; }
json fieldsOf(const Renew& c) {
  json out = json::array({kRenew});
  out.push_back(c.sessions);
  return out;
}
json fieldsOf(const CloseSession& c) { return {kClose, c.session}; }
json fieldsOf(const Acquire& c) { return {kAcquire, c.session, c.request, c.lease, c.wait, c.turns}; }
json fieldsOf(const Release& c) { return {kRelease, c.session, c.request, c.lease, c.token}; }
json fieldsOf(const Transfer& c) { return {kTransfer, c.session, c.request, c.lease, c.token, c.to}; }
json fieldsOf(const Put& c) {
  return {kPut,
          c.session,
          c.request,
          c.key,
          c.value ? json(*c.value) : json(),
          c.ifVersion ? json(*c.ifVersion) : json(),
          c.fence ? json::array({c.fence->lease, c.fence->token}) : json()};
}
json fieldsOf(const Expire& c) {
  json out = json::array({kExpire});
  out.push_back(c.sessions);
  return out;
}
json fieldsOf(const Recall& c) { return {kRecall, c.lease, c.token}; }
json fieldsOf(const ExpireLease& c) { return {kExpireLease, c.lease, c.token}; }
json fieldsOf(const Raise& c) { return {kRaise, c.generation}; }
json fieldsOf(const Admit& c) { return {kAdmit, c.generation}; }

}  // namespace

const char* wordOf(Code code) {
  switch (code) {
    case Code::ok:
      return "ok";
    case Code::waiting:
      return "waiting";
    case Code::busy:
      return "busy";
    case Code::noSession:
      return "no_session";
    case Code::notHolder:
      return "not_holder";
    case Code::noMember:
      return "no_member";
    case Code::staleFence:
      return "stale_fence";
    case Code::conflict:
      return "conflict";
    case Code::oldRequest:
      return "old_request";
    case Code::barred:
      return "barred";
    case Code::full:
      return "full";
    case Code::bad:
      return "bad";
  }
  return "bad";
}

std::string encode(const Command& command) {
  json whole = std::visit([](const auto& c) { return fieldsOf(c); }, command);
  whole.insert(whole.begin(), kForm);
  std::string out;
  json::to_cbor(whole, out);
  return out;
}

Command decode(const std::string& bytes) {
  const json c = json::from_cbor(bytes);
  if (c.at(0).get<int>() != kForm) throw std::runtime_error("a command of another form");
  const auto number = [&](std::size_t i) { return c.at(i).get<std::uint64_t>(); };
  const auto text = [&](std::size_t i) { return c.at(i).get<std::string>(); };
  switch (c.at(1).get<int>()) {
    case kOpen:
      return OpenSession{text(2), text(3), c.at(4).get<Micros>()};
    case kRenew:
      return Renew{c.at(2).get<std::vector<SessionId>>()};
    case kClose:
      return CloseSession{number(2)};
    case kAcquire:
      return Acquire{number(2), number(3), text(4), c.at(5).get<bool>(), c.at(6).get<bool>()};
    case kRelease:
      return Release{number(2), number(3), text(4), number(5)};
    case kTransfer:
      return Transfer{number(2), number(3), text(4), number(5), text(6)};
    case kPut: {
      Put p{number(2), number(3), text(4), {}, {}, {}};
      if (!c.at(5).is_null()) p.value = text(5);
      if (!c.at(6).is_null()) p.ifVersion = number(6);
      if (!c.at(7).is_null()) p.fence = Fence{c.at(7).at(0).get<std::string>(), c.at(7).at(1).get<Token>()};
      return p;
    }
    case kExpire:
      return Expire{c.at(2).get<std::vector<std::pair<SessionId, Index>>>()};
    case kRecall:
      return Recall{text(2), number(3)};
    case kExpireLease:
      return ExpireLease{text(2), number(3)};
    case kRaise:
      return Raise{c.at(2).get<std::uint32_t>()};
    case kAdmit:
      return Admit{c.at(2).get<std::uint32_t>()};
    default:
      throw std::runtime_error("a command of no known kind");
  }
}

}  // namespace quilltide::fleet
