// Keeps and prints what happened.
#include "timeline.hpp"

#include <algorithm>
#include <cstdio>
#include <regex>

namespace quilltide::harness {
namespace {

constexpr std::size_t kMostEntries =
    400'000;  // some 100 MB at worst: a process that logs without end is cut short
constexpr std::size_t kLongestText = 400;

}  // namespace

std::int64_t Timeline::now() const {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - begin_).count();
}

void Timeline::add(const std::string& who, const std::string& text) {
  if (entries_.size() >= kMostEntries) {
    ++dropped_;
    return;
  }
  entries_.push_back({now(), who, text.substr(0, kLongestText)});
}

std::size_t Timeline::count(const std::string& who, const std::string& regex, std::size_t from) const {
  const std::regex name(who), line(regex);
  std::size_t found = 0;
  for (std::size_t i = from; i < entries_.size(); ++i)
    found += std::regex_match(entries_[i].who, name) && std::regex_search(entries_[i].text, line);
  return found;
}

std::string Timeline::text(std::size_t last) const {
  std::string out;
  for (std::size_t i = last == 0 ? 0 : entries_.size() - std::min(last, entries_.size()); i < entries_.size();
       ++i) {
    char head[64];
    std::snprintf(head, sizeof head, "%10.3f ms  %-12s ", static_cast<double>(entries_[i].us) / 1'000,
                  entries_[i].who.c_str());
    out += head + entries_[i].text + "\n";
  }
  if (dropped_ > 0) out += "and " + std::to_string(dropped_) + " entries more, not kept\n";
  return out;
}

}  // namespace quilltide::harness
