// Accepts client connections and reads and writes their HTTP messages.
#include "coordinator/http_server.hpp"

#include <boost/beast/http.hpp>

#include "net/bounded_input.hpp"
#include "net/bounded_parser.hpp"
#include "net/socket_writer.hpp"
#include "process/listening_socket.hpp"

namespace quilltide::coordinator {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr auto kIdleTimeout = std::chrono::seconds(75);  // longer than the maximum long poll
constexpr auto kWriteTimeout = std::chrono::seconds(10);
constexpr auto kAcceptRetryDelay =
    std::chrono::milliseconds(50);  // for example when file descriptors run out

std::string percentDecode(const std::string& text) {
  std::string out;
  for (std::size_t i = 0; i < text.size(); ++i) {
    unsigned value = 0;
    if (text[i] == '%' && i + 2 < text.size() && std::sscanf(text.c_str() + i + 1, "%2x", &value) == 1) {
      out.push_back(static_cast<char>(value));
      i += 2;
    } else {
      out.push_back(text[i] == '+' ? ' ' : text[i]);
    }
  }
  return out;
}

HttpRequest requestOf(const http::request<http::string_body>& from) {
  HttpRequest r;
  r.method = std::string(from.method_string());
  const std::string target(from.target());
  const std::size_t mark = target.find('?');
  r.path = target.substr(0, mark);
  r.body = from.body();
  for (std::size_t at = mark; at != std::string::npos && at < target.size();) {
    const std::size_t end = std::min(target.find('&', at + 1), target.size());
    const std::string pair = target.substr(at + 1, end - at - 1);
    const std::size_t equals = pair.find('=');
    r.query[percentDecode(pair.substr(0, equals))] =
        equals == std::string::npos ? "" : percentDecode(pair.substr(equals + 1));
    at = end;
  }
  return r;
}

}  // namespace

class HttpServer::Client : public std::enable_shared_from_this<HttpServer::Client> {
 public:
  Client(HttpServer& server, tcp::socket socket)
      : server_(server), alive_(server.alive_), socket_(std::move(socket)), alarm_(server.io_) {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    socket_.non_blocking(true, ignored);
  }

  void read() {
    parser_.emplace(input_.limits());
    input_.startMessage();
    closeAfter(kIdleTimeout);
    input_.asyncReadMessage(*parser_, [self = shared_from_this()](error_code error, std::size_t) {
      if (!*self->alive_) return;
      if (error == http::error::body_limit)
        return self->write({413, {{"error", "the request body is too long"}}}, false);
      if (error) return self->end();
      self->handle();
    });
  }

  void close() {
    alarm_.disarm();
    error_code ignored;
    socket_.close(ignored);
  }
  // Closes the connection to make room. A pending long poll does not observe the closed socket until its
  // response, so end() must not erase the list entry again.
  void drop() {
    dropped_ = true;
    close();
  }
  std::list<std::weak_ptr<Client>>::iterator place;

 private:
  void handle() {
    const auto request = parser_->release();
    const bool keep = request.keep_alive();
    auto self = shared_from_this();
    alarm_.disarm();  // a long poll is bounded by its handler
    server_.handler_(requestOf(request), [self, keep, responded = false](const HttpResponse& answer) mutable {
      if (std::exchange(responded, true) || !*self->alive_) return;
      self->write(answer, keep);
    });
  }

  void write(const HttpResponse& answer, bool keep) {
    response_ = {};
    response_.version(11);
    response_.result(static_cast<unsigned>(answer.status));
    response_.set(http::field::content_type, "application/json");
    response_.keep_alive(keep);
    response_.body() = answer.body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n";
    response_.prepare_payload();
    closeAfter(kWriteTimeout);
    http::async_write(writer_, response_, [self = shared_from_this(), keep](error_code error, std::size_t) {
      if (!*self->alive_) return;
      if (error || !keep) return self->end();
      self->read();
    });
  }

  // Ends the operations that are pending on the socket, with an error.
  void closeAfter(std::chrono::milliseconds timeout) {
    alarm_.armAfter(timeout, [self = weak_from_this()] {
      if (const auto client = self.lock()) client->close();
    });
  }

  void end() {
    error_code ignored;
    socket_.shutdown(tcp::socket::shutdown_both, ignored);
    close();
    if (!std::exchange(dropped_, true)) server_.clients_.erase(place);
  }

  HttpServer& server_;
  std::shared_ptr<bool> alive_;
  tcp::socket socket_;
  net::SocketWriter writer_{socket_};
  net::BoundedInput input_{socket_, net::InputSource::coordinatorClient, net::kCoordinatorClientInput};
  clocks::Alarm alarm_;
  std::optional<net::RequestParser> parser_;
  http::response<http::string_body> response_;
  bool dropped_ = false;
};

HttpServer::HttpServer(asio::io_context& io, const tcp::endpoint& at, std::size_t connections,
                       Handler handler)
    : io_(io),
      listenAddress_(at),
      maxConnections_(connections),
      handler_(std::move(handler)),
      acceptor_(io),
      acceptRetryAlarm_(io) {}

HttpServer::~HttpServer() { close(); }

void HttpServer::listen() {
  process::listenAt(acceptor_, listenAddress_);
  accept();
}

void HttpServer::close() {
  *alive_ = false;
  acceptRetryAlarm_.disarm();
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& client : clients_)
    if (const auto open = client.lock()) open->close();
  clients_.clear();
}

void HttpServer::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (!*alive || error == asio::error::operation_aborted) return;
    if (error) {
      acceptRetryAlarm_.armAfter(kAcceptRetryDelay, [this] { accept(); });
      return;
    }
    // At the connection limit, closes the oldest connection; an active client reconnects.
    if (clients_.size() >= maxConnections_) {
      const auto oldest = clients_.front().lock();
      clients_.pop_front();
      if (oldest) oldest->drop();
    }
    auto client = std::make_shared<Client>(*this, std::move(socket));
    client->place = clients_.insert(clients_.end(), client);
    client->read();
    accept();
  });
}

}  // namespace quilltide::coordinator
