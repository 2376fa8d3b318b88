// Adds coordinators and lease test clients to a harness, and checks that operations under a lease do not
// overlap.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "harness.hpp"
#include "http_server.hpp"

namespace quilltide::harness {

// HTTP server in the harness process that stands for a resource protected by leases. Accepts operations as
// POST /act {"lease", "token", "member", "ms"}, each of which lasts `ms`. Rejects a token lower than the
// highest one seen for the lease with status 409. Records all accepted operations.
class FencedResource {
 public:
  struct Operation {
    std::string lease, member;
    std::uint64_t token = 0;
    std::int64_t beginUs = 0, endUs = 0;  // Timeline time
  };
  FencedResource(boost::asio::io_context& io, Timeline& timeline, const tcp::endpoint& listenEndpoint);

  const std::vector<Operation>& operations() const { return operations_; }
  std::size_t rejectedCount() const { return rejectedCount_; }
  // Operations begun at or after sinceUs.
  std::size_t countByMember(const std::string& member, std::int64_t sinceUs = 0) const;
  std::size_t countUnderLease(const std::string& lease, std::int64_t sinceUs = 0) const;
  // Describes the first two operations under one lease that overlap and have different tokens; "" if there
  // are none.
  std::string findOverlap() const;
  // The longest time without an operation under the lease, between fromUs and now.
  double longestGapMs(const std::string& lease, std::int64_t fromUs) const;

 private:
  void handleRequest(const std::shared_ptr<standin::HttpServer::Connection>& connection);
  Timeline& timeline_;
  std::vector<Operation> operations_;
  std::map<std::string, std::uint64_t> highestTokens_;
  std::size_t rejectedCount_ = 0;
  standin::HttpServer server_;
};

// Settings of the coordinators of one fleet. maxHoldMs 0: a lease is never recalled.
struct CoordinatorConfig {
  int count = 3;
  int electionMs = 300, heartbeatMs = 50, maxTtlMs = 2'000, maxHoldMs = 0;
  double maxClockDrift = 0.01;
  int snapshotEntries = 4'096, trailingEntries = 1'024;
  bool useTestClock = false;
};
// Adds the coordinators "k1", "k2", ...; each reaches each other one by the links "k1->k2.raft" and
// "k1->k2.http".
void addCoordinators(Harness& harness, const std::string& program, const CoordinatorConfig& config);
// Adds a coordinator that is to join a running fleet; its peers are the first config.count coordinators.
void addJoiningCoordinator(Harness& harness, const std::string& program, const CoordinatorConfig& config,
                           int id);
// The value of a process's --coordinators argument; it reaches each coordinator by a link "NAME->k1.http".
std::string coordinatorsArgument(int count);

// Settings of a thistleyoke-lease-test-client. releaseAfter: operations until it releases the lease; 0:
// never.
struct TestClientConfig {
  std::string name;
  std::vector<std::string> leases;
  int ttlMs = 1'000, operationMs = 15, pauseMs = 10, releaseAfter = 0;
  double maxClockDrift = 0.01;
  bool useTestClock = false, usePauseHook = false;  // the hook is the file "hook" in the process's folder
};
void addTestClient(Harness& harness, const std::string& program, const TestClientConfig& config,
                   int coordinators);

// The platform configuration of a forwarder that listens at {at:resp} and uses the directory at
// {to:directory.http}.
nlohmann::json forwarderConfig(const std::string& name, int seed, const nlohmann::json& knownTargets);

// Sends an HTTP request without a fault proxy and runs the loop until it is answered: POST with a body, else
// GET. Returns the status, 0 on a failed connection or timeout, and the JSON body, an empty object if it is
// not JSON.
std::pair<int, nlohmann::json> sendRequest(Harness& harness, const tcp::endpoint& server,
                                           const std::string& target, const nlohmann::json* body = nullptr,
                                           milliseconds timeout = milliseconds(2'000));
// The name of the coordinator that reports to lead in the highest term; "" if none does. Asks each
// coordinator that is running and not paused.
std::string findLeader(Harness& harness, int coordinators);
// Waits for a leader other than `excluded`; "" after the timeout.
std::string waitForLeader(Harness& harness, int coordinators, milliseconds timeout = milliseconds(10'000),
                          const std::string& excluded = "");

}  // namespace quilltide::harness
