// Kills, takeovers, moves of discovery, SIGTERM, restarts and targets that hang, drawn by a seed.
// SERVED_FOLDERS_SEEDS=FIRST-LAST plays more seeds than the few of a normal run.
#include <cstdlib>
#include <random>
#include <set>

#include "served_folders_fixture.hpp"

namespace quilltide::harness {
namespace {

constexpr int kForwarders = 3;
constexpr int kSteps = 14;
constexpr milliseconds kLongestTimeToLive{8'000};
constexpr milliseconds kLastEndWithin = kLongestTimeToLive + kReadyWithin;

struct SeedRange {
  std::uint64_t first = 1, last = 2;
};

SeedRange seedRange() {
  SeedRange range;
  const char* text = std::getenv("SERVED_FOLDERS_SEEDS");
  if (text == nullptr) return range;
  char* rest = nullptr;
  range.first = range.last = std::strtoull(text, &rest, 10);
  if (*rest == '-') range.last = std::strtoull(rest + 1, nullptr, 10);
  return range;
}

struct DrawnEventsTest : ServedFoldersTest, testing::WithParamInterface<std::uint64_t> {
  DrawnEventsTest() : random(GetParam()) {}

  int draw(int bound) { return std::uniform_int_distribution<int>(0, bound - 1)(random); }
  std::string drawnForwarder() { return "f" + std::to_string(draw(kForwarders)); }
  int runningCount() {
    int count = 0;
    for (int i = 0; i < kForwarders; ++i) count += harness.child("f" + std::to_string(i)).running();
    return count;
  }

  void submitSome() {
    static const std::vector<std::string> classes{"paiement", "paiement", "ordre", "statut"};
    const std::string forwarder = drawnForwarder();
    for (int count = 1 + draw(5); count > 0; --count) {
      const std::string messageClass = classes[static_cast<std::size_t>(draw(4))];
      const std::string id = messageClass + "-" + std::to_string(++submitted);
      messageClasses[id] = messageClass;
      submitMessage(forwarder, id, messageClass, 0, milliseconds(2'000 + draw(6'000)));
    }
  }
  void endOne(int signalNumber) {
    if (runningCount() > 1) harness.child(drawnForwarder()).sendSignal(signalNumber);
  }
  // A started forwarder has the present configuration before it serves.
  void startOne(const std::string& forwarder) {
    if (harness.child(forwarder).running()) return;
    harness.start(forwarder);
    ASSERT_TRUE(harness.waitForLine(forwarder, "waiting for the lease", kReadyWithin));
    if (harness.child(forwarder).running()) moveDiscovery(forwarder, discoveryServer);
  }
  // Running forwarders are told. Of the others' files some stay as they were.
  void moveAll() {
    const std::string old = std::exchange(discoveryServer, discoveryServer == "new" ? "directory" : "new");
    for (int i = 0; i < kForwarders; ++i) {
      const std::string forwarder = "f" + std::to_string(i);
      if (harness.child(forwarder).running()) {
        moveDiscovery(forwarder, discoveryServer);
      } else if (draw(2) == 0) {
        writeDiscovery(forwarder, discoveryServer);
      }
    }
    for (const auto& [name, link] : harness.links(".*->" + discoveryServer + ".http"))
      link->refuseConnections(false);
    for (const auto& [name, link] : harness.links(".*->" + old + ".http")) {
      link->refuseConnections(true);
      link->resetConnections();
    }
  }
  void step() {
    switch (draw(8)) {
      case 0:
        return endOne(SIGKILL);
      case 1:
        return endOne(SIGTERM);
      case 2:
      case 3:
        return startOne(drawnForwarder());
      case 4:
        return moveAll();
      case 5:
        partnerOnline = !partnerOnline;
        return partnerOnline ? partner.comeOnline() : partner.goOffline();
      default:
        return submitSome();
    }
  }

  bool hasNotice(const std::string& id) {
    return directory.notices().contains(id) || newDirectory.notices().contains(id);
  }
  std::vector<std::string> unended() {
    std::vector<std::string> out;
    for (const auto& [id, messageClass] : messageClasses)
      if (accepted(id) && !effects.isSettled(id) && !hasNotice(id)) out.push_back(id);
    return out;
  }
  void expectRulesHeld() {
    for (const std::string& id : unended()) ADD_FAILURE() << id << " was accepted and has no end";
    for (const auto& [id, messageClass] : messageClasses) {
      EXPECT_TRUE(messageClass == "statut" || effects.countOf(id) <= 1) << id << " ran twice";
      std::set<std::string> outcomes;
      for (const Directory* told : {&directory, &newDirectory}) {
        const auto notice = told->notices().find(id);
        if (notice == told->notices().end()) continue;
        outcomes.insert(notice->second.outcome);
        EXPECT_FALSE(notice->second.conflicting) << id;
      }
      EXPECT_LE(outcomes.size(), 1U) << id << " was told with different outcomes";
    }
    for (int i = 0; i < kForwarders; ++i)
      EXPECT_EQ(harness.child("f" + std::to_string(i)).crashCount(), 0U) << i;
  }

  std::mt19937_64 random;
  std::string discoveryServer = "directory";
  std::map<std::string, std::string> messageClasses;  // by id of each message that was submitted
  bool partnerOnline = true;
  int submitted = 0;
};

// Each accepted message has an end, no unsafe or keyed one runs twice, no message is told with two outcomes,
// and each forwarder is ready within 10 s of its start, whatever happens to the members that serve its
// folder.
TEST_P(DrawnEventsTest, LoseNoMessageAndNoFolder) {
  partner.setScript([](const std::string& id, int attempt) {
    const std::size_t drawn = std::hash<std::string>()(id) % 10;
    if (attempt > 0 || drawn > 2) return Behavior::deliver;
    return drawn == 0 ? Behavior::hangBeforeEffect : Behavior::hangAfterEffect;
  });
  startForwarders(kForwarders);
  newDirectory.set({"p0", partner.hostAndPort(), 0});
  for (int i = 0; i < kSteps; ++i) {
    step();
    harness.runFor(milliseconds(100 + draw(900)));
  }
  partner.comeOnline();
  for (int i = 0; i < kForwarders; ++i) startOne("f" + std::to_string(i));
  for (int i = 0; i < kForwarders; ++i) {
    const std::string forwarder = "f" + std::to_string(i);
    if (!harness.child(forwarder).running()) startOne(forwarder);  // it was still draining
    EXPECT_TRUE(harness.waitForLine(forwarder, "is ready", kReadyWithin)) << forwarder;
  }
  harness.waitUntil([&] { return unended().empty(); }, kLastEndWithin);
  expectRulesHeld();
}

INSTANTIATE_TEST_SUITE_P(Seeds, DrawnEventsTest, testing::Range(seedRange().first, seedRange().last + 1),
                         testing::PrintToStringParamName());

}  // namespace
}  // namespace quilltide::harness
