// The only target of a partner is replaced. A client sends its commands at once; those behind three for that
// partner are never answered, also those for another partner that is well.
#include "stand_ins_2/kit.hpp"

using namespace kit;

namespace {

struct Message {
  std::string id;
  int destination = 0;
  std::string answer;  // empty: none
  int sent = 0;        // how often it was written to a connection
};

// Writes all messages at once and reads their answers in order. An end of the connection leaves the rest
// unanswered.
void sendAtOnce(Record& record, int port, std::vector<Message*>& messages) {
  const auto connection = Connection::to(port);
  if (!connection) throw CannotRun("no connection to the forwarder");
  std::string all;
  for (Message* message : messages) {
    all +=
        enqueue(message->id, "c=statut,d=24000,dest=" + std::to_string(message->destination), "palettes 12");
    ++message->sent;
  }
  connection->write(all);
  record.line("client writes " + std::to_string(messages.size()) + " commands at once");
  std::vector<Message*> unanswered;
  for (Message* message : messages) {
    std::string line;
    if (connection->readLine(line, 3'000)) message->answer = line;
    record.line("  " + message->id + " for destination " + std::to_string(message->destination) + ": " +
                (message->answer.empty() ? "no answer" : message->answer));
    if (message->answer.empty()) unanswered.push_back(message);
  }
  if (!unanswered.empty())
    record.line(connection->ended() ? "the forwarder has ended the connection"
                                    : "the connection is still open");
  messages = unanswered;
}

bool play(Record& record, const std::string& root, bool trouble) {
  TemporaryFolder folder;
  Platform platform(record);
  const auto sound = [](const Call&) { return Answer{200, "", 150}; };
  Target first(record, "s-first", sound), second(record, "s-second", sound), other(record, "s-other", sound);
  platform.list("s-first", "petit-membre", 7, first.port());
  platform.list("s-other", "petit-membre", 8, other.port());
  PlatformServer server(platform, "discovery");
  Forwarder forwarder(record, root, folder, "n1", depotSettings());
  forwarder.writeConfig(server.port(), platform.whole());
  forwarder.startAndWait();

  // Usual traffic for longer than the longest deadline, in which the list does not change.
  for (int i = 0; i < 27; ++i) {
    const std::string id = newId();
    const std::string answer =
        forwarder.handIn(id, "c=statut,d=24000,dest=" + std::string(i % 2 ? "7" : "8"), "palettes 3");
    if (answer != "+OK") throw CannotRun("the usual traffic is not taken on: " + answer);
    sleepMs(1'000);
  }

  // The target is replaced: it has left, and its successor is listed two seconds later.
  std::thread successor;
  if (trouble) {
    platform.list("s-first", "petit-membre", 7, first.port(), "left");
    successor = std::thread([&] {
      sleepMs(2'000);
      platform.list("s-second", "petit-membre", 7, second.port());
    });
    sleepMs(500);
  }

  std::vector<Message> messages;
  for (const int destination : {7, 7, 7, 8, 7, 7, 7, 8, 8, 8})
    messages.push_back({newId(), destination, "", 0});
  std::vector<Message*> open;
  for (Message& message : messages) open.push_back(&message);
  sendAtOnce(record, forwarder.port(), open);
  // A client sends once more, on a new connection, what the forwarder may not have read.
  if (!open.empty()) sendAtOnce(record, forwarder.port(), open);
  if (successor.joinable()) successor.join();
  sleepMs(1'500);

  bool held = true;
  for (const Message& message : messages) {
    if (!message.answer.empty()) continue;
    held = false;
    record.line(message.id + " for destination " + std::to_string(message.destination) + " was written " +
                std::to_string(message.sent) + " times and has no answer: lost");
  }
  // What was taken on is delivered, so the rest of the forwarder is well.
  for (const Message& message : messages) {
    if (message.answer != "+OK" || message.destination != 8) continue;
    if (!other.ran().contains(message.id)) record.line(message.id + " was taken on and is not delivered yet");
  }
  return held;
}

}  // namespace

int main(int argc, char** argv) { return runCase(argc, argv, play); }
