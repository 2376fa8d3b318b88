// The HTTP API without its connections: parses requests into submissions and serializes responses as JSON.
// The API is specified in docs/openapi.yaml; openapi_test checks that both agree.
#pragma once

#include <boost/beast/http.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "config/platform.hpp"
#include "engine/engine.hpp"

namespace quilltide::net::api {

using Fields = boost::beast::http::fields;
using Header = boost::beast::http::request_header<Fields>;
using Verb = boost::beast::http::verb;

// An RFC 9457 problem document. `type` is the last part of its URI, urn:thistleyoke:problem:TYPE.
struct Problem {
  int status = 400;
  std::string type, detail;
  Micros retryAfterUs = 0;      // of 429 and 503, where it is always positive; otherwise 0
  const char* allow = nullptr;  // value of the Allow header of a 405; otherwise null
};
nlohmann::json toJson(const Problem& problem);

enum class Operation { submit, submitBatch, getState, streamEnds };
struct Route {
  Operation operation;
  Verb verb;
  const char* path;           // path template as in openapi.yaml
  std::vector<int> statuses;  // all status codes that the frontend may return
};
// All routes of the frontend.
const std::vector<Route>& routes();

// A parsed request target. Query names and values are percent-decoded; a duplicate name is a problem.
struct Target {
  std::string path;  // as received, not decoded
  std::map<std::string, std::string> query;
};
std::variant<Target, Problem> parseTarget(std::string_view target);
// The operation of a path and the message id in it. Returns a problem with status 404 or 405 if there is
// none.
struct RouteMatch {
  Operation operation;
  std::string id;
};
std::variant<RouteMatch, Problem> route(Verb verb, const Target& target);

// Rejects ambiguous message framing (RFC 9112, sections 3.2, 6.1 and 6.3) and unsupported features. Returns
// nullopt if the framing is valid.
std::optional<Problem> validateFraming(const Header& header);

// Parses POST /v1/messages. Each field may be given as a header or in the query; if given in both, the values
// must be equal. The body is not read. `newId` provides the id if the request has none.
std::variant<Submission, Problem> parseMessage(const Header& header, const Target& target,
                                               const SettingNames& names,
                                               const std::function<std::string()>& newId);
// Parses one line of POST /v1/messages/batch, including the body.
std::variant<Submission, Problem> parseBatchLine(std::string_view line, const SettingNames& names,
                                                 const std::function<std::string()>& newId);
// Reads a non-negative integer from the query. Returns `fallback` if the parameter is missing.
std::variant<std::int64_t, Problem> parseQueryInteger(const Target& target, const char* name,
                                                      std::int64_t fallback);

// The status and JSON body of a successful response.
struct Success {
  int status = 200;
  nlohmann::json body;
};
// The response to a submission. `status` is only used for duplicates. `defaultRetryUs` applies where the
// engine gives no retry delay.
std::variant<Success, Problem> responseTo(const Reply& reply, const std::string& id,
                                          const MessageStatus& status, const SettingNames& names,
                                          Micros defaultRetryUs);
// The response to GET /v1/messages/{id}.
std::variant<Success, Problem> stateResponse(const std::string& id, const MessageStatus& status,
                                             const SettingNames& names);
nlohmann::json toJson(const FinalOutcome& outcome, const SettingNames& names);
const char* finalStateName(FinalState final);

// A position in the event stream of final outcomes, written EPOCH-POSITION, or POSITION for the current
// epoch.
struct StreamPosition {
  std::optional<std::uint32_t> epoch;
  std::uint64_t position = 0;
};
// Returns nullopt if `text` is malformed.
std::optional<StreamPosition> parseStreamPosition(std::string_view text);
// One server-sent event with the final outcome of a message.
std::string formatEndEvent(const FinalOutcome& outcome, std::uint32_t epoch, const SettingNames& names);

}  // namespace quilltide::net::api
