// Scenarios: processes, timed fault steps and expected output lines, read from TOML (format:
// docs/testing.md). One seed determines all random choices.
#pragma once

#include <cstdint>
#include <filesystem>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "harness.hpp"

namespace quilltide::harness {

struct Step {
  std::int64_t atMs = 0;
  // For processes: start, kill, term, hang_up, pause, wake, lose, save, roll_back, disk_full, disk_free,
  // clock, jump_wall, jump_steady; for links: cut, stall, delay, throttle, reset_after, half_open, refuse,
  // reset, heal
  std::string action;
  // Regexes of process or link names; of several patterns one is chosen at random.
  std::vector<std::string> targetPatterns;
  bool pickOne = false;            // apply to one random match instead of all
  std::string direction = "both";  // toward, back, both
  double value = 0;                // ms, bytes, bytes per second or clock rate
  std::string tag = "copy";        // name of the copy for save and roll_back
};

// Output lines that must appear between afterMs and afterMs + withinMs, or never after afterMs.
struct Expectation {
  std::string processPattern, linePattern;  // regexes
  std::int64_t afterMs = 0, withinMs = 10'000;
  std::size_t minCount = 1;  // at least; with `never`, no line may match from afterMs to the end
  bool never = false;
};

struct Scenario {
  std::string name;
  std::int64_t durationMs = 5'000;
  std::vector<ProcessConfig> processes;
  std::map<std::string, std::string> readyPatterns;  // process name -> regex of its ready line
  std::vector<Step> steps;                           // sorted by time
  std::vector<Expectation> expectations;
};

// All errors of a scenario file, one per line: FILE:LINE: MESSAGE.
struct ScenarioErrors : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Programs without a path are looked up in programFolder. Throws ScenarioErrors.
Scenario parseScenario(const std::string& text, const std::string& path, std::uint64_t seed,
                       const std::filesystem::path& programFolder);

// Applies one step; randomValue selects the target. Throws std::exception if nothing matches or the step
// fails.
void performStep(Harness& harness, const Step& step, std::uint64_t randomValue);

// Runs the whole scenario and blocks until its end. Returns a message for each failed step, unmet expectation
// and crash.
std::vector<std::string> runScenario(Harness& harness, const Scenario& scenario, std::uint64_t seed);

}  // namespace quilltide::harness
