// Clients that say nothing, send what cannot be read, or come back at full speed, beside one that is well.
#include <list>

#include "config/budget.hpp"
#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using Link = FakeServer::Link;
using std::chrono::milliseconds;

// Each is owed an error or a close within 3 s of connecting; the one that is known to be well keeps its
// connection, though it rests as long.
TEST_F(NetFixture, EndsWhoSaysNothingOrHalfARequest) {
  start();
  client->enqueue("m1", "safe");
  ASSERT_EQ(client->line(), "+OK");
  FakeClient silent(loops, forwarder->address()), half(loops, forwarder->address()),
      word(loops, forwarder->address());
  half.write("*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nm");
  word.write("*5\r\n$7\r\nENQ");
  ASSERT_TRUE(loops.until([&] { return silent.closed && half.closed && word.closed; }, milliseconds(3'000)));
  EXPECT_EQ(silent.line(), "");
  EXPECT_EQ(half.line().substr(0, 5), "-ERR ");
  EXPECT_EQ(word.line().substr(0, 5), "-ERR ");
  EXPECT_FALSE(client->closed);
}

// With nothing but silent ones, and ones with half a request, in all places, a new client is still served, at
// once.
TEST_F(NetFixture, ServesANewClientWhileSilentOnesHoldEveryPlace) {
  config["limits"]["sockets"] = 64;
  start();
  client->enqueue("m0", "safe");
  ASSERT_EQ(client->line(), "+OK");
  std::list<FakeClient> silent;
  for (int i = 0; i < 100; ++i) {
    silent.emplace_back(loops, forwarder->address());
    if (i % 3 == 0) silent.back().write("*5\r\n$7\r\nENQ");
  }
  FakeClient late(loops, forwarder->address());
  late.enqueue("m1", "safe");
  loops.until([&] { return !target.requests.empty() && target.requests.back()["X-Request-Id"] == "m1"; },
              milliseconds(1'000));
  EXPECT_EQ(late.line(), "+OK");
  EXPECT_FALSE(client->closed);
}

// A flood of requests that hand nothing in is answered whole and in order, but in turns with a wait between:
// the loop has time for the others.
TEST_F(NetFixture, AnswersAFloodOfPingsInTurns) {
  start();
  std::string flood;
  for (int i = 0; i < 1'000; ++i) flood += FakeClient::command({"PING"});
  const auto begun = std::chrono::steady_clock::now();
  client->write(flood);
  for (int i = 0; i < 1'000; ++i) ASSERT_EQ(client->line(), "+PONG") << i;
  EXPECT_GE(std::chrono::steady_clock::now() - begun, milliseconds(6));
  client->enqueue("m1", "safe");
  EXPECT_EQ(client->line(), "+OK");
}

// The end of the service in the middle of a flood: none of what had arrived stays
// without its answer.
TEST_F(NetFixture, AnswersWhatHasArrivedOfAFloodAtTheEndOfTheService) {
  start();
  std::string flood;
  for (int i = 0; i < 300; ++i) flood += FakeClient::command({"PING"});
  for (int i = 0; i < 100; ++i)
    flood += FakeClient::command({"ENQUEUE", "0", "m" + std::to_string(i), "c=safe,d=8000,dest=7", "x"});
  client->write(flood);
  ASSERT_EQ(client->line(), "+PONG");  // the first turn of several
  forwarder->drain(milliseconds(0), [] {});
  int answers = 1;
  while (!client->line().empty()) ++answers;
  EXPECT_EQ(answers, 400);
}

// A length that cannot be right is turned away at its first line: its bytes are not waited for.
TEST_F(NetFixture, TurnsABadLengthAwayAtItsHeader) {
  start();
  const std::vector<std::string> bad = {
      "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nm1\r\n$1\r\nc\r\n$60000000\r\n",
      "*5\r\n$65537\r\n",
      "*5\r\n$-20\r\n",
      "*5\r\n$many\r\n",
      "*5\r\n$99999999999999999999999\r\n",
      "*5\r\n$1111111111111111111111111111111111",
      "*1111111111111111111111111111111111111",
      "*-5\r\n",
      "*100000\r\n",
      "ENQUEUE 0 m1"};
  for (const std::string& bytes : bad) {
    FakeClient other(loops, forwarder->address());
    const auto begun = std::chrono::steady_clock::now();
    other.write(bytes);
    EXPECT_EQ(other.line().substr(0, 4), "-ERR") << bytes;
    EXPECT_TRUE(until([&] { return other.closed; })) << bytes;
    EXPECT_LT(std::chrono::steady_clock::now() - begun, milliseconds(1'500)) << bytes;
  }
}

// hiredis takes any two bytes for a word's end. With a length that is short by some bytes the request must
// not be taken on with a body that is cut.
TEST_F(NetFixture, DoesNotTakeOnARequestWithAWrongLength) {
  start();
  client->write(
      "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nm1\r\n$20\r\nc=safe,d=8000,dest=7\r\n$3\r\nhello\r\n");
  EXPECT_EQ(client->line().substr(0, 4), "-ERR");
  EXPECT_TRUE(until([&] { return client->closed; }));
  EXPECT_EQ(owed(), 0U);
  EXPECT_TRUE(target.requests.empty());
}

// The error reaches a client that is still sending: closing on its unread bytes would send a reset, which may
// destroy what was written before it.
TEST_F(NetFixture, AnErrorSurvivesWhatTheClientStillSends) {
  start();
  for (int i = 0; i < 20; ++i) {
    FakeClient flood(loops, forwarder->address());
    flood.write("*5\r\n$70000\r\n" + std::string(100'000, 'x'));
    EXPECT_EQ(flood.line().substr(0, 4), "-ERR");
    EXPECT_TRUE(until([&] { return flood.closed; }));
  }
}

// Hundreds of commands at once that are all wrong: a few errors end the connection; one that errs now and
// then keeps it.
TEST_F(NetFixture, AFewErrorsInARowEndAConnection) {
  start();
  std::string many;
  for (int i = 0; i < 300; ++i) many += FakeClient::command({"NONSENSE"});
  FakeClient flood(loops, forwarder->address());
  flood.write(many);
  for (int i = 0; i < 3; ++i) EXPECT_EQ(flood.line().substr(0, 4), "-ERR");
  EXPECT_TRUE(until([&] { return flood.closed; }));
  EXPECT_EQ(flood.line(), "");
  for (int i = 0; i < 5; ++i) {
    client->enqueue("x" + std::to_string(i), "safe", 8'000, 99);
    EXPECT_EQ(client->line(), "-ERR unknown destination");
    client->enqueue("m" + std::to_string(i), "safe");
    EXPECT_EQ(client->line(), "+OK");
  }
  EXPECT_FALSE(client->closed);
}

// Three messages in a row for a destination without targets once ended the connection, with the valid
// commands behind them unanswered.
TEST_F(NetFixture, FailedMessagesLeaveTheCommandsBehindThemTheirAnswers) {
  start();
  std::string commands;
  for (int i = 0; i < 8; ++i)
    commands += FakeClient::command({"ENQUEUE", "0", "x" + std::to_string(i), "c=safe,d=8000,dest=99", "b"});
  for (int i = 0; i < 3; ++i)
    commands += FakeClient::command({"ENQUEUE", "0", "m" + std::to_string(i), "c=safe,d=8000,dest=7", "b"});
  client->write(commands);
  for (int i = 0; i < 8; ++i) EXPECT_EQ(client->line(), "-ERR unknown destination") << i;
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client->line(), "+OK") << i;
  EXPECT_FALSE(client->closed);
}

// Messages for unknown destinations at full speed are answered in turns, as other requests that submit
// nothing.
TEST_F(NetFixture, AnswersAFloodOfFailedMessagesInTurns) {
  start();
  std::string flood;
  for (int i = 0; i < 1'000; ++i)
    flood += FakeClient::command({"ENQUEUE", "0", "x" + std::to_string(i), "c=safe,d=8000,dest=99", "b"});
  const auto begun = std::chrono::steady_clock::now();
  client->write(flood);
  for (int i = 0; i < 1'000; ++i) ASSERT_EQ(client->line(), "-ERR unknown destination") << i;
  EXPECT_GE(std::chrono::steady_clock::now() - begun, milliseconds(6));
}

// Answers to a client that does not read them do not pile up: its requests are left unread meanwhile.
TEST_F(NetFixture, ReadsNoMoreFromAClientThatReadsNoAnswers) {
  start();
  tcp::socket deaf(io);
  deaf.open(tcp::v4());
  deaf.set_option(asio::socket_base::receive_buffer_size(4'096));
  deaf.connect(forwarder->address());
  deaf.non_blocking(true);
  client->enqueue("m0", "safe");
  ASSERT_EQ(client->line(), "+OK");
  // Another message under an id that is known: an answer to each, at once, and no flood of nothing.
  std::string requests;
  for (int i = 0; i < 1'000; ++i)
    requests += FakeClient::command({"ENQUEUE", "0", "m0", "c=safe,d=8000,dest=7", "other"});
  std::size_t sent = 0;
  auto last = std::chrono::steady_clock::now();
  loops.until(
      [&] {
        error_code full;
        const std::size_t n = deaf.write_some(asio::buffer(requests), full);
        sent += n;
        if (n > 0) last = std::chrono::steady_clock::now();
        return std::chrono::steady_clock::now() - last > milliseconds(300);
      },
      milliseconds(5'000));
  EXPECT_GT(std::chrono::steady_clock::now() - last, milliseconds(300));  // it came to a halt
  EXPECT_LT(sent, 64U << 20);
  client->enqueue("m1", "safe");
  EXPECT_EQ(client->line(), "+OK");
}

// All parts fit into the limits together, whatever these are.
TEST_F(NetFixture, DealsOutItsLimits) {
  for (const std::size_t sockets : {64U, 256U, 384U, 1'024U}) {
    for (const int slots : {3, 12, 60}) {
      config["limits"] = {{"sockets", sockets}, {"memory_mb", 32}};
      config["settings"]["familyInfo"]["callsOut"] = slots;
      const ResourceBudget b = computeBudget(parsePlatformConfig(config, "x"));
      EXPECT_LE(b.resp.connections + b.targetConnections + kReservedDescriptors, sockets);
      EXPECT_LE(b.resp.requestBytes, 8'000'000U);
      EXPECT_EQ(b.http.connections + b.http.requestBytes,
                0U);  // a frontend that is off costs the others nothing
      if (sockets >= 256) {
        EXPECT_GE(b.targetConnections, static_cast<std::size_t>(slots));
        EXPECT_GE(3 * b.resp.connections,
                  sockets - 3 * kReservedDescriptors);  // a third may be held for requests
      }
      ServiceConfig both;
      both.http.emplace();
      const ResourceBudget two = computeBudget(parsePlatformConfig(config, "x"), both);
      EXPECT_LE(
          two.resp.connections + two.http.connections + two.targetConnections + kReservedDescriptors + 2,
          sockets);
      EXPECT_LE(two.resp.requestBytes + two.http.requestBytes, b.resp.requestBytes);
      EXPECT_GE(two.http.connections, kMinConnections);
    }
  }
}

}  // namespace
}  // namespace quilltide::net::fixtures
