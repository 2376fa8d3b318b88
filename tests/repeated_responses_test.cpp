// A target or the network sends a response twice. The repeat may arrive while the next call on that
// connection waits, and must then decide nothing: no message may get lost by it, and none of an unsafe class
// may run twice.
#include <boost/asio/steady_timer.hpp>
#include <map>

#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using std::chrono::milliseconds;
using Link = FakeServer::Link;

constexpr auto kCallDuration = milliseconds(80);
// Longer than any pause after which a connection is used again.
constexpr int kRestMs = 1'200;

// A forwarder and a target whose responses each test writes, for each call of a message.
struct RepeatedResponsesTest : NetFixture {
  RepeatedResponsesTest() {
    config["settings"]["familyInfo"]["kindBatch"] = {1};
    target.handler = [this](Link& link) {
      const std::string id(link.request["X-Request-Id"]);
      const std::size_t attempt = calls[id]++;
      const auto script = scripts.find(id);
      if (script != scripts.end() && attempt < script->second.size()) return script->second[attempt](link);
      write(link, 200, milliseconds(10));
    };
  }
  using Step = std::function<void(Link&)>;
  // Writes a response after a delay, unless the connection is closed by then.
  void write(Link& link, int status, milliseconds delay, const std::string& headers = "") {
    after(delay, [&link, status, headers] { link.write(FakeServer::answer(status, "", headers)); });
  }
  void after(milliseconds delay, std::function<void()> action) {
    auto timer = std::make_shared<asio::steady_timer>(io, delay);
    timer->async_wait([timer, action](error_code error) {
      if (!error) action();
    });
  }
  // Submits a message and waits until it was accepted.
  void submit(const std::string& id, const std::string& messageClass, int left = 3'000) {
    client->enqueue(id, messageClass, left);
    ASSERT_EQ(client->line(), "+OK");
  }
  // Starts the forwarder; afterwards one connection is idle on which a 200 was read.
  void startWithIdleConnection() {
    start();
    submit("first", "safe", 8'000);
    ASSERT_TRUE(until([&] { return calls["first"] == 1; }));
    pause(kRestMs);
  }
  // The next call gets a repeat of an earlier response, and its own response later; `ownStatus` 0: none.
  Step repeatThenOwn(int repeatedStatus, int ownStatus, milliseconds repeatDelay = milliseconds(1)) {
    return [this, repeatedStatus, ownStatus, repeatDelay](Link& link) {
      write(link, repeatedStatus, repeatDelay);
      if (ownStatus != 0) write(link, ownStatus, repeatDelay + kCallDuration);
    };
  }
  void repeatRejectionWhileUnsafeMessageRuns(int status) {
    scripts = {{"running", {repeatThenOwn(status, 200)}},
               {"rejected", {[this, status](Link& link) { write(link, status, milliseconds(10)); }}}};
    startWithIdleConnection();
    submit("rejected", "safe", 600);
    ASSERT_TRUE(until([&] { return calls["rejected"] == 1; }));
    pause(kRestMs);
    submit("running", "unsafe");
    pause(kRestMs);
    EXPECT_EQ(calls["running"], 1U);
    EXPECT_NE(discovery.outcomeOf("running"), "handed_back");
  }
  bool endedInTime(const std::string& id, std::size_t expectedCalls) {
    return until([&] { return calls[id] >= expectedCalls || !discovery.outcomeOf(id).empty(); });
  }

  std::map<std::string, std::size_t> calls;
  std::map<std::string, std::vector<Step>> scripts;
};

// Guards against a lost message: a repeated 200 ended the next message, whose own response was 503.
TEST_F(RepeatedResponsesTest, RepeatedSuccessDoesNotLoseTheNextMessage) {
  for (const char* messageClass : {"safe", "keyed", "unsafe"}) {
    SCOPED_TRACE(messageClass);
    const std::string id = std::string("second-") + messageClass;
    scripts[id] = {repeatThenOwn(200, 503)};
    if (!forwarder) startWithIdleConnection();
    submit(id, messageClass);
    EXPECT_TRUE(endedInTime(id, 2));
    pause(kRestMs);
  }
}

// Guards against the same with the repeat late within the call, and behind another repeat.
TEST_F(RepeatedResponsesTest, LateOrSecondRepeatDoesNotLoseTheNextMessage) {
  scripts["late"] = {repeatThenOwn(200, 503, milliseconds(80))};
  scripts["twice"] = {[this](Link& link) {
    write(link, 200, milliseconds(1));
    write(link, 200, milliseconds(5));
    write(link, 503, kCallDuration);
  }};
  scripts["glued"] = {[](Link& link) { link.write(FakeServer::answer(200) + FakeServer::answer(503)); }};
  startWithIdleConnection();
  for (const char* id : {"late", "twice", "glued"}) {
    SCOPED_TRACE(id);
    submit(id, "keyed");
    EXPECT_TRUE(endedInTime(id, 2));
    pause(kRestMs);
  }
}

// Guards against a repeated 200 after which the connection ends: the message may not have been delivered.
TEST_F(RepeatedResponsesTest, RepeatedSuccessBeforeAResetDoesNotLoseTheMessage) {
  scripts["reset"] = {[this](Link& link) {
    write(link, 200, milliseconds(1));
    after(kCallDuration, [&link] { link.reset(); });
  }};
  startWithIdleConnection();
  submit("reset", "safe", 2'000);
  EXPECT_TRUE(endedInTime("reset", 2));
}

// Guards against a repeat within 300 ms of a response, if the next call is never answered.
TEST_F(RepeatedResponsesTest, RepeatWithinThreeHundredMsDoesNotLoseAMessageThatIsNeverAnswered) {
  scripts["first"] = {[this](Link& link) {
    write(link, 200, milliseconds(10));
    write(link, 200, milliseconds(310));
  }};
  scripts["hangs"] = {[](Link&) {}};
  start();
  submit("first", "safe");
  ASSERT_TRUE(until([&] { return calls["first"] == 1; }));
  pause(60);
  submit("hangs", "safe", 2'000);
  EXPECT_TRUE(endedInTime("hangs", 2));
}

// Guards against a 200 of which only the first line and a part of the head were repeated.
TEST_F(RepeatedResponsesTest, CutRepeatDoesNotLoseTheNextMessage) {
  scripts["cut"] = {[this](Link& link) {
    after(milliseconds(1), [&link] { link.write("HTTP/1.1 200 X\r\nContent-Le"); });
    write(link, 503, kCallDuration);
  }};
  startWithIdleConnection();
  submit("cut", "safe", 2'000);
  EXPECT_TRUE(endedInTime("cut", 2));
}

// Guards against a second execution: a repeated 503 said of a running message that it had never run.
TEST_F(RepeatedResponsesTest, RepeatedBusyResponseDoesNotSendARunningUnsafeMessageAgain) {
  repeatRejectionWhileUnsafeMessageRuns(503);
}

// Guards against the same by a repeated 429.
TEST_F(RepeatedResponsesTest, RepeatedRateLimitDoesNotSendARunningUnsafeMessageAgain) {
  repeatRejectionWhileUnsafeMessageRuns(429);
}

// Guards against a wait that was not heeded because its response came second.
TEST_F(RepeatedResponsesTest, WaitInTheOwnResponseIsHeededAfterARepeat) {
  scripts["waits"] = {[this](Link& link) {
    write(link, 200, milliseconds(1));
    write(link, 429, milliseconds(40), "X-Retry-In-Ms: 600\r\n");
  }};
  startWithIdleConnection();
  submit("waits", "safe");
  ASSERT_TRUE(until([&] { return calls["waits"] == 1; }));
  pause(150);  // the wait begins, and calls within 100 ms of that are allowed
  submit("other", "safe");
  pause(300);
  EXPECT_EQ(calls["other"], 0U);
  EXPECT_TRUE(until([&] { return calls["other"] == 1; }));
}

// Guards against an end that is recorded before it is certain: a process killed just then must still owe the
// message.
TEST_F(RepeatedResponsesTest, KilledBeforeTheOwnResponseTheMessageIsStillOwed) {
  scripts["killed"] = {repeatThenOwn(200, 503)};
  startWithIdleConnection();
  submit("killed", "keyed");
  ASSERT_TRUE(until([&] { return calls["killed"] == 1; }));
  pause(20);  // the repeat is read, the own response is not there yet
  kill();
  start();
  EXPECT_TRUE(endedInTime("killed", 2));
}

// Guards against a lost notice: a repeated 204 acknowledged a post that the platform never read.
TEST_F(RepeatedResponsesTest, RepeatedAcknowledgementDoesNotAcknowledgeTheNextNotice) {
  std::map<Link*, std::size_t> postsOn;
  discovery.server.handler = [&](Link& link) {
    const bool repeats = link.request.method() == http::verb::post && ++postsOn[&link] > 1;
    repeats ? link.write("HTTP/1.1 204 No Content\r\n\r\n") : discovery.take(link);
  };
  target.handler = [](Link& link) { link.reset(); };
  start();
  for (const char* id : {"first", "second"}) {
    submit(id, "unsafe");
    EXPECT_TRUE(until([&] { return discovery.outcomeOf(id) == "given_up"; })) << id;
  }
}

// A call that is answered once is delivered by one call and gets no notice.
TEST_F(RepeatedResponsesTest, MessagesAnsweredOnceEndWithoutANotice) {
  startWithIdleConnection();
  for (int i = 0; i < 5; ++i) {
    for (const char* messageClass : {"safe", "keyed", "unsafe"})
      submit(std::string(messageClass) + std::to_string(i), messageClass);
    pause(40);
  }
  pause(3'500);
  for (const auto& [id, count] : calls) EXPECT_EQ(count, 1U) << id;
  EXPECT_TRUE(discovery.notices.empty());
  EXPECT_EQ(owed(), 0U);
}

}  // namespace
}  // namespace quilltide::net::fixtures
