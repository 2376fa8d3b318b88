// Requests to coordinators over loopback, with servers and clients that do not keep to the protocol.
#include "fleet/link/json_call.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>

#include "coordinator/http_server.hpp"
#include "event_loop.hpp"

namespace quilltide::fleet {
namespace {

namespace asio = boost::asio;

std::string response(int number) {
  const std::string body = "{\"number\":" + std::to_string(number) + "}";
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Answers the requests of all connections in turn with increasing numbers. On a connection that is used
// again, the response before comes once more, ahead of the own one.
class RepeatingServer {
 public:
  explicit RepeatingServer(asio::io_context& io) : acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  tcp::endpoint endpoint() const { return acceptor_.local_endpoint(); }

 private:
  struct Link {
    explicit Link(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    std::array<char, 4096> input{};
    std::string lastResponse;
  };
  void accept() {
    acceptor_.async_accept([this](boost::system::error_code error, tcp::socket socket) {
      if (error) return;
      read(std::make_shared<Link>(std::move(socket)));
      accept();
    });
  }
  void read(const std::shared_ptr<Link>& link) {
    link->socket.async_read_some(asio::buffer(link->input),
                                 [this, link](boost::system::error_code error, std::size_t) {
                                   if (error) return;
                                   const std::string own = response(++requests_);
                                   asio::write(link->socket, asio::buffer(link->lastResponse + own));
                                   link->lastResponse = own;
                                   read(link);
                                 });
  }
  tcp::acceptor acceptor_;
  int requests_ = 0;
};

// Guards against a read that gets the response to the read before.
TEST(JsonCallTest, RepeatedResponseIsNotTakenForTheNextOne) {
  asio::io_context io;
  RepeatingServer server(io);
  JsonCall call(io);
  for (int number = 1; number <= 3; ++number) {
    std::uint64_t answered = 0;
    call.call(server.endpoint(), "/v1/value", nullptr, std::chrono::seconds(2),
              [&](int, const nlohmann::json& body) { answered = numberIn(body, "number"); });
    while (call.busy()) {
      io.restart();
      io.run_one();
    }
    EXPECT_EQ(answered, static_cast<std::uint64_t>(number));
  }
}

// Sends `head`, then blocks of `unit`, until the peer ends the connection.
class EndlessSender {
 public:
  EndlessSender(tcp::socket socket, const std::string& head, char unit)
      : socket_(std::move(socket)), block_(head), next_(kBlockBytes, unit) {
    send();
  }
  bool ended = false;

 private:
  static constexpr std::size_t kBlockBytes = 256 * 1024;
  void send() {
    asio::async_write(socket_, asio::buffer(block_), [this](boost::system::error_code error, std::size_t) {
      ended = static_cast<bool>(error);
      if (ended) return;
      block_ = next_;
      send();
    });
  }
  tcp::socket socket_;
  std::string block_, next_;
};

constexpr auto kEndsWithin = std::chrono::seconds(3);  // far less than the time-outs of both sides

// Guards against a response of a coordinator that is held without a limit for as long as the request waits.
TEST(JsonCallTest, ResponseWithoutEndEndsTheRequest) {
  asio::io_context io;
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  std::unique_ptr<EndlessSender> sender;
  acceptor.async_accept([&](boost::system::error_code, tcp::socket socket) {
    sender = std::make_unique<EndlessSender>(std::move(socket),
                                             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", 'e');
  });
  JsonCall call(io);
  int status = -1;
  const auto startedAt = std::chrono::steady_clock::now();
  call.call(acceptor.local_endpoint(), "/v1/leases", nullptr, std::chrono::seconds(10),
            [&](int answered, const nlohmann::json&) { status = answered; });
  EXPECT_TRUE(runUntil(io, [&] { return !call.busy(); }));
  EXPECT_EQ(status, 0);
  EXPECT_LT(std::chrono::steady_clock::now() - startedAt, kEndsWithin);
}

// Guards against a request to a coordinator that is held without a limit.
TEST(HttpServerTest, RequestWithoutEndEndsItsConnection) {
  asio::io_context io;
  coordinator::HttpServer server(
      io, {asio::ip::make_address("127.0.0.1"), 0}, 10,
      [](const coordinator::HttpRequest&, const coordinator::ResponseCallback&) {});
  server.listen();
  tcp::socket socket(io);
  socket.connect(server.address());
  EndlessSender sender(std::move(socket), "POST /v1/session HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
                       'e');
  const auto startedAt = std::chrono::steady_clock::now();
  EXPECT_TRUE(runUntil(io, [&] { return sender.ended; }));
  EXPECT_LT(std::chrono::steady_clock::now() - startedAt, kEndsWithin);
}

}  // namespace
}  // namespace quilltide::fleet
