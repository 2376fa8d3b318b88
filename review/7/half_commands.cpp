// Bad clients send half a command and stay. A sound client that sends several commands at once has answers to
// the first ones only, also on a second connection.
#include "stand_ins_2/kit.hpp"

using namespace kit;

namespace {

constexpr int kBadClients = 150, kBursts = 8, kCommands = 10;

struct Message {
  std::string id, answer;
  int written = 0;
};

void sendAtOnce(Record& record, int port, std::vector<Message*>& messages) {
  const auto connection = Connection::to(port);
  if (!connection) throw CannotRun("no connection to the forwarder");
  std::string all;
  for (Message* message : messages)
    all += enqueue(message->id, "c=statut,d=24000,dest=7", std::string(6'000, 'p'));
  const bool written = connection->write(all);
  record.line("client writes " + std::to_string(messages.size()) + " commands at once" +
              (written ? "" : ", the connection ended meanwhile"));
  std::vector<Message*> unanswered;
  for (Message* message : messages) {
    if (written) ++message->written;
    connection->readLine(message->answer, 3'000);
    record.line("  " + message->id + ": " + (message->answer.empty() ? "no answer" : message->answer));
    if (message->answer.empty()) unanswered.push_back(message);
  }
  messages = unanswered;
}

bool play(Record& record, const std::string& root, bool trouble) {
  TemporaryFolder folder;
  Platform platform(record);
  Target target(record, "s-sound", [](const Call&) { return Answer{200, "", 20}; });
  platform.list("s-sound", "petit-membre", 7, target.port());
  PlatformServer server(platform, "discovery");
  Forwarder forwarder(record, root, folder, "n1", depotSettings());
  forwarder.memoryMb = 32;
  forwarder.writeConfig(server.port(), platform.whole());
  forwarder.startAndWait();

  std::atomic<bool> ended{false};
  std::vector<std::thread> bad;
  if (trouble) {
    record.line(std::to_string(kBadClients) + " clients send half a command and stay, again and again");
    const std::string whole =
        enqueue("0123456789abcdef", "c=statut,d=24000,dest=7", std::string(65'536, 'x'));
    const std::string half = whole.substr(0, whole.size() - 2'000);
    for (int i = 0; i < kBadClients; ++i) {
      bad.emplace_back([&, half] {
        while (!ended) {
          const auto connection = Connection::to(forwarder.port());
          if (connection) connection->write(half);
          const std::int64_t until = nowMs() + 3'000;
          while (connection && !ended && nowMs() < until && !connection->ended()) connection->fill(200);
          sleepMs(5);
        }
      });
    }
  }
  sleepMs(1'000);

  std::vector<Message> messages(kBursts * kCommands);
  bool held = true;
  for (std::size_t burst = 0; burst < kBursts; ++burst) {
    std::vector<Message*> open;
    for (std::size_t i = 0; i < kCommands; ++i) {
      messages[burst * kCommands + i].id = newId();
      open.push_back(&messages[burst * kCommands + i]);
    }
    sendAtOnce(record, forwarder.port(), open);
    // A client sends once more, on a new connection, what the forwarder may not have read.
    if (!open.empty()) sendAtOnce(record, forwarder.port(), open);
    sleepMs(500);
  }
  ended = true;
  for (std::thread& thread : bad) thread.join();
  int lost = 0, failed = 0;
  for (const Message& message : messages) {
    if (message.answer.starts_with("-ERR")) ++failed;
    if (!message.answer.empty()) continue;
    ++lost;
    if (message.written < 2) continue;
    held = false;
    record.line(message.id + " was written twice in full and has no answer: lost");
  }
  record.line("of " + std::to_string(messages.size()) + " messages " + std::to_string(failed) +
              " failed and " + std::to_string(lost) + " have no answer");
  return held;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, play); }
