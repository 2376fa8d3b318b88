// Search for a new leading coordinator by a member that holds a lease: retry pauses in virtual time, the
// order in which coordinators are asked, and the session client against coordinators on loopback.
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <functional>
#include <random>

#include "clock/clock.hpp"
#include "coordinator/http_server.hpp"
#include "event_loop.hpp"
#include "fleet/lease_client/coordinator_selector.hpp"
#include "fleet/lease_client/lease_client.hpp"
#include "fleet/session_client/session_client.hpp"
#include "fleet/state/state.hpp"
#include "fleet/wire/wire.hpp"

namespace quilltide::fleet {
namespace {

constexpr Micros kMillisecond = 1'000, kSecond = 1'000'000;
constexpr SessionId kSession = 5;

// ---- Retry pauses of the lease client, in virtual time ----

// A lease client that holds the lease "l", and the answers of coordinators to it.
struct Holder {
  explicit Holder(const LeaseClient::Settings& settings) : client(settings) {}

  Result result() {
    Result r;
    r.index = ++index;
    return r;
  }
  void answer(const LeaseClient::Request& request, Micros now) {
    Result r = result();
    if (std::holds_alternative<OpenSession>(request.command)) r.session = kSession;
    if (std::holds_alternative<AcquireLease>(request.command)) r.token = 1;
    if (std::holds_alternative<RenewSessions>(request.command)) r.renewals = {{kSession, true, holdings}};
    if (std::holds_alternative<AcquireLease>(request.command)) holdings = {{"l", 1, false}};
    client.handleResult(request.id, r, now);
  }
  // Answers all requests until nothing is due.
  void answerAll(Micros now) {
    for (auto due = client.takeRequests(now); !due.empty(); due = client.takeRequests(now))
      for (const LeaseClient::Request& request : due) answer(request, now);
  }
  // Earliest time after `now` at which the client sends a request, at most `until`.
  std::vector<LeaseClient::Request> advanceToNextRequest(Micros& now, Micros until) {
    while (now < until) {
      now = std::min(until, client.nextWakeup(now));
      client.takeEvents(now);
      if (auto due = client.takeRequests(now); !due.empty()) return due;
    }
    return {};
  }

  LeaseClient client;
  LogIndex index = 0;
  std::vector<HeldLease> holdings;
};

LeaseClient::Settings leaseSettings(Micros ttl, std::uint64_t seed = 1) {
  LeaseClient::Settings s;
  s.memberName = "m";
  s.nonce = "n";
  s.ttl = ttl;
  s.requestTimeout = ttl / 4;
  s.jitterSeed = seed;
  return s;
}

Micros startOfTest() { return 1'000 * kSecond; }

void holdLease(Holder& holder, Micros now) {
  holder.client.acquire("l");
  holder.answerAll(now);
  ASSERT_TRUE(holder.client.holds("l", now));
  holder.client.takeEvents(now);
}

// Guards against a pause between renewals that is longer than what is left of the term.
TEST(FailoverTest, PausesBetweenFailedRenewalsAreATenthOfTheRemainingTerm) {
  for (const Micros ttl : {2 * kSecond, 10 * kSecond}) {
    const LeaseClient::Settings settings = leaseSettings(ttl);
    Holder holder(settings);
    Micros now = startOfTest();
    holdLease(holder, now);
    const Micros termEnd = now + ttl * 99 / 100;
    std::optional<Micros> lastFailure;
    while (now < termEnd) {
      const auto due = holder.advanceToNextRequest(now, termEnd);
      if (due.empty()) break;
      if (lastFailure) {
        const Micros remaining = termEnd - *lastFailure;
        EXPECT_LE(now - *lastFailure, std::max(settings.minRetryPause, remaining / 10) + 1)
            << "with " << remaining << " us of " << ttl << " us left";
      }
      for (const LeaseClient::Request& request : due) holder.client.handleFailure(request.id, now);
      lastFailure = now;
    }
    EXPECT_TRUE(lastFailure);
  }
}

// Guards against renewals that wait for the pause after a failed write.
TEST(FailoverTest, FailedWriteDoesNotDelayRenewals) {
  Holder holder(leaseSettings(10 * kSecond));
  Micros now = startOfTest();
  holdLease(holder, now);
  const Micros renewalDue = now + 10 * kSecond / 3;
  holder.client.put("key", "value");
  while (now < renewalDue + kSecond) {
    for (const LeaseClient::Request& request : holder.advanceToNextRequest(now, renewalDue + kSecond)) {
      if (std::holds_alternative<RenewSessions>(request.command)) {
        EXPECT_LE(now, renewalDue);
        return;
      }
      holder.client.handleFailure(request.id, now);
    }
  }
  FAIL() << "no renewal was sent";
}

// After the term there is nothing left to save: members do not keep asking at the highest rate.
TEST(FailoverTest, PausesGrowToTheirMaximumAfterTheTerm) {
  const LeaseClient::Settings settings = leaseSettings(2 * kSecond);
  Holder holder(settings);
  Micros now = startOfTest();
  holdLease(holder, now);
  const Micros termEnd = now + 2 * kSecond, until = termEnd + 20 * kSecond;
  std::size_t requestsAfterTerm = 0;
  while (now < until) {
    for (const LeaseClient::Request& request : holder.advanceToNextRequest(now, until)) {
      requestsAfterTerm += now > termEnd + 3 * kSecond ? 1 : 0;
      holder.client.handleFailure(request.id, now);
    }
  }
  // Renewals and the release of the lost lease, each after pauses of half a second or more.
  EXPECT_LE(requestsAfterTerm, 2U * 17 * 2);
}

// Guards against a rush: members that lost their leader together must not all come back at the same moment.
TEST(FailoverTest, RenewalsOfAThousandSessionsAfterAFailoverAreSpread) {
  constexpr std::size_t kSessions = 1'000;
  constexpr Micros kBucket = 100 * kMillisecond;
  for (const Micros ttl : {2 * kSecond, 10 * kSecond}) {
    const Micros leaderDiesAt = ttl / 2, newLeaderAt = ttl * 7 / 10;
    SCOPED_TRACE(ttl);
    std::map<Micros, std::size_t> renewalsPerBucket;
    std::mt19937_64 random(1);
    std::size_t lost = 0;
    for (std::size_t i = 0; i < kSessions; ++i) {
      Holder holder(leaseSettings(ttl, i + 1));
      const Micros start = startOfTest();
      Micros now = start + static_cast<Micros>(random() % (ttl / 3));
      holdLease(holder, now);
      CoordinatorSelector selector({1, 2, 3}, 0);
      bool renewed = false;
      while (!renewed && now < start + 20 * kSecond) {
        for (const LeaseClient::Request& request : holder.advanceToNextRequest(now, start + 20 * kSecond)) {
          const bool leads = now < start + leaderDiesAt   ? selector.current() == 0
                             : now >= start + newLeaderAt ? selector.current() == 1
                                                          : false;
          if (!leads) {
            selector.recordFailure(selector.current(), 0);
            holder.client.handleFailure(request.id, now);
            continue;
          }
          selector.recordSuccess(selector.current());
          holder.answer(request, now);
          if (now < start + newLeaderAt) continue;
          ++renewalsPerBucket[(now - start) / kBucket];
          renewed = true;
        }
      }
      lost += holder.client.holds("l", now) ? 0 : 1;
    }
    EXPECT_EQ(lost, 0U);
    std::size_t highest = 0;
    for (const auto& [bucket, count] : renewalsPerBucket) highest = std::max(highest, count);
    EXPECT_LE(highest, kSessions / 2) << "renewals within a tenth of a second";
  }
}

// ---- Order in which coordinators are asked ----

TEST(CoordinatorSelectorTest, FollowsTheNamedLeader) {
  CoordinatorSelector selector({11, 12, 13}, 0);
  selector.recordFailure(0, 13);
  EXPECT_EQ(selector.current(), 2U);
  selector.recordSuccess(2);
  EXPECT_EQ(selector.current(), 2U);
}

TEST(CoordinatorSelectorTest, UnknownAndMissingNamesSelectTheNextCoordinator) {
  CoordinatorSelector selector({11, 12, 13}, 2);
  selector.recordFailure(2, 99);
  EXPECT_EQ(selector.current(), 0U);
  selector.recordFailure(0, 0);
  EXPECT_EQ(selector.current(), 1U);
}

TEST(CoordinatorSelectorTest, StaleNameOfAFailedCoordinatorIsNotFollowed) {
  CoordinatorSelector selector({1, 2, 3}, 0);
  selector.recordFailure(0, 0);
  selector.recordFailure(1, 1);
  EXPECT_EQ(selector.current(), 2U);
}

// Guards against a coordinator, the named leader above all, that is skipped because two requests failed at
// once.
TEST(CoordinatorSelectorTest, TwoFailuresAtOneCoordinatorMoveOnOnce) {
  constexpr std::uint64_t kNone = 0, kLast = 3;
  for (const auto& [named, expected] : {std::pair(kNone, 1U), std::pair(kLast, 2U)}) {
    CoordinatorSelector selector({1, 2, 3}, 0);
    selector.recordFailure(0, named);
    selector.recordFailure(0, named);
    EXPECT_EQ(selector.current(), expected) << "named leader " << named;
  }
}

TEST(CoordinatorSelectorTest, SingleCoordinatorStaysSelected) {
  CoordinatorSelector selector({1}, 0);
  selector.recordFailure(0, 1);
  EXPECT_EQ(selector.current(), 0U);
}

// The bound in docs/design/leases.md: whatever happened before and whatever the others answer, the leader is
// asked after at most one request to each of them.
TEST(CoordinatorSelectorTest, LeaderIsAskedAfterAtMostOneRequestToEachOther) {
  for (const std::size_t count : {2U, 3U, 5U, 7U}) {
    std::mt19937_64 random(count);
    std::vector<std::uint64_t> ids;
    for (std::size_t i = 0; i < count; ++i) ids.push_back(i + 1);
    for (int trial = 0; trial < 20'000; ++trial) {
      CoordinatorSelector selector(ids, random() % count);
      for (std::size_t i = random() % (2 * count); i > 0; --i) {
        const std::size_t asked = random() % 3 == 0 ? random() % count : selector.current();
        if (random() % 4 == 0) {
          selector.recordSuccess(asked);
        } else {
          selector.recordFailure(asked, random() % (count + 1));
        }
      }
      const std::size_t leader = random() % count;
      std::size_t requests = 0;
      while (selector.current() != leader && requests < count) {
        selector.recordFailure(selector.current(), random() % (count + 1));
        ++requests;
      }
      ASSERT_LE(requests, count - 1) << count << " coordinators, trial " << trial;
    }
  }
}

// ---- The session client against coordinators on loopback ----

using coordinator::HttpRequest;
using coordinator::HttpResponse;
using coordinator::HttpServer;
using coordinator::ResponseCallback;
using std::chrono::milliseconds;

// A coordinator that answers as the leader, names another one, or stays silent.
class FakeCoordinator {
 public:
  FakeCoordinator(boost::asio::io_context& io, State& sharedState)
      : state_(sharedState),
        server_(io, {boost::asio::ip::address_v4::loopback(), 0}, 100,
                [this](const HttpRequest& request, const ResponseCallback& respond) {
                  handle(request, respond);
                }) {
    server_.listen();
    address_ = server_.address();
  }
  tcp::endpoint address() const { return address_; }
  void refuseConnections() { server_.close(); }

  bool leads = false, silent = false;
  int readStatus = 200;  // of the leader's answers to reads
  std::uint64_t namedLeader = 0;
  std::size_t requests = 0;

 private:
  void handle(const HttpRequest& request, const ResponseCallback& respond) {
    if (silent || request.path == "/v1/changes") return unanswered_.push_back(respond);
    ++requests;
    if (!leads) return respond({421, {{"error", "not_leader"}, {"leader", {{"id", namedLeader}}}}});
    if (request.method == "GET")
      return respond({readStatus, {{"index", 0}, {"members", nlohmann::json::array()}}});
    const Command command = commandFromRequest(request.path, nlohmann::json::parse(request.body));
    std::vector<Effect> effects;
    respond({200, toJson(state_.apply(state_.appliedIndex() + 1, command, &effects))});
  }

  State& state_;
  std::vector<ResponseCallback> unanswered_;
  HttpServer server_;
  tcp::endpoint address_;
};

// The first coordinator grants a lease and fails; later the last one leads, while all others still name the
// first.
struct SessionClientFailoverTest : testing::Test {
  static constexpr Micros kTtl = 2 * kSecond;
  static constexpr Micros kAnswerTime = 20 * kMillisecond;  // of a coordinator that is reached

  boost::asio::io_context io{1};
  State state{StateLimits{}};
  std::vector<std::unique_ptr<FakeCoordinator>> coordinators;
  std::unique_ptr<SessionClient> client;
  std::size_t leasesLost = 0;

  bool runUntil(const std::function<bool()>& condition) { return fleet::runUntil(io, condition); }
  SessionClient::Settings settings() const {
    SessionClient::Settings s;
    s.leaseClient = leaseSettings(kTtl);
    for (std::size_t i = 0; i < coordinators.size(); ++i)
      s.coordinators.push_back({i + 1, coordinators[i]->address()});
    return s;
  }
  void holdLeaseAtTheFirstOf(std::size_t count) {
    for (std::size_t i = 0; i < count; ++i) {
      coordinators.push_back(std::make_unique<FakeCoordinator>(io, state));
      coordinators.back()->namedLeader = 1;
    }
    coordinators.front()->leads = true;
    client = std::make_unique<SessionClient>(io, settings(), [this](const LeaseClient::Event& event) {
      if (event.kind == LeaseClient::Event::Kind::leaseLost) ++leasesLost;
    });
    client->acquire("l", false);
    client->start();
    ASSERT_TRUE(runUntil([this] { return client->validToken("l").has_value(); }));
    // Fails between renewals, so that the next one is the first that fails.
    const LogIndex applied = state.appliedIndex();
    ASSERT_TRUE(runUntil([&] { return state.appliedIndex() > applied + 1; }));
    io.run_for(milliseconds(5));
  }
  // The bound of docs/design/leases.md, from the settings.
  Micros bound(std::size_t silentCount) const {
    const auto count = static_cast<Micros>(coordinators.size());
    return count * (kTtl / 10 + kAnswerTime) + static_cast<Micros>(silentCount) * kTtl / 4;
  }
  // Lets the last coordinator lead when `remaining` of the term is left, and expects that the lease is kept.
  void expectLeaseKeptIfLedWith(Micros remaining) {
    ASSERT_TRUE(runUntil([&] { return !client->validToken("l", remaining); }));
    coordinators.back()->leads = true;
    const std::size_t requestsBefore = coordinators.back()->requests;
    const bool renewed =
        runUntil([&] { return leasesLost > 0 || client->validToken("l", remaining + kTtl / 4).has_value(); });
    EXPECT_TRUE(renewed);
    EXPECT_EQ(leasesLost, 0U) << coordinators.back()->requests - requestsBefore
                              << " requests to the new leader";
  }
};

// Guards against a holder that goes back and forth between a dead leader and a follower that names it.
TEST_F(SessionClientFailoverTest, LeaseIsKeptWhenTheLeaderRefusesAndFollowersNameIt) {
  for (const std::size_t count : {3U, 5U}) {
    SCOPED_TRACE(count);
    client.reset();
    coordinators.clear();
    leasesLost = 0;
    holdLeaseAtTheFirstOf(count);
    coordinators.front()->refuseConnections();
    coordinators.front()->leads = false;
    expectLeaseKeptIfLedWith(bound(0));
  }
}

// Guards against a holder that asks a silent leader again and again.
TEST_F(SessionClientFailoverTest, LeaseIsKeptWhenTheLeaderIsSilentAndFollowersNameIt) {
  holdLeaseAtTheFirstOf(3);
  coordinators.front()->silent = true;
  expectLeaseKeptIfLedWith(bound(1));
}

// Guards against a holder that keeps to a leader which has been replaced and answers so.
TEST_F(SessionClientFailoverTest, LeaseIsKeptWhenTheFormerLeaderNamesItself) {
  holdLeaseAtTheFirstOf(3);
  coordinators.front()->leads = false;
  expectLeaseKeptIfLedWith(bound(0));
}

// Guards against a coordinator that is skipped when a renewal and a write fail at the same one.
TEST_F(SessionClientFailoverTest, LeaseIsKeptWhileWritesFailToo) {
  holdLeaseAtTheFirstOf(3);
  coordinators.front()->refuseConnections();
  coordinators.front()->leads = false;
  std::size_t writes = 0;
  client->put("key", "value", {}, "", [&](const Result&) { ++writes; });
  expectLeaseKeptIfLedWith(bound(0));
  EXPECT_TRUE(runUntil([&] { return writes == 1; }));
}

// Guards against an answer that is taken for a failure: the same read again, at once, or at another
// coordinator.
TEST_F(SessionClientFailoverTest, ReadThatTheLeaderRejectsIsNotRepeated) {
  holdLeaseAtTheFirstOf(3);
  coordinators.front()->readStatus = 404;
  const std::size_t requestsBefore = coordinators.front()->requests;
  std::vector<int> answers;
  client->read("/v1/nothing", [&](int status, const nlohmann::json&) { answers.push_back(status); });
  ASSERT_TRUE(runUntil([&] { return !answers.empty(); }));
  EXPECT_EQ(answers, std::vector<int>{404});
  EXPECT_EQ(coordinators.front()->requests, requestsBefore + 1);
}

// Guards the command-line tool against going back and forth between a dead leader and a follower that names
// it.
TEST_F(SessionClientFailoverTest, CommandLineFindsALeaderThatAFollowerDoesNotName) {
  for (std::size_t i = 0; i < 3; ++i) {
    coordinators.push_back(std::make_unique<FakeCoordinator>(io, state));
    coordinators.back()->namedLeader = 1;
  }
  coordinators.front()->refuseConnections();
  coordinators.back()->leads = true;
  std::string addresses;
  for (std::size_t i = 0; i < coordinators.size(); ++i)
    addresses += (i > 0 ? "," : "") + std::to_string(i + 1) +
                 "=127.0.0.1:" + std::to_string(coordinators[i]->address().port());
  const pid_t tool = ::fork();
  ASSERT_GE(tool, 0);
  if (tool == 0) {
    ::execl(FLEET, FLEET, "--coordinators", addresses.c_str(), "members", static_cast<char*>(nullptr));
    ::_exit(127);
  }
  int status = 0;
  pid_t ended = 0;
  EXPECT_TRUE(runUntil([&] {
    if (ended == 0) ended = ::waitpid(tool, &status, WNOHANG);
    return ended == tool;
  }));
  if (ended == 0) ::kill(tool, SIGKILL);
  EXPECT_TRUE(WIFEXITED(status) && WEXITSTATUS(status) == 0) << status;
  EXPECT_EQ(coordinators.back()->requests, 1U);
}

}  // namespace
}  // namespace quilltide::fleet
