#include "directory/watch_schedule.hpp"

#include <algorithm>

namespace quilltide::net {
namespace {

using std::chrono::milliseconds;

// Discovery sends a keep-alive every 2 s. Changes missed by a silent watch must be in force 6 s after it fell
// silent.
constexpr milliseconds kKeepAliveTimeout{3'000};
// The service queues requests and rejects those that waited for 2 s.
constexpr milliseconds kServiceHeaderTimeout{2'600};
constexpr milliseconds kAgentHeaderTimeout{1'200};
// Header timeout of a watch that replaces a silent one, multiplied by the number of consecutive timeouts.
// Together with the silence, two attempts fit into 6 s.
constexpr milliseconds kHeaderTimeoutAfterSilence{1'200};
// From the header to the first line, which is the list or the keep-alive after 2 s.
constexpr milliseconds kFirstLineTimeout{2'200};
constexpr milliseconds kAttemptTimeout{4'000};  // from the connect to the first line
constexpr int kMaxConsecutiveTimeouts = 3;      // the next one is reported as a failure
// Spreads the reopening of watches that fell silent together.
constexpr milliseconds kMaxReopenJitter{200};
// Between the starts of consecutive attempts; doubled with each failure.
constexpr milliseconds kServiceMinBackoff{100}, kServiceMaxBackoff{1'600};
constexpr milliseconds kAgentMinBackoff{20}, kAgentMaxBackoff{50};
constexpr int kMaxBackoffDoublings = 10;
// A new address must be in force within 4 s. Until then the watch is reopened here, because the decision
// module spreads the requests of a fleet over a longer time.
constexpr milliseconds kAddressChangeWindow{4'000};
constexpr milliseconds kAddressChangeMaxBackoff{800};
// Delay of processes that have not requested a watch before the address changed.
constexpr milliseconds kMaxFirstRequestJitter{1'000};

}  // namespace

WatchSchedule::WatchSchedule(Source source, std::uint64_t seed) : source_(source), random_(seed) {}

milliseconds WatchSchedule::onWatchRequested(TimePoint now) {
  consecutiveTimeouts_ = 0;
  return backoff(now);
}

milliseconds WatchSchedule::onAddressChanged(TimePoint now, bool watchActive) {
  addressChangedAt_ = now;
  addressEverChanged_ = true;
  consecutiveFailures_ = 0;
  consecutiveTimeouts_ = 0;
  if (watchActive) return milliseconds(0);
  return milliseconds(
      static_cast<int>(uniformRandom() * static_cast<double>(kMaxFirstRequestJitter.count())));
}

milliseconds WatchSchedule::onOpened(TimePoint now) {
  openedAt_ = backoffStart_ = now;
  dataReceived_ = false;
  if (consecutiveTimeouts_ > 0) return kHeaderTimeoutAfterSilence * consecutiveTimeouts_;
  return source_ == Source::agent ? kAgentHeaderTimeout : kServiceHeaderTimeout;
}

milliseconds WatchSchedule::onHeaderReceived(TimePoint now) {
  const auto remaining = std::chrono::duration_cast<milliseconds>(openedAt_ + kAttemptTimeout - now);
  return std::clamp(remaining, milliseconds(1), kFirstLineTimeout);
}

milliseconds WatchSchedule::onDataReceived() {
  dataReceived_ = true;
  consecutiveFailures_ = 0;
  consecutiveTimeouts_ = 0;
  return kKeepAliveTimeout;
}

WatchSchedule::NextStep WatchSchedule::onTimeout(TimePoint now) {
  if (consecutiveTimeouts_ == kMaxConsecutiveTimeouts) return onFailure(now);
  ++consecutiveTimeouts_;
  return reopenAfter(
      milliseconds(static_cast<int>(uniformRandom() * static_cast<double>(kMaxReopenJitter.count()))));
}

WatchSchedule::NextStep WatchSchedule::onFailure(TimePoint now) {
  ++consecutiveFailures_;
  consecutiveTimeouts_ = 0;
  if (dataReceived_) backoffStart_ = now;
  if (!addressChangedRecently(now)) return {};
  return reopenAfter(backoff(now));
}

WatchSchedule::NextStep WatchSchedule::reopenAfter(milliseconds delay) { return {true, delay}; }

bool WatchSchedule::addressChangedRecently(TimePoint now) const {
  return addressEverChanged_ && now < addressChangedAt_ + kAddressChangeWindow;
}

// Remaining delay, counted from the start of the failed attempt.
milliseconds WatchSchedule::backoff(TimePoint now) {
  if (consecutiveFailures_ == 0) return milliseconds(0);
  const bool isAgent = source_ == Source::agent;
  const milliseconds minBackoff = isAgent ? kAgentMinBackoff : kServiceMinBackoff;
  const milliseconds maxBackoff = isAgent                       ? kAgentMaxBackoff
                                  : addressChangedRecently(now) ? kAddressChangeMaxBackoff
                                                                : kServiceMaxBackoff;
  const milliseconds fullBackoff =
      std::min(maxBackoff, minBackoff * (1 << std::min(consecutiveFailures_ - 1, kMaxBackoffDoublings)));
  const auto jitteredBackoff =
      std::chrono::duration_cast<milliseconds>((0.5 + 0.5 * uniformRandom()) * fullBackoff);
  const auto elapsed = std::chrono::duration_cast<milliseconds>(now - backoffStart_);
  return std::max(milliseconds(0), jitteredBackoff - elapsed);
}

}  // namespace quilltide::net
