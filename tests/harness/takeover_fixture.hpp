// Test fixture with forwarders of one fleet that take over each other's folders, a coordinator, a directory
// and a partner.
#pragma once

#include <signal.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "client.hpp"
#include "directory.hpp"
#include "fleet_fixture.hpp"
#include "partner.hpp"

namespace quilltide::harness {

using namespace standin;

struct TakeoverTest : FleetTest {
  TakeoverTest()
      : directory(io, harness.portEndpoint("directory", "http")),
        partner(io, 0, effects, {}, harness.portEndpoint("partner", "http")) {}

  void startForwarders(int count) {
    coordinatorConfig.count = 1;
    coordinatorConfig.maxTtlMs = 1'000;
    coordinatorConfig.maxHoldMs = 400;  // shorter than a folder is held: folder leases must not be recalled
    startCoordinators();
    directory.set({"p0", partner.hostAndPort(), 0});
    for (int i = 0; i < count; ++i) {
      const std::string name = "f" + std::to_string(i);
      nlohmann::json config = forwarderConfig(name, i, directory.snapshot());
      config["settings"]["familyInfo"]["kindBatch"] = {messagesPerCall};
      const std::string toml =
          "[platform]\nconfig = \"{folder}/config.json\"\nstate = \"{state}\"\n[fleet]\ncoordinators = \"" +
          coordinatorsArgument(1) + "\"\nterm_ms = 600\ntake_over = true\ngone_after_ms = 300\n" +
          serviceSettings;
      harness.add({name,
                   FORWARDER,
                   {"--config", "{folder}/thistleyoke.toml"},
                   {},
                   {{"config.json", config.dump()}, {"thistleyoke.toml", toml}},
                   false});
      harness.start(name);
      ASSERT_TRUE(harness.waitForLine(name, "is ready", milliseconds(10'000))) << harness.timeline().text();
    }
  }
  void submitMessage(const std::string& forwarder, const std::string& id, const std::string& cls,
                     std::int64_t destination = 0, milliseconds timeToLive = milliseconds(8'000)) {
    auto& client = clients[forwarder];
    if (!client) client = makeRespClient(io, harness.linkEndpoint("client", forwarder, "resp"), 2);
    Message message;
    message.id = id;
    message.messageClass = cls;
    if (cls == "ordre") message.key = "key-" + id;
    message.body = "{}";
    message.destination = destination;
    message.timeToLive = timeToLive;
    client->submit(message, [this, id](const SubmitResult& told) { answers[id] = told.kind; });
  }
  bool accepted(const std::string& id) {
    return answers.contains(id) && answers[id] == SubmitResult::Kind::accepted;
  }
  bool holds(const std::string& member, const std::string& lease) {
    const auto answer = get("k1", "/v1/leases").second.value("leases", nlohmann::json::array());
    return std::any_of(answer.begin(), answer.end(), [&](const nlohmann::json& entry) {
      return entry.at("lease") == lease && entry.at("holder") == member;
    });
  }
  std::size_t takeoverCount() { return harness.timeline().countMatches("f[0-9]", "fleet: takes over f"); }

  int messagesPerCall = 1;      // set before startForwarders()
  std::string serviceSettings;  // more of each forwarder's own configuration; set before startForwarders()
  EffectLog effects;
  Directory directory;
  Partner partner;
  std::map<std::string, std::unique_ptr<Client>> clients;
  std::map<std::string, SubmitResult::Kind> answers;
};

}  // namespace quilltide::harness
