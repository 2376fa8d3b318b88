// Inputs that do not end, from each kind of peer that a forwarder reads: its memory stays bounded, it answers
// PING meanwhile, and the message, the watch or the notice ends as after any unreadable answer.
#include <fstream>
#include <random>

#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Link = FakeServer::Link;

constexpr std::size_t kMemoryLimitBytes = 32U << 20;  // the smallest of a deployment
constexpr std::size_t kMaxResidentBytes = kMemoryLimitBytes / 4 * 3;
constexpr auto kMaxPingTime = milliseconds(300);  // a notice is overdue by then
constexpr auto kEndlessTime = milliseconds(1'500);

const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

// What is sent without end behind a head.
struct EndlessBody {
  const char* name;  // also of the message that meets it
  std::string prefix, unit;
};
const std::vector<EndlessBody> kEndlessBodies = {
    {"chunk-extension", "1;", "e"}, {"trailer-line", "0\r\nX-T: ", "v"}, {"trailers", "0\r\n", "X-T: v\r\n"}};

// Sends `first`, then blocks of `unit` until the connection ends or the writer is destroyed.
class EndlessWriter {
 public:
  EndlessWriter(Link& link, const std::string& first, const std::string& unit) : link_(link), block_(first) {
    while (next_.size() < kBlockBytes) next_ += unit;
    send();
  }
  ~EndlessWriter() { *alive_ = false; }

 private:
  static constexpr std::size_t kBlockBytes = 256 * 1024;
  void send() {
    asio::async_write(link_.socket, asio::buffer(block_),
                      [this, alive = alive_](error_code error, std::size_t) {
                        if (!*alive || error) return;
                        block_ = next_;
                        send();
                      });
  }
  Link& link_;
  std::string block_, next_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

struct InputLimitsTest : NetFixture {
  InputLimitsTest() { config["limits"]["memory_mb"] = kMemoryLimitBytes >> 20; }

  void sendEndless(Link& link, const std::string& head, const EndlessBody& body) {
    writers.push_back(std::make_unique<EndlessWriter>(link, head + body.prefix, body.unit));
  }
  // Runs for kEndlessTime with a PING every 10 ms, and checks the memory and the time of each answer.
  void expectBounded(const char* what) {
    std::size_t highest = 0;
    for (const auto end = Clock::now() + kEndlessTime; Clock::now() < end; pause(10)) {
      const auto sentAt = Clock::now();
      client->write(FakeClient::command({"PING"}));
      ASSERT_EQ(client->line(), "+PONG") << what;
      ASSERT_LT(Clock::now() - sentAt, kMaxPingTime * kSlower) << what;
      highest = std::max(highest, residentBytes());
      ASSERT_LT(highest, kMaxResidentBytes * kSlower) << what;
    }
  }
  // A fresh forwarder, since one that fails is not fit for the next form.
  void restartProgram() {
    writers.clear();
    client.reset();
    if (program > 0) {
      ::kill(program, SIGKILL);
      ::waitpid(program, &status, 0);
      program = 0;
    }
    startProgram();
  }

  std::vector<std::unique_ptr<EndlessWriter>> writers;
};

// Guards against a response to a call that takes all memory: the bytes that the parser could not use yet were
// held without a limit.
TEST_F(InputLimitsTest, AResponseWithoutEndDoesNotTakeTheMemory) {
  for (const EndlessBody& body : kEndlessBodies) {
    for (const char* statusLine : {"HTTP/1.1 503 X", "HTTP/1.1 200 X"}) {
      target.handler = [&](Link& link) {
        sendEndless(link, std::string(statusLine) + "\r\nTransfer-Encoding: chunked\r\n\r\n", body);
      };
      restartProgram();
      const std::string id = std::string(body.name) + std::string(statusLine).substr(9, 3);
      client->enqueue(id, "unsafe");
      ASSERT_EQ(client->line(), "+OK");
      ASSERT_NO_FATAL_FAILURE(expectBounded(body.name));
      // 200 to a single message is delivered, whatever follows; another status proves nothing.
      EXPECT_EQ(discovery.outcomeOf(id), std::string(statusLine).ends_with("200 X") ? "" : "given_up");
      EXPECT_EQ(owed(), 0U) << body.name;
    }
  }
}

// Guards against the same on a connection without a call, behind a whole response.
TEST_F(InputLimitsTest, ASecondResponseWithoutEndDoesNotTakeTheMemory) {
  for (const EndlessBody& body : kEndlessBodies) {
    target.handler = [&](Link& link) { sendEndless(link, FakeServer::answer(200) + kChunkedHead, body); };
    restartProgram();
    client->enqueue(body.name, "unsafe");
    ASSERT_EQ(client->line(), "+OK");
    ASSERT_NO_FATAL_FAILURE(expectBounded(body.name));
    EXPECT_EQ(owed(), 0U) << body.name;
    EXPECT_TRUE(discovery.notices.empty()) << body.name;
  }
}

// Guards against a watch that takes all memory; it is opened anew, and the list is in force then.
TEST_F(InputLimitsTest, AWatchWithoutEndDoesNotTakeTheMemory) {
  const json list = {{"rev", 42}, {"all", true}, {"targets", config["known"]["targets"]}};
  for (const EndlessBody& body : kEndlessBodies) {
    std::size_t watches = 0;
    discovery.server.handler = [&](Link& link) {
      if (link.request.method() != http::verb::get) return discovery.take(link);
      if (++watches <= 2) return sendEndless(link, kChunkedHead, body);
      discovery.first = list.dump();
      discovery.take(link);
    };
    restartProgram();
    ASSERT_NO_FATAL_FAILURE(expectBounded(body.name));
    EXPECT_TRUE(until([&] { return watches > 2; })) << body.name;
    const std::size_t before = target.requests.size();
    client->enqueue(body.name, "safe");
    ASSERT_EQ(client->line(), "+OK");
    EXPECT_TRUE(until([&] { return target.requests.size() > before; })) << body.name;
  }
}

// Guards against responses to notices that take all memory; the notice is posted again until it is answered.
TEST_F(InputLimitsTest, AResponseToANoticeWithoutEndDoesNotTakeTheMemory) {
  target.handler = [](Link&) {};
  for (const EndlessBody& body : kEndlessBodies) {
    bool spoilt = true;
    discovery.server.handler = [&](Link& link) {
      if (!spoilt || link.request.method() == http::verb::get) return discovery.take(link);
      sendEndless(link, kChunkedHead, body);
    };
    restartProgram();
    client->enqueue(body.name, "unsafe", 100);
    ASSERT_EQ(client->line(), "+OK");
    ASSERT_NO_FATAL_FAILURE(expectBounded(body.name));
    spoilt = false;
    EXPECT_TRUE(until([&] { return discovery.outcomeOf(body.name) == "given_up"; })) << body.name;
  }
}

// Guards against a head beyond its limit: the parser measures anew behind each part that ends with a line.
TEST_F(InputLimitsTest, AHeadThatArrivesInPartsEndsAtItsLimit) {
  constexpr std::size_t kLineBytes = 8, kMaxPartBytes = 4'000;
  constexpr int kSeeds = 40;
  std::string lines;
  while (lines.size() < 20 * kTargetInput.headBytes) lines += "X-A: v\r\n";
  tcp::acceptor acceptor(io, {asio::ip::make_address("127.0.0.1"), 0});
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937 random(static_cast<unsigned>(seed));
    tcp::socket peer(io);
    peer.connect(acceptor.local_endpoint());
    tcp::socket socket = acceptor.accept();
    socket.non_blocking(true);
    BoundedInput input(socket, InputSource::target, kTargetInput);
    CallResponse response;
    std::string part = "HTTP/1.1 200 OK\r\n";
    std::size_t sent = 0;
    CallResponse::Progress progress = CallResponse::Progress::incomplete;
    while (progress == CallResponse::Progress::incomplete && sent < 10 * kTargetInput.headBytes) {
      asio::write(peer, asio::buffer(part));
      ASSERT_TRUE(until([&] { return socket.available() == part.size(); }));
      input.startTurn();
      error_code error;
      input.readSome(error);
      progress = response.parse(input);
      const bool endsWithLine = random() % 2 == 0;
      const std::size_t size = 1 + random() % kMaxPartBytes;
      part = lines.substr(sent, endsWithLine ? size / kLineBytes * kLineBytes + kLineBytes : size);
      sent += part.size();
    }
    EXPECT_EQ(progress, CallResponse::Progress::malformed) << seed;
    EXPECT_LE(sent, kTargetInput.headBytes + 2 * kMaxPartBytes + 2 * kLineBytes) << seed;
  }
}

// Reads one message of `text` in parts of `partBytes`, and returns how the parser ended.
template <typename Parser>
error_code parseInParts(Parser& parser, const std::string& text, std::size_t partBytes) {
  error_code error;
  boost::beast::flat_buffer buffer;
  for (std::size_t at = 0; at < text.size() && (!error || error == http::error::need_more); at += partBytes) {
    const std::string part = text.substr(at, partBytes);
    buffer.commit(asio::buffer_copy(buffer.prepare(part.size()), asio::buffer(part)));
    do {
      buffer.consume(parser.put(buffer.data(), error));
    } while (!error && !parser.is_done() && buffer.size() > 0);
  }
  return error;
}

std::string fields(std::size_t count, const std::string& line) {
  std::string all;
  for (std::size_t i = 0; i < count; ++i) all += line + "\r\n";
  return all;
}

// Guards against heads of very many short fields, each of which takes many times the memory of its text.
TEST(BoundedParser, HeadsOfTooManyFieldsFailHoweverTheyArrive) {
  for (const std::size_t partBytes : {1U, 7U, 4'096U}) {
    ResponseParser allowed(kTargetInput), tooMany(kTargetInput);
    const std::string status = "HTTP/1.1 204 X\r\n";
    EXPECT_FALSE(parseInParts(allowed, status + fields(kMaxHeadFields, "a:") + "\r\n", partBytes));
    EXPECT_EQ(parseInParts(tooMany, status + fields(kMaxHeadFields + 1, "a:") + "\r\n", partBytes),
              InputError::tooManyFields);
    RequestParser request(kHttpClientInput);
    EXPECT_EQ(parseInParts(request, "GET / HTTP/1.1\r\n" + fields(1'900, "a:") + "\r\n", partBytes),
              InputError::tooManyFields);
  }
}

// Guards against the same behind a body, and against fields whose text adds up to more than a head may have.
TEST(BoundedParser, TrailersAndLongFieldsCountToo) {
  const std::string chunked = "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
  ResponseParser allowed(kTargetInput), tooMany(kTargetInput), tooLong(kTargetInput);
  EXPECT_FALSE(parseInParts(allowed, chunked + fields(kMaxHeadFields - 1, "a:") + "\r\n", 4'096));
  EXPECT_EQ(parseInParts(tooMany, chunked + fields(kMaxHeadFields, "a:") + "\r\n", 4'096),
            InputError::tooManyFields);
  const std::string line = "X-A: " + std::string(995, 'v');
  EXPECT_EQ(parseInParts(tooLong, "HTTP/1.1 200 X\r\n" + fields(20, line), line.size() + 2),
            http::error::header_limit);
}

// Guards against a response on a connection without a call that is never complete, and holds the connection.
TEST_F(InputLimitsTest, AnIncompleteSecondResponseEndsItsConnectionInTime) {
  target.handler = [](Link& link) { link.write(FakeServer::answer(200)); };
  start();
  client->enqueue("m1", "safe");
  ASSERT_TRUE(until([&] { return forwarder->upstream().reusableConnections("t1") == 1; }));
  const auto writtenAt = Clock::now();
  target.links[0]->write("HTTP/1.1 2");
  EXPECT_TRUE(until([&] { return target.ended == 1; }));
  EXPECT_LT(Clock::now() - writtenAt, milliseconds(500 + 200) * kSlower);  // README, Limits
}

// Guards against a connection without a call that is kept, and read, while interim responses come without
// end.
TEST_F(InputLimitsTest, InterimResponsesWithoutEndEndAConnectionWithoutACall) {
  target.handler = [](Link& link) { link.write(FakeServer::answer(200)); };
  start();
  client->enqueue("m1", "safe");
  ASSERT_TRUE(until([&] { return forwarder->upstream().reusableConnections("t1") == 1; }));
  for (int i = 0; i < 40; ++i) target.links[0]->write("HTTP/1.1 102 Processing\r\n\r\n");
  EXPECT_TRUE(until([&] { return target.ended == 1; }));
}

}  // namespace
}  // namespace quilltide::net::fixtures
