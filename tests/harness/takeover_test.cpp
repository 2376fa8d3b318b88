// Takeover of the pending messages of a forwarder that has ended or is paused.
#include <signal.h>

#include "takeover_fixture.hpp"

namespace quilltide::harness {
namespace {

using namespace standin;

TEST_F(TakeoverTest, ExactlyOneForwarderTakesOverFromADeadOne) {
  startForwarders(3);
  partner.setScript([](const std::string& id, int attempt) {
    return id.starts_with("hang") && attempt == 0 ? Behavior::hangAfterEffect : Behavior::deliver;
  });
  submitMessage("f0", "hang-unsafe", "paiement");
  submitMessage("f0", "hang-keyed", "ordre");
  ASSERT_TRUE(waitUntil([&] { return effects.all().size() == 2; })) << harness.timeline().text();
  partner.goOffline();  // later messages stay pending
  submitMessage("f0", "held-unsafe", "paiement");
  submitMessage("f0", "held-keyed", "ordre");
  ASSERT_TRUE(waitUntil([&] { return accepted("held-unsafe") && accepted("held-keyed"); }));
  harness.child("f0").kill();
  partner.comeOnline();
  EXPECT_TRUE(waitUntil(
      [&] { return harness.timeline().countMatches("f[12]", "all messages of f0 have ended") == 1; }, 20'000))
      << harness.timeline().text();
  EXPECT_EQ(takeoverCount(), 1U);
  EXPECT_EQ(effects.countOf("hang-unsafe"), 1U);  // it was executed and must not be repeated
  EXPECT_EQ(directory.notices().at("hang-unsafe").outcome, "given_up");
  EXPECT_EQ(effects.countOf("hang-keyed"), 1U);
  EXPECT_TRUE(effects.isSettled("hang-keyed"));
  EXPECT_EQ(effects.countOf("held-unsafe") + directory.notices().contains("held-unsafe"), 1U);
  EXPECT_LE(effects.countOf("held-keyed"), 1U);
  // The takeover is complete, so f0 can start again without pending messages.
  harness.start("f0");
  ASSERT_TRUE(harness.waitForLine("f0", "is ready", milliseconds(10'000)));
  submitMessage("f0", "after", "statut");
  EXPECT_TRUE(waitUntil([&] { return effects.isSettled("after"); }));
}

TEST_F(TakeoverTest, PausedForwarderStopsAfterItsFolderIsTakenOver) {
  startForwarders(2);
  partner.goOffline();
  for (int i = 0; i < 5; ++i) submitMessage("f0", "p" + std::to_string(i), "paiement");
  ASSERT_TRUE(waitUntil([&] { return accepted("p4"); }));
  harness.child("f0").sendSignal(SIGSTOP);
  ASSERT_TRUE(waitUntil([&] { return takeoverCount() == 1; })) << harness.timeline().text();
  partner.comeOnline();
  ASSERT_TRUE(waitUntil(
      [&] { return harness.timeline().countMatches("f1", "all messages of f0 have ended") == 1; }, 30'000))
      << harness.timeline().text();
  harness.child("f0").sendSignal(SIGCONT);
  // The resumed forwarder finds its folder marked as taken over and exits.
  ASSERT_TRUE(waitForExit("f0", 20'000)) << harness.timeline().text();
  EXPECT_EQ(WEXITSTATUS(*harness.child("f0").waitStatus()), 4);
  for (int i = 0; i < 5; ++i) {
    const std::string id = "p" + std::to_string(i);
    EXPECT_EQ(effects.countOf(id) + directory.notices().contains(id), 1U) << id;
  }
}

TEST_F(TakeoverTest, NextForwarderCompletesTakeoverWhenSuccessorDies) {
  startForwarders(3);
  partner.goOffline();
  for (int i = 0; i < 10; ++i)
    submitMessage("f0", "p" + std::to_string(i), i % 2 == 0 ? "paiement" : "ordre");
  ASSERT_TRUE(waitUntil([&] { return accepted("p9"); }));
  harness.child("f0").kill();
  ASSERT_TRUE(waitUntil([&] { return takeoverCount() == 1; }));
  const std::string successor =
      harness.timeline().countMatches("f1", "fleet: takes over f0") == 1 ? "f1" : "f2";
  const std::string other = successor == "f1" ? "f2" : "f1";
  harness.child(successor).kill();
  partner.comeOnline();
  ASSERT_TRUE(waitUntil(
      [&] { return harness.timeline().countMatches(other, "all messages of f0 have ended") == 1; }, 30'000))
      << harness.timeline().text();
  for (int i = 0; i < 10; ++i) {
    const std::string id = "p" + std::to_string(i);
    EXPECT_LE(effects.countOf(id), 1U) << id;
    EXPECT_TRUE(effects.isSettled(id) || directory.notices().contains(id)) << id;
  }
}

TEST_F(TakeoverTest, ForwarderThatRestartsInTimeKeepsItsFolder) {
  startForwarders(3);
  // Each downtime is longer than a term, but shorter than the time after which a forwarder is taken over.
  for (int i = 0; i < 3; ++i) {
    harness.child("f0").kill();
    harness.runFor(milliseconds(500));
    harness.start("f0");
    ASSERT_TRUE(harness.waitForLine("f0", "is ready", milliseconds(10'000))) << harness.timeline().text();
    submitMessage("f0", "m" + std::to_string(i), "statut");
    ASSERT_TRUE(waitUntil([&] { return effects.isSettled("m" + std::to_string(i)); }));
  }
  harness.runFor(milliseconds(2'500));
  EXPECT_TRUE(harness.child("f0").running());
  EXPECT_EQ(harness.timeline().countMatches("f0", "another process has taken over the state folder; exiting"),
            0U);
  submitMessage("f0", "last", "paiement");
  EXPECT_TRUE(waitUntil([&] { return effects.isSettled("last"); })) << harness.timeline().text();
}

// A forwarder that was cut off from its coordinators for longer than its term, and has the lease of its
// folder back, once ended with the next message; and nobody knew of its folder any more.
TEST_F(TakeoverTest, ForwarderThatHasItsLeaseBackServesOn) {
  startForwarders(2);
  submitMessage("f0", "before", "paiement");
  ASSERT_TRUE(waitUntil([&] { return effects.isSettled("before"); }));
  for (int round = 1; round <= 2; ++round) {
    cut("f0->k1.http");
    const auto takeovers = static_cast<std::size_t>(round);
    ASSERT_TRUE(waitUntil(
        [&] { return harness.timeline().countMatches("f1", "all messages of f0 have ended") == takeovers; },
        20'000))
        << harness.timeline().text();
    heal("f0->k1.http");
    ASSERT_TRUE(waitUntil([&] { return holds("f0", "folder/f0"); })) << get("k1", "/v1/leases").second;
    harness.runFor(milliseconds(500));  // longer than an interval between two renewals
    const std::string id = "after" + std::to_string(round);
    submitMessage("f0", id, "paiement");
    EXPECT_TRUE(waitUntil([&] { return effects.isSettled(id); })) << harness.timeline().text();
    EXPECT_TRUE(harness.child("f0").running());
  }
  EXPECT_EQ(effects.countOf("before") + effects.countOf("after1") + effects.countOf("after2"), 3U);
  harness.child("f0").kill();
  EXPECT_TRUE(waitUntil([&] { return takeoverCount() == 3; }, 20'000)) << harness.timeline().text();
}

TEST_F(TakeoverTest, ForwardersDeliverWithoutCoordinatorsButStartsWait) {
  startForwarders(2);
  harness.child("k1").kill();
  harness.runFor(milliseconds(1'500));  // all terms have expired
  submitMessage("f0", "m0", "paiement");
  EXPECT_TRUE(waitUntil([&] { return effects.isSettled("m0"); })) << harness.timeline().text();
  harness.child("f1").kill();
  harness.start("f1");
  EXPECT_FALSE(harness.waitForLine("f1", "is ready", milliseconds(1'000)));
  harness.start("k1");
  EXPECT_TRUE(harness.waitForLine("f1", "is ready", milliseconds(10'000))) << harness.timeline().text();
  EXPECT_EQ(harness.timeline().countMatches("f0", "another process has taken over the state folder; exiting"),
            0U);
}

}  // namespace
}  // namespace quilltide::harness
