// The coordinators' state: leases, lines, values, and that snapshots and repeats change nothing.
#include "fleet/state/state.hpp"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "fleet/wire/wire.hpp"

namespace quilltide::fleet {
namespace {

struct StateTest : testing::Test {
  State state;
  Index index = 0;
  std::vector<Effect> effects;

  Result apply(const Command& command) {
    effects.clear();
    const Result r = state.apply(++index, command, &effects);
    EXPECT_EQ(state.broken(), std::nullopt);
    return r;
  }
  SessionId open(const std::string& name) {
    return apply(OpenSession{name, "nonce-" + name, 1'000'000}).session;
  }
  Result acquire(SessionId s, std::uint64_t request, const std::string& lease = "l", bool wait = true) {
    return apply(Acquire{s, request, lease, wait, true});
  }
};

TEST_F(StateTest, AFreeLeaseIsGrantedAndTheOthersStandInLine) {
  const auto a = open("a"), b = open("b"), c = open("c");
  const Result first = acquire(a, 1);
  EXPECT_EQ(first.code, Code::ok);
  EXPECT_GT(first.token, 0U);
  EXPECT_EQ(acquire(b, 1).place, 1U);
  EXPECT_EQ(acquire(c, 1).place, 2U);
  EXPECT_EQ(apply(Release{a, 2, "l", first.token}).code, Code::ok);
  ASSERT_NE(state.lease("l"), nullptr);
  EXPECT_EQ(state.lease("l")->holder, b);
  EXPECT_GT(state.lease("l")->token, first.token);
}

TEST_F(StateTest, WhoDoesNotWaitIsToldThatItIsBusy) {
  const auto a = open("a"), b = open("b");
  acquire(a, 1);
  EXPECT_EQ(acquire(b, 1, "l", false).code, Code::busy);
  EXPECT_TRUE(state.lease("l")->line.empty());
}

TEST_F(StateTest, OnlyTheHolderByItsTokenGivesBack) {
  const auto a = open("a"), b = open("b");
  const Token token = acquire(a, 1).token;
  EXPECT_EQ(apply(Release{b, 1, "l", token}).code, Code::notHolder);
  EXPECT_EQ(apply(Release{a, 2, "l", token + 1}).code, Code::notHolder);
  EXPECT_EQ(state.lease("l")->holder, a);
}

TEST_F(StateTest, TransferGoesBeforeTheLine) {
  const auto a = open("a"), b = open("b"), c = open("c");
  const Token token = acquire(a, 1).token;
  acquire(b, 1);
  EXPECT_EQ(apply(Transfer{a, 2, "l", token, "nobody"}).code, Code::noMember);
  EXPECT_EQ(apply(Transfer{a, 3, "l", token, "c"}).code, Code::ok);
  EXPECT_EQ(state.lease("l")->holder, c);
  EXPECT_EQ(state.lease("l")->line.front(), b);
}

TEST_F(StateTest, ASessionsEndFreesWhatItHoldsAndWaitsFor) {
  const auto a = open("a"), b = open("b");
  acquire(a, 1, "x");
  acquire(b, 1, "x");
  acquire(b, 2, "y");
  acquire(a, 2, "y");
  const Index renewed = state.session(a)->renewed;
  apply(Expire{{{a, renewed}}});
  EXPECT_EQ(state.session(a), nullptr);
  EXPECT_EQ(state.lease("x")->holder, b);
  EXPECT_TRUE(state.lease("y")->line.empty());
}

TEST_F(StateTest, AnExpiryThatWasOvertakenByARenewalDoesNothing) {
  const auto a = open("a");
  const Index seen = state.session(a)->renewed;
  apply(Renew{{a}});
  apply(Expire{{{a, seen}}});
  EXPECT_NE(state.session(a), nullptr);
}

TEST_F(StateTest, RenewalsTellAllThatIsHeldAndWhoIsGone) {
  const auto a = open("a");
  const Token token = acquire(a, 1).token;
  apply(Recall{"l", token});
  const Result r = apply(Renew{{a, 12'345}});
  ASSERT_EQ(r.renewed.size(), 2U);
  EXPECT_TRUE(r.renewed[0].alive);
  EXPECT_EQ(r.renewed[0].holdings, (std::vector<Holding>{{"l", token, true}}));
  EXPECT_FALSE(r.renewed[1].alive);
}

TEST_F(StateTest, ARecalledLeaseIsNoNewGrantForItsHolder) {
  const auto a = open("a");
  const Token token = acquire(a, 1).token;
  apply(Recall{"l", token});
  EXPECT_EQ(acquire(a, 2).code, Code::busy);
  EXPECT_EQ(apply(ExpireLease{"l", token}).code, Code::ok);
  EXPECT_GT(acquire(a, 3).token, token);
}

TEST_F(StateTest, ARepeatedRequestGetsTheFirstAnswer) {
  const auto a = open("a");
  const Result first = acquire(a, 1);
  EXPECT_EQ(acquire(a, 1), first);
  apply(Release{a, 2, "l", first.token});
  EXPECT_EQ(acquire(a, 1).code, Code::oldRequest);
  EXPECT_EQ(state.lease("l"), nullptr);
  EXPECT_EQ(apply(OpenSession{"a", "nonce-a", 1'000'000}).session, a);
  EXPECT_EQ(apply(OpenSession{"b", "nonce-a", 1'000'000}).code, Code::bad);
}

TEST_F(StateTest, AWriteBehindAFenceCountsForTheGrantInForce) {
  const auto a = open("a"), b = open("b");
  const Token old = acquire(a, 1).token;
  EXPECT_EQ(apply(Put{a, 2, "k", "1", {}, Fence{"l", old}}).code, Code::ok);
  acquire(b, 1);
  apply(Release{a, 3, "l", old});
  EXPECT_EQ(apply(Put{a, 4, "k", "2", {}, Fence{"l", old}}).code, Code::staleFence);
  const Token now = state.lease("l")->token;
  EXPECT_EQ(apply(Put{a, 5, "k", "3", {}, Fence{"l", now}}).code, Code::staleFence);  // another's
  EXPECT_EQ(apply(Put{b, 2, "k", "4", {}, Fence{"l", now}}).code, Code::ok);
  EXPECT_EQ(state.values().at("k").text, "4");
}

TEST_F(StateTest, ValuesAreWrittenByVersion) {
  const Result made = apply(Put{0, 0, "k", "1", 0, {}});
  EXPECT_EQ(made.code, Code::ok);
  EXPECT_EQ(apply(Put{0, 0, "k", "2", 0, {}}).code, Code::conflict);
  EXPECT_EQ(apply(Put{0, 0, "k", "2", made.version, {}}).code, Code::ok);
  const Index before = index;
  EXPECT_EQ(apply(Put{0, 0, "k", std::nullopt, {}, {}}).code, Code::ok);
  EXPECT_EQ(state.removedAfter(before), (std::vector<std::string>{"k"}));
  EXPECT_TRUE(state.values().empty());
}

TEST_F(StateTest, AfterARestoreNobodyGetsInBeforeTheBarIsLifted) {
  const auto a = open("a");
  const Token token = acquire(a, 1).token;
  apply(Raise{50});
  EXPECT_TRUE(state.sessions().empty());
  EXPECT_EQ(apply(OpenSession{"a", "n2", 1'000'000}).code, Code::barred);
  EXPECT_EQ(apply(Admit{49}).code, Code::conflict);
  apply(Admit{state.generation()});
  const auto again = apply(OpenSession{"a", "n3", 1'000'000}).session;
  EXPECT_GT(acquire(again, 1).token, token);
  EXPECT_EQ(acquire(again, 2).token >> 32, 50U);
}

TEST(StateBounds, PastThemNewThingsAreRefusedAndOldOnesStay) {
  Bounds bounds;
  bounds.sessions = 2;
  bounds.leases = 1;
  bounds.line = 1;
  bounds.values = 1;
  bounds.allValues = 10;
  State s(bounds);
  Index i = 0;
  const auto a = s.apply(++i, OpenSession{"a", "a", 1'000'000}).session;
  const auto b = s.apply(++i, OpenSession{"b", "b", 1'000'000}).session;
  EXPECT_EQ(s.apply(++i, OpenSession{"c", "c", 1'000'000}).code, Code::full);
  EXPECT_EQ(s.apply(++i, Acquire{a, 1, "x", true, true}).code, Code::ok);
  EXPECT_EQ(s.apply(++i, Acquire{a, 2, "y", true, true}).code, Code::full);
  EXPECT_EQ(s.apply(++i, Acquire{b, 1, "x", true, true}).code, Code::waiting);
  EXPECT_EQ(s.apply(++i, Put{0, 0, "k", "0123456789", {}, {}}).code, Code::ok);
  EXPECT_EQ(s.apply(++i, Put{0, 0, "k", "0123456789a", {}, {}}).code, Code::full);
  EXPECT_EQ(s.apply(++i, Put{0, 0, "j", "", {}, {}}).code, Code::full);
  EXPECT_EQ(s.apply(++i, OpenSession{"d d", "d", 1'000'000}).code, Code::bad);
  EXPECT_EQ(s.apply(++i, OpenSession{"d", "d", 1}).code, Code::bad);
  EXPECT_EQ(s.broken(), std::nullopt);
}

TEST(StateInput, WhatIsNoCommandDoesNothingAndStillCounts) {
  State s;
  for (const std::string& bytes :
       {std::string(), std::string("\x00\xff", 2), std::string("hello"), encode(Renew{{1}}).substr(1)})
    EXPECT_EQ(s.apply(s.applied() + 1, bytes).code, Code::bad);
  EXPECT_EQ(s.applied(), 4U);
  EXPECT_THROW(s.restore("no snapshot"), std::exception);
  EXPECT_EQ(s.applied(), 4U);
}

// ---- Drawn commands ----

Command drawn(const State& state) {
  const auto name = [](const char* kind, int n) {
    return std::string(kind) + std::to_string(*rc::gen::inRange(0, n));
  };
  const auto session = [&]() -> SessionId {
    if (state.sessions().empty() || *rc::gen::inRange(0, 12) == 0) return 77;
    auto at = state.sessions().begin();
    std::advance(at, *rc::gen::inRange<std::size_t>(0, state.sessions().size()));
    return at->first;
  };
  // Repeats, the next one, and one beyond.
  const auto request = [&](SessionId id) -> std::uint64_t {
    const Session* s = state.session(id);
    return (s == nullptr ? 0 : s->lastRequest) + *rc::gen::inRange<std::uint64_t>(0, 3);
  };
  const auto token = [&](const std::string& lease) -> Token {
    const Lease* l = state.lease(lease);
    return l == nullptr || *rc::gen::inRange(0, 5) == 0 ? 3 : l->token;
  };
  const SessionId s = session();
  const std::string lease = name("l", 4);
  switch (*rc::gen::inRange(0, 14)) {
    case 0:
    case 1:
      return OpenSession{name("m", 4), name("n", 12), 1'000'000};
    case 2:
      return Renew{{s, session()}};
    case 3:
      return CloseSession{s};
    case 4:
    case 5:
    case 6:
      return Acquire{s, request(s), lease, *rc::gen::inRange(0, 3) > 0, *rc::gen::arbitrary<bool>()};
    case 7:
      return Release{s, request(s), lease, *rc::gen::arbitrary<bool>() ? token(lease) : 0};
    case 8:
      return Transfer{s, request(s), lease, token(lease), name("m", 4)};
    case 9: {
      Put p{*rc::gen::arbitrary<bool>() ? s : 0, request(s), name("k", 3), name("v", 9), {}, {}};
      if (*rc::gen::inRange(0, 4) == 0) p.value.reset();
      if (*rc::gen::inRange(0, 3) == 0) p.fence = Fence{lease, token(lease)};
      if (*rc::gen::inRange(0, 3) == 0) p.ifVersion = *rc::gen::inRange<std::uint64_t>(0, 40);
      return p;
    }
    case 10: {
      const Session* known = state.session(s);
      return Expire{{{s, known == nullptr ? 1 : known->renewed}}};
    }
    case 11:
      return Recall{lease, token(lease)};
    case 12:
      return ExpireLease{lease, token(lease)};
    default:
      if (state.barred()) return Admit{state.generation()};
      return *rc::gen::inRange(0, 8) == 0 ? Command(Raise{*rc::gen::inRange<std::uint32_t>(0, 9)})
                                          : Command(Renew{{s}});
  }
}

RC_GTEST_PROP(StateProperty, SnapshotsAndCodecsChangeNothingAndTokensOnlyGrow, ()) {
  State plain, copied;
  Token highest = 0;
  const int steps = *rc::gen::inRange(1, 120);
  for (int i = 0; i < steps; ++i) {
    const Command command = drawn(plain);
    std::vector<Effect> effects;
    const Result one = plain.apply(plain.applied() + 1, command, &effects);
    const Result other = copied.apply(copied.applied() + 1, encode(command));
    RC_ASSERT(one == other);
    RC_ASSERT(!plain.broken());
    for (const Effect& e : effects) {
      if (e.kind != Effect::Kind::granted) continue;
      RC_ASSERT(e.token > highest);
      highest = e.token;
    }
    if (*rc::gen::inRange(0, 6) == 0) {
      State fresh;
      fresh.restore(copied.snapshot());
      RC_ASSERT(fresh.snapshot() == copied.snapshot());
      copied = fresh;
    }
    RC_ASSERT(plain.snapshot() == copied.snapshot());
  }
}

TEST(Wire, WhatAMemberAsksForGoesThereAndBack) {
  const std::vector<Command> all{OpenSession{"n", "x", 5'000'000},
                                 Renew{{7}},
                                 CloseSession{7},
                                 Acquire{7, 1, "l", false, false},
                                 Release{7, 2, "l", 9},
                                 Transfer{7, 3, "l", 9, "m"},
                                 Put{7, 4, "k", "v", 3, Fence{"l", 9}},
                                 Put{0, 0, "k", std::nullopt, {}, {}}};
  for (const Command& command : all) {
    const Wire wire = wireOf(command);
    EXPECT_EQ(encode(commandOf(wire.path, wire.body)), encode(command)) << wire.path;
  }
  EXPECT_THROW(wireOf(Raise{1}), std::runtime_error);
  EXPECT_THROW(commandOf("/v1/raise", nlohmann::json::object()), std::runtime_error);
  EXPECT_THROW(commandOf("/v1/acquire", {{"session", 1}, {"lease", "l"}}), std::runtime_error);
  EXPECT_THROW(commandOf("/v1/acquire", {{"session", -1}, {"request", 1}, {"lease", "l"}}),
               std::runtime_error);
  EXPECT_THROW(commandOf("/v1/open", nlohmann::json::array()), std::runtime_error);
}

TEST(Wire, ResultsGoThereAndBack) {
  Result r;
  r.code = Code::waiting;
  r.index = 5;
  r.session = 6;
  r.token = (1ULL << 40) + 3;
  r.place = 2;
  r.version = 8;
  r.why = "so";
  r.renewed = {{6, true, {{"l", 9, true}}}};
  EXPECT_EQ(resultOf(toJson(r)), r);
  EXPECT_THROW(resultOf({{"code", "fine"}, {"index", 1}}), std::exception);
}

}  // namespace
}  // namespace quilltide::fleet
