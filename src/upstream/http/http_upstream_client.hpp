// HTTP/1.1 client for calls to targets: one call at a time per connection, with a pool of idle connections.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "config/platform.hpp"
#include "engine/ports.hpp"

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

  // `maxConnections` includes idle connections.
  HttpUpstreamClient(boost::asio::io_context& io, const PlatformConfig& config, std::size_t maxConnections,
                     SendAuthorizer authorizeSend, OutcomeHandler handleOutcome,
                     LateDeliveryHandler handleLateDelivery);
  ~HttpUpstreamClient() override;

  void updateTargets(const DirectoryUpdate& directory) override;
  std::size_t maxMessagesPerCall(const TargetId& target) const override;
  void call(const TargetId& target, std::vector<UpstreamRequest> requests) override;
  void cancelCall(MessageId handle, int attempt) override;
  void closeIdle(const TargetId& target) override;
  std::set<std::int64_t> destinations() const override;
  std::size_t callsInFlight() const { return exchanges_.size(); }
  // Number of pooled idle connections to `target`.
  std::size_t idleConnections(const TargetId& target) const;
  std::size_t knownTargets() const { return targets_.size(); }
  // Number of connections in use, being established and idle.
  std::size_t connections() const { return connectionCount_; }
  // Number of responses that arrived on a connection without a call. Each is logged.
  std::uint64_t extraResponses() const { return extraResponses_; }

 private:
  struct KnownTarget {
    tcp::endpoint address;
    int kind = 0;
    std::int64_t destination = 0;
  };
  class Connection;
  class Exchange;
  friend class Exchange;

  std::shared_ptr<Connection> takeIdleConnection(const TargetId& target, const tcp::endpoint& address);
  // Closes the least recently used idle connection, of any target. False if none is idle.
  bool evictOldestIdleConnection();
  void returnToPool(const TargetId& target, std::shared_ptr<Connection> connection);
  void logUnsolicitedInput(const TargetId& target, Connection& connection);
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
  std::map<TargetId, std::vector<std::shared_ptr<Connection>>>
      idleConnections_;              // most recently used last; no vector is empty
  std::size_t connectionCount_ = 0;  // in use, being established and idle
  std::size_t maxConnections_;
  std::uint64_t lastConnectionNumber_ = 0, extraResponses_ = 0;
  std::set<std::shared_ptr<Exchange>> exchanges_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::net
