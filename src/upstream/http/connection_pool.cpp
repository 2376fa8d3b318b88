#include "upstream/http/connection_pool.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>
#include <utility>

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = UpstreamConnection::Clock;

constexpr std::size_t kMaxExtraResponses = 8;  // in one review; more end it
constexpr int kMaxInterimResponses = 16;       // on a connection without a call; more end it
constexpr auto kIdleTimeoutMargin =
    std::chrono::milliseconds(500);  // keeps a request from crossing the target's own idle close
// For how long new connections are avoided after one was refused for lack of room, or was slow.
constexpr auto kConnectTroubleMemory = std::chrono::seconds(5);
constexpr auto kSlowConnectTime = std::chrono::milliseconds(100);

std::int64_t millisecondsSince(Clock::time_point from) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - from).count();
}

std::string describe(const UpstreamConnection::CallTrace& call) {
  return call.id.empty() ? "none" : call.id + '/' + std::to_string(call.attempt);
}

// Servers announce with these that they close a connection; they are no response to a call.
bool announcesClose(CallResponse& response) {
  const auto status = response.parser().get().result();
  return !response.keepsConnection() &&
         (status == http::status::bad_request || status == http::status::request_timeout);
}

}  // namespace

ConnectionPool::ConnectionPool(asio::io_context& io, Micros connectionIdleTimeout, std::size_t maxConnections,
                               Micros maxRetryAfter, Handlers handlers)
    : io_(io),
      connectionIdleTimeout_(connectionIdleTimeout),
      maxConnections_(maxConnections),
      maxRetryAfter_(maxRetryAfter),
      handlers_(std::move(handlers)) {}

ConnectionPool::~ConnectionPool() {
  *alive_ = false;
  for (const auto& [target, connections] : idle_) {
    for (const auto& connection : connections) {
      ++connection->idleGeneration;
      connection->close();
    }
  }
}

std::shared_ptr<UpstreamConnection> ConnectionPool::create(const tcp::endpoint& address) {
  if (openConnections_ >= maxConnections_ && !evictOldest()) return nullptr;
  return std::make_shared<Connection>(io_, openConnections_, address, ++lastNumber_);
}

// ---- Reuse ----

ConnectionPool::Reuse ConnectionPool::reuseOf(const Connection& connection, Clock::time_point now) const {
  if (connection.retired) return Reuse::none;
  if (connection.review.empty())
    return now >= connection.settledAt  ? Reuse::settled
           : now >= connection.restedAt ? Reuse::rested
                                        : Reuse::unrested;
  if (!connection.review.mayAddCall()) return Reuse::none;
  return now >= connection.restedAt ? Reuse::rested : Reuse::unrested;
}

bool ConnectionPool::avoidsNewConnections(const TargetId& target) const {
  const auto now = Clock::now();
  const auto found = limitedUntil_.find(target);
  return now < slowConnectsUntil_ || (found != limitedUntil_.end() && now < found->second);
}

void ConnectionPool::recordConnectTime(std::chrono::microseconds duration) {
  if (duration >= kSlowConnectTime) slowConnectsUntil_ = Clock::now() + kConnectTroubleMemory;
}

void ConnectionPool::recordConnectionLimit(const TargetId& target) {
  limitedUntil_[target] = Clock::now() + kConnectTroubleMemory;
}

std::shared_ptr<UpstreamConnection> ConnectionPool::take(const TargetId& target, const tcp::endpoint& address,
                                                         bool mayRepeat) {
  const auto found = idle_.find(target);
  if (found == idle_.end()) return nullptr;
  const std::vector<std::shared_ptr<Connection>> candidates(found->second.rbegin(), found->second.rend());
  const auto now = Clock::now();
  const auto maxIdleTime = std::chrono::microseconds(connectionIdleTimeout_) - kIdleTimeoutMargin;
  for (const Reuse reuse : {Reuse::settled, Reuse::rested, Reuse::unrested}) {
    if (reuse == Reuse::unrested && !(mayRepeat && avoidsNewConnections(target))) break;
    for (const auto& connection : candidates) {
      if (!connection->isOpen() || reuseOf(*connection, now) != reuse) continue;
      const bool idleTooLong = connectionIdleTimeout_ > 0 && now - connection->lastUsedAt >= maxIdleTime;
      if (idleTooLong || connection->peer != address) {
        connection->retired = true;
        if (connection->review.empty()) remove(target, connection);
        continue;
      }
      if (connection->isReadable()) {
        readExtraResponses(target, connection);
        continue;
      }
      ++connection->idleGeneration;
      error_code ignored;
      connection->socket.cancel(ignored);
      connection->settleAlarm.disarm();
      auto& connections = idle_[target];
      std::erase(connections, connection);
      if (connections.empty()) idle_.erase(target);
      return connection;
    }
  }
  return nullptr;
}

void ConnectionPool::release(const TargetId& target, const std::shared_ptr<Connection>& connection,
                             bool retire) {
  connection->lastUsedAt = Clock::now();
  connection->retired = connection->retired || retire;
  connection->extraResponse.reset();
  connection->interimResponses = 0;
  ++connection->idleGeneration;
  idle_[target].push_back(connection);
  if (connection->input.buffer().size() > 0 && !parseExtraResponses(target, *connection))
    return remove(target, connection);
  if (connection->review.empty() && connection->retired) {
    if (connection->hasInput()) readExtraResponses(target, connection);
    if (connection->isOpen()) remove(target, connection);
    return;
  }
  if (!connection->review.empty()) armSettleAlarm(target, connection);
  waitForInput(target, connection);
}

void ConnectionPool::discard(Connection& connection, ResponseReview::End end) {
  finishReview(connection, end);
  connection.close();
}

void ConnectionPool::closeIdle(const TargetId& target) {
  const auto found = idle_.find(target);
  if (found == idle_.end()) return;
  const std::vector<std::shared_ptr<Connection>> connections = found->second;
  for (const auto& connection : connections) {
    connection->retired = true;
    if (connection->review.empty()) remove(target, connection);
  }
}

bool ConnectionPool::evictOldest() {
  std::shared_ptr<Connection> oldest;
  TargetId oldestTarget;
  const auto isBetter = [&](const Connection& candidate) {
    if (!oldest) return true;
    if (candidate.review.empty() != oldest->review.empty()) return candidate.review.empty();
    return candidate.lastUsedAt < oldest->lastUsedAt;
  };
  for (const auto& [target, connections] : idle_) {
    for (const auto& connection : connections) {
      if (!isBetter(*connection)) continue;
      oldest = connection;
      oldestTarget = target;
    }
  }
  if (!oldest) return false;
  remove(oldestTarget, oldest);
  return true;
}

std::size_t ConnectionPool::idleConnections(const TargetId& target) const {
  const auto found = idle_.find(target);
  return found == idle_.end() ? 0 : found->second.size();
}

std::size_t ConnectionPool::reusableConnections(const TargetId& target) const {
  const auto found = idle_.find(target);
  if (found == idle_.end()) return 0;
  const auto now = Clock::now();
  return static_cast<std::size_t>(
      std::count_if(found->second.begin(), found->second.end(), [&](const auto& connection) {
        const Reuse reuse = reuseOf(*connection, now);
        return reuse == Reuse::settled || reuse == Reuse::rested;
      }));
}

// Ends a review that is not complete as one of a lost connection.
void ConnectionPool::remove(const TargetId& target, const std::shared_ptr<Connection>& connection) {
  ++connection->idleGeneration;
  discard(*connection, ResponseReview::End::connectionLost);
  const auto found = idle_.find(target);
  if (found == idle_.end()) return;
  std::erase(found->second, connection);
  if (found->second.empty()) idle_.erase(found);
}

// ---- Review ----

void ConnectionPool::finishReview(Connection& connection, ResponseReview::End end) {
  for (const OutcomeReview& review : connection.review.finish(end)) {
    asio::post(io_, [this, alive = alive_, review] {
      if (*alive) handlers_.handleReview(review);
    });
  }
}

void ConnectionPool::armSettleAlarm(const TargetId& target, const std::shared_ptr<Connection>& connection) {
  connection->settleAlarm.armAt(connection->settledAt, [this, alive = alive_, target, connection,
                                                        generation = connection->idleGeneration] {
    if (*alive && connection->idleGeneration == generation) settle(target, connection);
  });
}

// What waits in the socket is read first.
void ConnectionPool::settle(const TargetId& target, const std::shared_ptr<Connection>& connection) {
  const int generation = connection->idleGeneration;
  if (connection->isReadable()) readExtraResponses(target, connection);
  if (connection->idleGeneration != generation) return;
  const bool partlyRead = connection->extraResponse.parser().got_some();
  finishReview(*connection,
               partlyRead ? ResponseReview::End::connectionLost : ResponseReview::End::noMoreResponses);
  if (connection->retired || partlyRead) remove(target, connection);
}

void ConnectionPool::waitForInput(const TargetId& target, const std::shared_ptr<Connection>& connection) {
  connection->input.waitReadable(
      [this, alive = alive_, target, connection, generation = connection->idleGeneration](error_code error) {
        if (!*alive || connection->idleGeneration != generation) return;
        if (error) return remove(target, connection);
        readExtraResponses(target, connection);
        if (connection->idleGeneration == generation) waitForInput(target, connection);
      });
}

// Removes the connection if it has ended, or if nobody waits for what it may still bring.
void ConnectionPool::readExtraResponses(const TargetId& target,
                                        const std::shared_ptr<Connection>& connection) {
  for (;;) {
    error_code error;
    connection->input.readSome(error);
    if (!parseExtraResponses(target, *connection)) return remove(target, connection);
    if (error == asio::error::would_block) return;
    if (error) return remove(target, connection);
  }
}

// Returns false if the connection is of no more use.
bool ConnectionPool::parseExtraResponses(const TargetId& target, Connection& connection) {
  while (connection.input.buffer().size() > 0) {
    const CallResponse::Progress progress = connection.extraResponse.parse(connection.input);
    if (progress == CallResponse::Progress::incomplete) return true;
    if (progress == CallResponse::Progress::malformed) {
      logExtraResponse(target, connection, 0, "unreadable, connection closed");
      return false;
    }
    const bool interim = connection.extraResponse.isInterim();
    if (!interim) handleExtraResponse(target, connection);
    connection.extraResponse.reset();
    connection.input.startMessage();
    if (interim && ++connection.interimResponses > kMaxInterimResponses) {
      logExtraResponse(target, connection, 0, "too many interim responses, connection closed");
      return false;
    }
    if (connection.retired && connection.review.empty()) return false;
    if (connection.review.extraResponses() > kMaxExtraResponses || connection.review.isFull()) return false;
  }
  return true;
}

void ConnectionPool::handleExtraResponse(const TargetId& target, Connection& connection) {
  CallResponse& response = connection.extraResponse;
  const unsigned status = response.status();
  connection.retired = true;
  if (announcesClose(response))
    return logExtraResponse(target, connection, status, "announces the end of the connection");
  logExtraResponse(target, connection, status,
                   connection.review.empty()
                       ? "connection closed"
                       : "weighed in the review of the last calls, then connection closed");
  if (const Micros retryDelay = response.retryAfter(maxRetryAfter_); retryDelay > 0) {
    asio::post(io_, [this, alive = alive_, notice = RetryDelayNotice{target, retryDelay}] {
      if (*alive) handlers_.handleRetryDelay(notice);
    });
  }
  if (!connection.review.empty()) connection.review.addExtraResponse(std::move(response));
}

void ConnectionPool::recordForeignResponse(const TargetId& target, const Connection& connection,
                                           unsigned status) {
  logExtraResponse(target, connection, status, "not the response to the call in flight");
}

void ConnectionPool::logExtraResponse(const TargetId& target, const Connection& connection, unsigned status,
                                      const char* action) {
  ++extraResponses_;
  const UpstreamConnection::CallTrace& call = connection.lastCall;
  std::cerr << "upstream: extra response " << status << " from " << target << " on connection "
            << connection.number << ", "
            << (call.answeredAt == Clock::time_point{}
                    ? "before the response"
                    : std::to_string(millisecondsSince(call.answeredAt)) + " ms after the response")
            << " and " << millisecondsSince(call.writtenAt) << " ms after the request of " << describe(call)
            << " (call before: " << describe(connection.previousCall) << "): " << action << ", "
            << extraResponses_ << " so far" << std::endl;
}

}  // namespace quilltide::net
