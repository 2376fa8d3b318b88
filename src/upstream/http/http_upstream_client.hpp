// HTTP/1.1 client for calls to targets: one call at a time per connection. An outcome that another response
// on the connection may still contradict is provisional, see ResponseReview.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/platform.hpp"
#include "engine/ports.hpp"
#include "upstream/http/connection_pool.hpp"

namespace quilltide::net {

// Implements UpstreamClient over HTTP. Single-threaded: runs on the io_context that it was given and never
// blocks. Outcomes are never reported from inside call(); cancelCall() may report them before it returns.
class HttpUpstreamClient : public UpstreamClient {
 public:
  // Receives the one outcome of each request.
  using OutcomeHandler = std::function<void(const Outcome&)>;
  // Receives messages that were delivered after their request had been reported as timed out or canceled.
  using LateDeliveryHandler = std::function<void(MessageId)>;
  // Decides which pending requests of a call may still be sent. Called when the connection is established and
  // before anything is written; returns one flag per request. The others are reported as skipped.
  using SendAuthorizer =
      std::function<std::vector<bool>(const TargetId&, const std::vector<const UpstreamRequest*>&)>;

  // `maxConnections` includes idle connections. `reviewHandlers` receive the verdicts on provisional
  // outcomes, and retry delays in responses that belong to no call.
  HttpUpstreamClient(boost::asio::io_context& io, const PlatformConfig& config, std::size_t maxConnections,
                     SendAuthorizer authorizeSend, OutcomeHandler handleOutcome,
                     LateDeliveryHandler handleLateDelivery, ConnectionPool::Handlers reviewHandlers);
  ~HttpUpstreamClient() override;

  void updateTargets(const DirectoryUpdate& directory) override;
  std::size_t maxMessagesPerCall(const TargetId& target) const override;
  void call(const TargetId& target, std::vector<UpstreamRequest> requests) override;
  void cancelCall(MessageId handle, int attempt) override;
  void closeIdle(const TargetId& target) override { pool_.closeIdle(target); }
  std::set<std::int64_t> destinations() const override;
  std::size_t callsInFlight() const { return exchanges_.size(); }
  // Number of connections to `target` that carry no call.
  std::size_t idleConnections(const TargetId& target) const { return pool_.idleConnections(target); }
  // Number of these that the next call may use at once.
  std::size_t reusableConnections(const TargetId& target) const { return pool_.reusableConnections(target); }
  std::size_t knownTargets() const { return targets_.size(); }
  // Number of connections in use, being established and idle.
  std::size_t connections() const { return pool_.openConnections(); }
  // Number of responses that belonged to no call in flight. Each is logged.
  std::uint64_t extraResponses() const { return pool_.extraResponses(); }

 private:
  struct KnownTarget {
    tcp::endpoint address;
    int kind = 0;
    std::int64_t destination = 0;
    std::int64_t startTimeMs = 0;  // Unix time; 0: long ago
  };
  class Exchange;
  friend class Exchange;

  void updateTarget(const TargetEntry& entry, const DirectoryUpdate& directory);
  // Whether the target is listed at another address.
  bool hasMoved(const TargetId& target, const tcp::endpoint& address) const;
  void removeExchange(const std::shared_ptr<Exchange>& exchange);
  // Reports the outcome from the event loop, after the current handler has returned.
  void postOutcome(Outcome outcome);

  boost::asio::io_context& io_;
  Settings settings_;
  SendAuthorizer authorizeSend_;
  OutcomeHandler handleOutcome_;
  LateDeliveryHandler handleLateDelivery_;
  Micros maxRetryAfter_ = 0;
  std::map<TargetId, KnownTarget> targets_;  // all listed targets, including those that are leaving
  ConnectionPool pool_;
  std::set<std::shared_ptr<Exchange>> exchanges_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::net
