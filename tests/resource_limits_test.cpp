// A long day: targets, clients and keys are ever new, and nothing of what is gone may stay.
#include <sys/resource.h>

#include "config/budget.hpp"
#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using Link = FakeServer::Link;
using std::chrono::milliseconds;

DirectoryUpdate change(const json& targets, bool all = false) {
  return parseDirectory({{"rev", 1}, {"all", all}, {"targets", targets}}, {{}, {"large"}, {"levis"}});
}

struct UpstreamFixture : NetFixture {
  UpstreamFixture() {
    targets = std::make_unique<HttpUpstreamClient>(
        *loops.own, parsePlatformConfig(config, "x"),
        computeBudget(parsePlatformConfig(config, "x")).targetConnections, letLeave,
        [this](const Outcome& o) { outcomes.push_back(o); }, [](MessageId) {}, ignoreReviews());
  }
  void call(const TargetId& to) {
    UpstreamRequest p;
    p.handle = 1;
    p.id = "m";
    p.timeout = 1'000'000;
    targets->call(to, {p});
  }
  std::unique_ptr<HttpUpstreamClient> targets;
  std::vector<Outcome> outcomes;
};

// HttpUpstreamClient come under new ids, at addresses of ones that have gone: who is gone takes its pool and
// its idle connections with it, and the new one is called on a connection of its own.
TEST_F(UpstreamFixture, ForgetsWhoIsGone) {
  for (int i = 0; i < 200; ++i) {
    const std::string id = "t" + std::to_string(i);
    targets->updateTargets(change(json::array({entry(id, target.text())})));
    call(id);
    ASSERT_TRUE(until([&] { return outcomes.size() == static_cast<std::size_t>(i) + 1; }));
    ASSERT_EQ(outcomes.back().callResult, CallResult::succeeded);
    EXPECT_EQ(targets->idleConnections(id), 1U);
    targets->updateTargets(change(json::array({entry(id, target.text(), "left")})));
    EXPECT_EQ(targets->knownTargets(), 0U);
    EXPECT_EQ(targets->connections(), 0U);
  }
  EXPECT_TRUE(until([&] { return target.ended == 200; }));
}

// A whole list names all there are; a call that is out at one that has gone still ends, and keeps nothing.
TEST_F(UpstreamFixture, AWholeListForgetsWhomItDoesNotName) {
  std::shared_ptr<Link> held;
  target.handler = [&](Link&) { held = target.links.back(); };
  targets->updateTargets(change(json::array({entry("t1", target.text()), entry("t2", target.text())})));
  call("t1");
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  targets->updateTargets(change(json::array({entry("t2", target.text())}), true));
  EXPECT_EQ(targets->knownTargets(), 1U);
  held->write(FakeServer::answer(200));
  ASSERT_TRUE(until([&] { return outcomes.size() == 1; }));
  EXPECT_EQ(outcomes[0].callResult, CallResult::succeeded);
  EXPECT_EQ(targets->connections(), 0U);
}

// An idle connection that the target closes leaves nothing behind.
TEST_F(UpstreamFixture, KeepsNoPoolOfConnectionsThatEnded) {
  targets->updateTargets(change(json::array({entry("t1", target.text())})));
  call("t1");
  ASSERT_TRUE(until([&] { return targets->idleConnections("t1") == 1; }));
  target.links[0]->close();
  EXPECT_TRUE(until([&] { return targets->connections() == 0; }));
  EXPECT_EQ(targets->idleConnections("t1"), 0U);
}

// More targets than places for connections: the longest unused idle one makes room.
TEST_F(UpstreamFixture, MakesRoomAmongItsIdleConnections) {
  config["limits"]["sockets"] = 40;
  const std::size_t most = computeBudget(parsePlatformConfig(config, "x")).targetConnections;
  targets = std::make_unique<HttpUpstreamClient>(
      *loops.own, parsePlatformConfig(config, "x"),
      computeBudget(parsePlatformConfig(config, "x")).targetConnections, letLeave,
      [this](const Outcome& o) { outcomes.push_back(o); }, [](MessageId) {}, ignoreReviews());
  for (std::size_t i = 0; i < 3 * most; ++i) {
    const std::string id = "t" + std::to_string(i);
    targets->updateTargets(change(json::array({entry(id, target.text())})));
    call(id);
    ASSERT_TRUE(until([&] { return outcomes.size() == i + 1; }));
    ASSERT_EQ(outcomes.back().callResult, CallResult::succeeded);
    EXPECT_LE(targets->connections(), most);
  }
  EXPECT_EQ(targets->idleConnections("t0"), 0U);
  EXPECT_EQ(targets->idleConnections("t" + std::to_string(3 * most - 1)), 1U);
}

// A limit or a full queue keeps the connection; who has no place for another one ends it, and only a new one
// can be one too many.
TEST_F(UpstreamFixture, TellsAFullTableFromALimit) {
  targets->updateTargets(change(json::array({entry("t1", target.text())})));
  std::string answer;
  target.handler = [&](Link& link) { link.write(answer); };
  const auto ask = [&](const std::string& with) {
    answer = with;
    const std::size_t before = outcomes.size();
    call("t1");
    EXPECT_TRUE(until([&] { return outcomes.size() == before + 1; }));
    return outcomes.back();
  };
  const std::string ends = "Connection: close\r\n";
  EXPECT_TRUE(ask(FakeServer::answer(503, "", ends)).connectionLimitReached);  // on a new connection
  EXPECT_EQ(outcomes.back().callResult, CallResult::busy);
  EXPECT_FALSE(ask(FakeServer::answer(200, "", ends)).connectionLimitReached);
  EXPECT_FALSE(ask(FakeServer::answer(429, "", ends + "X-Retry-In-Ms: 100\r\n")).connectionLimitReached);
  EXPECT_FALSE(ask(FakeServer::answer(503)).connectionLimitReached);            // which is kept
  EXPECT_FALSE(ask(FakeServer::answer(503, "", ends)).connectionLimitReached);  // and had its place
  EXPECT_EQ(target.links.size(), 4U);
  EXPECT_TRUE(ask(FakeServer::answer(503, "", ends)).connectionLimitReached);
}

// Out of descriptors a call was not sent: that says nothing of the target, and must not count against it.
TEST_F(UpstreamFixture, DoesNotBlameATargetForItsOwnDescriptors) {
  targets->updateTargets(change(json::array({entry("t0", target.text()), entry("t1", target.text())})));
  call("t0");  // the loop has its own descriptors from now on
  ASSERT_TRUE(until([&] { return outcomes.size() == 1; }));
  outcomes.clear();
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int probe = ::dup(0);
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(probe);
  setrlimit(RLIMIT_NOFILE, &none);
  call("t1");
  const bool ended = until([&] { return !outcomes.empty(); });
  setrlimit(RLIMIT_NOFILE, &before);
  ::close(probe);
  ASSERT_TRUE(ended);
  EXPECT_EQ(outcomes[0].callResult, CallResult::skipped);
  EXPECT_EQ(targets->callsInFlight(), 0U);
}

// Between the last target of a destination and its next one messages are taken on, and delivered when it is
// there.
TEST_F(NetFixture, HoldsMessagesForADestinationBetweenTwoTargets) {
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  discovery.chunk(
      json{{"rev", 42}, {"all", false}, {"targets", json::array({entry("t1", target.text(), "left")})}}
          .dump());
  pause(30);
  client->enqueue("m1", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  discovery.chunk(
      json{{"rev", 43}, {"all", false}, {"targets", json::array({entry("t2", target.text())})}}.dump());
  EXPECT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
}

// The last target of a destination leaves after the list was the same for longer than messages live: the
// destination was once forgotten at that moment, and its messages failed.
TEST_F(NetFixture, HoldsMessagesForADestinationWhoseTargetLeavesAfterALongRest) {
  for (json& messageClass : config["settings"]["classes"]) messageClass["deadlineUs"] = 200'000;
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  const auto begun = std::chrono::steady_clock::now();
  until([&] { return std::chrono::steady_clock::now() - begun > std::chrono::milliseconds(300); });
  discovery.chunk(
      json{{"rev", 42}, {"all", false}, {"targets", json::array({entry("t1", target.text(), "left")})}}
          .dump());
  pause(30);
  client->enqueue("m1", "unsafe", 200);
  EXPECT_EQ(client->line(), "+OK");
}

}  // namespace
}  // namespace quilltide::net::fixtures
