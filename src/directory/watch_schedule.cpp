// The times of the watch on the list of targets, and their reasons.
#include "directory/watch_schedule.hpp"

#include <algorithm>

namespace quilltide::net {
namespace {

using std::chrono::milliseconds;

// While nothing changes an empty line comes every 2 s, and what a silent watch misses binds 6 s after its
// silence began.
constexpr milliseconds kLineWithin{3'000};
// A service works through its calls in turn and ends those that waited too long by itself, after 2 s on the
// slowest site known: until then the head of the answer may take its time.
constexpr milliseconds kServiceHeadWithin{2'600};
constexpr milliseconds kAgentHeadWithin{1'200};
// A watch that takes a silent one's place has so long for its head, twice as long the second time, and so on:
// with the silence itself two of them fit into the 6 s.
constexpr milliseconds kHeadAfterSilence{1'200};
// The head alone does not prove that the list arrives; the first line is there at once, or is the empty one
// after 2 s.
constexpr milliseconds kFirstLineWithin{2'200};
constexpr milliseconds kAttemptWithin{4'000};  // from the connect to the first line
constexpr int kSilencesInARow = 3;             // then the loss is reported
constexpr milliseconds kReopenSpread{
    200};  // watches that fell silent together are not all opened at one instant
// From the begin of one attempt to the begin of the next; doubled with each failure.
constexpr milliseconds kServiceBackoff{100}, kServiceBackoffMost{1'600};
constexpr milliseconds kAgentBackoff{20}, kAgentBackoffMost{50};
constexpr int kMostDoublings = 10;
// A new address binds 4 s after it was told, so meanwhile its failures are not left to the module, which
// spreads what a whole fleet asks over longer than that.
constexpr milliseconds kMovedFor{4'000};
constexpr milliseconds kMovedBackoffMost{800};
constexpr milliseconds kFirstAskSpread{1'000};  // of processes that have not asked yet when they are told

}  // namespace

WatchSchedule::WatchSchedule(Source source, std::uint64_t seed) : source_(source), random_(seed) {}

milliseconds WatchSchedule::requested(TimePoint now) {
  silences_ = 0;
  return backoff(now);
}

milliseconds WatchSchedule::moved(TimePoint now, bool open) {
  movedAt_ = now;
  everMoved_ = true;
  failures_ = 0;
  silences_ = 0;
  if (open) return milliseconds(0);
  return milliseconds(static_cast<int>(uniform() * static_cast<double>(kFirstAskSpread.count())));
}

milliseconds WatchSchedule::opened(TimePoint now) {
  openedAt_ = backoffFrom_ = now;
  stood_ = false;
  if (silences_ > 0) return kHeadAfterSilence * silences_;
  return source_ == Source::agent ? kAgentHeadWithin : kServiceHeadWithin;
}

milliseconds WatchSchedule::headCame(TimePoint now) {
  const auto left = std::chrono::duration_cast<milliseconds>(openedAt_ + kAttemptWithin - now);
  return std::clamp(left, milliseconds(1), kFirstLineWithin);
}

milliseconds WatchSchedule::lineCame() {
  stood_ = true;
  failures_ = 0;
  silences_ = 0;
  return kLineWithin;
}

WatchSchedule::Next WatchSchedule::timedOut(TimePoint now) {
  if (silences_ == kSilencesInARow) return failed(now);
  ++silences_;
  return reopenAfter(milliseconds(static_cast<int>(uniform() * static_cast<double>(kReopenSpread.count()))));
}

WatchSchedule::Next WatchSchedule::failed(TimePoint now) {
  ++failures_;
  silences_ = 0;
  if (stood_) backoffFrom_ = now;
  if (!movedLately(now)) return {};
  return reopenAfter(backoff(now));
}

WatchSchedule::Next WatchSchedule::reopenAfter(milliseconds delay) { return {true, delay}; }

bool WatchSchedule::movedLately(TimePoint now) const { return everMoved_ && now < movedAt_ + kMovedFor; }

// Counted from the begin of an attempt that failed: one that took its time has waited already.
milliseconds WatchSchedule::backoff(TimePoint now) {
  if (failures_ == 0) return milliseconds(0);
  const bool agent = source_ == Source::agent;
  const milliseconds first = agent ? kAgentBackoff : kServiceBackoff;
  const milliseconds most = agent              ? kAgentBackoffMost
                            : movedLately(now) ? kMovedBackoffMost
                                               : kServiceBackoffMost;
  const milliseconds grown = std::min(most, first * (1 << std::min(failures_ - 1, kMostDoublings)));
  const auto spread = std::chrono::duration_cast<milliseconds>((0.5 + 0.5 * uniform()) * grown);
  const auto passed = std::chrono::duration_cast<milliseconds>(now - backoffFrom_);
  return std::max(milliseconds(0), spread - passed);
}

}  // namespace quilltide::net
