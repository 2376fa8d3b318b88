// Implementation of the timeline.
#include "timeline.hpp"

#include <algorithm>
#include <cstdio>
#include <regex>

namespace quilltide::harness {
namespace {

constexpr std::size_t kMaxEntries = 400'000;  // bounds memory to about 100 MB
constexpr std::size_t kMaxTextLength = 400;

}  // namespace

std::int64_t Timeline::nowUs() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - start_).count();
}

void Timeline::add(const std::string& sourceName, const std::string& text) {
  if (entries_.size() >= kMaxEntries) {
    ++dropped_;
    return;
  }
  entries_.push_back({nowUs(), sourceName, text.substr(0, kMaxTextLength)});
}

std::size_t Timeline::countMatches(const std::string& sourceName, const std::string& regex,
                                   std::size_t firstEntry) const {
  const std::regex sourcePattern(sourceName), textPattern(regex);
  std::size_t matches = 0;
  for (std::size_t i = firstEntry; i < entries_.size(); ++i)
    matches += std::regex_match(entries_[i].sourceName, sourcePattern) &&
               std::regex_search(entries_[i].text, textPattern);
  return matches;
}

std::string Timeline::text(std::size_t lastEntries) const {
  std::string out;
  for (std::size_t i = lastEntries == 0 ? 0 : entries_.size() - std::min(lastEntries, entries_.size());
       i < entries_.size(); ++i) {
    char prefix[64];
    std::snprintf(prefix, sizeof prefix, "%10.3f ms  %-12s ", static_cast<double>(entries_[i].timeUs) / 1'000,
                  entries_[i].sourceName.c_str());
    out += prefix + entries_[i].text + "\n";
  }
  if (dropped_ > 0) out += "and " + std::to_string(dropped_) + " more entries were dropped\n";
  return out;
}

}  // namespace quilltide::harness
