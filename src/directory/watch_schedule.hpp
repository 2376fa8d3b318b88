// Decides when the watch on the list of targets is opened and how long each of its steps may take. Performs
// no I/O and reads no clock: the caller passes the time and carries out the returned steps.
//
// Bound: a change must be in force within 6 s of being available from a reachable discovery service, whatever
// failed before. An attempt ends after kAttemptTimeout at most. The next one follows within kMaxReopenJitter
// if this class reopens the watch, or else when the decision module requests it (at most 4.4 s after its last
// request). tests/watch_schedule_test.cpp checks the bound for each failure at varying offsets.
//
// Single-threaded. Durations are milliseconds; TimePoint must be monotonic.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

namespace quilltide::net {

// Timeouts, backoff and jitter of the directory watch.
class WatchSchedule {
 public:
  using Clock = std::chrono::steady_clock;
  using TimePoint = Clock::time_point;
  using milliseconds = std::chrono::milliseconds;

  // service: shared by the whole fleet, so requests are spread. agent: local to this machine.
  enum class Source { service, agent };

  // What to do after a watch has ended.
  struct NextStep {
    // True: open it again after `delay`. False: report the loss and wait for the next request.
    bool reopen = false;
    milliseconds delay{0};
  };

  WatchSchedule(Source source, std::uint64_t seed);

  // A watch is requested. Returns the delay before it is opened.
  milliseconds onWatchRequested(TimePoint now);
  // The address has changed, which clears the failure counts. Returns the delay before the watch is opened
  // there. `watchActive`: a watch was open or requested.
  milliseconds onAddressChanged(TimePoint now, bool watchActive);

  // Each returns the timeout for the next activity, from now on.
  milliseconds onOpened(TimePoint now);          // connect started: until the response header
  milliseconds onHeaderReceived(TimePoint now);  // until the first line
  milliseconds onDataReceived();                 // a line or part of a long one: until the next

  NextStep onTimeout(TimePoint now);  // the last returned timeout has passed
  NextStep onFailure(TimePoint now);  // refused, reset, ended or malformed

 private:
  NextStep reopenAfter(milliseconds delay);
  milliseconds backoff(TimePoint now);
  double uniformRandom() { return std::uniform_real_distribution<double>()(random_); }
  bool addressChangedRecently(TimePoint now) const;

  Source source_;
  std::mt19937_64 random_;
  TimePoint openedAt_{};       // connect of the last attempt
  TimePoint backoffStart_{};   // openedAt_, or the end of a watch that received data
  bool dataReceived_ = false;  // since openedAt_
  TimePoint addressChangedAt_{};
  bool addressEverChanged_ = false;
  int consecutiveFailures_ = 0;
  int consecutiveTimeouts_ = 0;
};

}  // namespace quilltide::net
