// Decides whether the response that was taken for a call's own can have belonged to another call.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "quilltide/sender.hpp"
#include "upstream/http/call_response.hpp"

namespace quilltide::net {

// The calls of one connection whose outcomes are provisional, and the responses that arrived since the first
// of them was written. A connection carries one call at a time and its responses arrive in the order of the
// calls, but a target or the network may send a response twice, so there may be more responses than calls.
// The own response of call k is then one of the responses k to k + extra, and its outcome is known only if
// all of these say the same. Performs no I/O and reads no clock. Not thread-safe.
class ResponseReview {
 public:
  // One message of a call.
  struct Entry {
    MessageId handle = 0;
    int attempt = 0;
    std::string id;
  };
  // How the review ends: no further response is expected, or the connection was lost before that was known.
  enum class End { noMoreResponses, connectionLost };

  // Adds a call and the response that was taken for its own. With `mayBeRepeat` that can be a repeat of an
  // earlier response although no other one follows, if the call is never answered.
  void addCall(std::vector<Entry> entries, CallResponse response, bool mayBeRepeat);
  // Adds a response that arrived after that of the last call.
  void addExtraResponse(CallResponse response);
  bool empty() const { return calls_.empty(); }
  std::size_t extraResponses() const { return responses_.size() - calls_.size(); }
  // Whether the responses take all the memory that a review may use; it has to end then.
  bool isFull() const { return bodyBytes_ > kMaxBodyBytes; }
  // Whether another call may be written before the review ends: all messages so far seem delivered, so nobody
  // waits for the verdict, and the number of calls is within bounds.
  bool mayAddCall() const;
  // Returns the verdict on each message, and starts a new review.
  std::vector<OutcomeReview> finish(End end);

 private:
  struct Call {
    std::vector<Entry> entries;
    std::vector<std::string> ids;  // of the entries, in the same order
    bool mayBeRepeat = false;
  };
  void addResponse(CallResponse response);
  std::vector<OutcomeReview::Verdict> verdictsOf(std::size_t callIndex, End end) const;

  static constexpr std::size_t kMaxBodyBytes = 128 * kKiB;

  std::vector<Call> calls_;
  std::vector<CallResponse> responses_;  // that of call k first, extra ones last
  std::size_t bodyBytes_ = 0;            // of responses_
};

}  // namespace quilltide::net
