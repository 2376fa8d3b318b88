// Implementation of the scriptable HTTP server.
#include "http_server.hpp"

#include <boost/asio/write.hpp>

namespace quilltide::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpServer::Connection::Connection(HttpServer& server, tcp::socket socket)
    : server_(server), socket_(std::move(socket)) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

void HttpServer::Connection::read() {
  request_ = {};
  requestFinished_ = false;
  http::async_read(socket_, buffer_, request_,
                   [this, self = shared_from_this(), alive = server_.alive_](error_code error, std::size_t) {
                     if (!*alive || !open_) return;
                     if (error) return close();
                     server_.handler_(self);
                   });
}

void HttpServer::Connection::write(std::string bytes) {
  queued_ += bytes;
  flush();
}

void HttpServer::Connection::finishRequest() {
  requestFinished_ = true;
  flush();
}

void HttpServer::Connection::flush() {
  if (!open_ || writing_) return;
  if (queued_.empty()) {
    if (requestFinished_) read();
    return;
  }
  writing_ = true;
  sending_.swap(queued_);
  queued_.clear();
  asio::async_write(socket_, asio::buffer(sending_),
                    [this, self = shared_from_this(), alive = server_.alive_](error_code error, std::size_t) {
                      if (!*alive || !open_) return;
                      writing_ = false;
                      if (error) return close();
                      flush();
                    });
}

void HttpServer::Connection::runAfter(milliseconds delay, std::function<void()> action) {
  if (delay.count() <= 0) return action();
  auto timer = std::make_shared<asio::steady_timer>(server_.io_, delay);
  timer->async_wait(
      [this, self = shared_from_this(), alive = server_.alive_, timer, action](error_code error) {
        if (!error && *alive && open_) action();
      });
}

void HttpServer::Connection::close() {
  if (!open_) return;
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
  server_.connections_.erase(shared_from_this());
}

void HttpServer::Connection::reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

HttpServer::HttpServer(asio::io_context& io, Handler handler, tcp::endpoint listenEndpoint)
    : io_(io), handler_(std::move(handler)), listenEndpoint_(std::move(listenEndpoint)), acceptor_(io) {
  listen();
}

HttpServer::~HttpServer() {
  *alive_ = false;
  stop();
}

std::string HttpServer::hostAndPort() const {
  return listenEndpoint_.address().to_string() + ":" + std::to_string(listenEndpoint_.port());
}

void HttpServer::listen() {
  if (acceptor_.is_open()) return;
  acceptor_.open(listenEndpoint_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listenEndpoint_);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  listenEndpoint_ = acceptor_.local_endpoint();
  accept();
}

void HttpServer::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& connection : std::set<std::shared_ptr<Connection>>(connections_)) connection->reset();
}

void HttpServer::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (!*alive || !acceptor_.is_open() || error == asio::error::operation_aborted) return;
    if (!error) {
      ++acceptedConnections_;
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->read();
    }
    accept();
  });
}

std::string HttpServer::formatResponse(int status, const std::string& body, const std::string& headers) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         (status == 204 ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

}  // namespace quilltide::standin
