// The connections of the scripted HTTP server.
#include "http_server.hpp"

#include <boost/asio/write.hpp>

namespace quilltide::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

HttpServer::Link::Link(HttpServer& home, tcp::socket socket) : home_(home), socket_(std::move(socket)) {
  error_code ignored;
  socket_.set_option(tcp::no_delay(true), ignored);
}

void HttpServer::Link::read() {
  request_ = {};
  done_ = false;
  http::async_read(socket_, buffer_, request_,
                   [this, self = shared_from_this(), alive = home_.alive_](error_code error, std::size_t) {
                     if (!*alive || !open_) return;
                     if (error) return close();
                     home_.handler_(self);
                   });
}

void HttpServer::Link::write(std::string bytes) {
  out_ += bytes;
  flush();
}

void HttpServer::Link::done() {
  done_ = true;
  flush();
}

void HttpServer::Link::flush() {
  if (!open_ || writing_) return;
  if (out_.empty()) {
    if (done_) read();
    return;
  }
  writing_ = true;
  sending_.swap(out_);
  out_.clear();
  asio::async_write(socket_, asio::buffer(sending_),
                    [this, self = shared_from_this(), alive = home_.alive_](error_code error, std::size_t) {
                      if (!*alive || !open_) return;
                      writing_ = false;
                      if (error) return close();
                      flush();
                    });
}

void HttpServer::Link::after(milliseconds time, std::function<void()> then) {
  if (time.count() <= 0) return then();
  auto timer = std::make_shared<asio::steady_timer>(home_.io_, time);
  timer->async_wait([this, self = shared_from_this(), alive = home_.alive_, timer, then](error_code error) {
    if (!error && *alive && open_) then();
  });
}

void HttpServer::Link::close() {
  if (!open_) return;
  open_ = false;
  error_code ignored;
  socket_.close(ignored);
  home_.links_.erase(shared_from_this());
}

void HttpServer::Link::reset() {
  error_code ignored;
  socket_.set_option(asio::socket_base::linger(true, 0), ignored);
  close();
}

HttpServer::HttpServer(asio::io_context& io, Handler handler, tcp::endpoint at)
    : io_(io), handler_(std::move(handler)), address_(std::move(at)), acceptor_(io) {
  listen();
}

HttpServer::~HttpServer() {
  *alive_ = false;
  stop();
}

std::string HttpServer::text() const {
  return address_.address().to_string() + ":" + std::to_string(address_.port());
}

void HttpServer::listen() {
  if (acceptor_.is_open()) return;
  acceptor_.open(address_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(address_);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  address_ = acceptor_.local_endpoint();
  accept();
}

void HttpServer::stop() {
  error_code ignored;
  acceptor_.close(ignored);
  for (const auto& link : std::set<std::shared_ptr<Link>>(links_)) link->reset();
}

void HttpServer::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (!*alive || !acceptor_.is_open() || error == asio::error::operation_aborted) return;
    if (!error) {
      ++accepted_;
      auto link = std::make_shared<Link>(*this, std::move(socket));
      links_.insert(link);
      link->read();
    }
    accept();
  });
}

std::string HttpServer::answer(int status, const std::string& body, const std::string& headers) {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
         (status == 204 ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
}

}  // namespace quilltide::standin
