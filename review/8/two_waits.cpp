// A forwarder that was told to wait plays the folder of a dead one on, and calls the partner during its wait.
#include "stand_ins_2/coordinator.hpp"
#include "stand_ins_2/kit.hpp"

using namespace kit;

namespace {

std::string fleetConfig(int coordinatorPort, bool takeOver) {
  return "[fleet]\ncoordinators = \"1=" + at(coordinatorPort) + "\"\nterm_ms = 1000\ngone_after_ms = 1000\n" +
         (takeOver ? "take_over = true\n" : "");
}

bool play(Record& record, const std::string& root, bool trouble) {
  TemporaryFolder folder;
  Coordinator coordinator(record);
  Platform platform(record);
  // The partner is shut for 14 s and tells each caller how long, until it opens.
  std::atomic<std::int64_t> opensAt{0};
  std::mutex mutex;
  std::vector<std::pair<std::int64_t, std::int64_t>>
      waits;  // when the answer was written, when the wait ends
  Target target(record, "s-shut", [&](const Call&) {
    const std::int64_t left = opensAt - nowMs();
    if (left <= 0) return Answer{200, "", 150};
    const std::lock_guard<std::mutex> lock(mutex);
    waits.emplace_back(nowMs(), nowMs() + left);
    return Answer{429, "X-Retry-In-Ms: " + std::to_string(left) + "\r\n", 0};
  });
  platform.list("s-shut", "petit-membre", 7, target.port());
  PlatformServer server(platform, "discovery");

  Forwarder first(record, root, folder, "n1", depotSettings()),
      second(record, root, folder, "n2", depotSettings()), third(record, root, folder, "n3", depotSettings());
  for (Forwarder* forwarder : {&first, &second, &third}) {
    forwarder->useServiceConfig(fleetConfig(coordinator.port(), forwarder == &second));
    forwarder->writeConfig(server.port(), platform.whole());
    forwarder->startAndWait();
  }

  opensAt = nowMs() + 14'000;
  record.line("s-shut is shut for 14 s");
  const auto handIn = [&](Forwarder& forwarder) {
    const std::string id = newId();
    const std::string answer = forwarder.handIn(id, "c=statut,d=24000,dest=7", "palettes 3");
    if (answer != "+OK") throw CannotRun("a message is not taken on: " + answer);
  };
  for (int i = 0; i < 3; ++i) handIn(first);
  sleepMs(500);
  const std::int64_t killedAt = nowMs();
  if (trouble) first.signal(SIGKILL, "SIGKILL");
  sleepMs(500);
  handIn(second);  // n2 is told to wait
  sleepMs(500);
  std::int64_t toldAt = 0, endsAt = 0;
  {
    const std::lock_guard<std::mutex> lock(mutex);
    if (waits.empty() || waits.back().first < killedAt) throw CannotRun("n2 was not told to wait");
    std::tie(toldAt, endsAt) = waits.back();
  }
  record.line("n2 was told to wait for " + std::to_string(endsAt - toldAt) + " ms");
  if (trouble) {
    while (coordinator.holder("folder/n1") != "n2") {
      if (nowMs() > killedAt + 8'000) throw CannotRun("n2 has not taken the folder over");
      sleepMs(20);
    }
    // n1 comes back after 6.5 s. It is not ready while n2 has its folder, and finds nothing in it then.
    sleepUntil(killedAt + 6'500);
    first.start();
  }
  sleepUntil(opensAt + 3'000);

  // Calls that come within 100 ms of the answer are let through. With n1 dead or waiting for its folder,
  // whoever calls is n2. Without the disruption n1 was told before and waits too.
  bool held = true;
  for (const Call& call : target.calls()) {
    if (call.at <= toldAt + 100 || call.at >= endsAt) continue;
    held = false;
    record.line("a call for " + call.ids.front() + " came " + std::to_string(endsAt - call.at) +
                " ms before the end of the wait that n2 was told " + std::to_string(call.at - toldAt) +
                " ms earlier");
  }
  return held;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, play); }
