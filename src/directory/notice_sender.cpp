#include "directory/notice_sender.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "net/bounded_input.hpp"
#include "net/bounded_parser.hpp"
#include "net/socket_writer.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;
using tcp = asio::ip::tcp;

// Short enough for a retry on a new connection before a notice is overdue, after 300 ms.
constexpr auto kFirstTimeout = milliseconds(100);  // including the connect
constexpr auto kRetryTimeout = milliseconds(400);
// Each post uses a connection of its own, whose local port stays reserved after the close.
constexpr auto kMinPostInterval = milliseconds(10);
constexpr int kMinRetryDelayMs = 20, kMaxRetryDelayMs = 250;
constexpr std::size_t kMaxNoticesPerPost = 150;  // keeps the body below 64 KiB
constexpr int kLoggedFailures = 3;               // a series of failures is logged with its third one

}  // namespace

struct NoticeSender::Connection {
  explicit Connection(asio::io_context& io) : socket(io) {}
  tcp::socket socket;
  SocketWriter writer{socket};
  BoundedInput input{socket, InputSource::noticeReceiver, kNoticeReceiverInput};
  http::request<http::string_body> request;
  ResponseParser parser{kNoticeReceiverInput};
};

NoticeSender::NoticeSender(asio::io_context& io, const tcp::endpoint& address,
                           AcknowledgementHandler handleAcknowledged)
    : io_(io), address_(address), handleAcknowledged_(std::move(handleAcknowledged)), alarm_(io) {}

NoticeSender::~NoticeSender() {
  *alive_ = false;
  closeConnection();
}

void NoticeSender::enqueue(const std::string& id, const Notice& notice) {
  nlohmann::json line = {{"message", id}, {"outcome", notice.returned ? "handed_back" : "given_up"}};
  if (notice.returned && notice.retryInMs > 0) line["retry_in_ms"] = notice.retryInMs;
  // Message ids are arbitrary bytes; invalid UTF-8 is replaced, because dump() would throw.
  pending_.emplace_back(id, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
  // Notices of the same event loop iteration are sent in one post.
  if (std::exchange(sendScheduled_, true)) return;
  asio::post(io_, [this, alive = alive_] {
    if (!*alive) return;
    sendScheduled_ = false;
    sendNext();
  });
}

void NoticeSender::setAddress(const tcp::endpoint& address) {
  address_ = address;
  consecutiveFailures_ = 0;
  closeConnection();
  alarm_.disarm();
  state_ = State::idle;
  sendNext();
}

void NoticeSender::sendNext() {
  if (pending_.empty() || state_ != State::idle) return;
  state_ = State::posting;
  const auto connection = connection_ = std::make_shared<Connection>(io_);
  postedCount_ = std::min(pending_.size(), kMaxNoticesPerPost);
  connection->request = {};
  connection->request.method(http::verb::post);
  connection->request.version(11);
  connection->request.target("/status");
  connection->request.set(http::field::host, address_.address().to_string());
  connection->request.set(http::field::content_type, "application/x-ndjson");
  for (std::size_t i = 0; i < postedCount_; ++i) connection->request.body() += pending_[i].second;
  connection->request.prepare_payload();
  alarm_.armAfter(consecutiveFailures_ == 0 ? kFirstTimeout : kRetryTimeout, [this] { handleFailure(); });
  connection->socket.async_connect(address_, [this, connection](error_code error) {
    if (connection != connection_) return;
    if (error) return handleFailure();
    error_code ignored;
    connection->socket.set_option(tcp::no_delay(true), ignored);
    connection->socket.non_blocking(true, ignored);
    writeRequest();
  });
}

void NoticeSender::writeRequest() {
  auto connection = connection_;
  http::async_write(connection->writer, connection->request,
                    [this, connection](error_code error, std::size_t) {
                      if (connection != connection_) return;
                      if (error) return handleFailure();
                      connection->input.asyncReadMessage(
                          connection->parser, [this, connection](error_code readError, std::size_t) {
                            if (connection != connection_) return;
                            if (readError || connection->parser.get().result_int() != 204)
                              return handleFailure();
                            handleAcknowledgement();
                          });
                    });
}

// Handlers of a closed connection compare it with connection_ and return.
void NoticeSender::closeConnection() {
  if (!connection_) return;
  error_code ignored;
  connection_->socket.close(ignored);
  connection_.reset();
}

void NoticeSender::handleAcknowledgement() {
  if (consecutiveFailures_ >= kLoggedFailures)
    std::cerr << "notices: " << address_ << " acknowledges again" << std::endl;
  consecutiveFailures_ = 0;
  closeConnection();
  std::vector<std::string> ids;
  for (std::size_t i = 0; i < postedCount_; ++i) ids.push_back(pending_[i].first);
  pending_.erase(pending_.begin(), pending_.begin() + static_cast<std::ptrdiff_t>(postedCount_));
  handleAcknowledged_(ids);
  sendAfter(kMinPostInterval);
}

// The first failure may be due to a single lost connection, so another one is tried without delay.
void NoticeSender::handleFailure() {
  closeConnection();
  const int delayMs =
      consecutiveFailures_ == 0
          ? 0
          : std::min(kMaxRetryDelayMs, kMinRetryDelayMs << std::min(consecutiveFailures_ - 1, 10));
  if (++consecutiveFailures_ == kLoggedFailures)
    std::cerr << "notices: " << pending_.size() << " not acknowledged by " << address_
              << ", repeated until they are" << std::endl;
  sendAfter(milliseconds(delayMs));
}

void NoticeSender::sendAfter(milliseconds delay) {
  state_ = State::pausing;
  alarm_.armAfter(delay, [this] {
    state_ = State::idle;
    sendNext();
  });
}

}  // namespace quilltide::net
