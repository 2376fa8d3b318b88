// Reads the system clocks; in test builds maps them by the shared file that a test harness writes.
#include "clock/clock.hpp"

#include <time.h>

#include <chrono>

#ifdef QUILLTIDE_TEST_CLOCK
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <atomic>
#include <cstdlib>
#endif

namespace quilltide::clocks {
namespace {

template <typename Clock>
Micros realNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

#ifdef QUILLTIDE_TEST_CLOCK
const ClockFile* clockFile() {
  static const ClockFile* const mapped = []() -> const ClockFile* {
    const char* path = std::getenv("THISTLEYOKE_TEST_CLOCK");
    if (path == nullptr) return nullptr;
    const int file = ::open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) return nullptr;
    void* address = ::mmap(nullptr, sizeof(ClockFile), PROT_READ, MAP_SHARED, file, 0);
    ::close(file);
    return address == MAP_FAILED ? nullptr : static_cast<const ClockFile*>(address);
  }();
  return mapped;
}

Micros mapClock(Micros real, ClockMapping ClockFile::*clock) {
  const ClockFile* file = clockFile();
  if (file == nullptr) return real;
  const volatile std::uint64_t& version = file->version;
  for (;;) {
    const std::uint64_t versionBefore = version;
    std::atomic_thread_fence(std::memory_order_acquire);
    const ClockMapping mapping = file->*clock;
    std::atomic_thread_fence(std::memory_order_acquire);
    if (versionBefore % 2 == 0 && versionBefore == version)
      return mapping.shownOrigin +
             static_cast<Micros>(static_cast<double>(real - mapping.realOrigin) * mapping.rate);
  }
}
#else
Micros mapClock(Micros real, ClockMapping ClockFile::*) { return real; }
#endif

}  // namespace

Micros steadyNow() { return mapClock(realNow<std::chrono::steady_clock>(), &ClockFile::steady); }

Micros bootNow() {
#ifdef QUILLTIDE_TEST_CLOCK
  if (clockFile() != nullptr) return steadyNow();
#endif
  timespec now{};
  ::clock_gettime(CLOCK_BOOTTIME, &now);
  return static_cast<Micros>(now.tv_sec) * 1'000'000 + now.tv_nsec / 1'000;
}

Micros wallNow() { return mapClock(realNow<std::chrono::system_clock>(), &ClockFile::wall); }

}  // namespace quilltide::clocks
