// A member's view of its session and leases: which requests to send when, and how long each lease stays
// valid. No I/O; the caller passes the time of a clock that advances while the process is suspended and whose
// rate is off by at most `maxClockDrift`.
//
// A lease alone does not guarantee mutual exclusion: a process may be paused between validToken() and the
// operation, and resume after the lease has passed to another member. Each operation therefore has to go
// through a resource that rejects outdated fencing tokens: a put() with a fence, a journal's owner epoch, or
// a server that keeps the highest token seen. validToken() makes such rejections rare but does not replace
// them.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fleet/state/types.hpp"

namespace quilltide::fleet {

// State machine of one member's session. Not thread-safe; takeRequests() and takeEvents() are to be called at
// nextWakeup() and after every other call that changes the state.
class LeaseClient {
 public:
  struct Settings {
    std::string memberName;
    std::string nonce;                     // unique per process start
    Micros ttl = 10'000'000;               // time-to-live of the session
    double maxClockDrift = 0.01;           // same as the coordinators' setting
    double renewAfterTermShare = 1.0 / 3;  // share of the term after which it is renewed
    double warnAtTermShareLeft = 1.0 / 3;  // remaining share at which leaseExpiring is reported
    Micros requestTimeout = 1'000'000;     // unanswered requests are sent again after this
    // The pause before a retry doubles with each failure. It is at most a tenth of what is left of the
    // session's term, so that a new leader is found before the term ends, see docs/design/leases.md.
    Micros minRetryPause = 50'000, maxRetryPause = 1'000'000;
    std::uint64_t jitterSeed = 1;
  };
  explicit LeaseClient(const Settings& settings);

  // ---- Commands of the process ----
  // Requests the lease, and again whenever it is lost, until release(). With `recallHolder` a long-time
  // holder is asked to release it; otherwise this member waits until the holder does so.
  void acquire(const std::string& lease, bool recallHolder = true);
  void release(const std::string& lease);  // invalid at once; the next waiting member gets it
  void transfer(const std::string& lease, const std::string& to);
  // Writes a value at the coordinators. Returns the number under which Event::Kind::putCompleted reports the
  // result. With `fence` the write requires this member's current grant of that lease; returns 0 and writes
  // nothing if the lease is not held.
  std::uint64_t put(const std::string& key, const std::optional<std::string>& value,
                    std::optional<std::uint64_t> expectedVersion = {}, const std::string& fence = "");
  void close();  // releases all leases and ends the session; further requests are ignored

  // ---- Validity of leases ----
  // The fencing token, if the lease stays valid for `need` more microseconds after `now`.
  std::optional<FencingToken> validToken(const std::string& lease, Micros now, Micros need = 0) const;
  bool holds(const std::string& lease, Micros now) const { return validToken(lease, now).has_value(); }

  struct Event {
    enum class Kind {
      leaseAcquired,  // `token` is valid for `remaining`
      leaseExpiring,  // not renewed; expires in `remaining` unless a renewal succeeds
      leaseRecalled,  // another member waits: release within `remaining`
      leaseLost,      // no longer valid
      putCompleted,   // `putNumber` and `result` of a put
      sessionOpened,
      sessionLost
    };
    Kind kind;
    std::string lease;
    FencingToken token = 0;
    Micros remaining = 0;
    std::uint64_t putNumber = 0;
    Result result;
  };
  // Events since the last call, including expiries by the local clock.
  std::vector<Event> takeEvents(Micros now);

  // ---- Requests to the coordinators ----
  struct Request {
    std::uint64_t id = 0;
    Command command;
  };
  // Requests to send now. At most one renewal and one other request are in flight.
  std::vector<Request> takeRequests(Micros now);
  // Results of requests that have timed out are ignored.
  void handleResult(std::uint64_t id, const Result& result, Micros now);
  void handleFailure(std::uint64_t id, Micros now);  // no answer, or not from the leader
  void renewSoon(Micros now);                        // the session's leases have changed
  bool isWaiting() const;                            // waits for a lease: changes should be watched
  // Latest time for the next takeRequests() and takeEvents() calls.
  Micros nextWakeup(Micros now) const;

  SessionId session() const { return sessionId_; }
  // Log entry up to which the held leases are known.
  LogIndex lastRenewalIndex() const { return lastRenewalIndex_; }
  bool isClosed() const { return closing_ && commandQueue_.empty() && !control_.inFlight; }
  // Number of leases that the coordinators ended while they were still valid by this clock, after a restore
  // or with a clock that is off by more than `maxClockDrift`.
  std::size_t prematureLosses() const { return prematureLosses_; }

 private:
  struct LocalLease {
    FencingToken token = 0;
    LogIndex index = 0;     // log entry of the last result that listed it
    Micros validUntil = 0;  // local time; same as the session's unless recalled
    bool recalled = false, warned = false;
  };
  struct QueuedCommand {
    Command command;
    std::uint64_t putNumber = 0;  // 0: not a put
  };
  struct InFlightRequest {
    std::uint64_t id = 0;
    Micros sent = 0;
  };
  // One kind of request: at most one is in flight, and failures delay the next one.
  struct RequestSlot {
    std::optional<InFlightRequest> inFlight;
    Micros nextAt = 0;      // earliest time of the next request
    Micros retryPause = 0;  // after the last failure; 0 after a result
  };
  Micros safeTerm() const;
  void enqueueAcquire(const std::string& lease);
  void loseSession(Micros now);
  void loseLease(const std::string& lease, Micros now, bool byCoordinators);
  void addLease(const std::string& lease, FencingToken token, LogIndex index, Micros now);
  void handleRenewal(const RenewalResult& renewal, LogIndex index, Micros sent, Micros now);
  void handleControlResult(const Result& result, Micros sent, Micros now);
  bool releasePending(const std::string& lease) const;  // unanswered release or transfer
  Micros longestRetryPause(Micros now) const;
  void backOff(RequestSlot& slot, Micros now);
  Micros jitter(Micros bound);

  Settings settings_;
  std::uint64_t jitterState_;
  SessionId sessionId_ = 0;
  std::uint64_t sessionsOpened_ = 0;  // part of the nonce
  Micros openFirstSentAt_ = 0;        // first attempt to open the session; 0: none in progress
  Micros sessionValidUntil_ = 0;
  LogIndex lastRenewalIndex_ = 0;
  RequestSlot renewal_, control_;
  std::deque<QueuedCommand> commandQueue_;
  std::uint64_t lastRequestId_ = 0, lastRequestNumber_ = 0, lastPutNumber_ = 0;
  std::map<std::string, bool> wantedLeases_;  // value: recallHolder
  std::set<std::string> awaitedLeases_;       // requested and not yet granted
  std::map<std::string, LocalLease> heldLeases_;
  // Log entry of each lease's last release; renewals up to that entry are outdated for the lease.
  std::map<std::string, LogIndex> releaseIndexes_;
  std::vector<Event> events_;
  bool closing_ = false;
  std::size_t prematureLosses_ = 0;
};

}  // namespace quilltide::fleet
