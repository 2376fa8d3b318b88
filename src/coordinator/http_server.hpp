// HTTP/1.1 server of a coordinator, on Boost.Beast, with a connection limit and asynchronous responses.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "clock/alarm.hpp"

namespace quilltide::coordinator {

using boost::asio::ip::tcp;

struct HttpRequest {
  std::string method, path;  // path without the query string
  std::map<std::string, std::string> query;
  std::string body;
};
struct HttpResponse {
  int status = 200;
  nlohmann::json body;
};
using ResponseCallback =
    std::function<void(const HttpResponse&)>;  // first call only; ignored after a disconnect

// Single-threaded; does not block. At the connection limit the oldest connection is closed.
class HttpServer {
 public:
  using Handler = std::function<void(const HttpRequest&, ResponseCallback)>;
  HttpServer(boost::asio::io_context& io, const tcp::endpoint& at, std::size_t connections, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void listen();  // throws std::runtime_error if the address cannot be bound
  void close();
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return clients_.size(); }

 private:
  class Client;
  void accept();
  boost::asio::io_context& io_;
  tcp::endpoint listenAddress_;
  std::size_t maxConnections_;
  Handler handler_;
  tcp::acceptor acceptor_;
  std::list<std::weak_ptr<Client>> clients_;
  clocks::Alarm acceptRetryAlarm_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::coordinator
