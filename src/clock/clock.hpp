// Reads the system clocks, or in test builds simulated clocks that a test harness controls.
#pragma once

#include <cstdint>

namespace quilltide::clocks {

using Micros = std::int64_t;  // microseconds

// Monotonic time since an arbitrary point. Advances while this process is stopped by a signal.
Micros steadyNow();
// Monotonic time that also advances while the machine is suspended. Used for lease terms.
Micros bootNow();
// Time since 1970; may step in either direction.
Micros wallNow();

// Mapping of a real clock to a simulated one: simulated = shownOrigin + (real - realOrigin) * rate.
struct ClockMapping {
  Micros realOrigin = 0, shownOrigin = 0;
  double rate = 1.0;
};
// Content of the file that THISTLEYOKE_TEST_CLOCK names, for programs built with QUILLTIDE_TEST_CLOCK. The
// writer keeps `version` odd while it writes.
struct ClockFile {
  std::uint64_t version = 0;
  ClockMapping steady, wall;
};

}  // namespace quilltide::clocks
