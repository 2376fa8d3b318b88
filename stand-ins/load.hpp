// Load generator for one frontend of a forwarder, with partners that answer at once.
#pragma once

#include <cstddef>
#include <nlohmann/json.hpp>
#include <string>

#include "process.hpp"

namespace quilltide::standin {

// What to send, how fast and for how long.
struct LoadPlan {
  std::string frontend = "resp";  // resp, http or batch
  double rate = 1'000;            // messages a second; 0: limited by `maxUnanswered` only
  std::size_t maxUnanswered = 0;  // submissions in flight at rate 0
  double seconds = 5;
  std::size_t partnerCount = 8, connections = 8;
  std::size_t bodyBytes = 64;
  ForwarderProcess::Options options;
};

// Starts a forwarder from `program`, applies the load and returns the figures; blocks until the end.
// Latencies start at the scheduled time of a message, so that delays of the generator count (no coordinated
// omission). Figures: messages, cpu_us (CPU time of the forwarder per message), per_second, answer_ms and
// call_ms (p50, p99, p999, max: until the frontend's answer, and until the partner received the call),
// late_ms (the longest delay of this program behind its schedule), refused, resident_mb, descriptors. Throws
// std::runtime_error if the forwarder does not start or the frontend is unknown.
nlohmann::json runLoad(const std::string& program, const LoadPlan& plan);

}  // namespace quilltide::standin
