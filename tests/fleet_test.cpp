// How a Sender adapts to the size of its fleet: probes, rate shares, idle connections and rare calls.
#include <gtest/gtest.h>

#include "sender_fixture.hpp"

namespace quilltide {
namespace {

using fixtures::SenderFixture;

Settings fleetSettings(int fleetSize) {
  Settings settings = SenderFixture::defaultSettings();
  settings.fleetSize = fleetSize;
  return settings;
}

TEST(FleetSize, ReducesProbesOfARarelyCalledDestination) {
  Micros firstProbeDelay[2] = {0, 0};
  for (int i = 0; i < 2; ++i) {
    SenderFixture fixture(fleetSettings(i == 0 ? 2 : 300));
    fixture.updateTargets({"a"});
    fixture.submitMessage();
    fixture.completeOldestCall(CallResult::connectFailed);
    fixture.advance(5000);
    if (fixture.inFlightCalls() > 0) fixture.completeOldestCall(CallResult::connectFailed);
    const Micros openedAt = fixture.now();
    fixture.advanceUntilCall(14'000'000);
    firstProbeDelay[i] = fixture.now() - openedAt;
  }
  EXPECT_LT(firstProbeDelay[0], 3'000'000);
  EXPECT_GT(firstProbeDelay[1], 3 * firstProbeDelay[0]);
}

TEST(FleetSize, ReducesCallsPerSenderToARecoveredDestination) {
  Settings settings = fleetSettings(2);
  settings.capacityAccuracy = CapacityAccuracy::nominal;
  std::size_t calls[2] = {0, 0};
  for (int i = 0; i < 2; ++i) {
    settings.fleetSize = i == 0 ? 2 : 300;
    SenderFixture fixture(settings);
    DirectoryView view;
    view.entries.push_back({"a", 1, 0, 0, 20, Availability::inService});
    fixture.processEvents({view});
    fixture.submitMessage();
    fixture.completeOldestCall(CallResult::connectFailed);
    fixture.advance(5000);
    if (fixture.inFlightCalls() > 0) fixture.completeOldestCall(CallResult::connectFailed);
    fixture.advanceUntilCall(15'000'000);
    if (fixture.inFlightCalls() == 0) {  // no probe within the lifetime of the message
      calls[i] = 0;
      continue;
    }
    fixture.completeOldestCall(CallResult::succeeded);
    for (int k = 0; k < 60; ++k)
      fixture.submitMessage();  // below the share of the rated capacity with two senders
    const std::size_t callsBefore = fixture.callCount();
    for (int k = 0; k < 200; ++k) {
      fixture.advance(20'000);
      while (fixture.inFlightCalls() > 0) fixture.completeOldestCall(CallResult::succeeded);
    }
    calls[i] = fixture.callCount() - callsBefore;
  }
  EXPECT_GT(calls[0], 2U);
  EXPECT_LT(calls[1], calls[0]);
}

TEST(RareCalls, OneOverdueCallOpensTheBreakerAndItsAnswerClosesIt) {
  SenderFixture fixture(fleetSettings(300));
  fixture.updateTargets({"a"});
  for (int i = 0; i < 2; ++i) {
    fixture.submitMessage();
    fixture.advance(100'000);
    fixture.completeOldestCall(CallResult::succeeded);
    fixture.advance(2'000'000);
  }
  for (int i = 0; i < 40; ++i) fixture.advance(1'000'000);
  fixture.submitMessage();
  ASSERT_EQ(fixture.inFlightCalls(), 1U);
  fixture.advance(1'000'000);
  fixture.advance(1'000'000);
  const std::size_t callsBefore = fixture.callCount();
  fixture.submitMessage();
  fixture.advance(100'000);
  EXPECT_EQ(fixture.callCount(), callsBefore);  // the breaker is open
  fixture.completeOldestCall(CallResult::succeeded);
  fixture.advanceUntilCall(1'000'000);
  EXPECT_EQ(fixture.callCount(), callsBefore + 1);
}

TEST(RareCalls, RepeatedBusyResultsIncreaseTheDelay) {
  SenderFixture fixture(fleetSettings(300));
  fixture.updateTargets({"a"});
  fixture.submitMessage();
  Micros previousDelay = 0, delay = 0;
  for (int i = 0; i < 4; ++i) {
    fixture.completeOldestCall(CallResult::busy);
    const Micros busyAt = fixture.now();
    fixture.advanceUntilCall(14'000'000);
    if (fixture.inFlightCalls() == 0) break;
    previousDelay = delay;
    delay = fixture.now() - busyAt;
  }
  EXPECT_GT(delay, previousDelay);
}

std::size_t closedConnections(const SenderFixture& fixture) {
  std::size_t count = 0;
  for (const Action& action : fixture.lastActions())
    count += std::holds_alternative<CloseIdleConnections>(action) ? 1 : 0;
  return count;
}

TEST(IdleConnections, AreClosedInALargeFleetAfterConnectFailures) {
  SenderFixture fixture(fleetSettings(300));
  fixture.updateTargets({"a", "b"});
  for (int i = 0; i < 8; ++i) {
    fixture.submitMessage();
    if (fixture.inFlightCalls() > 0)
      fixture.completeOldestCall(i < 4 ? CallResult::connectFailed : CallResult::succeeded);
    fixture.advance(100'000);
  }
  std::size_t closedCount = 0;
  for (int i = 0; i < 1000 && closedCount == 0; ++i) {
    if (fixture.inFlightCalls() > 0) fixture.completeOldestCall(CallResult::succeeded);
    closedCount += closedConnections(fixture);
    fixture.advance(20'000);
    closedCount += closedConnections(fixture);
  }
  EXPECT_GE(closedCount, 1U);
}

TEST(IdleConnections, AResetAfterLongIdlenessKeepsTheBreakerClosed) {
  Settings settings = fleetSettings(3);
  settings.classes[0].effect = Effect::keyed;
  SenderFixture fixture(settings);
  fixture.updateTargets({"a"});
  fixture.submitMessage();
  fixture.advance(100'000);
  fixture.completeOldestCall(CallResult::succeeded);
  // Two connections that are idle for 4 s; one of them is used again.
  for (int i = 0; i < 2; ++i) fixture.submitMessage();
  ASSERT_EQ(fixture.inFlightCalls(), 2U);
  while (fixture.inFlightCalls() > 0) fixture.completeOldestCall(CallResult::succeeded);
  fixture.advance(4'000'000);
  fixture.submitMessage();
  ASSERT_EQ(fixture.inFlightCalls(), 1U);
  fixture.completeOldestCall(CallResult::reset);
  EXPECT_EQ(closedConnections(fixture), 1U);  // the idle connection is closed
  fixture.advanceUntilCall(1'000'000);
  EXPECT_GE(fixture.inFlightCalls(), 1U);  // the breaker is closed: retried at once
}

TEST(DirectoryList, AcceptsThousandsOfDuplicateAndMovedTargets) {
  SenderFixture fixture(fleetSettings(0));
  DirectoryView view;
  for (int i = 0; i < 4000; ++i)
    view.entries.push_back({"t" + std::to_string(i % 3000), i % 700, 0, 0, -1, Availability::inService});
  fixture.processEvents({view});
  fixture.submitMessage();
  EXPECT_EQ(fixture.inFlightCalls(), 1U);
  fixture.completeOldestCall(CallResult::succeeded);
  fixture.updateTargets({});
  const MessageId id = fixture.submitMessage();
  for (int i = 0; i < 900; ++i) fixture.advance(20'000);
  EXPECT_TRUE(fixture.isRejected(id));
}

TEST(ClockJump, EndsEveryMessageAfterManyTimeouts) {
  SenderFixture fixture(fleetSettings(50));
  fixture.updateTargets({"a", "b"});
  for (int i = 0; i < 30; ++i) fixture.submitMessage();
  fixture.advance(30'000'000);
  while (fixture.inFlightCalls() > 0) fixture.completeOldestCall(CallResult::timedOut);
  for (int i = 0; i < 10; ++i) fixture.advance(20'000);
  EXPECT_EQ(fixture.endedMessages(), 30U);
}

}  // namespace
}  // namespace quilltide
