// A forwarder dies and a member of its fleet plays its folder on. Then discovery moves: the member gets the
// new configuration and SIGHUP. The notices of the folder go on to the old address.
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
  // One of twenty targets hangs for 18 s: it takes calls and answers none.
  std::atomic<std::int64_t> hangsUntil{0};
  Target hung(record, "s-hung", [&](const Call&) {
    return nowMs() < hangsUntil ? Answer{0, "", 0} : Answer{200, "", 150};
  });
  Target sound(record, "a sound target", [](const Call&) { return Answer{200, "", 150}; });
  platform.list("s-hung", "petit-membre", 7, hung.port());
  for (int destination = 8; destination <= 26; ++destination)
    platform.list("s-" + std::to_string(destination), "petit-membre", destination, sound.port());
  PlatformServer oldServer(platform, "the first address"), newServer(platform, "the second address");

  Forwarder first(record, root, folder, "n1", depotSettings()),
      second(record, root, folder, "n2", depotSettings()), third(record, root, folder, "n3", depotSettings());
  for (Forwarder* forwarder : {&first, &second, &third}) {
    forwarder->useServiceConfig(fleetConfig(coordinator.port(), forwarder == &second));
    forwarder->writeConfig(oldServer.port(), platform.whole());
    forwarder->startAndWait();
  }
  hangsUntil = nowMs() + 18'000;

  struct Taken {
    std::string id;
    std::int64_t endsAt = 0;
  };
  std::vector<Taken> taken;
  for (int i = 0; i < 16; ++i) {
    const std::string id = newId();
    const std::int64_t sentAt = nowMs();
    const int destination = i % 4 == 3 ? 7 : 8 + i;
    const std::string answer =
        first.handIn(id, "c=statut,d=15000,dest=" + std::to_string(destination), "palettes 3");
    if (answer != "+OK") throw CannotRun("a message is not taken on: " + answer);
    taken.push_back({id, sentAt + 15'000});
    sleepMs(50);
  }
  sleepMs(500);

  // n1 is killed and comes back after 6.5 s.
  const std::int64_t killedAt = nowMs();
  first.signal(SIGKILL, "SIGKILL");
  while (coordinator.holder("folder/n1") != "n2") {
    if (nowMs() > killedAt + 6'000) throw CannotRun("n2 has not taken the folder over");
    sleepMs(20);
  }
  sleepUntil(killedAt + 6'000);
  std::thread oldCloses;
  if (trouble) {
    for (Forwarder* forwarder : {&first, &second, &third})
      forwarder->writeConfig(newServer.port(), platform.whole());
    for (Forwarder* forwarder : {&second, &third})
      forwarder->signal(SIGHUP, "a new configuration and SIGHUP");
    oldServer.stopListening();
    oldCloses = std::thread([&] {
      sleepMs(1'500);
      oldServer.stop();
      record.line("the first address has closed its connections");
    });
  }
  sleepUntil(killedAt + 6'500);
  first.start();
  const std::int64_t startedAt = nowMs();
  const bool ready = first.answersPing(30'000);
  record.line(ready ? "n1 is ready after " + std::to_string(nowMs() - startedAt) + " ms"
                    : "n1 is not ready 30 s after its start");
  if (oldCloses.joinable()) oldCloses.join();
  if (!second.answersPing(2'000)) throw CannotRun("n2 is not well");

  // From the kill until 1.5 s after n1 is ready no notice is overdue.
  sleepUntil(std::max(nowMs() + 1'500, taken.back().endsAt + 350));
  bool held = ready;
  const auto notices = platform.notices();
  for (const Taken& message : taken) {
    if (notices.contains(message.id) || hung.ran().contains(message.id) || sound.ran().contains(message.id))
      continue;
    held = false;
    record.line(message.id + " was taken on, its time was up " + std::to_string(nowMs() - message.endsAt) +
                " ms ago, and it is neither delivered nor ended by a notice: lost");
  }
  return held;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, play); }
