// Connections to targets that carry no call.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "config/platform.hpp"
#include "quilltide/sender.hpp"
#include "upstream/http/upstream_connection.hpp"

namespace quilltide::net {

// Opens connections within a limit, and keeps those without a call for reuse. A connection is used again only
// when it has rested: a repeated response then arrives while no call is in flight, and is told from the
// response to the next call. Until the connection has settled, extra responses also decide the review of the
// calls before (ResponseReview). Each extra response is logged and counted. Single-threaded, never blocks;
// the handlers run from the event loop.
class ConnectionPool {
 public:
  using Connection = UpstreamConnection;
  struct Handlers {
    std::function<void(const OutcomeReview&)> handleReview;
    std::function<void(const RetryDelayNotice&)> handleRetryDelay;
  };

  // `maxConnections` includes connections in use. `maxRetryAfter` limits the delay of a RetryDelayNotice.
  ConnectionPool(boost::asio::io_context& io, Micros connectionIdleTimeout, std::size_t maxConnections,
                 Micros maxRetryAfter, Handlers handlers);
  ~ConnectionPool();

  // Returns a connection that is not yet connected, or nullptr if there is no room for one. Closes the least
  // recently used idle connection if necessary.
  std::shared_ptr<Connection> create(const tcp::endpoint& address);
  // Takes a connection for the next call, or returns nullptr if a new one is needed. One that has not rested
  // is taken only if the target accepts no further connections and `mayRepeat`: a repeat of the call does no
  // harm.
  std::shared_ptr<Connection> take(const TargetId& target, const tcp::endpoint& address, bool mayRepeat);
  // Takes back a connection whose last call was answered. With `retire` it is closed once it has settled.
  void release(const TargetId& target, const std::shared_ptr<Connection>& connection, bool retire);
  // Closes a connection that was in use, and ends the review of the calls on it.
  void discard(Connection& connection, ResponseReview::End end);
  // Closes the idle connections to `target`; those under review when they have settled.
  void closeIdle(const TargetId& target);
  // Records that the target had no room for another connection.
  void recordConnectionLimit(const TargetId& target);
  // Records how long a connect took, or that it failed after this time.
  void recordConnectTime(std::chrono::microseconds duration);
  // Logs and counts a response that arrived on a connection in use and is not that of its call.
  void recordForeignResponse(const TargetId& target, const Connection& connection, unsigned status);

  std::size_t idleConnections(const TargetId& target) const;
  // Number of idle connections that the next call may use at once.
  std::size_t reusableConnections(const TargetId& target) const;
  std::size_t openConnections() const { return openConnections_; }
  std::uint64_t extraResponses() const { return extraResponses_; }

 private:
  enum class Reuse { settled, rested, unrested, none };
  Reuse reuseOf(const Connection& connection, Connection::Clock::time_point now) const;
  bool avoidsNewConnections(const TargetId& target) const;
  bool evictOldest();
  void waitForInput(const TargetId& target, const std::shared_ptr<Connection>& connection);
  void armSettleAlarm(const TargetId& target, const std::shared_ptr<Connection>& connection);
  void readExtraResponses(const TargetId& target, const std::shared_ptr<Connection>& connection);
  bool parseExtraResponses(const TargetId& target, Connection& connection);
  void handleExtraResponse(const TargetId& target, Connection& connection);
  void settle(const TargetId& target, const std::shared_ptr<Connection>& connection);
  void finishReview(Connection& connection, ResponseReview::End end);
  void remove(const TargetId& target, const std::shared_ptr<Connection>& connection);
  void logExtraResponse(const TargetId& target, const Connection& connection, unsigned status,
                        const char* action);

  boost::asio::io_context& io_;
  Micros connectionIdleTimeout_;
  std::size_t maxConnections_;
  Micros maxRetryAfter_;
  Handlers handlers_;
  std::size_t openConnections_ = 0;  // in use, being established and idle
  std::uint64_t lastNumber_ = 0, extraResponses_ = 0;
  std::map<TargetId, std::vector<std::shared_ptr<Connection>>>
      idle_;  // most recently used last; no vector is empty
  std::map<TargetId, Connection::Clock::time_point> limitedUntil_;  // by target: had no room for a connection
  Connection::Clock::time_point slowConnectsUntil_{};               // any target: connects took long
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::net
