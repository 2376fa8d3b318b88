// An HTTP/1.1 server that does as it is told: whole requests in, raw bytes out, and every way to break off.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "ports.hpp"

namespace quilltide::standin {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// One thread: that of its io_context.
class HttpServer {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  // A connection. It reads its next request when one was answered by done().
  class Link : public std::enable_shared_from_this<Link> {
   public:
    Link(HttpServer& home, tcp::socket socket);
    const Request& request() const { return request_; }
    void write(std::string bytes);                              // goes out in the order of the calls
    void done();                                                // this request is dealt with
    void after(milliseconds time, std::function<void()> then);  // not if the connection has ended by then
    void close();
    void reset();  // with a RST, as a process that dies
    bool open() const { return open_; }

   private:
    friend class HttpServer;
    void read();
    void flush();
    HttpServer& home_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    Request request_;
    std::string out_, sending_;
    bool open_ = true, writing_ = false, done_ = false;
  };
  using Handler = std::function<void(const std::shared_ptr<Link>&)>;

  HttpServer(boost::asio::io_context& io, Handler handler, tcp::endpoint at = {ownLoopback(), 0});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  tcp::endpoint address() const { return address_; }
  std::string text() const;  // address and port
  void stop();               // connections are reset, new ones refused
  void listen();             // again, at the same address
  std::size_t accepted() const { return accepted_; }
  std::size_t connections() const { return links_.size(); }

  static std::string answer(int status, const std::string& body = "", const std::string& headers = "");

 private:
  void accept();
  boost::asio::io_context& io_;
  Handler handler_;
  tcp::endpoint address_;
  tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Link>> links_;
  std::size_t accepted_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::standin
