// A forwarder is cut off from its coordinator for 6 s. All is well again, and it has the lease of its folder
// back; with the next message it ends.
#include "stand_ins_2/coordinator.hpp"
#include "stand_ins_2/kit.hpp"
#include "stand_ins_2/proxy.hpp"

using namespace kit;

namespace {

std::string fleetConfig(int coordinatorPort, bool takeOver) {
  return "[fleet]\ncoordinators = \"1=" + at(coordinatorPort) + "\"\nterm_ms = 1000\ngone_after_ms = 1000\n" +
         (takeOver ? "take_over = true\n" : "");
}

bool play(Record& record, const std::string& root, bool trouble) {
  TemporaryFolder folder;
  Coordinator coordinator(record);
  Proxy link(coordinator.port());
  Platform platform(record);
  Target target(record, "s-sound", [](const Call&) { return Answer{200, "", 150}; });
  platform.list("s-sound", "petit-membre", 7, target.port());
  PlatformServer server(platform, "discovery");

  Forwarder first(record, root, folder, "n1", depotSettings()),
      second(record, root, folder, "n2", depotSettings()), third(record, root, folder, "n3", depotSettings());
  for (Forwarder* forwarder : {&first, &second, &third}) {
    forwarder->useServiceConfig(
        fleetConfig(forwarder == &first ? link.port() : coordinator.port(), forwarder == &second));
    forwarder->writeConfig(server.port(), platform.whole());
    forwarder->startAndWait();
  }
  const auto handIn = [&] { return first.handIn(newId(), "c=statut,d=24000,dest=7", "palettes 3"); };
  if (const std::string answer = handIn(); answer != "+OK")
    throw CannotRun("a message is not taken on: " + answer);
  sleepMs(2'000);

  if (trouble) {
    record.line("n1 is cut off from the coordinator");
    link.cut();
  }
  sleepMs(6'000);
  if (trouble) {
    record.line("the cut is over");
    link.heal();
  }
  sleepMs(6'000);
  if (coordinator.holder("folder/n1") != "n1") throw CannotRun("n1 does not have its lease");
  record.line("n1 holds the lease of its folder");
  if (!first.answersPing(1'000)) throw CannotRun("n1 has ended before");

  for (int i = 0; i < 5; ++i) {
    handIn();
    sleepMs(200);
  }
  sleepMs(1'000);
  const bool held = first.process().running();
  record.line("n1: " + first.process().ending());
  return held;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, play); }
