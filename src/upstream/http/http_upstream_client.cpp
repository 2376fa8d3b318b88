#include "upstream/http/http_upstream_client.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <iostream>
#include <optional>
#include <utility>

#include "upstream/http/call_response.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr auto kResponseReadTimeout =
    std::chrono::milliseconds(500);       // from the first byte of a response to its last
constexpr int kMaxInterimResponses = 16;  // 1xx responses accepted before the final one
constexpr int kMaxRetryAfterFactor = 10;  // limit of X-Retry-In-Ms, as a multiple of the longest deadline
constexpr std::size_t kReadChunkBytes = 4 * 1024;
constexpr std::size_t kPeekBytes = 64;  // holds a status line
constexpr auto kIdleTimeoutMargin =
    std::chrono::milliseconds(500);  // keeps a request from crossing the target's own idle close

Micros elapsedSince(Clock::time_point from) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - from).count();
}

std::string formatSeconds(Micros duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(duration) / 1e6);
  return text;
}

// A call as the log names it.
struct CallTrace {
  std::string id;  // of its first message; empty: there was no such call
  int attempt = 0;
  Clock::time_point writtenAt{}, answeredAt{};
};

std::string describe(const CallTrace& call) {
  return call.id.empty() ? "none" : call.id + '/' + std::to_string(call.attempt);
}

// Status of the response that begins with `text`; "?" if it is none.
std::string statusIn(const std::string& text) {
  const std::size_t space = text.find(' ');
  return text.starts_with("HTTP/") && space != text.npos ? text.substr(space + 1, 3) : "?";
}

}  // namespace

class HttpUpstreamClient::Connection {
 public:
  Connection(asio::io_context& io, std::size_t& connectionCount)
      : socket(io), connectionCount_(connectionCount) {
    ++connectionCount_;
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  tcp::endpoint peer;
  Clock::time_point lastUsedAt = Clock::now();
  std::uint64_t number = 0;          // identifies the connection in the log
  CallTrace lastCall, previousCall;  // for the log
  int idleGeneration = 0;            // changes with each idle period; invalidates read waits of earlier ones

  // False if the peer has closed the connection or sent unsolicited data.
  bool isReusable() {
    const ssize_t n = peekByte();
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  // Start of the data that waits to be read, without consuming it.
  std::string peekInput() {
    char bytes[kPeekBytes];
    const ssize_t n = ::recv(socket.native_handle(), bytes, sizeof bytes, MSG_PEEK | MSG_DONTWAIT);
    return n > 0 ? std::string(bytes, static_cast<std::size_t>(n)) : std::string();
  }
  // Whether there is data to read.
  bool hasInput() { return peekByte() > 0; }
  void close() {
    if (!countedAsOpen_) return;
    countedAsOpen_ = false;
    --connectionCount_;
    error_code ignored;
    socket.close(ignored);
  }

 private:
  ssize_t peekByte() {
    char byte;
    return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  }
  std::size_t& connectionCount_;
  bool countedAsOpen_ = true;
};

// One call: writes the HTTP request, reads the response and reports the outcome of each message. The socket
// is non-blocking and read and written directly, so that a timeout or cancellation acts on what the kernel
// has already accepted or received.
class HttpUpstreamClient::Exchange : public std::enable_shared_from_this<HttpUpstreamClient::Exchange> {
 public:
  Exchange(HttpUpstreamClient& client, TargetId target, std::vector<UpstreamRequest> requests)
      : client_(client), target_(std::move(target)), requests_(std::move(requests)), timer_(client.io_) {
    reported_.resize(requests_.size(), false);
    abandonedResults_.resize(requests_.size());
  }

  void start(std::shared_ptr<Connection> connection, const tcp::endpoint& address) {
    auto self = shared_from_this();
    armTimer();
    if (connection) {
      connection_ = std::move(connection);
      starting_ = true;
      sendRequest();
      starting_ = false;
      return;
    }
    if (client_.connectionCount_ >= client_.maxConnections_ && !client_.evictOldestIdleConnection())
      return skipUnreported();
    newConnection_ = true;
    connection_ = std::make_shared<Connection>(client_.io_, client_.connectionCount_);
    connection_->peer = address;
    connection_->number = ++client_.lastConnectionNumber_;
    connectDeadline_ = startedAt_ + std::chrono::microseconds(client_.settings_.connectTimeout);
    armTimer();
    connection_->socket.async_connect(address, [this, self](error_code error) {
      if (stage_ == Stage::finished) return;
      // A shortage of descriptors or buffers is local and must not count as a failure of the target.
      if (error == asio::error::no_descriptors || error == asio::error::no_buffer_space)
        return skipUnreported();
      if (error) return failUnreported();
      error_code ignored;
      connection_->socket.set_option(tcp::no_delay(true), ignored);
      connection_->socket.non_blocking(true, ignored);
      connectDeadline_.reset();
      sendRequest();
    });
  }

  bool contains(MessageId handle, int attempt) const {
    return std::any_of(requests_.begin(), requests_.end(), [&](const UpstreamRequest& message) {
      return message.handle == handle && message.attempt == attempt;
    });
  }

  // Closes the connection when no other request of the call is awaited, which signals the target.
  void cancelRequest(MessageId handle, int attempt) {
    if (completedByResponse()) return;
    std::vector<std::size_t> indexes;
    for (std::size_t i = 0; i < requests_.size(); ++i)
      if (!reported_[i] && requests_[i].handle == handle && requests_[i].attempt == attempt)
        indexes.push_back(i);
    abandonRequests(indexes, CallResult::canceled);
  }

  void abortExchange() {
    stage_ = Stage::finished;
    timer_.cancel();
    if (connection_) connection_->close();
  }

 private:
  enum class Stage {
    connecting,        // nothing is written
    writing,           // the request is partly written
    awaitingResponse,  // all is written: the call may be executed
    finished
  };

  // Runs when the connection is established. Requests that were reported meanwhile or are no longer
  // authorized are left out; the body is built from the rest.
  void sendRequest() {
    std::vector<std::size_t> pendingIndexes;
    std::vector<const UpstreamRequest*> requests;
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      if (reported_[i]) continue;
      pendingIndexes.push_back(i);
      requests.push_back(&requests_[i]);
    }
    const std::vector<bool> authorized = client_.authorizeSend_(target_, requests);
    std::vector<std::size_t> skippedIndexes;
    for (std::size_t n = 0; n < pendingIndexes.size(); ++n)
      (authorized[n] ? sentIndexes_ : skippedIndexes).push_back(pendingIndexes[n]);
    // The message with the longest timeout goes first, in line with X-Deadline: a call is identified by its
    // first message, which must not be reported before the others.
    std::stable_sort(sentIndexes_.begin(), sentIndexes_.end(), [&](std::size_t a, std::size_t b) {
      return requests_[a].timeout > requests_[b].timeout;
    });
    if (sentIndexes_.empty()) {
      stage_ = Stage::finished;
      timer_.cancel();
      client_.returnToPool(target_, connection_);
    } else {
      serializeRequest();
      stage_ = Stage::writing;
    }
    for (const std::size_t i : skippedIndexes) reportResult(i, CallResult::skipped);
    if (sentIndexes_.empty()) return client_.removeExchange(shared_from_this());
    writeRequest();
  }

  void serializeRequest() {
    http::request<http::string_body> request;
    request.method(http::verb::post);
    request.version(11);
    request.set(http::field::host, target_);
    Micros longest = 0;
    for (const std::size_t i : sentIndexes_) longest = std::max(longest, requests_[i].timeout);
    request.set("X-Deadline", formatSeconds(std::max<Micros>(1'000, longest - elapsedSince(startedAt_))));
    if (sentIndexes_.size() == 1) {
      UpstreamRequest& message = requests_[sentIndexes_.front()];
      request.target("/receive");
      request.set("X-Request-Id", message.id);
      if (!message.key.empty()) request.set("Idempotency-Key", message.key);
      request.body() = std::move(message.body);
    } else {
      request.target("/receive-many");
      for (const std::size_t i : sentIndexes_) {
        const UpstreamRequest& message = requests_[i];
        request.body() += message.id + ' ' + (message.key.empty() ? "-" : message.key) + ' ' +
                          std::to_string(message.body.size()) + "\r\n" + message.body + "\r\n";
      }
    }
    for (UpstreamRequest& message : requests_) message.body.clear();
    request.prepare_payload();
    http::request_serializer<http::string_body> serializer(request);
    error_code error;
    while (!error && !serializer.is_done()) {
      serializer.next(error, [&](error_code&, const auto& buffers) {
        requestBytes_ += boost::beast::buffers_to_string(buffers);
        serializer.consume(boost::beast::buffer_bytes(buffers));
      });
    }
  }

  void writeRequest() {
    while (bytesWritten_ < requestBytes_.size()) {
      // On a reused connection, what arrives before the last byte is written may belong to an earlier call.
      if (!newConnection_ && connection_->hasInput()) {
        if (bytesWritten_ == 0) return failUnreported();
        receivedBeforeWritten_ = true;
      }
      error_code error;
      bytesWritten_ += connection_->socket.write_some(
          asio::buffer(requestBytes_.data() + bytesWritten_, requestBytes_.size() - bytesWritten_), error);
      if (error == asio::error::would_block) {
        return connection_->socket.async_wait(tcp::socket::wait_write,
                                              [this, self = shared_from_this()](error_code failed) {
                                                if (stage_ == Stage::finished) return;
                                                if (failed) return failUnreported();
                                                writeRequest();
                                              });
      }
      if (error) return failUnreported();
    }
    stage_ = Stage::awaitingResponse;
    connection_->previousCall = std::exchange(
        connection_->lastCall,
        {requests_[sentIndexes_.front()].id, requests_[sentIndexes_.front()].attempt, Clock::now(), {}});
    requestBytes_ = {};
    if (connection_->buffer.size() > 0) return readResponse();
    waitForResponse();
  }

  Clock::time_point requestDeadline(std::size_t i) const {
    const UpstreamRequest& message = requests_[i];
    return startedAt_ + std::chrono::microseconds(abandonedResults_[i]
                                                      ? std::max(message.timeout, message.timeToLive)
                                                      : message.timeout);
  }

  // Arms the timer for the connect or response deadline, or the earliest deadline of an unreported request.
  void armTimer() {
    std::optional<Clock::time_point> earliest = connectDeadline_ ? connectDeadline_ : responseDeadline_;
    for (std::size_t i = 0; i < requests_.size(); ++i)
      if (!reported_[i] && (!earliest || requestDeadline(i) < *earliest)) earliest = requestDeadline(i);
    if (!earliest) return;
    timer_.expires_at(*earliest);
    timer_.async_wait([this, self = shared_from_this()](error_code error) {
      if (error || stage_ == Stage::finished) return;
      const auto now = Clock::now();
      if (connectDeadline_ && now >= *connectDeadline_) return failUnreported();
      if (completedByResponse()) return;
      if (responseDeadline_ && now >= *responseDeadline_) return finishUnreadable();
      std::vector<std::size_t> expired;
      for (std::size_t i = 0; i < requests_.size(); ++i)
        if (!reported_[i] && now >= requestDeadline(i)) expired.push_back(i);
      abandonRequests(expired, CallResult::timedOut);
    });
  }

  // Stops waiting for these requests. If no other request of the call is awaited, the connection closes, and
  // a partly written call is never executed. Otherwise the call continues; where concurrent attempts are not
  // allowed, the abandoned requests are reported only when the call ends or their message expires.
  void abandonRequests(const std::vector<std::size_t>& indexes, CallResult callResult) {
    for (const std::size_t i : indexes)
      if (!abandonedResults_[i]) abandonedResults_[i] = callResult;
    std::size_t waitingCount = 0;
    for (std::size_t i = 0; i < requests_.size(); ++i)
      waitingCount += !reported_[i] && !abandonedResults_[i] ? 1 : 0;
    const bool noneWaiting = waitingCount == 0,
               concurrentAllowed = client_.settings_.concurrentAttemptsAllowed || stage_ == Stage::connecting;
    const bool mayHaveRun = stage_ == Stage::awaitingResponse || (stage_ == Stage::writing && !noneWaiting);
    const auto now = Clock::now();
    if (noneWaiting) abortExchange();
    for (std::size_t i = 0; i < requests_.size(); ++i) {
      if (reported_[i] || !abandonedResults_[i] ||
          !(noneWaiting || concurrentAllowed || now >= requestDeadline(i)))
        continue;
      reportResult(i, mayHaveRun ? *abandonedResults_[i] : CallResult::connectFailed);
    }
    noneWaiting ? client_.removeExchange(shared_from_this()) : armTimer();
  }

  // Processes data that is waiting in the socket before a timeout or cancellation takes effect. Returns true
  // if that has finished the call.
  bool completedByResponse() {
    if (stage_ == Stage::awaitingResponse) readResponse();
    if (stage_ != Stage::finished && statusLineConfirmsDelivery()) finishAsDelivered();
    return stage_ == Stage::finished;
  }

  void waitForResponse() {
    if (std::exchange(readWaitPending_, true)) return;
    connection_->socket.async_wait(tcp::socket::wait_read,
                                   [this, self = shared_from_this()](error_code error) {
                                     readWaitPending_ = false;
                                     if (stage_ == Stage::finished) return;
                                     if (error) return failUnreported();
                                     readResponse();
                                   });
  }

  // Reads what is available. Interim (1xx) responses may arrive at any time; once a response has begun, it
  // must be complete within kResponseReadTimeout.
  void readResponse() {
    while (stage_ == Stage::awaitingResponse) {
      const ParseProgress progress = parseBuffered();
      if (progress == ParseProgress::complete) {
        if (!response_.isInterim()) return handleResponse();
        if (response_.parser().get().result() == http::status::switching_protocols ||
            ++interimCount_ > kMaxInterimResponses)
          return finishUnreadable();
        response_.reset();
        responseDeadline_.reset();
        armTimer();
        continue;
      }
      if (progress == ParseProgress::malformed)
        return statusLineConfirmsDelivery() ? finishAsDelivered() : finishUnreadable();
      error_code error;
      const std::size_t n =
          connection_->socket.read_some(connection_->buffer.prepare(kReadChunkBytes), error);
      connection_->buffer.commit(n);
      if (error == asio::error::would_block) return waitForResponse();
      if (error) return handleReadError(error);
      if (!responseDeadline_) {
        responseDeadline_ = Clock::now() + kResponseReadTimeout;
        armTimer();
      }
    }
  }

  enum class ParseProgress { incomplete, complete, malformed };
  ParseProgress parseBuffered() {
    while (connection_->buffer.size() > 0) {
      error_code error;
      const std::size_t n = response_.parser().put(connection_->buffer.data(), error);
      connection_->buffer.consume(n);
      if (error == http::error::need_more) return ParseProgress::incomplete;
      if (error) return ParseProgress::malformed;
      if (response_.parser().is_done()) return ParseProgress::complete;
      if (n == 0) return ParseProgress::incomplete;
    }
    return ParseProgress::incomplete;
  }

  // The end of the connection may also be the end of the response body.
  void handleReadError(error_code readError) {
    if (readError == asio::error::eof && response_.parser().got_some()) {
      error_code error;
      response_.parser().put_eof(error);
      if (!error && response_.parser().is_done() && !response_.isInterim()) return handleResponse();
    }
    statusLineConfirmsDelivery() ? finishAsDelivered() : failUnreported();
  }

  // A call that was not fully written cannot have been executed; after that its state is unknown.
  void failUnreported() {
    const CallResult callResult =
        stage_ == Stage::awaitingResponse ? CallResult::reset : CallResult::connectFailed;
    abortExchange();
    for (std::size_t i = 0; i < requests_.size(); ++i)
      if (!reported_[i]) reportResult(i, callResult);
    client_.removeExchange(shared_from_this());
  }

  // Reports from the event loop, because outcomes must not be reported from inside call().
  void skipUnreported() {
    abortExchange();
    asio::post(client_.io_, [this, self = shared_from_this(), alive = client_.alive_] {
      if (!*alive) return;
      for (std::size_t i = 0; i < requests_.size(); ++i)
        if (!reported_[i]) reportResult(i, CallResult::skipped);
      client_.removeExchange(self);
    });
  }

  void reportResult(std::size_t i, CallResult callResult) { reportResult(i, MessageResult{callResult}, 0); }
  void reportResult(std::size_t i, const MessageResult& result, Micros retryAfter) {
    if (reported_[i]) {
      if (result.callResult == CallResult::succeeded) client_.handleLateDelivery_(requests_[i].handle);
      return;
    }
    reported_[i] = true;
    Outcome outcome;
    outcome.id = requests_[i].handle;
    outcome.attempt = requests_[i].attempt;
    outcome.target = target_;
    outcome.callResult = result.callResult;
    outcome.duration = elapsedSince(startedAt_);
    outcome.retryDelay = retryAfter;
    outcome.endsMessage = result.endsMessage;
    outcome.noFreeSlot = result.noFreeSlot;
    outcome.unreadableResponse = result.unreadableResponse;
    outcome.connectionLimitReached = result.callResult == CallResult::busy && connectionLimitReached_;
    outcome.loadReport = loadReport_;
    starting_ ? client_.postOutcome(outcome)
              : client_.handleOutcome_(outcome);  // outcomes must not be reported from inside call()
  }

  // A status line with 200 to a single message proves delivery, even if the rest is malformed or missing.
  bool statusLineConfirmsDelivery() const {
    return stage_ == Stage::awaitingResponse && sentIndexes_.size() == 1 && !receivedBeforeWritten_ &&
           response_.hasStatusOk();
  }
  void finishAsDelivered() { finish({MessageResult{CallResult::succeeded, true}}, 0, false); }

  // The response is malformed: the call may have been executed, and the connection cannot be reused.
  void finishUnreadable() {
    finish(
        std::vector<MessageResult>(sentIndexes_.size(), MessageResult{CallResult::error, false, false, true}),
        0, false);
  }

  void handleResponse() {
    if (receivedBeforeWritten_) return finishUnreadable();
    std::vector<std::string> ids;
    for (const std::size_t i : sentIndexes_) ids.push_back(requests_[i].id);
    if (client_.settings_.loadReportSource == LoadReportSource::responses)
      loadReport_ = response_.loadReport();
    // A target at its rate or queue limit keeps the connection open; one at its connection limit closes it.
    connectionLimitReached_ = newConnection_ && !response_.parser().keep_alive() &&
                              response_.parser().get().result() == http::status::service_unavailable;
    finish(response_.messageResults(ids), response_.retryAfter(client_.maxRetryAfter_),
           response_.parser().keep_alive() && connection_->buffer.size() == 0);
  }

  void finish(const std::vector<MessageResult>& results, Micros retryAfter, bool reuse) {
    stage_ = Stage::finished;
    timer_.cancel();
    connection_->lastCall.answeredAt = Clock::now();
    if (reuse) {
      error_code ignored;
      if (readWaitPending_) connection_->socket.cancel(ignored);
      client_.returnToPool(target_, connection_);
    } else {
      connection_->close();
    }
    for (std::size_t n = 0; n < sentIndexes_.size(); ++n)
      reportResult(sentIndexes_[n], results[n], retryAfter);
    client_.removeExchange(shared_from_this());
  }

  HttpUpstreamClient& client_;
  TargetId target_;
  std::vector<UpstreamRequest> requests_;
  std::vector<bool> reported_;
  std::vector<std::optional<CallResult>> abandonedResults_;  // set for requests that are no longer awaited
  std::vector<std::size_t> sentIndexes_;  // indexes into requests_, in the order they were written
  asio::steady_timer timer_;
  Clock::time_point startedAt_ = Clock::now();
  std::optional<Clock::time_point> connectDeadline_, responseDeadline_;
  std::shared_ptr<Connection> connection_;
  std::string requestBytes_;
  std::size_t bytesWritten_ = 0;  // accepted by the kernel
  CallResponse response_;
  LoadReport loadReport_;  // of a complete response
  int interimCount_ = 0;
  Stage stage_ = Stage::connecting;
  bool newConnection_ = false, connectionLimitReached_ = false;
  bool starting_ = false, readWaitPending_ = false;
  bool receivedBeforeWritten_ = false;  // a response began before the call was written
};

HttpUpstreamClient::HttpUpstreamClient(asio::io_context& io, const PlatformConfig& config,
                                       std::size_t maxConnections, SendAuthorizer authorizeSend,
                                       OutcomeHandler handleOutcome, LateDeliveryHandler handleLateDelivery)
    : io_(io),
      settings_(config.settings),
      authorizeSend_(std::move(authorizeSend)),
      handleOutcome_(std::move(handleOutcome)),
      handleLateDelivery_(std::move(handleLateDelivery)),
      maxConnections_(maxConnections) {
  Micros longest = settings_.maxRetryAfter;
  for (const ClassSettings& classSettings : settings_.classes)
    longest = std::max(longest, classSettings.deadline);
  maxRetryAfter_ = kMaxRetryAfterFactor * longest;
}

HttpUpstreamClient::~HttpUpstreamClient() {
  *alive_ = false;
  for (const auto& exchange : exchanges_) exchange->abortExchange();
  while (!idleConnections_.empty()) closeIdle(TargetId(idleConnections_.begin()->first));
}

void HttpUpstreamClient::updateTargets(const DirectoryUpdate& directory) {
  std::set<TargetId> removed;
  if (directory.view.scope == ViewScope::all) {
    for (const auto& [target, knownTarget] : targets_) removed.insert(target);
  }
  for (const TargetEntry& entry : directory.view.entries) {
    if (entry.availability == Availability::removed) {
      removed.insert(entry.target);
      continue;
    }
    removed.erase(entry.target);
    targets_[entry.target] = {directory.addresses.at(entry.target), entry.kind, entry.destination};
  }
  for (const TargetId& target : removed) {
    closeIdle(target);
    targets_.erase(target);
  }
}

std::set<std::int64_t> HttpUpstreamClient::destinations() const {
  std::set<std::int64_t> ids;
  for (const auto& [target, knownTarget] : targets_) ids.insert(knownTarget.destination);
  return ids;
}

std::size_t HttpUpstreamClient::maxMessagesPerCall(const TargetId& target) const {
  const auto found = targets_.find(target);
  const std::size_t kind =
      found == targets_.end() ? settings_.kinds.size() : static_cast<std::size_t>(found->second.kind);
  return kind < settings_.kinds.size()
             ? static_cast<std::size_t>(std::max(1, settings_.kinds[kind].maxBatchSize))
             : 1;
}

void HttpUpstreamClient::call(const TargetId& target, std::vector<UpstreamRequest> requests) {
  const auto found = targets_.find(target);
  if (found == targets_.end()) {  // outcomes must not be reported from inside call()
    for (const UpstreamRequest& message : requests) {
      Outcome outcome;
      outcome.id = message.handle;
      outcome.attempt = message.attempt;
      outcome.target = target;
      outcome.callResult = CallResult::connectFailed;
      postOutcome(outcome);
    }
    return;
  }
  auto exchange = std::make_shared<Exchange>(*this, target, std::move(requests));
  exchanges_.insert(exchange);
  exchange->start(takeIdleConnection(target, found->second.address), found->second.address);
}

void HttpUpstreamClient::postOutcome(Outcome outcome) {
  asio::post(io_, [this, alive = alive_, outcome] {
    if (*alive) handleOutcome_(outcome);
  });
}

void HttpUpstreamClient::cancelCall(MessageId handle, int attempt) {
  for (const auto& exchange : exchanges_) {
    if (!exchange->contains(handle, attempt)) continue;
    const auto owner = exchange;  // keeps it alive when it is removed from the set
    return owner->cancelRequest(handle, attempt);
  }
}

void HttpUpstreamClient::removeExchange(const std::shared_ptr<Exchange>& exchange) {
  exchanges_.erase(exchange);
}

std::shared_ptr<HttpUpstreamClient::Connection> HttpUpstreamClient::takeIdleConnection(
    const TargetId& target, const tcp::endpoint& address) {
  const auto pool = idleConnections_.find(target);
  if (pool == idleConnections_.end()) return nullptr;
  const auto maxIdleTime = std::chrono::microseconds(settings_.connectionIdleTimeout) - kIdleTimeoutMargin;
  std::shared_ptr<Connection> reusable;
  while (!reusable && !pool->second.empty()) {
    std::shared_ptr<Connection> connection = std::move(pool->second.back());
    pool->second.pop_back();
    ++connection->idleGeneration;
    error_code ignored;
    connection->socket.cancel(ignored);
    const bool idleTooLong =
        settings_.connectionIdleTimeout > 0 && Clock::now() - connection->lastUsedAt >= maxIdleTime;
    if (!idleTooLong && connection->peer == address && connection->isReusable()) {
      reusable = std::move(connection);
    } else {
      connection->close();
    }
  }
  if (pool->second.empty()) idleConnections_.erase(pool);
  return reusable;
}

void HttpUpstreamClient::returnToPool(const TargetId& target, std::shared_ptr<Connection> connection) {
  if (!targets_.contains(target)) return connection->close();
  connection->lastUsedAt = Clock::now();
  const int idleGeneration = ++connection->idleGeneration;
  connection->socket.async_wait(tcp::socket::wait_read,
                                [this, alive = alive_, target, connection, idleGeneration](error_code) {
                                  if (!*alive || connection->idleGeneration != idleGeneration) return;
                                  logUnsolicitedInput(target, *connection);
                                  connection->close();
                                  const auto pool = idleConnections_.find(target);
                                  if (pool == idleConnections_.end()) return;
                                  std::erase(pool->second, connection);
                                  if (pool->second.empty()) idleConnections_.erase(pool);
                                });
  idleConnections_[target].push_back(std::move(connection));
}

void HttpUpstreamClient::logUnsolicitedInput(const TargetId& target, Connection& connection) {
  const std::string input = connection.peekInput();
  if (input.empty()) return;
  ++extraResponses_;
  const CallTrace& call = connection.lastCall;
  std::cerr << "upstream: extra response " << statusIn(input) << " from " << target << " on connection "
            << connection.number << ", " << elapsedSince(call.answeredAt) / 1'000
            << " ms after the response and " << elapsedSince(call.writtenAt) / 1'000
            << " ms after the request of " << describe(call)
            << " (call before: " << describe(connection.previousCall) << "): connection closed, "
            << extraResponses_ << " so far" << std::endl;
}

bool HttpUpstreamClient::evictOldestIdleConnection() {
  auto oldest = idleConnections_.end();
  for (auto pool = idleConnections_.begin(); pool != idleConnections_.end(); ++pool) {
    if (oldest == idleConnections_.end() ||
        pool->second.front()->lastUsedAt < oldest->second.front()->lastUsedAt)
      oldest = pool;
  }
  if (oldest == idleConnections_.end()) return false;
  const auto connection = oldest->second.front();
  ++connection->idleGeneration;
  connection->close();
  oldest->second.erase(oldest->second.begin());
  if (oldest->second.empty()) idleConnections_.erase(oldest);
  return true;
}

void HttpUpstreamClient::closeIdle(const TargetId& target) {
  const auto pool = idleConnections_.find(target);
  if (pool == idleConnections_.end()) return;
  for (const auto& connection : pool->second) {
    ++connection->idleGeneration;
    connection->close();
  }
  idleConnections_.erase(pool);
}

std::size_t HttpUpstreamClient::idleConnections(const TargetId& target) const {
  const auto found = idleConnections_.find(target);
  return found == idleConnections_.end() ? 0 : found->second.size();
}

}  // namespace quilltide::net
