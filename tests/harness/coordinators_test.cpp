// Coordinators as processes: crashes, lost quorum, lost, damaged, outdated or foreign folders, replacement of
// a member.
#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <thread>

#include "fleet_fixture.hpp"

namespace quilltide::harness {
namespace {

namespace fs = std::filesystem;
using nlohmann::json;

struct CoordinatorsTest : FleetTest {
  // Writes a value to the leader; returns its version, 0 on failure.
  std::uint64_t put(const std::string& key, const std::string& value) {
    const std::string leadingCoordinator = leader();
    if (leadingCoordinator.empty()) return 0;
    const auto [status, body] = post(leadingCoordinator, "/v1/put", {{"key", key}, {"value", value}});
    return status == 200 ? body.value("version", std::uint64_t{0}) : 0;
  }
  // With `local`, reads the coordinator's own copy, which needs no quorum. Returns "" on failure.
  std::string valueAt(const std::string& coordinator, const std::string& key, bool local = false) {
    const auto [status, body] = get(coordinator, "/v1/values?prefix=" + key + (local ? "&local" : ""));
    if (status != 200 || body["values"].empty()) return "";
    return body["values"][0]["value"];
  }
  // Waits until the coordinator exits with an error status; true if its output matches the reason.
  bool refusesToStart(const std::string& coordinator, const std::string& reason) {
    if (!waitForExit(coordinator)) return false;
    return harness.child(coordinator).waitStatus() &&
           WEXITSTATUS(*harness.child(coordinator).waitStatus()) != 0 &&
           harness.timeline().countMatches(coordinator, reason) > 0;
  }
};

TEST_F(CoordinatorsTest, SingleCoordinatorServesAndRestarts) {
  coordinatorConfig.count = 1;
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  harness.child("k1").kill();
  harness.start("k1");
  ASSERT_EQ(leader(), "k1");
  EXPECT_EQ(valueAt("k1", "a"), "1");
}

// Guards against a coordinator that is ended by a signal because its handlers are registered late. A pipe in
// place of the settings holds the start.
TEST_F(CoordinatorsTest, SignalsWhileTheSettingsAreReadAreActedOnAfterwards) {
  coordinatorConfig.count = 1;
  harness.add({"k1",
               COORDINATOR,
               {"--config", "{folder}/held.toml"},
               {},
               {{"settings.toml",
                 "[coordinator]\nid = 1\nfleet = \"harness\"\nfolder = \"{state}\"\nlisten = \"{at:http}\"\n"
                 "raft = \"{at:raft}\"\nelection_ms = 300\nheartbeat_ms = 50\n"}},
               false});
  ChildProcess& coordinator = harness.child("k1");
  const fs::path pipe = coordinator.folder() / "held.toml";
  ASSERT_EQ(::mkfifo(pipe.c_str(), 0600), 0);
  for (const int number : {SIGHUP, SIGTERM, SIGINT}) {
    SCOPED_TRACE(number);
    harness.start("k1");
    int writer = -1;
    ASSERT_TRUE(waitUntil([&] {
      if (writer < 0) writer = ::open(pipe.c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return writer >= 0;
    }));
    coordinator.sendSignal(number);
    std::ifstream file(coordinator.folder() / "settings.toml");
    const std::string settings{std::istreambuf_iterator<char>(file), {}};
    ASSERT_EQ(::write(writer, settings.data(), settings.size()), static_cast<ssize_t>(settings.size()));
    ::close(writer);
    if (number == SIGHUP) {
      EXPECT_TRUE(harness.waitForLine("k1", "event=not_reloaded", milliseconds(10'000)));
      EXPECT_EQ(leader(), "k1");
      coordinator.kill();
      continue;
    }
    ASSERT_TRUE(waitForExit("k1"));
    EXPECT_EQ(coordinator.waitStatus(), 0);
  }
}

TEST_F(CoordinatorsTest, CommittedValuesSurviveDeathOfTheLeader) {
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  const std::string first = leader();
  harness.child(first).kill();
  const std::string second = leader(first);
  ASSERT_NE(second, "");
  EXPECT_EQ(valueAt(second, "a"), "1");
  ASSERT_GT(put("a", "2"), 0U);
  harness.start(first);
  EXPECT_TRUE(waitUntil([&] { return valueAt(first, "a", true) == "2"; }));
}

TEST_F(CoordinatorsTest, CommittedValuesSurviveRestartOfAllCoordinators) {
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  for (ChildProcess* process : harness.children("k.")) process->kill();
  for (int id = 1; id <= 3; ++id) harness.start("k" + std::to_string(id));
  const std::string newLeader = leader();
  ASSERT_NE(newLeader, "");
  EXPECT_EQ(valueAt(newLeader, "a"), "1");
}

TEST_F(CoordinatorsTest, WithoutQuorumWritesAndConsistentReadsAreRejected) {
  startCoordinators();
  const std::string first = leader();
  for (ChildProcess* process : harness.children("k."))
    if (process->name() != first) process->kill();
  // The leader steps down when it has lost its quorum.
  EXPECT_TRUE(waitUntil([&] { return findLeader(harness, 3).empty(); }));
  EXPECT_EQ(post(first, "/v1/put", {{"key", "a"}, {"value", "1"}}).first, 421);
  EXPECT_EQ(get(first, "/v1/values?prefix=a").first, 421);
  EXPECT_EQ(get(first, "/v1/values?prefix=a&local").first, 200);
}

TEST_F(CoordinatorsTest, CoordinatorWithLostFolderRefusesToStart) {
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  harness.runFor(milliseconds(700));  // the coordinators exchange their positions
  harness.child("k2").kill();
  harness.child("k2").eraseState();
  harness.start("k2");
  EXPECT_TRUE(refusesToStart("k2", "the folder is lost or an older copy")) << harness.timeline().text();
  EXPECT_GT(put("a", "2"), 0U);  // the remaining quorum accepts writes
}

TEST_F(CoordinatorsTest, CoordinatorWithOlderFolderCopyRefusesToStart) {
  startCoordinators();
  harness.child("k2").kill();
  harness.child("k2").saveState("old");
  harness.start("k2");
  ASSERT_TRUE(harness.waitForLine("k2", "event=ready", milliseconds(10'000)));
  for (int i = 0; i < 5; ++i) ASSERT_GT(put("a", std::to_string(i)), 0U);
  harness.runFor(milliseconds(1'200));
  harness.child("k2").kill();
  harness.child("k2").restoreState("old");
  harness.start("k2");
  EXPECT_TRUE(refusesToStart("k2", "has heard more of this coordinator")) << harness.timeline().text();
  EXPECT_GT(put("a", "x"), 0U);
}

TEST_F(CoordinatorsTest, CoordinatorWithFolderOfAnotherOneRefusesToStart) {
  startCoordinators();
  harness.child("k1").kill();
  harness.child("k2").kill();
  fs::remove_all(harness.child("k2").folder() / "state");
  fs::copy(harness.child("k1").folder() / "state", harness.child("k2").folder() / "state",
           fs::copy_options::recursive);
  harness.start("k2");
  EXPECT_TRUE(refusesToStart("k2", "belongs to coordinator 1 of fleet 'harness'"))
      << harness.timeline().text();
}

TEST_F(CoordinatorsTest, CoordinatorWithDamagedLogRefusesToStartAndKeepsTheLog) {
  startCoordinators();
  for (int i = 0; i < 30; ++i) ASSERT_GT(put("a", std::string(200, 'x')), 0U);
  harness.runFor(milliseconds(700));
  harness.child("k3").sendSignal(SIGTERM);  // closes the open log segment
  ASSERT_TRUE(waitForExit("k3"));
  fs::path segment;
  for (const auto& entry : fs::directory_iterator(harness.child("k3").folder() / "state/engine")) {
    const std::string name = entry.path().filename();
    if (name.find('-') != std::string::npos && name.find("open") == std::string::npos &&
        entry.file_size() > 3'000)
      segment = entry.path();
  }
  ASSERT_FALSE(segment.empty());
  const auto size = fs::file_size(segment);
  {
    std::fstream file(segment, std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(1'500);
    file.put('\x7f');
  }
  harness.start("k3");
  EXPECT_TRUE(refusesToStart("k3", "Nothing of it was changed. Replace this coordinator"))
      << harness.timeline().text();
  EXPECT_EQ(fs::file_size(segment), size);
  EXPECT_GT(put("a", "y"), 0U);
}

TEST_F(CoordinatorsTest, CoordinatorRefusesFolderInUse) {
  coordinatorConfig.count = 1;
  startCoordinators();
  harness.add({"second",
               COORDINATOR,
               {"--config", (harness.child("k1").folder() / "coordinator.toml").string()},
               {},
               {},
               false});
  harness.start("second");
  ASSERT_TRUE(waitForExit("second"));
  EXPECT_EQ(harness.timeline().countMatches("second", "in use by another process"), 1U);
}

TEST_F(CoordinatorsTest, CoordinatorIsReplacedWhileTheFleetRuns) {
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  harness.child("k3").kill();
  // After k3 has been replaced by k4, the fleet tolerates the loss of another coordinator.
  std::string leadingCoordinator = leader();
  EXPECT_EQ(post(leadingCoordinator, "/v1/coordinators", {{"do", "remove"}, {"id", 3}}).first, 200);
  addJoiningCoordinator(harness, COORDINATOR, coordinatorConfig, 4);
  harness.start("k4");
  ASSERT_TRUE(harness.waitForLine("k4", "event=ready", milliseconds(10'000)));
  const auto [status, body] = post(leadingCoordinator, "/v1/coordinators",
                                   {{"do", "add"},
                                    {"id", 4},
                                    {"raft", toString(harness.portEndpoint("k4", "raft"))},
                                    {"http", toString(harness.portEndpoint("k4", "http"))}});
  ASSERT_EQ(status, 200) << body.dump();
  EXPECT_TRUE(waitUntil([&] { return valueAt("k4", "a", true) == "1"; }));
  harness.child(leadingCoordinator == "k1" ? "k2" : "k1").kill();
  EXPECT_TRUE(waitUntil([&] {
    const std::string currentLeader = findLeader(harness, 4);
    return !currentLeader.empty() &&
           post(currentLeader, "/v1/put", {{"key", "a"}, {"value", "2"}}).first == 200;
  }));
}

TEST_F(CoordinatorsTest, SurvivorRecoversAfterPermanentQuorumLoss) {
  startCoordinators();
  const std::string leadingCoordinator = leader();
  const auto [opened, session] =
      post(leadingCoordinator, "/v1/open", {{"name", "m"}, {"nonce", "n"}, {"ttl_us", 1'000'000}});
  ASSERT_EQ(opened, 200);
  const auto [acquired, firstGrant] = post(leadingCoordinator, "/v1/acquire",
                                           {{"session", session["session"]}, {"request", 1}, {"lease", "l"}});
  ASSERT_EQ(acquired, 200);
  ASSERT_GT(put("a", "1"), 0U);
  harness.runFor(milliseconds(300));
  for (ChildProcess* process : harness.children("k.")) process->kill();
  // Recovery is refused without --yes.
  const std::string toml = (harness.child("k1").folder() / "coordinator.toml").string();
  harness.add({"asks", COORDINATOR, {"--config", toml, "recover"}, {}, {}, false});
  harness.start("asks");
  ASSERT_TRUE(waitForExit("asks"));
  EXPECT_EQ(WEXITSTATUS(*harness.child("asks").waitStatus()), 1);
  // The configuration for the recovery has no peers.
  std::ifstream in(toml);
  std::string text{std::istreambuf_iterator<char>(in), {}};
  text = text.substr(0, text.find("[[coordinator.peer]]"));
  std::ofstream(harness.folder() / "alone.toml") << text;
  harness.add({"recover",
               COORDINATOR,
               {"--config", (harness.folder() / "alone.toml").string(), "recover", "--yes"},
               {},
               {},
               false});
  harness.start("recover");
  ASSERT_TRUE(waitForExit("recover"));
  ASSERT_EQ(*harness.child("recover").waitStatus(), 0) << harness.timeline().text();
  harness.add(
      {"alone", COORDINATOR, {"--config", (harness.folder() / "alone.toml").string()}, {}, {}, false});
  const auto beginUs = nowUs();
  harness.start("alone");
  ASSERT_TRUE(waitUntil([&] { return get("k1", "/v1/status").second.value("leads", false); }));
  EXPECT_EQ(valueAt("k1", "a"), "1");
  // A lease that this folder does not contain may still be held: no session is opened before the longest term
  // is over.
  json body;
  ASSERT_TRUE(waitUntil([&] {
    body = post("k1", "/v1/open", {{"name", "m"}, {"nonce", "n2"}, {"ttl_us", 1'000'000}}).second;
    return body.value("code", "") == "ok";
  }));
  EXPECT_GE(nowUs() - beginUs, 2'000'000);
  const auto [acquiredAgain, secondGrant] =
      post("k1", "/v1/acquire", {{"session", body["session"]}, {"request", 1}, {"lease", "l"}});
  ASSERT_EQ(acquiredAgain, 200);
  EXPECT_GT(secondGrant["token"].get<std::uint64_t>(), firstGrant["token"].get<std::uint64_t>());
}

TEST_F(CoordinatorsTest, CoordinatorWithFullDiskExitsAndRestartsWithFreeSpace) {
  startCoordinators();
  const std::string first = leader();
  const std::string follower = first == "k1" ? "k2" : "k1";
  harness.child(follower).limitFileSize(0);
  EXPECT_TRUE(waitForExit(follower)) << harness.timeline().text();
  EXPECT_EQ(harness.child(follower).crashCount(), 0U);
  EXPECT_GT(put("a", "1"), 0U);
  harness.child(follower).limitFileSize(std::nullopt);
  harness.start(follower);
  EXPECT_TRUE(waitUntil([&] { return valueAt(follower, "a", true) == "1"; })) << harness.timeline().text();
}

TEST_F(CoordinatorsTest, RestartFromSnapshotRestoresAllValues) {
  coordinatorConfig.snapshotEntries = 32;
  coordinatorConfig.trailingEntries = 16;
  startCoordinators();
  harness.child("k3").kill();
  for (int i = 0; i < 150; ++i) ASSERT_GT(put("key" + std::to_string(i % 20), std::to_string(i)), 0U);
  harness.start("k3");
  // The entries that k3 missed have been removed from the logs, so it receives a snapshot.
  EXPECT_TRUE(waitUntil([&] { return valueAt("k3", "key9", true) == "149"; })) << harness.timeline().text();
  for (ChildProcess* process : harness.children("k.")) process->kill();
  for (int id = 1; id <= 3; ++id) harness.start("k" + std::to_string(id));
  const std::string newLeader = leader();
  ASSERT_NE(newLeader, "");
  EXPECT_EQ(valueAt(newLeader, "key9"), "149");
  std::size_t files = 0, bytes = 0;
  for (const auto& entry : fs::directory_iterator(harness.child("k1").folder() / "state/engine")) {
    ++files;
    bytes += entry.file_size();
  }
  EXPECT_LT(files, 30U);
  EXPECT_LT(bytes, 2'000'000U);
}

TEST_F(CoordinatorsTest, CommandLineShowsLeasesMembersAndStatus) {
  startCoordinators();
  const std::string coordinatorAddresses = "1=" + toString(harness.portEndpoint("k1", "http")) +
                                           ",2=" + toString(harness.portEndpoint("k2", "http")) +
                                           ",3=" + toString(harness.portEndpoint("k3", "http"));
  harness.add(
      {"hold",
       FLEET,
       {"--coordinators", coordinatorAddresses, "hold", "job", "--as", "shell-1", "--term-ms", "1000"},
       {},
       {},
       false});
  harness.start("hold");
  ASSERT_TRUE(harness.waitForLine("hold", "event=gained lease=job", milliseconds(10'000)))
      << harness.timeline().text();
  harness.add({"leases", FLEET, {"--coordinators", coordinatorAddresses, "leases"}, {}, {}, false});
  harness.add(
      {"members", FLEET, {"--coordinators", coordinatorAddresses, "members", "--json"}, {}, {}, false});
  harness.add({"status", FLEET, {"--coordinators", coordinatorAddresses, "status"}, {}, {}, false});
  for (const char* name : {"leases", "members", "status"}) {
    harness.start(name);
    ASSERT_TRUE(waitForExit(name));
    EXPECT_EQ(*harness.child(name).waitStatus(), 0);
  }
  EXPECT_EQ(harness.timeline().countMatches("leases", "job +shell-1 +[0-9]+ +held"), 1U);
  EXPECT_EQ(harness.timeline().countMatches("members", "\"name\": \"shell-1\""), 1U);
  EXPECT_EQ(harness.timeline().countMatches("status", " leads "), 1U);
  EXPECT_EQ(harness.timeline().countMatches("status", " follows "), 2U);
  harness.child("hold").sendSignal(SIGTERM);
  ASSERT_TRUE(waitForExit("hold"));
  const auto [status, body] = get(leader(), "/v1/leases");
  EXPECT_EQ(status, 200);
  EXPECT_TRUE(body["leases"].empty()) << body.dump();  // released on exit, not expired
}

TEST_F(CoordinatorsTest, WatchReturnsWhenAValueUnderItsPrefixChanges) {
  coordinatorConfig.count = 1;
  startCoordinators();
  ASSERT_GT(put("a/1", "x"), 0U);
  const auto [status, first] = get("k1", "/v1/values?prefix=a/&after=0&wait_ms=2000");
  ASSERT_EQ(status, 200);
  EXPECT_EQ(first["values"].size(), 1U);
  const std::string after = std::to_string(first["index"].get<std::uint64_t>());
  // A change under another prefix does not end the wait.
  const auto beginUs = nowUs();
  ASSERT_GT(put("b/1", "x"), 0U);
  EXPECT_EQ(get("k1", "/v1/values?prefix=a/&after=" + after + "&wait_ms=300").first, 200);
  EXPECT_GE(nowUs() - beginUs, 300'000);
  // A write and a removal during the wait end it.
  for (const bool removal : {false, true}) {
    const auto requestedUs = nowUs();
    const std::string from =
        std::to_string(get("k1", "/v1/values?prefix=a/").second["index"].get<std::uint64_t>());
    const std::string target = "/v1/values?prefix=a/&after=" + from + "&wait_ms=5000";
    std::thread writer([&, at = harness.portEndpoint("k1", "http")] {
      std::this_thread::sleep_for(milliseconds(150));
      boost::asio::io_context writerIo;
      tcp::socket socket(writerIo);
      socket.connect(at);
      const std::string text = removal ? R"({"key":"a/1","value":null})" : R"({"key":"a/2","value":"y"})";
      boost::asio::write(socket, boost::asio::buffer("POST /v1/put HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                                     std::to_string(text.size()) + "\r\n\r\n" + text));
      char byte;
      boost::asio::read(socket, boost::asio::buffer(&byte, 1));
    });
    const auto [readStatus, changes] =
        sendRequest(harness, harness.portEndpoint("k1", "http"), target, nullptr, milliseconds(6'000));
    writer.join();
    EXPECT_EQ(readStatus, 200);
    EXPECT_LT(nowUs() - requestedUs, 3'000'000);
    EXPECT_EQ(changes["values"].size(), removal ? 1U : 2U) << changes.dump();
  }
}

TEST_F(CoordinatorsTest, InvalidRequestsAreRejected) {
  coordinatorConfig.count = 1;
  startCoordinators();
  for (const char* path :
       {"/v1/open", "/v1/acquire", "/v1/put", "/v1/coordinators", "/v1/peer", "/v1/none", "/none"}) {
    for (const json& body :
         {json::array(), json("text"), json{{"id", "x"}}, json{{"session", -1}}, json{{"fence", 1}}})
      EXPECT_GE(post("k1", path, body).first, 400) << path << " " << body.dump();
  }
  EXPECT_EQ(post("k1", "/v1/open", {{"name", "a b"}, {"nonce", "n"}, {"ttl_us", 1'000'000}}).second["code"],
            "bad");
  for (const char* path : {"/v1/changes", "/v1/changes?session=x", "/v1/leases?after=-1", "/v1/none"})
    EXPECT_GE(get("k1", path).first, 400) << path;
  EXPECT_EQ(post("k1", "/v1/put", {{"key", "k"}, {"value", std::string(200'000, 'x')}}).first, 413);
  // Bytes that are not HTTP close only their own connection.
  tcp::socket invalidClient(io);
  invalidClient.connect(harness.portEndpoint("k1", "http"));
  boost::asio::write(invalidClient, boost::asio::buffer(std::string("\x01\x02\r\n\r\n")));
  harness.runFor(milliseconds(50));
  EXPECT_GT(put("a", "1"), 0U);
  EXPECT_TRUE(harness.child("k1").running());
}

TEST_F(CoordinatorsTest, ShippedConfigurationIsValid) {
  harness.add({"check", COORDINATOR, {"--config", SHIPPED_COORDINATOR, "check"}, {}, {}, false});
  harness.start("check");
  ASSERT_TRUE(waitForExit("check"));
  EXPECT_EQ(*harness.child("check").waitStatus(), 0) << harness.timeline().text();
  EXPECT_EQ(harness.timeline().countMatches("check", "coordinator 1 of 3 in fleet 'thistleyoke'"), 1U);
}

TEST_F(CoordinatorsTest, InvalidConfigurationIsReportedByLine) {
  std::ofstream(harness.folder() / "bad.toml")
      << "[coordinator]\nid = 0\nlisten = \"nowhere\"\ncolour = 1\n[[coordinator.peer]]\n";
  harness.add(
      {"check", COORDINATOR, {"--config", (harness.folder() / "bad.toml").string(), "check"}, {}, {}, false});
  harness.start("check");
  ASSERT_TRUE(waitForExit("check"));
  EXPECT_EQ(WEXITSTATUS(*harness.child("check").waitStatus()), 1);
  for (const char* line :
       {":2: coordinator.id: is 0", ":3: coordinator.listen", ":4: coordinator.colour: is not known",
        "coordinator.folder: is missing", "coordinator.peer.raft: is missing"})
    EXPECT_EQ(harness.timeline().countMatches("check", line), 1U) << line << "\n"
                                                                  << harness.timeline().text();
}

}  // namespace
}  // namespace quilltide::harness
