// What comes back from targets and cannot be believed, or brings more than belongs to it.
#include "net_fixture.hpp"
#include "upstream/http/call_response.hpp"

namespace quilltide::net::fixtures {
namespace {

using Link = FakeServer::Link;

// A 1xx answer says nothing of the call: the one that counts comes behind it, at once or later.
TEST_F(NetFixture, ReadsOnPastInterimAnswers) {
  std::shared_ptr<Link> held;
  target.handler = [&](Link& link) {
    link.write("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n");
    if (target.requests.size() > 1) return link.write(FakeServer::answer(200));
    held = target.links.back();
  };
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  pause(600);  // longer than an answer may take once it has begun
  held->write(FakeServer::answer(200));
  ASSERT_TRUE(until([&] { return owed() == 0; }));
  ASSERT_TRUE(until([&] { return forwarder->upstream().reusableConnections("t1") == 1; }));
  client->enqueue("m2", "unsafe");
  EXPECT_TRUE(until([&] { return target.requests.size() == 2 && owed() == 0; }));
  EXPECT_TRUE(discovery.notices.empty());
  EXPECT_EQ(target.links.size(), 1U);
}

// Interim answers without end are no answer: the call ends, and its connection with it.
TEST_F(NetFixture, BoundsInterimAnswers) {
  target.handler = [](Link& link) {
    for (int i = 0; i < 40; ++i) link.write("HTTP/1.1 102 Processing\r\n\r\n");
  };
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return discovery.outcomeOf("m1") == "given_up"; }));
  EXPECT_TRUE(until([&] { return target.ended == 1; }));
}

// A refusal that cannot be read to its end proves nothing: the call may have run, so an unsafe message is
// given up, soon and not at its deadline, and no wait or 410 of such an answer is believed.
TEST_F(NetFixture, DoesNotBelieveARefusalThatIsSpoilt) {
  const std::vector<std::string> spoilt = {
      "HTTP/1.1 503 X\r\nContent-Length: 40\r\n\r\nshort",
      "HTTP/1.1 429 X\r\nX-Retry-In-Ms: 100\r\nContent-Length: 9",
      "HTTP/1.1 504 X\r\nContent-Length: -4\r\n\r\n",
      "HTTP/1.1 410 X\r\nContent-Length: 99999999999999999999\r\n\r\n",
      "HTTP/1.1 503 X\r\nContent-Length: 3000000000\r\n\r\n" + std::string(70'000, 'x'),
      "HTTP/1.1 503 X\r\nnoise\r\n\r\n",
      "HTTP/1.1 2\x01\x02\x03",
      "\x01\x02\x03\x04\r\n\r\n",
      "HTTP/1.1 503 X\r\nX-Noise: " + std::string(20'000, 'n')};
  std::size_t at = 0;
  target.handler = [&](Link& link) { link.write(spoilt[at]); };
  for (; at < spoilt.size(); ++at) {
    kill();  // a fresh one each time: so many errors in a row park a destination
    start();
    const std::string id = "m" + std::to_string(at);
    client->enqueue(id, "unsafe", 6'000);
    ASSERT_TRUE(
        loops.until([&] { return discovery.outcomeOf(id) == "given_up"; }, std::chrono::milliseconds(2'500)))
        << spoilt[at].substr(0, 60);
    EXPECT_TRUE(until([&] { return target.ended == at + 1; }));
  }
  EXPECT_EQ(target.requests.size(), spoilt.size());
}

// A first line with 200 to a single message is true, whatever comes behind it; nothing but a first line is:
// an answer that was never read must not count as 200.
TEST_F(NetFixture, BelievesAFirstLineWith200WhateverFollows) {
  const std::vector<std::string> answers = {
      "HTTP/1.1 200 OK\r\nno header at all\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: many\r\n\r\n",
      "HTTP/1.1 200 OK\r\nContent-Length: 3000000000\r\n\r\nxxxx", "HTTP/1.1 200 OK\r\nX-Half: a",
      "HTTP/1.1 200 OK\r\nX-Noise: " + std::string(20'000, 'n')};
  std::size_t at = 0;
  target.handler = [&](Link& link) { link.write(answers[at]); };
  start();
  for (; at < answers.size(); ++at) {
    client->enqueue("m" + std::to_string(at), "unsafe", 6'000);
    ASSERT_TRUE(loops.until([&] { return target.requests.size() == at + 1 && owed() == 0; },
                            std::chrono::milliseconds(2'500)))
        << answers[at].substr(0, 60);
    EXPECT_TRUE(until([&] { return target.ended == at + 1; }));
  }
  EXPECT_TRUE(discovery.notices.empty());
}

// What belongs to nothing, right behind a good answer or a little later, costs the connection and not the
// answer, and is never taken for the next call's.
TEST_F(NetFixture, DropsAConnectionWithMoreThanItsAnswer) {
  target.handler = [&](Link& link) {
    if (target.requests.size() == 1) return link.write(FakeServer::answer(200) + FakeServer::answer(503));
    if (target.requests.size() == 2)
      return link.write(FakeServer::answer(200, "", "X-Load: x0=,,\x7f=9\r\n"));
    link.write(FakeServer::answer(200));
  };
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
  EXPECT_TRUE(until([&] { return target.ended == 1; }));
  client->enqueue("m2", "unsafe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 2 && owed() == 0; }));
  target.links[1]->write("noise");
  EXPECT_TRUE(until([&] { return target.ended == 2; }));
  client->enqueue("m3", "unsafe");
  EXPECT_TRUE(until([&] { return target.requests.size() == 3 && owed() == 0; }));
  EXPECT_TRUE(discovery.notices.empty());
}

// The answer for several is believed as a whole or not at all: beside a line that cannot be read, "later"
// does not prove that nothing ran.
TEST_F(NetFixture, BelievesNoLineOfASpoiltBatch) {
  bool slow = true;
  target.handler = [&](Link& link) {
    if (link.request.target() == "/receive") {
      if (!slow) link.write(FakeServer::answer(200));
      return;  // else it holds the only ticket while the batch gathers
    }
    link.write(FakeServer::answer(200, "b1 later\r\nb2 l"));
  };
  start();
  client->enqueue("m0", "unsafe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  for (const char* id : {"b1", "b2"}) client->enqueue(id, "unsafe");
  for (int i = 0; i < 3; ++i) ASSERT_EQ(client->line(), "+OK");
  slow = false;
  target.links[0]->write(FakeServer::answer(200));
  ASSERT_TRUE(until([&] { return discovery.notices.size() == 2 && owed() == 0; }));
  EXPECT_EQ(discovery.outcomeOf("b1"), "given_up");
  EXPECT_EQ(discovery.outcomeOf("b2"), "given_up");
  EXPECT_EQ(target.requests.size(), 2U);
}

// A wait of any size is heeded within a bound that is far from overflow; what is no number is none.
TEST(AnswerText, BoundsAWait) {
  const std::vector<std::pair<std::string, Micros>> cases = {{"250", 250'000},
                                                             {"9223372036854775807", 5'000'000},
                                                             {"99999999999999999999999", 5'000'000},
                                                             {"-99999999999999999999999", 0},
                                                             {"-5", 0},
                                                             {"5x", 0},
                                                             {"", 0}};
  for (const auto& [text, wait] : cases) {
    CallResponse answer;
    error_code error;
    const std::string bytes = FakeServer::answer(429, "", "X-Retry-In-Ms: " + text + "\r\n");
    answer.parser().put(asio::buffer(bytes), error);
    ASSERT_FALSE(error) << error.message();
    EXPECT_EQ(answer.retryAfter(5'000'000), wait) << text;
  }
}

// Answers that cannot be read come from any target alike: they are counted, but a destination that gives
// some of them lives, and is not parked for two in a row.
TEST_F(NetFixture, DoesNotParkADestinationForAFewSpoiltAnswers) {
  target.handler = [&](Link& link) {
    const bool bad = target.requests.size() == 2 || target.requests.size() == 3;
    link.write(bad ? "noise\r\n\r\n" : FakeServer::answer(200));
  };
  start();
  for (std::size_t i = 1; i <= 4; ++i) {
    client->enqueue("m" + std::to_string(i), "unsafe");
    ASSERT_TRUE(loops.until([&] { return target.requests.size() == i && owed() == 0; },
                            std::chrono::milliseconds(400)))
        << i;
  }
  EXPECT_EQ(discovery.notices.size(), 2U);
}

}  // namespace
}  // namespace quilltide::net::fixtures
