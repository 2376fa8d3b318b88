// Destinations that fall silent with calls out, and what their return looks like to those that waited.
#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using Link = FakeServer::Link;

class HangFixture : public NetFixture {
 protected:
  // Single calls; the target answers after 30 ms until it is told to fall silent.
  HangFixture() {
    config["settings"]["familyInfo"]["kindBatch"] = {1};
    target.handler = [this](Link& asked) {
      if (silent) return void(++swallowed);
      for (const auto& link : target.links) {
        if (link.get() != &asked) continue;
        auto timer = std::make_shared<asio::steady_timer>(io, std::chrono::milliseconds(30));
        timer->async_wait([timer, link](error_code) { link->write(FakeServer::answer(200)); });
      }
    };
  }
  void setAims(int us) {
    for (json& cls : config["settings"]["classes"]) cls["onTimeUs"] = us;
  }
  // Answered calls while all tickets are taken make them grow, up to five here.
  void growTickets() {
    for (int i = 0; i < 30; ++i) client->enqueue("g" + std::to_string(i), "safe");
    for (int i = 0; i < 30; ++i) ASSERT_EQ(client->line(), "+OK");
    ASSERT_TRUE(until([&] { return target.requests.size() > 0 && owed() == 0; }));
  }
  std::size_t swallowed = 0;
  bool silent = false;
};

// Unsafe messages are waited for until their deadline. When they fill the places of a destination that hung,
// the trial that finds it well again must not have to wait as long.
TEST_F(HangFixture, TriesAgainThoughHungCallsFillTheBulkhead) {
  setAims(200'000);
  start();
  growTickets();
  silent = true;
  for (int i = 0; i < 5; ++i) client->enqueue("u" + std::to_string(i), "unsafe", 15'000);
  ASSERT_TRUE(until([&] { return swallowed >= 4; }));
  silent = false;
  client->enqueue("s", "safe", 15'000);
  EXPECT_TRUE(until([&] { return target.requests.back()["X-Request-Id"] == "s"; }));
  EXPECT_EQ(discovery.outcomeOf("s"), "");
}

// What was held while the breaker was open finds one ticket when a trial has closed it. That is no new error:
// the rest follows at once and not by one trial after the other.
TEST_F(HangFixture, WhatWaitedDoesNotParkADestinationThatIsJustBack) {
  setAims(2'500'000);
  start();
  growTickets();
  silent = true;
  for (int i = 0; i < 3; ++i) client->enqueue("h" + std::to_string(i), "safe", 15'000);
  ASSERT_TRUE(until([&] { return swallowed >= 3; }));
  pause(400);  // by then these calls run far too long, and the breaker has opened
  for (int i = 0; i < 12; ++i) client->enqueue("w" + std::to_string(i), "safe", 15'000);
  ASSERT_TRUE(until([&] { return swallowed >= 4; }));  // a trial that found it silent still
  silent = false;
  const std::size_t before = target.requests.size();
  ASSERT_TRUE(until([&] { return target.requests.size() > before; }));
  EXPECT_TRUE(loops.until([&] { return target.requests.size() >= before + 11; },
                          std::chrono::milliseconds(900 * kSlower)));
}

// A call is lost with all that it carries. Where calls with many messages went unanswered and a single one
// was answered, the next ones carry few and not as many as before.
TEST_F(HangFixture, SendsLessAtOnceWhereCallsGetLost) {
  setAims(1'000'000);
  config["settings"]["familyInfo"]["kindBatch"] = {10};
  std::vector<std::size_t> sizes;
  target.handler = [&](Link& link) {
    const std::string& body = link.request.body();
    const bool single = link.request.target() == "/receive";
    sizes.push_back(single ? 1 : static_cast<std::size_t>(std::count(body.begin(), body.end(), '\n') / 2));
    if (single) link.write(FakeServer::answer(200));
  };
  start();
  client->enqueue("first", "safe");
  ASSERT_TRUE(until([&] { return sizes.size() == 1; }));
  for (int i = 0; i < 40; ++i) client->enqueue("b" + std::to_string(i), "safe", 15'000);
  const auto singleAgain = [&] {
    const auto large = std::find_if(sizes.begin(), sizes.end(), [](std::size_t n) { return n > 1; });
    return std::find(large, sizes.end(), 1U);
  };
  ASSERT_TRUE(until([&] { return singleAgain() < sizes.end() - 1; }));
  EXPECT_GT(*std::max_element(sizes.begin(), singleAgain()), 4U);
  EXPECT_LE(*(singleAgain() + 1), 2U);
}

}  // namespace
}  // namespace quilltide::net::fixtures
