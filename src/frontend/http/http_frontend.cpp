// Connections of HTTP clients. Each handles one request at a time, with limits on its duration and size.
#include "frontend/http/http_frontend.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http.hpp>
#include <cerrno>
#include <chrono>
#include <cstdio>
#include <iostream>
#include <utility>

#include "clock/alarm.hpp"
#include "frontend/http/api.hpp"
#include "frontend/listener/lingering.hpp"
#include "net/bounded_input.hpp"
#include "net/bounded_parser.hpp"
#include "net/socket_writer.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using asio::ip::tcp;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr std::size_t kMaxEventWriteBytes = 32 * 1024;    // events of one stream in one write, approximately
constexpr auto kWriteTimeout = milliseconds(10'000);      // for a client that does not read its response
constexpr auto kHeartbeatInterval = milliseconds(5'000);  // on an event stream without events
// Consecutive pipelined requests without a message that one connection may send at full rate; further ones
// wait in the rate limiter.
constexpr std::size_t kMaxUnthrottledRequests = 16;
constexpr std::size_t kFloodTurnsPerMs = 4;
// A keep-alive connection that has been idle for this long may be evicted.
constexpr auto kMinIdleBeforeEviction = milliseconds(2'000);

InputLimits inputLimits(const HttpFrontendSettings& settings) {
  InputLimits limits = kHttpClientInput;
  // One more byte than is allowed, so that what is too long can be told with the limit of the operation.
  limits.bodyBytes = std::max(settings.maxBatchBytes, kMaxBodyBytes) + 1;
  limits.messageTime = settings.requestTimeout;
  return limits;
}

std::string serialize(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

}  // namespace

class HttpFrontend::Client : public std::enable_shared_from_this<HttpFrontend::Client> {
 public:
  Client(HttpFrontend& frontend, tcp::socket socket)
      : frontend_(&frontend),
        socket_(std::move(socket)),
        input_(socket_, InputSource::httpClient, inputLimits(frontend.settings_)),
        memory_(frontend.clientMemory_, [this] { endForMemory(); }),
        alarm_(frontend.io_) {}

  void start(Clients<Client>::iterator entry) {
    entry_ = entry;
    startNextRequest();
  }

  // Responds 503 without reading a request, because the connection limit is reached.
  void rejectOverCapacity(Clients<Client>::iterator entry) {
    entry_ = entry;
    rejected_ = true;
    responseDue_ = true;
    ++frontend_->rejectedClients_;
    respondAndClose({503, "no-room", "every place of this frontend is taken", retryDelayUs(), nullptr});
  }

  Eviction eviction(Clock::time_point now) {
    if (state_ == State::lingering) return Eviction::preferred;
    if (state_ != State::idle) return Eviction::forbidden;
    error_code error;
    if (socket_.available(error) > 0 && !error) return Eviction::forbidden;
    if (hasSentRequest_ && now - lastActivity_ < kMinIdleBeforeEviction) return Eviction::forbidden;
    return hasSentRequest_ ? Eviction::lastResort : Eviction::preferred;
  }

  bool tryEvict() {
    close();
    return true;
  }

  void drain() {
    if (state_ == State::idle && socket_.available() == 0) close();
  }

  void finish() {
    switch (state_) {
      case State::idle:
        return close();
      case State::reading:
        return respondAndClose({503, "stopping", "this forwarder is shutting down", retryDelayUs(), nullptr});
      case State::polling:
        return answerPoll();
      case State::streaming:
        return sendNewEvents();  // ends the stream behind them
      case State::submitting:
      case State::writing:
      case State::lingering:
        return;
    }
  }

  // Answers a long poll whose message has ended.
  void onMessageEnded() { answerPoll(); }

  // Writes the events that the stream has not sent yet, unless a write is in progress.
  void sendNewEvents() {
    if (state_ != State::streaming || writing_) return;
    const Journal& journal = frontend_->engine_.messageJournal();
    streamBuffer_.clear();
    if (streamPosition_ + 1 < journal.firstRetainedPosition()) {
      streamBuffer_ +=
          "event: gap\ndata: " +
          serialize({{"from", streamPosition_ + 1}, {"to", journal.firstRetainedPosition() - 1}}) + "\n\n";
      streamPosition_ = journal.firstRetainedPosition() - 1;
    }
    while (const FinalOutcome* event =
               streamBuffer_.size() < kMaxEventWriteBytes ? journal.outcomeAfter(streamPosition_) : nullptr) {
      streamBuffer_ += api::formatEndEvent(*event, journal.epoch(), frontend_->engine_.names());
      streamPosition_ = event->position;
    }
    writeEvents();
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    alarm_.disarm();
    error_code ignored;
    socket_.close(ignored);
    memory_.release();
    if (frontend_ == nullptr) return;
    releaseWaitSlot();
    if (rejected_) --frontend_->rejectedClients_;
    // Keeps this client alive while it is erased: the list may hold the last reference.
    const auto self = std::move(*entry_);
    frontend_->clients_.erase(entry_);
  }
  void detach() {
    close();
    frontend_ = nullptr;
  }

 private:
  enum class State {
    idle,        // waiting for the first byte of a request
    reading,     // reading a request
    submitting,  // waiting for the reply of the engine
    polling,     // long poll
    streaming,   // event stream of final outcomes
    writing,     // writing a response
    lingering,   // lingering close after the last response
  };

  Micros retryDelayUs() const {
    return std::chrono::microseconds(frontend_->settings_.defaultRetryAfter).count();
  }

  void markUsed() {
    lastActivity_ = Clock::now();
    frontend_->clients_.splice(frontend_->clients_.end(), frontend_->clients_, entry_);
  }
  // This client holds more than its share while all clients together are above the limit.
  void endForMemory() {
    const auto self = shared_from_this();
    if (state_ != State::reading) return close();  // it does not read its response
    error_code ignored;
    socket_.cancel(ignored);
    respondAndClose({503, "no-room", "too many bytes of unanswered requests", retryDelayUs(), nullptr});
  }

  template <typename Handler>
  void runAfter(milliseconds waitTime, Handler handler) {
    alarm_.armAfter(waitTime, [self = shared_from_this(), handler] {
      if (!self->closed_) handler();
    });
  }

  // ---- Reading a request ----

  void startNextRequest() {
    state_ = State::idle;
    memory_.release();
    parser_.emplace(input_.limits());
    error_code availableError;
    if (input_.buffer().size() > 0 ||
        (requestsWithoutMessage_ > 0 && socket_.available(availableError) > 0 && !availableError))
      return readPipelined();
    requestsWithoutMessage_ = 0;
    if (frontend_->draining_ && hasSentRequest_) return close();
    // Until its first request, a client gets the request timeout instead of the idle timeout.
    runAfter(hasSentRequest_ ? frontend_->settings_.idleTimeout : frontend_->settings_.requestTimeout,
             [this] { closeIdle(); });
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
      if (closed_ || state_ != State::idle) return;
      if (error) return close();
      readHeader();
    });
  }

  // A request that has arrived is answered; the handler of the wait for it follows.
  void closeIdle() {
    error_code error;
    if (state_ != State::idle || (socket_.available(error) > 0 && !error)) return;
    close();
  }

  // Reads a pipelined request, through the rate limiter if too many came without a message.
  void readPipelined() {
    if (requestsWithoutMessage_ < kMaxUnthrottledRequests) return readHeader();
    state_ = State::reading;
    frontend_->floodLimiter_.enqueue([this, self = shared_from_this()] {
      if (closed_ || state_ != State::reading) return false;
      readHeader();
      return true;
    });
  }

  void readHeader() {
    state_ = State::reading;
    responseDue_ = true;
    markUsed();
    alarm_.disarm();
    input_.startMessage();
    input_.asyncReadHeader(*parser_, [this, self = shared_from_this()](error_code error, std::size_t) {
      if (closed_ || state_ != State::reading) return;
      if (error) return handleReadError(error);
      handleHeader();
    });
  }

  // Rejects invalid headers before the body is read.
  void handleHeader() {
    const auto& header = parser_->get().base();
    if (auto framingProblem = api::validateFraming(header)) return respondAndClose(*framingProblem);
    auto target = api::parseTarget({header.target().data(), header.target().size()});
    if (auto* problem = std::get_if<api::Problem>(&target)) return respondAndClose(*problem);
    target_ = std::move(std::get<api::Target>(target));
    auto routeMatch = api::route(header.method(), target_);
    if (auto* problem = std::get_if<api::Problem>(&routeMatch)) return respondAndClose(*problem);
    match_ = std::move(std::get<api::RouteMatch>(routeMatch));
    const std::size_t limit = bodyLimit();
    const auto declaredLength = parser_->content_length();
    if (declaredLength && *declaredLength > limit) return rejectTooLarge();
    contentLength_ = declaredLength ? static_cast<std::size_t>(*declaredLength) : 0;
    accountRequest();
    if (closed_ || state_ != State::reading) return;
    if (header[http::field::expect].empty() || parser_->is_done() || input_.buffer().size() > 0)
      return readBody();
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    runAfter(kWriteTimeout, [this] { close(); });
    asio::async_write(writer_, asio::buffer(kContinue),
                      [this, self = shared_from_this()](error_code error, std::size_t) {
                        if (closed_ || state_ != State::reading) return;
                        if (error) return close();
                        alarm_.disarm();
                        readBody();
                      });
  }

  std::size_t bodyLimit() const {
    switch (match_.operation) {
      case api::Operation::submit:
        return kMaxBodyBytes;
      case api::Operation::submitBatch:
        return frontend_->settings_.maxBatchBytes;
      case api::Operation::getState:
      case api::Operation::streamEnds:
        break;
    }
    return 0;
  }
  void rejectTooLarge() {
    input_.report(InputLimit::bodyBytes);
    respondTooLarge();
  }
  void respondTooLarge() {
    respondAndClose({413, "too-large",
                     "the body of this request is limited to " + std::to_string(bodyLimit()) + " bytes", 0,
                     nullptr});
  }

  // Accounts for the size of this request. May end this client.
  void accountRequest() {
    memory_.setBytes(std::max(contentLength_, parser_->get().body().size()) + parser_->headMemoryBytes() +
                     input_.buffer().size());
  }

  void readBody() {
    if (parser_->is_done()) return dispatchRequest();
    input_.asyncReadSome(*parser_, [this, self = shared_from_this()](error_code error, std::size_t count) {
      if (closed_ || state_ != State::reading) return;
      if (error) return handleReadError(error);
      if (parser_->get().body().size() > bodyLimit()) return rejectTooLarge();
      memory_.recordInput(count);
      accountRequest();
      if (!closed_ && state_ == State::reading) readBody();
    });
  }

  void handleReadError(error_code error) {
    if (error == http::error::end_of_stream) return close();
    if (error == InputError::messageOverdue)
      return respondAndClose(
          {408, "request-timeout", "request timed out before it was complete", 0, nullptr});
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
      return respondAndClose({431, "head-too-large", "the request header is limited to 8 KiB", 0, nullptr});
    if (error == InputError::tooManyFields)
      return respondAndClose(
          {431, "head-too-large",
           "the request header is limited to " + std::to_string(kMaxHeadFields) + " fields", 0, nullptr});
    if (error == http::error::body_limit) return respondTooLarge();
    if (error.category() != http::make_error_code(http::error::need_more).category()) return close();
    respondAndClose({400, "bad-request", "malformed request: " + error.message(), 0, nullptr});
  }

  void dispatchRequest() {
    alarm_.disarm();
    memory_.release();  // the engine bounds what it takes on
    hasSentRequest_ = true;
    keepAlive_ = parser_->keep_alive();
    const bool submitsMessages =
        match_.operation == api::Operation::submit || match_.operation == api::Operation::submitBatch;
    requestsWithoutMessage_ = submitsMessages ? 0 : requestsWithoutMessage_ + 1;
    switch (match_.operation) {
      case api::Operation::submit:
        return submit();
      case api::Operation::submitBatch:
        return submitBatch();
      case api::Operation::getState:
        return handleStateRequest();
      case api::Operation::streamEnds:
        return startEventStream();
    }
  }

  // ---- Submissions ----

  std::function<std::string()> idGenerator() {
    return [this] { return frontend_->newId(); };
  }

  void submit() {
    auto parsed =
        api::parseMessage(parser_->get().base(), target_, frontend_->engine_.names(), idGenerator());
    if (auto* problem = std::get_if<api::Problem>(&parsed)) return respond(*problem);
    auto& message = std::get<Submission>(parsed);
    message.body = std::move(parser_->get().body());
    if (const char* defect = validationError(message))
      return respond(api::Problem{400, "bad-request", defect, 0, nullptr});
    state_ = State::submitting;
    const std::string id = message.id;
    frontend_->admission_.submit(input_, std::move(message),
                                 [this, self = shared_from_this(), id](const Reply& reply) {
                                   if (closed_ || frontend_ == nullptr) return;
                                   respond(responseFor(reply, id));
                                 });
  }

  std::variant<api::Success, api::Problem> responseFor(const Reply& reply, const std::string& id) const {
    const MessageStatus status =
        reply.kind == Reply::Kind::duplicate ? frontend_->engine_.status(id) : MessageStatus{};
    return api::responseTo(reply, id, status, frontend_->engine_.names(), retryDelayUs());
  }

  struct Batch {
    std::vector<std::string> results;
    std::size_t outstanding = 1;  // includes one for the submitting loop itself
  };

  // Each line is submitted on its own, so that one batch may have accepted and rejected messages.
  void submitBatch() {
    const std::string body = std::move(parser_->get().body());
    std::vector<std::string_view> lines;
    for (std::size_t at = 0; at < body.size();) {
      const std::size_t end = std::min(body.find('\n', at), body.size());
      std::string_view line(body.data() + at, end - at);
      if (line.ends_with('\r')) line.remove_suffix(1);
      if (!line.empty()) lines.push_back(line);
      at = end + 1;
    }
    if (lines.empty()) return respond(api::Problem{400, "bad-request", "the batch has no lines", 0, nullptr});
    if (lines.size() > frontend_->settings_.maxBatchLines)
      return respond(api::Problem{
          413, "too-large",
          "a batch is limited to " + std::to_string(frontend_->settings_.maxBatchLines) + " lines", 0,
          nullptr});
    state_ = State::submitting;
    auto batch = std::make_shared<Batch>();
    batch->results.resize(lines.size());
    for (std::size_t i = 0; i < lines.size(); ++i) {
      auto parsed = api::parseBatchLine(lines[i], frontend_->engine_.names(), idGenerator());
      if (const auto* problem = std::get_if<api::Problem>(&parsed)) {
        batch->results[i] = batchLine(*problem, "");
        continue;
      }
      auto& message = std::get<Submission>(parsed);
      const std::string id = message.id;
      ++batch->outstanding;
      frontend_->admission_.submit(input_, std::move(message),
                                   [this, self = shared_from_this(), batch, i, id](const Reply& reply) {
                                     if (closed_ || frontend_ == nullptr) return;
                                     batch->results[i] = batchLine(responseFor(reply, id), id);
                                     if (--batch->outstanding == 0) respondBatch(*batch);
                                   });
    }
    if (--batch->outstanding == 0) respondBatch(*batch);
  }

  static std::string batchLine(const std::variant<api::Success, api::Problem>& answer,
                               const std::string& id) {
    json line;
    if (const auto* success = std::get_if<api::Success>(&answer)) {
      line = success->body;
      line["status"] = success->status;
    } else {
      line = api::toJson(std::get<api::Problem>(answer));
      if (!id.empty()) line["id"] = id;
    }
    return serialize(line) + "\n";
  }

  void respondBatch(const Batch& batch) {
    std::string body;
    for (const std::string& line : batch.results) body += line;
    writeResponse(200, "application/x-ndjson", std::move(body), {});
  }

  // ---- States and event streams ----

  bool acquireWaitSlot() {
    if (frontend_->waitingClients_ >= frontend_->maxWaitingClients_) return false;
    ++frontend_->waitingClients_;
    holdsWaitSlot_ = true;
    return true;
  }
  void releaseWaitSlot() {
    if (!holdsWaitSlot_) return;
    holdsWaitSlot_ = false;
    --frontend_->waitingClients_;
    frontend_->eventStreams_.erase(this);
    const auto [from, to] = frontend_->longPolls_.equal_range(match_.id);
    for (auto at = from; at != to; ++at) {
      if (at->second.lock().get() != this) continue;
      frontend_->longPolls_.erase(at);
      break;
    }
  }

  void handleStateRequest() {
    const auto wait = api::parseQueryInteger(target_, "wait_ms", 0);
    if (const auto* problem = std::get_if<api::Problem>(&wait)) return respond(*problem);
    const auto waitTime =
        std::min(milliseconds(std::get<std::int64_t>(wait)), frontend_->settings_.maxPollDuration);
    const MessageStatus status = frontend_->engine_.status(match_.id);
    const bool pending =
        status.state != MessageStatus::State::unknown && status.state != MessageStatus::State::ended;
    if (!pending || waitTime.count() == 0 || frontend_->finished_) return respondWithState();
    if (!acquireWaitSlot())
      return respond(
          api::Problem{503, "no-room", "too many long polls and event streams", retryDelayUs(), nullptr});
    state_ = State::polling;
    frontend_->longPolls_.emplace(match_.id, weak_from_this());
    runAfter(waitTime, [this] { answerPoll(); });
    watchForClose();
  }

  // Answers a long poll, unless that has happened.
  void answerPoll() {
    if (state_ != State::polling) return;
    releaseWaitSlot();
    alarm_.disarm();
    respondWithState();
  }
  void respondWithState() {
    respond(api::stateResponse(match_.id, frontend_->engine_.status(match_.id), frontend_->engine_.names()));
  }

  // Detects a client that disconnects during a long poll or stream. Input is only peeked at: it belongs to
  // the next request.
  void watchForClose() {
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
      if (closed_ || (state_ != State::polling && state_ != State::streaming)) return;
      char byte;
      const auto n = error ? 0 : ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      if (n == 0 || (n < 0 && errno != EAGAIN)) close();
    });
  }

  void startEventStream() {
    const auto& header = parser_->get().base();
    const auto afterParameter = target_.query.find("after");
    const std::string startId = header.find("Last-Event-ID") != header.end()
                                    ? std::string(header["Last-Event-ID"])
                                : afterParameter != target_.query.end() ? afterParameter->second
                                                                        : "";
    const Journal& journal = frontend_->engine_.messageJournal();
    const auto streamStart = startId.empty()
                                 ? api::StreamPosition{std::nullopt, journal.lastDurablePosition()}
                                 : api::parseStreamPosition(startId);
    if (!streamStart) return respond(api::Problem{400, "bad-request", "not a valid event id", 0, nullptr});
    if (!acquireWaitSlot())
      return respond(
          api::Problem{503, "no-room", "too many long polls and event streams", retryDelayUs(), nullptr});
    state_ = State::streaming;
    responseDue_ = false;
    frontend_->eventStreams_.insert(this);
    streamBuffer_ =
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nCache-Control: no-store\r\nConnection: "
        "close\r\n\r\n";
    streamPosition_ = streamStart->position;
    // A position of another epoch or one beyond the last: the client must restart from the first retained
    // position.
    if (streamStart->epoch.value_or(journal.epoch()) != journal.epoch() ||
        streamPosition_ > journal.lastDurablePosition()) {
      streamPosition_ = journal.firstRetainedPosition() - 1;
      streamBuffer_ += "event: reset\ndata: " +
                       serialize({{"epoch", journal.epoch()}, {"from", journal.firstRetainedPosition()}}) +
                       "\n\n";
    }
    watchForClose();
    writeEvents();
  }

  void writeEvents() {
    if (streamBuffer_.empty()) {
      if (frontend_->finished_) return linger();
      return runAfter(kHeartbeatInterval, [this] {
        streamBuffer_ = ":\n\n";
        writeEvents();
      });
    }
    writing_ = true;
    runAfter(kWriteTimeout, [this] { close(); });
    asio::async_write(writer_, asio::buffer(streamBuffer_),
                      [this, self = shared_from_this()](error_code error, std::size_t) {
                        writing_ = false;
                        if (closed_) return;
                        if (error) return close();
                        markUsed();
                        sendNewEvents();
                      });
  }

  // ---- Responses ----

  void respond(const std::variant<api::Success, api::Problem>& answer) {
    if (const auto* problem = std::get_if<api::Problem>(&answer)) return respond(*problem);
    const auto& success = std::get<api::Success>(answer);
    http::fields extraHeaders;
    if (success.status == 202)
      extraHeaders.set(http::field::location, "/v1/messages/" + percentEncode(success.body.at("id")));
    writeResponse(success.status, "application/json", serialize(success.body) + "\n", extraHeaders);
  }

  void respond(const api::Problem& problem) {
    http::fields extraHeaders;
    if (problem.allow != nullptr) extraHeaders.set(http::field::allow, problem.allow);
    if (problem.retryAfterUs > 0) {
      extraHeaders.set(http::field::retry_after,
                       std::to_string((problem.retryAfterUs + 999'999) / 1'000'000));
      extraHeaders.set("Retry-In-Ms", std::to_string((problem.retryAfterUs + 999) / 1000));
    }
    writeResponse(problem.status, "application/problem+json", serialize(api::toJson(problem)) + "\n",
                  extraHeaders);
  }

  // Sends the last response of the connection. Further input cannot be framed reliably, or is not accepted.
  void respondAndClose(const api::Problem& problem) {
    keepAlive_ = false;
    respond(problem);
  }

  static std::string percentEncode(const std::string& id) {
    std::string out;
    for (const char c : id) {
      if (std::isalnum(static_cast<unsigned char>(c)) || c == '-' || c == '_' || c == '.' || c == '~') {
        out += c;
      } else {
        char code[4];
        std::snprintf(code, sizeof code, "%%%02X", static_cast<unsigned char>(c));
        out += code;
      }
    }
    return out;
  }

  // Counts and logs a response that would have been the second one to its request.
  void suppressResponse(int status) {
    ++frontend_->surplusResponses_;
    std::cerr << "http: suppressed a second response, " << status << ", to one request in state "
              << static_cast<int>(state_) << ", " << frontend_->surplusResponses_ << " so far" << std::endl;
  }

  void writeResponse(int status, const char* type, std::string body, const http::fields& extraHeaders) {
    if (!std::exchange(responseDue_, false)) return suppressResponse(status);
    state_ = State::writing;
    const bool closeAfterResponse = !keepAlive_ || frontend_->draining_;
    response_ = {};
    for (const auto& field : extraHeaders) response_.set(field.name_string(), field.value());
    response_.result(static_cast<unsigned>(status));
    response_.version(parser_ && parser_->is_header_done() && parser_->get().version() == 10 ? 10 : 11);
    response_.set(http::field::content_type, type);
    response_.set(http::field::cache_control, "no-store");
    response_.keep_alive(!closeAfterResponse);
    response_.body() = std::move(body);
    response_.prepare_payload();
    memory_.setBytes(response_.body().size());
    if (closed_) return;
    runAfter(kWriteTimeout, [this] { close(); });
    http::async_write(writer_, response_,
                      [this, closeAfterResponse, self = shared_from_this()](error_code error, std::size_t) {
                        if (closed_) return;
                        if (error) return close();
                        alarm_.disarm();
                        response_ = {};
                        if (closeAfterResponse) return linger();
                        markUsed();
                        startNextRequest();
                      });
  }

  void linger() {
    releaseWaitSlot();
    state_ = State::lingering;
    memory_.release();
    lingeringClose_.shutdownSend(socket_);
    runAfter(LingeringClose::kLingerTimeout, [this] { close(); });
    discardUnread();
  }
  void discardUnread() {
    socket_.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
      if (closed_) return;
      const auto step = error ? LingeringClose::NextStep::close : lingeringClose_.discardInput(input_);
      if (step == LingeringClose::NextStep::close) return close();
      if (step == LingeringClose::NextStep::keepReading) discardUnread();
    });
  }

  HttpFrontend* frontend_;
  Clients<Client>::iterator entry_;
  tcp::socket socket_;
  SocketWriter writer_{socket_};
  BoundedInput input_;
  ClientMemory::Account memory_;
  clocks::Alarm alarm_;
  State state_ = State::idle;
  Clock::time_point lastActivity_ = Clock::now();
  std::optional<RequestParser> parser_;
  api::Target target_;
  api::RouteMatch match_{api::Operation::getState, ""};
  http::response<http::string_body> response_;
  std::string streamBuffer_;                // data of the event stream being written
  std::uint64_t streamPosition_ = 0;        // of the last event written to the stream
  std::size_t contentLength_ = 0;           // declared size of the body, in bytes
  std::size_t requestsWithoutMessage_ = 0;  // consecutive pipelined ones
  LingeringClose lingeringClose_;
  bool keepAlive_ = true;
  bool hasSentRequest_ = false;  // has sent a complete request
  bool responseDue_ = false;     // the request that is being read or handled has no response yet
  bool rejected_ = false, holdsWaitSlot_ = false, writing_ = false, closed_ = false;
};

HttpFrontend::HttpFrontend(asio::io_context& io, const HttpFrontendSettings& settings,
                           const FrontendLimits& limits, Engine& engine)
    : io_(io),
      settings_(settings),
      limits_(limits),
      maxRejectedClients_(std::max<std::size_t>(1, limits.connections / 16)),
      maxWaitingClients_(std::max<std::size_t>(1, limits.connections - limits.connections / 4)),
      engine_(engine),
      admission_(engine),
      clientMemory_("http", limits.requestBytes),
      listener_(io, "http",
                {[this] { return rejectedClients_ < maxRejectedClients_; },
                 [this](tcp::socket socket) { onAccepted(std::move(socket)); },
                 [this] { evictLeastRecentlyUsed(clients_); }}),
      floodLimiter_(io, kFloodTurnsPerMs),
      random_((static_cast<std::uint64_t>(std::random_device()()) << 32) ^ std::random_device()()) {
  engine_.subscribe([this, alive = alive_](const FinalOutcome& outcome) {
    if (*alive) onMessageEnded(outcome);
  });
}

HttpFrontend::~HttpFrontend() {
  *alive_ = false;
  for (const auto& client : Clients<Client>(clients_)) client->detach();
}

void HttpFrontend::listen() { listener_.listen(settings_.listen); }

void HttpFrontend::drain() {
  draining_ = true;
  for (const auto& client : Clients<Client>(clients_)) client->drain();
}

void HttpFrontend::finish() {
  finished_ = draining_ = true;
  listener_.acceptPending();
  listener_.close();
  for (const auto& client : Clients<Client>(clients_)) client->finish();
}

void HttpFrontend::onAccepted(tcp::socket socket) {
  const std::size_t capacity = limits_.connections - maxRejectedClients_;
  const bool hasCapacity = clients_.size() - rejectedClients_ < capacity || evictLeastRecentlyUsed(clients_);
  auto client = std::make_shared<Client>(*this, std::move(socket));
  const auto entry = clients_.insert(clients_.end(), client);
  if (hasCapacity) {
    client->start(entry);
  } else {
    client->rejectOverCapacity(entry);
  }
}

void HttpFrontend::onMessageEnded(const FinalOutcome& outcome) {
  std::vector<std::shared_ptr<Client>> pollers;
  const auto [from, to] = longPolls_.equal_range(outcome.id);
  for (auto at = from; at != to; ++at) {
    if (auto client = at->second.lock()) pollers.push_back(std::move(client));
  }
  for (const auto& client : pollers) client->onMessageEnded();
  if (eventStreams_.empty() || eventsPosted_) return;
  // Events of one turn of the event loop are written together.
  eventsPosted_ = true;
  asio::post(io_, [this, alive = alive_] {
    if (*alive) sendEventsToStreams();
  });
}

void HttpFrontend::sendEventsToStreams() {
  eventsPosted_ = false;
  for (Client* client : std::set<Client*>(eventStreams_)) {
    if (eventStreams_.contains(client)) client->sendNewEvents();
  }
}

std::string HttpFrontend::newId() {
  char id[33];
  std::snprintf(id, sizeof id, "%016llx%016llx", static_cast<unsigned long long>(random_()),
                static_cast<unsigned long long>(random_()));
  return id;
}

}  // namespace quilltide::net
