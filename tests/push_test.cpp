// Deployments that push their lists and whose answers tell of limits: what the platform's settings switch on.
#include "net_fixture.hpp"
#include "upstream/http/call_response.hpp"
#include "upstream/http/http_upstream_client.hpp"

namespace quilltide::net::fixtures {
namespace {

using Link = FakeServer::Link;

class PushFixture : public NetFixture {
 protected:
  PushFixture() {
    config["settings"]["discovery"] = "pushed";
    config["settings"]["familyInfo"]["kindBatch"] = {1};
    config["settings"]["report"] = {{"source", "answers"}, {"columns", {"x0", "x1"}}};
  }
  void push(int rev, json entries) {
    discovery.chunk(json{{"rev", rev}, {"all", false}, {"targets", std::move(entries)}}.dump());
  }
};

// The module never asks where lists are pushed; without a watch a forwarder would go on by the list of its
// start, and send to targets that left long ago.
TEST_F(PushFixture, SendsNothingToATargetThatThePushedListTakesAway) {
  FakeServer other(io, [](Link& link) { link.write(FakeServer::answer(200)); });
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  EXPECT_EQ(discovery.server.requests[0].target(), "/discovery/hosts?watch=1&after=41");
  client->enqueue("m1", "safe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
  push(42, json::array({entry("t1", target.text(), "leaving"), entry("t2", other.text())}));
  pause(30);
  for (int i = 2; i < 8; ++i) client->enqueue("m" + std::to_string(i), "safe");
  ASSERT_TRUE(until([&] { return other.requests.size() == 6 && owed() == 0; }));
  EXPECT_EQ(target.requests.size(), 1U);
}

// Guards against calls to a drained target: a repeat of the line that listed it as active brought it back.
TEST_F(PushFixture, RepeatedOlderLineDoesNotBringADrainedTargetBack) {
  FakeServer other(io, [](Link& link) { link.write(FakeServer::answer(200)); });
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  push(42, json::array({entry("t1", target.text()), entry("t2", other.text())}));
  push(43, json::array({entry("t1", target.text(), "leaving")}));
  push(42, json::array({entry("t1", target.text()), entry("t2", other.text())}));
  pause(30);
  for (int i = 1; i < 7; ++i) client->enqueue("m" + std::to_string(i), "safe");
  ASSERT_TRUE(until([&] { return other.requests.size() + target.requests.size() == 6 && owed() == 0; }));
  EXPECT_EQ(target.requests.size(), 0U);
  discovery.watches.back()->reset();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 2; }));
  EXPECT_EQ(discovery.server.requests.back().target(), "/discovery/hosts?watch=1&after=43");
}

// What the agent holds counts as told, so a watch that breaks is opened again well within a drain's grace,
// however often it breaks, and from the version that was read last.
TEST_F(PushFixture, OpensABrokenWatchAgainWithinADrainsGrace) {
  std::vector<std::chrono::steady_clock::time_point> asked;
  discovery.server.handler = [&](Link& link) {
    asked.push_back(std::chrono::steady_clock::now());
    if (asked.size() < 12) return link.reset();
    discovery.take(link);
  };
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  for (std::size_t i = 1; i < asked.size(); ++i)
    EXPECT_LT(asked[i] - asked[i - 1], std::chrono::milliseconds(150 * kSlower)) << i;
  push(50, json::array());
  pause(20);
  discovery.watches.back()->reset();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 2; }));
  EXPECT_EQ(discovery.server.requests.back().target(), "/discovery/hosts?watch=1&after=50");
}

// The module hears of a lost watch only where it asked for one: a push that breaks off must not have it ask
// too.
TEST_F(PushFixture, KeepsASingleWatch) {
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  discovery.watches.back()->reset();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 2; }));
  for (int i = 0; i < 5; ++i) client->enqueue("m" + std::to_string(i), "safe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 5 && owed() == 0; }));
  pause(200);
  EXPECT_EQ(discovery.watches.size(), 2U);
}

// The simulator's settings may allow several calls at once on a connection; on sockets each carries one.
TEST_F(PushFixture, CountsOneCallAConnection) {
  config["settings"]["limits"]["streamsPerConn"] = 8;
  EXPECT_EQ(parsePlatformConfig(config, "x").settings.streamsPerConnection, 1);
}

LoadReport reportOf(const std::string& headers) {
  CallResponse answer;
  boost::system::error_code error;
  answer.parser().put(asio::buffer("HTTP/1.1 200 OK\r\n" + headers + "Content-Length: 0\r\n\r\n"), error);
  EXPECT_FALSE(error) << headers;
  return answer.loadReport();
}

TEST(AnswerText, ReadsALoadReportWholeOrNotAtAll) {
  EXPECT_EQ(reportOf("X-Load: x0=0.4,x1=25\r\n"), (LoadReport{{"x0", 0.4}, {"x1", 25}}));
  EXPECT_EQ(reportOf("X-Load: x1=0\r\n"), (LoadReport{{"x1", 0}}));
  for (const char* bad :
       {"x0=0.4,x1=", "x0=0.4,x1", "=3", "x1=nan", "x1=inf", "x1=-4", "x1=1e999", "x1=25x", "x1=25,", ",", "",
        "x1=25,x1=30", "x1=25;x0=1", "a=1,b=1,c=1,d=1,e=1,f=1,g=1,h=1,i=1,j=1,k=1,l=1,m=1,n=1,o=1,p=1,q=1"})
    EXPECT_TRUE(reportOf("X-Load: " + std::string(bad) + "\r\n").empty()) << bad;
  EXPECT_TRUE(reportOf("X-Load: x1=25\r\nX-Load: x1=30\r\n").empty());
  EXPECT_TRUE(reportOf("").empty());
}

// A report reaches the module with the outcome of its call, a refusal's too; where settings know of no
// reports, or the answer is spoilt, there is none.
TEST_F(PushFixture, HandsAReportOnWithItsOutcome) {
  const std::string load = "X-Load: x0=0.5,x1=12.5\r\n";
  std::string answer = FakeServer::answer(200, "", load);
  target.handler = [&](Link& link) { link.write(answer); };
  std::vector<Outcome> outcomes;
  const auto ask = [&](const json& settings) {
    PlatformConfig c = parsePlatformConfig(settings, folder.path());
    HttpUpstreamClient targets(
        *loops.own, c, 10, letLeave, [&](const Outcome& o) { outcomes.push_back(o); }, [](MessageId) {},
        ignoreReviews());
    targets.updateTargets(c.initialDirectory);
    targets.call("t1", {UpstreamRequest{1, 0, "m1", "", "x", 2'000'000}});
    const std::size_t before = outcomes.size();
    EXPECT_TRUE(until([&] { return outcomes.size() > before; }));
    return outcomes.back().loadReport;
  };
  EXPECT_EQ(ask(config), (LoadReport{{"x0", 0.5}, {"x1", 12.5}}));
  answer = FakeServer::answer(503, "", load);
  EXPECT_EQ(ask(config), (LoadReport{{"x0", 0.5}, {"x1", 12.5}}));
  answer = "HTTP/1.1 503 X\r\n" + load + "Content-Length: -4\r\n\r\n";
  EXPECT_TRUE(ask(config).empty());
  answer = FakeServer::answer(200, "", load);
  config["settings"]["report"]["source"] = "none";
  EXPECT_TRUE(ask(config).empty());
}

}  // namespace
}  // namespace quilltide::net::fixtures
