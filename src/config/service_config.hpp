// The service's own configuration file (deploy/thistleyoke.toml) for features that the platform does not
// configure. All of them are disabled without the file.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include "journal/journal.hpp"

namespace quilltide::net {

// Settings of the HTTP frontend ([doors.http]).
struct HttpFrontendSettings {
  boost::asio::ip::tcp::endpoint listen;
  std::size_t maxConnections = 0;  // 0: half of all client connections
  std::size_t maxBatchLines = 1'000;
  std::size_t maxBatchBytes = 1 << 20;
  std::chrono::milliseconds maxPollDuration{30'000};   // upper limit of the wait that a client may request
  std::chrono::milliseconds idleTimeout{60'000};       // of a persistent connection without a request
  std::chrono::milliseconds requestTimeout{5'000};     // from the first to the last byte of a request
  std::chrono::milliseconds defaultRetryAfter{1'000};  // sent if the decision module gives no delay
  OutcomeRetention outcomeRetention{600'000'000, 2'500};
};

// Membership in a fleet with coordinators ([fleet]); see docs/operators/coordination-servers.md.
struct FleetSettings {
  std::string coordinators;               // "1=127.0.0.1:7401,2=..."
  std::string name;                       // empty: the name in the platform's configuration
  std::int64_t leaseTermMs = 10'000;      // term of its leases
  double maxClockDrift = 0.01;            // relative; must equal that of the coordinators
  bool takeOverEnabled = false;           // take over the folders of forwarders that are down
  std::int64_t takeOverAfterMs = 60'000;  // since the lease of a folder was last held
  std::size_t maxConcurrentTakeovers = 2;
};

// Content of the configuration file.
struct ServiceConfig {
  // Used if PROXY_CONFIG and PROXY_STATE are not set; empty if not given.
  std::string platformConfigPath, stateFolder;
  std::optional<HttpFrontendSettings> http;
  std::optional<FleetSettings> fleet;
  bool servesFolderOfAnother = false;  // the state folder belongs to another member of the fleet
  OutcomeRetention outcomeRetention() const { return http ? http->outcomeRetention : OutcomeRetention{}; }
  // The retention of a folder belongs to the folder: whoever serves it for its owner keeps the owner's.
  RetentionSource retentionSource() const {
    return servesFolderOfAnother ? RetentionSource::recordedInFolder() : RetentionSource(outcomeRetention());
  }
};

// All errors of a configuration file, one line each, as "FILE:LINE: KEY: PROBLEM".
struct ConfigErrors : std::runtime_error {
  explicit ConfigErrors(std::vector<std::string> lines);
  std::vector<std::string> lines;
};

// Reads a configuration file. Throws ConfigErrors with all errors; unknown keys are errors.
ServiceConfig readServiceConfig(const std::string& path);
// Parses the text of a configuration file. `path` is used in error messages only.
ServiceConfig parseServiceConfig(const std::string& text, const std::string& path);

// Checks the settings that depend on the platform's configuration: memory and disk for retained outcomes,
// and addresses. Throws ConfigErrors.
struct PlatformConfig;
void validateAgainstPlatform(const ServiceConfig& serviceConfig, const PlatformConfig& config,
                             const std::string& path);

}  // namespace quilltide::net
