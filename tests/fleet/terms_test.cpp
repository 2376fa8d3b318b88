// Terms as the leading coordinator and as a member count them, each alone, in told time.
#include <gtest/gtest.h>

#include "coordinator/peer_exchange.hpp"
#include "fleet/expiry/expiry.hpp"
#include "fleet/lease_client/lease_client.hpp"

namespace quilltide::fleet {
namespace {

constexpr Micros kSecond = 1'000'000;

// ---- The leading coordinator's clock ----

struct ExpiryTest : testing::Test {
  State state;
  ExpiryTracker judge{[] {
    ExpiryTracker::Settings s;
    s.drift = 0.1;
    s.mostHold = 3 * kSecond;
    return s;
  }()};
  Index index = 0;
  Micros now = 0;

  Result apply(const Command& command) {
    std::vector<Effect> effects;
    const Result r = state.apply(++index, command, &effects);
    judge.observe(state, effects, now);
    return r;
  }
  SessionId open(const std::string& name) { return apply(OpenSession{name, name, kSecond}).session; }
  // Asks all the way to `until`, as a coordinator that does not stand still.
  std::vector<Command> pass(Micros until) {
    std::vector<Command> out;
    while (now < until) {
      now = std::min(until, judge.next(now));
      for (Command& c : judge.due(state, now)) out.push_back(std::move(c));
    }
    return out;
  }
};

TEST_F(ExpiryTest, ATermEndsWithTheDriftAfterItsRenewalWasApplied) {
  judge.lead(state, now);
  const auto a = open("a");
  pass(kSecond / 2);
  apply(Renew{{a}});
  EXPECT_TRUE(pass(kSecond / 2 + 11 * kSecond / 10).empty());
  const auto due = pass(now + 1'000);
  ASSERT_EQ(due.size(), 1U);
  EXPECT_EQ(std::get<Expire>(due[0]).sessions, (std::vector<std::pair<SessionId, Index>>{{a, 2}}));
}

TEST_F(ExpiryTest, ANewLeaderWaitsAWholeTermForEverybody) {
  open("a");
  now = 100 * kSecond;
  judge.lead(state, now);
  EXPECT_TRUE(pass(now + 11 * kSecond / 10).empty());
  EXPECT_EQ(pass(now + 1'000).size(), 1U);
}

TEST_F(ExpiryTest, WhatItMissedWhileItStoodStillIsGivenBack) {
  judge.lead(state, now);
  open("a");
  pass(kSecond / 2);
  now += 10 * kSecond;  // paused, and woken
  EXPECT_TRUE(judge.due(state, now).empty());
  EXPECT_TRUE(pass(now + kSecond / 2).empty());
  EXPECT_EQ(pass(now + kSecond).size(), 1U);
}

TEST_F(ExpiryTest, WhatIsNotAppliedIsProposedAgain) {
  judge.lead(state, now);
  open("a");
  EXPECT_EQ(pass(4 * kSecond).size(), 3U);  // at 1.1 s, and each second from then on
}

TEST_F(ExpiryTest, OnlyALeaseThatOthersWaitForIsCalledBack) {
  judge.lead(state, now);
  const auto a = open("a"), b = open("b");
  const auto renewing = [&](Micros until) {
    std::vector<Command> out;
    while (now < until) {
      for (Command& c : pass(std::min(until, now + kSecond / 2))) out.push_back(std::move(c));
      apply(Renew{{a, b}});
    }
    return out;
  };
  const Token token = apply(Acquire{a, 1, "l", true, true}).token;
  EXPECT_TRUE(renewing(20 * kSecond).empty());
  apply(Acquire{b, 1, "l", true, true});
  const Micros waits = now;
  EXPECT_TRUE(renewing(waits + 29 * kSecond / 10).empty());
  auto due = renewing(waits + 31 * kSecond / 10);
  ASSERT_FALSE(due.empty());
  EXPECT_EQ(std::get<Recall>(due[0]).token, token);
  apply(due[0]);
  const Micros recalled = now;
  // Its term, which renewals no longer extend, and the drift.
  EXPECT_TRUE(renewing(recalled + kSecond).empty());
  due = renewing(recalled + 13 * kSecond / 10);
  ASSERT_FALSE(due.empty());
  EXPECT_EQ(std::get<ExpireLease>(due[0]).token, token);
}

TEST_F(ExpiryTest, NobodyIsCalledBackForWhoDoesNotTakeTurns) {
  judge.lead(state, now);
  const auto a = open("a"), b = open("b");
  apply(Acquire{a, 1, "l", true, false});
  apply(Acquire{b, 1, "l", true, false});
  while (now < 20 * kSecond) {
    EXPECT_TRUE(pass(now + kSecond / 2).empty());
    apply(Renew{{a, b}});
  }
}

TEST_F(ExpiryTest, ManyTermsThatEndTogetherGoInFewEntries) {
  judge.lead(state, now);
  for (int i = 0; i < 1'200; ++i) open("m" + std::to_string(i));
  const auto due = pass(12 * kSecond / 10);
  std::size_t sessions = 0;
  for (const Command& c : due) sessions += std::get<Expire>(c).sessions.size();
  EXPECT_EQ(sessions, 1'200U);
  EXPECT_LE(due.size(), 4U);
}

TEST_F(ExpiryTest, AfterARestoreTheLongestTermIsWaitedOutAnewByEachLeader) {
  judge.lead(state, now);
  apply(Raise{9});
  const Micros longest = state.bounds().longestTtl * 11 / 10;
  EXPECT_TRUE(pass(longest / 2).empty());
  judge.lead(state, now);
  EXPECT_TRUE(pass(now + longest - kSecond).empty());
  const auto due = pass(now + 2 * kSecond);
  ASSERT_FALSE(due.empty());
  EXPECT_EQ(std::get<Admit>(due[0]).generation, state.generation());
}

// ---- A member ----

struct LeaseClientTest : testing::Test {
  LeaseClient holder{[] {
    LeaseClient::Settings s;
    s.name = "m";
    s.nonce = "n";
    s.ttl = 10 * kSecond;
    s.drift = 0.1;
    s.answer = kSecond;
    return s;
  }()};
  Micros now = 1'000 * kSecond;
  Index index = 0;
  std::vector<LeaseClient::Event> events;

  std::vector<LeaseClient::Request> send() { return holder.send(now); }
  template <typename C>
  std::optional<LeaseClient::Request> sends() {
    for (LeaseClient::Request& r : holder.send(now))
      if (std::holds_alternative<C>(r.command)) return r;
    return std::nullopt;
  }
  Result result(Code code = Code::ok) {
    Result r;
    r.code = code;
    r.index = ++index;
    return r;
  }
  Result renewedWith(std::vector<Holding> holdings) {
    Result r = result();
    r.renewed = {{5, true, std::move(holdings)}};
    return r;
  }
  void opened() {
    const auto request = sends<OpenSession>();
    ASSERT_TRUE(request);
    Result r = result();
    r.session = 5;
    holder.answered(request->tag, r, now);
  }
  void gained(Token token) {
    holder.want("l");
    opened();
    std::uint64_t acquire = 0, renew = 0;
    for (const LeaseClient::Request& r : send())
      (std::holds_alternative<Acquire>(r.command) ? acquire : renew) = r.tag;
    holder.answered(renew, renewedWith({}), now);
    Result r = result();
    r.token = token;
    holder.answered(acquire, r, now);
    ASSERT_EQ(holder.mayAct("l", now), token);
    take();
  }
  std::size_t take(LeaseClient::Event::Kind kind = LeaseClient::Event::Kind::wrote) {
    events = holder.take(now);
    return static_cast<std::size_t>(
        std::count_if(events.begin(), events.end(), [&](const auto& e) { return e.kind == kind; }));
  }
};

using Kind = LeaseClient::Event::Kind;

TEST_F(LeaseClientTest, ATermCountsFromTheAskLessTheDrift) {
  gained(9);
  const Micros asked = now;
  now += 8 * kSecond;
  EXPECT_TRUE(holder.mayAct("l", now));
  EXPECT_FALSE(holder.mayAct("l", now, kSecond));
  now = asked + 9 * kSecond;
  EXPECT_FALSE(holder.mayAct("l", now));
}

TEST_F(LeaseClientTest, ARenewalCountsFromWhenItWasAskedForNotAnswered) {
  gained(9);
  now += 5 * kSecond;
  const auto renew = sends<Renew>();
  ASSERT_TRUE(renew);
  const Micros asked = now;
  now += kSecond / 2;
  holder.answered(renew->tag, renewedWith({{"l", 9, false}}), now);
  EXPECT_TRUE(holder.mayAct("l", asked + 9 * kSecond - 1));
  EXPECT_FALSE(holder.mayAct("l", asked + 9 * kSecond));
}

TEST_F(LeaseClientTest, ItIsToldBeforeItsTermEndsAndWhenItHas) {
  gained(9);
  now += 6 * kSecond;
  EXPECT_EQ(take(Kind::ending), 1U);
  EXPECT_NEAR(static_cast<double>(events[0].left), 3 * kSecond, 1'000);
  EXPECT_EQ(take(Kind::ending), 0U);
  now += 4 * kSecond;
  EXPECT_EQ(take(Kind::lost), 1U);
  // It says so, in case the coordinators do not know, and stands in line again.
  EXPECT_TRUE(sends<Release>());
  EXPECT_EQ(holder.violations(), 0U);
}

TEST_F(LeaseClientTest, ASessionThatWasOpenedByALostAnswerCountsFromTheFirstAsk) {
  holder.want("l");
  const auto first = sends<OpenSession>();
  ASSERT_TRUE(first);
  const Micros asked = now;
  now += 2 * kSecond;
  send();  // given up
  now += kSecond;
  const auto second = sends<OpenSession>();
  ASSERT_TRUE(second);
  EXPECT_EQ(std::get<OpenSession>(second->command).nonce, std::get<OpenSession>(first->command).nonce);
  Result r = result();
  r.session = 5;
  holder.answered(second->tag, r, now);
  for (const LeaseClient::Request& request : send()) {
    if (!std::holds_alternative<Acquire>(request.command)) continue;
    Result granted = result();
    granted.token = 9;
    holder.answered(request.tag, granted, now);
  }
  EXPECT_TRUE(holder.mayAct("l", asked + 9 * kSecond - 1));
  EXPECT_FALSE(holder.mayAct("l", asked + 9 * kSecond));
}

TEST_F(LeaseClientTest, ARenewalAppliedAfterAnAcquireHasTheLastWord) {
  holder.want("l");
  opened();
  std::uint64_t acquire = 0, renew = 0;
  for (const LeaseClient::Request& r : send())
    (std::holds_alternative<Acquire>(r.command) ? acquire : renew) = r.tag;
  // Granted by entry 2, called back and ended before entry 9, which says that nothing is held; and heard in
  // the other order.
  Result granted = result();
  granted.token = 9;
  index = 8;
  holder.answered(renew, renewedWith({}), now);
  holder.answered(acquire, granted, now);
  EXPECT_FALSE(holder.mayAct("l", now));
}

TEST_F(LeaseClientTest, ARecalledLeaseIsNotExtended) {
  gained(9);
  const Micros asked = now;
  now += 5 * kSecond;
  const auto renew = sends<Renew>();
  ASSERT_TRUE(renew);
  holder.answered(renew->tag, renewedWith({{"l", 9, true}}), now);
  EXPECT_EQ(take(Kind::recalled), 1U);
  EXPECT_TRUE(holder.mayAct("l", asked + 9 * kSecond - 1));
  EXPECT_FALSE(holder.mayAct("l", asked + 9 * kSecond));
}

TEST_F(LeaseClientTest, WhatIsGivenBackIsNotActedOnFromThatMoment) {
  gained(9);
  holder.giveBack("l");
  EXPECT_FALSE(holder.mayAct("l", now));
  now += 4 * kSecond;
  // A renewal on its way still lists it.
  std::uint64_t release = 0, renew = 0;
  for (const LeaseClient::Request& r : send())
    (std::holds_alternative<Release>(r.command) ? release : renew) = r.tag;
  ASSERT_NE(release, 0U);
  ASSERT_NE(renew, 0U);
  holder.want("l");
  const Result old = renewedWith({{"l", 9, false}});
  holder.answered(release, result(), now);
  holder.answered(renew, old, now);
  EXPECT_FALSE(holder.mayAct("l", now));
}

TEST_F(LeaseClientTest, ALostSessionLosesAllAndIsOpenedAnewByAnotherNonce) {
  gained(9);
  now += 5 * kSecond;
  const auto renew = sends<Renew>();
  ASSERT_TRUE(renew);
  Result gone = result();
  gone.renewed = {{5, false, {}}};
  holder.answered(renew->tag, gone, now);
  EXPECT_FALSE(holder.mayAct("l", now));
  EXPECT_EQ(take(Kind::lost), 1U);
  EXPECT_EQ(holder.violations(), 1U);  // by this clock it still held: a restore, or a clock is off
  const auto open = sends<OpenSession>();
  ASSERT_TRUE(open);
  EXPECT_EQ(std::get<OpenSession>(open->command).nonce, "n-2");
}

TEST_F(LeaseClientTest, AWriteBehindAFenceNeedsTheLease) {
  EXPECT_EQ(holder.put("k", "v", {}, "l"), 0U);
  gained(9);
  EXPECT_NE(holder.put("k", "v", {}, "l"), 0U);
  const auto put = sends<Put>();
  ASSERT_TRUE(put);
  EXPECT_EQ(std::get<Put>(put->command).fence, (Fence{"l", 9}));
  holder.answered(put->tag, result(Code::staleFence), now);
  ASSERT_EQ(take(Kind::wrote), 1U);
  EXPECT_EQ(events[0].result.code, Code::staleFence);
}

TEST_F(LeaseClientTest, ARepeatHasTheNumberOfTheFirst) {
  holder.want("l");
  opened();
  const auto first = sends<Acquire>();
  ASSERT_TRUE(first);
  holder.failed(first->tag, now);
  now += 2 * kSecond;
  send();  // the renewal has had no answer either: both pause
  now += kSecond;
  const auto second = sends<Acquire>();
  ASSERT_TRUE(second);
  EXPECT_EQ(std::get<Acquire>(second->command).request, std::get<Acquire>(first->command).request);
  EXPECT_NE(second->tag, first->tag);
}

TEST_F(LeaseClientTest, ClosedItHoldsNothingAndTheCoordinatorsAreTold) {
  gained(9);
  holder.close();
  EXPECT_FALSE(holder.mayAct("l", now));
  const auto close = sends<CloseSession>();
  ASSERT_TRUE(close);
  holder.answered(close->tag, result(), now);
  EXPECT_TRUE(holder.closed());
  EXPECT_TRUE(send().empty());
}

// ---- What a coordinator may start with ----

using coordinator::Admission;
using coordinator::Standing;

Admission admissionOf(std::size_t peers, bool fresh, const Standing& own) {
  Admission a;
  a.peers = peers;
  a.fresh = fresh;
  a.own = own;
  return a;
}

TEST(AdmissionOfACoordinator, AFreshFolderNeedsAllAnswersAnOldOneAMajority) {
  Admission fresh = admissionOf(4, true, {1, 0, 0}), old = admissionOf(4, false, {3, 2, 9});
  for (std::uint64_t peer : {2, 3}) {
    EXPECT_EQ(fresh.hear(peer, "f", "f", nullptr), "");
    EXPECT_EQ(old.hear(peer, "f", "f", nullptr), "");
  }
  EXPECT_FALSE(fresh.enough());
  EXPECT_TRUE(old.enough());  // with itself three of five
  EXPECT_TRUE(admissionOf(0, true, {1, 0, 0}).enough());
}

TEST(AdmissionOfACoordinator, LessThanOthersHeardOfItIsRefused) {
  const Standing own{3, 2, 9};
  for (const Standing& more : {Standing{4, 2, 9}, Standing{3, 3, 9}, Standing{3, 2, 10}}) {
    Admission a = admissionOf(2, false, own);
    EXPECT_NE(a.hear(2, "f", "f", &more), "");
    EXPECT_TRUE(a.answered.empty());
  }
  Admission a = admissionOf(2, false, own);
  EXPECT_EQ(a.hear(2, "f", "f", &own), "");
  EXPECT_NE(a.hear(3, "g", "f", nullptr), "");
}

}  // namespace
}  // namespace quilltide::fleet
