// Coordinators, lease test clients and their witness, for tests.
#pragma once

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "fleet.hpp"

namespace quilltide::harness {

struct FleetTest : testing::Test {
  boost::asio::io_context io;
  Harness harness{io};
  Witness witness{io, harness.timeline(), harness.at("witness", "http")};
  CoordinatorPlan coordinators;

  void startCoordinators() {
    addCoordinators(harness, COORDINATOR, coordinators);
    for (int id = 1; id <= coordinators.count; ++id) harness.start("k" + std::to_string(id));
    ASSERT_NE(awaitLeader(harness, coordinators.count), "") << harness.timeline().text();
  }
  void startTestClient(const TestClientPlan& plan) {
    addTestClient(harness, LEASE_TEST_CLIENT, plan, coordinators.count);
    harness.start(plan.name);
  }
  bool until(const std::function<bool()>& holds, int ms = 10'000) {
    return harness.until(holds, milliseconds(ms));
  }
  std::int64_t now() { return harness.timeline().now(); }
  std::string leader(const std::string& not_ = "") {
    return awaitLeader(harness, coordinators.count, milliseconds(10'000), not_);
  }
  // So many more acts under a lease, from now on.
  bool actsGoOn(const std::string& lease, std::size_t more = 5, int ms = 10'000) {
    const auto from = now();
    return until([&] { return witness.under(lease, from) >= more; }, ms);
  }
  void cut(const std::string& pattern, bool toward = true, bool back = true) {
    Faults faults;
    faults.cut = true;
    const auto all = harness.links(pattern);
    ASSERT_FALSE(all.empty()) << pattern;
    for (const auto& [name, link] : all) {
      harness.timeline().add("harness", "cut " + name);
      if (toward) link->set(Way::toward, faults);
      if (back) link->set(Way::back, faults);
    }
  }
  void heal(const std::string& pattern = ".*") {
    for (const auto& [name, link] : harness.links(pattern)) link->heal();
    harness.timeline().add("harness", "heal " + pattern);
  }
  std::pair<int, nlohmann::json> post(const std::string& coordinator, const std::string& path,
                                      const nlohmann::json& body) {
    return ask(harness, harness.at(coordinator, "http"), path, &body);
  }
  std::pair<int, nlohmann::json> get(const std::string& coordinator, const std::string& target) {
    return ask(harness, harness.at(coordinator, "http"), target);
  }
  bool ended(const std::string& child, int ms = 10'000) {
    return until([&] { return !harness.child(child).running(); }, ms);
  }
  void TearDown() override {
    if (HasFailure()) std::cerr << harness.timeline().text(150);
  }
};

}  // namespace quilltide::harness
