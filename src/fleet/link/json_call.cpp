// JSON requests over Boost.Beast.
#include "fleet/link/json_call.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <optional>

namespace quilltide::fleet {

namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

constexpr std::uint64_t kMaxResponseBytes = 64 << 20;  // fits all leases or values of a large fleet

}  // namespace

struct JsonCall::Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(boost::asio::io_context& io) : io(io) {}

  void connectAndSend() {
    if (stream && stream->socket().is_open() && connectedTo == to) return write();
    stream.emplace(io);
    buffer.clear();
    stream->expires_at(deadline);
    stream->async_connect(to, [self = shared_from_this(), callNumber = callNumber](error_code error) {
      if (callNumber != self->callNumber) return;
      if (error) return self->end(0, {});
      self->connectedTo = self->to;
      error_code ignored;
      self->stream->socket().set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  void write() {
    stream->expires_at(deadline);
    http::async_write(*stream, request,
                      [self = shared_from_this(), callNumber = callNumber](error_code error, std::size_t) {
                        if (callNumber != self->callNumber) return;
                        if (error) return self->retryOnNewConnection();
                        self->read();
                      });
  }

  void read() {
    parser.emplace();
    parser->body_limit(kMaxResponseBytes);
    http::async_read(*stream, buffer, *parser,
                     [self = shared_from_this(), callNumber = callNumber](error_code error, std::size_t) {
                       if (callNumber != self->callNumber) return;
                       if (error) return self->retryOnNewConnection();
                       const auto& response = self->parser->get();
                       nlohmann::json body = nlohmann::json::parse(response.body(), nullptr, false);
                       const int status = body.is_discarded() ? 0 : response.result_int();
                       if (!response.keep_alive() || status == 0) self->close();
                       self->end(status, std::move(body));
                     });
  }

  // The server may have closed a reused connection, so the request is sent once more on a new one. Requests
  // to coordinators are idempotent.
  void retryOnNewConnection() {
    close();
    if (!reused || std::chrono::steady_clock::now() >= deadline) return end(0, {});
    reused = false;
    connectAndSend();
  }

  void close() {
    if (!stream) return;
    error_code ignored;
    stream->socket().close(ignored);
  }

  void end(int status, nlohmann::json body) {
    if (status == 0) close();
    ++callNumber;
    const OnResponse callback = std::exchange(onResponse, nullptr);
    if (callback) callback(status, body);
  }

  boost::asio::io_context& io;
  std::optional<beast::tcp_stream> stream;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  http::request<http::string_body> request;
  tcp::endpoint to, connectedTo;
  std::chrono::steady_clock::time_point deadline;
  OnResponse onResponse;
  bool reused = false;
  std::uint64_t callNumber = 0;  // handlers of earlier calls are ignored
};

JsonCall::JsonCall(boost::asio::io_context& io) : io_(io), connection_(std::make_shared<Connection>(io)) {}

JsonCall::~JsonCall() { cancel(); }

bool JsonCall::busy() const { return static_cast<bool>(connection_->onResponse); }

void JsonCall::cancel() {
  ++connection_->callNumber;
  connection_->onResponse = nullptr;
  connection_->close();
}

void JsonCall::call(const tcp::endpoint& to, const std::string& target, const nlohmann::json* body,
                    std::chrono::milliseconds timeout, OnResponse onResponse) {
  Connection& c = *connection_;
  c.to = to;
  c.deadline = std::chrono::steady_clock::now() + timeout;
  c.onResponse = std::move(onResponse);
  c.reused = c.stream && c.stream->socket().is_open() && c.connectedTo == to;
  c.request = {};
  c.request.version(11);
  c.request.method(body != nullptr ? http::verb::post : http::verb::get);
  c.request.target(target);
  c.request.set(http::field::host, to.address().to_string());
  if (body != nullptr) {
    c.request.set(http::field::content_type, "application/json");
    c.request.body() = body->dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  c.request.prepare_payload();
  boost::asio::post(io_, [connection = connection_, callNumber = c.callNumber] {
    if (callNumber == connection->callNumber) connection->connectAndSend();
  });
}

}  // namespace quilltide::fleet
