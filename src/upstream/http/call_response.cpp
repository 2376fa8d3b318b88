#include "upstream/http/call_response.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <sstream>

namespace quilltide::net {
namespace {

constexpr std::size_t kMaxLoadMetrics = 16;

}  // namespace

void CallResponse::reset() {
  parser_ = std::make_unique<ResponseParser>(kTargetInput);
  parser_->get().result(0U);  // Beast initializes the status to 200 before anything is read
}

CallResponse::Progress CallResponse::parse(BoundedInput& input) {
  InputBuffer& buffer = input.buffer();
  while (buffer.size() > 0) {
    boost::system::error_code error;
    const std::size_t count = parser_->put(buffer.data(), error);
    buffer.consume(count);
    if (!parser_->is_header_done() && parser_->headBytes() + buffer.size() > kTargetInput.headBytes)
      error = boost::beast::http::error::header_limit;
    if (error == boost::beast::http::error::need_more) return Progress::incomplete;
    if (error) {
      input.reportParserError(error);
      return Progress::malformed;
    }
    if (parser_->is_done()) return Progress::complete;
    if (count == 0) return Progress::incomplete;
  }
  return Progress::incomplete;
}

bool CallResponse::isInterim() const { return status() >= 100 && status() < 200; }

bool CallResponse::hasStatusOk() const { return status() == 200; }

Micros CallResponse::retryAfter(Micros maxWait) const {
  const auto text = parser_->get()["X-Retry-In-Ms"];
  std::int64_t ms = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), ms);
  if (end != text.data() + text.size() || ms < 0) return 0;
  if (error == std::errc::result_out_of_range) return text.front() == '-' ? 0 : maxWait;
  return error != std::errc() ? 0 : std::min(ms, maxWait / 1000) * 1000;
}

LoadReport CallResponse::loadReport() const {
  if (parser_->get().count("X-Load") != 1) return {};
  LoadReport report;
  const auto text = parser_->get()["X-Load"];
  for (std::size_t start = 0; start <= text.size();) {
    const std::size_t end = std::min(text.find(',', start), text.size());
    const auto pair = text.substr(start, end - start);
    const std::size_t equals = pair.find('=');
    if (equals == 0 || equals == pair.npos || report.size() == kMaxLoadMetrics) return {};
    const char* pairEnd = pair.data() + pair.size();
    double value = 0;
    const auto [parsedEnd, error] = std::from_chars(pair.data() + equals + 1, pairEnd, value);
    if (error != std::errc() || parsedEnd != pairEnd || !std::isfinite(value) || value < 0) return {};
    if (!report.emplace(std::string(pair.substr(0, equals)), value).second) return {};
    start = end + 1;
  }
  return report;
}

std::optional<MessageResult> CallResponse::commonResult() const {
  const auto& response = parser_->get();
  switch (response.result_int()) {
    case 200:
      return std::nullopt;
    case 410:
      return MessageResult{CallResult::skipped, true};
    case 503:
      if (response["X-No-Slot"] == "1") return MessageResult{CallResult::skipped, false, true};
      return MessageResult{CallResult::busy};
    case 429:
      return MessageResult{CallResult::busy};
    case 504:
    case 400:
    case 413:
      return MessageResult{CallResult::skipped};
    default:
      return MessageResult{CallResult::error};
  }
}

std::optional<std::map<std::string, MessageResult>> CallResponse::resultsById() const {
  static const std::map<std::string, MessageResult> resultsByWord = {{"ok", {CallResult::succeeded, true}},
                                                                     {"error", {CallResult::error}},
                                                                     {"later", {CallResult::busy}},
                                                                     {"gone", {CallResult::skipped, true}},
                                                                     {"exhausted", {CallResult::skipped}}};
  std::map<std::string, MessageResult> results;
  std::istringstream lines(parser_->get().body());
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty() && line.back() == '\r') line.pop_back();
    if (line.empty()) continue;
    const std::size_t space = line.find(' ');
    const auto known =
        space == std::string::npos ? resultsByWord.end() : resultsByWord.find(line.substr(space + 1));
    if (known == resultsByWord.end() || !results.emplace(line.substr(0, space), known->second).second)
      return std::nullopt;
  }
  return results;
}

bool CallResponse::namesOnlyOthers(const std::vector<std::string>& ids) const {
  if (!hasStatusOk()) return false;
  const auto results = resultsById();
  return results && !results->empty() &&
         std::none_of(ids.begin(), ids.end(), [&](const std::string& id) { return results->contains(id); });
}

// The body of a 200 response to several messages holds one line per message. If any line is missing or
// malformed, the whole response counts as unreadable.
std::vector<MessageResult> CallResponse::messageResults(const std::vector<std::string>& ids) const {
  if (const auto common = commonResult()) return std::vector<MessageResult>(ids.size(), *common);
  if (ids.size() == 1) return {MessageResult{CallResult::succeeded, true}};
  const std::vector<MessageResult> allUnreadable(ids.size(),
                                                 MessageResult{CallResult::error, false, false, true});
  const auto byId = resultsById();
  if (!byId) return allUnreadable;
  std::vector<MessageResult> results;
  for (const std::string& id : ids) {
    const auto found = byId->find(id);
    if (found == byId->end()) return allUnreadable;
    results.push_back(found->second);
  }
  return results;
}

}  // namespace quilltide::net
