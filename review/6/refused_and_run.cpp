// A third of a busy fleet is cut off from the coordinator for 6 s, and a member takes over their folders.
// What a forwarder refuses at that moment is already in its journal, and the successor delivers it. The
// client hands the refused message in again, as it may, and the paiement runs twice.
#include "stand_ins_2/coordinator.hpp"
#include "stand_ins_2/kit.hpp"
#include "stand_ins_2/proxy.hpp"

using namespace kit;

namespace {

constexpr int kForwarders = 24, kCut = 8;  // the last one takes over
constexpr std::int64_t kCutMs = 6'000, kRoundsUntilMs = 82'000;

std::string fleetConfig(int coordinatorPort, bool takeOver) {
  return "[fleet]\ncoordinators = \"1=" + at(coordinatorPort) +
         "\"\nterm_ms = 1000\ngone_after_ms = 1000\ntakeovers_at_once = 10\n" +
         (takeOver ? "take_over = true\n" : "");
}

bool play(Record& record, const std::string& root, bool trouble) {
  TemporaryFolder folder;
  Record quiet("/dev/null");  // for what is too much for the record
  Coordinator coordinator(record);
  Proxy link(coordinator.port());
  Platform platform(record);
  Target target(quiet, "s-sound", [](const Call&) { return Answer{200, "", 20}; });
  platform.list("s-sound", "grand-compte", 7, target.port());
  PlatformServer server(platform, "discovery");

  std::vector<std::unique_ptr<Forwarder>> forwarders;
  for (int i = 0; i < kForwarders; ++i) {
    forwarders.push_back(
        std::make_unique<Forwarder>(record, root, folder, "n" + std::to_string(i + 1), depotSettings()));
    forwarders.back()->useServiceConfig(
        fleetConfig(i < kCut ? link.port() : coordinator.port(), i == kForwarders - 1));
    forwarders.back()->writeConfig(server.port(), platform.whole());
    forwarders.back()->startAndWait();
  }

  // A client a forwarder that is cut off later: one paiement after the other. Refused ones are handed in
  // again once, at another forwarder, after the wait that it was told.
  struct Refused {
    std::string first, second;
    std::int64_t again = 0;
    std::string answer;
  };
  std::mutex mutex;
  std::vector<Refused> refused;
  struct HandedIn {
    std::string id, answer;
    std::int64_t at = 0;
  };
  std::vector<std::vector<HandedIn>> handedIn(kCut);  // by client; goes into the record at the end
  std::atomic<bool> ended{false}, resting{false};
  std::atomic<int> takenOn{0};
  std::vector<std::thread> clients;
  for (int i = 0; i < kCut; ++i) {
    clients.emplace_back([&, i] {
      std::unique_ptr<Connection> connection;
      while (!ended) {
        if (resting) {
          connection.reset();
          sleepMs(20);
          continue;
        }
        if (!connection) connection = Connection::to(forwarders[i]->port());
        if (!connection) {
          sleepMs(50);
          continue;
        }
        const std::string id = newId();
        std::string answer;
        const std::int64_t sentAt = nowMs();
        if (!connection->write(enqueue(id, "c=paiement,d=16000,dest=7", "paiement " + id)) ||
            !connection->readLine(answer, 400)) {
          handedIn[i].push_back({id, "no answer", sentAt});
          connection.reset();  // no answer: not handed in again here
          continue;
        }
        handedIn[i].push_back({id, answer, sentAt});
        if (answer == "+OK") ++takenOn;
        if (!answer.starts_with("-BUSY")) continue;
        const std::int64_t wait = answer.size() > 6 ? std::stoll(answer.substr(6)) : 500;
        const std::lock_guard<std::mutex> lock(mutex);
        refused.push_back({id, "", nowMs() + wait, ""});
        record.line("n" + std::to_string(i + 1) + " answers " + answer + " to paiement " + id);
      }
    });
  }
  std::thread retries([&] {
    for (; !ended; sleepMs(20)) {
      const std::lock_guard<std::mutex> lock(mutex);
      for (Refused& one : refused) {
        if (!one.second.empty() || nowMs() < one.again) continue;
        one.second = newId();
        one.answer =
            forwarders[kCut]->handIn(one.second, "c=paiement,d=16000,dest=7,r=1", "paiement " + one.first);
      }
    }
  });

  for (int round = 1; nowMs() < kRoundsUntilMs; ++round) {
    sleepMs(1'500);
    record.line("round " + std::to_string(round));
    if (trouble) {
      record.line("a third of the forwarders is cut off from the coordinator");
      link.cut();
    }
    sleepMs(kCutMs);
    if (trouble) {
      link.heal();
      record.line("the cut is over");
    }
    resting = true;
    sleepMs(300);
    for (int i = 0; i < kCut; ++i) {
      if (forwarders[i]->process().running()) continue;
      record.line("n" + std::to_string(i + 1) + " has ended with " + forwarders[i]->process().ending());
      forwarders[i]->start();
    }
    for (int i = 0; i < kCut; ++i)
      if (!forwarders[i]->answersPing(15'000)) throw CannotRun("a forwarder does not come back");
    resting = false;
  }
  sleepMs(3'000);
  ended = true;
  for (std::thread& client : clients) client.join();
  retries.join();
  sleepMs(500);

  const auto ran = target.ran();
  for (int i = 0; i < kCut; ++i) {
    for (const HandedIn& one : handedIn[i]) {
      std::string line = "at " + std::to_string(one.at) + " ms n" + std::to_string(i + 1) + " is handed " +
                         one.id + ": " + one.answer;
      if (const auto at = ran.find(one.id); at != ran.end())
        for (const std::int64_t time : at->second) line += ", ran at " + std::to_string(time) + " ms";
      record.line(line);
    }
  }
  record.line(std::to_string(takenOn) + " paiements were taken on at the first try, " +
              std::to_string(refused.size()) + " were refused");
  bool held = true;
  for (const Refused& one : refused) {
    if (!ran.contains(one.first)) continue;
    record.line("paiement " + one.first + " was refused and ran all the same, at " +
                std::to_string(ran.at(one.first).front()) + " ms");
    if (!ran.contains(one.second)) continue;
    held = false;
    record.line("  it was handed in again as " + one.second + " and ran again, at " +
                std::to_string(ran.at(one.second).front()) + " ms: it took effect twice");
  }
  return held;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, play); }
