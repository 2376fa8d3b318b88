// Encodes commands as CBOR arrays: format version, command kind, fields.
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "fleet/state/types.hpp"

namespace quilltide::fleet {
namespace {

using nlohmann::json;

constexpr int kFormatVersion = 1;

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
  kEndGracePeriod
};

json toFields(const OpenSession& c) { return {kOpen, c.name, c.nonce, c.ttl}; }
json toFields(const RenewSessions& c) {
  json out = json::array({kRenew});
  out.push_back(c.sessions);
  return out;
}
json toFields(const CloseSession& c) { return {kClose, c.session}; }
json toFields(const AcquireLease& c) {
  return {kAcquire, c.session, c.request, c.lease, c.wait, c.recallHolder};
}
json toFields(const ReleaseLease& c) { return {kRelease, c.session, c.request, c.lease, c.token}; }
json toFields(const TransferLease& c) { return {kTransfer, c.session, c.request, c.lease, c.token, c.to}; }
json toFields(const PutValue& c) {
  return {kPut,
          c.session,
          c.request,
          c.key,
          c.value ? json(*c.value) : json(),
          c.expectedVersion ? json(*c.expectedVersion) : json(),
          c.fence ? json::array({c.fence->lease, c.fence->token}) : json()};
}
json toFields(const ExpireSessions& c) {
  json out = json::array({kExpire});
  out.push_back(c.sessions);
  return out;
}
json toFields(const RecallLease& c) { return {kRecall, c.lease, c.token}; }
json toFields(const ExpireLease& c) { return {kExpireLease, c.lease, c.token}; }
json toFields(const RaiseGeneration& c) { return {kRaise, c.generation}; }
json toFields(const EndGracePeriod& c) { return {kEndGracePeriod, c.generation}; }

}  // namespace

const char* codeName(ResultCode code) {
  switch (code) {
    case ResultCode::ok:
      return "ok";
    case ResultCode::waiting:
      return "waiting";
    case ResultCode::busy:
      return "busy";
    case ResultCode::noSession:
      return "no_session";
    case ResultCode::notHolder:
      return "not_holder";
    case ResultCode::noMember:
      return "no_member";
    case ResultCode::staleFence:
      return "stale_fence";
    case ResultCode::conflict:
      return "conflict";
    case ResultCode::oldRequest:
      return "old_request";
    case ResultCode::gracePeriod:
      return "barred";
    case ResultCode::limitReached:
      return "full";
    case ResultCode::invalid:
      return "bad";
  }
  return "bad";
}

std::string encode(const Command& command) {
  json fields = std::visit([](const auto& c) { return toFields(c); }, command);
  fields.insert(fields.begin(), kFormatVersion);
  std::string out;
  json::to_cbor(fields, out);
  return out;
}

Command decode(const std::string& bytes) {
  const json c = json::from_cbor(bytes);
  if (c.at(0).get<int>() != kFormatVersion) throw std::runtime_error("unsupported command format version");
  const auto number = [&](std::size_t i) { return c.at(i).get<std::uint64_t>(); };
  const auto text = [&](std::size_t i) { return c.at(i).get<std::string>(); };
  switch (c.at(1).get<int>()) {
    case kOpen:
      return OpenSession{text(2), text(3), c.at(4).get<Micros>()};
    case kRenew:
      return RenewSessions{c.at(2).get<std::vector<SessionId>>()};
    case kClose:
      return CloseSession{number(2)};
    case kAcquire:
      return AcquireLease{number(2), number(3), text(4), c.at(5).get<bool>(), c.at(6).get<bool>()};
    case kRelease:
      return ReleaseLease{number(2), number(3), text(4), number(5)};
    case kTransfer:
      return TransferLease{number(2), number(3), text(4), number(5), text(6)};
    case kPut: {
      PutValue p{number(2), number(3), text(4), {}, {}, {}};
      if (!c.at(5).is_null()) p.value = text(5);
      if (!c.at(6).is_null()) p.expectedVersion = number(6);
      if (!c.at(7).is_null())
        p.fence = Fence{c.at(7).at(0).get<std::string>(), c.at(7).at(1).get<FencingToken>()};
      return p;
    }
    case kExpire:
      return ExpireSessions{c.at(2).get<std::vector<std::pair<SessionId, LogIndex>>>()};
    case kRecall:
      return RecallLease{text(2), number(3)};
    case kExpireLease:
      return ExpireLease{text(2), number(3)};
    case kRaise:
      return RaiseGeneration{c.at(2).get<std::uint32_t>()};
    case kEndGracePeriod:
      return EndGracePeriod{c.at(2).get<std::uint32_t>()};
    default:
      throw std::runtime_error("unknown command kind");
  }
}

}  // namespace quilltide::fleet
