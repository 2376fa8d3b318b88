// A scriptable HTTP/1.1 server: handlers get parsed requests, write raw bytes, and can close or reset the
// connection at any point.
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

// Not thread-safe: all calls and handlers run on the thread of the io_context. Does not block.
class HttpServer {
 public:
  using Request = boost::beast::http::request<boost::beast::http::string_body>;

  // One accepted connection. The next request is read once finishRequest() was called and all bytes are sent.
  class Connection : public std::enable_shared_from_this<Connection> {
   public:
    Connection(HttpServer& server, tcp::socket socket);
    const Request& request() const { return request_; }
    // Queues raw bytes; they are sent in the order of the calls.
    void write(std::string bytes);
    // Ends the handling of the current request.
    void finishRequest();
    // Runs the action after the delay unless the connection is closed by then; at once for a delay of 0.
    void runAfter(milliseconds delay, std::function<void()> action);
    void close();
    // Closes the connection with a TCP RST, as the end of a process would.
    void reset();
    bool isOpen() const { return open_; }

   private:
    friend class HttpServer;
    void read();
    void flush();
    HttpServer& server_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    Request request_;
    std::string queued_, sending_;
    bool open_ = true, writing_ = false, requestFinished_ = false;
  };
  using Handler = std::function<void(const std::shared_ptr<Connection>&)>;

  // Listens at once; throws boost::system::system_error if the endpoint cannot be bound.
  HttpServer(boost::asio::io_context& io, Handler handler,
             tcp::endpoint listenEndpoint = {processLoopbackAddress(), 0});
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  tcp::endpoint listenEndpoint() const { return listenEndpoint_; }
  std::string hostAndPort() const;
  // Resets all connections and refuses new ones until listen().
  void stop();
  // Listens again at the same endpoint; does nothing while listening.
  void listen();
  // Connections accepted since construction.
  std::size_t acceptedConnections() const { return acceptedConnections_; }
  std::size_t openConnections() const { return connections_.size(); }

  // Formats a response with a Content-Length (none for 204); `headers` are complete lines, each with its
  // CRLF.
  static std::string formatResponse(int status, const std::string& body = "",
                                    const std::string& headers = "");

 private:
  void accept();
  boost::asio::io_context& io_;
  Handler handler_;
  tcp::endpoint listenEndpoint_;
  tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::size_t acceptedConnections_ = 0;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::standin
