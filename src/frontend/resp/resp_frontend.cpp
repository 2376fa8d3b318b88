// Connections of RESP2 clients: parsing, replies in request order, timeouts and closing.
#include "frontend/resp/resp_frontend.hpp"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <limits>
#include <optional>
#include <stdexcept>
#include <utility>

#include "frontend/listener/lingering.hpp"
#include "frontend/resp/request_reader.hpp"
#include "net/bounded_input.hpp"
#include "net/socket_writer.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr std::size_t kMaxPendingReplies = 256;     // unanswered requests of one client
constexpr std::size_t kMaxUnsentBytes = 64 * 1024;  // replies to one client that are not yet written
constexpr int kMaxConsecutiveErrors = 3;            // after which the connection is closed
// Requests of one client that are processed before other connections are served.
constexpr std::size_t kMaxRequestsPerTurn = 64;
constexpr std::size_t kFloodTurnsPerMs = 2;  // for clients that used a full turn without submitting a message
constexpr auto kSweepInterval = milliseconds(100);
// Silent connections and incomplete requests must be closed within 3 s; idle connections may be evicted after
// 2 s.
constexpr auto kSilenceTimeout = kRespClientInput.messageTime;
constexpr auto kMinIdleBeforeEviction = milliseconds(2'000);
constexpr auto kWriteTimeout = milliseconds(10'000);  // for a client that does not read its replies

struct BadRequest : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::int64_t parseInteger(const std::string& name, const std::string& text) {
  std::int64_t value = 0;
  const auto [end, parseError] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (parseError != std::errc() || end != text.data() + text.size())
    throw BadRequest(name + " must be an integer");
  return value;
}

std::string replyLine(const Reply& reply) {
  switch (reply.kind) {
    case Reply::Kind::acknowledged:
    case Reply::Kind::duplicate:
      return "+OK";
    case Reply::Kind::rejected:
      return reply.retryAfter > 0 ? "-BUSY " + std::to_string((reply.retryAfter + 999) / 1000) : "-BUSY";
    case Reply::Kind::failed:
    case Reply::Kind::conflict:
      break;
  }
  return std::string("-ERR ") + reasonText(reply.reason);
}

}  // namespace

class RespFrontend::Client : public std::enable_shared_from_this<RespFrontend::Client> {
 public:
  Client(RespFrontend& frontend, tcp::socket socket)
      : frontend_(&frontend),
        socket_(std::move(socket)),
        memory_(frontend.clientMemory_, [this] { endForMemory(); }) {}

  void start(Clients<Client>::iterator entry) {
    entry_ = entry;
    waitForInput();
  }

  // Processes the input that has already arrived, then closes once all replies are sent.
  void finish() {
    constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();
    parseRequests(unlimited);
    input_.startTurn();
    while (!closing_ && !closed_ && readAvailable()) parseRequests(unlimited);
    if (closed_) return;
    closing_ = true;
    flush();
    if (lingering_) waitForInput();
  }

  // Answers a valid request. It is no protocol error, whatever becomes of the message: the requests behind it
  // are still processed.
  void answer(std::size_t requestIndex, const Reply& reply) {
    if (closed_ || requestIndex < firstIndex_ || requestIndex - firstIndex_ >= replies_.size()) return;
    markUsed();
    setReply(requestIndex, replyLine(reply));
    if (reply.kind == Reply::Kind::failed) {
      ++failedSubmissions_;
    } else {
      hasSubmitted_ = true;
      consecutiveErrors_ = 0;
    }
    flush();
  }

  // Called periodically: closes the connection if it has exceeded a timeout.
  void checkTimeouts(Clock::time_point now) {
    const auto idleTime = now - lastActivity_;
    if (lingering_) {
      if (idleTime >= LingeringClose::kLingerTimeout) close();
    } else if (hasPendingReplies()) {
      if (writing_ && idleTime >= kWriteTimeout) close();
    } else if (reader_.pendingBytes() > 0 && !parsePending_) {
      if (idleTime >= kSilenceTimeout && !receivedMoreInput()) {
        input_.report(InputLimit::messageTime);
        rejectAndClose("ERR request incomplete: timed out");
        flush();
      }
    } else if (!hasSubmitted_ && idleTime >= kSilenceTimeout && !receivedMoreInput()) {
      close();
    }
  }

  // Clients that have not submitted a message are preferred for eviction, unless input is waiting to be read.
  Eviction eviction(Clock::time_point now) {
    if (lingering_) return Eviction::preferred;
    if (hasPendingReplies()) return Eviction::forbidden;
    error_code error;
    if (hasSubmitted_) {
      const bool isIdle = now - lastActivity_ >= kMinIdleBeforeEviction && reader_.pendingBytes() == 0 &&
                          socket_.available(error) == 0;
      return isIdle ? Eviction::lastResort : Eviction::forbidden;
    }
    return parsePending_ || (socket_.available(error) > 0 && !error) ? Eviction::lastResort
                                                                     : Eviction::preferred;
  }

  // Closes the connection and returns true, unless a complete request has arrived in the meantime.
  bool tryEvict() {
    if (!lingering_ && receivedMoreInput() && !closed_) return false;
    close();
    return true;
  }

  const BoundedInput& input() const { return input_; }

  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    memory_.release();
    if (frontend_ == nullptr) return;
    frontend_->clients_.erase(entry_);  // must be last: the list may hold the last reference to this client
  }
  void detach() {
    frontend_ = nullptr;
    close();
  }

  // Continues with input left over from an earlier turn. Returns false if the client is closed.
  bool resume() {
    parsePending_ = false;
    if (closed_) return false;
    processInput();
    return true;
  }

 private:
  bool hasPendingReplies() const { return !replies_.empty() || !outgoing_.empty() || writing_; }

  // Reads what is available before the connection is closed for a timeout or an eviction: the readiness event
  // may be queued behind the current handler, and closing now would lose a complete request. Returns true if
  // the connection must be kept, or is already closed.
  bool receivedMoreInput() {
    if (parsePending_ || closing_) return false;
    const auto previousActivity = lastActivity_;
    if (!readAvailable()) return closed_;
    processInput();
    return closed_ || hasPendingReplies() || parsePending_ || lastActivity_ != previousActivity;
  }

  void markUsed() {
    lastActivity_ = Clock::now();
    frontend_->clients_.splice(frontend_->clients_.end(), frontend_->clients_, entry_);
  }
  std::size_t unsentBytes() const { return outgoing_.size() + sending_.size(); }
  // May end this client.
  void accountMemory() {
    if (!closed_) memory_.setBytes(reader_.pendingBytes() + unsentBytes());
  }
  // This client holds more than its share while all clients together are above the limit.
  void endForMemory() {
    const auto self = shared_from_this();
    if (unsentBytes() > reader_.pendingBytes()) return close();  // it does not read its replies
    rejectAndClose("ERR too many bytes of incomplete requests");
    flush();
    waitForInput();
  }

  // Waits for readability without a buffer of its own, because most connections are idle.
  void waitForInput() {
    if (closed_ || reading_ || parsePending_) return;
    if (!lingering_ &&
        (closing_ || replies_.size() >= kMaxPendingReplies || outgoing_.size() >= kMaxUnsentBytes))
      return;
    reading_ = true;
    input_.waitReadable([this, self = shared_from_this()](error_code error) {
      reading_ = false;
      if (closed_) return;
      if (error) return close();
      if (lingering_) return discardUnread();
      if (closing_) return;
      readAvailable();
      if (closed_) return;
      if (flooding_) return scheduleResume();
      processInput();
    });
  }

  void processInput() {
    parseRequests(kMaxRequestsPerTurn);
    if (closed_) return;
    flush();
    waitForInput();
  }

  // Reads one block. Returns false if no data was available, or on an error.
  bool readAvailable() {
    error_code error;
    const std::size_t count = input_.readInto(asio::buffer(frontend_->readBuffer_), error);
    input_.startMessage();  // the sweep measures the time of requests
    if (error == asio::error::would_block) return false;
    // The client has shut down its sending side; earlier requests are still answered.
    if (error == asio::error::eof) {
      closing_ = inputEnded_ = true;
      return true;
    }
    if (error) {
      close();
      return false;
    }
    if (reader_.pendingBytes() == 0) lastActivity_ = Clock::now();
    reader_.feed(frontend_->readBuffer_.data(), count);
    memory_.recordInput(count);
    return true;
  }

  void parseRequests(std::size_t maxRequests) {
    std::vector<std::string> arguments;
    submittedThisTurn_ = false;
    while (!closing_ && !closed_) {
      if (maxRequests-- == 0) {
        flooding_ = !submittedThisTurn_;
        return scheduleResume();
      }
      const RequestReader::Result next = reader_.readNext(arguments);
      if (next == RequestReader::Result::needMoreData) break;
      if (next == RequestReader::Result::tooLarge) input_.report(InputLimit::bufferedBytes);
      if (next == RequestReader::Result::tooLarge || next == RequestReader::Result::protocolError)
        return rejectAndClose("ERR protocol error");
      handleRequest(next == RequestReader::Result::request ? &arguments : nullptr);
    }
    accountMemory();
  }

  // A client that accountMemory() ends has nothing left to resume.
  void scheduleResume() {
    accountMemory();
    if (closing_ || closed_) return;
    parsePending_ = true;
    if (flooding_)
      return frontend_->floodLimiter_.enqueue([self = shared_from_this()] { return self->resume(); });
    asio::post(frontend_->io_, [self = shared_from_this()] { self->resume(); });
  }

  // Queues the last reply of the connection, which is closed after it, and drops what is left of the input.
  void rejectAndClose(const char* cause) {
    reader_.clear();
    accountMemory();
    replies_.emplace_back(std::string("-") + cause + "\r\n");
    closing_ = true;
  }

  void handleRequest(std::vector<std::string>* arguments) {
    const std::size_t requestIndex = firstIndex_ + replies_.size();
    replies_.emplace_back();
    markUsed();
    memory_.recordRequest();
    const std::uint64_t failedBefore = failedSubmissions_;
    const std::string reply = arguments != nullptr
                                  ? frontend_->submit(*arguments, shared_from_this(), requestIndex)
                                  : "-ERR request must be an array of bulk strings";
    if (!reply.empty()) {
      setReply(requestIndex, reply);
      if (reply.starts_with("-ERR") && ++consecutiveErrors_ >= kMaxConsecutiveErrors) closing_ = true;
    } else if (failedSubmissions_ == failedBefore) {
      submittedThisTurn_ = true;
      flooding_ = false;
    }
  }

  void setReply(std::size_t requestIndex, const std::string& reply) {
    replies_[requestIndex - firstIndex_] = reply + "\r\n";
  }

  void flush() {
    if (closed_ || writing_ || lingering_) return;
    while (!replies_.empty() && replies_.front()) {
      outgoing_ += *replies_.front();
      replies_.pop_front();
      ++firstIndex_;
    }
    if (outgoing_.empty()) {
      if (closing_ && replies_.empty()) linger();
      return;
    }
    writing_ = true;
    sending_.swap(outgoing_);
    outgoing_.clear();
    accountMemory();
    if (closed_) return;
    asio::async_write(writer_, asio::buffer(sending_),
                      [this, self = shared_from_this()](error_code error, std::size_t) {
                        writing_ = false;
                        if (closed_) return;
                        if (error) return close();
                        sending_.clear();
                        accountMemory();
                        flush();
                        waitForInput();
                      });
  }

  void linger() {
    if (inputEnded_) return close();
    lingering_ = true;
    lastActivity_ = Clock::now();
    lingeringClose_.shutdownSend(socket_);
    waitForInput();
  }

  void discardUnread() {
    const auto next = lingeringClose_.discardInput(input_);
    if (next == LingeringClose::NextStep::close) return close();
    if (next == LingeringClose::NextStep::keepReading) waitForInput();
  }

  RespFrontend* frontend_;
  Clients<Client>::iterator entry_;
  tcp::socket socket_;
  SocketWriter writer_{socket_};
  BoundedInput input_{socket_, InputSource::respClient, kRespClientInput};
  RequestReader reader_;
  ClientMemory::Account memory_;
  std::deque<std::optional<std::string>> replies_;  // in request order; empty until the reply is known
  std::size_t firstIndex_ = 0;
  LingeringClose lingeringClose_;
  int consecutiveErrors_ = 0;            // protocol errors since the last accepted or rejected submission
  std::uint64_t failedSubmissions_ = 0;  // valid requests that were answered with an error
  Clock::time_point lastActivity_ = Clock::now();  // or when the incomplete request began
  std::string outgoing_, sending_;
  bool hasSubmitted_ = false;       // has submitted a message
  bool submittedThisTurn_ = false;  // a message has been submitted in this turn
  bool flooding_ = false;           // used a full turn without submitting a message
  bool parsePending_ = false;       // a later turn parses the remaining input
  bool reading_ = false, writing_ = false, lingering_ = false, closed_ = false;
  bool closing_ = false;     // accepts no more requests
  bool inputEnded_ = false;  // the client has shut down its sending side
};

RespFrontend::RespFrontend(asio::io_context& io, const PlatformConfig& config, const FrontendLimits& limits,
                           Engine& engine)
    : io_(io),
      endpoint_(config.listen),
      limits_(limits),
      engine_(engine),
      admission_(engine),
      clientMemory_("resp", limits.requestBytes),
      listener_(io, "resp",
                {[this] { return clients_.size() < limits_.connections || evictLeastRecentlyUsed(clients_); },
                 [this](tcp::socket socket) { onAccepted(std::move(socket)); },
                 [this] { evictLeastRecentlyUsed(clients_); }}),
      sweepAlarm_(io),
      floodLimiter_(io, kFloodTurnsPerMs) {}

RespFrontend::~RespFrontend() {
  for (const auto& client : Clients<Client>(clients_)) client->detach();
}

void RespFrontend::listen() {
  listener_.listen(endpoint_);
  sweep();
}

void RespFrontend::finish() {
  listener_.acceptPending();
  listener_.close();
  for (const auto& client : Clients<Client>(clients_)) client->finish();
}

void RespFrontend::onAccepted(tcp::socket socket) {
  auto client = std::make_shared<Client>(*this, std::move(socket));
  client->start(clients_.insert(clients_.end(), client));
}

void RespFrontend::sweep() {
  sweepAlarm_.armAfter(kSweepInterval, [this] {
    const auto now = Clock::now();
    for (const auto& client : Clients<Client>(clients_)) client->checkTimeouts(now);
    sweep();
  });
}

// Returns the reply, or an empty string if it follows asynchronously.
std::string RespFrontend::submit(std::vector<std::string>& arguments, const std::shared_ptr<Client>& client,
                                 std::size_t requestIndex) {
  std::string command = arguments.front();
  std::transform(command.begin(), command.end(), command.begin(),
                 [](unsigned char c) { return std::toupper(c); });
  if (command == "PING") return arguments.size() == 1 ? "+PONG" : "-ERR PING takes no argument";
  if (command != "ENQUEUE") return "-ERR unknown command";
  try {
    if (arguments.size() != 5) throw BadRequest("ENQUEUE takes 4 arguments: key, id, fields, body");
    Submission submission;
    submission.id = std::move(arguments[2]);
    submission.body = std::move(arguments[4]);
    std::string className;
    std::optional<std::int64_t> timeLeftMs, destination;
    for (std::size_t fieldStart = 0; fieldStart < arguments[3].size();) {
      const std::size_t end = std::min(arguments[3].find(',', fieldStart), arguments[3].size());
      const std::string field = arguments[3].substr(fieldStart, end - fieldStart);
      const std::size_t separator = field.find('=');
      if (separator == std::string::npos) throw BadRequest("field without '='");
      const std::string name = field.substr(0, separator), value = field.substr(separator + 1);
      if (name == "c") className = value;
      if (name == "d") timeLeftMs = parseInteger("d", value);
      if (name == "dest") destination = parseInteger("dest", value);
      if (name == "k") submission.key = value;
      fieldStart = end + 1;
    }
    const std::optional<int> classIndex = engine_.names().classIndex(className);
    if (!classIndex) throw BadRequest("unknown class");
    submission.messageClass = *classIndex;
    submission.timeToLive =
        std::clamp<std::int64_t>(timeLeftMs.value_or(0), 0, kMaxTimeToLiveUs / 1000 + 1) * 1000;
    if (!destination) throw BadRequest("dest is missing");
    submission.destination = *destination;
    if (const char* defect = validationError(submission)) throw BadRequest(defect);
    admission_.submit(client->input(), std::move(submission),
                      [client, requestIndex](const Reply& reply) { client->answer(requestIndex, reply); });
    return "";
  } catch (const BadRequest& badRequest) {
    return std::string("-ERR ") + badRequest.what();
  }
}

}  // namespace quilltide::net
