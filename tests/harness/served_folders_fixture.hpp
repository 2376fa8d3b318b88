// Test fixture for processes that serve the folders of other members, while discovery moves to a second
// directory.
#pragma once

#include <chrono>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "takeover_fixture.hpp"

namespace quilltide::harness {

inline constexpr milliseconds kTakeoverTimeout{20'000};
inline constexpr milliseconds kReadyWithin{10'000};  // of a forwarder that is started again
inline constexpr milliseconds kDrainWithin{3'700};   // SIGKILL follows SIGTERM no sooner
inline constexpr milliseconds kNoticeOverdue{300 +
                                             50};  // after the end of a message, with the slack of the rules

// f0 is the member that takes over: it is started first, so it has the lease for takeovers.
struct ServedFoldersTest : TakeoverTest {
  ServedFoldersTest() : newDirectory(io, harness.portEndpoint("new", "http")) {}

  static std::vector<std::string> ids(const std::string& prefix, int count) {
    std::vector<std::string> out;
    for (int i = 0; i < count; ++i) out.push_back(prefix + std::to_string(i));
    return out;
  }

  void submitAll(const std::string& forwarder, const std::vector<std::string>& messageIds,
                 milliseconds timeToLive, const std::string& messageClass = "paiement") {
    for (const std::string& id : messageIds) submitMessage(forwarder, id, messageClass, 0, timeToLive);
    lastDeadline = std::chrono::steady_clock::now() + timeToLive;
    ASSERT_TRUE(waitUntil([&] {
      return std::all_of(messageIds.begin(), messageIds.end(), [&](const auto& id) { return accepted(id); });
    })) << harness.timeline().text();
  }

  // Starts the forwarders, and kills f1 when it has accepted the messages.
  void killWithPending(const std::vector<std::string>& messageIds, milliseconds timeToLive,
                       int forwarders = 2) {
    startForwarders(forwarders);
    submitAll("f1", messageIds, timeToLive);
    harness.child("f1").kill();
  }

  bool takesOver(const std::string& member, const std::string& dead) {
    return harness.waitUntil(
        [&] { return harness.timeline().countMatches(member, "fleet: takes over " + dead) > 0; },
        kTakeoverTimeout);
  }
  bool completes(const std::string& member, const std::string& dead) {
    return harness.waitUntil(
        [&] {
          return harness.timeline().countMatches(member, "all messages of " + dead + " have ended") > 0;
        },
        kTakeoverTimeout);
  }

  std::string configPath(const std::string& forwarder) {
    return (harness.child(forwarder).folder() / "config.json").string();
  }
  void writeDiscovery(const std::string& forwarder, const std::string& server) {
    nlohmann::json config = nlohmann::json::parse(std::ifstream(configPath(forwarder)));
    config["discovery"] = toString(harness.linkEndpoint(forwarder, server, "http"));
    const std::string newPath = configPath(forwarder) + ".new";
    std::ofstream(newPath) << config.dump();
    std::filesystem::rename(newPath, configPath(forwarder));
  }
  // A new configuration and SIGHUP.
  void moveDiscovery(const std::string& forwarder, const std::string& server) {
    writeDiscovery(forwarder, server);
    harness.child(forwarder).sendSignal(SIGHUP);
  }
  void endOldDirectory() {
    for (const auto& [name, link] : harness.links(".*->directory.http")) {
      link->refuseConnections(true);
      link->resetConnections();
    }
  }

  // Waits until notices are overdue, and expects one for each message, all at the new address.
  void expectNoticesAtNewDirectory(const std::vector<std::string>& messageIds) {
    const auto untilOverdue = std::chrono::duration_cast<milliseconds>(lastDeadline + kNoticeOverdue -
                                                                       std::chrono::steady_clock::now());
    harness.waitUntil([&] { return newDirectory.notices().size() >= messageIds.size(); },
                      std::max(untilOverdue, milliseconds(0)));
    for (const std::string& id : messageIds) {
      EXPECT_TRUE(newDirectory.notices().contains(id)) << id << " has no notice";
      EXPECT_FALSE(directory.notices().contains(id)) << id << " has a notice at the old address";
      const auto notice = newDirectory.notices().find(id);
      EXPECT_TRUE(notice == newDirectory.notices().end() || !notice->second.conflicting) << id;
    }
  }
  // Each message is delivered, or told as given up, and runs once at most.
  void expectOneEndEach(const std::vector<std::string>& messageIds) {
    EXPECT_TRUE(waitUntil(
        [&] {
          return std::all_of(messageIds.begin(), messageIds.end(), [&](const std::string& id) {
            return effects.isSettled(id) || directory.notices().contains(id);
          });
        },
        20'000))
        << harness.timeline().text();
    for (const std::string& id : messageIds) {
      EXPECT_LE(effects.countOf(id), 1U) << id;
      EXPECT_FALSE(effects.isSettled(id) && directory.notices().contains(id)) << id << " has two ends";
    }
  }
  void expectReadyAgain(const std::string& forwarder) {
    harness.start(forwarder);
    EXPECT_TRUE(harness.waitForLine(forwarder, "is ready", kReadyWithin)) << harness.timeline().text();
  }

  // A folder that was taken over is being delivered when SIGTERM comes, by calls that take 900 ms: no call is
  // cut, and the owner continues afterwards.
  void drainsATakenOverFolder(int messageCount) {
    partner.goOffline();
    const auto messages = ids("m", messageCount);
    killWithPending(messages, milliseconds(16'000));
    PartnerSettings slow;
    slow.responseDelay = milliseconds(900);
    partner.configure(slow);
    partner.comeOnline();
    ASSERT_TRUE(takesOver("f0", "f1"));
    ASSERT_TRUE(waitUntil([&] { return !effects.all().empty(); }));
    harness.child("f0").sendSignal(SIGTERM);
    const auto signalled = std::chrono::steady_clock::now();
    ASSERT_TRUE(waitForExit("f0"));
    EXPECT_LE(std::chrono::steady_clock::now() - signalled, kDrainWithin);
    harness.runFor(milliseconds(1'200));  // until the partner has answered the last call
    for (const Effect& effect : effects.all()) EXPECT_TRUE(effects.isSettled(effect.id)) << effect.id;
    expectReadyAgain("f1");
    EXPECT_TRUE(waitUntil(
        [&] {
          return std::all_of(messages.begin(), messages.end(), [&](const std::string& id) {
            return effects.isSettled(id) || directory.notices().contains(id);
          });
        },
        20'000))
        << harness.timeline().text();
    for (const std::string& id : messages) {
      EXPECT_LE(effects.countOf(id), 1U) << id;
      EXPECT_EQ(effects.countOf(id) + directory.notices().contains(id), 1U) << id << " was cut and given up";
    }
  }

  Directory newDirectory;
  std::chrono::steady_clock::time_point lastDeadline;
};

}  // namespace quilltide::harness
