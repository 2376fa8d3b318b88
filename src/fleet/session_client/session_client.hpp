// A process's session with the coordinators: connects a LeaseClient with HTTP, timers and the clock.
//
// A lease alone does not guarantee mutual exclusion, see fleet/lease_client/lease_client.hpp: each operation
// under a lease has to go through a resource that checks its fencing token.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clock/alarm.hpp"
#include "fleet/lease_client/coordinator_selector.hpp"
#include "fleet/lease_client/lease_client.hpp"
#include "fleet/link/json_call.hpp"

namespace quilltide::fleet {

// Id and HTTP endpoint of a coordinator.
struct CoordinatorAddress {
  std::uint64_t id = 0;
  tcp::endpoint http;
};
// Parses "1=127.0.0.1:7401,2=127.0.0.1:7402". Throws std::runtime_error with a one-line message on a
// malformed list.
std::vector<CoordinatorAddress> parseCoordinators(const std::string& text);
std::vector<std::uint64_t> idsOf(const std::vector<CoordinatorAddress>& coordinators);

// Id of the leader that a coordinator's response names; 0 if it names none.
std::uint64_t namedLeaderIn(const nlohmann::json& body);

// Runs on the thread of its io_context and never blocks. Keeps separate connections for renewals, other
// requests, reads, and a long poll while it waits for a lease.
class SessionClient {
 public:
  // A request that was not answered by the leading coordinator.
  struct RequestFailure {
    std::uint64_t coordinator = 0;      // id of the coordinator that was asked
    int status = 0;                     // HTTP status; 0: no response within the timeout
    std::uint64_t namedLeader = 0;      // id of the leader that the response names; 0: none
    std::uint64_t nextCoordinator = 0;  // id of the coordinator to be asked next
  };
  struct Settings {
    LeaseClient::Settings leaseClient;  // an empty nonce is replaced by a random one
    std::vector<CoordinatorAddress> coordinators;
    net::InputLimits responseLimits = net::kCoordinatorInput;
    std::function<void(const RequestFailure&)> onRequestFailure;  // for logs; may be empty
  };
  using OnEvent = std::function<void(const LeaseClient::Event&)>;
  SessionClient(boost::asio::io_context& io, Settings settings, OnEvent onEvent);
  ~SessionClient();
  SessionClient(const SessionClient&) = delete;
  SessionClient& operator=(const SessionClient&) = delete;

  void start();
  // See LeaseClient for acquire(), release() and transfer().
  void acquire(const std::string& lease, bool recallHolder = true);
  void release(const std::string& lease);
  void transfer(const std::string& lease, const std::string& to);
  // Calls `onResult` once. ResultCode::noSession means that the session was lost before the result arrived;
  // the write may have taken effect.
  void put(const std::string& key, const std::optional<std::string>& value,
           std::optional<std::uint64_t> expectedVersion, const std::string& fence,
           std::function<void(const Result&)> onResult);
  // Sends a GET to the leading coordinator. Calls `onResponse` once, with status 0 if no attempt was
  // answered.
  void read(const std::string& target, JsonCall::OnResponse onResponse);
  // LeaseClient::validToken() at the current time. Call it right before each operation, with the longest time
  // that the operation may take as `need`.
  std::optional<FencingToken> validToken(const std::string& lease, Micros need = 0) const;
  // Releases all leases; no operation under them may be in progress. Calls `onClosed` when the coordinators
  // have confirmed it, or after `timeout`; the leases then expire.
  void close(std::chrono::milliseconds timeout, std::function<void()> onClosed);
  const LeaseClient& leaseClient() const { return leaseClient_; }

 private:
  void process();  // sends due requests and reports events
  void scheduleProcess();
  // Connection for one kind of request, and the coordinator that the last one was sent to.
  struct CoordinatorCall {
    CoordinatorCall(boost::asio::io_context& io, const net::InputLimits& limits) : connection(io, limits) {}
    JsonCall connection;
    std::size_t coordinator = 0;  // index
    std::chrono::steady_clock::time_point deadline;
  };
  void send(CoordinatorCall& call, const LeaseClient::Request& request);
  void handleResponse(const CoordinatorCall& call, std::uint64_t requestId, int status,
                      const nlohmann::json& body);
  // The coordinator did not answer (`status` 0) or is not the leader.
  void handleCoordinatorFailure(std::size_t coordinator, int status, const nlohmann::json& body);
  void watchChanges();
  void sendNextRead();
  const tcp::endpoint& addressOf(std::size_t coordinator) const {
    return settings_.coordinators[coordinator].http;
  }

  boost::asio::io_context& io_;
  Settings settings_;
  OnEvent onEvent_;
  LeaseClient leaseClient_;
  CoordinatorSelector selector_;
  CoordinatorCall renewalCall_, controlCall_, readCall_;
  JsonCall watchCall_;
  clocks::Alarm processAlarm_, watchRetryAlarm_;
  LogIndex lastSeenChange_ = 0;  // last change of the watched session that a long poll returned
  SessionId watchedSession_ = 0;
  bool watchPaused_ = false, processScheduled_ = false;
  struct PendingRead {
    std::string target;
    JsonCall::OnResponse onResponse;
    int attempts = 0;
  };
  std::deque<PendingRead> pendingReads_;
  std::map<std::uint64_t, std::function<void(const Result&)>> pendingPuts_;  // by put number
  std::function<void()> onClosed_;
  std::chrono::steady_clock::time_point closeDeadline_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::fleet
