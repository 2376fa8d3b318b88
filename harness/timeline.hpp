// The timeline of a harness: its faults, process starts and exits, and all output lines of the processes in
// one order.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace quilltide::harness {

// Not thread-safe. Keeps a limited number of entries and cuts off long texts.
class Timeline {
 public:
  using Clock = std::chrono::steady_clock;
  struct Entry {
    std::int64_t timeUs = 0;  // since the timeline was created
    std::string sourceName;   // name of the process, "harness" or "witness"
    std::string text;
  };

  void add(const std::string& sourceName, const std::string& text);
  const std::vector<Entry>& entries() const { return entries_; }
  std::size_t dropped() const { return dropped_; }  // entries beyond the limit
  // Entries from index firstEntry on whose source name matches entirely and whose text contains a match.
  std::size_t countMatches(const std::string& sourceName, const std::string& regex,
                           std::size_t firstEntry = 0) const;
  std::string text(std::size_t lastEntries = 0) const;  // 0: all entries
  std::int64_t nowUs() const;

 private:
  Clock::time_point start_ = Clock::now();
  std::vector<Entry> entries_;
  std::size_t dropped_ = 0;
};

}  // namespace quilltide::harness
