// Search for the leading coordinator.
#include "fleet/lease_client/coordinator_selector.hpp"

#include <algorithm>
#include <utility>

namespace quilltide::fleet {

CoordinatorSelector::CoordinatorSelector(std::vector<std::uint64_t> ids, std::size_t first)
    : ids_(std::move(ids)), lastFailure_(ids_.size(), 0), current_(first) {}

void CoordinatorSelector::recordSuccess(std::size_t index) {
  std::fill(lastFailure_.begin(), lastFailure_.end(), 0);
  current_ = index;
}

void CoordinatorSelector::recordFailure(std::size_t index, std::uint64_t namedLeader) {
  lastFailure_[index] = ++failureCount_;
  // Another request has failed there before, and another coordinator is selected already.
  if (index != current_) return;
  const auto named = std::find(ids_.begin(), ids_.end(), namedLeader);
  const auto namedIndex = static_cast<std::size_t>(named - ids_.begin());
  // A follower names a dead leader until it notices the death. A coordinator that has failed is therefore
  // not asked again before all others have been.
  if (named != ids_.end() && !hasFailed(namedIndex)) {
    current_ = namedIndex;
    return;
  }
  current_ = leastRecentlyFailed();
}

std::size_t CoordinatorSelector::leastRecentlyFailed() const {
  // Starts behind the current one, so that members spread over the coordinators not asked yet.
  std::size_t best = current_;
  for (std::size_t step = 1; step < ids_.size(); ++step) {
    const std::size_t index = (current_ + step) % ids_.size();
    if (best == current_ || lastFailure_[index] < lastFailure_[best]) best = index;
  }
  return best;
}

}  // namespace quilltide::fleet
