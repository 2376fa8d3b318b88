// Messages whose client has closed its connection before they were read are rejected: such a client may have
// submitted them anew. The close is already there when the forwarder reads, since its loop does not run
// before.
#include "http_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using std::chrono::milliseconds;

enum class Close { finished, reset };

struct AdmissionTest : HttpFixture {
  AdmissionTest() { config["settings"]["limits"]["maxOpen"] = 500; }

  // Writes `bytes` on a connection of its own and closes that, while the forwarder is held up.
  void writeAndClose(const tcp::endpoint& to, const std::string& bytes, Close close) {
    tcp::socket socket(io);
    socket.connect(to);
    asio::write(socket, asio::buffer(bytes));
    if (close == Close::reset) socket.set_option(asio::socket_base::linger(true, 0));
    socket.close();
  }
  std::string commands(int count) {
    std::string all;
    for (int i = 0; i < count; ++i)
      all += FakeClient::command(
          {"ENQUEUE", "0", "m" + std::to_string(i), "c=unsafe,d=8000,dest=7", std::string(500, 'x')});
    return all;
  }
  static std::string requests(int count) {
    std::string all;
    for (int i = 0; i < count; ++i)
      all += HttpTalk::request(
          "POST", "/v1/messages?id=m" + std::to_string(i) + "&class=unsafe&destination=7&time_left_ms=8000",
          "hello");
    return all;
  }
  // The same messages under new ids are the only ones that run.
  void expectOnlyNewIdsRun(int count, const std::string& prefix) {
    loops.until([] { return false; }, milliseconds(50));
    EXPECT_TRUE(target.requests.empty());
    for (int i = 0; i < count; ++i) client->enqueue(prefix + std::to_string(i), "unsafe");
    for (int i = 0; i < count; ++i) ASSERT_EQ(client->line(), "+OK");
    const auto expected = static_cast<std::size_t>(count);
    EXPECT_TRUE(until([&] { return target.requests.size() >= expected && owed() == 0; }));
    for (const Request& request : target.requests)
      EXPECT_TRUE(request["X-Request-Id"].starts_with(prefix)) << request["X-Request-Id"];
  }
};

// Commands that lay unread when their client left were once delivered, and run twice with those that it
// submitted anew.
TEST_F(AdmissionTest, CommandsOfAClientThatHasLeftAreNotDelivered) {
  for (const Close close : {Close::finished, Close::reset}) {
    startBoth();
    writeAndClose(forwarder->address(), commands(20), close);
    expectOnlyNewIdsRun(20, close == Close::reset ? "reset" : "finished");
    target.requests.clear();
    kill();
  }
}

TEST_F(AdmissionTest, HttpRequestsOfAClientThatHasLeftAreNotDelivered) {
  for (const Close close : {Close::finished, Close::reset}) {
    startBoth();
    writeAndClose(forwarder->httpAddress(), requests(5), close);
    expectOnlyNewIdsRun(5, close == Close::reset ? "reset" : "finished");
    target.requests.clear();
    kill();
  }
}

TEST_F(AdmissionTest, ABatchOfAClientThatHasLeftIsNotDelivered) {
  startBoth();
  std::string lines;
  for (int i = 0; i < 5; ++i)
    lines += json{{"id", "m" + std::to_string(i)},
                  {"class", "unsafe"},
                  {"destination", 7},
                  {"time_left_ms", 8'000},
                  {"body", "hello"}}
                 .dump() +
             "\n";
  writeAndClose(forwarder->httpAddress(), HttpTalk::request("POST", "/v1/messages/batch", lines),
                Close::finished);
  expectOnlyNewIdsRun(5, "again");
}

// The client leaves between two commands of one block.
TEST_F(AdmissionTest, CommandsBehindTheCloseInABlockAreNotDelivered) {
  startBoth();
  const std::string body(90, 'x');
  auto leaving = std::make_unique<FakeClient>(loops, forwarder->address());
  std::string all;
  for (int i = 0; i < 100; ++i)
    all += FakeClient::command({"ENQUEUE", "0", "m" + std::to_string(i), "c=unsafe,d=8000,dest=7", body});
  ASSERT_LT(all.size(), 16U * 1024);  // one read
  leaving->write(all);
  const auto known = [&](int i) {
    return forwarder->engine().status("m" + std::to_string(i)).state != MessageStatus::State::unknown;
  };
  for (int steps = 0; steps < 100'000 && !known(0); ++steps) {
    loops.own->restart();
    loops.own->poll_one();
  }
  ASSERT_TRUE(known(0));
  ASSERT_FALSE(known(99));
  int read = 0;
  while (known(read)) ++read;
  leaving.reset();
  EXPECT_TRUE(until([&] { return target.requests.size() == static_cast<std::size_t>(read) && owed() == 0; }));
  loops.until([] { return false; }, milliseconds(50));
  EXPECT_EQ(target.requests.size(), static_cast<std::size_t>(read));
}

// What lies unread at the end of the service is treated likewise.
TEST_F(AdmissionTest, CommandsOfAClientThatHasLeftAreNotTakenOnAtTheEndOfTheService) {
  startBoth();
  client->enqueue("m", "safe");
  ASSERT_EQ(client->line(), "+OK");
  writeAndClose(forwarder->address(), commands(20), Close::finished);
  forwarder->drain(milliseconds(0), [] {});
  loops.until([] { return false; }, milliseconds(50));
  EXPECT_EQ(forwarder->engine().status("m0").state, MessageStatus::State::unknown);
  EXPECT_EQ(effects("m0"), 0U);
}

}  // namespace
}  // namespace quilltide::net::fixtures
