// The coordinators' replicated state machine: sessions, leases with wait queues, versioned values.
// Deterministic: depends on the log only, without I/O, clock or randomness.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/state/types.hpp"

namespace quilltide::fleet {

// Capacity limits; beyond them new entries are rejected with ResultCode::limitReached, and nothing is
// dropped.
struct StateLimits {
  std::size_t maxSessions = 20'000;
  std::size_t maxLeases = 20'000;
  std::size_t maxWaitQueue = 2'000;         // sessions waiting for one lease
  std::size_t maxLeasesPerSession = 1'000;  // held and waited for
  std::size_t maxValues = 20'000;
  std::size_t maxNameBytes = 256, maxValueBytes = 65'536;
  std::size_t maxTotalValueBytes = 32 << 20;     // sum over all values
  Micros minTtl = 200'000, maxTtl = 60'000'000;  // maxTtl is also the grace period after a restore
};

// An open session of a member, with its last request and that request's stored result.
struct Session {
  SessionId id = 0;
  std::string name, nonce;
  Micros ttl = 0;
  LogIndex opened = 0, renewed = 0;
  LogIndex changed = 0;  // last entry that changed its held or awaited leases
  std::uint64_t lastRequestNumber = 0;
  Result lastResult;
  std::set<std::string> holds, waits;
};

// A granted lease and the sessions that wait for it.
struct Lease {
  std::string name;
  SessionId holder = 0;  // never 0: a lease without a holder is removed
  FencingToken token = 0;
  LogIndex since = 0;
  bool recalled = false;
  std::deque<SessionId> waitQueue;
  std::set<SessionId> recallRequesters;  // waiting sessions that recall a long-time holder
};

// A versioned value.
struct Value {
  std::string text;
  LogIndex version = 0;
  std::string by;  // name of the writing member; empty for a tool
};

// The state after a prefix of the log. All coordinators that applied the same entries have equal states.
class State {
 public:
  explicit State(const StateLimits& limits = {}) : limits_(limits) {}

  // Applies one log entry, in log order. A malformed entry has no effect and returns ResultCode::invalid.
  // Appends the state changes to `effects`.
  Result apply(LogIndex index, const std::string& bytes, std::vector<Effect>* effects = nullptr);
  Result apply(LogIndex index, const Command& command, std::vector<Effect>* effects = nullptr);

  std::string snapshot() const;
  // Throws std::exception on a malformed or inconsistent snapshot and then leaves the state unchanged.
  void restore(const std::string& bytes);

  LogIndex appliedIndex() const { return appliedIndex_; }
  std::uint32_t generation() const { return generation_; }
  bool inGracePeriod() const { return inGracePeriod_; }  // no session can be opened
  const StateLimits& limits() const { return limits_; }
  const std::map<SessionId, Session>& sessions() const { return sessions_; }
  const std::map<std::string, Lease>& leases() const { return leases_; }
  const std::map<std::string, Value>& values() const { return values_; }
  const Session* findSession(SessionId id) const;
  const Lease* findLease(const std::string& name) const;
  std::vector<HeldLease> heldLeasesOf(const Session& session) const;
  // Keys removed after `index`, oldest first. nullopt if the record of removals does not reach back that far;
  // the caller then has to read all values.
  std::optional<std::vector<std::string>> keysRemovedAfter(LogIndex index) const;

  // Checks all invariants and returns a description of the first violated one, or nullopt.
  std::optional<std::string> violatedInvariant() const;

 private:
  using Effects = std::vector<Effect>;
  Result applyCommand(const OpenSession&, Effects&);
  Result applyCommand(const RenewSessions&, Effects&);
  Result applyCommand(const CloseSession&, Effects&);
  Result applyCommand(const AcquireLease&, Effects&);
  Result applyCommand(const ReleaseLease&, Effects&);
  Result applyCommand(const TransferLease&, Effects&);
  Result applyCommand(const PutValue&, Effects&);
  Result applyCommand(const ExpireSessions&, Effects&);
  Result applyCommand(const RecallLease&, Effects&);
  Result applyCommand(const ExpireLease&, Effects&);
  Result applyCommand(const RaiseGeneration&, Effects&);
  Result applyCommand(const EndGracePeriod&, Effects&);
  template <typename Request, typename Act>
  Result applyOnce(const Request& request, const Act& act);

  std::uint64_t nextSequenceNumber();
  void grantLease(Lease& lease, Session& to, Effects& effects);
  void freeLease(const std::string& name, Effects& effects);  // grants it to the next waiting session, if any
  void endSession(SessionId id, Effects& effects);
  Result rejected(ResultCode code, const std::string& message = "") const;

  StateLimits limits_;
  LogIndex appliedIndex_ = 0;
  std::uint32_t generation_ = 1, lastSequence_ = 0;
  bool inGracePeriod_ = false;
  std::map<SessionId, Session> sessions_;
  std::map<std::string, SessionId> sessionsByNonce_;
  std::map<std::string, std::set<SessionId>> sessionsByMember_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, Value> values_;
  std::size_t valueBytes_ = 0;
  std::deque<std::pair<LogIndex, std::string>> removedKeys_;
  LogIndex removalsCompleteAfter_ = 0;  // removedKeys_ has all removals after this entry
};

}  // namespace quilltide::fleet
