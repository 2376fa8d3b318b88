#include "upstream/http/http_upstream_client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_to_string.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <optional>
#include <utility>

#include "clock/alarm.hpp"
#include "upstream/http/call_response.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr int kMaxSkippedResponses =
    16;  // interim (1xx) and foreign ones that are accepted before the final one
constexpr int kMaxRetryAfterFactor = 10;  // limit of X-Retry-In-Ms, as a multiple of the longest deadline

Micros elapsedSince(Clock::time_point from) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - from).count();
}

Micros longestRetryAfter(const Settings& settings) {
  Micros longest = settings.maxRetryAfter;
  for (const ClassSettings& classSettings : settings.classes)
    longest = std::max(longest, classSettings.deadline);
  return kMaxRetryAfterFactor * longest;
}

std::string formatSeconds(Micros duration) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(duration) / 1e6);
  return text;
}

}  // namespace

// One call: writes the HTTP request, reads the response and reports the outcome of each message. The socket
// is non-blocking and read and written directly, so that a timeout or cancellation acts on what the kernel
// has already accepted or received.
class HttpUpstreamClient::Exchange : public std::enable_shared_from_this<HttpUpstreamClient::Exchange> {
 public:
  Exchange(HttpUpstreamClient& client, TargetId target, std::vector<UpstreamRequest> requests)
      : client_(client), target_(std::move(target)), requests_(std::move(requests)), alarm_(client.io_) {
    reported_.resize(requests_.size(), false);
    abandonedResults_.resize(requests_.size());
  }

  void start(std::shared_ptr<UpstreamConnection> connection, const tcp::endpoint& address) {
    auto self = shared_from_this();
    armAlarm();
    if (connection) {
      connection_ = std::move(connection);
      previouslyRestedAt_ = connection_->restedAt;
      starting_ = true;
      sendRequest();
      starting_ = false;
      return;
    }
    connection_ = client_.pool_.create(address);
    if (!connection_) return skipUnreported();
    newConnection_ = true;
    connectDeadline_ = startedAt_ + std::chrono::microseconds(client_.settings_.connectTimeout);
    armAlarm();
    connection_->socket.async_connect(address, [this, self](error_code error) {
      if (stage_ == Stage::finished) return;
      client_.pool_.recordConnectTime(std::chrono::microseconds(elapsedSince(startedAt_)));
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
    alarm_.disarm();
    if (connection_) client_.pool_.discard(*connection_, ResponseReview::End::connectionLost);
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
    // Whoever is at the address now may serve another destination.
    if (client_.hasMoved(target_, connection_->peer)) return skipUnreported();
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
      alarm_.disarm();
      releaseConnection();
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
        if (bytesWritten_ == 0) {
          client_.pool_.release(target_, std::exchange(connection_, nullptr), true);
          return failUnreported();
        }
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
    connection_->recordCall(requests_[sentIndexes_.front()].id, requests_[sentIndexes_.front()].attempt);
    requestBytes_ = {};
    if (connection_->input.buffer().size() > 0) return readResponse();
    waitForResponse();
  }

  Clock::time_point requestDeadline(std::size_t i) const {
    const UpstreamRequest& message = requests_[i];
    return startedAt_ + std::chrono::microseconds(abandonedResults_[i]
                                                      ? std::max(message.timeout, message.timeToLive)
                                                      : message.timeout);
  }

  // Arms the alarm for the connect deadline or the earliest deadline of an unreported request.
  void armAlarm() {
    std::optional<Clock::time_point> earliest = connectDeadline_;
    for (std::size_t i = 0; i < requests_.size(); ++i)
      if (!reported_[i] && (!earliest || requestDeadline(i) < *earliest)) earliest = requestDeadline(i);
    if (!earliest) return;
    alarm_.armAt(*earliest, [this, self = shared_from_this()] {
      if (stage_ == Stage::finished) return;
      const auto now = Clock::now();
      if (connectDeadline_ && now >= *connectDeadline_) {
        client_.pool_.recordConnectTime(std::chrono::microseconds(elapsedSince(startedAt_)));
        return failUnreported();
      }
      if (completedByResponse()) return;
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
    noneWaiting ? client_.removeExchange(shared_from_this()) : armAlarm();
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
    connection_->input.waitReadable([this, self = shared_from_this()](error_code error) {
      readWaitPending_ = false;
      if (stage_ == Stage::finished) return;
      if (error == InputError::messageOverdue) {
        if (!completedByResponse()) finishUnreadable();
        return;
      }
      if (error) return failUnreported();
      readResponse();
    });
  }

  // Reads what is available, within the limits of the input. Interim (1xx) responses may arrive at any time.
  void readResponse() {
    while (stage_ == Stage::awaitingResponse) {
      const CallResponse::Progress progress = response_.parse(connection_->input);
      if (progress == CallResponse::Progress::complete) {
        connection_->input.startMessage();
        if (isForeignResponse()) {
          client_.pool_.recordForeignResponse(target_, *connection_, response_.status());
        } else if (!response_.isInterim()) {
          return handleResponse();
        }
        if (response_.parser().get().result() == http::status::switching_protocols ||
            ++skippedCount_ > kMaxSkippedResponses)
          return finishUnreadable();
        response_.reset();
        continue;
      }
      error_code error;
      if (progress == CallResponse::Progress::incomplete) connection_->input.readSome(error);
      if (progress == CallResponse::Progress::malformed || error == InputError::bufferFull)
        return statusLineConfirmsDelivery() ? finishAsDelivered() : finishUnreadable();
      if (error == asio::error::would_block) return waitForResponse();
      if (error) return handleReadError(error);
    }
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
    outcome.provisional = provisional_ && mayBeContradicted(result);
    starting_ ? client_.postOutcome(outcome)
              : client_.handleOutcome_(outcome);  // outcomes must not be reported from inside call()
  }

  // A status line with 200 to a single message proves delivery, even if the rest is malformed or missing.
  bool statusLineConfirmsDelivery() const {
    return stage_ == Stage::awaitingResponse && sentIndexes_.size() == 1 && !receivedBeforeWritten_ &&
           response_.hasStatusOk();
  }
  std::vector<std::string> sentIds() const {
    std::vector<std::string> ids;
    for (const std::size_t i : sentIndexes_) ids.push_back(requests_[i].id);
    return ids;
  }

  // A complete response to several messages that names others belongs to an earlier call on the connection.
  bool isForeignResponse() const {
    if (newConnection_ || sentIndexes_.size() == 1 || response_.isInterim()) return false;
    return response_.namesOnlyOthers(sentIds());
  }

  // The response may be a repeat of an earlier one with its status, or the responses to the calls under
  // review may be shifted by one. The first response of a connection, and the last one before the target
  // closes it, are no repeats.
  bool isProvisional(bool connectionContinues) const {
    if (newConnection_ || !connectionContinues) return false;
    return !connection_->review.empty() || connection_->statusesSeen.contains(response_.status());
  }
  // A result after which the message may have run leaves nothing to contradict, unless a retry has to wait
  // for the end of the call.
  bool mayBeContradicted(const MessageResult& result) const {
    return result.callResult != CallResult::error || !client_.settings_.concurrentAttemptsAllowed;
  }

  void reviewCall() {
    std::vector<ResponseReview::Entry> entries;
    for (const std::size_t i : sentIndexes_)
      entries.push_back({requests_[i].handle, requests_[i].attempt, requests_[i].id});
    // A response that comes before the connection has rested may be a repeat even if no other one follows.
    const bool mayBeRepeat = Clock::now() < previouslyRestedAt_;
    connection_->review.addCall(std::move(entries), std::move(response_), mayBeRepeat);
  }

  void handleResponse() {
    if (receivedBeforeWritten_) {
      client_.pool_.recordForeignResponse(target_, *connection_, response_.status());
      return finishUnreadable();
    }
    if (client_.settings_.loadReportSource == LoadReportSource::responses)
      loadReport_ = response_.loadReport();
    const bool keepAlive = response_.keepsConnection();
    // A target at its rate or queue limit keeps the connection open; one at its connection limit closes it.
    connectionLimitReached_ = newConnection_ && !keepAlive &&
                              response_.parser().get().result() == http::status::service_unavailable;
    if (connectionLimitReached_) client_.pool_.recordConnectionLimit(target_);
    const std::vector<MessageResult> results = response_.messageResults(sentIds());
    const Micros retryAfter = response_.retryAfter(client_.maxRetryAfter_);
    provisional_ = isProvisional(keepAlive);
    connection_->recordResponse(response_.status(), responseExpectedWithin());
    if (provisional_) reviewCall();
    keepAlive ? releaseConnection()
              : client_.pool_.discard(*connection_, ResponseReview::End::noMoreResponses);
    finish(results, retryAfter);
  }

  // The response is malformed behind its status line, or the connection has ended.
  void finishAsDelivered() {
    provisional_ = isProvisional(true);
    if (provisional_) reviewCall();
    client_.pool_.discard(*connection_, ResponseReview::End::connectionLost);
    finish({MessageResult{CallResult::succeeded, true}}, 0);
  }

  // The response is malformed: the call may have been executed, and the connection cannot be reused.
  void finishUnreadable() {
    client_.pool_.discard(*connection_, ResponseReview::End::connectionLost);
    finish(
        std::vector<MessageResult>(sentIndexes_.size(), MessageResult{CallResult::error, false, false, true}),
        0);
  }

  std::chrono::microseconds responseExpectedWithin() const {
    Micros longest = 0;
    for (const std::size_t i : sentIndexes_) longest = std::max(longest, requests_[i].responseExpectedWithin);
    return std::chrono::microseconds(longest);
  }

  void releaseConnection() {
    error_code ignored;
    if (readWaitPending_) connection_->socket.cancel(ignored);
    client_.pool_.release(target_, connection_, !client_.targets_.contains(target_));
  }

  void finish(const std::vector<MessageResult>& results, Micros retryAfter) {
    stage_ = Stage::finished;
    alarm_.disarm();
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
  clocks::Alarm alarm_;
  Clock::time_point startedAt_ = Clock::now();
  std::optional<Clock::time_point> connectDeadline_;
  std::shared_ptr<UpstreamConnection> connection_;
  Clock::time_point previouslyRestedAt_{};  // of a reused connection, when it was taken
  std::string requestBytes_;
  std::size_t bytesWritten_ = 0;  // accepted by the kernel
  CallResponse response_;
  LoadReport loadReport_;  // of a complete response
  int skippedCount_ = 0;
  Stage stage_ = Stage::connecting;
  bool newConnection_ = false, connectionLimitReached_ = false;
  bool starting_ = false, readWaitPending_ = false;
  bool provisional_ = false;
  bool receivedBeforeWritten_ = false;  // a response began before the call was written
};

HttpUpstreamClient::HttpUpstreamClient(asio::io_context& io, const PlatformConfig& config,
                                       std::size_t maxConnections, SendAuthorizer authorizeSend,
                                       OutcomeHandler handleOutcome, LateDeliveryHandler handleLateDelivery,
                                       ConnectionPool::Handlers reviewHandlers)
    : io_(io),
      settings_(config.settings),
      authorizeSend_(std::move(authorizeSend)),
      handleOutcome_(std::move(handleOutcome)),
      handleLateDelivery_(std::move(handleLateDelivery)),
      maxRetryAfter_(longestRetryAfter(config.settings)),
      pool_(io, config.settings.connectionIdleTimeout, maxConnections, maxRetryAfter_,
            std::move(reviewHandlers)) {}

HttpUpstreamClient::~HttpUpstreamClient() {
  *alive_ = false;
  for (const auto& exchange : exchanges_) exchange->abortExchange();
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
    updateTarget(entry, directory);
  }
  for (const TargetId& target : removed) {
    closeIdle(target);
    targets_.erase(target);
  }
}

// Idle connections to a process that another one has replaced bring no calls to the new one.
void HttpUpstreamClient::updateTarget(const TargetEntry& entry, const DirectoryUpdate& directory) {
  const KnownTarget target{directory.addresses.at(entry.target), entry.kind, entry.destination,
                           directory.startTimes.at(entry.target)};
  const auto [known, isNew] = targets_.try_emplace(entry.target, target);
  if (isNew) return;
  const bool sameProcess = known->second.address == target.address &&
                           known->second.destination == target.destination &&
                           known->second.startTimeMs == target.startTimeMs;
  known->second = target;
  if (!sameProcess) closeIdle(entry.target);
}

bool HttpUpstreamClient::hasMoved(const TargetId& target, const tcp::endpoint& address) const {
  const auto found = targets_.find(target);
  return found != targets_.end() && found->second.address != address;
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
  const bool mayRepeat = std::all_of(requests.begin(), requests.end(),
                                     [](const UpstreamRequest& request) { return request.mayRepeat; });
  auto exchange = std::make_shared<Exchange>(*this, target, std::move(requests));
  exchanges_.insert(exchange);
  exchange->start(pool_.take(target, found->second.address, mayRepeat), found->second.address);
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

}  // namespace quilltide::net
