// What the clients of a frontend make it hold: who gives way when there is too much of it.
#include "frontend/listener/client_memory.hpp"

#include <list>

#include "http_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using std::chrono::milliseconds;

// Guards against ending whoever reads last instead of the client that holds too much.
TEST(ClientMemory, AClientWithinItsShareIsNeverEvicted) {
  ClientMemory memory("test", 1'000);
  int smallEvicted = 0, largeEvicted = 0;
  ClientMemory::Account large(memory, [&] { ++largeEvicted; });
  std::list<ClientMemory::Account> small;
  for (int i = 0; i < 9; ++i) small.emplace_back(memory, [&] { ++smallEvicted; }).setBytes(100);
  large.setBytes(100);
  EXPECT_EQ(largeEvicted, 0);
  small.front().setBytes(100);
  large.setBytes(101);
  EXPECT_EQ(largeEvicted, 1);
  EXPECT_EQ(smallEvicted, 0);
  EXPECT_EQ(memory.bytes(), 900U);
  EXPECT_EQ(memory.evictions(), 1U);
}

// Guards against ending a request that arrives while others have stopped half way, or go on byte by byte.
TEST(ClientMemory, RequestsThatMakeNoProgressGoFirst) {
  ClientMemory memory("test", 250'000);
  std::vector<std::string> evicted;
  ClientMemory::Account arriving(memory, [&] { evicted.push_back("arriving"); });
  ClientMemory::Account stalled(memory, [&] { evicted.push_back("stalled"); });
  ClientMemory::Account dribbling(memory, [&] { evicted.push_back("dribbling"); });
  ClientMemory::Account last(memory, [&] { evicted.push_back("last"); });
  for (ClientMemory::Account* account : {&arriving, &stalled, &dribbling}) account->setBytes(65'000);
  arriving.recordInput(16'000);
  dribbling.recordInput(1);
  last.setBytes(65'000);
  last.recordInput(65'000);
  EXPECT_EQ(evicted, std::vector<std::string>{"stalled"});
  stalled.setBytes(65'000);
  stalled.recordInput(65'000);
  EXPECT_EQ(evicted, (std::vector<std::string>{"stalled", "dribbling"}));
}

TEST(ClientMemory, AnEvictedClientMayGoAwayWithItsAccount) {
  ClientMemory memory("test", 100);
  std::unique_ptr<ClientMemory::Account> first;
  first = std::make_unique<ClientMemory::Account>(memory, [&] { first.reset(); });
  ClientMemory::Account second(memory, [] {});
  first->setBytes(80);
  second.setBytes(40);
  EXPECT_EQ(first, nullptr);
  EXPECT_EQ(memory.bytes(), 40U);
}

// Half commands of other clients once ended a sound client, with its commands unanswered.
TEST_F(NetFixture, HalfCommandsOfOthersEndNoSoundClient) {
  config["limits"]["memory_mb"] = 32;
  start();
  const std::string whole =
      FakeClient::command({"ENQUEUE", "0", "half", "c=safe,d=8000,dest=7", std::string(65'536, 'x')});
  std::list<FakeClient> half;
  for (int i = 0; i < 100; ++i) {
    half.emplace_back(loops, forwarder->address());
    half.back().write(whole.substr(0, whole.size() - 2'000));
  }
  loops.until([] { return false; }, milliseconds(50));  // the forwarder reads them
  for (int burst = 0; burst < 4; ++burst) {
    for (int i = 0; i < 10; ++i)
      client->enqueue("m" + std::to_string(10 * burst + i), "safe", 8'000, 7, std::string(6'000, 'p'));
    half.emplace_back(loops, forwarder->address());
    half.back().write(whole.substr(0, whole.size() - 2'000));
    for (int i = 0; i < 10; ++i) EXPECT_EQ(client->line(), "+OK") << burst << " " << i;
  }
  EXPECT_FALSE(client->closed);
}

// A whole command of the largest size, among as many half ones, is taken on.
TEST_F(NetFixture, HalfCommandsOfOthersEndNoLargeCommand) {
  config["limits"]["memory_mb"] = 32;
  start();
  const std::string body(65'536, 'x');
  const std::string whole = FakeClient::command({"ENQUEUE", "0", "half", "c=safe,d=8000,dest=7", body});
  std::list<FakeClient> half;
  for (int i = 0; i < 100; ++i) {
    half.emplace_back(loops, forwarder->address());
    half.back().write(whole.substr(0, whole.size() - 2'000));
  }
  loops.until([] { return false; }, milliseconds(50));  // the forwarder reads them
  client->enqueue("m1", "safe", 8'000, 7, body);
  EXPECT_EQ(client->line(), "+OK");
}

// Half bodies of other clients once had a sound client's requests refused.
TEST_F(HttpFixture, HalfBodiesOfOthersRefuseNoSoundClient) {
  config["limits"]["memory_mb"] = 32;
  startBoth();
  std::list<HttpTalk> half;
  for (int i = 0; i < 100; ++i) {
    half.emplace_back(loops, forwarder->httpAddress());
    const std::string whole = HttpTalk::request(
        "POST", "/v1/messages?class=safe&destination=7&time_left_ms=8000", std::string(65'536, 'x'));
    half.back().write(whole.substr(0, whole.size() - 2'000));
  }
  loops.until([] { return false; }, milliseconds(50));  // the forwarder reads them
  for (int i = 0; i < 10; ++i)
    EXPECT_EQ(http->hand("m" + std::to_string(i), "safe", std::string(60'000, 'p')).status, 202) << i;
}

}  // namespace
}  // namespace quilltide::net::fixtures
