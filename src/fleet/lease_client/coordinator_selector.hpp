// Selects the coordinator that a member asks, until it finds the leading one. No I/O and no clock.
//
// Once a coordinator leads, each of the others is asked at most once before it, whatever they answer.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

namespace quilltide::fleet {

class CoordinatorSelector {
 public:
  // `ids` are the ids of the coordinators, not empty; `first` is the index of the one to be asked first.
  CoordinatorSelector(std::vector<std::uint64_t> ids, std::size_t first);

  // Index of the coordinator to be asked next.
  std::size_t current() const { return current_; }
  std::uint64_t idOf(std::size_t index) const { return ids_[index]; }

  // The coordinator answered as the leader; it is selected, and the search is over.
  void recordSuccess(std::size_t index);
  // The coordinator did not answer, or answered that it is not the leader and named `namedLeader` (0: none).
  // Selects another one, unless another one has been selected since the request was sent.
  void recordFailure(std::size_t index, std::uint64_t namedLeader);

 private:
  // Whether the coordinator has failed since the leader last answered.
  bool hasFailed(std::size_t index) const { return lastFailure_[index] != 0; }
  std::size_t leastRecentlyFailed() const;

  std::vector<std::uint64_t> ids_;
  std::vector<std::uint64_t> lastFailure_;  // number of the last failure in this search; 0: none
  std::uint64_t failureCount_ = 0;
  std::size_t current_;
};

}  // namespace quilltide::fleet
