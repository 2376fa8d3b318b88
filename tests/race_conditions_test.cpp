// Two events that cross, the bad order made to happen each time: by a hook at the seam, by a loop that is not
// turned, or by a peer that acts at a given byte.
#include <sys/socket.h>

#include "clock/alarm.hpp"
#include "directory/json_stream_splitter.hpp"
#include "net_fixture.hpp"
#include "upstream/http/http_upstream_client.hpp"

namespace quilltide::net::fixtures {
namespace {

using Link = FakeServer::Link;
using std::chrono::milliseconds;

// ---- Calls ----

class Calls : public NetFixture {
 protected:
  Calls() { make(); }
  void make() {
    PlatformConfig c = parsePlatformConfig(config, folder.path());
    targets = std::make_unique<HttpUpstreamClient>(
        *loops.own, c, 10,
        [this](const TargetId&, const std::vector<const UpstreamRequest*>& requests) {
          std::vector<bool> may;
          for (const UpstreamRequest* p : requests) may.push_back(!kept.contains(p->id));
          return may;
        },
        [this](const Outcome& o) { outcomes.push_back(o); }, [this](MessageId id) { late.push_back(id); },
        ignoreReviews());
    targets->updateTargets(c.initialDirectory);
  }
  static UpstreamRequest request(MessageId handle, Micros timeout = 2'000'000) {
    return {handle, 0, "m" + std::to_string(handle), "", "body", timeout};
  }
  // A first call that leaves its connection idle: the next one's request is with the kernel when call()
  // returns.
  void warm() {
    targets->call("t1", {request(1)});
    ASSERT_TRUE(until([&] { return outcomes.size() == 1 && targets->reusableConnections("t1") == 1; }));
    outcomes.clear();
  }
  // Turns the target's loop alone: what the upstream is to hear stands in its socket.
  bool meanwhile(const std::function<bool()>& holds) {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(5);
    while (!holds() && std::chrono::steady_clock::now() < end) {
      io.restart();
      io.poll();
    }
    return holds();
  }
  std::set<std::string> kept;  // ids that may not leave
  std::unique_ptr<HttpUpstreamClient> targets;
  std::vector<Outcome> outcomes;
  std::vector<MessageId> late;
};

// The kernel has the last byte and no handler of the write has run: the call may have run, and is not told as
// one that never did.
TEST_F(Calls, CalledOffRightAfterItsLastByteMayHaveRun) {
  warm();
  target.handler = [](Link&) {};
  targets->call("t1", {request(2)});
  targets->cancelCall(2, 0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].callResult, CallResult::canceled);
  EXPECT_TRUE(until([&] { return target.requests.size() == 2; }));
}

// The same for a time-out that is due before the loop turns.
TEST_F(Calls, TimedOutRightAfterItsLastByteMayHaveRun) {
  warm();
  target.handler = [](Link&) {};
  targets->call("t1", {request(2, 1)});
  std::this_thread::sleep_for(milliseconds(2));
  ASSERT_TRUE(until([&] { return outcomes.size() == 1; }));
  EXPECT_EQ(outcomes[0].callResult, CallResult::timedOut);
}

// An answer that stands unread in the socket as its call is called off, or times out, is the call's end.
TEST_F(Calls, AnAnswerThatHasComeGoesBeforeACallOffAndATimeOut) {
  warm();
  targets->call("t1", {request(2)});
  ASSERT_TRUE(meanwhile([&] { return target.requests.size() == 2; }));
  targets->cancelCall(2, 0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].callResult, CallResult::succeeded);
  ASSERT_TRUE(until([&] { return targets->reusableConnections("t1") == 1; }));
  targets->call("t1", {request(3, 1'000)});
  ASSERT_TRUE(meanwhile([&] { return target.requests.size() == 3; }));
  std::this_thread::sleep_for(milliseconds(2));
  ASSERT_TRUE(until([&] { return outcomes.size() == 2; }));
  EXPECT_EQ(outcomes[1].callResult, CallResult::succeeded);
}

// A message that ended while the connection of its call was coming up is not sent with the others.
TEST_F(Calls, WhatEndedBeforeTheConnectionCameUpStaysBehind) {
  targets->call("t1", {request(1), request(2), request(3)});
  targets->cancelCall(2, 0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].callResult, CallResult::connectFailed);
  target.handler = [](Link& link) { link.write(FakeServer::answer(200, "m1 ok\r\nm3 ok\r\n")); };
  ASSERT_TRUE(until([&] { return outcomes.size() == 3; }));
  ASSERT_EQ(target.requests.size(), 1U);
  EXPECT_EQ(target.requests[0].body().find("m2"), std::string::npos);
  EXPECT_EQ(outcomes[1].callResult, CallResult::succeeded);
  EXPECT_EQ(outcomes[2].callResult, CallResult::succeeded);
}

// What may no longer leave when its connection is up never ran, and the connection serves the next call.
TEST_F(Calls, WhatMayNoLongerLeaveNeverRanAndLeavesItsConnection) {
  kept = {"m1"};
  targets->call("t1", {request(1)});
  ASSERT_TRUE(until([&] { return outcomes.size() == 1; }));
  EXPECT_EQ(outcomes[0].callResult, CallResult::skipped);
  EXPECT_EQ(targets->idleConnections("t1"), 1U);
  targets->call("t1", {request(2)});
  ASSERT_TRUE(until([&] { return outcomes.size() == 2; }));
  EXPECT_EQ(target.links.size(), 1U);
  ASSERT_EQ(target.requests.size(), 1U);
  EXPECT_EQ(target.requests[0]["X-Request-Id"], "m2");
}

// Messages of one call end one after the other, and its answer comes when some of them have: it is the answer
// of the one that stands first, so that one is waited for longest.
TEST_F(Calls, WhoIsWaitedForLongestStandsFirstInItsCall) {
  target.handler = [](Link&) {};
  targets->call("t1",
                {request(1, 50'000), request(2, 2'000'000), request(3, 100'000), request(4, 2'000'000)});
  ASSERT_TRUE(until([&] { return outcomes.size() == 2; }));
  EXPECT_EQ(outcomes[0].id, 1U);
  EXPECT_EQ(outcomes[1].id, 3U);
  ASSERT_EQ(target.requests.size(), 1U);
  const std::string& body = target.requests[0].body();
  EXPECT_EQ(body.find("m2 "), 0U);
  EXPECT_LT(body.find("m4 "), body.find("m3 "));
  EXPECT_LT(body.find("m3 "), body.find("m1 "));
  EXPECT_GE(std::stod(std::string(target.requests[0]["X-Deadline"])), 1.5);
  target.links[0]->write(FakeServer::answer(200, "m2 ok\r\nm4 ok\r\nm3 ok\r\nm1 ok\r\n"));
  ASSERT_TRUE(until([&] { return outcomes.size() == 4; }));
  EXPECT_EQ(outcomes[2].callResult, CallResult::succeeded);
  EXPECT_EQ(outcomes[3].callResult, CallResult::succeeded);
  EXPECT_EQ(late, (std::vector<MessageId>{3, 1}));
}

// Where no second copy is allowed, what is timed out or called off while its call goes on for others is told,
// and so may go again, only when the call's connection has closed; a message that ends meanwhile is told at
// once.
TEST_F(Calls, WhatIsStillOutIsNotToldWhereNoSecondCopyIsAllowed) {
  config["settings"]["limits"]["secondCopies"] = false;
  make();
  target.handler = [](Link&) {};
  std::vector<UpstreamRequest> those = {request(1, 50'000), request(2, 100'000), request(3, 400'000),
                                        request(4, 400'000)};
  for (UpstreamRequest& p : those) p.timeToLive = 5'000'000;
  those[1].timeToLive = 100'000;
  targets->call("t1", those);
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  targets->cancelCall(4, 0);
  ASSERT_TRUE(until([&] { return outcomes.size() == 1; }));
  EXPECT_EQ(outcomes[0].id, 2U);
  EXPECT_EQ(outcomes[0].callResult, CallResult::timedOut);
  EXPECT_EQ(target.ended, 0);
  ASSERT_TRUE(until([&] { return outcomes.size() == 4; }));
  EXPECT_EQ(outcomes[1].id, 1U);
  EXPECT_EQ(outcomes[3].callResult, CallResult::canceled);
  EXPECT_TRUE(until([&] { return target.ended == 1; }));
}

// There, too, what is waited for to its end does not travel with what would go again before.
TEST_F(NetFixture, UnsafeOnesTravelApartWhereNoSecondCopyIsAllowed) {
  config["settings"]["limits"]["secondCopies"] = false;
  config["known"]["targets"] = json::array({entry("t1", target.text(), "leaving")});
  target.handler = [](Link& link) {
    std::string lines;
    std::istringstream body(link.request.body());
    for (std::string line; std::getline(body, line);)
      if (line.ends_with(" 5\r")) lines += line.substr(0, line.find(' ')) + " ok\r\n";
    link.write(FakeServer::answer(200, lines));
  };
  start();
  for (int i = 0; i < 4; ++i) {
    client->enqueue("s" + std::to_string(i), "safe");
    client->enqueue("u" + std::to_string(i), "unsafe");
  }
  for (int i = 0; i < 8; ++i) ASSERT_EQ(client->line(), "+OK");
  discovery.chunk(
      json{{"rev", 50}, {"all", true}, {"targets", json::array({entry("t1", target.text())})}}.dump());
  ASSERT_TRUE(until([&] { return owed() == 0; }));
  bool several = false;
  for (const auto& request : target.requests) {
    const std::string& body = request.body();
    several = several || request.target() == "/receive-many";
    EXPECT_FALSE(body.find("s0 ") < body.npos && body.find("u0 ") < body.npos);
    if (request.target() != "/receive-many") continue;
    std::set<char> kinds;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);)
      if (line.ends_with(" 5\r")) kinds.insert(line.front());
    EXPECT_EQ(kinds.size(), 1U) << body;
  }
  EXPECT_TRUE(several);
}

// A large batch whose target reads nothing: a message given up halfway goes on its way with the others, so it
// may run; given up with the last of them the request never ends, and nothing of it runs.
TEST_F(Calls, GivenUpHalfwayMayRunOnlyIfTheOthersGoOn) {
  tcp::acceptor deaf(io, {asio::ip::make_address("127.0.0.1"), 0});
  targets->updateTargets(parseDirectory(
      {{"rev", 42},
       {"all", false},
       {"targets", {entry("t2", "127.0.0.1:" + std::to_string(deaf.local_endpoint().port()))}}},
      {{}, {"large"}, {"levis"}}));
  UpstreamRequest large = request(1), other = request(2);
  large.body = other.body = std::string(16 << 20, 'x');  // more than both kernels' buffers take
  targets->call("t2", {large, other});
  loops.until([] { return false; }, milliseconds(100));
  targets->cancelCall(1, 0);
  ASSERT_EQ(outcomes.size(), 1U);
  EXPECT_EQ(outcomes[0].callResult, CallResult::canceled);
  targets->cancelCall(2, 0);
  ASSERT_EQ(outcomes.size(), 2U);
  EXPECT_EQ(outcomes[1].callResult, CallResult::connectFailed);
}

// A listener whose queue is full: connections to it come up when room is made, after the kernel's next try (1
// s).
class LateTarget {
 public:
  explicit LateTarget(asio::io_context& io) : acceptor_(io) {
    acceptor_.open(tcp::v4());
    acceptor_.bind({asio::ip::make_address("127.0.0.1"), 0});
    acceptor_.listen(0);
    for (int i = 0; i < 3; ++i) {
      fill_.emplace_back(io);
      fill_.back().open(tcp::v4());
      fill_.back().native_non_blocking(true);
      const tcp::endpoint to = acceptor_.local_endpoint();
      ::connect(fill_.back().native_handle(), to.data(),
                static_cast<socklen_t>(to.size()));  // Asio's would wait
    }
  }
  std::string text() const { return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port()); }
  void open() {
    fill_.clear();
    accept();
  }
  std::size_t bytes = 0;        // that came on any of its connections
  std::size_t connections = 0;  // the first one filled the queue

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      ++connections;
      links_.push_back(std::make_shared<tcp::socket>(std::move(socket)));
      read(links_.back());
      accept();
    });
  }
  void read(std::shared_ptr<tcp::socket> link) {
    auto piece = std::make_shared<std::array<char, 4096>>();
    link->async_read_some(asio::buffer(*piece), [this, link, piece](error_code error, std::size_t n) {
      bytes += n;
      if (!error) read(link);
    });
  }
  tcp::acceptor acceptor_;
  std::vector<tcp::socket> fill_;
  std::vector<std::shared_ptr<tcp::socket>> links_;
};

// Killed while its connection was coming up, an unsafe message was never tried: its successor tries it.
TEST_F(NetFixture, AMessageKilledOnItsWayToAConnectionIsStillTried) {
  LateTarget slow(io);
  config["known"]["targets"] = json::array({entry("t1", slow.text())});
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_EQ(client->line(), "+OK");
  pause(50);
  kill();
  config["known"]["targets"] = json::array({entry("t1", target.text())});
  start();
  EXPECT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
  EXPECT_TRUE(discovery.notices.empty());
  EXPECT_EQ(slow.bytes, 0U);
}

// A wait that is told while another call's connection comes up holds that call, too: its connection stays,
// and nothing goes out before the wait is over.
TEST_F(NetFixture, AWaitToldMeanwhileHoldsACallWhoseConnectionComesUpLate) {
  LateTarget slow(io);
  config["known"]["targets"] = json::array({entry("t1", target.text()), entry("t2", slow.text())});
  config["settings"]["familyInfo"]["kindBatch"] = {1};
  std::optional<std::chrono::steady_clock::time_point> told;
  std::vector<std::chrono::steady_clock::duration>
      after;  // what came to the quick one when the wait was told
  target.handler = [&](Link& link) {
    if (target.requests.size() == 1) return;  // so that the next call goes to the other one
    const auto now = std::chrono::steady_clock::now();
    if (!told) told = now;
    if (now - *told > milliseconds(100))
      after.push_back(now - *told);  // else it was out when the wait was told
    link.write(FakeServer::answer(429, "", "X-Retry-In-Ms: 2500\r\n"));
  };
  start();
  for (int i = 0; i < 6; ++i) client->enqueue("m" + std::to_string(i), "safe", 16'000);
  ASSERT_TRUE(until([&] { return !target.requests.empty(); }));
  target.links[0]->write(FakeServer::answer(200));
  ASSERT_TRUE(until([&] { return told.has_value(); }));
  slow.open();
  ASSERT_TRUE(until([&] { return slow.connections > 0; }));
  loops.until([&] { return slow.bytes > 0 || !after.empty(); }, milliseconds(4'000));
  ASSERT_TRUE(slow.bytes > 0 || !after.empty());
  EXPECT_GE(std::chrono::steady_clock::now() - *told, milliseconds(2'500));
}

// ---- A folder that is taken over ----

// An owner that is held up at each look for another owner.
struct HeldUpOwnership : Ownership {
  HeldUpOwnership(const std::string& folder, std::function<void()> onLook)
      : Ownership(folder, 1), onLook_(std::move(onLook)) {}
  bool isCurrentOwner() const override {
    onLook_();
    return Ownership::isCurrentOwner();
  }

 private:
  std::function<void()> onLook_;
};

// A message that its owner rejected was once in the journal that its successor had read, and was delivered.
TEST_F(NetFixture, AnOwnerRejectsOnlyWhatItsSuccessorDoesNotHave) {
  const std::vector<std::string> expected = {"-BUSY 2000", "-ERR given up, but it may be delivered", "+OK"};
  for (std::size_t look = 0; look < expected.size(); ++look) {
    Folder owned;
    std::unique_ptr<Journal> successor;
    std::optional<std::size_t> looks;  // since the message was submitted
    auto ownership = std::make_unique<HeldUpOwnership>(owned.path(), [&] {
      if (!looks || (*looks)++ != look) return;
      successor = std::make_unique<Journal>(owned.path(), 3'000'000, OutcomeRetention{},
                                            std::make_unique<Ownership>(owned.path(), 2));
    });
    forwarder = std::make_unique<Forwarder>(*loops.own, parsePlatformConfig(config, owned.path()), product,
                                            std::move(ownership));
    forwarder->start();
    client = std::make_unique<FakeClient>(loops, forwarder->address());
    looks = 0;
    client->enqueue("m1", "unsafe");
    EXPECT_EQ(client->line(), expected[look]);
    ASSERT_TRUE(until([&] { return successor != nullptr; }));
    EXPECT_EQ(successor->find("m1") != nullptr, look > 0) << look;
    pause(50);
    EXPECT_TRUE(target.requests.empty()) << look;  // the successor may call it now
    kill();
  }
}

// ---- Another process at a target's address ----

json listed(int rev, const std::vector<json>& entries) {
  return {{"rev", rev}, {"all", false}, {"targets", entries}};
}

// A call for a target that moves while its connection comes up was once written to whoever is at the old
// address.
TEST_F(NetFixture, ACallWhoseTargetMovesMeanwhileIsNotSentToTheOldAddress) {
  LateTarget old(io);
  config["known"]["targets"] = json::array({entry("t1", old.text())});
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  client->enqueue("m1", "unsafe");
  ASSERT_EQ(client->line(), "+OK");
  pause(50);
  discovery.chunk(listed(42, {entry("t1", target.text())}).dump());
  pause(50);
  old.open();
  EXPECT_TRUE(until([&] { return old.connections == 2 && target.requests.size() == 1 && owed() == 0; }));
  EXPECT_EQ(old.bytes, 0U);
}

// A call for a target that serves another destination when its connection is up.
TEST_F(NetFixture, ACallWhoseTargetChangesItsDestinationMeanwhileIsNotSent) {
  LateTarget changed(io);
  config["known"]["targets"] = json::array({entry("t1", changed.text())});
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  client->enqueue("m1", "unsafe");
  ASSERT_EQ(client->line(), "+OK");
  pause(50);
  discovery.chunk(listed(42, {entry("t1", changed.text(), "active", 8), entry("t2", target.text())}).dump());
  pause(50);
  changed.open();
  EXPECT_TRUE(until([&] { return changed.connections == 2 && target.requests.size() == 1 && owed() == 0; }));
  EXPECT_EQ(changed.bytes, 0U);
}

// A call for a target that has left, at whose address another one serves another destination.
TEST_F(NetFixture, ACallWhoseTargetIsReplacedMeanwhileIsNotSent) {
  LateTarget replaced(io);
  config["known"]["targets"] = json::array({entry("t1", replaced.text())});
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  client->enqueue("m1", "unsafe");
  ASSERT_EQ(client->line(), "+OK");
  pause(50);
  discovery.chunk(listed(42, {entry("t1", replaced.text(), "left"), entry("t2", replaced.text(), "active", 8),
                              entry("t3", target.text())})
                      .dump());
  pause(50);
  replaced.open();
  EXPECT_TRUE(until([&] { return replaced.connections == 2 && target.requests.size() == 1 && owed() == 0; }));
  EXPECT_EQ(replaced.bytes, 0U);
}

// A target that was started anew has none of its predecessor's connections: a call on one of them would end
// with an unknown outcome.
TEST_F(NetFixture, ConnectionsToAProcessThatWasReplacedAreNotUsed) {
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return forwarder->upstream().reusableConnections("t1") == 1; }));
  json restarted = entry("t1", target.text());
  restarted["boot_ms"] = 1'700'000'000'000;
  discovery.chunk(listed(42, {restarted}).dump());
  ASSERT_TRUE(until([&] { return forwarder->upstream().idleConnections("t1") == 0; }));
  client->enqueue("m2", "unsafe");
  EXPECT_TRUE(until([&] { return target.requests.size() == 2 && owed() == 0; }));
  EXPECT_EQ(target.links.size(), 2U);
}

// ---- Alarms ----

// Two that have expired together: the first sets the second anew, whose handler is queued by then and must
// not run.
TEST(AlarmOrder, WhatWasSetAnewOrTakenBackDoesNotRun) {
  asio::io_context loop;
  clocks::Alarm first(loop), second(loop), third(loop);
  int ran = 0;
  first.armAfter(milliseconds(1), [&] {
    second.armAfter(std::chrono::hours(1), [&] { ran += 100; });
    third.disarm();
  });
  second.armAfter(milliseconds(2), [&] { ++ran; });
  third.armAfter(milliseconds(2), [&] { ++ran; });
  std::this_thread::sleep_for(milliseconds(5));
  while (loop.poll() > 0) {
  }
  EXPECT_EQ(ran, 0);
}

// ---- Lists ----

std::vector<std::string> valuesOf(const std::string& text, std::size_t cut, int& blanks) {
  JsonStreamSplitter values;
  std::vector<std::string> out;
  for (const std::string& piece : {text.substr(0, cut), text.substr(cut)}) {
    values.append(piece);
    std::string value;
    for (JsonStreamSplitter::Result next;
         (next = values.next(value)) != JsonStreamSplitter::Result::needMore;) {
      if (next == JsonStreamSplitter::Result::malformed) return {"unreadable"};
      next == JsonStreamSplitter::Result::object ? out.push_back(value) : void(++blanks);
    }
  }
  return out;
}

// Indented lists, keep-alives between them and two values in one piece, cut at every byte.
TEST(ListValues, AreFoundWhereverTheyAreCut) {
  const json one = {{"rev", 1}, {"t", {"a}\"\\", "{\n"}}},
             two = {{"rev", 2}, {"targets", json::array({{{"u", "["}}})}};
  const std::string text = "\n" + one.dump(2) + "\r\n\n" + two.dump() + two.dump(1) + "\n\n";
  for (std::size_t cut = 0; cut <= text.size(); ++cut) {
    int blanks = 0;
    const auto found = valuesOf(text, cut, blanks);
    ASSERT_EQ(found.size(), 3U) << cut;
    EXPECT_EQ(json::parse(found[0]), one);
    EXPECT_EQ(json::parse(found[1]), two);
    EXPECT_EQ(json::parse(found[2]), two);
    EXPECT_EQ(blanks, 3) << cut;
  }
  int blanks = 0;
  EXPECT_EQ(valuesOf("{\"rev\":1}\nnoise\n", 4, blanks), std::vector<std::string>{"unreadable"});
  EXPECT_EQ(valuesOf(std::string(100, '{'), 4, blanks), std::vector<std::string>{"unreadable"});
}

// An indented list is a list, and the watch goes on behind it.
TEST_F(NetFixture, ReadsAnIndentedList) {
  FakeServer other(io, [](Link& link) { link.write(FakeServer::answer(200)); });
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  const json list = {
      {"rev", 50},
      {"all", false},
      {"targets", json::array({entry("t1", target.text(), "left"), entry("t2", other.text())})}};
  discovery.chunk(list.dump(2));
  pause(30);
  client->enqueue("m1", "safe");
  EXPECT_TRUE(until([&] { return other.requests.size() == 1 && owed() == 0; }));
  EXPECT_EQ(discovery.watches.size(), 1U);
}

// How long a watch that falls silent, and the one behind it, may hide a change: under the 6 s after which it
// binds. Here after half a list, and the new watch is silent from its first byte.
TEST_F(NetFixture, FindsASilentWatchAndASilentOneBehindItWithinTheClock) {
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  discovery.chunk("");
  std::size_t asked = 1;
  discovery.server.handler = [&](Link& link) {
    if (++asked == 2) return;  // and not a byte
    discovery.take(link);
  };
  discovery.chunk("{\"rev\": 51,");
  const auto silent = std::chrono::steady_clock::now();
  ASSERT_TRUE(loops.until([&] { return discovery.watches.size() == 2; }, std::chrono::seconds(8)));
  EXPECT_LT(std::chrono::steady_clock::now() - silent, milliseconds(5'500));
  EXPECT_EQ(asked, 3U);
}

// ---- Notices ----

// A kept connection that has fallen silent as a post is written, and one that is closed then: the notice is
// there within the 300 ms after which it is overdue.
TEST_F(NetFixture, ANoticeIsToldInTimeThoughItsConnectionFellSilentOrCloses) {
  target.handler = [](Link& link) { link.reset(); };
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return discovery.outcomeOf("m1") == "given_up"; }));
  int trouble = 0;
  std::optional<std::chrono::steady_clock::time_point> posted;
  discovery.server.handler = [&](Link& link) {
    if (link.request.method() == http::verb::post && !posted) {
      posted = std::chrono::steady_clock::now();
      return trouble == 0 ? void() : link.reset();
    }
    discovery.take(link);
  };
  for (const std::string id : {"m2", "m3"}) {
    posted.reset();
    client->enqueue(id, "unsafe");
    ASSERT_TRUE(until([&] { return discovery.outcomeOf(id) == "given_up"; })) << id;
    EXPECT_LT(std::chrono::steady_clock::now() - *posted, milliseconds(300 * kSlower)) << id;
    ++trouble;
  }
}

// ---- Restarts ----

// A thousand that were taken on and never tried, a list that comes late, a target with a low limit: all that
// can still be in time are tried, counted by the target itself.
TEST_F(NetFixture, AThousandFoundUntriedAreStillTried) {
  constexpr int kAll = 1'000, kEachSecond = 400;
  config["known"]["targets"] = json::array({entry("t1", target.text(), "leaving")});  // takes nothing new
  config["settings"]["limits"]["maxOpen"] = kAll + 100;
  config["limits"]["disk_mb"] = 30;
  config["settings"]["familyInfo"]["kindBatch"] = {1};
  start();
  for (int i = 0; i < kAll; ++i)
    client->enqueue("m" + std::to_string(i), i % 2 == 0 ? "safe" : "unsafe", 12'000);
  for (int i = 0; i < kAll; ++i) ASSERT_EQ(client->line(), "+OK") << i;
  kill();
  ASSERT_EQ(Journal(folder.path(), 30'000'000).pendingMessages().size(), static_cast<std::size_t>(kAll));
  std::set<std::string> called;
  int taken = 0;
  auto since = std::chrono::steady_clock::now();
  target.handler = [&](Link& link) {
    called.insert(std::string(link.request["X-Request-Id"]));
    const auto now = std::chrono::steady_clock::now();
    if (now - since >= std::chrono::seconds(1)) std::tie(since, taken) = std::pair(now, 0);
    link.write(++taken <= kEachSecond ? FakeServer::answer(200)
                                      : FakeServer::answer(429, "", "X-Retry-In-Ms: 200\r\n"));
  };
  discovery.first = "";
  start();
  pause(700);
  ASSERT_EQ(discovery.watches.size(), 2U);
  discovery.chunk(
      json{{"rev", 50}, {"all", true}, {"targets", json::array({entry("t1", target.text())})}}.dump());
  const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(12);
  while (std::chrono::steady_clock::now() < end && called.size() < kAll) pause(50);
  int givenUpUncalled = 0;
  for (const json& n : discovery.notices) givenUpUncalled += called.contains(n.value("message", "")) ? 0 : 1;
  EXPECT_EQ(givenUpUncalled, 0);
  EXPECT_EQ(called.size(), static_cast<std::size_t>(kAll));
}

// ---- Settings ----

// What the settings do not name gets the most careful treatment: one message a call, and no other's zone.
TEST_F(NetFixture, AnUnlistedKindTakesOneMessageACall) {
  json stranger = entry("t1", target.text());
  stranger["model"] = "of-another-customer";
  stranger["az"] = "nowhere";
  config["known"]["targets"] = json::array({stranger});
  const PlatformConfig c = parsePlatformConfig(config, folder.path());
  const TargetEntry& e = c.initialDirectory.view.entries.front();
  ASSERT_LT(static_cast<std::size_t>(e.kind), c.settings.kinds.size());
  EXPECT_EQ(c.settings.kinds[static_cast<std::size_t>(e.kind)].maxBatchSize, 1);
  EXPECT_EQ(c.settings.kinds[0].maxBatchSize, 10);
  EXPECT_NE(e.zone, 0);
  EXPECT_EQ(c.initialDirectory.unknownNames,
            (std::set<std::string>{"kind 'of-another-customer'", "zone 'nowhere'"}));
  start();
  for (int i = 0; i < 20; ++i) client->enqueue("m" + std::to_string(i), "safe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 20 && owed() == 0; }));
  for (const auto& request : target.requests) EXPECT_EQ(request.target(), "/receive");
}

// ---- Clients ----

// A whole request that stands in the socket as its connection is given up for rest or silence is taken, not
// reset.
TEST_F(NetFixture, ARequestThatHasComeIsTakenAsItsConnectionIsGivenUp) {
  start();
  const std::string request = FakeClient::command({"ENQUEUE", "0", "late", "c=safe,d=8000,dest=7", "hello"});
  for (const std::size_t before : {std::size_t(0), std::size_t(7)}) {
    FakeClient slow(loops, forwarder->address());
    if (before > 0) slow.write(request.substr(0, before));
    pause(50);
    std::this_thread::sleep_for(
        milliseconds(2'300));  // the loop is not turned; then sweep and request are both due
    slow.write(request.substr(before));
    EXPECT_EQ(slow.line(), "+OK") << before;
  }
}

// At the end of a drain: connected and not accepted, whole requests in several pieces, an answer not yet
// read. Each has its answer whole, and the process ends by itself.
TEST_F(NetFixture, EveryRequestOfADrainsLastInstantHasItsAnswer) {
  start();
  const std::string big(60'000, 'x');
  for (int i = 0; i < 3; ++i)
    client->write(
        FakeClient::command({"ENQUEUE", "0", "p" + std::to_string(i), "c=safe,d=8000,dest=7", big}));
  FakeClient waiting(loops, forwarder->address());  // in the backlog: the forwarder's loop has not turned
  waiting.enqueue("w", "safe");
  bool drained = false;
  forwarder->drain(milliseconds(0), [&] { drained = true; });
  for (int i = 0; i < 3; ++i) EXPECT_EQ(client->line(), "+OK") << i;
  EXPECT_EQ(waiting.line(), "+OK");
  EXPECT_TRUE(until([&] { return drained; }));
}

}  // namespace
}  // namespace quilltide::net::fixtures
