// What happens to a process reaches each folder that it serves: its own and those that it has taken over.
#include <chrono>
#include <filesystem>
#include <fstream>

#include "served_folders_fixture.hpp"

namespace quilltide::harness {
namespace {

// After SIGHUP the notices of a folder that had been taken over went on to the old address: none arrived, and
// the folder's own forwarder was never ready again (review/9). The dead member's file still names the old
// address.
TEST_F(ServedFoldersTest, NoticesOfATakenOverFolderGoToTheNewAddress) {
  partner.goOffline();
  const auto messages = ids("m", 4);
  killWithPending(messages, milliseconds(6'000));
  ASSERT_TRUE(takesOver("f0", "f1"));
  moveDiscovery("f0", "new");
  endOldDirectory();
  expectNoticesAtNewDirectory(messages);
  EXPECT_TRUE(completes("f0", "f1")) << harness.timeline().text();
  expectReadyAgain("f1");
}

// After SIGHUP the watch of a folder that had been taken over stayed with the old address: a target that only
// the new one lists was never called.
TEST_F(ServedFoldersTest, WatchOfATakenOverFolderGoesToTheNewAddress) {
  Partner newPartner(io, 0, effects);
  partner.goOffline();
  const auto messages = ids("m", 8);
  killWithPending(messages, milliseconds(12'000));
  ASSERT_TRUE(takesOver("f0", "f1"));
  moveDiscovery("f0", "new");
  endOldDirectory();
  harness.runFor(milliseconds(500));
  newDirectory.set({"p0", partner.hostAndPort(), 0});
  newDirectory.set({"p1", newPartner.hostAndPort(), 0});
  EXPECT_TRUE(completes("f0", "f1")) << harness.timeline().text();
  for (const std::string& id : messages) EXPECT_EQ(effects.countOf(id), 1U) << id;
}

// A folder that is claimed after SIGHUP was served with the address in the dead member's file, which nobody
// brings up to date.
TEST_F(ServedFoldersTest, FolderTakenOverAfterTheMoveUsesTheNewAddress) {
  partner.goOffline();
  const auto messages = ids("m", 4);
  killWithPending(messages, milliseconds(6'000));
  moveDiscovery("f0", "new");
  endOldDirectory();
  ASSERT_TRUE(takesOver("f0", "f1"));
  expectNoticesAtNewDirectory(messages);
  EXPECT_TRUE(completes("f0", "f1")) << harness.timeline().text();
}

// A SIGHUP in the moments between the claim of a folder and its start, and again while it is handed back,
// leaves no folder at an older address.
TEST_F(ServedFoldersTest, MovesDuringATakeoverAndItsEndLoseNoNotice) {
  partner.goOffline();
  const auto messages = ids("m", 4);
  killWithPending(messages, milliseconds(6'000));
  ASSERT_TRUE(harness.waitUntil(
      [&] { return harness.timeline().countMatches("f0", "f1 is down, requesting its folder") > 0; },
      kTakeoverTimeout));
  moveDiscovery("f0", "new");
  endOldDirectory();
  expectNoticesAtNewDirectory(messages);
  harness.start("f1");
  moveDiscovery("f0", "directory");
  moveDiscovery("f0", "new");
  EXPECT_TRUE(harness.waitForLine("f1", "is ready", kReadyWithin)) << harness.timeline().text();
  EXPECT_TRUE(harness.child("f0").running());
}

// With two folders taken over, a file that cannot be used changes nothing, and of two moves in a row the last
// one counts, for both folders.
TEST_F(ServedFoldersTest, LastOfSeveralMovesCountsForEachOfTwoFolders) {
  startForwarders(3);
  Directory passedDirectory(io, harness.portEndpoint("passed", "http"));
  partner.goOffline();
  auto messages = ids("a", 4);
  submitAll("f1", messages, milliseconds(9'000));
  const auto others = ids("b", 4);
  submitAll("f2", others, milliseconds(9'000));
  messages.insert(messages.end(), others.begin(), others.end());
  harness.child("f1").kill();
  harness.child("f2").kill();
  ASSERT_TRUE(takesOver("f0", "f1"));
  ASSERT_TRUE(takesOver("f0", "f2"));
  const std::string good = nlohmann::json::parse(std::ifstream(configPath("f0"))).dump();
  std::ofstream(configPath("f0")) << good.substr(0, good.size() / 2);
  harness.child("f0").sendSignal(SIGHUP);
  ASSERT_TRUE(harness.waitForLine("f0", "SIGHUP: configuration .*not reloaded", milliseconds(2'000)));
  std::ofstream(configPath("f0")) << good;
  moveDiscovery("f0", "passed");
  ASSERT_TRUE(harness.waitForLine("f0", "SIGHUP: discovery is at", milliseconds(2'000)));
  moveDiscovery("f0", "new");
  endOldDirectory();
  expectNoticesAtNewDirectory(messages);
  EXPECT_TRUE(passedDirectory.notices().empty());
  EXPECT_TRUE(completes("f0", "f1")) << harness.timeline().text();
  EXPECT_TRUE(completes("f0", "f2")) << harness.timeline().text();
}

// The member that took a folder over dies after the move: the next one serves the folder with the new
// address, although both dead members' files name the old one, and the owner is ready again.
TEST_F(ServedFoldersTest, SuccessorOfASuccessorUsesTheNewAddress) {
  partner.goOffline();
  const auto messages = ids("m", 4);
  killWithPending(messages, milliseconds(10'000), 3);
  ASSERT_TRUE(takesOver("f0", "f1"));
  moveDiscovery("f0", "new");
  moveDiscovery("f2", "new");
  endOldDirectory();
  harness.child("f0").kill();
  ASSERT_TRUE(takesOver("f2", "f1"));
  expectNoticesAtNewDirectory(messages);
  EXPECT_TRUE(completes("f2", "f1")) << harness.timeline().text();
  expectReadyAgain("f1");
}

// A dead member's configuration that is missing or half written is logged with its name, and its folder is
// taken over once it is whole.
TEST_F(ServedFoldersTest, FolderOfAMemberWithAnUnreadableFileIsTakenOverOnceItIsWhole) {
  partner.goOffline();
  const auto messages = ids("m", 2);
  killWithPending(messages, milliseconds(15'000));
  const std::string path = configPath("f1");
  std::filesystem::rename(path, path + ".aside");
  ASSERT_TRUE(
      harness.waitForLine("f0", "cannot take over f1, configuration '" + path + "'", kTakeoverTimeout));
  const std::string whole = nlohmann::json::parse(std::ifstream(path + ".aside")).dump();
  std::ofstream(path) << whole.substr(0, whole.size() / 2);
  ASSERT_TRUE(harness.waitForLine("f0", "cannot take over f1.*is not JSON", kTakeoverTimeout));
  std::ofstream(path) << whole;
  partner.comeOnline();
  EXPECT_TRUE(completes("f0", "f1")) << harness.timeline().text();
  for (const std::string& id : messages) EXPECT_EQ(effects.countOf(id), 1U) << id;
}

// SIGTERM reached the own folder alone: calls of a taken-over folder were begun until the end of the process,
// and cut by it, although their responses came within the drain. Its messages were then given up.
TEST_F(ServedFoldersTest, CallsOfATakenOverFolderAreDrainedBySigterm) { drainsATakenOverFolder(40); }

// The same with several messages in a call.
TEST_F(ServedFoldersTest, BatchesOfATakenOverFolderAreDrainedBySigterm) {
  messagesPerCall = 8;
  drainsATakenOverFolder(240);
}

// With two folders taken over and a target that hangs, the process ends in time, and the leases are given
// back at its end: both owners start without waiting for a term to end.
TEST_F(ServedFoldersTest, SigtermWithTwoTakenOverFoldersGivesBothBack) {
  startForwarders(3);
  partner.setScript([](const std::string&, int) { return Behavior::hangAfterEffect; });
  const auto first = ids("a", 3), second = ids("b", 3);
  submitAll("f1", first, milliseconds(16'000));
  submitAll("f2", second, milliseconds(16'000), "statut");
  harness.child("f1").kill();
  harness.child("f2").kill();
  ASSERT_TRUE(takesOver("f0", "f1"));
  ASSERT_TRUE(takesOver("f0", "f2"));
  harness.child("f0").sendSignal(SIGTERM);
  const auto signalled = std::chrono::steady_clock::now();
  ASSERT_TRUE(waitForExit("f0"));
  EXPECT_LE(std::chrono::steady_clock::now() - signalled, kDrainWithin);
  EXPECT_FALSE(holds("f0", "folder/f1") || holds("f0", "folder/f2"));
  expectReadyAgain("f1");
  expectReadyAgain("f2");
  for (const std::string& id : first) EXPECT_EQ(effects.countOf(id), 1U) << id;
}

// A member that was ending went on to take folders over, and cut their calls with its end.
TEST_F(ServedFoldersTest, MemberThatEndsTakesNoFolderOver) {
  startForwarders(3);
  partner.goOffline();
  submitAll("f1", ids("m", 4), milliseconds(16'000));
  harness.child("f0").sendSignal(SIGTERM);
  harness.child("f1").kill();
  EXPECT_TRUE(takesOver("f2", "f1")) << harness.timeline().text();
  ASSERT_TRUE(waitForExit("f0"));
  EXPECT_EQ(harness.timeline().countMatches("f0", "fleet: takes over"), 0U);
}

// The member that served a folder forgot the outcomes that the owner kept, and kept none of its own: messages
// that were handed in again under the same ids ran twice (review/1).
TEST_F(ServedFoldersTest, OutcomesOutlastATakeoverAndTheOwnersReturn) {
  serviceSettings = "[doors.http]\nlisten = \"{at:http}\"\n";
  startForwarders(2);
  const auto delivered = ids("a", 3), pending = ids("b", 3);
  submitAll("f1", delivered, milliseconds(15'000));
  ASSERT_TRUE(waitUntil([&] {
    return std::all_of(delivered.begin(), delivered.end(),
                       [&](const std::string& id) { return effects.isSettled(id); });
  }));
  harness.runFor(milliseconds(1'000));  // until the responses are reviewed
  partner.goOffline();
  submitAll("f1", pending, milliseconds(15'000));
  harness.child("f1").kill();
  ASSERT_TRUE(takesOver("f0", "f1"));
  partner.comeOnline();
  ASSERT_TRUE(completes("f0", "f1")) << harness.timeline().text();
  expectReadyAgain("f1");
  const auto http = makeHttpClient(io, harness.portEndpoint("f1", "http"), 2);
  std::map<std::string, SubmitResult> repeated;
  for (const auto* group : {&delivered, &pending}) {
    for (const std::string& id : *group) {
      Message message;
      message.id = id;
      message.messageClass = "paiement";
      message.body = "{}";
      http->submit(message, [&, id](const SubmitResult& result) { repeated[id] = result; });
    }
  }
  ASSERT_TRUE(waitUntil([&] { return repeated.size() == delivered.size() + pending.size(); }));
  harness.runFor(milliseconds(500));
  for (const auto& [id, result] : repeated) {
    EXPECT_EQ(result.kind, SubmitResult::Kind::accepted) << id << ": " << result.detail;
    EXPECT_EQ(effects.countOf(id), 1U) << id;
  }
}

// A forwarder that was started again while another member served its folder was not ready until the last of
// its messages had ended, up to their whole time: here 16 s, for a target that does not answer.
TEST_F(ServedFoldersTest, OwnerThatIsBackIsReadyWhileItsMessagesWait) {
  partner.setScript([](const std::string&, int) { return Behavior::hangAfterEffect; });
  const auto messages = ids("m", 4);
  killWithPending(messages, milliseconds(16'000));
  ASSERT_TRUE(takesOver("f0", "f1"));
  expectReadyAgain("f1");
  EXPECT_EQ(harness.timeline().countMatches("f0", "folder of f1 is handed back"), 1U);
  // No id is taken on anew: a repeat is the same message.
  answers.clear();
  submitAll("f1", messages, milliseconds(16'000));
  expectOneEndEach(messages);
}

// The holder dies while it hands a folder back: the owner has it when the holder's term is over.
TEST_F(ServedFoldersTest, HolderKilledWhileItHandsAFolderBackLosesNothing) {
  partner.setScript([](const std::string&, int) { return Behavior::hangAfterEffect; });
  const auto messages = ids("m", 4);
  killWithPending(messages, milliseconds(16'000));
  ASSERT_TRUE(takesOver("f0", "f1"));
  harness.start("f1");
  ASSERT_TRUE(harness.waitForLine("f0", "the owner of f1 is back", milliseconds(5'000)));
  harness.child("f0").kill();
  EXPECT_TRUE(harness.waitForLine("f1", "is ready", kReadyWithin)) << harness.timeline().text();
  expectOneEndEach(messages);
}

// The owner dies again while it waits for its folder: the folder is taken over anew, and all messages end.
TEST_F(ServedFoldersTest, OwnerKilledWhileItsFolderIsHandedBackLosesNothing) {
  partner.goOffline();
  const auto messages = ids("m", 4);
  killWithPending(messages, milliseconds(16'000));
  ASSERT_TRUE(takesOver("f0", "f1"));
  harness.start("f1");
  ASSERT_TRUE(harness.waitForLine("f0", "the owner of f1 is back", milliseconds(5'000)));
  harness.child("f1").kill();
  partner.comeOnline();
  expectOneEndEach(messages);
}

}  // namespace
}  // namespace quilltide::harness
