// HTTP API of a coordinator: commands, long polls, reads, peer progress and cluster membership.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <list>
#include <set>
#include <string>
#include <vector>

#include "clock/alarm.hpp"
#include "coordinator/http_server.hpp"
#include "coordinator/raft_node.hpp"
#include "fleet/state/state.hpp"

namespace quilltide::coordinator {

// Dispatches requests to the Raft node. Single-threaded; does not block.
class Api {
 public:
  Api(boost::asio::io_context& io, const Settings& settings, Folder& folder);

  // Without a node, requests other than /v1/status and /v1/peer get 503. nullptr detaches it.
  void attach(RaftNode* node) { node_ = node; }
  void handle(const HttpRequest& request, ResponseCallback respond);
  // Answers the long polls affected by applied entries.
  void onEffects(const std::vector<fleet::Effect>& effects);
  std::size_t waiterCount() const { return waiters_.size(); }
  std::uint64_t commands() const { return commands_; }

 private:
  struct Waiter {
    fleet::SessionId session = 0;  // 0: waits for values under `prefix`
    std::string prefix;
    fleet::LogIndex after = 0;
    std::chrono::steady_clock::time_point deadline;
    ResponseCallback respond;
  };
  void command(const HttpRequest& request, ResponseCallback respond);
  void peer(const HttpRequest& request, const ResponseCallback& respond);
  void coordinators(const HttpRequest& request, ResponseCallback respond);
  void read(const HttpRequest& request, ResponseCallback respond);
  void wait(Waiter waiter);
  bool respondIfChanged(const Waiter& waiter, bool timedOut);
  void expireWaiters();
  nlohmann::json status() const;
  nlohmann::json members() const;
  nlohmann::json leases() const;
  nlohmann::json values(const std::string& prefix) const;
  bool isCoordinator(std::uint64_t id) const;
  HttpResponse notLeaderResponse() const;
  HttpResponse failedProposalResponse(ProposalOutcome outcome) const;
  std::string httpAddressOf(std::uint64_t id) const;

  boost::asio::io_context& io_;
  Settings settings_;
  Folder& folder_;
  RaftNode* node_ = nullptr;
  std::list<Waiter> waiters_;
  clocks::Alarm expiryAlarm_;
  std::uint64_t commands_ = 0;
  std::chrono::steady_clock::time_point startedAt_ = std::chrono::steady_clock::now();
};

}  // namespace quilltide::coordinator
