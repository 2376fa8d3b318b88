// JSON encoding of commands and results for the coordinators' HTTP API (POST /v1/KIND).
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "fleet/state/types.hpp"

namespace quilltide::fleet {

// HTTP path and body of a command.
struct CommandRequest {
  std::string path;
  nlohmann::json body;
};
// Throws std::runtime_error for commands that only a leading coordinator issues.
CommandRequest requestFromCommand(const Command& command);
// Throws std::runtime_error with a one-line message on an invalid request.
Command commandFromRequest(const std::string& path, const nlohmann::json& body);

nlohmann::json toJson(const Result& result);
Result resultFromJson(const nlohmann::json& json);  // throws std::exception

}  // namespace quilltide::fleet
