// Keepers, actors and their witness, for tests.
#pragma once

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace quilltide::rig {

struct FleetTest : testing::Test {
  boost::asio::io_context io;
  Rig rig{io};
  Witness witness{io, rig.timeline(), rig.at("witness", "http")};
  KeeperPlan keepers;

  void startKeepers() {
    addKeepers(rig, KEEPER, keepers);
    for (int id = 1; id <= keepers.count; ++id) rig.start("k" + std::to_string(id));
    ASSERT_NE(awaitLeader(rig, keepers.count), "") << rig.timeline().text();
  }
  void startActor(const ActorPlan& plan) {
    addActor(rig, ACTOR, plan, keepers.count);
    rig.start(plan.name);
  }
  bool until(const std::function<bool()>& holds, int ms = 10'000) {
    return rig.until(holds, milliseconds(ms));
  }
  std::int64_t now() { return rig.timeline().now(); }
  std::string leader(const std::string& not_ = "") {
    return awaitLeader(rig, keepers.count, milliseconds(10'000), not_);
  }
  // So many more acts under a lease, from now on.
  bool actsGoOn(const std::string& lease, std::size_t more = 5, int ms = 10'000) {
    const auto from = now();
    return until([&] { return witness.under(lease, from) >= more; }, ms);
  }
  void cut(const std::string& pattern, bool toward = true, bool back = true) {
    Faults faults;
    faults.cut = true;
    const auto all = rig.links(pattern);
    ASSERT_FALSE(all.empty()) << pattern;
    for (const auto& [name, link] : all) {
      rig.timeline().add("rig", "cut " + name);
      if (toward) link->set(Way::toward, faults);
      if (back) link->set(Way::back, faults);
    }
  }
  void heal(const std::string& pattern = ".*") {
    for (const auto& [name, link] : rig.links(pattern)) link->heal();
    rig.timeline().add("rig", "heal " + pattern);
  }
  std::pair<int, nlohmann::json> post(const std::string& keeper, const std::string& path,
                                      const nlohmann::json& body) {
    return ask(rig, rig.at(keeper, "http"), path, &body);
  }
  std::pair<int, nlohmann::json> get(const std::string& keeper, const std::string& target) {
    return ask(rig, rig.at(keeper, "http"), target);
  }
  bool ended(const std::string& child, int ms = 10'000) {
    return until([&] { return !rig.child(child).running(); }, ms);
  }
  void TearDown() override {
    if (HasFailure()) std::cerr << rig.timeline().text(150);
  }
};

}  // namespace quilltide::rig
