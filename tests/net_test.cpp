// The forwarder as its clients, targets and discovery see it, over loopback sockets.
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <fstream>

#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using Link = FakeServer::Link;

std::string waitOf(int ms) { return "X-Retry-In-Ms: " + std::to_string(ms) + "\r\n"; }

// ---- Intake ----

TEST_F(NetFixture, DeliversAMessageAndSaysNothingMore) {
  start();
  client->write(FakeClient::command({"PING"}));
  EXPECT_EQ(client->line(), "+PONG");
  client->enqueue("m1", "keyed", 8'000, 7, std::string("a\0\r\nb", 5));
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  const Request& call = target.requests[0];
  EXPECT_EQ(call.target(), "/receive");
  EXPECT_EQ(call["X-Request-Id"], "m1");
  EXPECT_EQ(call["Idempotency-Key"], "keym1");
  EXPECT_GT(std::stod(std::string(call["X-Deadline"])), 0.5);
  EXPECT_EQ(call.body(), std::string("a\0\r\nb", 5));
  EXPECT_TRUE(until([&] { return owed() == 0; }));
  EXPECT_TRUE(discovery.notices.empty());
}

// Requests that come in one piece are all answered, in their order.
TEST_F(NetFixture, AnswersAPipelineInOrder) {
  start();
  client->write(FakeClient::command({"PING"}) +
                FakeClient::command({"ENQUEUE", "0", "p1", "c=safe,d=8000,dest=7", "x"}) +
                FakeClient::command({"NONSENSE"}) + FakeClient::command({"ping"}));
  EXPECT_EQ(client->line(), "+PONG");
  EXPECT_EQ(client->line(), "+OK");
  EXPECT_EQ(client->line(), "-ERR unknown command");
  EXPECT_EQ(client->line(), "+PONG");
}

// What a client gets wrong costs it that request, not at once its connection, and nothing is taken on.
TEST_F(NetFixture, TellsWhatIsWrongWithARequest) {
  start();
  const std::vector<std::vector<std::string>> bad = {
      {"ENQUEUE", "0", "m", "c=other,d=8000,dest=7", "x"},
      {"ENQUEUE", "0", "m", "c=safe,d=8000,dest=99", "x"},
      {"ENQUEUE", "0", "m", "c=safe,d=8000", "x"},
      {"ENQUEUE", "0", "m", "c=safe,d=0,dest=7", "x"},
      {"ENQUEUE", "0", "m", "c=safe,d=-4,dest=7", "x"},
      {"ENQUEUE", "0", "m", "c=safe,d=soon,dest=7", "x"},
      {"ENQUEUE", "0", "m", "c=safe,d=8000,dest=7"},
      {"ENQUEUE", "0", "", "c=safe,d=8000,dest=7", "x"},
      {"ENQUEUE", "0", "a b", "c=safe,d=8000,dest=7", "x"},
      {"ENQUEUE", "0", "m", "nothing", "x"},
      {"ENQUEUE", "0", "m", "c=safe,d=8000,dest=7,k=a b", "x"}};
  for (const auto& words : bad) {
    client = std::make_unique<FakeClient>(loops, forwarder->address());
    client->write(FakeClient::command(words));
    EXPECT_EQ(client->line().substr(0, 5), "-ERR ") << words[3 < words.size() ? 3 : 0];
  }
  client = std::make_unique<FakeClient>(loops, forwarder->address());
  client->write("*1\r\n:4\r\n" + FakeClient::command({"PING"}));
  EXPECT_EQ(client->line().substr(0, 4), "-ERR");
  EXPECT_EQ(client->line(), "+PONG");
  EXPECT_FALSE(client->closed);
  EXPECT_EQ(owed(), 0U);
}

// Where framing is lost the client hears why before the connection ends; a first line of a few bytes must not
// make the reader take room for a thousand million words.
TEST_F(NetFixture, ClosesAfterAnAnswerWhereFramingIsLost) {
  start();
  for (const char* bytes : {"GET / HTTP/1.1\r\n\r\n", "*1000000000\r\n", "*1\r\n$-7\r\n"}) {
    FakeClient other(loops, forwarder->address());
    other.write(FakeClient::command({"PING"}) + bytes);
    EXPECT_EQ(other.line(), "+PONG");
    EXPECT_EQ(other.line().substr(0, 4), "-ERR") << bytes;
    EXPECT_TRUE(until([&] { return other.closed; })) << bytes;
  }
  client->write(FakeClient::command({"PING"}));
  EXPECT_EQ(client->line(), "+PONG");
}

// A request that never ends is cut off, however its bytes are spread over words: they must not fill the
// memory.
TEST_F(NetFixture, BoundsARequestThatNeverEnds) {
  start();
  const std::string word = "$20000\r\n" + std::string(20'000, 'x') + "\r\n";
  client->write("*60\r\n");
  for (int i = 0; i < 9; ++i) client->write(word);
  EXPECT_EQ(client->line(), "-ERR protocol error");
  EXPECT_TRUE(until([&] { return client->closed; }));
}

// A client that has ended its sending before its request is read cannot be told from one that has gone and
// submits the message anew. It still hears what became of it: a rejection, so that a retry does no harm.
TEST_F(NetFixture, AnswersAClientThatEndedItsSending) {
  start();
  client->enqueue("m1", "safe");
  client->finish();
  EXPECT_EQ(client->line(), "-BUSY");
  EXPECT_TRUE(until([&] { return client->closed; }));
  FakeClient again(loops, forwarder->address());
  again.enqueue("m2", "safe");
  EXPECT_EQ(again.line(), "+OK");
  EXPECT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
  EXPECT_EQ(target.requests.front()["X-Request-Id"], "m2");
}

// A client that ends its sending after its request was read hears that it was accepted.
TEST_F(NetFixture, AnswersAClientThatEndsItsSendingAfterItsRequestWasRead) {
  start();
  client->enqueue("m1", "safe");
  ASSERT_TRUE(until([&] { return forwarder->engine().status("m1").state != MessageStatus::State::unknown; }));
  client->finish();
  EXPECT_EQ(client->line(), "+OK");
}

// The client sends a request again when a close crossed it: it must not be taken on twice.
TEST_F(NetFixture, TakesARepeatedIdOnce) {
  start();
  client->enqueue("m1", "unsafe");
  client->enqueue("m1", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return owed() == 0; }));
  client->enqueue("m1", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  client->enqueue("m2", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return target.requests.size() == 2; }));
  EXPECT_EQ(target.requests[1]["X-Request-Id"], "m2");
}

TEST_F(NetFixture, RefusesWhatExceedsMaxOpen) {
  config["settings"]["limits"]["maxOpen"] = 1;
  target.handler = [](Link&) {};
  start();
  client->enqueue("m1", "safe");
  EXPECT_EQ(client->line(), "+OK");
  client->enqueue("m2", "safe");
  EXPECT_EQ(client->line().substr(0, 5), "-BUSY");
}

// More clients than places: the longest unused gives way, and everybody is served.
TEST_F(NetFixture, MakesRoomForMoreClientsThanItHasPlaces) {
  config["limits"]["sockets"] = 32;
  start();
  std::vector<std::unique_ptr<FakeClient>> many;
  for (int i = 0; i < 40; ++i) {
    many.push_back(std::make_unique<FakeClient>(loops, forwarder->address()));
    many.back()->write(FakeClient::command({"PING"}));
    ASSERT_EQ(many.back()->line(), "+PONG") << i;
  }
  EXPECT_TRUE(until([&] { return client->closed; }));
}

// Out of descriptors, accepting pauses and goes on.
TEST_F(NetFixture, AcceptSurvivesRunningOutOfDescriptors) {
  start();
  FakeClient waiting(loops, forwarder->address());
  waiting.write(FakeClient::command({"PING"}));
  EXPECT_EQ(waiting.line(), "+PONG");
  rlimit before{};
  getrlimit(RLIMIT_NOFILE, &before);
  const int probe = ::dup(0);
  FakeClient* late = nullptr;
  std::unique_ptr<FakeClient> owner =
      std::make_unique<FakeClient>(loops, forwarder->address());  // has its socket
  late = owner.get();
  rlimit none = before;
  none.rlim_cur = static_cast<rlim_t>(probe);
  setrlimit(RLIMIT_NOFILE, &none);
  late->write(FakeClient::command({"PING"}));
  pause(60);
  setrlimit(RLIMIT_NOFILE, &before);
  ::close(probe);
  EXPECT_EQ(late->line(), "+PONG");
}

// ---- Calls ----

// A message that a notice is owed for is out of the module's hands: it takes no place from new ones.
TEST_F(NetFixture, CountsWhatIsOnlyOwedANoticeOutOfMaxOpen) {
  config["settings"]["limits"]["maxOpen"] = 1;
  discovery.refuse = 1'000'000;
  target.handler = [](Link& link) { link.reset(); };
  start();
  client->enqueue("m1", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return discovery.refuse < 1'000'000; }));
  client->enqueue("m2", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  EXPECT_EQ(owed(), 2U);
}

// A told wait binds the whole destination, for any message.
TEST_F(NetFixture, HeedsAWaitThatItIsTold) {
  bool first = true;
  std::chrono::steady_clock::time_point told, again;
  target.handler = [&](Link& link) {
    (first ? told : again) = std::chrono::steady_clock::now();
    link.write(FakeServer::answer(first ? 429 : 200, "", waitOf(300)));
    first = false;
  };
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  client->enqueue("m2", "unsafe");
  ASSERT_TRUE(until([&] { return target.requests.size() >= 2; }));
  EXPECT_GE(again - told, std::chrono::milliseconds(300));
}

// Answers are reused connections' work: a new one for each call costs points.
TEST_F(NetFixture, ReusesItsConnection) {
  start();
  for (int i = 0; i < 4; ++i) {
    client->enqueue("m" + std::to_string(i), "safe");
    ASSERT_TRUE(
        until([&] { return target.requests.size() == static_cast<std::size_t>(i) + 1 && owed() == 0; }));
    ASSERT_TRUE(until([&] { return forwarder->upstream().reusableConnections("t1") == 1; }));
  }
  EXPECT_EQ(target.links.size(), 1U);
}

// A pooled connection that the target closed is dropped unused, so the next call meets a live one at once.
TEST_F(NetFixture, DropsAStalePooledConnection) {
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
  target.links[0]->close();
  client->enqueue("m2", "unsafe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 2 && owed() == 0; }));
  EXPECT_EQ(target.links.size(), 2U);
  EXPECT_TRUE(discovery.notices.empty());
}

// Broken after its last byte, an unsafe call may have run: it ends, and is neither sent again nor refused.
TEST_F(NetFixture, GivesUpAnUnsafeMessageWhoseConnectionBroke) {
  target.handler = [](Link& link) { link.reset(); };
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return !discovery.notices.empty(); }));
  EXPECT_EQ(discovery.outcomeOf("m1"), "given_up");
  EXPECT_EQ(target.requests.size(), 1U);
}

// Broken before its last byte, nothing can have run: the message goes again.
TEST_F(NetFixture, SendsAgainWhatNeverLeft) {
  tcp::acceptor closed(io, {asio::ip::make_address("127.0.0.1"), 0});
  const std::string nobody = "127.0.0.1:" + std::to_string(closed.local_endpoint().port());
  closed.close();
  config["settings"]["familyInfo"]["kindBatch"] = {1};
  config["known"]["targets"] = json::array({entry("t1", nobody), entry("t2", target.text())});
  start();
  for (int i = 0; i < 6; ++i) client->enqueue("m" + std::to_string(i), "unsafe");
  EXPECT_TRUE(until([&] { return target.requests.size() == 6 && owed() == 0; }));
  EXPECT_TRUE(discovery.notices.empty());
}

// Delivered is what a first line with 200 was written for, though its body breaks off or never comes: an
// unsafe message must not be given up for it.
TEST_F(NetFixture, TakesTheFirstLineForTheAnswer) {
  target.handler = [](Link& link) {
    link.write("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc");
    if (link.request["X-Request-Id"] == "breaks") link.close();
  };
  start();
  client->enqueue("breaks", "unsafe");
  EXPECT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
  client->enqueue("stays", "unsafe", 300);
  EXPECT_TRUE(until([&] { return target.requests.size() == 2 && owed() == 0; }));
  EXPECT_TRUE(discovery.notices.empty());
}

// A head that is no HTTP came after the last byte: the call may have run, and the service goes on.
TEST_F(NetFixture, TakesAMalformedAnswerForABrokenCall) {
  target.handler = [](Link& link) { link.write("what?\r\n\r\n"); };
  start();
  client->enqueue("m1", "unsafe");
  ASSERT_TRUE(until([&] { return discovery.outcomeOf("m1") == "given_up"; }));
  client->write(FakeClient::command({"PING"}));
  client->line();
  EXPECT_EQ(client->line(), "+PONG");
}

// 410: the message is over, and nothing is owed; no notice, no second call.
TEST_F(NetFixture, EndsSilentlyWhatIsGone) {
  target.handler = [](Link& link) { link.write(FakeServer::answer(410)); };
  start();
  client->enqueue("m1", "safe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
  EXPECT_TRUE(discovery.notices.empty());
}

// The time-out closes the connection, and the unsafe message is owed its notice by its deadline.
TEST_F(NetFixture, ClosesTheConnectionOfACallThatTimesOut) {
  target.handler = [](Link&) {};
  start();
  client->enqueue("m1", "unsafe", 300);
  ASSERT_TRUE(until([&] { return discovery.outcomeOf("m1") == "given_up"; }));
  EXPECT_TRUE(until([&] { return target.ended == 1; }));
}

// One call for several messages has an end for each: delivered, later, gone and two kinds of error.
TEST_F(NetFixture, ReadsEachEndOfABatch) {
  std::map<std::string, int> seen;
  bool slow = true;
  target.handler = [&](Link& link) {
    if (link.request.target() == "/receive") {
      if (slow) return;  // holds the only ticket while the batch gathers
      return link.write(FakeServer::answer(200));
    }
    std::string ends;
    for (const auto& [id, end] : std::map<std::string, std::string>{
             {"b1", "ok"}, {"b2", "later"}, {"b3", "gone"}, {"b4", "error"}, {"b5", "error"}}) {
      if (link.request.body().find(id + " ") != std::string::npos) ends += id + " " + end + "\r\n";
    }
    link.write(FakeServer::answer(200, ends));
  };
  start();
  client->enqueue("m0", "unsafe");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  for (int i = 1; i <= 5; ++i) client->enqueue("b" + std::to_string(i), "unsafe");
  for (int i = 0; i < 6; ++i) ASSERT_EQ(client->line(), "+OK");
  slow = false;
  target.links[0]->write(FakeServer::answer(200));
  ASSERT_TRUE(until([&] { return discovery.notices.size() == 2 && owed() == 0; }));
  EXPECT_EQ(target.requests[1].target(), "/receive-many");
  EXPECT_NE(target.requests[1].body().find("b1 keyb1 5\r\nhello\r\n"), std::string::npos);
  EXPECT_EQ(discovery.outcomeOf("b4"), "given_up");
  EXPECT_EQ(discovery.outcomeOf("b5"), "given_up");
  EXPECT_EQ(discovery.posts, 1U);         // they ended together, and are told together
  ASSERT_EQ(target.requests.size(), 3U);  // b2 alone went again
  EXPECT_EQ(target.requests[2]["X-Request-Id"], "b2");
}

// ---- Discovery ----

// A target that is told to leave gets nothing new from the next round on.
TEST_F(NetFixture, SendsNothingToATargetThatLeaves) {
  FakeServer other(io, [](Link& link) { link.write(FakeServer::answer(200)); });
  config["known"]["targets"] = json::array({entry("t1", target.text()), entry("t2", other.text())});
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  EXPECT_EQ(discovery.server.requests[0].target(), "/discovery/hosts?watch=1&after=41");
  discovery.chunk("");
  discovery.chunk(
      json{{"rev", 42}, {"all", false}, {"targets", json::array({entry("t1", target.text(), "leaving")})}}
          .dump());
  pause(50);
  for (int i = 0; i < 6; ++i) {
    client->enqueue("m" + std::to_string(i), "safe");
    EXPECT_EQ(client->line(), "+OK");
    ASSERT_TRUE(until([&] { return other.requests.size() == static_cast<std::size_t>(i) + 1; }));
  }
  EXPECT_TRUE(target.requests.empty());
}

// Where nothing changed a keep-alive is all that comes: it answers the watch, or the module would ask anew
// each second and load discovery for nothing.
TEST_F(NetFixture, TakesAKeepAliveForTheAnswerToItsWatch) {
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  discovery.chunk("");
  pause(1'200);
  EXPECT_EQ(discovery.watches.size(), 1U);
}

// A value that is no list drops the watch alone; the next one goes on from the last version that was read.
// Half a value is none yet: lists may come over many lines.
TEST_F(NetFixture, WatchesAgainAfterABadLine) {
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  discovery.chunk(json{{"rev", 50}, {"all", false}, {"targets", json::array()}}.dump());
  discovery.chunk("{\"rev\":51,\"all\":}");
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 2; }));
  EXPECT_EQ(discovery.server.requests[1].target(), "/discovery/hosts?watch=1&after=50");
  client->enqueue("m1", "safe");
  EXPECT_EQ(client->line(), "+OK");
}

// A notice that is not answered 204 goes again until it is, and only then leaves the journal.
TEST_F(NetFixture, RepeatsANoticeUntilItIsAcknowledged) {
  discovery.refuse = 2;
  target.handler = [](Link& link) { link.reset(); };
  start();
  client->enqueue("m1", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return discovery.refuse == 0; }));
  EXPECT_TRUE(until([&] { return discovery.outcomeOf("m1") == "given_up"; }));
  EXPECT_TRUE(until([&] { return owed() == 0; }));
}

// ---- Restarts ----

// Killed while calls are out, each class ends as it may: the safe and the keyed one go again (the keyed one
// with the same key), the unsafe one may have run and is given up.
TEST_F(NetFixture, RecoversEachClassAfterAKill) {
  target.handler = [](Link&) {};
  FakeServer second(io, [](Link&) {}), third(io, [](Link&) {});
  config["known"]["targets"] =
      json::array({entry("t1", target.text(), "active", 7), entry("t2", second.text(), "active", 8),
                   entry("t3", third.text(), "active", 9)});
  start();
  client->enqueue("s1", "safe", 8'000, 7);
  client->enqueue("k1", "keyed", 8'000, 8);
  client->enqueue("u1", "unsafe", 8'000, 9);
  ASSERT_TRUE(
      until([&] { return target.requests.size() + second.requests.size() + third.requests.size() == 3; }));
  kill();
  for (FakeServer* server : {&target, &second, &third})
    server->handler = [](Link& link) { link.write(FakeServer::answer(200)); };
  start();
  ASSERT_TRUE(until([&] {
    return target.requests.size() == 2 && second.requests.size() == 2 && !discovery.notices.empty();
  }));
  EXPECT_EQ(second.requests[1]["Idempotency-Key"], "keyk1");
  EXPECT_EQ(second.requests[1].body(), "hello");
  EXPECT_EQ(discovery.outcomeOf("u1"), "given_up");
  EXPECT_EQ(third.requests.size(), 1U);
  EXPECT_TRUE(until([&] { return owed() == 0; }));
  EXPECT_EQ(discovery.notices.size(), 1U);
}

// The key is remembered for so long from the first risky send: a restart does not start that time anew.
TEST_F(NetFixture, DoesNotResendAKeyedMessagePastItsTime) {
  config["settings"]["classes"][1]["keyTtlUs"] = 200'000;
  target.handler = [](Link&) {};
  start();
  client->enqueue("k1", "keyed");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  kill();
  pause(250);
  start();
  ASSERT_TRUE(until([&] { return discovery.outcomeOf("k1") == "given_up"; }));
  EXPECT_EQ(target.requests.size(), 1U);
}

// What ran out of time while the forwarder was down is told at once, and a notice without its 204 goes again.
TEST_F(NetFixture, TellsWhatRanOutWhileItWasDown) {
  {
    Journal journal(folder.path(), 3'000'000);
    PendingMessage late;
    late.id = "late";
    late.destination = 7;
    late.deadline = 1;
    journal.accept(late);
    PendingMessage told;
    told.id = "told";
    told.destination = 7;
    told.deadline = 1;
    journal.recordNotice(journal.accept(told), {true, 250});
    ASSERT_TRUE(journal.commit());
  }
  start();
  ASSERT_TRUE(until([&] { return discovery.notices.size() == 2; }));
  EXPECT_EQ(discovery.outcomeOf("late"), "handed_back");
  EXPECT_EQ(discovery.outcomeOf("told"), "handed_back");
  EXPECT_TRUE(until([&] { return owed() == 0; }));
  EXPECT_TRUE(target.requests.empty());
}

// Attempts go on counting over a restart: a message that has had all of them is not called again.
TEST_F(NetFixture, CountsAttemptsOverARestart) {
  {
    Journal journal(folder.path(), 3'000'000);
    PendingMessage m;
    m.id = "tried";
    m.destination = 7;
    m.deadline = std::chrono::duration_cast<std::chrono::microseconds>(
                     std::chrono::steady_clock::now().time_since_epoch())
                     .count() +
                 8'000'000;
    PendingMessage& owed = journal.accept(m);
    for (int i = 0; i < 6; ++i) {
      journal.recordAttempt(owed, i, "t1", m.deadline - 9'000'000);
      journal.recordNotExecuted(owed, i);
    }
    ASSERT_TRUE(journal.commit());
  }
  start();
  ASSERT_TRUE(until([&] { return discovery.outcomeOf("tried") == "handed_back"; }));
  EXPECT_TRUE(target.requests.empty());
}

// SIGTERM: work goes on to be taken on, but no call starts that cannot end in time; its message waits on disk
// for the next process, which delivers it though it must not take effect twice.
TEST_F(NetFixture, DrainsWithoutStartingWhatCannotEnd) {
  config["settings"]["familyInfo"]["kindBatch"] = {1};
  target.handler = [](Link&) {};
  start();
  client->enqueue("m1", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  pause(100);  // a usual duration here: an unsafe call wants six times that
  target.links[0]->write(FakeServer::answer(200));
  ASSERT_TRUE(until([&] { return owed() == 0; }));
  client->enqueue("out", "safe");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return target.requests.size() == 2; }));
  bool drained = false;
  forwarder->drain(std::chrono::milliseconds(300), [&] { drained = true; });
  client->enqueue("m2", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return drained && client->closed; }));
  EXPECT_EQ(target.requests.size(), 2U);
  kill();
  target.handler = [](Link& link) { link.write(FakeServer::answer(200)); };
  start();
  ASSERT_TRUE(until([&] { return target.requests.size() == 4 && owed() == 0; }));
  EXPECT_TRUE(discovery.notices.empty());
}

// The program itself, on SIGTERM: lets a call end, goes on answering, and ends with status 0 before SIGKILL
// comes.
TEST_F(NetFixture, TheProgramEndsInTimeOnSigterm) {
  startProgram();
  std::shared_ptr<Link> held;
  target.handler = [&](Link&) { held = target.links.back(); };
  client->enqueue("m1", "unsafe");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return held != nullptr; }));
  const auto told = std::chrono::steady_clock::now();
  ::kill(program, SIGTERM);
  client->write(FakeClient::command({"PING"}));
  EXPECT_EQ(client->line(), "+PONG");
  held->write(FakeServer::answer(200));
  EXPECT_TRUE(until([&] { return programEnded(); }));
  EXPECT_LT(std::chrono::steady_clock::now() - told, std::chrono::milliseconds(3'700));
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0);
  EXPECT_EQ(owed(), 0U);
  EXPECT_TRUE(discovery.notices.empty());
}

// What cannot be used ends the program with status 1 and one line.
TEST_F(NetFixture, TheProgramSaysWhatIsWrongWithItsConfiguration) {
  const std::string path = folder.path() + "/config.json";
  std::ofstream(path) << "{\"name\":";
  const std::string command =
      "PROXY_CONFIG=" + path + " PROXY_STATE=" + folder.path() + " " FORWARDER " 2>&1";
  FILE* pipe = ::popen(command.c_str(), "r");
  ASSERT_NE(pipe, nullptr);
  std::string said;
  for (int c; (c = std::fgetc(pipe)) != EOF;) said += static_cast<char>(c);
  EXPECT_EQ(WEXITSTATUS(::pclose(pipe)), 1);
  EXPECT_EQ(said, "thistleyoke: the configuration '" + path + "' is not JSON\n");
}

// ---- The journal ----

PendingMessage message(const std::string& id, std::size_t bytes = 5) {
  PendingMessage m;
  m.id = id;
  m.key = "k";
  m.body = std::string(bytes, 'x');
  m.destination = 7;
  m.deadline = 99;
  return m;
}

// A process that dies in a write leaves half a record: that is cut, and what stood before it is kept.
TEST(JournalFile, CutsATornTail) {
  Folder folder;
  std::size_t whole = 0;
  {
    Journal journal(folder.path(), 3'000'000);
    journal.accept(message("m1"));
    ASSERT_TRUE(journal.commit());
    whole = journal.fileBytes();
    journal.accept(message("m2"));
    ASSERT_TRUE(journal.commit());
    std::filesystem::resize_file(folder.journal(), journal.fileBytes() - 3);
  }
  {
    Journal journal(folder.path(), 3'000'000);
    EXPECT_EQ(journal.pendingMessages().size(), 1U);
    EXPECT_NE(journal.find("m1"), nullptr);
    EXPECT_EQ(std::filesystem::file_size(folder.journal()), whole);
    journal.accept(message("m3"));
    ASSERT_TRUE(journal.commit());
  }
  Journal journal(folder.path(), 3'000'000);
  EXPECT_EQ(journal.pendingMessages().size(), 2U);
}

// A record whose bytes changed is no record.
TEST(JournalFile, NoticesAChangedByte) {
  Folder folder;
  {
    Journal journal(folder.path(), 3'000'000);
    journal.accept(message("m1", 100));
    ASSERT_TRUE(journal.commit());
  }
  std::fstream file(folder.journal(), std::ios::in | std::ios::out | std::ios::binary);
  file.seekp(60);
  file.put('y');
  file.close();
  EXPECT_TRUE(Journal(folder.path(), 3'000'000).pendingMessages().empty());
}

// Guards against a journal that cannot be read being taken for an empty one: the takeover would delete it.
TEST(JournalFile, PreviousOwnersJournalThatCannotBeReadIsNotTakenOver) {
  Folder folder;
  const std::string previous = Ownership(folder.path(), 1).journalPath();
  {
    Journal owner(folder.path(), 3'000'000, {}, std::make_unique<Ownership>(folder.path(), 1));
    owner.accept(message("m1"));
    ASSERT_TRUE(owner.commit());
  }
  ASSERT_TRUE(std::filesystem::exists(previous));
  std::filesystem::rename(previous, folder.path() + "/kept");
  std::filesystem::create_directory(previous);
  try {
    Journal successor(folder.path(), 3'000'000, {}, std::make_unique<Ownership>(folder.path(), 2));
    ADD_FAILURE() << successor.pendingMessages().size() << " messages taken over";
  } catch (const std::runtime_error& problem) {
    EXPECT_NE(std::string(problem.what()).find(previous), std::string::npos) << problem.what();
  }
  ASSERT_TRUE(std::filesystem::is_directory(previous));
  std::filesystem::remove(previous);
  std::filesystem::rename(folder.path() + "/kept", previous);
  Journal successor(folder.path(), 3'000'000, {}, std::make_unique<Ownership>(folder.path(), 3));
  EXPECT_NE(successor.find("m1"), nullptr);
}

// However much goes through, the folder stays under its limit, and everything that is owed is still there.
TEST(JournalFile, StaysUnderItsLimit) {
  Folder folder;
  constexpr std::size_t kLimit = 1'000'000;
  std::size_t taken = 0;
  {
    Journal journal(folder.path(), kLimit);
    for (int i = 0; i < 400; ++i) {
      const std::string id = "m" + std::to_string(i);
      if (!journal.hasRoomFor(id.size(), 1, 20'000)) continue;
      PendingMessage& m = journal.accept(message(id, 20'000));
      journal.recordAttempt(m, 0, "t1", 5);
      ASSERT_TRUE(journal.commit());
      ++taken;
      if (i % 2 == 0) {
        journal.recordEnd(id);
        ASSERT_TRUE(journal.commit());
        --taken;
      }
      std::size_t used = 0;
      for (const auto& file : std::filesystem::directory_iterator(folder.path())) used += file.file_size();
      ASSERT_LE(used, kLimit);
    }
  }
  EXPECT_GT(taken, 10U);
  const Journal again(folder.path(), kLimit);
  EXPECT_EQ(const_cast<Journal&>(again).pendingMessages().size(), taken);
}

// No room in the journal: the client hears -BUSY, and what was taken on before is still delivered.
TEST_F(NetFixture, RefusesWhatItsJournalHasNoRoomFor) {
  config["limits"]["disk_mb"] = 0.2;
  start();
  client->enqueue("big", "safe", 8'000, 7, std::string(60'000, 'x'));
  EXPECT_EQ(client->line().substr(0, 5), "-BUSY");
  client->enqueue("small", "safe");
  EXPECT_EQ(client->line(), "+OK");
  EXPECT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
}

// A write that fails means no +OK and no call; when writing works again, so does the service.
TEST_F(NetFixture, NeitherTakesOnNorSendsWhatItCannotWrite) {
  std::signal(SIGXFSZ, SIG_IGN);
  start();
  ASSERT_TRUE(until([&] { return discovery.watches.size() == 1; }));
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  rlimit none = before;
  none.rlim_cur = 0;
  setrlimit(RLIMIT_FSIZE, &none);
  client->enqueue("m1", "safe");
  const std::string answer = client->line();
  setrlimit(RLIMIT_FSIZE, &before);
  EXPECT_EQ(answer.substr(0, 5), "-BUSY");
  EXPECT_TRUE(target.requests.empty());
  client->enqueue("m2", "safe");
  EXPECT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1 && owed() == 0; }));
  EXPECT_EQ(target.requests[0]["X-Request-Id"], "m2");
}

// ---- Configuration ----

TEST_F(NetFixture, ReadsItsConfiguration) {
  config["unknown"] = 4;
  const PlatformConfig c = parsePlatformConfig(config, "x");
  EXPECT_EQ(c.settings.maxInFlightCalls, 8);
  EXPECT_EQ(c.settings.kinds.at(0).maxBatchSize, 10);
  EXPECT_EQ(c.settings.classes.at(1).effect, Effect::keyed);
  EXPECT_EQ(c.initialDirectory.revision, 41);
  EXPECT_EQ(c.initialDirectory.addresses.at("t1"), target.address());
  EXPECT_EQ(c.diskLimitBytes, 3'000'000U);
}

// What cannot be used is said in one plain line.
TEST_F(NetFixture, SaysWhatIsWrongWithItsConfiguration) {
  const std::vector<std::pair<std::string, json>> bad = {{"listen", "nowhere"},
                                                         {"settings", 3},
                                                         {"known", {{"rev", 1}}},
                                                         {"limits", {{"disk_mb", 0}}},
                                                         {"seed", "zz"}};
  for (const auto& [name, value] : bad) {
    json changed = config;
    changed[name] = value;
    try {
      parsePlatformConfig(changed, "x");
      ADD_FAILURE() << name;
    } catch (const std::runtime_error& problem) {
      EXPECT_EQ(std::string(problem.what()).find('\n'), std::string::npos);
      EXPECT_NE(std::string(problem.what()).find("configuration"), std::string::npos);
    }
  }
}

}  // namespace
}  // namespace quilltide::net::fixtures
