// Tracks session and lease deadlines on the leading coordinator. No I/O; the caller passes the time.
//
// A holder measures its term on its own clock from before it sent the renewal, shortened by the maximum clock
// drift. The coordinator measures it from when the renewal was applied, lengthened by that drift. As long as
// each clock is within `maxClockDrift` of true time, no holder relies on a lease that has expired here. A new
// leader knows no renewal times and restarts every term. That is safe: all renewals that its predecessor
// answered were sent before, since a majority that elects a leader accepts no more entries from the old one.
#pragma once

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fleet/state/state.hpp"

namespace quilltide::fleet {

// Proposes the expiry of sessions, the recall and expiry of leases, and the end of a grace period. Not
// thread-safe.
class ExpiryTracker {
 public:
  struct Settings {
    double maxClockDrift = 0.01;      // maximum rate error of any clock of the fleet, as a fraction
    Micros recallAfter = 30'000'000;  // holding time after which an awaited lease is recalled; 0: never
    // A dueCommands() call that is late by more than this means that this coordinator was stalled.
    Micros stallThreshold = 250'000;
    Micros reproposeAfter = 1'000'000;      // pause before an unapplied command is proposed again
    std::size_t maxSessionsPerEntry = 500;  // maximum number of sessions in one ExpireSessions entry
  };
  explicit ExpiryTracker(const Settings& settings) : settings_(settings) {}

  // Starts all terms anew for the sessions and leases in `state`.
  void startLeading(const State& state, Micros now);
  void stopLeading();
  bool isLeading() const { return leading_; }
  // Updates deadlines from the effects of an applied entry; ignored while not leading.
  void observe(const State& state, const std::vector<Effect>& effects, Micros now);
  // Commands to propose now. After a stall of this coordinator all deadlines are extended by its length,
  // since renewals could not be received during that time.
  std::vector<Command> dueCommands(const State& state, Micros now);
  // Latest time for the next dueCommands() call.
  Micros nextCheck(Micros now) const;
  // When the session expires unless renewed; 0: unknown.
  Micros sessionDeadline(SessionId session) const;

 private:
  Micros extendedTerm(Micros ttl) const {
    return static_cast<Micros>(static_cast<double>(ttl) * (1 + settings_.maxClockDrift)) + 1;
  }
  void setSessionDeadline(SessionId session, Micros deadline);
  void removeSessionDeadline(SessionId session);
  void updateLeaseDeadline(const State& state, const std::string& lease, Micros now);
  void updateGracePeriod(const State& state, Micros now);

  struct LeaseDeadline {
    FencingToken token = 0;
    Micros expiresAt = 0;  // time of the recall or, once recalled, of the expiry; 0: never
    bool recalled = false;
  };
  Settings settings_;
  bool leading_ = false;
  Micros nextCheckAt_ = 0;  // latest time of the next dueCommands() call
  std::map<SessionId, Micros> sessionDeadlines_;
  std::set<std::pair<Micros, SessionId>> sessionsByDeadline_;
  Micros gracePeriodEnd_ = 0;                            // 0: no grace period
  std::uint32_t gracePeriodGeneration_ = 0;              // generation that the grace period belongs to
  std::map<std::string, LeaseDeadline> leaseDeadlines_;  // of awaited and recalled leases
};

}  // namespace quilltide::fleet
