// Commands of the coordinators' replicated log, and their results and effects.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace quilltide::fleet {

using Micros = std::int64_t;
using LogIndex = std::uint64_t;   // position of a log entry; 0: none
using SessionId = std::uint64_t;  // unique over the fleet's lifetime; 0: none
// Identifies one grant of a lease. Tokens increase strictly over all leases, restarts, snapshots and
// restores: the high 32 bits are the generation, the low 32 bits a counter. Session ids come from the same
// counter.
using FencingToken = std::uint64_t;

// Condition of a write: rejected unless `token` is the current grant of `lease`.
struct Fence {
  std::string lease;
  FencingToken token = 0;
  bool operator==(const Fence&) const = default;
};

// Commands of members. `request` numbers the requests of a session from 1. Repeating the last number returns
// the stored result of that request.
struct OpenSession {
  std::string name;   // member name; not necessarily unique among sessions
  std::string nonce;  // random, from the member; the same nonce marks a retry
  Micros ttl = 0;     // time-to-live of the session and of its leases
};
struct RenewSessions {
  std::vector<SessionId> sessions;
};
struct CloseSession {
  SessionId session = 0;
};
struct AcquireLease {
  SessionId session = 0;
  std::uint64_t request = 0;
  std::string lease;
  bool wait = true;  // joins the wait queue if another session holds the lease
  // Whether a long-time holder is asked to release the lease for this session; otherwise the session waits
  // until the holder releases it.
  bool recallHolder = true;
};
// Releases the lease or leaves its wait queue. Token 0 matches any grant.
struct ReleaseLease {
  SessionId session = 0;
  std::uint64_t request = 0;
  std::string lease;
  FencingToken token = 0;
};
// Transfers the lease to the newest session of member `to`, ahead of all waiting sessions.
struct TransferLease {
  SessionId session = 0;
  std::uint64_t request = 0;
  std::string lease;
  FencingToken token = 0;
  std::string to;
};
struct PutValue {
  SessionId session = 0;  // 0: a tool without a session; `expectedVersion` makes its retries safe
  std::uint64_t request = 0;
  std::string key;
  std::optional<std::string> value;              // nullopt: removes the key
  std::optional<std::uint64_t> expectedVersion;  // 0: only if the key does not exist
  std::optional<Fence> fence;
};
// The following commands are proposed by the leading coordinator on its own clock (fleet/expiry). Each
// carries the state it was based on and has no effect if that state has changed.
struct ExpireSessions {
  std::vector<std::pair<SessionId, LogIndex>> sessions;  // each with its last renewal
};
struct RecallLease {  // renewals no longer extend the lease
  std::string lease;
  FencingToken token = 0;
};
struct ExpireLease {  // ends a recalled lease
  std::string lease;
  FencingToken token = 0;
};
// Issued after a restore from a backup or a recovery without a majority. Tokens and ids continue above this
// generation, all sessions end, and none is opened until EndGracePeriod: a member may hold a lease that this
// state does not contain.
struct RaiseGeneration {
  std::uint32_t generation = 0;
};
struct EndGracePeriod {  // the longest time-to-live has passed since the restore
  std::uint32_t generation = 0;
};

using Command =
    std::variant<OpenSession, RenewSessions, CloseSession, AcquireLease, ReleaseLease, TransferLease,
                 PutValue, ExpireSessions, RecallLease, ExpireLease, RaiseGeneration, EndGracePeriod>;

enum class ResultCode {
  ok,
  waiting,       // queued for the lease
  busy,          // held by another session, and `wait` was false
  noSession,     // ended or unknown session
  notHolder,     // not the holder under that token
  noMember,      // no session with that member name
  staleFence,    // the fencing token is not the current one
  conflict,      // the value has another version
  oldRequest,    // request number below the session's last one
  gracePeriod,   // no sessions are opened until leases from before a restore have expired
  limitReached,  // a limit of StateLimits is reached
  invalid        // malformed command or invalid argument
};
// The code's name in the HTTP API.
const char* codeName(ResultCode code);

// A lease held by a session.
struct HeldLease {
  std::string lease;
  FencingToken token = 0;
  bool recalled = false;
  bool operator==(const HeldLease&) const = default;
};
// Outcome of a renewal for one session: every lease it holds as of `Result::index`.
struct RenewalResult {
  SessionId session = 0;
  bool alive = false;
  std::vector<HeldLease> holdings;
  bool operator==(const RenewalResult&) const = default;
};

// Result of applying one command.
struct Result {
  ResultCode code = ResultCode::ok;
  LogIndex index = 0;             // log entry that took effect; for a retry, the original entry
  SessionId session = 0;          // set by OpenSession
  FencingToken token = 0;         // set when a lease was granted
  std::size_t queuePosition = 0;  // position in the wait queue, from 1
  std::uint64_t version = 0;      // current version of the value; 0: none
  std::vector<RenewalResult> renewals;
  std::string reason;
  bool operator==(const Result&) const = default;
};

// State change made by one log entry, for deadline tracking and watchers.
struct Effect {
  enum class Kind {
    sessionOpened,
    sessionRenewed,
    sessionEnded,
    leaseGranted,
    leaseRecalled,
    leaseFreed,
    waitQueueChanged,
    valueChanged
  };
  Kind kind = Kind::sessionOpened;
  SessionId session = 0;  // 0 for leaseFreed and waitQueueChanged
  std::string name;       // lease name or value key
  FencingToken token = 0;
};

// CBOR encoding. decode() throws std::exception on malformed input or another format version.
std::string encode(const Command& command);
Command decode(const std::string& bytes);

}  // namespace quilltide::fleet
