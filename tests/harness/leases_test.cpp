// Leases with real processes: holders that crash, pause, lose connections or have drifting clocks must not
// overlap.
#include <signal.h>

#include <fstream>

#include "fleet_fixture.hpp"

namespace quilltide::harness {
namespace {

using nlohmann::json;

struct LeasesTest : FleetTest {
  // The member with the latest operation under the lease.
  std::string holderOf(const std::string& lease) {
    for (auto operation = resource.operations().rbegin(); operation != resource.operations().rend();
         ++operation)
      if (operation->lease == lease) return operation->member;
    return "";
  }
  void startTestClients(int count, const TestClientConfig& defaults) {
    for (int i = 1; i <= count; ++i) {
      TestClientConfig config = defaults;
      config.name = "a" + std::to_string(i);
      startTestClient(config);
    }
  }
  // Time from sinceUs to the first operation of another member, in ms; -1 if there is none.
  std::int64_t takeoverDelayMs(const std::string& lease, const std::string& previousHolder,
                               std::int64_t sinceUs) {
    for (const FencedResource::Operation& operation : resource.operations())
      if (operation.lease == lease && operation.member != previousHolder && operation.beginUs > sinceUs)
        return (operation.beginUs - sinceUs) / 1'000;
    return -1;
  }
};

TEST_F(LeasesTest, LeaseOfADeadHolderIsTakenOverWithinItsTerm) {
  startCoordinators();
  startTestClients(3, {"", {"job"}});
  ASSERT_TRUE(operationsContinue("job", 20));
  const std::string holder = holderOf("job");
  const auto sinceUs = nowUs();
  harness.child(holder).kill();
  ASSERT_TRUE(waitUntil([&] { return takeoverDelayMs("job", holder, sinceUs) >= 0; }));
  // The term plus a margin for drift and requests.
  EXPECT_LT(takeoverDelayMs("job", holder, sinceUs), 1'000 + 700);
  EXPECT_EQ(resource.findOverlap(), "");
}

TEST_F(LeasesTest, ReleasedLeaseIsGrantedToTheNextMemberAtOnce) {
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.ttlMs = 2'000;
  config.releaseAfter = 5;
  startTestClients(3, config);
  // The lease passes between all three members without waiting for an expiry.
  ASSERT_TRUE(waitUntil([&] {
    return resource.countByMember("a1") > 20 && resource.countByMember("a2") > 20 &&
           resource.countByMember("a3") > 20;
  })) << harness.timeline().text(100);
  EXPECT_LT(resource.longestGapMs("job", resource.operations().front().beginUs), 1'000);
  EXPECT_EQ(resource.findOverlap(), "");
}

TEST_F(LeasesTest, LeaseIsReleasedOnSigterm) {
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.ttlMs = 2'000;
  startTestClients(2, config);
  ASSERT_TRUE(operationsContinue("job", 10));
  const std::string holder = holderOf("job");
  const auto sinceUs = nowUs();
  harness.child(holder).sendSignal(SIGTERM);
  ASSERT_TRUE(waitUntil([&] { return takeoverDelayMs("job", holder, sinceUs) >= 0; }));
  EXPECT_LT(takeoverDelayMs("job", holder, sinceUs), 1'000);
}

TEST_F(LeasesTest, ResumedHolderDoesNotOperateUnderAnExpiredLease) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(operationsContinue("job", 10));
  const std::string holder = holderOf("job");
  harness.child(holder).sendSignal(SIGSTOP);
  const auto sinceUs = nowUs();
  ASSERT_TRUE(waitUntil([&] { return takeoverDelayMs("job", holder, sinceUs) >= 0; }));
  harness.runFor(milliseconds(2'000));
  const std::size_t before = resource.countByMember(holder);
  harness.child(holder).sendSignal(SIGCONT);
  ASSERT_TRUE(harness.waitForLine(holder, "lost job", milliseconds(3'000)));
  harness.runFor(milliseconds(500));
  EXPECT_EQ(resource.countByMember(holder), before);
  EXPECT_EQ(resource.findOverlap(), "");
  // It waits for the lease again and acquires it when the other holder ends.
  harness.child(holderOf("job")).kill();
  EXPECT_TRUE(waitUntil([&] { return resource.countByMember(holder) > before; }));
}

TEST_F(LeasesTest, HolderPausedAfterItsCheckIsRejectedByFencingToken) {
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.usePauseHook = true;
  startTestClients(2, config);
  ASSERT_TRUE(operationsContinue("job", 10));
  const std::string holder = holderOf("job");
  std::ofstream(harness.child(holder).folder() / "hook") << "x";
  ASSERT_TRUE(harness.waitForLine(holder, "stops between check and act", milliseconds(3'000)));
  const auto sinceUs = nowUs();
  ASSERT_TRUE(waitUntil([&] { return takeoverDelayMs("job", holder, sinceUs) >= 0; }));
  ASSERT_EQ(resource.rejectedCount(), 0U);
  harness.child(holder).sendSignal(SIGCONT);
  // It sends its operation after a check that has become outdated; only the resource can reject it.
  EXPECT_TRUE(waitUntil([&] { return resource.rejectedCount() == 1; })) << harness.timeline().text(80);
  EXPECT_EQ(resource.findOverlap(), "");
}

TEST_F(LeasesTest, HolderStopsBeforeExpiryWhenRenewalsAreLost) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(operationsContinue("job", 10));
  const std::string holder = holderOf("job");
  const auto sinceUs = nowUs();
  cut(holder + "->k..http", true, false);
  ASSERT_TRUE(harness.waitForLine(holder, "ending job", milliseconds(3'000)));
  ASSERT_TRUE(waitUntil([&] { return takeoverDelayMs("job", holder, sinceUs) >= 0; }));
  EXPECT_EQ(resource.findOverlap(), "");
  EXPECT_EQ(resource.countByMember(holder, sinceUs + 1'000'000), 0U);
}

TEST_F(LeasesTest, RenewalsWithoutResponsesDoNotExtendTheLease) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(operationsContinue("job", 10));
  const std::string holder = holderOf("job");
  const auto sinceUs = nowUs();
  cut(holder + "->k..http", false, true);
  // The coordinators receive the renewals and extend the lease; the holder gets no response and stops.
  ASSERT_TRUE(harness.waitForLine(holder, "lost job", milliseconds(5'000)));
  EXPECT_EQ(resource.countByMember(holder, sinceUs + 1'000'000), 0U);
  heal(holder + "->.*");
  EXPECT_TRUE(operationsContinue("job"));
  EXPECT_EQ(resource.findOverlap(), "");
}

TEST_F(LeasesTest, MajorityContinuesWhenLeaderAndHolderAreIsolated) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(operationsContinue("job", 10));
  const std::string holder = holderOf("job"), leadingCoordinator = leader();
  const auto sinceUs = nowUs();
  // Partition: the leader and the holder on one side, all others on the other.
  cut(leadingCoordinator + "->k..*");
  cut("k.->" + leadingCoordinator + "..*");
  for (int k = 1; k <= 3; ++k) {
    const std::string other = "k" + std::to_string(k);
    cut(std::string(other == leadingCoordinator ? (holder == "a1" ? "a2" : "a1") : holder) + "->" + other +
        ".http");
  }
  ASSERT_TRUE(waitUntil([&] { return takeoverDelayMs("job", holder, sinceUs) >= 0; }))
      << harness.timeline().text(100);
  EXPECT_EQ(resource.findOverlap(), "");
  heal();
  EXPECT_TRUE(operationsContinue("job"));
  EXPECT_EQ(resource.findOverlap(), "");
}

TEST_F(LeasesTest, TheLeaderDiesAndTheHolderActsOn) {
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.ttlMs = 2'000;
  startTestClients(2, config);
  ASSERT_TRUE(operationsContinue("job", 10));
  const std::string holder = holderOf("job");
  const auto sinceUs = nowUs();
  harness.child(leader()).kill();
  harness.runFor(milliseconds(3'500));
  EXPECT_EQ(holderOf("job"), holder);
  EXPECT_LT(resource.longestGapMs("job", sinceUs), 1'500);
  EXPECT_EQ(resource.findOverlap(), "");
}

TEST_F(LeasesTest, TokensIncreaseAcrossRestartOfAllCoordinators) {
  startCoordinators();
  startTestClients(2, {"", {"job"}});
  ASSERT_TRUE(operationsContinue("job", 10));
  for (ChildProcess* coordinator : harness.children("k.")) coordinator->kill();
  harness.runFor(milliseconds(1'500));  // all terms have expired
  const auto stoppedUs = nowUs();
  harness.runFor(milliseconds(300));
  EXPECT_EQ(resource.countUnderLease("job", stoppedUs), 0U);
  for (int id = 1; id <= 3; ++id) harness.start("k" + std::to_string(id));
  EXPECT_TRUE(operationsContinue("job"));
  EXPECT_EQ(resource.rejectedCount(), 0U);
  EXPECT_EQ(resource.findOverlap(), "");
}

TEST_F(LeasesTest, ClockDriftWithinTheBoundCausesNoOverlap) {
  coordinatorConfig.maxClockDrift = 0.05;
  coordinatorConfig.useTestClock = true;
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.maxClockDrift = 0.05;
  config.useTestClock = true;
  config.releaseAfter = 0;
  startTestClients(3, config);
  ASSERT_TRUE(operationsContinue("job", 5));
  // Fast coordinators expire leases early; slow holders assume that theirs last longer.
  for (ChildProcess* coordinator : harness.children("k.")) coordinator->testClock()->setRate(1.05);
  for (ChildProcess* client : harness.children("a.")) client->testClock()->setRate(0.95);
  for (int i = 0; i < 3; ++i) {
    ASSERT_TRUE(operationsContinue("job", 10)) << harness.timeline().text(80);
    const std::string holder = holderOf("job");
    cut(holder + "->k..http");
    const auto sinceUs = nowUs();
    ASSERT_TRUE(waitUntil([&] { return takeoverDelayMs("job", holder, sinceUs) >= 0; }));
    EXPECT_EQ(resource.findOverlap(), "");
    heal();
  }
}

TEST_F(LeasesTest, ClockDriftBeyondTheBoundIsDetected) {
  coordinatorConfig.useTestClock = true;
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.useTestClock = true;
  config.operationMs = 40;
  config.pauseMs = 1;
  startTestClients(2, config);
  ASSERT_TRUE(operationsContinue("job", 5));
  const std::string holder = holderOf("job");
  harness.child(holder).testClock()->setRate(0.4);  // one of its seconds takes 2.5 s
  harness.runFor(milliseconds(600));
  cut(holder + "->k..http");
  // With a drift above the configured bound, operations may overlap or be rejected by their token.
  EXPECT_TRUE(waitUntil([&] { return !resource.findOverlap().empty() || resource.rejectedCount() > 0; }));
}

TEST_F(LeasesTest, WallClockJumpsDoNotAffectLeases) {
  coordinatorConfig.useTestClock = true;
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.useTestClock = true;
  startTestClients(2, config);
  ASSERT_TRUE(operationsContinue("job", 5));
  const std::string holder = holderOf("job");
  for (ChildProcess* process : harness.children("[ak].")) process->testClock()->jumpWall(-3'600'000'000);
  harness.runFor(milliseconds(1'500));
  for (ChildProcess* process : harness.children("[ak].")) process->testClock()->jumpWall(7'200'000'000);
  harness.runFor(milliseconds(1'500));
  EXPECT_EQ(holderOf("job"), holder);
  EXPECT_TRUE(operationsContinue("job", 5));
  EXPECT_EQ(harness.timeline().countMatches("a.", "lost job"), 0U);
}

// 300 holders disappear at once. The coordinators' clocks stand almost still until all leases are granted and
// the next member waits for each of them, however long that takes.
TEST_F(LeasesTest, ThreeHundredLeasesExpireWithinOneSecond) {
  constexpr int kHolders = 300;
  constexpr std::int64_t kTtlUs = 4'000'000, kSecondUs = 1'000'000;
  constexpr double kAlmostStopped = 0.001;
  coordinatorConfig.maxTtlMs = 5'000;
  coordinatorConfig.useTestClock = true;
  startCoordinators();
  const std::string coordinatorName = leader();
  const auto slowFromUs = nowUs();
  for (ChildProcess* coordinator : harness.children("k.")) coordinator->testClock()->setRate(kAlmostStopped);
  std::vector<std::string> leaseNames;
  for (int i = 0; i < kHolders; ++i) {
    leaseNames.push_back("job" + std::to_string(i));
    const auto [opened, session] =
        post(coordinatorName, "/v1/open",
             {{"name", "h" + std::to_string(i)}, {"nonce", "n" + std::to_string(i)}, {"ttl_us", kTtlUs}});
    ASSERT_EQ(opened, 200);
    ASSERT_EQ(post(coordinatorName, "/v1/acquire",
                   {{"session", session["session"]}, {"request", 1}, {"lease", leaseNames.back()}})
                  .first,
              200);
  }
  TestClientConfig config{"a1", leaseNames};
  config.ttlMs = 4'000;
  config.pauseMs = 2'000;
  startTestClient(config);
  const auto countLeases = [&](const std::function<bool(const json&)>& matches) {
    const auto [status, body] = get(leader(), "/v1/leases");
    if (status != 200) return -1;
    return static_cast<int>(std::count_if(body["leases"].begin(), body["leases"].end(), matches));
  };
  ASSERT_TRUE(waitUntil(
      [&] { return countLeases([](const json& lease) { return lease["line"] == json{"a1"}; }) == kHolders; },
      60'000));

  const auto beginUs = nowUs();
  const auto passedUs = static_cast<std::int64_t>(static_cast<double>(beginUs - slowFromUs) * kAlmostStopped);
  for (ChildProcess* coordinator : harness.children("k.")) coordinator->testClock()->setRate(1);
  ASSERT_TRUE(
      waitUntil([&] { return harness.timeline().countMatches("a1", "gained job") >= kHolders; }, 20'000));
  std::int64_t firstUs = 0, lastUs = 0;
  for (const Timeline::Entry& entry : harness.timeline().entries()) {
    if (entry.sourceName != "a1" || !entry.text.starts_with("gained job")) continue;
    if (firstUs == 0) firstUs = entry.timeUs;
    lastUs = entry.timeUs;
  }
  const auto driftUs =
      static_cast<std::int64_t>(static_cast<double>(kTtlUs) * coordinatorConfig.maxClockDrift);
  EXPECT_GE(firstUs - beginUs, kTtlUs - passedUs) << "a lease was granted before its holder's term had ended";
  EXPECT_LE(lastUs - beginUs, kTtlUs + driftUs + kSecondUs);
  EXPECT_EQ(countLeases([](const json& lease) { return lease["holder"] == "a1"; }), kHolders);
  EXPECT_EQ(countLeases([](const json&) { return true; }), kHolders);
}

TEST_F(LeasesTest, RequestRetriedAtAnotherCoordinatorTakesEffectOnce) {
  startCoordinators();
  const std::string first = leader();
  const json open = {{"name", "m"}, {"nonce", "n"}, {"ttl_us", 2'000'000}};
  const auto session = post(first, "/v1/open", open).second["session"];
  const json acquire = {{"session", session}, {"request", 1}, {"lease", "job"}};
  const auto token = post(first, "/v1/acquire", acquire).second["token"];
  const json release = {{"session", session}, {"request", 2}, {"lease", "job"}, {"token", token}};
  ASSERT_EQ(post(first, "/v1/release", release).first, 200);
  const json secondAcquire = {{"session", session}, {"request", 3}, {"lease", "job"}};
  const auto secondToken = post(first, "/v1/acquire", secondAcquire).second["token"];
  ASSERT_GT(secondToken.get<std::uint64_t>(), token.get<std::uint64_t>());
  harness.child(first).kill();
  const std::string newLeader = leader(first);
  ASSERT_NE(newLeader, "");
  // All requests are repeated as after lost responses: the latest returns the same grant, older ones have no
  // effect.
  EXPECT_EQ(post(newLeader, "/v1/open", open).second["session"], session);
  EXPECT_EQ(post(newLeader, "/v1/acquire", secondAcquire).second["token"], secondToken);
  EXPECT_EQ(post(newLeader, "/v1/release", release).second["code"], "old_request");
  EXPECT_EQ(get(newLeader, "/v1/leases").second["leases"][0]["token"], secondToken);
}

TEST_F(LeasesTest, LongHeldLeaseIsRecalledForWaitingMembers) {
  coordinatorConfig.maxHoldMs = 800;
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.ttlMs = 800;
  startTestClients(3, config);
  // Each member gets the lease, although none releases it unless it is recalled.
  EXPECT_TRUE(waitUntil(
      [&] {
        return resource.countByMember("a1") > 5 && resource.countByMember("a2") > 5 &&
               resource.countByMember("a3") > 5;
      },
      15'000))
      << harness.timeline().text(100);
  EXPECT_GT(harness.timeline().countMatches("a.", "recalled job"), 1U);
  EXPECT_EQ(resource.findOverlap(), "");
}

TEST_F(LeasesTest, OperationLongerThanItsLeaseIsNotStarted) {
  startCoordinators();
  TestClientConfig config{"", {"job"}};
  config.ttlMs = 600;
  config.operationMs = 400;  // with its timeout, an operation takes at most 1,230 ms
  startTestClients(1, config);
  ASSERT_TRUE(harness.waitForLine("a1", "gained job", milliseconds(5'000)));
  harness.runFor(milliseconds(1'500));
  EXPECT_EQ(resource.countByMember("a1"), 0U);
}

}  // namespace
}  // namespace quilltide::harness
