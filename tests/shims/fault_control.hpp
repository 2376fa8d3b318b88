// Faults of system calls that a test switches on in a running program (system_call_faults.cpp).
#pragma once

#include <atomic>
#include <cstdint>

namespace quilltide::shims {

// Content of the file that THISTLEYOKE_FAULT_CONTROL names; mapped by the test and by the program.
struct FaultControl {
  std::atomic<std::uint32_t>
      shortSocketWriteInterval;                // every n-th write to a socket takes one byte; 0: none
  std::atomic<std::int64_t> wallClockOffsetS;  // added to the wall clock, in seconds
  std::atomic<std::int32_t> fileWriteError;    // errno of writes to regular files; 0: they succeed
};

}  // namespace quilltide::shims
