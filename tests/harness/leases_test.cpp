// Leases among processes: holders paused, cut off, with clocks off, before a witness of every act.
#include <signal.h>

#include <fstream>

#include "fleet_fixture.hpp"

namespace quilltide::harness {
namespace {

using nlohmann::json;

struct LeasesTest : FleetTest {
  std::string holderOf(const std::string& lease) {
    for (auto at = witness.acts().rbegin(); at != witness.acts().rend(); ++at)
      if (at->lease == lease) return at->member;
    return "";
  }
  void startTestClients(int count, const TestClientPlan& like) {
    for (int i = 1; i <= count; ++i) {
      TestClientPlan plan = like;
      plan.name = "a" + std::to_string(i);
      startTestClient(plan);
    }
  }
  // From a holder's end to the next one's first act.
  std::int64_t takenOverWithin(const std::string& lease, const std::string& from, std::int64_t since) {
    for (const Witness::Act& a : witness.acts())
      if (a.lease == lease && a.member != from && a.begin > since) return (a.begin - since) / 1'000;
    return -1;
  }
};

TEST_F(LeasesTest, OneActsAndWhenItDiesTheNextDoesWithinTheTerm) {
  startCoordinators();
  startTestClients(3, {"", {"job"}});
  ASSERT_TRUE(actsGoOn("job", 20));
  const std::string first = holderOf("job");
  const auto since = now();
  harness.child(first).kill();
  ASSERT_TRUE(until([&] { return takenOverWithin("job", first, since) >= 0; }));
  // The term, the drift, and what a request takes.
  EXPECT_LT(takenOverWithin("job", first, since), 1'000 + 700);
  EXPECT_EQ(witness.overlap(), "");
}

TEST_F(LeasesTest, GivenBackTheNextHasItAtOnce) {
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.termMs = 2'000;
  plan.giveBackAfter = 5;
  startTestClients(3, plan);
  // All three take turns, and nobody waits for a term to run out.
  ASSERT_TRUE(until([&] { return witness.by("a1") > 20 && witness.by("a2") > 20 && witness.by("a3") > 20; }))
      << harness.timeline().text(100);
  EXPECT_LT(witness.longestGap("job", witness.acts().front().begin), 1'000);
  EXPECT_EQ(witness.overlap(), "");
}

TEST_F(LeasesTest, OnSigtermItIsGivenBack) {
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.termMs = 2'000;
  startTestClients(2, plan);
  ASSERT_TRUE(actsGoOn("job", 10));
  const std::string first = holderOf("job");
  const auto since = now();
  harness.child(first).signal(SIGTERM);
  ASSERT_TRUE(until([&] { return takenOverWithin("job", first, since) >= 0; }));
  EXPECT_LT(takenOverWithin("job", first, since), 1'000);
}

TEST_F(LeasesTest, PausedForThreeTermsAHolderWakesAndDoesNotAct) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(actsGoOn("job", 10));
  const std::string first = holderOf("job");
  harness.child(first).signal(SIGSTOP);
  const auto since = now();
  ASSERT_TRUE(until([&] { return takenOverWithin("job", first, since) >= 0; }));
  harness.wait(milliseconds(2'000));
  const std::size_t before = witness.by(first);
  harness.child(first).signal(SIGCONT);
  ASSERT_TRUE(harness.awaitLine(first, "lost job", milliseconds(3'000)));
  harness.wait(milliseconds(500));
  EXPECT_EQ(witness.by(first), before);
  EXPECT_EQ(witness.overlap(), "");
  // It stands in line again: the other one's end is its turn.
  harness.child(holderOf("job")).kill();
  EXPECT_TRUE(until([&] { return witness.by(first) > before; }));
}

TEST_F(LeasesTest, PausedBetweenCheckAndActItsActIsRefusedByTheToken) {
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.hook = true;
  startTestClients(2, plan);
  ASSERT_TRUE(actsGoOn("job", 10));
  const std::string first = holderOf("job");
  std::ofstream(harness.child(first).folder() / "hook") << "x";
  ASSERT_TRUE(harness.awaitLine(first, "stops between check and act", milliseconds(3'000)));
  const auto since = now();
  ASSERT_TRUE(until([&] { return takenOverWithin("job", first, since) >= 0; }));
  ASSERT_EQ(witness.refused(), 0U);
  harness.child(first).signal(SIGCONT);
  // It acts, believing what it checked; only what it acts on can know better.
  EXPECT_TRUE(until([&] { return witness.refused() == 1; })) << harness.timeline().text(80);
  EXPECT_EQ(witness.overlap(), "");
}

TEST_F(LeasesTest, RenewalsThatReachNobodyEndItsActsBeforeTheTerm) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(actsGoOn("job", 10));
  const std::string first = holderOf("job");
  const auto since = now();
  cut(first + "->k..http", true, false);
  ASSERT_TRUE(harness.awaitLine(first, "ending job", milliseconds(3'000)));
  ASSERT_TRUE(until([&] { return takenOverWithin("job", first, since) >= 0; }));
  EXPECT_EQ(witness.overlap(), "");
  EXPECT_EQ(witness.by(first, since + 1'000'000), 0U);
}

TEST_F(LeasesTest, RenewalsWhoseAnswersAreLostCountForNothing) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(actsGoOn("job", 10));
  const std::string first = holderOf("job");
  const auto since = now();
  cut(first + "->k..http", false, true);
  // The coordinators hear it and keep it its place; it hears nothing and stops.
  ASSERT_TRUE(harness.awaitLine(first, "lost job", milliseconds(5'000)));
  EXPECT_EQ(witness.by(first, since + 1'000'000), 0U);
  heal(first + "->.*");
  EXPECT_TRUE(actsGoOn("job"));
  EXPECT_EQ(witness.overlap(), "");
}

TEST_F(LeasesTest, TheLeaderIsCutOffWithItsHolderAndTheOthersGoOn) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(actsGoOn("job", 10));
  const std::string first = holderOf("job"), lead = leader();
  const auto since = now();
  // On one side the leader and the holder, on the other all else.
  cut(lead + "->k..*");
  cut("k.->" + lead + "..*");
  for (int k = 1; k <= 3; ++k) {
    const std::string other = "k" + std::to_string(k);
    cut(std::string(other == lead ? (first == "a1" ? "a2" : "a1") : first) + "->" + other + ".http");
  }
  ASSERT_TRUE(until([&] { return takenOverWithin("job", first, since) >= 0; }))
      << harness.timeline().text(100);
  EXPECT_EQ(witness.overlap(), "");
  heal();
  EXPECT_TRUE(actsGoOn("job"));
  EXPECT_EQ(witness.overlap(), "");
}

TEST_F(LeasesTest, TheLeaderDiesAndTheHolderActsOn) {
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.termMs = 2'000;
  startTestClients(2, plan);
  ASSERT_TRUE(actsGoOn("job", 10));
  const std::string first = holderOf("job");
  const auto since = now();
  harness.child(leader()).kill();
  harness.wait(milliseconds(3'500));
  EXPECT_EQ(holderOf("job"), first);
  EXPECT_LT(witness.longestGap("job", since), 1'500);
  EXPECT_EQ(witness.overlap(), "");
}

TEST_F(LeasesTest, AllCoordinatorsDieAndAreBackAndTokensGoOnlyUp) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(actsGoOn("job", 10));
  for (Child* k : harness.children("k.")) k->kill();
  harness.wait(milliseconds(1'500));  // terms are over: nobody acts
  const auto silent = now();
  harness.wait(milliseconds(300));
  EXPECT_EQ(witness.under("job", silent), 0U);
  for (int id = 1; id <= 3; ++id) harness.start("k" + std::to_string(id));
  EXPECT_TRUE(actsGoOn("job"));
  EXPECT_EQ(witness.refused(), 0U);
  EXPECT_EQ(witness.overlap(), "");
}

TEST_F(LeasesTest, ClocksOffByTheStatedDriftChangeNothing) {
  coordinators.drift = 0.05;
  coordinators.clock = true;
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.drift = 0.05;
  plan.clock = true;
  plan.giveBackAfter = 0;
  startTestClients(3, plan);
  ASSERT_TRUE(actsGoOn("job", 5));
  // Coordinators that run fast end terms early; holders that run slow think that they last.
  for (Child* k : harness.children("k.")) k->clock()->rate(1.05);
  for (Child* a : harness.children("a.")) a->clock()->rate(0.95);
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(actsGoOn("job", 10)) << harness.timeline().text(80);
    const std::string first = holderOf("job");
    cut(first + "->k..http");
    const auto since = now();
    ASSERT_TRUE(until([&] { return takenOverWithin("job", first, since) >= 0; }));
    EXPECT_EQ(witness.overlap(), "");
    heal();
  }
}

TEST_F(LeasesTest, BeyondTheStatedDriftTwoMayActAndTheWitnessSees) {
  coordinators.clock = true;
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.clock = true;
  plan.actMs = 40;
  plan.everyMs = 1;
  startTestClients(2, plan);
  ASSERT_TRUE(actsGoOn("job", 5));
  const std::string first = holderOf("job");
  harness.child(first).clock()->rate(0.4);  // its seconds take two and a half
  harness.wait(milliseconds(600));
  cut(first + "->k..http");
  // This is why the drift has to be stated truly: here the token alone keeps the older one out.
  EXPECT_TRUE(until([&] { return !witness.overlap().empty() || witness.refused() > 0; }));
}

TEST_F(LeasesTest, TheWallClockJumpsAndNothingHappens) {
  coordinators.clock = true;
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.clock = true;
  startTestClients(2, plan);
  ASSERT_TRUE(actsGoOn("job", 5));
  const std::string first = holderOf("job");
  for (Child* c : harness.children("[ak].")) c->clock()->jumpWall(-3'600'000'000);
  harness.wait(milliseconds(1'500));
  for (Child* c : harness.children("[ak].")) c->clock()->jumpWall(7'200'000'000);
  harness.wait(milliseconds(1'500));
  EXPECT_EQ(holderOf("job"), first);
  EXPECT_TRUE(actsGoOn("job", 5));
  EXPECT_EQ(harness.timeline().count("a.", "lost job"), 0U);
}

TEST_F(LeasesTest, ThreeHundredTermsEndInOneSecond) {
  coordinators.longestTermMs = 5'000;
  startCoordinators();
  constexpr int kHolders = 300;
  const std::string to = leader();
  std::vector<std::string> names;
  for (int i = 0; i < kHolders; ++i) names.push_back("job" + std::to_string(i));
  TestClientPlan plan{"a1", names};
  plan.termMs = 4'000;
  plan.everyMs = 2'000;
  // Terms of 4 s that nobody renews; the test client stands in each line.
  const auto begin = now();
  for (int i = 0; i < kHolders; ++i) {
    const auto [opened, session] =
        post(to, "/v1/open",
             {{"name", "h" + std::to_string(i)}, {"nonce", "n" + std::to_string(i)}, {"ttl_us", 4'000'000}});
    ASSERT_EQ(opened, 200);
    ASSERT_EQ(
        post(to, "/v1/acquire", {{"session", session["session"]}, {"request", 1}, {"lease", names[i]}}).first,
        200);
  }
  ASSERT_LT(now() - begin, 3'900'000) << "this machine is too slow for what is to be shown";
  startTestClient(plan);
  EXPECT_TRUE(until([&] { return harness.timeline().count("a1", "gained job") >= kHolders; }, 20'000));
  const auto [status, body] = get(leader(), "/v1/leases");
  ASSERT_EQ(status, 200);
  EXPECT_EQ(body["leases"].size(), kHolders);
  for (const json& lease : body["leases"]) EXPECT_EQ(lease["holder"], "a1");
}

TEST_F(LeasesTest, ARequestRepeatedAtAnotherCoordinatorHasOneEffect) {
  startCoordinators();
  const std::string first = leader();
  const json open = {{"name", "m"}, {"nonce", "n"}, {"ttl_us", 2'000'000}};
  const auto session = post(first, "/v1/open", open).second["session"];
  const json acquire = {{"session", session}, {"request", 1}, {"lease", "job"}};
  const auto token = post(first, "/v1/acquire", acquire).second["token"];
  const json release = {{"session", session}, {"request", 2}, {"lease", "job"}, {"token", token}};
  ASSERT_EQ(post(first, "/v1/release", release).first, 200);
  const json again = {{"session", session}, {"request", 3}, {"lease", "job"}};
  const auto second = post(first, "/v1/acquire", again).second["token"];
  ASSERT_GT(second.get<std::uint64_t>(), token.get<std::uint64_t>());
  harness.child(first).kill();
  const std::string next = leader(first);
  ASSERT_NE(next, "");
  // The answers were lost, so all is asked again: the last one is the same grant, older ones have no effect.
  EXPECT_EQ(post(next, "/v1/open", open).second["session"], session);
  EXPECT_EQ(post(next, "/v1/acquire", again).second["token"], second);
  EXPECT_EQ(post(next, "/v1/release", release).second["code"], "old_request");
  EXPECT_EQ(get(next, "/v1/leases").second["leases"][0]["token"], second);
}

TEST_F(LeasesTest, WhoHoldsItForLongIsCalledBackForThoseWhoWait) {
  coordinators.mostHoldMs = 800;
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.termMs = 800;
  startTestClients(3, plan);
  // Each has its turn, though nobody gives back by itself.
  EXPECT_TRUE(
      until([&] { return witness.by("a1") > 5 && witness.by("a2") > 5 && witness.by("a3") > 5; }, 15'000))
      << harness.timeline().text(100);
  EXPECT_GT(harness.timeline().count("a.", "recalled job"), 1U);
  EXPECT_EQ(witness.overlap(), "");
}

TEST_F(LeasesTest, AnActLongerThanItsTermIsNotBegun) {
  startCoordinators();
  TestClientPlan plan{"", {"job"}};
  plan.termMs = 600;
  plan.actMs = 400;  // with the time to give up it takes 1,230 ms at most
  startTestClients(1, plan);
  ASSERT_TRUE(harness.awaitLine("a1", "gained job", milliseconds(5'000)));
  harness.wait(milliseconds(1'500));
  EXPECT_EQ(witness.by("a1"), 0U);
}

}  // namespace
}  // namespace quilltide::harness
