// Coordinators as processes: killed, cut off, with folders lost, damaged, older or another's, replaced while
// they run.
#include <signal.h>

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
  // A value by a tool; the index that it was written at, 0 if it was not.
  std::uint64_t put(const std::string& key, const std::string& value) {
    const std::string to = leader();
    if (to.empty()) return 0;
    const auto [status, body] = post(to, "/v1/put", {{"key", key}, {"value", value}});
    return status == 200 ? body.value("version", std::uint64_t{0}) : 0;
  }
  std::string valueAt(const std::string& coordinator, const std::string& key, bool local = false) {
    const auto [status, body] = get(coordinator, "/v1/values?prefix=" + key + (local ? "&local" : ""));
    if (status != 200 || body["values"].empty()) return "";
    return body["values"][0]["value"];
  }
  bool refuses(const std::string& coordinator, const std::string& why) {
    if (!ended(coordinator)) return false;
    return harness.child(coordinator).status() && WEXITSTATUS(*harness.child(coordinator).status()) != 0 &&
           harness.timeline().count(coordinator, why) > 0;
  }
};

TEST_F(CoordinatorsTest, OneServesByItself) {
  coordinators.count = 1;
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  harness.child("k1").kill();
  harness.start("k1");
  ASSERT_EQ(leader(), "k1");
  EXPECT_EQ(valueAt("k1", "a"), "1");
}

TEST_F(CoordinatorsTest, TheLeaderIsKilledAndNothingIsLost) {
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  const std::string first = leader();
  harness.child(first).kill();
  const std::string second = leader(first);
  ASSERT_NE(second, "");
  EXPECT_EQ(valueAt(second, "a"), "1");
  ASSERT_GT(put("a", "2"), 0U);
  harness.start(first);
  EXPECT_TRUE(until([&] { return valueAt(first, "a", true) == "2"; }));
}

TEST_F(CoordinatorsTest, AllKilledAtOnceAndBackWithTheirFolders) {
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  for (Child* k : harness.children("k.")) k->kill();
  for (int id = 1; id <= 3; ++id) harness.start("k" + std::to_string(id));
  const std::string back = leader();
  ASSERT_NE(back, "");
  EXPECT_EQ(valueAt(back, "a"), "1");
}

TEST_F(CoordinatorsTest, WithoutAMajorityNothingIsWrittenAndReadsSayWhoCannot) {
  startCoordinators();
  const std::string first = leader();
  for (Child* k : harness.children("k."))
    if (k->name() != first) k->kill();
  // It notices that it leads nobody.
  EXPECT_TRUE(until([&] { return leaderOf(harness, 3).empty(); }));
  EXPECT_EQ(post(first, "/v1/put", {{"key", "a"}, {"value", "1"}}).first, 421);
  EXPECT_EQ(get(first, "/v1/values?prefix=a").first, 421);
  EXPECT_EQ(get(first, "/v1/values?prefix=a&local").first, 200);
}

TEST_F(CoordinatorsTest, ALostFolderIsNotTakenForANewOne) {
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  harness.wait(milliseconds(700));  // each has told how far it came
  harness.child("k2").kill();
  harness.child("k2").loseFolder();
  harness.start("k2");
  EXPECT_TRUE(refuses("k2", "the folder is lost or an older copy")) << harness.timeline().text();
  EXPECT_GT(put("a", "2"), 0U);  // the others go on
}

TEST_F(CoordinatorsTest, AnOlderCopyOfAFolderIsRefused) {
  startCoordinators();
  harness.child("k2").kill();
  harness.child("k2").saveFolder("old");
  harness.start("k2");
  ASSERT_TRUE(harness.awaitLine("k2", "event=ready", milliseconds(10'000)));
  for (int i = 0; i < 5; ++i) ASSERT_GT(put("a", std::to_string(i)), 0U);
  harness.wait(milliseconds(1'200));
  harness.child("k2").kill();
  harness.child("k2").rollBack("old");
  harness.start("k2");
  EXPECT_TRUE(refuses("k2", "has heard more of this coordinator")) << harness.timeline().text();
  EXPECT_GT(put("a", "x"), 0U);
}

TEST_F(CoordinatorsTest, AFolderOfAnotherCoordinatorOrFleetIsRefused) {
  startCoordinators();
  harness.child("k1").kill();
  harness.child("k2").kill();
  fs::remove_all(harness.child("k2").folder() / "state");
  fs::copy(harness.child("k1").folder() / "state", harness.child("k2").folder() / "state",
           fs::copy_options::recursive);
  harness.start("k2");
  EXPECT_TRUE(refuses("k2", "belongs to coordinator 1 of fleet 'harness'")) << harness.timeline().text();
}

TEST_F(CoordinatorsTest, ADamagedLogIsToldAndLeftAsItIs) {
  startCoordinators();
  for (int i = 0; i < 30; ++i) ASSERT_GT(put("a", std::string(200, 'x')), 0U);
  harness.wait(milliseconds(700));
  harness.child("k3").signal(SIGTERM);  // its open segment is closed
  ASSERT_TRUE(ended("k3"));
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
  EXPECT_TRUE(refuses("k3", "Nothing of it was changed. Replace this coordinator"))
      << harness.timeline().text();
  EXPECT_EQ(fs::file_size(segment), size);
  EXPECT_GT(put("a", "y"), 0U);
}

TEST_F(CoordinatorsTest, AFolderInUseIsRefused) {
  coordinators.count = 1;
  startCoordinators();
  harness.add({"second",
               COORDINATOR,
               {"--config", (harness.child("k1").folder() / "coordinator.toml").string()},
               {},
               {},
               false});
  harness.start("second");
  ASSERT_TRUE(ended("second"));
  EXPECT_EQ(harness.timeline().count("second", "in use by another process"), 1U);
}

TEST_F(CoordinatorsTest, OneIsReplacedWhileTheFleetRuns) {
  startCoordinators();
  ASSERT_GT(put("a", "1"), 0U);
  harness.child("k3").kill();
  // The dead one goes, a new one comes, and then another may die.
  std::string to = leader();
  EXPECT_EQ(post(to, "/v1/coordinators", {{"do", "remove"}, {"id", 3}}).first, 200);
  addJoiner(harness, COORDINATOR, coordinators, 4);
  harness.start("k4");
  ASSERT_TRUE(harness.awaitLine("k4", "event=ready", milliseconds(10'000)));
  const auto [status, body] = post(to, "/v1/coordinators",
                                   {{"do", "add"},
                                    {"id", 4},
                                    {"raft", textOf(harness.at("k4", "raft"))},
                                    {"http", textOf(harness.at("k4", "http"))}});
  ASSERT_EQ(status, 200) << body.dump();
  EXPECT_TRUE(until([&] { return valueAt("k4", "a", true) == "1"; }));
  harness.child(to == "k1" ? "k2" : "k1").kill();
  EXPECT_TRUE(until([&] {
    const std::string now = leaderOf(harness, 4);
    return !now.empty() && post(now, "/v1/put", {{"key", "a"}, {"value", "2"}}).first == 200;
  }));
}

TEST_F(CoordinatorsTest, AMajorityIsLostForGoodAndOneSurvivorGoesOnAlone) {
  startCoordinators();
  const std::string to = leader();
  const auto [opened, session] = post(to, "/v1/open", {{"name", "m"}, {"nonce", "n"}, {"ttl_us", 1'000'000}});
  ASSERT_EQ(opened, 200);
  const auto [had, before] =
      post(to, "/v1/acquire", {{"session", session["session"]}, {"request", 1}, {"lease", "l"}});
  ASSERT_EQ(had, 200);
  ASSERT_GT(put("a", "1"), 0U);
  harness.wait(milliseconds(300));
  for (Child* k : harness.children("k.")) k->kill();
  // Not without being told that the others are gone.
  const std::string toml = (harness.child("k1").folder() / "coordinator.toml").string();
  harness.add({"asks", COORDINATOR, {"--config", toml, "recover"}, {}, {}, false});
  harness.start("asks");
  ASSERT_TRUE(ended("asks"));
  EXPECT_EQ(WEXITSTATUS(*harness.child("asks").status()), 1);
  // Alone: its configuration names no peers any more.
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
  ASSERT_TRUE(ended("recover"));
  ASSERT_EQ(*harness.child("recover").status(), 0) << harness.timeline().text();
  harness.add(
      {"alone", COORDINATOR, {"--config", (harness.folder() / "alone.toml").string()}, {}, {}, false});
  const auto begin = now();
  harness.start("alone");
  ASSERT_TRUE(until([&] { return get("k1", "/v1/status").second.value("leads", false); }));
  EXPECT_EQ(valueAt("k1", "a"), "1");
  // Somebody may hold what this folder does not know of: nobody gets in before the longest term is over.
  json body;
  ASSERT_TRUE(until([&] {
    body = post("k1", "/v1/open", {{"name", "m"}, {"nonce", "n2"}, {"ttl_us", 1'000'000}}).second;
    return body.value("code", "") == "ok";
  }));
  EXPECT_GE(now() - begin, 2'000'000);
  const auto [again, after] =
      post("k1", "/v1/acquire", {{"session", body["session"]}, {"request", 1}, {"lease", "l"}});
  ASSERT_EQ(again, 200);
  EXPECT_GT(after["token"].get<std::uint64_t>(), before["token"].get<std::uint64_t>());
}

TEST_F(CoordinatorsTest, OneWithAFullDiskEndsAndIsBackWhenThereIsRoom) {
  startCoordinators();
  const std::string first = leader();
  const std::string follower = first == "k1" ? "k2" : "k1";
  harness.child(follower).limitFiles(0);
  EXPECT_TRUE(ended(follower)) << harness.timeline().text();
  EXPECT_EQ(harness.child(follower).crashes(), 0U);
  EXPECT_GT(put("a", "1"), 0U);
  harness.child(follower).limitFiles(std::nullopt);
  harness.start(follower);
  EXPECT_TRUE(until([&] { return valueAt(follower, "a", true) == "1"; })) << harness.timeline().text();
}

TEST_F(CoordinatorsTest, ARestartFromASnapshotHasAllOfIt) {
  coordinators.snapshotEntries = 32;
  coordinators.trailingEntries = 16;
  startCoordinators();
  harness.child("k3").kill();
  for (int i = 0; i < 150; ++i) ASSERT_GT(put("key" + std::to_string(i % 20), std::to_string(i)), 0U);
  harness.start("k3");
  // What it missed is no longer in the others' logs: it gets their snapshot.
  EXPECT_TRUE(until([&] { return valueAt("k3", "key9", true) == "149"; })) << harness.timeline().text();
  for (Child* k : harness.children("k.")) k->kill();
  for (int id = 1; id <= 3; ++id) harness.start("k" + std::to_string(id));
  const std::string back = leader();
  ASSERT_NE(back, "");
  EXPECT_EQ(valueAt(back, "key9"), "149");
  std::size_t files = 0, bytes = 0;
  for (const auto& entry : fs::directory_iterator(harness.child("k1").folder() / "state/engine")) {
    ++files;
    bytes += entry.file_size();
  }
  EXPECT_LT(files, 30U);
  EXPECT_LT(bytes, 2'000'000U);
}

TEST_F(CoordinatorsTest, TheCommandLineShowsWhatThereIs) {
  startCoordinators();
  const std::string all = "1=" + textOf(harness.at("k1", "http")) + ",2=" + textOf(harness.at("k2", "http")) +
                          ",3=" + textOf(harness.at("k3", "http"));
  harness.add({"hold",
               FLEET,
               {"--coordinators", all, "hold", "job", "--as", "shell-1", "--term-ms", "1000"},
               {},
               {},
               false});
  harness.start("hold");
  ASSERT_TRUE(harness.awaitLine("hold", "event=gained lease=job", milliseconds(10'000)))
      << harness.timeline().text();
  harness.add({"leases", FLEET, {"--coordinators", all, "leases"}, {}, {}, false});
  harness.add({"members", FLEET, {"--coordinators", all, "members", "--json"}, {}, {}, false});
  harness.add({"status", FLEET, {"--coordinators", all, "status"}, {}, {}, false});
  for (const char* name : {"leases", "members", "status"}) {
    harness.start(name);
    ASSERT_TRUE(ended(name));
    EXPECT_EQ(*harness.child(name).status(), 0);
  }
  EXPECT_EQ(harness.timeline().count("leases", "job +shell-1 +[0-9]+ +held"), 1U);
  EXPECT_EQ(harness.timeline().count("members", "\"name\": \"shell-1\""), 1U);
  EXPECT_EQ(harness.timeline().count("status", " leads "), 1U);
  EXPECT_EQ(harness.timeline().count("status", " follows "), 2U);
  harness.child("hold").signal(SIGTERM);
  ASSERT_TRUE(ended("hold"));
  const auto [status, body] = get(leader(), "/v1/leases");
  EXPECT_EQ(status, 200);
  EXPECT_TRUE(body["leases"].empty()) << body.dump();  // given back at once, not run out
}

TEST_F(CoordinatorsTest, AWatchIsAnsweredWhenSomethingUnderItsPrefixChanges) {
  coordinators.count = 1;
  startCoordinators();
  ASSERT_GT(put("a/1", "x"), 0U);
  const auto [status, first] = get("k1", "/v1/values?prefix=a/&after=0&wait_ms=2000");
  ASSERT_EQ(status, 200);
  EXPECT_EQ(first["values"].size(), 1U);
  const std::string after = std::to_string(first["index"].get<std::uint64_t>());
  // Nothing new: it waits its time out, whatever happens elsewhere.
  const auto begin = now();
  ASSERT_GT(put("b/1", "x"), 0U);
  EXPECT_EQ(get("k1", "/v1/values?prefix=a/&after=" + after + "&wait_ms=300").first, 200);
  EXPECT_GE(now() - begin, 300'000);
  // A change, and a removal, in the middle of the wait.
  for (const bool removal : {false, true}) {
    const auto asked = now();
    const std::string from =
        std::to_string(get("k1", "/v1/values?prefix=a/").second["index"].get<std::uint64_t>());
    const std::string target = "/v1/values?prefix=a/&after=" + from + "&wait_ms=5000";
    std::thread writer([&, at = harness.at("k1", "http")] {
      std::this_thread::sleep_for(milliseconds(150));
      boost::asio::io_context other;
      tcp::socket socket(other);
      socket.connect(at);
      const std::string text = removal ? R"({"key":"a/1","value":null})" : R"({"key":"a/2","value":"y"})";
      boost::asio::write(socket, boost::asio::buffer("POST /v1/put HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                                                     std::to_string(text.size()) + "\r\n\r\n" + text));
      char byte;
      boost::asio::read(socket, boost::asio::buffer(&byte, 1));
    });
    const auto [read, news] = ask(harness, harness.at("k1", "http"), target, nullptr, milliseconds(6'000));
    writer.join();
    EXPECT_EQ(read, 200);
    EXPECT_LT(now() - asked, 3'000'000);
    EXPECT_EQ(news["values"].size(), removal ? 1U : 2U) << news.dump();
  }
}

TEST_F(CoordinatorsTest, BadInputIsToldAndBreaksNothing) {
  coordinators.count = 1;
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
  // Bytes that are no HTTP end their connection alone.
  tcp::socket noise(io);
  noise.connect(harness.at("k1", "http"));
  boost::asio::write(noise, boost::asio::buffer(std::string("\x01\x02\r\n\r\n")));
  harness.wait(milliseconds(50));
  EXPECT_GT(put("a", "1"), 0U);
  EXPECT_TRUE(harness.child("k1").running());
}

TEST_F(CoordinatorsTest, TheShippedFileCanBeUsed) {
  harness.add({"check", COORDINATOR, {"--config", SHIPPED_COORDINATOR, "check"}, {}, {}, false});
  harness.start("check");
  ASSERT_TRUE(ended("check"));
  EXPECT_EQ(*harness.child("check").status(), 0) << harness.timeline().text();
  EXPECT_EQ(harness.timeline().count("check", "coordinator 1 of 3 in fleet 'thistleyoke'"), 1U);
}

TEST_F(CoordinatorsTest, AFileOfNoUseIsToldByLine) {
  std::ofstream(harness.folder() / "bad.toml")
      << "[coordinator]\nid = 0\nlisten = \"nowhere\"\ncolour = 1\n[[coordinator.peer]]\n";
  harness.add(
      {"check", COORDINATOR, {"--config", (harness.folder() / "bad.toml").string(), "check"}, {}, {}, false});
  harness.start("check");
  ASSERT_TRUE(ended("check"));
  EXPECT_EQ(WEXITSTATUS(*harness.child("check").status()), 1);
  for (const char* line :
       {":2: coordinator.id: is 0", ":3: coordinator.listen", ":4: coordinator.colour: is not known",
        "coordinator.folder: is missing", "coordinator.peer.raft: is missing"})
    EXPECT_EQ(harness.timeline().count("check", line), 1U) << line << "\n" << harness.timeline().text();
}

}  // namespace
}  // namespace quilltide::harness
