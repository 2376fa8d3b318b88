// Requests to coordinators over loopback, with a server that sends a response twice.
#include "fleet/link/json_call.hpp"

#include <gtest/gtest.h>

#include <array>
#include <boost/asio.hpp>

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

}  // namespace
}  // namespace quilltide::fleet
