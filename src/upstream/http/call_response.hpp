// Parses the HTTP response to a call and derives the result of each message of the call.
#pragma once

#include <boost/beast/http.hpp>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "net/bounded_input.hpp"
#include "net/bounded_parser.hpp"
#include "quilltide/sender.hpp"

namespace quilltide::net {

// Result of one message of a call.
struct MessageResult {
  CallResult callResult = CallResult::error;
  bool endsMessage = false;         // the message is complete and must not be sent again
  bool noFreeSlot = false;          // 503 with `X-No-Slot: 1`
  bool unreadableResponse = false;  // malformed response: the message may have been executed
};

// Incremental parser of one response and any interim responses before it.
class CallResponse {
 public:
  enum class Progress { incomplete, complete, malformed };

  CallResponse() { reset(); }
  // Discards what was parsed and prepares for the next response.
  void reset();
  ResponseParser& parser() { return *parser_; }
  const ResponseParser& parser() const { return *parser_; }
  // Parses what the input's buffer holds, up to the end of this response, and consumes it.
  Progress parse(BoundedInput& input);

  unsigned status() const { return parser_->get().result_int(); }
  std::size_t bodyBytes() const { return parser_->get().body().size(); }
  // Whether the target keeps the connection open after this response.
  bool keepsConnection() const { return parser_->keep_alive(); }
  // True for an interim (1xx) response; the final response follows it.
  bool isInterim() const;
  // True once a status line with 200 was read. For a call with a single message that alone proves delivery,
  // even if the rest of the response is malformed or missing.
  bool hasStatusOk() const;
  // Value of `X-Retry-In-Ms`, limited to `maxWait`; 0 if the header is absent, negative or not a number.
  Micros retryAfter(Micros maxWait) const;
  // The load report of the `X-Load` header (for example `X-Load: x0=0.4,x1=25`). Empty if the header is
  // absent, repeated or malformed in any part. All values are finite and not negative.
  LoadReport loadReport() const;
  // True for a 200 response whose body names messages and their results, and none of `ids` among them.
  bool namesOnlyOthers(const std::vector<std::string>& ids) const;
  // Results of the messages `ids`, in that order. The response must have been read to its end.
  std::vector<MessageResult> messageResults(const std::vector<std::string>& ids) const;

 private:
  // Result that the status gives to all messages; none for 200.
  std::optional<MessageResult> commonResult() const;
  // Results by message id, from the body of a 200 response; none if a line is malformed.
  std::optional<std::map<std::string, MessageResult>> resultsById() const;
  std::unique_ptr<ResponseParser> parser_;
};

}  // namespace quilltide::net
