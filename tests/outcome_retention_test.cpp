// Retention of final outcomes while a folder changes hands: it belongs to the folder, not to whoever serves
// it.
#include <gtest/gtest.h>

#include <algorithm>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "journal/journal.hpp"

namespace quilltide::net {
namespace {

namespace fs = std::filesystem;

constexpr std::size_t kDiskBytes = 3'000'000;
constexpr Micros kKeep = 60'000'000;
constexpr Micros kWallTime = 1'700'000'000'000'000;
const OutcomeRetention kOwnerRetention{kKeep, 100};

struct OutcomeRetentionTest : testing::Test {
  OutcomeRetentionTest() {
    std::string name = (fs::temp_directory_path() / "thistleyoke-XXXXXX").string();
    folder = ::mkdtemp(name.data());
  }
  ~OutcomeRetentionTest() override { fs::remove_all(folder); }

  std::unique_ptr<Journal> open(const RetentionSource& retention, std::size_t diskBytes = kDiskBytes) {
    return std::make_unique<Journal>(folder, diskBytes, retention,
                                     std::make_unique<Ownership>(folder, ++epoch));
  }
  std::unique_ptr<Journal> openAsOwner() { return open(kOwnerRetention); }
  std::unique_ptr<Journal> openAsSuccessor() { return open(RetentionSource::recordedInFolder()); }

  static PendingMessage message(const std::string& id) {
    PendingMessage pending;
    pending.id = id;
    pending.body = "{}";
    pending.messageClass = 2;
    pending.digest = digestOf(2, 0, "", "{}");
    return pending;
  }
  static void end(Journal& journal, const std::string& id, Micros wallTime = kWallTime) {
    if (journal.find(id) == nullptr) journal.accept(message(id));
    journal.recordOutcome(*journal.find(id), FinalState::delivered, 0, wallTime);
    journal.recordEnd(id);
    ASSERT_TRUE(journal.commit());
  }
  static void expectOutcomes(const Journal& journal, const std::vector<std::string>& ids) {
    EXPECT_EQ(journal.outcomeCount(), ids.size());
    for (std::size_t i = 0; i < ids.size(); ++i) {
      const FinalOutcome* outcome = journal.durableOutcome(ids[i]);
      ASSERT_NE(outcome, nullptr) << ids[i];
      EXPECT_EQ(outcome->position, i + 1) << ids[i];
      EXPECT_TRUE(journal.digestOf(ids[i]) != nullptr) << ids[i];
    }
  }
  std::string journalFile(std::uint64_t ofEpoch) const { return Ownership(folder, ofEpoch).journalPath(); }
  // Rewrites a journal without the records of one type.
  static void removeRecords(const std::string& path, const std::string& type) {
    std::stringstream content;
    content << std::ifstream(path, std::ios::binary).rdbuf();
    const std::string bytes = content.str();
    std::string kept;
    for (std::size_t offset = 0; offset < bytes.size();) {
      std::uint32_t length = 0;
      std::memcpy(&length, bytes.data() + offset, sizeof length);
      const std::string record = bytes.substr(offset, 8 + length);
      if (record.find(type) == std::string::npos) kept += record;
      offset += record.size();
    }
    std::ofstream(path, std::ios::binary) << kept;
  }

  std::string folder;
  std::uint64_t epoch = 0;
};

// A folder that was taken over forgot the outcomes that its owner kept, and those of the successor were not
// kept: messages handed in again under the same ids ran twice (review/1).
TEST_F(OutcomeRetentionTest, OwnerFindsItsOutcomesAndTheSuccessorsWhenItIsBack) {
  auto owner = openAsOwner();
  end(*owner, "a");
  end(*owner, "b");
  owner->accept(message("c"));
  ASSERT_TRUE(owner->commit());
  const std::uint32_t sequence = owner->epoch();
  owner.reset();
  auto successor = openAsSuccessor();
  EXPECT_EQ(successor->retention(), kOwnerRetention);
  end(*successor, "c");
  successor.reset();
  owner = openAsOwner();
  expectOutcomes(*owner, {"a", "b", "c"});
  EXPECT_EQ(owner->epoch(), sequence);
}

// The takeover of a takeover, and a successor that is itself killed before anything ends.
TEST_F(OutcomeRetentionTest, SeveralSuccessorsKeepAllOutcomes) {
  auto owner = openAsOwner();
  end(*owner, "a");
  owner.reset();
  openAsSuccessor().reset();
  auto second = openAsSuccessor();
  end(*second, "b");
  second.reset();
  auto third = openAsSuccessor();
  end(*third, "c");
  third.reset();
  expectOutcomes(*openAsOwner(), {"a", "b", "c"});
}

// A successor that is killed in its first compaction: before its file is complete, and before the older one
// is gone.
TEST_F(OutcomeRetentionTest, SuccessorKilledInItsFirstCompactionLosesNothing) {
  for (const bool fileComplete : {false, true}) {
    auto owner = openAsOwner();
    end(*owner, fileComplete ? "b" : "a");
    owner.reset();
    const std::uint64_t ownerEpoch = epoch;
    const std::string aside = folder + "-aside";
    fs::copy_file(journalFile(ownerEpoch), aside, fs::copy_options::overwrite_existing);
    openAsSuccessor().reset();
    fs::rename(aside, journalFile(ownerEpoch));
    if (!fileComplete) {
      std::ofstream(journalFile(epoch) + ".new") << "the first bytes of a compaction";
      fs::remove(journalFile(epoch));
    }
    const auto next = openAsSuccessor();
    expectOutcomes(*next, fileComplete ? std::vector<std::string>{"a", "b"} : std::vector<std::string>{"a"});
  }
}

// The owner is back while its successor has claimed the folder and has not written its file.
TEST_F(OutcomeRetentionTest, OwnerIsBackBeforeTheSuccessorHasItsFile) {
  auto owner = openAsOwner();
  end(*owner, "a");
  owner.reset();
  Ownership(folder, ++epoch).claim();
  std::ofstream(journalFile(epoch) + ".new") << "the first bytes of a compaction";
  owner = openAsOwner();
  expectOutcomes(*owner, {"a"});
}

// A successor's later compactions keep the outcomes, and its files stay small.
TEST_F(OutcomeRetentionTest, CompactionsOfASuccessorKeepTheOutcomes) {
  auto owner = openAsOwner();
  end(*owner, "a");
  for (int i = 0; i < 200; ++i) {
    PendingMessage large = message("m" + std::to_string(i));
    large.body = std::string(4'000, 'x');
    owner->accept(large);
  }
  ASSERT_TRUE(owner->commit());
  owner.reset();
  auto successor = openAsSuccessor();
  const std::size_t bytesBefore = successor->fileBytes();
  for (int i = 0; i < 200; ++i) end(*successor, "m" + std::to_string(i));
  EXPECT_LT(successor->fileBytes(), bytesBefore);
  EXPECT_EQ(successor->outcomeCount(), 201U);
  successor.reset();
  owner = openAsOwner();
  EXPECT_EQ(owner->outcomeCount(), 201U);
  EXPECT_NE(owner->durableOutcome("a"), nullptr);
  EXPECT_NE(owner->durableOutcome("m199"), nullptr);
}

// The successor evicts by the owner's settings.
TEST_F(OutcomeRetentionTest, SuccessorEvictsWhatTheOwnerWould) {
  auto owner = openAsOwner();
  end(*owner, "old", kWallTime);
  end(*owner, "new", kWallTime + kKeep);
  owner.reset();
  auto successor = openAsSuccessor();
  successor->evictExpiredOutcomes(kWallTime + kKeep + 1);
  EXPECT_EQ(successor->outcomeCount(), 1U);
  EXPECT_EQ(successor->durableOutcome("old"), nullptr);
  EXPECT_NE(successor->durableOutcome("new"), nullptr);
}

// The owner comes back with other settings: these count from then on, for its next successor as well.
TEST_F(OutcomeRetentionTest, ChangedRetentionOfTheOwnerReachesTheNextSuccessor) {
  auto owner = openAsOwner();
  end(*owner, "a");
  owner.reset();
  const OutcomeRetention changed{2 * kKeep, 50};
  for (const bool compacted : {false, true}) {
    owner = open(changed);
    ASSERT_TRUE(owner->commit());
    owner.reset();
    if (compacted) openAsSuccessor().reset();
    const auto successor = openAsSuccessor();
    EXPECT_EQ(successor->retention(), changed);
    expectOutcomes(*successor, {"a"});
  }
}

// The owner comes back with retention switched off: its outcomes are evicted, and their ids are still known
// as ended.
TEST_F(OutcomeRetentionTest, RetentionSwitchedOffLeavesTheIdsKnown) {
  auto owner = openAsOwner();
  end(*owner, "a");
  owner.reset();
  openAsSuccessor().reset();
  owner = open(OutcomeRetention{});
  EXPECT_EQ(owner->outcomeCount(), 0U);
  EXPECT_NE(owner->digestOf("a"), nullptr);
  ASSERT_TRUE(owner->commit());
  owner.reset();
  const auto successor = openAsSuccessor();
  EXPECT_FALSE(successor->retention().enabled());
}

// Folders of the former format have outcomes and no record of their retention: a successor keeps all of them.
TEST_F(OutcomeRetentionTest, FolderOfTheFormerFormatKeepsItsOutcomes) {
  auto owner = openAsOwner();
  end(*owner, "a");
  owner.reset();
  removeRecords(journalFile(epoch), "retention");
  auto successor = openAsSuccessor();
  end(*successor, "b");
  successor->evictExpiredOutcomes(kWallTime + 100 * kKeep);
  successor.reset();
  expectOutcomes(*openAsSuccessor(), {"a", "b"});
  expectOutcomes(*openAsOwner(), {"a", "b"});
}

// The same with a folder whose first outcome is the successor's.
TEST_F(OutcomeRetentionTest, FolderOfTheFormerFormatWithoutOutcomesKeepsTheSuccessors) {
  auto owner = openAsOwner();
  owner->accept(message("a"));
  ASSERT_TRUE(owner->commit());
  owner.reset();
  removeRecords(journalFile(epoch), "retention");
  auto successor = openAsSuccessor();
  end(*successor, "a");
  successor.reset();
  expectOutcomes(*openAsOwner(), {"a"});
}

// A folder whose owner keeps no outcomes gets none.
TEST_F(OutcomeRetentionTest, SuccessorOfAnOwnerWithoutRetentionKeepsNone) {
  auto owner = open(OutcomeRetention{});
  end(*owner, "a");
  owner.reset();
  auto successor = openAsSuccessor();
  end(*successor, "b");
  EXPECT_EQ(successor->outcomeCount(), 0U);
  EXPECT_EQ(successor->epoch(), 0U);
}

// No space for the successor's file: the takeover fails, and the owner's file stays as it was.
TEST_F(OutcomeRetentionTest, TakeoverWithoutSpaceLeavesTheFolderToItsOwner) {
  auto owner = openAsOwner();
  end(*owner, "a");
  owner->accept(message("b"));
  ASSERT_TRUE(owner->commit());
  const std::uintmax_t ownerBytes = fs::file_size(journalFile(epoch));
  owner.reset();
  EXPECT_THROW(open(RetentionSource::recordedInFolder(), ownerBytes), std::runtime_error);
  owner = openAsOwner();
  expectOutcomes(*owner, {"a"});
  EXPECT_NE(owner->find("b"), nullptr);
}

// The journal grew until its replacement, which has the kept outcomes, had no space beside it: commits
// failed, and with them messages and calls, until the disk limit was raised.
TEST_F(OutcomeRetentionTest, KeptOutcomesLeaveSpaceForACompaction) {
  constexpr std::size_t kSmallDiskBytes = 400'000;
  const auto owner = open(OutcomeRetention{kKeep, 100'000}, kSmallDiskBytes);
  int accepted = 0;
  std::size_t largestFile = 0;
  for (int i = 0; i < 5'000; ++i) {
    const std::string id = "message-" + std::to_string(i);
    PendingMessage large = message(id);
    large.body = std::string(500, 'x');
    if (!owner->hasRoomFor(id.size(), 0, large.body.size())) break;
    owner->accept(large);
    ASSERT_TRUE(owner->commit()) << "message " << i;
    owner->recordAttempt(*owner->find(id), 0, "target", 1);
    ASSERT_TRUE(owner->commit()) << "attempt of message " << i;
    end(*owner, id);
    ++accepted;
    largestFile = std::max(largestFile, owner->fileBytes());
  }
  EXPECT_GT(accepted, 1'000);
  EXPECT_EQ(owner->outcomeCount(), static_cast<std::size_t>(accepted));
  EXPECT_LE(largestFile, kSmallDiskBytes);
}

}  // namespace
}  // namespace quilltide::net
