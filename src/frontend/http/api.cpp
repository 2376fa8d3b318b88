// Parsing and validation of HTTP API requests, and serialization of responses.
#include "frontend/http/api.hpp"

#include <algorithm>
#include <boost/archive/iterators/binary_from_base64.hpp>
#include <boost/archive/iterators/transform_width.hpp>
#include <charconv>
#include <set>

namespace quilltide::net::api {
namespace {

namespace http = boost::beast::http;
using nlohmann::json;

constexpr std::string_view kMessagesPath = "/v1/messages";
constexpr std::string_view kBatchPath = "/v1/messages/batch";
constexpr std::string_view kEndsPath = "/v1/ends";

Problem badRequest(std::string detail) { return {400, "bad-request", std::move(detail), 0, nullptr}; }

std::optional<std::int64_t> parseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, parseError] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parseError != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return value;
}

// RFC 3986, section 2.1. Returns nullopt if a '%' is not followed by two hexadecimal digits.
std::optional<std::string> percentDecode(std::string_view text, bool plusIsSpace) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    if (text[i] == '+' && plusIsSpace) {
      out += ' ';
    } else if (text[i] != '%') {
      out += text[i];
    } else {
      unsigned value = 0;
      if (text.size() - i < 3) return std::nullopt;
      const auto [end, parseError] = std::from_chars(text.data() + i + 1, text.data() + i + 3, value, 16);
      if (parseError != std::errc() || end != text.data() + i + 3) return std::nullopt;
      out += static_cast<char>(value);
      i += 2;
    }
  }
  return out;
}

// RFC 4648, section 4. Returns nullopt on a wrong length or a character outside the alphabet.
std::optional<std::string> decodeBase64(std::string text) {
  using namespace boost::archive::iterators;
  using Bytes = transform_width<binary_from_base64<std::string::const_iterator>, 8, 6>;
  const std::size_t padding = text.ends_with("==") ? 2 : text.ends_with("=") ? 1 : 0;
  if (text.size() % 4 != 0 || text.find('=') < text.size() - padding) return std::nullopt;
  text.replace(text.size() - padding, padding, padding, 'A');
  try {
    std::string out(Bytes(text.cbegin()), Bytes(text.cend()));
    out.resize(out.size() - padding);
    return out;
  } catch (const dataflow_exception&) {
    return std::nullopt;
  }
}

// The fields of a message other than its body, as text.
struct MessageFields {
  std::optional<std::string> id, className, destination, timeLeftMs, key;
};

std::variant<Submission, Problem> buildSubmission(const MessageFields& fields, const SettingNames& names,
                                                  const std::function<std::string()>& newId) {
  Submission result;
  if (!fields.className) return badRequest("class is missing");
  const auto classIndex = names.classIndex(*fields.className);
  if (!classIndex) return badRequest("class '" + *fields.className + "' is unknown");
  result.messageClass = *classIndex;
  if (!fields.destination) return badRequest("destination is missing");
  const auto destination = parseInteger(*fields.destination);
  if (!destination) return badRequest("destination must be an integer");
  result.destination = *destination;
  if (!fields.timeLeftMs) return badRequest("time_left_ms is missing");
  const auto timeLeftMs = parseInteger(*fields.timeLeftMs);
  if (!timeLeftMs || *timeLeftMs <= 0 || *timeLeftMs > kMaxTimeToLiveUs / 1000)
    return badRequest("time_left_ms must be an integer from 1 to " + std::to_string(kMaxTimeToLiveUs / 1000));
  result.timeToLive = *timeLeftMs * 1000;
  result.key = fields.key.value_or("");
  result.id = fields.id ? *fields.id : newId();
  if (const char* defect = validationError(result)) return badRequest(defect);
  return result;
}

}  // namespace

json toJson(const Problem& problem) {
  json out = {{"type", "urn:thistleyoke:problem:" + problem.type},
              {"title", std::string(http::obsolete_reason(static_cast<http::status>(problem.status)))},
              {"status", problem.status},
              {"detail", problem.detail}};
  if (problem.retryAfterUs > 0) out["retry_in_ms"] = (problem.retryAfterUs + 999) / 1000;
  return out;
}

const std::vector<Route>& routes() {
  // Any request may be answered 400 (framing), 408 (timeout), 431 (header too large), 501 and 503.
  static const std::vector<Route> all = {
      {Operation::submit,
       Verb::post,
       "/v1/messages",
       {200, 202, 400, 408, 409, 413, 417, 422, 429, 431, 501, 503, 504}},
      {Operation::submitBatch, Verb::post, "/v1/messages/batch", {200, 400, 408, 413, 417, 431, 501, 503}},
      {Operation::getState,
       Verb::get,
       "/v1/messages/{id}",
       {200, 400, 404, 408, 410, 413, 417, 431, 501, 503}},
      {Operation::streamEnds, Verb::get, "/v1/ends", {200, 400, 408, 413, 417, 431, 501, 503}}};
  return all;
}

std::variant<Target, Problem> parseTarget(std::string_view target) {
  Target out;
  if (target.empty() || target.front() != '/') return badRequest("request target must be an absolute path");
  const std::size_t queryStart = std::min(target.find('?'), target.size());
  out.path = target.substr(0, queryStart);
  std::string_view rest = target.substr(std::min(queryStart + 1, target.size()));
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('&'), rest.size());
    const std::string_view pair = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    if (pair.empty()) continue;
    const std::size_t equals = std::min(pair.find('='), pair.size());
    const auto name = percentDecode(pair.substr(0, equals), true);
    const auto value = percentDecode(pair.substr(std::min(equals + 1, pair.size())), true);
    if (!name || !value) return badRequest("invalid percent-encoding in the query");
    if (!out.query.emplace(*name, *value).second)
      return badRequest("'" + *name + "' occurs more than once in the query");
  }
  return out;
}

std::variant<RouteMatch, Problem> route(Verb verb, const Target& target) {
  const auto allowOnly = [&](Verb allowedVerb, const char* allow,
                             RouteMatch routed) -> std::variant<RouteMatch, Problem> {
    if (verb == allowedVerb) return routed;
    return Problem{405, "method-not-allowed", "allowed methods: " + std::string(allow), 0, allow};
  };
  if (target.path == kMessagesPath) return allowOnly(Verb::post, "POST", {Operation::submit, ""});
  if (target.path == kBatchPath && verb == Verb::post) return RouteMatch{Operation::submitBatch, ""};
  if (target.path == kEndsPath) return allowOnly(Verb::get, "GET", {Operation::streamEnds, ""});
  if (target.path.starts_with(std::string(kMessagesPath) + "/")) {
    const auto id = percentDecode(std::string_view(target.path).substr(kMessagesPath.size() + 1), false);
    if (!id) return badRequest("invalid percent-encoding in the message id");
    if (!id->empty())
      return allowOnly(Verb::get, target.path == kBatchPath ? "GET, POST" : "GET",
                       {Operation::getState, *id});
  }
  return Problem{404, "no-such-path", "no resource at this path", 0, nullptr};
}

std::optional<Problem> validateFraming(const Header& header) {
  const auto count = [&](http::field name) { return header.count(name); };
  if (header.version() != 10 && header.version() != 11)
    return Problem{400, "bad-request", "only HTTP/1.0 and HTTP/1.1 are supported", 0, nullptr};
  if (header.version() == 11 && count(http::field::host) != 1)
    return badRequest("exactly one Host header is required");
  if (count(http::field::content_length) > 1) return badRequest("Content-Length occurs more than once");
  const auto length = header[http::field::content_length];
  if (!std::all_of(length.begin(), length.end(), [](char c) { return c >= '0' && c <= '9'; }))
    return badRequest("Content-Length is not a single non-negative integer");
  if (count(http::field::transfer_encoding) > 0) {
    if (count(http::field::content_length) > 0)
      return badRequest("Transfer-Encoding and Content-Length must not both be present");
    if (count(http::field::transfer_encoding) > 1)
      return badRequest("Transfer-Encoding occurs more than once");
    if (header.version() == 10) return badRequest("Transfer-Encoding is not allowed in HTTP/1.0");
    if (!boost::beast::iequals(header[http::field::transfer_encoding], "chunked"))
      return Problem{501, "not-implemented", "the only supported transfer coding is chunked", 0, nullptr};
  }
  if (count(http::field::expect) > 0 && !boost::beast::iequals(header[http::field::expect], "100-continue"))
    return Problem{417, "expectation-failed", "the only supported expectation is 100-continue", 0, nullptr};
  if (count(http::field::upgrade) > 0)
    return Problem{501, "not-implemented", "protocol upgrades are not supported", 0, nullptr};
  return std::nullopt;
}

std::variant<Submission, Problem> parseMessage(const Header& header, const Target& target,
                                               const SettingNames& names,
                                               const std::function<std::string()>& newId) {
  static const std::map<std::string, const char*> headers = {{"id", "Message-Id"},
                                                             {"class", "Message-Class"},
                                                             {"destination", "Message-Destination"},
                                                             {"time_left_ms", "Message-Time-Left-Ms"},
                                                             {"key", "Idempotency-Key"}};
  for (const auto& [name, value] : target.query) {
    if (!headers.contains(name)) return badRequest("'" + name + "' is not a known query parameter");
  }
  std::map<std::string, std::optional<std::string>> values;
  for (const auto& [name, headerName] : headers) {
    std::optional<std::string>& value = values[name];
    if (header.count(headerName) > 1) return badRequest(std::string(headerName) + " occurs more than once");
    if (const auto at = header.find(headerName); at != header.end()) value = std::string(at->value());
    const auto queryValue = target.query.find(name);
    if (queryValue == target.query.end()) continue;
    if (value && *value != queryValue->second)
      return badRequest(std::string(headerName) + " and '" + name + "' in the query have different values");
    value = queryValue->second;
  }
  return buildSubmission(
      {values["id"], values["class"], values["destination"], values["time_left_ms"], values["key"]}, names,
      newId);
}

std::variant<Submission, Problem> parseBatchLine(std::string_view line, const SettingNames& names,
                                                 const std::function<std::string()>& newId) {
  // Parsers disagree on which value of a duplicate name counts, so duplicates are rejected.
  bool duplicateName = false;
  int depth = 0;
  std::set<std::string> seenNames;
  const auto onParseEvent = [&](int, json::parse_event_t event, json& parsed) {
    if (event == json::parse_event_t::object_start || event == json::parse_event_t::array_start) ++depth;
    if (event == json::parse_event_t::object_end || event == json::parse_event_t::array_end) --depth;
    if (event == json::parse_event_t::key && depth == 1 &&
        !seenNames.insert(parsed.get<std::string>()).second)
      duplicateName = true;
    return depth <= 2;
  };
  const json message = json::parse(line, onParseEvent, false);
  if (message.is_discarded() || !message.is_object()) return badRequest("line is not a JSON object");
  if (duplicateName) return badRequest("duplicate name in the JSON object");
  MessageFields fields;
  std::optional<std::string> body;
  for (const auto& item : message.items()) {
    const std::string& name = item.key();
    const json& value = item.value();
    const auto readString = [&](std::optional<std::string>& into) {
      if (value.is_string()) into = value.get<std::string>();
      return value.is_string();
    };
    const auto readInteger = [&](std::optional<std::string>& into) {
      if (value.is_number_integer()) into = value.dump();
      return value.is_number_integer();
    };
    if (name == "id"      ? !readString(fields.id)
        : name == "class" ? !readString(fields.className)
        : name == "key"   ? !readString(fields.key)
                          : false)
      return badRequest("'" + name + "' must be a string");
    if (name == "destination"    ? !readInteger(fields.destination)
        : name == "time_left_ms" ? !readInteger(fields.timeLeftMs)
                                 : false)
      return badRequest("'" + name + "' must be an integer");
    if (name == "body" || name == "body_base64") {
      if (body) return badRequest("only one of 'body' and 'body_base64' may be given");
      if (!readString(body)) return badRequest("'" + name + "' must be a string");
      if (name == "body_base64") {
        body = decodeBase64(std::move(*body));
        if (!body) return badRequest("'body_base64' is not valid base64");
      }
      continue;
    }
    static const std::set<std::string> knownNames = {"id", "class", "key", "destination", "time_left_ms"};
    if (!knownNames.contains(name)) return badRequest("'" + name + "' is unknown");
  }
  auto read = buildSubmission(fields, names, newId);
  if (auto* submission = std::get_if<Submission>(&read)) {
    submission->body = body.value_or("");
    if (const char* defect = validationError(*submission))
      return Problem{413, "too-large", defect, 0, nullptr};
  }
  return read;
}

std::variant<std::int64_t, Problem> parseQueryInteger(const Target& target, const char* name,
                                                      std::int64_t fallback) {
  const auto at = target.query.find(name);
  if (at == target.query.end()) return fallback;
  const auto value = parseInteger(at->second);
  if (!value || *value < 0) return badRequest(std::string(name) + " must be a non-negative integer");
  return *value;
}

const char* finalStateName(FinalState final) {
  switch (final) {
    case FinalState::delivered:
      return "delivered";
    case FinalState::failed:
      return "given_up";
    case FinalState::returned:
      return "handed_back";
    case FinalState::endedByTarget:
      return "over";
  }
  return "";
}

json toJson(const FinalOutcome& outcome, const SettingNames& names) {
  const auto classIndex = static_cast<std::size_t>(outcome.messageClass);
  json out = {{"id", outcome.id},
              {"state", "ended"},
              {"final", finalStateName(outcome.finalState)},
              {"position", outcome.position},
              {"at_ms", outcome.recordedAt / 1000},
              {"class", classIndex < names.classes.size() ? names.classes[classIndex] : ""},
              {"destination", outcome.destination},
              {"attempts", outcome.attempts}};
  if (outcome.finalState == FinalState::returned && outcome.retryInMs > 0)
    out["retry_in_ms"] = outcome.retryInMs;
  return out;
}

std::variant<Success, Problem> stateResponse(const std::string& id, const MessageStatus& status,
                                             const SettingNames& names) {
  switch (status.state) {
    case MessageStatus::State::unknown:
      return Problem{404, "unknown-message", "no message with this id has been accepted", 0, nullptr};
    case MessageStatus::State::ended:
      if (status.finalOutcome != nullptr) return Success{200, toJson(*status.finalOutcome, names)};
      return Problem{410, "answer-forgotten",
                     "the message has ended; its final outcome is no longer retained", 0, nullptr};
    case MessageStatus::State::accepting:
    case MessageStatus::State::pending:
    case MessageStatus::State::attempted:
      break;
  }
  const char* stateName = status.state == MessageStatus::State::attempted ? "called" : "held";
  return Success{200, {{"id", id}, {"state", stateName}, {"attempts", status.attempts}}};
}

std::variant<Success, Problem> responseTo(const Reply& reply, const std::string& id,
                                          const MessageStatus& status, const SettingNames& names,
                                          Micros defaultRetryUs) {
  const std::string reasonDetail = reasonText(reply.reason);
  switch (reply.kind) {
    case Reply::Kind::acknowledged:
      return Success{202, {{"id", id}, {"state", "taken"}}};
    case Reply::Kind::duplicate: {
      auto current = stateResponse(id, status, names);
      // The outcome may no longer be retained; the message is a duplicate all the same.
      if (std::holds_alternative<Problem>(current)) return Success{200, {{"id", id}, {"state", "ended"}}};
      return current;
    }
    case Reply::Kind::rejected:
      if (reply.reason == Reply::Reason::destinationBusy)
        return Problem{429, "destination-busy", reasonDetail,
                       reply.retryAfter > 0 ? reply.retryAfter : defaultRetryUs, nullptr};
      if (reply.reason == Reply::Reason::clientClosed)
        return Problem{503, "client-closed", reasonDetail, defaultRetryUs, nullptr};
      return Problem{503, "no-room", reasonDetail, reply.retryAfter > 0 ? reply.retryAfter : defaultRetryUs,
                     nullptr};
    case Reply::Kind::conflict:
      return Problem{409, "id-conflict", reasonDetail, 0, nullptr};
    case Reply::Kind::failed:
      break;
  }
  if (reply.reason == Reply::Reason::unknownDestination)
    return Problem{422, "unknown-destination", reasonDetail, 0, nullptr};
  return Problem{504, "given-up", reasonDetail, 0, nullptr};
}

std::optional<StreamPosition> parseStreamPosition(std::string_view text) {
  StreamPosition streamPosition;
  const std::size_t separator = text.find('-');
  if (separator != std::string_view::npos) {
    std::uint32_t epoch = 0;
    const auto [end, parseError] = std::from_chars(text.data(), text.data() + separator, epoch);
    if (parseError != std::errc() || end != text.data() + separator) return std::nullopt;
    streamPosition.epoch = epoch;
    text.remove_prefix(separator + 1);
  }
  const auto [end, parseError] =
      std::from_chars(text.data(), text.data() + text.size(), streamPosition.position);
  if (text.empty() || parseError != std::errc() || end != text.data() + text.size()) return std::nullopt;
  return streamPosition;
}

std::string formatEndEvent(const FinalOutcome& outcome, std::uint32_t epoch, const SettingNames& names) {
  return "id: " + std::to_string(epoch) + "-" + std::to_string(outcome.position) +
         "\nevent: end\ndata: " + toJson(outcome, names).dump() + "\n\n";
}

}  // namespace quilltide::net::api
