// The coordinators' replicated state: sessions, leases with lines before them, versioned values. A function
// of the log alone: no I/O, no clock, no chance.
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

// The most that is kept; past it new things are refused with Code::full, and nothing is dropped.
struct Bounds {
  std::size_t sessions = 20'000;
  std::size_t leases = 20'000;
  std::size_t line = 2'000;             // sessions that wait for one lease
  std::size_t leasesOfSession = 1'000;  // held and waited for
  std::size_t values = 20'000;
  std::size_t name = 256, value = 65'536;                 // bytes
  std::size_t allValues = 32 << 20;                       // bytes of all of them
  Micros shortestTtl = 200'000, longestTtl = 60'000'000;  // terms; the longest is waited out after a restore
};

struct Session {
  SessionId id = 0;
  std::string name, nonce;
  Micros ttl = 0;
  Index opened = 0, renewed = 0;
  Index changed = 0;  // the last entry that changed what it holds or waits for
  std::uint64_t lastRequest = 0;
  Result lastResult;
  std::set<std::string> holds, waits;
};

struct Lease {
  std::string name;
  SessionId holder = 0;  // never 0: a lease that nobody has is not kept
  Token token = 0;
  Index since = 0;
  bool recalled = false;
  std::deque<SessionId> line;
  std::set<SessionId> turns;  // of the line: for whom a holder of long is called back
};

struct Value {
  std::string text;
  Index version = 0;
  std::string by;  // the member's name, empty for a tool
};

class State {
 public:
  explicit State(const Bounds& bounds = {}) : bounds_(bounds) {}

  // One entry of the log, in order. What cannot be read does nothing and says so. `effects` gets what it did.
  Result apply(Index index, const std::string& bytes, std::vector<Effect>* effects = nullptr);
  Result apply(Index index, const Command& command, std::vector<Effect>* effects = nullptr);

  std::string snapshot() const;
  // Throws std::exception on what is no snapshot; the state is then as it was.
  void restore(const std::string& bytes);

  Index applied() const { return applied_; }
  std::uint32_t generation() const { return generation_; }
  bool barred() const { return barred_; }  // no session is opened
  const Bounds& bounds() const { return bounds_; }
  const std::map<SessionId, Session>& sessions() const { return sessions_; }
  const std::map<std::string, Lease>& leases() const { return leases_; }
  const std::map<std::string, Value>& values() const { return values_; }
  const Session* session(SessionId id) const;
  const Lease* lease(const std::string& name) const;
  std::vector<Holding> holdingsOf(const Session& session) const;
  // Keys removed after `index`, oldest first; nothing if some may be forgotten: look at all.
  std::optional<std::vector<std::string>> removedAfter(Index index) const;

  // Every invariant that a test may ask for; the first that does not hold, or nothing.
  std::optional<std::string> broken() const;

 private:
  using Effects = std::vector<Effect>;
  Result on(const OpenSession&, Effects&);
  Result on(const Renew&, Effects&);
  Result on(const CloseSession&, Effects&);
  Result on(const Acquire&, Effects&);
  Result on(const Release&, Effects&);
  Result on(const Transfer&, Effects&);
  Result on(const Put&, Effects&);
  Result on(const Expire&, Effects&);
  Result on(const Recall&, Effects&);
  Result on(const ExpireLease&, Effects&);
  Result on(const Raise&, Effects&);
  Result on(const Admit&, Effects&);
  template <typename Request, typename Act>
  Result once(const Request& request, const Act& act);

  std::uint64_t draw();
  void grant(Lease& lease, Session& to, Effects& effects);
  void free(const std::string& name, Effects& effects);  // to the next in line, or nobody
  void end(SessionId id, Effects& effects);
  Result refused(Code code, const std::string& why = "") const;

  Bounds bounds_;
  Index applied_ = 0;
  std::uint32_t generation_ = 1, count_ = 0;
  bool barred_ = false;
  std::map<SessionId, Session> sessions_;
  std::map<std::string, SessionId> byNonce_;
  std::map<std::string, std::set<SessionId>> byName_;
  std::map<std::string, Lease> leases_;
  std::map<std::string, Value> values_;
  std::size_t valueBytes_ = 0;
  std::deque<std::pair<Index, std::string>> removed_;
  Index removedKnownFrom_ = 0;  // removals after this entry are all in removed_
};

}  // namespace quilltide::fleet
