// What every frontend has: who makes room, turns for floods, the accept loop, and an end that destroys no
// answer.
#include "frontend/listener/clients.hpp"
#include "frontend/listener/lingering.hpp"
#include "frontend/listener/listener.hpp"
#include "frontend/listener/rate_limiter.hpp"
#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using std::chrono::milliseconds;

struct Guest {
  explicit Guest(Eviction s) : kind(s) {}
  Eviction eviction(std::chrono::steady_clock::time_point) const { return kind; }
  bool tryEvict() {
    if (asks) kind = Eviction::forbidden;
    closed = !asks;
    return closed;
  }
  Eviction kind;
  bool asks = false;  // a request of its own turns up when it is to go
  bool closed = false;
};

// The place that makeRoom gives away among clients of these kinds, the longest unused first; -1: none.
int givenAway(const std::vector<Eviction>& kinds) {
  Clients<Guest> clients;
  for (const Eviction kind : kinds) clients.push_back(std::make_shared<Guest>(kind));
  const bool found = evictLeastRecentlyUsed(clients);
  int at = 0, chosen = -1, closed = 0;
  for (const auto& client : clients) {
    if (client->closed) {
      chosen = at;
      ++closed;
    }
    ++at;
  }
  EXPECT_EQ(closed, found ? 1 : 0);
  return chosen;
}

TEST(MakeRoom, TakesTheLongestUnusedOfThoseItCanSpareAtOnceThenOfTheOthers) {
  constexpr Eviction no = Eviction::forbidden, now = Eviction::preferred, need = Eviction::lastResort;
  EXPECT_EQ(givenAway({}), -1);
  EXPECT_EQ(givenAway({no, no}), -1);
  EXPECT_EQ(givenAway({no, need, need}), 1);
  EXPECT_EQ(givenAway({need, no, now, now}), 2);
  EXPECT_EQ(givenAway({now, need, now}), 0);
}

// Who turns out to have asked something stays; the next one goes.
TEST(MakeRoom, KeepsWhoseRequestHasComeByThen) {
  Clients<Guest> clients;
  for (int i = 0; i < 3; ++i) clients.push_back(std::make_shared<Guest>(Eviction::lastResort));
  clients.front()->asks = true;
  EXPECT_TRUE(evictLeastRecentlyUsed(clients));
  EXPECT_FALSE(clients.front()->closed);
  EXPECT_TRUE((*std::next(clients.begin()))->closed);
  for (const auto& client : clients) client->asks = true;
  clients.erase(std::next(clients.begin()));
  EXPECT_FALSE(evictLeastRecentlyUsed(clients));
}

// Two turns a millisecond whatever waits, in the order of coming; who is gone costs the next in line nothing.
TEST(PaceOfFloods, GivesTurnsInOrderAndSkipsThoseThatAreGone) {
  asio::io_context io(1);
  RateLimiter pace(io, 2);
  std::vector<int> went;
  constexpr int kAll = 60;
  for (int i = 0; i < kAll; ++i) {
    pace.enqueue([&went, i] {
      if (i % 3 == 0) return false;
      went.push_back(i);
      return true;
    });
  }
  const auto started = std::chrono::steady_clock::now();
  io.run();
  EXPECT_EQ(went.size(), 40U);
  EXPECT_TRUE(std::is_sorted(went.begin(), went.end()));
  EXPECT_GE(std::chrono::steady_clock::now() - started, milliseconds(20));  // 40 turns, two each
}

// Who waits again from inside its turn goes to the end of the queue and never has two in one.
TEST(PaceOfFloods, LetsAClientQueueAgainInsideItsTurn) {
  asio::io_context io(1);
  RateLimiter pace(io, 2);
  std::vector<char> went;
  std::function<bool(char, int)> turn = [&](char who, int left) {
    went.push_back(who);
    if (left > 0) pace.enqueue([&turn, who, left] { return turn(who, left - 1); });
    return true;
  };
  for (const char who : {'a', 'b', 'c'}) pace.enqueue([&turn, who] { return turn(who, 2); });
  io.run();
  EXPECT_EQ(std::string(went.begin(), went.end()), "abcabcabc");
}

class ListenerFixture : public ::testing::Test {
 protected:
  ListenerFixture()
      : listener(*loops.own, "test",
                 {[this] { return room; }, [this](tcp::socket s) { sockets.push_back(std::move(s)); },
                  [this] { ++outOf; }}) {
    listener.listen({asio::ip::make_address("127.0.0.1"), 0});
  }
  tcp::socket connect() {
    tcp::socket socket(loops.fakes);
    socket.connect(listener.address());
    return socket;
  }
  Loops loops;
  bool room = true;
  std::vector<tcp::socket> sockets;
  int outOf = 0;
  Listener listener;
};

TEST_F(ListenerFixture, TakesConnectionsOneAfterAnotherWithoutDelayOrBlocking) {
  const tcp::socket one = connect(), two = connect();
  ASSERT_TRUE(loops.until([&] { return sockets.size() == 2; }));
  for (tcp::socket& socket : sockets) {
    tcp::no_delay delay;
    socket.get_option(delay);
    EXPECT_TRUE(delay.value());
    EXPECT_TRUE(socket.non_blocking());
  }
}

// Without room nobody is taken, also not who comes while the listener waits for one already; nobody is turned
// away, and once there is room the loop goes on by itself.
TEST_F(ListenerFixture, AsksAgainUntilThereIsRoom) {
  const tcp::socket first = connect();
  ASSERT_TRUE(loops.until([&] { return sockets.size() == 1; }));
  room = false;
  const tcp::socket second = connect(), third = connect();
  EXPECT_FALSE(loops.until([&] { return sockets.size() == 2; }, milliseconds(100)));
  room = true;
  EXPECT_TRUE(loops.until([&] { return sockets.size() == 3; }));
}

// Who has connected by the time that the listener closes is taken first; a turn takes several, but not
// without end.
TEST_F(ListenerFixture, TakesWhoeverHasConnectedBeforeItCloses) {
  std::vector<tcp::socket> waiting;
  for (int i = 0; i < 40; ++i) waiting.push_back(connect());
  listener.acceptPending();
  listener.close();
  EXPECT_EQ(sockets.size(), 40U);
}

TEST_F(ListenerFixture, TakesNobodyOnceClosed) {
  const tcp::endpoint at = listener.address();
  listener.close();
  loops.until([] { return false; }, milliseconds(30));
  tcp::socket socket(loops.fakes);
  error_code refused;
  socket.connect(at, refused);
  EXPECT_TRUE(refused);
  EXPECT_TRUE(sockets.empty());
}

// A last answer survives bytes that nobody read: a plain close would send a reset over it.
TEST_F(ListenerFixture, ALingeringEndLeavesTheAnswerReadable) {
  tcp::socket client = connect();
  ASSERT_TRUE(loops.until([&] { return sockets.size() == 1; }));
  tcp::socket& served = sockets.front();
  asio::write(client, asio::buffer(std::string(100'000, 'x')));
  ASSERT_TRUE(loops.until([&] { return served.available() > 0; }));
  asio::write(served, asio::buffer(std::string("-ERR bye\r\n")));
  BoundedInput input(served, InputSource::respClient, kRespClientInput);
  LingeringClose last;
  last.shutdownSend(served);
  std::string told;
  error_code error;
  client.non_blocking(true);
  ASSERT_TRUE(loops.until([&] {
    last.discardInput(input);
    std::array<char, 64> piece;
    told.append(piece.data(), client.read_some(asio::buffer(piece), error));
    return error && error != asio::error::would_block;
  }));
  EXPECT_EQ(told, "-ERR bye\r\n");
  EXPECT_EQ(error, asio::error::eof);
  client.close();
  LingeringClose::NextStep next = LingeringClose::NextStep::keepReading;
  EXPECT_TRUE(
      loops.until([&] { return (next = last.discardInput(input)) == LingeringClose::NextStep::close; }));
}

// Who goes on sending for good is read away up to a bound, and then only waited out.
TEST_F(ListenerFixture, ALingeringEndReadsABoundedAmountAway) {
  tcp::socket client = connect();
  ASSERT_TRUE(loops.until([&] { return sockets.size() == 1; }));
  client.non_blocking(true);
  BoundedInput input(sockets.front(), InputSource::respClient, kRespClientInput);
  LingeringClose last;
  last.shutdownSend(sockets.front());
  const std::string piece(16'000, 'x');
  std::size_t sent = 0;
  LingeringClose::NextStep next = LingeringClose::NextStep::keepReading;
  ASSERT_TRUE(loops.until([&] {
    error_code full;
    sent += client.write_some(asio::buffer(piece), full);
    next = last.discardInput(input);
    return next != LingeringClose::NextStep::keepReading;
  }));
  EXPECT_EQ(next, LingeringClose::NextStep::waitForTimeout);
  EXPECT_GE(sent, LingeringClose::kMaxDiscardedBytes);
}

}  // namespace
}  // namespace quilltide::net::fixtures
