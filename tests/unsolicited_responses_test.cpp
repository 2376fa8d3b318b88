// Bytes that arrive on a reused connection before a call is written can't be the answer to it: the message
// must not be taken for delivered.
#include "net_fixture.hpp"
#include "upstream/http/http_upstream_client.hpp"

namespace quilltide::net::fixtures {
namespace {

constexpr std::size_t kLargeBodyBytes = 20'000'000;  // more than the buffers of both sides hold

// An upstream client without an engine, and a target that is played step by step.
struct UnsolicitedResponsesTest : NetFixture {
  UnsolicitedResponsesTest() {
    acceptor.open(tcp::v4());
    acceptor.set_option(asio::socket_base::receive_buffer_size(4'096));
    acceptor.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor.listen();
    const tcp::endpoint address = acceptor.local_endpoint();
    config["known"]["targets"] = json::array({entry("t1", "127.0.0.1:" + std::to_string(address.port()))});
    platform = parsePlatformConfig(config, folder.path());
    upstream = std::make_unique<HttpUpstreamClient>(
        io, platform, 10,
        [this](const TargetId& to, const std::vector<const UpstreamRequest*>& requests) {
          if (beforeWrite) std::exchange(beforeWrite, nullptr)();
          return letLeave(to, requests);
        },
        [this](const Outcome& outcome) { outcomes.push_back(outcome); }, [](MessageId) {}, ignoreReviews());
    upstream->updateTargets(platform.initialDirectory);
  }
  void call(MessageId handle, const std::string& body) {
    UpstreamRequest request;
    request.handle = handle;
    request.id = "m" + std::to_string(handle);
    request.body = body;
    request.timeout = request.timeToLive = 3'000'000;
    upstream->call("t1", {request});
  }
  // Delivers a first message, so that its connection is idle.
  void deliverFirst() {
    call(1, "first");
    acceptor.non_blocking(true);
    ASSERT_TRUE(until([&] {
      error_code pending;
      if (!partner.is_open()) acceptor.accept(partner, pending);
      return partner.is_open();
    }));
    ASSERT_TRUE(until([&] { return partner.available() > 0; }));
    write(FakeServer::answer(200));
    ASSERT_TRUE(until([&] { return outcomes.size() == 1; }));
    ASSERT_EQ(outcomes[0].callResult, CallResult::succeeded);
    ASSERT_TRUE(until([&] { return upstream->reusableConnections("t1") == 1; }));
  }
  void write(const std::string& text) { asio::write(partner, asio::buffer(text)); }

  tcp::acceptor acceptor{io};
  tcp::socket partner{io};
  PlatformConfig platform;
  std::function<void()>
      beforeWrite;  // runs once, after a connection was taken and before the call is written
  std::vector<Outcome> outcomes;
  std::unique_ptr<HttpUpstreamClient> upstream;
};

// Guards against a late second answer to the call before: it arrives between the reuse and the first byte.
TEST_F(UnsolicitedResponsesTest, AnswerBeforeTheFirstByteOfACallIsNotItsAnswer) {
  deliverFirst();
  beforeWrite = [&] { write(FakeServer::answer(200)); };
  call(2, "second");
  ASSERT_TRUE(until([&] { return outcomes.size() == 2; }));
  EXPECT_EQ(outcomes[1].callResult, CallResult::connectFailed);  // nothing was written: it surely did not run
}

// Guards against the same while the call is partly written.
TEST_F(UnsolicitedResponsesTest, AnswerBeforeTheLastByteOfACallIsNoProofOfDelivery) {
  for (const int status : {200, 503}) {
    SCOPED_TRACE(status);
    outcomes.clear();
    partner = tcp::socket(io);
    deliverFirst();
    call(2, std::string(kLargeBodyBytes, 'x'));
    write(FakeServer::answer(status));
    std::string received(1 << 20, '\0');
    ASSERT_TRUE(until([&] {
      error_code ended;
      if (partner.available(ended) > 0) partner.read_some(asio::buffer(received), ended);
      return outcomes.size() == 2;
    }));
    EXPECT_EQ(outcomes[1].callResult, CallResult::error);
    EXPECT_TRUE(outcomes[1].unreadableResponse);
  }
}

// A call that is answered after its last byte is delivered, however its body was written.
TEST_F(UnsolicitedResponsesTest, AnswerAfterTheLastByteCounts) {
  deliverFirst();
  call(2, std::string(kLargeBodyBytes, 'x'));
  std::string received(1 << 20, '\0');
  std::size_t bytes = 0;
  ASSERT_TRUE(until([&] {
    error_code ended;
    if (partner.available(ended) > 0) bytes += partner.read_some(asio::buffer(received), ended);
    if (bytes > kLargeBodyBytes && outcomes.size() == 1) write(FakeServer::answer(200));
    return outcomes.size() == 2;
  }));
  EXPECT_EQ(outcomes[1].callResult, CallResult::succeeded);
}

}  // namespace
}  // namespace quilltide::net::fixtures
