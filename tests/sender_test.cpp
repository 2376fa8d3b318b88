// Tickets, breaker and guards, state by state, on the module alone.
#include <gtest/gtest.h>

#include <algorithm>

#include "bed.hpp"

namespace quilltide {
namespace {

using testbed::Bed;

TEST(Tickets, StartAtOneAndGrowByHalfWhileCallsSucceed) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 10; ++i) bed.arrive();
  EXPECT_EQ(bed.out(), 1U);
  bed.finish(Ending::done);
  EXPECT_EQ(bed.out(), 2U);
  bed.finish(Ending::done);
  EXPECT_EQ(bed.out(), 3U);
  bed.finish(Ending::done);
  EXPECT_EQ(bed.out(), 5U);
}

TEST(Tickets, StayStrictlyUnderThreeQuartersOfTheSlots) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 60; ++i) bed.arrive();
  std::size_t most = 0;
  for (int i = 0; i < 40; ++i) {
    bed.finish(Ending::done);
    most = std::max(most, bed.out());
  }
  EXPECT_EQ(most, 5U);  // of eight slots: six would be three quarters
}

TEST(Breaker, ParksAfterFailuresAndReopensByOneTrial) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 5; ++i) bed.arrive();
  bed.finish(Ending::connectFailed);
  bed.step(5000);
  ASSERT_EQ(bed.out(), 1U);
  bed.finish(Ending::connectFailed);
  bed.step(5000);
  EXPECT_EQ(bed.out(), 0U);  // parked
  bed.stepUntilCall(3'000'000);
  EXPECT_EQ(bed.out(), 1U);  // one trial
  bed.step(5000);
  EXPECT_EQ(bed.out(), 1U);
}

TEST(Breaker, OverdueCallsTripItBeforeTheyTimeOut) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 6; ++i) {
    bed.arrive();
    bed.step(100'000);
    bed.finish(Ending::done);
  }
  for (int i = 0; i < 4; ++i) bed.arrive();
  const std::size_t before = bed.calls();
  ASSERT_GE(bed.out(), 2U);
  for (int i = 0; i < 20; ++i) bed.step(50'000);
  bed.arrive();
  bed.arrive();
  EXPECT_LE(bed.calls() - before, 1U);  // a trial at most
}

TEST(Breaker, ABurstAtAHealthyDestinationDoesNotParkIt) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 40; ++i) bed.arrive();
  for (int i = 0; i < 40; ++i) {
    bed.step(100'000);
    bed.finish(Ending::done);
  }
  EXPECT_EQ(bed.ended(), 40U);
}

// A sender that wakes with a backlog: its messages were held before, so their ticket stops are no errors, or
// they would trip the breaker in the very round that a trial closed it in.
TEST(Breaker, ARecoveredBacklogDoesNotParkItsDestinationAgain) {
  Bed bed(Bed::plain());
  bed.list({"t1"});
  bed.arrive();
  bed.step(50'000);
  bed.finish(Ending::done);
  bed.arrive();
  for (int i = 0; i < 2; ++i) {
    bed.step(5'000);
    ASSERT_EQ(bed.out(), 1U);
    bed.finish(Ending::connectFailed);
  }
  for (MessageId id = 100; id < 112; ++id) {
    Arrival a;
    a.id = id;
    a.destination = 1;
    a.left = 16'000'000;
    a.recovered = Recovered{};
    bed.give({a});
  }
  ASSERT_EQ(bed.out(), 0U);
  bed.stepUntilCall(2'500'000);
  ASSERT_EQ(bed.out(), 1U);  // the trial
  for (int i = 0; i < 12; ++i) {
    bed.step(50'000);
    ASSERT_GE(bed.out(), 1U) << i;
    bed.finish(Ending::done);
  }
}

// Connections that break one by one, while other calls there are answered, park nothing; the refused connects
// of a destination that crashed do.
TEST(Breaker, ResetsBetweenAnswersDoNotPark) {
  Bed bed(Bed::plain());
  bed.list({"t1"});
  for (int i = 0; i < 4; ++i) {
    bed.arrive();
    bed.step(50'000);
    ASSERT_EQ(bed.out(), 1U);
    bed.finish(Ending::done);
    bed.arrive();
    for (int k = 0; k < 2; ++k) {
      bed.step(50'000);
      ASSERT_EQ(bed.out(), 1U) << i << k;  // it goes again at once
      bed.finish(Ending::reset);
    }
    bed.step(50'000);
    ASSERT_EQ(bed.out(), 1U);
    bed.finish(Ending::done);
    for (int k = 0; k < 3; ++k) {
      bed.arrive();
      bed.step(50'000);
      bed.finish(Ending::done);
    }
  }
  bed.arrive();
  for (int i = 0; i < 2; ++i) {
    bed.step(5'000);
    ASSERT_EQ(bed.out(), 1U);
    bed.finish(Ending::connectFailed);
  }
  bed.step(5'000);
  EXPECT_EQ(bed.out(), 0U);
}

TEST(Busy, AboveALimitItPacesAndDoesNotPark) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 20; ++i) bed.arrive();
  for (int i = 0; i < 5; ++i) {
    bed.step(100'000);
    bed.finish(Ending::done);
  }
  bed.finish(Ending::busy);
  bed.step(5000);
  bed.stepUntilCall(1'000'000);
  EXPECT_GE(bed.out(), 1U);
}

TEST(Unsafe, ATimeOutEndsTheMessageAsFailed) {
  Settings s = Bed::plain();
  s.classes[0].effect = Effect::unsafe;
  Bed bed(s);
  bed.list({"a"});
  const MessageId id = bed.arrive();
  bed.finish(Ending::timedOut);
  EXPECT_TRUE(bed.failed(id));
}

TEST(Unsafe, GoesAgainAfterProofThatItDidNotRun) {
  Settings s = Bed::plain();
  s.classes[0].effect = Effect::unsafe;
  Bed bed(s);
  bed.list({"a"});
  bed.arrive();
  bed.finish(Ending::connectFailed);
  bed.stepUntilCall(2'000'000);
  EXPECT_EQ(bed.out(), 1U);
}

TEST(Directory, AsksWhereItMustAndAgainAfterARefusal) {
  Settings s = Bed::plain();
  s.directoryOnRequest = true;
  s.askWithin = 10'000'000;
  Bed bed(s);
  bed.list({"a"});
  EXPECT_EQ(bed.watches(), 1U);
  DirectoryView refused;
  refused.scope = ViewScope::refused;
  bed.give({refused});
  for (int i = 0; i < 30; ++i) bed.step(100'000);
  EXPECT_GE(bed.watches(), 2U);
}

TEST(Batch, HeldMessagesTravelAsOneCall) {
  Settings s = Bed::plain();
  s.kinds[0].batch = 4;
  Bed bed(s);
  bed.list({"a"});
  for (int i = 0; i < 5; ++i) bed.arrive();
  EXPECT_EQ(bed.out(), 1U);
  bed.finish(Ending::done);
  EXPECT_EQ(bed.out(), 4U);
}

TEST(Loss, AnOverdueCallThatLaterOnesOvertookDoesNotPark) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 8; ++i) {
    bed.arrive();
    bed.step(100'000);
    bed.finish(Ending::done);
  }
  bed.arrive();  // the one that is lost
  bed.arrive();
  ASSERT_EQ(bed.out(), 2U);
  for (int i = 0; i < 20; ++i) {
    bed.step(100'000);
    while (bed.out() > 1) bed.finishLatest(Ending::done);
    bed.arrive();
  }
  EXPECT_EQ(bed.calls(), 30U);  // each left at once although the lost one is still out
}

TEST(Loss, PartOfABatchLeftUnansweredIsCalledOff) {
  Settings s = Bed::plain();
  s.kinds[0].batch = 4;
  s.mayCancel = true;
  Bed bed(s);
  bed.list({"a"});
  bed.arrive();
  bed.step(100'000);
  bed.arrive();
  bed.arrive();
  bed.finish(Ending::done);  // the two held ones leave as one call
  ASSERT_EQ(bed.out(), 2U);
  bed.step(100'000);
  bed.finish(Ending::done);
  for (int i = 0; i < 20; ++i) bed.step(100'000);
  EXPECT_EQ(bed.calledOff(), 1U);
}

TEST(Crowded, FailedConnectsBetweenCloseAnswersReturnWithoutARamp) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 30; ++i) bed.arrive();
  bed.step(100'000);
  bed.finish(Ending::done);
  while (bed.out() > 0) bed.finish(Ending::connectFailed);
  bed.stepUntilCall(3'000'000);
  ASSERT_EQ(bed.out(), 1U);
  const std::size_t before = bed.calls();
  for (int i = 0; i < 10; ++i) {
    bed.step(100'000);
    bed.finish(Ending::done);
  }
  EXPECT_GE(bed.calls() - before, 10U);
}

TEST(Ramp, KeptAfterErrorsThoughAnswersComeInBetween) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 60; ++i) bed.arrive();
  bed.step(100'000);
  bed.finish(Ending::done);
  while (bed.out() > 0) bed.finish(Ending::error);
  bed.stepUntilCall(3'000'000);
  ASSERT_EQ(bed.out(), 1U);
  const std::size_t before = bed.calls();
  for (int i = 0; i < 20; ++i) {
    bed.step(100'000);
    if (bed.out() > 0) bed.finish(Ending::done);
  }
  EXPECT_LE(bed.calls() - before, 3U);
}

TEST(Busy, RefusalsAloneForLongMeanShut) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  for (int i = 0; i < 40; ++i) bed.arrive();
  std::size_t early = 0;
  for (int i = 0; i < 500; ++i) {
    if (bed.out() > 0) bed.finish(Ending::busy);
    bed.step(20'000);
    if (i == 249) early = bed.calls();
  }
  EXPECT_LE(bed.calls() - early, 4U);  // trials only, an aim apart
}

TEST(Partial, OneEndpointDownLeavesTheOtherInUse) {
  Bed bed(Bed::plain());
  bed.list({"a", "b"});
  for (int i = 0; i < 60; ++i) {
    bed.arrive();
    bed.step(100'000);
    while (bed.out() > 0) bed.finish(bed.oldest().target == "a" ? Ending::connectFailed : Ending::done);
  }
  EXPECT_GE(bed.ended(), 55U);
}

TEST(Room, TheLeastUrgentIsRefusedBeforeNewcomersAreTurnedAway) {
  Settings s = Bed::plain();
  s.maxOpen = 10;
  s.classes.push_back({2'500'000, 16'000'000, 5, 0.3, Effect::safe, Group::all, 0});
  Bed bed(s);
  bed.list({});
  const MessageId cheap = bed.arrive(0);
  for (int i = 0; i < 9; ++i) bed.arrive(1);
  EXPECT_TRUE(bed.refused(cheap));
  EXPECT_EQ(bed.ended(), 1U);
}

// What a restart found untried is still tried: it goes for no newcomer, however much more that one is worth.
TEST(Room, WhatARestartFoundUntriedGoesForNoNewcomer) {
  Settings s = Bed::plain();
  s.maxOpen = 40;
  s.classes.push_back({2'500'000, 16'000'000, 5, 0.3, Effect::safe, Group::all, 0});
  Bed bed(s);
  bed.list({});
  std::vector<Event> found;
  for (MessageId id = 1'000; id < 1'038; ++id) {
    Arrival a;
    a.id = id;
    a.destination = 1;
    a.left = 9'000'000;
    a.recovered = Recovered{};
    found.push_back(a);
  }
  bed.give(found);
  for (int i = 0; i < 200; ++i) {
    const MessageId newcomer = bed.arrive(1);
    bed.step(20'000);
    EXPECT_TRUE(bed.refused(newcomer)) << i;  // at once: it may come again
  }
  for (MessageId id = 1'000; id < 1'038; ++id) EXPECT_FALSE(bed.refused(id)) << id;
  bed.list({"t1"});
  for (int i = 0; i < 400; ++i) {
    bed.step(10'000);
    while (bed.out() > 0) bed.finish(Ending::done);
  }
  EXPECT_EQ(bed.ended(), 238U);
}

// Nor does it wait behind all that has come since, where the destination takes just as much as comes.
TEST(Room, WhatARestartFoundUntriedHasItsTurnAmongNewcomers) {
  Settings s = Bed::plain();
  s.slots = 1;
  s.decay = Decay::halves;
  Bed bed(s);
  bed.list({"t1"});
  std::vector<Event> found;
  for (MessageId id = 1'000; id < 1'020; ++id) {
    Arrival a;
    a.id = id;
    a.destination = 1;
    a.left = 8'000'000;
    a.recovered = Recovered{};
    found.push_back(a);
  }
  bed.give(found);
  std::set<MessageId> called;
  for (int i = 0; i < 70; ++i) {
    bed.arrive();
    for (int k = 0; k < 5; ++k) bed.step(20'000);
    if (bed.out() == 0) continue;
    called.insert(bed.oldest().id);
    bed.finish(Ending::done);
  }
  int tried = 0;
  for (MessageId id = 1'000; id < 1'020; ++id) tried += called.contains(id) ? 1 : 0;
  EXPECT_EQ(tried, 20);
}

TEST(Settings, ExtremesAreAnsweredOnce) {
  Settings s = Bed::plain();
  s.slots = s.maxOpen = s.maxAttempts = 1;
  s.period = s.warmAfter = s.overloadFor = s.connectionIdle = 0;
  s.classes[0].aim = 0;
  s.classes[0].deadline = 0;
  Bed bed(s);
  bed.list({"a"});
  const MessageId id = bed.arrive();
  bed.step(0);
  bed.step(5000);
  EXPECT_TRUE(bed.refused(id));
  EXPECT_EQ(bed.ended(), 1U);
}

TEST(Listing, ADestinationThatComesBackKeepsItsWait) {
  Bed bed(Bed::plain());
  bed.list({"a"});
  bed.arrive();
  bed.finish(Ending::busy, 2'000'000);
  bed.list({});
  bed.step(100'000);
  bed.list({"a"});
  for (int i = 0; i < 90; ++i) bed.step(20'000);
  EXPECT_EQ(bed.calls(), 1U);
}

}  // namespace
}  // namespace quilltide
