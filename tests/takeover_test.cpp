// Who has a folder: every order in which an owner's and its successors' steps may fall, with the journal that
// is shipped.
#include "fleet/takeover/takeover.hpp"

#include <gtest/gtest.h>
#include <sys/stat.h>

#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>

#include "journal/journal.hpp"

namespace quilltide::net {
namespace {

namespace fs = std::filesystem;

struct TempFolder {
  TempFolder() {
    std::string name = (fs::temp_directory_path() / "thistleyoke-XXXXXX").string();
    path = ::mkdtemp(name.data());
  }
  ~TempFolder() { fs::remove_all(path); }
  std::string path;
};

PendingMessage message(const std::string& id, const std::string& body = "{}") {
  PendingMessage m;
  m.id = id;
  m.body = body;
  m.messageClass = 2;
  m.deadline = 1'000'000'000;
  return m;
}

// An owner that can be stopped between its write and its look at the marks.
struct Stopped : Ownership {
  using Ownership::Ownership;
  bool isCurrentOwner() const override {
    if (*stop) (*stop)();
    return Ownership::isCurrentOwner();
  }
  std::shared_ptr<std::function<void()>> stop = std::make_shared<std::function<void()>>();
};

// What an successor does with an unsafe message: called again only if no attempt of it may have run.
bool callsAgain(Journal& journal, const std::string& id) {
  const PendingMessage* m = journal.find(id);
  if (m == nullptr) return false;
  return std::all_of(m->attempts.begin(), m->attempts.end(),
                     [](const auto& a) { return a.second.notExecuted; });
}

// Owner: takes a message on (W1 C1, then +OK), writes an attempt (W2), looks (C2), calls. Successors' steps
// are put in at each of the owner's points, in every order, and each successor may die after any of its own.
enum Point { beforeW1, betweenW1C1, beforeW2, betweenW2C2, beforeCall, afterCall, kPoints };

struct Case {
  Point mark, read;  // where the first successor adds its mark, and reads
  bool firstDies;    // after its mark, without reading
  Point secondMark, secondRead;
  bool compacts;  // the owner's second write replaces its file instead of adding to it
};

void playCase(const Case& c) {
  TempFolder folder;
  auto owned = std::make_unique<Stopped>(folder.path, 1);
  const auto stop = owned->stop;
  // The limit decides whether the second write finds room behind the first.
  const std::size_t disk = c.compacts ? 12'500 : 3'000'000;
  const auto inode = [&] {
    struct stat file {};
    ::stat((folder.path + "/journal-00000000000000000001").c_str(), &file);
    return file.st_ino;
  };
  Journal owner(folder.path, disk, {}, std::move(owned));
  std::unique_ptr<Ownership> firstMark, secondMark;
  std::unique_ptr<Journal> first, second;
  bool firstFenced = false;
  const auto successors = [&](Point at) {
    // The owner may be stopped at one point for as long as all of this takes.
    if (at == c.mark) {
      firstMark = std::make_unique<Ownership>(folder.path, 2);
      firstMark->claim();
    }
    if (at == c.read && !c.firstDies) {
      try {
        first = std::make_unique<Journal>(folder.path, disk, OutcomeRetention{},
                                          std::make_unique<Ownership>(folder.path, 2));
      } catch (const std::runtime_error&) {
        firstFenced = true;  // the second one was quicker
      }
    }
    if (at == c.secondMark) {
      secondMark = std::make_unique<Ownership>(folder.path, 3);
      secondMark->claim();
    }
    if (at == c.secondRead)
      second = std::make_unique<Journal>(folder.path, disk, OutcomeRetention{},
                                         std::make_unique<Ownership>(folder.path, 3));
  };
  successors(beforeW1);
  owner.accept(message("m", std::string(c.compacts ? 5'000 : 10, 'x')));
  *stop = [&] { successors(betweenW1C1); };
  const bool taken = owner.commit();
  *stop = nullptr;
  int calls = 0;
  successors(beforeW2);
  if (taken) {
    const auto before = inode();
    PendingMessage& m = *owner.find("m");
    owner.recordAttempt(m, 0, "t", 5);
    *stop = [&] { successors(betweenW2C2); };
    const bool may = owner.commit();
    *stop = nullptr;
    if (c.mark >= beforeCall) {  // else its file may be gone already
      EXPECT_EQ(inode() != before, c.compacts);
    }
    successors(beforeCall);
    if (may) ++calls;
  } else {
    successors(betweenW2C2);
    successors(beforeCall);
  }
  successors(afterCall);
  // The last successor ends it. A first one that had read before the second came may have called too: then it
  // wrote so before, and the second one knows.
  if (first && !firstFenced && !second->find("m")) {
    EXPECT_TRUE(!taken) << "lost between two successors";
  }
  if (callsAgain(*second, "m")) ++calls;
  EXPECT_LE(calls, 1) << "twice: mark " << c.mark << " read " << c.read << " dies " << c.firstDies
                      << " mark2 " << c.secondMark << " read2 " << c.secondRead << " compacts " << c.compacts;
  // +OK was told only if it is in the journal that the last one has.
  if (taken) {
    EXPECT_NE(second->find("m"), nullptr)
        << "lost: mark " << c.mark << " read " << c.read << " mark2 " << c.secondMark;
  }
  if (c.secondMark <= betweenW2C2) {
    EXPECT_EQ(calls - (callsAgain(*second, "m") ? 1 : 0), 0) << "called after the mark";
  }
  // From the mark on the owner writes nothing that counts.
  EXPECT_FALSE([&] {
    owner.accept(message("late"));
    return owner.commit();
  }());
  EXPECT_TRUE(owner.fenced());
  EXPECT_EQ(second->find("late"), nullptr);
}

TEST(Takeover, InEveryOrderOfStepsAMessageIsCalledOnceAtMostAndNeverLost) {
  std::size_t cases = 0;
  for (int mark = 0; mark < kPoints; ++mark)
    for (int read = mark; read < kPoints; ++read)
      for (int secondMark = mark; secondMark < kPoints; ++secondMark)
        for (int secondRead = std::max(secondMark, read); secondRead < kPoints; ++secondRead)
          for (const bool dies : {false, true})
            for (const bool compacts : {false, true}) {
              playCase({static_cast<Point>(mark), static_cast<Point>(read), dies,
                        static_cast<Point>(secondMark), static_cast<Point>(secondRead), compacts});
              ++cases;
            }
  EXPECT_GT(cases, 400U);
}

// The protocol the other way round: the owner looks first and writes then. It has to fail, or the test above
// sees nothing.
TEST(Takeover, LookingBeforeWritingWouldCallTwice) {
  TempFolder folder;
  Journal owner(folder.path, 3'000'000, {}, std::make_unique<Ownership>(folder.path, 1));
  owner.accept(message("m"));
  ASSERT_TRUE(owner.commit());
  const bool may = Ownership(folder.path, 1).isCurrentOwner();  // looks
  Journal successor(folder.path, 3'000'000, {}, std::make_unique<Ownership>(folder.path, 2));
  owner.recordAttempt(*owner.find("m"), 0, "t", 5);
  static_cast<void>(owner.commit());  // writes, and calls by what it saw before
  EXPECT_EQ((may ? 1 : 0) + (callsAgain(successor, "m") ? 1 : 0), 2);
}

TEST(Takeover, ASuccessorThatDiedAnywhereLeavesAllForTheNext) {
  TempFolder folder;
  {
    Journal owner(folder.path, 3'000'000, {}, std::make_unique<Ownership>(folder.path, 7));
    for (int i = 0; i < 20; ++i) owner.accept(message("m" + std::to_string(i)));
    ASSERT_TRUE(owner.commit());
  }
  // Died after its mark; after a file that was begun; after its own file was whole.
  Ownership(folder.path, 8).claim();
  std::ofstream(folder.path + "/journal-00000000000000000009.new") << "begun";
  Ownership(folder.path, 9).claim();
  {
    Journal third(folder.path, 3'000'000, {}, std::make_unique<Ownership>(folder.path, 10));
    EXPECT_EQ(third.pendingMessages().size(), 20U);
    third.recordEnd("m3");
    ASSERT_TRUE(third.commit());
  }
  Journal fourth(folder.path, 3'000'000, {}, std::make_unique<Ownership>(folder.path, 11));
  EXPECT_EQ(fourth.pendingMessages().size(), 19U);
  EXPECT_FALSE(fs::exists(folder.path + "/owner-00000000000000000007"));
}

TEST(Takeover, AFolderFromBeforeTheFleetIsTakenOverAndNotGivenBack) {
  TempFolder folder;
  {
    Journal plain(folder.path, 3'000'000);
    plain.accept(message("m"));
    ASSERT_TRUE(plain.commit());
  }
  {
    Journal owned(folder.path, 3'000'000, {}, std::make_unique<Ownership>(folder.path, 5));
    EXPECT_NE(owned.find("m"), nullptr);
  }
  EXPECT_THROW(Journal(folder.path, 3'000'000), std::runtime_error);
  EXPECT_THROW(Journal(folder.path, 3'000'000, {}, std::make_unique<Ownership>(folder.path, 4)),
               std::runtime_error);
}

TEST(Takeover, WithoutTheFolderNobodyActs) {
  TempFolder folder;
  const std::string path = folder.path + "/f";
  fs::create_directory(path);
  Ownership owner(path, 1);
  owner.claim();
  EXPECT_TRUE(owner.isCurrentOwner());
  fs::remove_all(path);
  EXPECT_FALSE(owner.isCurrentOwner());
}

// The owner stops between its write and its look, and the successor reads the folder meanwhile: what it has
// read may be called, so the owner may not reject it.
TEST(Takeover, ACommitThatASuccessorMayHaveReadIsUncertain) {
  for (const bool looksBeforeWriting : {false, true}) {
    TempFolder folder;
    auto owned = std::make_unique<Stopped>(folder.path, 1);
    const auto stop = owned->stop;
    Journal owner(folder.path, 3'000'000, {}, std::move(owned));
    std::unique_ptr<Journal> successor;
    *stop = [&] {
      if (!successor)
        successor = std::make_unique<Journal>(folder.path, 3'000'000, OutcomeRetention{},
                                              std::make_unique<Ownership>(folder.path, 2));
    };
    if (looksBeforeWriting) {
      EXPECT_FALSE(owner.refreshOwnership());
    }
    owner.accept(message("m"));
    EXPECT_FALSE(owner.commit());
    EXPECT_EQ(owner.uncertain(), !looksBeforeWriting);
    EXPECT_EQ(successor->find("m") != nullptr, !looksBeforeWriting);
  }
}

// ---- A lease that was lost and granted again ----

constexpr std::size_t kDisk = 3'000'000;

std::unique_ptr<Ownership> epoch(const TempFolder& folder, std::uint64_t number) {
  return std::make_unique<Ownership>(folder.path, number);
}

// An owner whose folder nobody else has had keeps its messages, and slower claims by older leases fail.
TEST(RenewedOwnership, KeepsPendingMessagesIfNobodyHadTheFolder) {
  TempFolder folder;
  Journal owner(folder.path, kDisk, {}, epoch(folder, 1));
  owner.accept(message("m"));
  ASSERT_TRUE(owner.commit());
  ASSERT_TRUE(owner.renewOwnership(epoch(folder, 3)));
  EXPECT_THROW(Journal(folder.path, kDisk, {}, epoch(folder, 2)), std::runtime_error);
  owner.accept(message("n"));
  EXPECT_TRUE(owner.commit());
  EXPECT_EQ(Journal(folder.path, kDisk, {}, epoch(folder, 4)).pendingMessages().size(), 2U);
}

// An owner without messages once stopped at the marker of a successor that had given the folder back.
TEST(RenewedOwnership, ContinuesAfterAnotherOwnerThatLeftNothing) {
  TempFolder folder;
  Journal owner(folder.path, kDisk, {}, epoch(folder, 1));
  owner.accept(message("ended"));
  owner.recordEnd("ended");
  ASSERT_TRUE(owner.commit());
  { Journal successor(folder.path, kDisk, {}, epoch(folder, 2)); }
  ASSERT_TRUE(owner.renewOwnership(epoch(folder, 3)));
  owner.accept(message("m"));
  EXPECT_TRUE(owner.commit());
  EXPECT_NE(owner.digestOf("ended"), nullptr);
  EXPECT_NE(Journal(folder.path, kDisk, {}, epoch(folder, 4)).find("m"), nullptr);
}

// Messages that another owner may have called are not called by what this one remembers.
TEST(RenewedOwnership, EndsIfAnotherOwnerHadItsPendingMessages) {
  TempFolder folder;
  Journal owner(folder.path, kDisk, {}, epoch(folder, 1));
  owner.accept(message("m"));
  ASSERT_TRUE(owner.commit());
  {
    Journal successor(folder.path, kDisk, {}, epoch(folder, 2));
    successor.recordEnd("m");
    ASSERT_TRUE(successor.commit());
  }
  EXPECT_FALSE(owner.renewOwnership(epoch(folder, 3)));
  EXPECT_TRUE(owner.fenced());
  EXPECT_FALSE(owner.commit());
  EXPECT_TRUE(Journal(folder.path, kDisk, {}, epoch(folder, 4)).pendingMessages().empty());
}

// Another process of this forwarder took messages on while this one was cut off: they are not dropped.
TEST(RenewedOwnership, EndsIfAnotherOwnerLeftMessages) {
  TempFolder folder;
  Journal owner(folder.path, kDisk, {}, epoch(folder, 1));
  {
    Journal other(folder.path, kDisk, {}, epoch(folder, 2));
    other.accept(message("m"));
    ASSERT_TRUE(other.commit());
  }
  EXPECT_FALSE(owner.renewOwnership(epoch(folder, 3)));
  EXPECT_TRUE(owner.fenced());
  EXPECT_NE(Journal(folder.path, kDisk, {}, epoch(folder, 4)).find("m"), nullptr);
}

// A successor that marked the folder and was stopped there has not acted, and does not afterwards.
TEST(RenewedOwnership, KeepsPendingMessagesIfAnotherOwnerOnlyMarkedTheFolder) {
  TempFolder folder;
  Journal owner(folder.path, kDisk, {}, epoch(folder, 1));
  owner.accept(message("m"));
  ASSERT_TRUE(owner.commit());
  Ownership(folder.path, 2).claim();
  ASSERT_TRUE(owner.renewOwnership(epoch(folder, 3)));
  EXPECT_NE(owner.find("m"), nullptr);
  EXPECT_THROW(Journal(folder.path, kDisk, {}, epoch(folder, 2)), std::runtime_error);
  EXPECT_NE(Journal(folder.path, kDisk, {}, epoch(folder, 4)).find("m"), nullptr);
}

// A grant that was overtaken by a newer one of another member.
TEST(RenewedOwnership, IsNotPossibleByAnEpochThatIsTooLow) {
  TempFolder folder;
  Journal owner(folder.path, kDisk, {}, epoch(folder, 1));
  Journal successor(folder.path, kDisk, {}, epoch(folder, 5));
  EXPECT_THROW(static_cast<void>(owner.renewOwnership(epoch(folder, 3))), std::runtime_error);
  EXPECT_TRUE(successor.renewOwnership(epoch(folder, 6)));
}

// Outcomes stay, and those that the other owner recorded are added.
TEST(RenewedOwnership, KeepsOutcomes) {
  TempFolder folder;
  const OutcomeRetention retention{60'000'000, 100};
  Journal owner(folder.path, kDisk, retention, epoch(folder, 1));
  const auto end = [](Journal& journal, const std::string& id) {
    journal.recordOutcome(journal.accept(message(id)), FinalState::delivered, 0, 1'000);
    journal.recordEnd(id);
    ASSERT_TRUE(journal.commit());
  };
  end(owner, "a");
  {
    Journal other(folder.path, kDisk, retention, epoch(folder, 2));
    end(other, "b");
  }
  ASSERT_TRUE(owner.renewOwnership(epoch(folder, 3)));
  end(owner, "c");
  for (const std::string id : {"a", "b", "c"}) EXPECT_NE(owner.durableOutcome(id), nullptr) << id;
  EXPECT_EQ(owner.lastDurablePosition(), 3U);
}

// ---- Which folders are claimed ----

using Names = std::set<std::string>;

TEST(TakeoverChoice, OnlyWhatHasNoOwnerForLongAndNeverItsOwn) {
  fleet::TakeoverPlanner takeover({"me", 1'000, 10});
  const Names all{"me", "a", "b"};
  EXPECT_TRUE(takeover.selectClaims(all, {"a"}, 0).empty());
  EXPECT_TRUE(takeover.selectClaims(all, {"a"}, 999).empty());
  EXPECT_EQ(takeover.selectClaims(all, {"a"}, 1'000), std::vector<std::string>{"b"});
  EXPECT_TRUE(takeover.selectClaims(all, {"a"}, 2'000).empty());  // it is being taken over
  takeover.finishTakeover("b");
  // Back for a moment: the time begins anew.
  EXPECT_TRUE(takeover.selectClaims(all, {"a", "b"}, 3'000).empty());
  EXPECT_TRUE(takeover.selectClaims(all, {"a"}, 3'500).empty());
  EXPECT_TRUE(takeover.selectClaims(all, {"a"}, 4'499).empty());
  EXPECT_EQ(takeover.selectClaims(all, {"a"}, 4'500).size(), 1U);
}

TEST(TakeoverChoice, SoManyAtOnceAndAnewAfterARest) {
  fleet::TakeoverPlanner takeover({"me", 100, 2});
  const Names all{"a", "b", "c", "d"};
  takeover.selectClaims(all, {}, 0);
  EXPECT_EQ(takeover.selectClaims(all, {}, 100).size(), 2U);
  EXPECT_TRUE(takeover.selectClaims(all, {}, 200).empty());
  takeover.finishTakeover("a");
  EXPECT_EQ(takeover.selectClaims({"c", "d"}, {}, 300), std::vector<std::string>{"c"});
  takeover.resetTimers();
  takeover.finishTakeover("b");
  EXPECT_TRUE(takeover.selectClaims({"d"}, {}, 1'000).empty());
  EXPECT_EQ(takeover.selectClaims({"d"}, {}, 1'100), std::vector<std::string>{"d"});
}

}  // namespace
}  // namespace quilltide::net
