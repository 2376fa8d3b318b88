// The connection, on Beast.
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

constexpr std::uint64_t kLongestAnswer = 64 << 20;  // all leases or values of a large fleet

}  // namespace

struct JsonCall::Connection : std::enable_shared_from_this<Connection> {
  explicit Connection(boost::asio::io_context& io) : io(io) {}

  void begin() {
    if (stream && stream->socket().is_open() && connectedTo == to) return write();
    stream.emplace(io);
    buffer.clear();
    stream->expires_at(until);
    stream->async_connect(to, [self = shared_from_this(), turn = turn](error_code error) {
      if (turn != self->turn) return;
      if (error) return self->end(0, {});
      self->connectedTo = self->to;
      error_code ignored;
      self->stream->socket().set_option(tcp::no_delay(true), ignored);
      self->write();
    });
  }

  void write() {
    stream->expires_at(until);
    http::async_write(*stream, request,
                      [self = shared_from_this(), turn = turn](error_code error, std::size_t) {
                        if (turn != self->turn) return;
                        if (error) return self->again();
                        self->read();
                      });
  }

  void read() {
    parser.emplace();
    parser->body_limit(kLongestAnswer);
    http::async_read(*stream, buffer, *parser,
                     [self = shared_from_this(), turn = turn](error_code error, std::size_t) {
                       if (turn != self->turn) return;
                       if (error) return self->again();
                       const auto& answer = self->parser->get();
                       nlohmann::json body = nlohmann::json::parse(answer.body(), nullptr, false);
                       const int status = body.is_discarded() ? 0 : answer.result_int();
                       if (!answer.keep_alive() || status == 0) self->close();
                       self->end(status, std::move(body));
                     });
  }

  // A kept connection may have been closed by the other side in the meantime: once more, on a new one. What
  // is asked of coordinators may be asked twice.
  void again() {
    close();
    if (!kept || std::chrono::steady_clock::now() >= until) return end(0, {});
    kept = false;
    begin();
  }

  void close() {
    if (!stream) return;
    error_code ignored;
    stream->socket().close(ignored);
  }

  void end(int status, nlohmann::json body) {
    if (status == 0) close();
    ++turn;
    const Then told = std::exchange(then, nullptr);
    if (told) told(status, body);
  }

  boost::asio::io_context& io;
  std::optional<beast::tcp_stream> stream;
  beast::flat_buffer buffer;
  std::optional<http::response_parser<http::string_body>> parser;
  http::request<http::string_body> request;
  tcp::endpoint to, connectedTo;
  std::chrono::steady_clock::time_point until;
  Then then;
  bool kept = false;
  std::uint64_t turn = 0;
};

JsonCall::JsonCall(boost::asio::io_context& io) : io_(io), connection_(std::make_shared<Connection>(io)) {}

JsonCall::~JsonCall() { cancel(); }

bool JsonCall::busy() const { return static_cast<bool>(connection_->then); }

void JsonCall::cancel() {
  ++connection_->turn;
  connection_->then = nullptr;
  connection_->close();
}

void JsonCall::call(const tcp::endpoint& to, const std::string& target, const nlohmann::json* body,
                    std::chrono::milliseconds within, Then then) {
  Connection& c = *connection_;
  c.to = to;
  c.until = std::chrono::steady_clock::now() + within;
  c.then = std::move(then);
  c.kept = c.stream && c.stream->socket().is_open() && c.connectedTo == to;
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
  boost::asio::post(io_, [connection = connection_, turn = c.turn] {
    if (turn == connection->turn) connection->begin();
  });
}

}  // namespace quilltide::fleet
