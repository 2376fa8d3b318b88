// JSON requests over Boost.Beast.
#include "fleet/link/json_call.hpp"

#include <boost/asio/post.hpp>
#include <boost/beast/http.hpp>
#include <optional>

#include "clock/alarm.hpp"
#include "net/bounded_input.hpp"
#include "net/bounded_parser.hpp"
#include "net/socket_writer.hpp"

namespace quilltide::fleet {

namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

struct JsonCall::Connection : std::enable_shared_from_this<Connection> {
  // A connected socket, or one that is being connected. Replaced as a whole, so that operations that are
  // pending on it end with its close and use nothing of the next one.
  struct Link {
    Link(boost::asio::io_context& io, const net::InputLimits& limits)
        : socket(io), input(socket, net::InputSource::coordinator, limits) {}
    tcp::socket socket;
    net::SocketWriter writer{socket};
    net::BoundedInput input;
    http::request<http::string_body> request;
    std::optional<net::ResponseParser> parser;
  };

  Connection(boost::asio::io_context& io, const net::InputLimits& limits)
      : io(io), limits(limits), deadlineAlarm(io) {}

  bool isOpenTo(const tcp::endpoint& address) const {
    return link && link->socket.is_open() && connectedTo == address;
  }

  void connectAndSend() {
    if (!isOpenTo(to)) close();
    deadlineAlarm.armAfter(deadline - Clock::now(), [self = shared_from_this()] { self->end(0, {}); });
    if (link) return write();
    link = std::make_shared<Link>(io, limits);
    link->socket.async_connect(to, [self = shared_from_this(), link = link](error_code error) {
      if (link != self->link) return;
      if (error) return self->end(0, {});
      self->connectedTo = self->to;
      error_code ignored;
      link->socket.set_option(tcp::no_delay(true), ignored);
      link->socket.non_blocking(true, ignored);
      self->write();
    });
  }

  void write() {
    link->request = request;
    http::async_write(
        link->writer, link->request,
        [self = shared_from_this(), link = link, callNumber = callNumber](error_code error, std::size_t) {
          if (link != self->link || callNumber != self->callNumber) return;
          if (error) return self->retryOnNewConnection();
          self->read();
        });
  }

  void read() {
    link->parser.emplace(limits);
    link->input.startMessage();
    link->input.asyncReadMessage(*link->parser, [self = shared_from_this(), link = link,
                                                 callNumber = callNumber](error_code error, std::size_t) {
      if (link != self->link || callNumber != self->callNumber) return;
      if (error) return self->retryOnNewConnection();
      self->handleResponse();
    });
  }

  void handleResponse() {
    const auto& response = link->parser->get();
    nlohmann::json body = nlohmann::json::parse(response.body(), nullptr, false);
    const int status = body.is_discarded() ? 0 : response.result_int();
    if (!response.keep_alive() || status == 0) close();
    end(status, std::move(body));
  }

  // The server may have closed a reused connection, so the request is sent once more on a new one. Requests
  // to coordinators are idempotent.
  void retryOnNewConnection() {
    close();
    if (!reused || Clock::now() >= deadline) return end(0, {});
    reused = false;
    connectAndSend();
  }

  void close() {
    deadlineAlarm.disarm();
    if (!link) return;
    error_code ignored;
    link->socket.close(ignored);
    link.reset();
  }

  void end(int status, nlohmann::json body) {
    deadlineAlarm.disarm();
    if (status == 0) close();
    ++callNumber;
    const OnResponse callback = std::exchange(onResponse, nullptr);
    if (callback) callback(status, body);
  }

  boost::asio::io_context& io;
  const net::InputLimits limits;
  clocks::Alarm deadlineAlarm;
  std::shared_ptr<Link> link;
  http::request<http::string_body> request;
  tcp::endpoint to, connectedTo;
  Clock::time_point deadline;
  OnResponse onResponse;
  bool reused = false;
  std::uint64_t callNumber = 0;  // handlers of earlier calls are ignored
};

JsonCall::JsonCall(boost::asio::io_context& io, const net::InputLimits& limits)
    : io_(io), connection_(std::make_shared<Connection>(io, limits)) {}

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
  c.deadline = Clock::now() + timeout;
  c.onResponse = std::move(onResponse);
  c.reused = c.isOpenTo(to);
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
