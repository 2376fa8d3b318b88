// Reads the service configuration with toml++.
#include "config/service_config.hpp"

#include <algorithm>

#include "config/platform.hpp"
#include "config/toml_section.hpp"

namespace quilltide::net {
namespace {

std::string joinLines(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += (out.empty() ? "" : "\n") + line;
  return out;
}

HttpFrontendSettings readHttp(TomlSection& section) {
  HttpFrontendSettings http;
  if (const auto listen = section.readString("listen")) {
    try {
      http.listen = parseAddress(*listen);
    } catch (const std::exception& problem) {
      section.addError("listen", problem.what());
    }
  } else {
    section.addError("listen", "is missing: an address with a port, as in \"127.0.0.1:8080\"");
  }
  const auto milliseconds = [&](const char* key, std::int64_t min, std::int64_t max,
                                std::chrono::milliseconds& result) {
    std::int64_t count = result.count();
    section.readInteger(key, min, max, count);
    result = std::chrono::milliseconds(count);
  };
  section.readInteger("connections", 4, 100'000, http.maxConnections);
  section.readInteger("batch_lines", 1, 100'000, http.maxBatchLines);
  section.readInteger("batch_bytes", 1'024, 64 << 20, http.maxBatchBytes);
  milliseconds("longest_poll_ms", 0, 600'000, http.maxPollDuration);
  milliseconds("idle_ms", 100, 3'600'000, http.idleTimeout);
  milliseconds("request_ms", 100, 600'000, http.requestTimeout);
  milliseconds("come_again_ms", 1, 600'000, http.defaultRetryAfter);
  if (auto answers = section.readTable("answers")) {
    std::int64_t seconds = http.outcomeRetention.duration / 1'000'000;
    answers->readInteger("keep_s", 1, 30 * 86'400, seconds);
    http.outcomeRetention.duration = seconds * 1'000'000;
    answers->readInteger("most", 1, 10'000'000, http.outcomeRetention.maxCount);
    answers->reportUnknownKeys();
  }
  section.reportUnknownKeys();
  return http;
}

FleetSettings readFleet(TomlSection& section) {
  FleetSettings fleet;
  fleet.coordinators = section.readString("coordinators").value_or("");
  if (fleet.coordinators.empty())
    section.addError("coordinators", "is missing: ID=ADDRESS:PORT of each coordinator, with commas");
  fleet.name = section.readString("name").value_or("");
  section.readInteger("term_ms", 200, 3'600'000, fleet.leaseTermMs);
  section.readNumber("drift", 0, 0.2, fleet.maxClockDrift);
  section.readBool("take_over", fleet.takeOverEnabled);
  section.readInteger("gone_after_ms", 0, 86'400'000, fleet.takeOverAfterMs);
  section.readInteger("takeovers_at_once", 1, 100, fleet.maxConcurrentTakeovers);
  section.reportUnknownKeys();
  return fleet;
}

}  // namespace

ConfigErrors::ConfigErrors(std::vector<std::string> errorLines)
    : std::runtime_error(joinLines(errorLines)), lines(std::move(errorLines)) {}

ServiceConfig parseServiceConfig(const std::string& text, const std::string& path) {
  std::vector<std::string> errors;
  ServiceConfig serviceConfig;
  try {
    const toml::table table = toml::parse(text, path);
    TomlSection root(table, "", path, errors);
    if (auto platform = root.readTable("platform")) {
      serviceConfig.platformConfigPath = platform->readString("config").value_or("");
      serviceConfig.stateFolder = platform->readString("state").value_or("");
      platform->reportUnknownKeys();
    }
    if (auto frontends = root.readTable("doors")) {
      if (auto http = frontends->readTable("http")) serviceConfig.http = readHttp(*http);
      frontends->reportUnknownKeys();
    }
    if (auto fleet = root.readTable("fleet")) serviceConfig.fleet = readFleet(*fleet);
    root.reportUnknownKeys();
  } catch (const toml::parse_error& problem) {
    errors.push_back(path + ":" + std::to_string(problem.source().begin.line) + ": " +
                     std::string(problem.description()));
  }
  if (!errors.empty()) throw ConfigErrors(std::move(errors));
  return serviceConfig;
}

ServiceConfig readServiceConfig(const std::string& path) { return parseServiceConfig(readFile(path), path); }

void validateAgainstPlatform(const ServiceConfig& serviceConfig, const PlatformConfig& config,
                             const std::string& path) {
  if (!serviceConfig.http) return;
  constexpr std::size_t kOutcomeMemoryBytes = 400,
                        kOutcomeDiskBytes = 250;  // per outcome, with ids of usual length
  std::vector<std::string> errors;
  const std::size_t maxCount = serviceConfig.http->outcomeRetention.maxCount;
  const auto addLimitError = [&](const char* limit, std::size_t required, std::size_t available) {
    errors.push_back(path + ": doors.http.answers.most: " + std::to_string(maxCount) + " outcomes need " +
                     std::to_string(required) + " bytes, more than a quarter of limits." + limit + " (" +
                     std::to_string(available) + " bytes)");
  };
  if (maxCount * kOutcomeMemoryBytes > config.memoryLimitBytes / 4)
    addLimitError("memory_mb", maxCount * kOutcomeMemoryBytes, config.memoryLimitBytes);
  if (maxCount * kOutcomeDiskBytes > config.diskLimitBytes / 4)
    addLimitError("disk_mb", maxCount * kOutcomeDiskBytes, config.diskLimitBytes);
  if (serviceConfig.http->listen.port() != 0 && serviceConfig.http->listen == config.listen)
    errors.push_back(path + ": doors.http.listen: is already the address of the platform's listener");
  if (!errors.empty()) throw ConfigErrors(std::move(errors));
}

}  // namespace quilltide::net
