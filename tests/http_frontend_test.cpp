// The HTTP frontend as its clients see it: messages in, states and ends out, and everything that can be sent
// wrong.
#include <sys/resource.h>

#include <csignal>

#include "frontend/http/api.hpp"
#include "http_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using Link = FakeServer::Link;

// ---- One message ----

TEST_F(HttpFixture, TakesAMessageByHeadersAndDeliversItUnchanged) {
  startBoth();
  const std::string body("a\0\r\nb", 5);
  const HttpAnswer a = http->ask("POST", "/v1/messages", body,
                                 "Message-Id: m/1\r\nMessage-Class: keyed\r\nMessage-Destination: 7\r\n"
                                 "Message-Time-Left-Ms: 8000\r\nIdempotency-Key: k1\r\n");
  EXPECT_EQ(a.status, 202);
  EXPECT_EQ(a.header("Location"), "/v1/messages/m%2F1");
  EXPECT_EQ(a.parsed()["state"], "taken");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  EXPECT_EQ(target.requests[0]["X-Request-Id"], "m/1");
  EXPECT_EQ(target.requests[0]["Idempotency-Key"], "k1");
  EXPECT_EQ(target.requests[0].body(), body);
  const HttpAnswer state = http->ask("GET", a.header("Location") + "?wait_ms=2000");
  EXPECT_EQ(state.status, 200);
  EXPECT_EQ(state.parsed()["final"], "delivered");
  EXPECT_EQ(state.parsed()["class"], "keyed");
  EXPECT_EQ(state.parsed()["attempts"], 1);
}

TEST_F(HttpFixture, MakesAnIdWhereNoneIsGiven) {
  startBoth();
  const HttpAnswer a = http->ask("POST", "/v1/messages?class=safe&destination=7&time_left_ms=5000", "x");
  ASSERT_EQ(a.status, 202);
  const std::string id = a.parsed()["id"];
  EXPECT_EQ(id.size(), 32U);
  EXPECT_EQ(finalOf(id), "delivered");
}

TEST_F(HttpFixture, TellsWhatIsWrongWithAMessage) {
  startBoth();
  const std::string good = "class=safe&destination=7&time_left_ms=5000";
  const std::vector<std::pair<std::string, int>> bad = {
      {"destination=7&time_left_ms=5000", 400},
      {"class=other&destination=7&time_left_ms=5000", 400},
      {"class=%FF%FE&destination=7&time_left_ms=5000", 400},
      {"class=safe&time_left_ms=5000", 400},
      {"class=safe&destination=seven&time_left_ms=5000", 400},
      {"class=safe&destination=99999999999999999999&time_left_ms=5000", 400},
      {"class=safe&destination=99&time_left_ms=5000", 422},
      {"class=safe&destination=7", 400},
      {"class=safe&destination=7&time_left_ms=0", 400},
      {"class=safe&destination=7&time_left_ms=-5", 400},
      {"class=safe&destination=7&time_left_ms=86400001", 400},
      {"class=safe&destination=7&time_left_ms=1e3", 400},
      {good + "&id=a%20b", 400},
      {good + "&id=", 400},
      {good + "&id=" + std::string(257, 'i'), 400},
      {good + "&key=%0d%0aX-Evil:%201", 400},
      {good + "&class=safe", 400},
      {good + "&surprise=1", 400},
      {good + "&id=%4", 400},
      {good + "&id=%zz", 400}};
  for (const auto& [query, status] : bad) {
    const HttpAnswer a = talk()->ask("POST", "/v1/messages?" + query, "x");
    EXPECT_EQ(a.status, status) << query << " " << a.body;
    EXPECT_EQ(a.header("Content-Type"), "application/problem+json") << query;
    EXPECT_EQ(a.parsed().value("status", 0), status) << query;
    EXPECT_FALSE(a.parsed().value("detail", "").empty()) << query;
  }
  // A header and the query may both say it, if they say the same; a header may not come twice.
  EXPECT_EQ(http->ask("POST", "/v1/messages?" + good + "&id=h1", "x", "Message-Id: h2\r\n").status, 400);
  EXPECT_EQ(http->ask("POST", "/v1/messages?" + good, "x", "Message-Id: h1\r\nMessage-Id: h1\r\n").status,
            400);
  EXPECT_EQ(http->ask("POST", "/v1/messages?" + good + "&id=h1", "x", "Message-Id: h1\r\n").status, 202);
  EXPECT_EQ(owed() + target.requests.size(), effects("h1") + owed());
}

TEST_F(HttpFixture, AnswersWhatIsNotThere) {
  startBoth();
  EXPECT_EQ(http->ask("GET", "/v1/messages/nobody").status, 404);
  EXPECT_EQ(http->ask("GET", "/nothing").status, 404);
  EXPECT_TRUE(http->ended());  // what is refused at its head ends the connection: a body might follow
  const HttpAnswer put = talk()->ask("PUT", "/v1/messages", "x");
  EXPECT_EQ(put.status, 405);
  EXPECT_EQ(put.header("Allow"), "POST");
  EXPECT_EQ(talk()->ask("POST", "/v1/ends", "x").header("Allow"), "GET");
}

// A refusal for want of room is this forwarder's, and tells a wait.
TEST_F(HttpFixture, TellsAWaitWithARefusal) {
  target.handler = [](Link&) {};
  config["settings"]["limits"]["maxOpen"] = 1;
  startBoth();
  ASSERT_EQ(http->hand("m", "safe").status, 202);
  const HttpAnswer busy = http->hand("more", "safe");
  EXPECT_EQ(busy.status, 503);
  EXPECT_EQ(busy.parsed()["type"], "urn:thistleyoke:problem:no-room");
  EXPECT_EQ(busy.header("Retry-After"), "1");
  EXPECT_EQ(busy.header("Retry-In-Ms"), "1000");
  EXPECT_EQ(busy.parsed()["retry_in_ms"], 1000);
  EXPECT_EQ(http->ask("GET", "/v1/messages/more").status, 404);
}

// Each word of the engine has one answer of the frontend's; a wait is rounded up, never down.
TEST(HttpApi, HasAnAnswerForEachReply) {
  const SettingNames names{{"safe"}, {}, {}};
  const auto problem = [&](Reply::Kind kind, Reply::Reason reason, Micros wait) {
    return std::get<api::Problem>(api::responseTo({kind, reason, wait}, "m", {}, names, 1'000'000));
  };
  using Kind = Reply::Kind;
  using Reason = Reply::Reason;
  EXPECT_EQ(problem(Kind::rejected, Reason::destinationBusy, 250'001).status, 429);
  EXPECT_EQ(api::toJson(problem(Kind::rejected, Reason::destinationBusy, 250'001))["retry_in_ms"], 251);
  EXPECT_EQ(problem(Kind::rejected, Reason::destinationBusy, 0).retryAfterUs, 1'000'000);
  EXPECT_EQ(problem(Kind::rejected, Reason::noCapacity, 0).status, 503);
  EXPECT_EQ(problem(Kind::conflict, Reason::idConflict, 0).status, 409);
  EXPECT_EQ(problem(Kind::failed, Reason::unknownDestination, 0).status, 422);
  EXPECT_EQ(problem(Kind::failed, Reason::deliveryFailed, 0).status, 504);
  EXPECT_EQ(std::get<api::Success>(api::responseTo({Kind::acknowledged}, "m", {}, names, 0)).status, 202);
  EXPECT_EQ(std::get<api::Success>(api::responseTo({Kind::duplicate}, "m", {}, names, 0)).status, 200);
}

// ---- Many ----

TEST_F(HttpFixture, AnswersABatchLineByLine) {
  startBoth();
  const std::string body =
      R"({"id":"b1","class":"safe","destination":7,"time_left_ms":5000,"body":"one"})"
      "\n"
      R"({"id":"b2","class":"safe","destination":99,"time_left_ms":5000})"
      "\r\n\n"
      R"({"id":"b3","class":"keyed","key":"k3","destination":7,"time_left_ms":5000,"body_base64":"AP8KDQ=="})"
      "\n"
      R"({"id":"b1","class":"safe","destination":7,"time_left_ms":5000,"body":"one"})"
      "\n"
      R"({"id":"b1","class":"safe","destination":7,"time_left_ms":5000,"body":"another"})"
      "\nnonsense\n"
      R"({"id":"b4","id":"b5","class":"safe","destination":7,"time_left_ms":5000})"
      "\n"
      R"({"id":"b6","class":"safe","destination":7,"time_left_ms":5000,"body_base64":"A=B="})"
      "\n"
      R"({"id":"b7","class":"safe","destination":"7","time_left_ms":5000})";
  const HttpAnswer a = http->ask("POST", "/v1/messages/batch", body);
  ASSERT_EQ(a.status, 200);
  std::vector<json> lines;
  std::istringstream text(a.body);
  for (std::string line; std::getline(text, line);) lines.push_back(json::parse(line));
  ASSERT_EQ(lines.size(), 9U);
  const std::vector<int> statuses = {202, 422, 202, 202, 409, 400, 400, 400, 400};
  for (std::size_t i = 0; i < lines.size(); ++i) EXPECT_EQ(lines[i]["status"], statuses[i]) << i << a.body;
  EXPECT_EQ(lines[4]["id"], "b1");
  EXPECT_EQ(finalOf("b1"), "delivered");
  EXPECT_EQ(finalOf("b3"), "delivered");
  ASSERT_EQ(target.requests.size(), 2U);
  const bool first = target.requests[0]["X-Request-Id"] == "b1";
  EXPECT_EQ(target.requests[first ? 0 : 1].body(), "one");
  EXPECT_EQ(target.requests[first ? 1 : 0].body(), std::string("\0\xff\n\r", 4));
}

TEST_F(HttpFixture, BoundsABatch) {
  product.http->maxBatchLines = 3;
  startBoth();
  EXPECT_EQ(http->ask("POST", "/v1/messages/batch", "{}\n{}\n{}\n{}\n").status, 413);
  EXPECT_EQ(http->ask("POST", "/v1/messages/batch", "\n\n").status, 400);
  EXPECT_EQ(http->ask("POST", "/v1/messages/batch", "{}\n{}\n{}\n").status, 200);
}

// ---- The same id ----

TEST_F(HttpFixture, TakesTheSameIdOnceThroughBothFrontendsAtTheSameMoment) {
  startBoth();
  client->enqueue("same", "keyed");
  http->write(HttpTalk::request(
      "POST", "/v1/messages?id=same&class=keyed&destination=7&time_left_ms=8000&key=keysame", "hello"));
  EXPECT_EQ(client->line(), "+OK");
  const int status = http->answer().status;
  EXPECT_TRUE(status == 202 || status == 200) << status;
  EXPECT_EQ(finalOf("same"), "delivered");
  EXPECT_EQ(effects("same"), 1U);
}

TEST_F(HttpFixture, KnowsAnIdWhileItIsHeldAfterItEndedAndAfterARestart) {
  bool silent = true;
  target.handler = [&](Link& link) {
    if (!silent) link.write(FakeServer::answer(200));
  };
  startBoth();
  ASSERT_EQ(http->hand("m", "safe").status, 202);
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  const HttpAnswer held = http->hand("m", "safe");
  EXPECT_EQ(held.status, 200);
  EXPECT_EQ(held.parsed()["state"], "called");
  EXPECT_EQ(http->hand("m", "safe", "other").status, 409);
  EXPECT_EQ(http->hand("m", "safe", "hello", "&key=k").status, 409);
  client->write(FakeClient::command({"ENQUEUE", "0", "m", "c=safe,d=8000,dest=7", "other"}));
  EXPECT_EQ(client->line(), "-ERR the id belongs to another message");
  client->write(FakeClient::command({"ENQUEUE", "0", "m", "c=safe,d=8000,dest=7", "hello"}));
  EXPECT_EQ(client->line(), "+OK");
  silent = false;
  target.links.front()->write(FakeServer::answer(200));
  EXPECT_EQ(finalOf("m"), "delivered");
  for (int pass = 0; pass < 2; ++pass) {  // the second one after a restart
    const HttpAnswer again = http->hand("m", "safe");
    EXPECT_EQ(again.status, 200) << pass;
    EXPECT_EQ(again.parsed()["final"], "delivered") << pass;
    EXPECT_EQ(http->hand("m", "safe", "other").status, 409) << pass;
    client->write(FakeClient::command({"ENQUEUE", "0", "m", "c=safe,d=8000,dest=7", "hello"}));
    EXPECT_EQ(client->line(), "+OK");
    if (pass == 0) restart();
  }
  EXPECT_EQ(effects("m"), 1U);
}

// What could not be written was not taken on: the next try with that id is a new message and no repeat.
TEST_F(HttpFixture, DoesNotTakeAnIdForKnownThatItRefusedForItsDisk) {
  startBoth();
  rlimit before{};
  getrlimit(RLIMIT_FSIZE, &before);
  std::signal(SIGXFSZ, SIG_IGN);
  rlimit none = before;
  none.rlim_cur = 1;
  setrlimit(RLIMIT_FSIZE, &none);
  EXPECT_EQ(http->hand("m", "unsafe").status, 503);
  setrlimit(RLIMIT_FSIZE, &before);
  EXPECT_EQ(http->ask("GET", "/v1/messages/m").status, 404);
  EXPECT_EQ(http->hand("m", "unsafe").status, 202);
  EXPECT_EQ(finalOf("m"), "delivered");
}

// ---- Final answers ----

TEST_F(HttpFixture, TellsEachKindOfEndAndKeepsItOverARestart) {
  target.handler = [](Link& link) {
    const std::string id(link.request["X-Request-Id"]);
    if (id == "lost") return link.reset();
    if (id == "gone") return link.write(FakeServer::answer(410));
    link.write(FakeServer::answer(200));
  };
  startBoth();
  for (const char* id : {"fine", "gone"}) ASSERT_EQ(http->hand(id, "safe").status, 202);
  ASSERT_EQ(http->hand("lost", "unsafe").status, 202);
  for (int pass = 0; pass < 2; ++pass) {
    EXPECT_EQ(finalOf("fine"), "delivered");
    EXPECT_EQ(finalOf("gone"), "over");
    EXPECT_EQ(finalOf("lost"), "given_up");
    if (pass == 0) restart();
  }
  EXPECT_EQ(discovery.outcomeOf("lost"), "given_up");
}

// Between an outcome and its write the end may not be told, and it is not forgotten either: whoever asks then
// finds the message still open. Looked at after every single step of the loop.
TEST_F(HttpFixture, HasNoMomentWithoutAnAnswer) {
  startBoth();
  client->enqueue("m", "safe");
  EXPECT_EQ(client->line(), "+OK");
  MessageStatus seen;
  for (int i = 0; i < 200'000 && seen.finalOutcome == nullptr; ++i) {
    loops.fakes.restart();
    loops.fakes.poll();
    loops.own->restart();
    loops.own->poll_one();
    seen = forwarder->engine().status("m");
    ASSERT_FALSE(seen.state == MessageStatus::State::ended && seen.finalOutcome == nullptr);
    ASSERT_NE(seen.state, MessageStatus::State::unknown);
  }
  ASSERT_NE(seen.finalOutcome, nullptr);
  EXPECT_EQ(seen.finalOutcome->finalState, FinalState::delivered);
}

TEST_F(HttpFixture, ForgetsAnAnswerAfterItsTimeAndSaysSo) {
  product.http->outcomeRetention = {50'000, 1'000};
  startBoth();
  ASSERT_EQ(http->hand("m", "safe").status, 202);
  EXPECT_EQ(finalOf("m"), "delivered");
  pause(80);
  ASSERT_EQ(http->hand("another", "safe").status, 202);
  EXPECT_EQ(http->ask("GET", "/v1/messages/m").status, 410);
  EXPECT_EQ(http->hand("m", "safe").status, 200);  // known still, though not how it ended
}

// Answers are promised for a time: with every place for them taken nothing new is taken on.
TEST_F(HttpFixture, RefusesRatherThanForgetAnAnswerBeforeItsTime) {
  product.http->outcomeRetention = {60'000'000, 3};
  startBoth();
  for (const char* id : {"a", "b", "c"}) {
    ASSERT_EQ(http->hand(id, "safe").status, 202);
    EXPECT_EQ(finalOf(id), "delivered");
  }
  EXPECT_EQ(http->hand("d", "safe").status, 503);
  EXPECT_EQ(finalOf("a"), "delivered");
}

TEST_F(HttpFixture, ALongPollHearsTheEndAtOnceAndElseTheState) {
  target.handler = [](Link&) {};
  startBoth();
  ASSERT_EQ(http->hand("m", "safe").status, 202);
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  EXPECT_EQ(http->ask("GET", "/v1/messages/m?wait_ms=60").parsed()["state"], "called");
  auto first = talk(), second = talk();
  for (auto* one : {first.get(), second.get()})
    one->write(HttpTalk::request("GET", "/v1/messages/m?wait_ms=5000"));
  pause(50);
  EXPECT_EQ(first->in, "");
  target.links.front()->write(FakeServer::answer(200));
  EXPECT_EQ(first->answer(std::chrono::seconds(1)).parsed()["final"], "delivered");
  EXPECT_EQ(second->answer(std::chrono::seconds(1)).parsed()["final"], "delivered");
  EXPECT_EQ(http->ask("GET", "/v1/messages/m?wait_ms=soon").status, 400);
}

// Those who wait take no place that others need to hand messages in, and one that went away gives its place
// back.
TEST_F(HttpFixture, LeavesPlacesFreeOfThoseWhoWait) {
  target.handler = [](Link&) {};
  product.http->maxConnections = 8;
  startBoth();
  ASSERT_EQ(http->hand("m", "safe").status, 202);
  std::vector<std::unique_ptr<HttpTalk>> waiting;
  for (int i = 0; i < 6; ++i) {
    waiting.push_back(talk());
    waiting.back()->write(HttpTalk::request("GET", "/v1/messages/m?wait_ms=20000"));
  }
  pause(50);
  EXPECT_EQ(http->ask("GET", "/v1/messages/m?wait_ms=20000").status, 503);
  EXPECT_EQ(http->ask("GET", "/v1/messages/m").status, 200);
  waiting[2]->close();
  pause(50);
  http->write(HttpTalk::request("GET", "/v1/messages/m?wait_ms=50"));
  EXPECT_EQ(http->answer().status, 200);
}

// ---- The stream of ends ----

std::vector<std::string> idsIn(const std::string& stream) {
  std::vector<std::string> ids;
  for (std::size_t at = 0; (at = stream.find("data: {\"", at)) != std::string::npos; ++at) {
    const json data = json::parse(stream.substr(at + 6, stream.find('\n', at) - at - 6));
    if (data.contains("final")) ids.push_back(data["id"]);
  }
  return ids;
}

TEST_F(HttpFixture, StreamsEndsInOrderAndResumesFromAPlaceOverARestart) {
  startBoth();
  auto stream = talk();
  stream->write(HttpTalk::request("GET", "/v1/ends?after=0"));
  std::vector<std::string> handed;
  for (int i = 0; i < 5; ++i) {
    handed.push_back("s" + std::to_string(i));
    ASSERT_EQ(http->hand(handed.back(), "safe").status, 202);
    ASSERT_EQ(finalOf(handed.back()), "delivered");
  }
  ASSERT_TRUE(until([&] { return idsIn(stream->in).size() == 5; }));
  EXPECT_EQ(idsIn(stream->in), handed);
  EXPECT_NE(stream->in.find("Content-Type: text/event-stream"), std::string::npos);
  const std::size_t third = stream->in.find("\"s2\"");
  const std::size_t at = stream->in.rfind("id: ", third) + 4;
  const std::string place = stream->in.substr(at, stream->in.find('\n', at) - at);
  restart();
  ASSERT_EQ(http->hand("after", "safe").status, 202);
  ASSERT_EQ(finalOf("after"), "delivered");
  auto resumed = talk();
  resumed->write(HttpTalk::request("GET", "/v1/ends", "", "Last-Event-ID: " + place + "\r\n"));
  ASSERT_TRUE(until([&] { return idsIn(resumed->in).size() >= 3; }));
  EXPECT_EQ(idsIn(resumed->in), (std::vector<std::string>{"s3", "s4", "after"}));
  EXPECT_EQ(resumed->in.find("event: gap"), std::string::npos);
  EXPECT_EQ(talk()->ask("GET", "/v1/ends?after=x-1").status, 400);
}

TEST_F(HttpFixture, SaysWhereAStreamHasAGapOrAnotherPast) {
  product.http->outcomeRetention = {50'000, 1'000};
  startBoth();
  for (const char* id : {"a", "b"}) {
    ASSERT_EQ(http->hand(id, "safe").status, 202);
    ASSERT_EQ(finalOf(id), "delivered");
  }
  pause(80);
  ASSERT_EQ(http->hand("c", "safe").status, 202);
  ASSERT_EQ(finalOf("c"), "delivered");
  auto late = talk();
  late->write(HttpTalk::request("GET", "/v1/ends?after=0"));
  ASSERT_TRUE(until([&] { return idsIn(late->in).size() == 1; }));
  EXPECT_NE(late->in.find("event: gap\ndata: {\"from\":1,\"to\":2}"), std::string::npos) << late->in;
  auto other = talk();  // a place in a journal that is no more
  other->write(HttpTalk::request("GET", "/v1/ends?after=12-3456"));
  ASSERT_TRUE(until([&] { return other->in.find("event: reset") != std::string::npos; }));
}

// Who does not read its stream holds no more than one piece of it, and none of the others up.
TEST_F(HttpFixture, AStreamThatIsNotReadHoldsNobodyUp) {
  startBoth();
  auto deaf = talk(), good = talk();
  deaf->stopReading();
  for (auto* one : {deaf.get(), good.get()}) one->write(HttpTalk::request("GET", "/v1/ends?after=0"));
  for (int i = 0; i < 100; ++i) ASSERT_EQ(http->hand("m" + std::to_string(i), "safe").status, 202);
  EXPECT_TRUE(until([&] { return idsIn(good->in).size() == 100; }));
}

// ---- What is sent wrong ----

struct Wrong {
  const char* name;
  std::string bytes;
  int status;
};

class WrongRequests : public HttpFixture {};

// Each is answered with an error and a close, and nothing is taken on that was not answered: no second
// request may be found in what follows.
TEST_F(WrongRequests, EndWithOneErrorAndNothingTaken) {
  startBoth();
  const std::string line = "POST /v1/messages?id=w&class=safe&destination=7&time_left_ms=5000 HTTP/1.1\r\n";
  const std::string inner =
      "POST /v1/messages?id=smuggled&class=safe&destination=7&time_left_ms=5000 HTTP/1.1\r\nHost: f\r\n"
      "Content-Length: 1\r\n\r\nx";
  const std::vector<Wrong> all = {
      {"no HTTP", "hello there\r\n\r\n", 400},
      {"RESP", "*1\r\n$4\r\nPING\r\n", 400},
      {"no host", line + "Content-Length: 1\r\n\r\nx", 400},
      {"two hosts", line + "Host: a\r\nHost: b\r\nContent-Length: 1\r\n\r\nx", 400},
      {"two lengths", line + "Host: f\r\nContent-Length: 1\r\nContent-Length: 90\r\n\r\nx" + inner, 400},
      {"two same lengths", line + "Host: f\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\nx", 400},
      {"a list of lengths", line + "Host: f\r\nContent-Length: 1, 1\r\n\r\nx", 400},
      {"a negative length", line + "Host: f\r\nContent-Length: -1\r\n\r\nx", 400},
      {"a signed length", line + "Host: f\r\nContent-Length: +1\r\n\r\nx", 400},
      {"no number", line + "Host: f\r\nContent-Length: one\r\n\r\nx", 400},
      {"a length beyond counting", line + "Host: f\r\nContent-Length: 99999999999999999999999\r\n\r\nx", 400},
      {"a huge length", line + "Host: f\r\nContent-Length: 60000000\r\n\r\nx", 413},
      {"one over the limit", line + "Host: f\r\nContent-Length: 65537\r\n\r\nx", 413},
      {"both framings",
       line + "Host: f\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + inner, 400},
      {"both framings, other way",
       line + "Host: f\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + inner, 400},
      {"a coding unknown", line + "Host: f\r\nTransfer-Encoding: xchunked\r\n\r\n" + inner, 501},
      {"a coding twice",
       line + "Host: f\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n\r\n0\r\n\r\n" + inner,
       400},
      {"a coding before chunked", line + "Host: f\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 501},
      {"a space before the colon", line + "Host: f\r\nContent-Length : 1\r\n\r\nx", 400},
      {"a bare line feed", "POST /v1/messages HTTP/1.1\nHost: f\nContent-Length: 1\n\nx", 400},
      {"a chunk of no length", line + "Host: f\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
       400},
      {"a negative chunk", line + "Host: f\r\nTransfer-Encoding: chunked\r\n\r\n-1\r\nx\r\n0\r\n\r\n", 400},
      {"an old version", "POST /v1/messages HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", 400},
      {"a newer version", "POST /v1/messages HTTP/2.0\r\nHost: f\r\n\r\n", 400},
      {"another expectation", line + "Host: f\r\nExpect: a-miracle\r\nContent-Length: 1\r\n\r\nx", 417},
      {"an upgrade", line + "Host: f\r\nUpgrade: h2c\r\nConnection: Upgrade\r\nContent-Length: 1\r\n\r\nx",
       501},
      {"a head without end", line + "X-Long: " + std::string(20'000, 'l'), 431},
      {"a whole URI", "GET http://elsewhere/v1/ends HTTP/1.1\r\nHost: f\r\n\r\n", 400},
      {"a body on a GET", "GET /v1/messages/x HTTP/1.1\r\nHost: f\r\nContent-Length: 5\r\n\r\nhello", 413},
  };
  for (const Wrong& wrong : all) {
    auto one = talk();
    one->write(wrong.bytes);
    const HttpAnswer a = one->answer();
    EXPECT_EQ(a.status, wrong.status) << wrong.name << ": " << a.body;
    EXPECT_EQ(a.header("Content-Type"), "application/problem+json") << wrong.name;
    EXPECT_TRUE(one->ended(std::chrono::seconds(2))) << wrong.name;
    EXPECT_EQ(one->in, "") << wrong.name;  // one answer and no more
  }
  EXPECT_EQ(http->ask("GET", "/v1/messages/smuggled").status, 404);
  EXPECT_EQ(http->ask("GET", "/v1/messages/w").status, 404);
  EXPECT_EQ(owed(), 0U);
  EXPECT_TRUE(target.requests.empty());
}

TEST_F(HttpFixture, ReadsChunkedBodiesAndBoundsThem) {
  startBoth();
  const std::string line =
      "POST /v1/messages?id=c&class=safe&destination=7&time_left_ms=5000 HTTP/1.1\r\nHost: f\r\n"
      "Transfer-Encoding: chunked\r\n\r\n";
  http->write(line + "3\r\nabc\r\n2;note=x\r\nde\r\n0\r\n\r\n");
  EXPECT_EQ(http->answer().status, 202);
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  EXPECT_EQ(target.requests[0].body(), "abcde");
  auto big = talk();
  big->write(line);
  const std::string piece = "4000\r\n" + std::string(0x4000, 'x') + "\r\n";
  for (int i = 0; i < 5; ++i) big->write(piece);
  EXPECT_EQ(big->answer().status, 413);
}

TEST_F(HttpFixture, AnswersAPipelineInOrder) {
  startBoth();
  std::string all;
  for (int i = 0; i < 20; ++i)
    all += HttpTalk::request(
        "POST", "/v1/messages?id=p" + std::to_string(i) + "&class=safe&destination=7&time_left_ms=5000", "x");
  http->write(all);
  for (int i = 0; i < 20; ++i) {
    const HttpAnswer a = http->answer();
    ASSERT_EQ(a.status, 202);
    EXPECT_EQ(a.parsed()["id"], "p" + std::to_string(i));
  }
}

// A pipeline without a message is answered whole and in order too, but has to wait for turns.
TEST_F(HttpFixture, AnswersAFloodOfQuestionsInTurns) {
  startBoth();
  std::string all;
  for (int i = 0; i < 60; ++i)
    all += HttpTalk::request("GET", i % 3 == 0 ? "/v1/ends?after=nowhere" : "/v1/messages/n", "");
  const auto begun = std::chrono::steady_clock::now();
  http->write(all);
  for (int i = 0; i < 60; ++i) {
    const HttpAnswer a = http->answer();
    ASSERT_EQ(a.status, i % 3 == 0 ? 400 : 404) << i << a.body;
  }
  EXPECT_GE(std::chrono::steady_clock::now() - begun, std::chrono::milliseconds(20));
  http->write(HttpTalk::request("POST", "/v1/messages?id=p&class=safe&destination=7&time_left_ms=5000", "x"));
  EXPECT_EQ(http->answer().status, 202);
}

TEST_F(HttpFixture, GoesOnAfter100Continue) {
  startBoth();
  http->write(
      "POST /v1/messages?id=e&class=safe&destination=7&time_left_ms=5000 HTTP/1.1\r\nHost: f\r\n"
      "Expect: 100-continue\r\nContent-Length: 3\r\n\r\n");
  EXPECT_EQ(http->answer().status, 100);
  http->write("abc");
  EXPECT_EQ(http->answer().status, 202);
  // Where the answer is no anyway, the body is not asked for.
  http->write(
      "POST /v1/messages?id=e2 HTTP/1.1\r\nHost: f\r\nExpect: 100-continue\r\nContent-Length: 70000\r\n\r\n");
  EXPECT_EQ(http->answer().status, 413);
}

TEST_F(HttpFixture, EndsARequestThatIsTooSlow) {
  product.http->requestTimeout = std::chrono::milliseconds(150);
  startBoth();
  const std::string slow =
      HttpTalk::request("POST", "/v1/messages?id=s&class=safe&destination=7&time_left_ms=5000", "xyz");
  http->write(slow.substr(0, slow.size() - 1));
  for (int i = 0; i < 3; ++i) {
    pause(30);
    auto drip = talk();
    drip->write("POST /v1");
  }
  EXPECT_EQ(http->answer().status, 408);
  auto silent = talk();
  EXPECT_TRUE(silent->ended(std::chrono::seconds(2)));
  EXPECT_EQ(owed(), 0U);
}

// Many bodies that do not end may not take more memory than the frontend's share: those that have made no
// progress for longest are told so.
TEST_F(HttpFixture, BoundsUnfinishedBodiesTogether) {
  config["limits"]["memory_mb"] = 4;  // an eighth, and of it half: 250,000 bytes
  config["limits"]["disk_mb"] = 3;
  product.http->outcomeRetention = {60'000'000, 100};
  startBoth();
  std::vector<std::unique_ptr<HttpTalk>> open;
  for (int i = 0; i < 8; ++i) {
    open.push_back(talk());
    open.back()->write(
        "POST /v1/messages?id=u&class=safe&destination=7&time_left_ms=5000 HTTP/1.1\r\nHost: f\r\n"
        "Content-Length: 60000\r\n\r\nhalf");
    pause(20);
  }
  for (std::size_t i = 0; i < open.size(); ++i)
    EXPECT_EQ(open[i]->answer(std::chrono::milliseconds(100)).status, i < 4 ? 503 : 0) << i;
  for (auto& one : open) one->close();
  pause(50);
  EXPECT_EQ(http->hand("fits", "safe", std::string(60'000, 'x')).status, 202);
}

// ---- Places ----

TEST_F(HttpFixture, TurnsAwayWithAnAnswerWhenEveryPlaceIsTaken) {
  product.http->maxConnections = 8;
  target.handler = [](Link&) {};
  startBoth();
  std::vector<std::unique_ptr<HttpTalk>> busy;
  for (int i = 0; i < 6; ++i) {  // half requests: they cannot make room
    busy.push_back(talk());
    busy.back()->write("POST /v1/messages HTTP/1.1\r\n");
  }
  ASSERT_EQ(http->hand("m", "safe").status, 202);
  pause(20);
  auto extra = talk();
  extra->write("POST /v1/mess");
  pause(20);
  auto turned = talk();
  const HttpAnswer a = turned->answer();
  EXPECT_EQ(a.status, 503);
  EXPECT_EQ(a.header("Retry-After"), "1");
  EXPECT_TRUE(turned->ended(std::chrono::seconds(2)));
  client->write(FakeClient::command({"PING"}));
  EXPECT_EQ(client->line(), "+PONG");  // the other frontend has its own places
}

TEST_F(HttpFixture, MakesRoomFromThoseThatNeverAskedAnything) {
  product.http->maxConnections = 8;
  startBoth();
  std::vector<std::unique_ptr<HttpTalk>> silent;
  for (int i = 0; i < 20; ++i) {
    silent.push_back(talk());
    pause(2);
  }
  EXPECT_EQ(talk()->hand("m", "safe").status, 202);
}

// ---- Ends of the process ----

TEST_F(HttpFixture, DrainsBothFrontends) {
  std::vector<std::shared_ptr<FakeServer::Link>> held;
  target.handler = [&](Link&) {};
  startBoth();
  ASSERT_EQ(http->hand("m", "safe").status, 202);
  auto poll = talk(), stream = talk(), idle = talk();
  poll->write(HttpTalk::request("GET", "/v1/messages/m?wait_ms=20000"));
  stream->write(HttpTalk::request("GET", "/v1/ends"));
  ASSERT_TRUE(until([&] { return stream->in.find("text/event-stream") != std::string::npos; }));
  pause(20);
  bool drained = false;
  forwarder->drain(std::chrono::milliseconds(200), [&] { drained = true; });
  EXPECT_TRUE(idle->ended());
  auto late = talk();  // new connections go on coming for a while
  const HttpAnswer a = late->hand("late", "safe");
  EXPECT_EQ(a.status, 202);
  EXPECT_EQ(a.header("Connection"), "close");
  EXPECT_EQ(poll->answer().parsed()["state"], "called");
  EXPECT_TRUE(stream->ended());
  EXPECT_TRUE(until([&] { return drained; }));
  EXPECT_EQ(owed(), 2U);
}

}  // namespace
}  // namespace quilltide::net::fixtures
