// Events that cross in the HTTP frontend, with their order forced: each request gets one response, its own.
#include "http_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr auto kPoll = milliseconds(120);

struct OneResponseTest : HttpFixture {
  OneResponseTest() {
    target.handler = [](FakeServer::Link&) {};  // a message ends when the test says so
  }

  // A new forwarder that knows no message.
  void startFresh() {
    http.reset();
    kill();
    for (const auto& file : std::filesystem::directory_iterator(folder.path()))
      std::filesystem::remove_all(file);
    target.requests.clear();
    startBoth();
  }
  // Ends the message that was submitted as the n-th, within this call.
  void endMessage(MessageId handle) {
    Outcome outcome;
    outcome.id = handle;
    outcome.target = "t1";
    outcome.callResult = CallResult::succeeded;
    outcome.endsMessage = true;
    forwarder->engine().handleOutcome(outcome);
    forwarder->engine().processEvents();
  }
  void turnForwarder() {
    loops.own->restart();
    loops.own->poll();
  }
  // Lets a timer of the forwarder expire and queues its handler behind `event`, so that the event runs when
  // the timer can no longer be cancelled.
  void runAheadOfExpiredTimer(Clock::time_point expiry, const std::function<void()>& event) {
    turnForwarder();
    std::this_thread::sleep_until(expiry + milliseconds(5));
    asio::post(*loops.own, event);
    turnForwarder();
  }
  // Submits m1 and polls its state; returns when the poll runs out.
  Clock::time_point startPoll(const std::string& more = "") {
    EXPECT_EQ(http->hand("m1", "safe").status, 202);
    EXPECT_TRUE(until([&] { return !target.requests.empty(); }));
    http->write(HttpTalk::request("GET", "/v1/messages/m1?wait_ms=" + std::to_string(kPoll.count())) + more);
    const auto sentAt = Clock::now();
    pause(20);
    EXPECT_TRUE(http->in.empty());
    return sentAt + milliseconds(20) + kPoll;
  }
  // The responses that have come within some time, and nothing that is not one.
  std::vector<HttpAnswer> allAnswers() {
    pause(100);
    std::vector<HttpAnswer> answers;
    while (!http->in.empty()) {
      answers.push_back(http->answer(milliseconds(1)));
      if (answers.back().status == 0) {
        ADD_FAILURE() << "no response: " << http->in;
        break;
      }
    }
    return answers;
  }
};

// Guards against a second response to a long poll whose message ends as its time runs out: the handler of the
// timer was queued already, and the next request got it as its own.
TEST_F(OneResponseTest, ALongPollThatRunsOutAsItsMessageEndsGetsOneResponse) {
  startBoth();
  const auto expiry = startPoll();
  runAheadOfExpiredTimer(expiry, [&] { endMessage(1); });
  const std::vector<HttpAnswer> answers = allAnswers();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].parsed().value("final", ""), "delivered");
  EXPECT_EQ(http->hand("m2", "safe").parsed().value("id", ""), "m2");
}

// Guards against the same the other way round: the poll has been answered when the message ends.
TEST_F(OneResponseTest, AMessageThatEndsAsItsPollHasRunOutSendsNoSecondResponse) {
  startBoth();
  const auto expiry = startPoll();
  std::this_thread::sleep_until(expiry + milliseconds(5));
  turnForwarder();
  endMessage(1);
  const std::vector<HttpAnswer> answers = allAnswers();
  ASSERT_EQ(answers.size(), 1U);
  EXPECT_EQ(answers[0].parsed().value("state", ""), "called");
}

// Guards against a request that is lost because its connection was idle for too long: the handler of that
// timer was queued behind the request.
TEST_F(OneResponseTest, ARequestThatArrivesAsItsConnectionIsIdleForTooLongIsAnswered) {
  product.http->idleTimeout = milliseconds(200);
  for (const bool timerFirst : {false, true}) {
    startFresh();
    ASSERT_EQ(http->hand("m1", "safe").status, 202);
    pause(20);
    const auto expiry = Clock::now() + product.http->idleTimeout;
    const auto sendRequest = [&] { http->write(HttpTalk::request("GET", "/v1/messages/m1")); };
    if (timerFirst) {
      runAheadOfExpiredTimer(expiry, sendRequest);
    } else {  // the event loop sees both at once, and handles input first
      std::this_thread::sleep_until(expiry + milliseconds(5));
      sendRequest();
      turnForwarder();
    }
    EXPECT_EQ(http->answer().status, 200) << timerFirst;
  }
}

// What may come in one turn while a long poll waits.
enum class Crossing { pollExpires, messageEnds, clientCloses, drains, finishes, requestArrives };
constexpr const char* kCrossingNames[] = {"the poll runs out", "the message ends", "the client closes",
                                          "the drain begins",  "the drain ends",   "a request arrives"};

struct CrossingEventsTest : OneResponseTest {
  void run(Crossing event) {
    switch (event) {
      case Crossing::pollExpires:
        return;  // see cross()
      case Crossing::messageEnds:
        return endMessage(1);
      case Crossing::clientCloses:
        return http->close();
      case Crossing::drains:
        return forwarder->httpFrontend().drain();
      case Crossing::finishes:
        return forwarder->httpFrontend().finish();
      case Crossing::requestArrives:
        return http->write(HttpTalk::request("GET", "/v1/messages/unknown"));
    }
  }
  // Runs both in one turn, in this order; with `expired` ahead of the poll's timer, which is overdue.
  void cross(Crossing a, Crossing b, Clock::time_point expiry, bool expired) {
    if (a == Crossing::pollExpires) {
      std::this_thread::sleep_until(expiry + milliseconds(5));
      turnForwarder();
      return run(b);
    }
    const auto both = [&] {
      run(a);
      run(b);
    };
    if (expired) return runAheadOfExpiredTimer(expiry, both);
    asio::post(*loops.own, both);
    turnForwarder();
  }
  // All responses are whole, the first one is the poll's and the second one the next request's.
  void check(const std::string& what, std::size_t requests) {
    const std::vector<HttpAnswer> answers = allAnswers();
    EXPECT_LE(answers.size(), requests) << what;
    if (!answers.empty()) {
      EXPECT_EQ(answers[0].parsed().value("id", ""), "m1") << what;
    }
    if (answers.size() > 1) {
      EXPECT_EQ(answers[1].status, 404) << what;
    }
    EXPECT_EQ(forwarder->httpFrontend().surplusResponses(), 0U) << what;
  }
};

// Guards against any second response, and any response to the wrong request, whichever two events come in one
// turn of the event loop, in both orders, while the poll's timer has expired or not.
TEST_F(CrossingEventsTest, EachPairInBothOrdersGivesOneResponseARequest) {
  for (int first = 0; first < 6; ++first) {
    for (int second = 0; second < 6; ++second) {
      for (const bool expired : {false, true}) {
        const auto a = static_cast<Crossing>(first), b = static_cast<Crossing>(second);
        if (first == second || (!expired && (a == Crossing::pollExpires || b == Crossing::pollExpires)))
          continue;
        const std::string what = std::string(kCrossingNames[first]) + ", then " + kCrossingNames[second] +
                                 (expired ? ", poll overdue" : "");
        startFresh();
        const auto expiry = startPoll();
        cross(a, b, expiry, expired);
        const bool requested = a == Crossing::requestArrives || b == Crossing::requestArrives;
        check(what, requested ? 2 : 1);
      }
    }
  }
}

// Guards against a second response to a request that is complete, or refused, as its time runs out.
TEST_F(CrossingEventsTest, ARequestThatTimesOutAsItIsCompleteGetsOneResponse) {
  product.http->requestTimeout = milliseconds(150);
  const std::string request = HttpTalk::request("GET", "/v1/messages/unknown");
  enum class Event { rest, close, drain, finish };
  for (const Event event : {Event::rest, Event::close, Event::drain, Event::finish}) {
    for (const bool timeoutFirst : {false, true}) {
      const std::string what =
          "event " + std::to_string(static_cast<int>(event)) + (timeoutFirst ? " behind" : " ahead");
      startFresh();
      http->write(request.substr(0, 20));
      pause(20);
      const auto expiry = Clock::now() + product.http->requestTimeout;
      const auto happen = [&] {
        if (event == Event::rest) http->write(request.substr(20));
        if (event == Event::close) http->close();
        if (event == Event::drain) forwarder->httpFrontend().drain();
        if (event == Event::finish) forwarder->httpFrontend().finish();
      };
      if (timeoutFirst) {
        std::this_thread::sleep_until(expiry + milliseconds(5));
        turnForwarder();
        happen();
      } else {
        runAheadOfExpiredTimer(expiry, happen);
      }
      const std::vector<HttpAnswer> answers = allAnswers();
      EXPECT_EQ(answers.size(), event == Event::close ? 0U : 1U) << what;
      EXPECT_EQ(forwarder->httpFrontend().surplusResponses(), 0U) << what;
    }
  }
}

// The same pairs among streams: no event stands in the stream twice, and nothing comes behind its end.
TEST_F(CrossingEventsTest, AStreamThatEndsAsAMessageEndsIsWhole) {
  for (const bool endFirst : {false, true}) {
    startFresh();
    ASSERT_EQ(http->hand("m1", "safe").status, 202);
    ASSERT_TRUE(until([&] { return !target.requests.empty(); }));
    auto stream = talk();
    stream->write(HttpTalk::request("GET", "/v1/ends"));
    ASSERT_TRUE(until([&] { return stream->in.find("\r\n\r\n") != std::string::npos; }));
    asio::post(*loops.own, [&] {
      if (endFirst) endMessage(1);
      forwarder->httpFrontend().finish();
      if (!endFirst) endMessage(1);
    });
    turnForwarder();
    EXPECT_TRUE(stream->ended());
    const std::size_t at = stream->in.find("\"m1\"");
    EXPECT_TRUE(at == std::string::npos || stream->in.find("\"m1\"", at + 1) == std::string::npos);
    EXPECT_TRUE(!endFirst || at != std::string::npos) << stream->in;
  }
}

}  // namespace
}  // namespace quilltide::net::fixtures
