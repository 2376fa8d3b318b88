// HTTP/1.1 for coordinators, on Beast: bounded connections, whole requests in, whole answers out, now or
// later.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <list>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace quilltide::coordinator {

using boost::asio::ip::tcp;

struct Request {
  std::string method, path;  // without its query
  std::map<std::string, std::string> query;
  std::string body;
};
struct Answer {
  int status = 200;
  nlohmann::json body;
};
using Respond = std::function<void(const Answer&)>;  // once; ignored if the client has gone

class HttpServer {
 public:
  using Handler = std::function<void(const Request&, Respond)>;
  HttpServer(boost::asio::io_context& io, const tcp::endpoint& at, std::size_t connections, Handler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  void listen();  // throws boost::system::system_error if the address is not to be had
  void close();
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::size_t connections() const { return clients_.size(); }

 private:
  class Client;
  void accept();
  boost::asio::io_context& io_;
  tcp::endpoint at_;
  std::size_t most_;
  Handler handler_;
  tcp::acceptor acceptor_;
  std::list<std::weak_ptr<Client>> clients_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::coordinator
