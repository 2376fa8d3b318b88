#include "upstream/http/response_review.hpp"

#include <algorithm>
#include <utility>

namespace quilltide::net {
namespace {

using Verdict = OutcomeReview::Verdict;

constexpr std::size_t kMaxCallsPerReview = 4;  // bounds how long the first of them waits for its verdict

bool saysTheSame(const MessageResult& first, const MessageResult& second) {
  return first.callResult == second.callResult && first.endsMessage == second.endsMessage;
}

}  // namespace

void ResponseReview::addCall(std::vector<Entry> entries, CallResponse response, bool mayBeRepeat) {
  Call& call = calls_.emplace_back();
  for (const Entry& entry : entries) call.ids.push_back(entry.id);
  call.entries = std::move(entries);
  call.mayBeRepeat = mayBeRepeat;
  addResponse(std::move(response));
}

void ResponseReview::addExtraResponse(CallResponse response) { addResponse(std::move(response)); }

void ResponseReview::addResponse(CallResponse response) {
  bodyBytes_ += response.bodyBytes();
  responses_.push_back(std::move(response));
}

bool ResponseReview::mayAddCall() const {
  if (extraResponses() > 0 || isFull() || calls_.size() >= kMaxCallsPerReview) return false;
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    const std::vector<MessageResult> results = responses_[i].messageResults(calls_[i].ids);
    const bool allEnded = std::all_of(results.begin(), results.end(),
                                      [](const MessageResult& result) { return result.endsMessage; });
    if (!allEnded) return false;
  }
  return true;
}

std::vector<Verdict> ResponseReview::verdictsOf(std::size_t callIndex, End end) const {
  const Call& call = calls_[callIndex];
  if (extraResponses() == 0) {
    const Verdict verdict =
        end == End::noMoreResponses && !call.mayBeRepeat ? Verdict::confirmed : Verdict::unverified;
    return std::vector<Verdict>(call.entries.size(), verdict);
  }
  const std::vector<MessageResult> taken = responses_[callIndex].messageResults(call.ids);
  std::vector<Verdict> verdicts(call.entries.size(), Verdict::confirmed);
  for (std::size_t extra = 1; extra <= extraResponses(); ++extra) {
    const std::vector<MessageResult> other = responses_[callIndex + extra].messageResults(call.ids);
    for (std::size_t i = 0; i < taken.size(); ++i) {
      // A response that names other messages is not this call's.
      if (!other[i].unreadableResponse && !saysTheSame(taken[i], other[i])) verdicts[i] = Verdict::disproved;
    }
  }
  return verdicts;
}

std::vector<OutcomeReview> ResponseReview::finish(End end) {
  std::vector<OutcomeReview> reviews;
  for (std::size_t callIndex = 0; callIndex < calls_.size(); ++callIndex) {
    const std::vector<Verdict> verdicts = verdictsOf(callIndex, end);
    const std::vector<Entry>& entries = calls_[callIndex].entries;
    for (std::size_t i = 0; i < entries.size(); ++i)
      reviews.push_back({entries[i].handle, entries[i].attempt, verdicts[i]});
  }
  calls_.clear();
  responses_.clear();
  bodyBytes_ = 0;
  return reviews;
}

}  // namespace quilltide::net
