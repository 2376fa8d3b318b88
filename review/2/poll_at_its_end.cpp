// Clients of the HTTP frontend hand messages in and wait for their ends by long polls of 1 s. Partners take 250 ms
// for a call. With the disruption all calls take 650 ms, 2.6 times as long, for 14 s. A client of the RESP2 frontend
// hands messages in all the time.
//
// Broken: a client that asked for one message is told of another; a message that was taken on has neither been
// delivered nor ended by a notice 350 ms after its time is up; or the forwarder answers no PING for 20 s.
#include <thread>

#include "../stand_ins/kit.hpp"

using namespace kit;

namespace {

constexpr int kDestinations = 20, kHttpClients = 20;  // one destination for each client, one more for RESP2
constexpr long kUsualMs = 250, kSlowMs = 650, kPollMs = 1'000, kTimeMs = 8'000, kSlackMs = 350;
constexpr double kHungS = 20, kSlowFrom = 4, kSlowFor = 14, kHandInUntil = 24;

struct Message {
  double takenAt = 0, handedInAt = 0;
};

std::mutex mutex;
std::map<std::string, Message> taken;       // by id
std::map<std::string, double> deliveredAt;  // by id: when the 200 was written
std::atomic<int> foreignAnswers{0};

void recordTaken(const std::string& id, double handedInAt) {
  const std::lock_guard lock(mutex);
  taken[id] = {secondsNow(), handedInAt};
}

// One client: hands a message in, polls until it has ended, and again.
void httpClient(std::uint16_t port, int number) {
  for (int n = 0; secondsNow() < kHandInUntil;) {
    const int fd = connectToLoopback(port);
    std::string buffer;
    bool usable = fd >= 0;
    while (usable && secondsNow() < kHandInUntil) {
      const std::string id = "h" + std::to_string(number) + "-" + std::to_string(n++);
      const double handedInAt = secondsNow();
      sendAll(fd, "POST /v1/messages?id=" + id + "&class=statut&destination=" +
                      std::to_string(1 + number % kDestinations) + "&time_left_ms=" + std::to_string(kTimeMs) +
                      " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 4\r\n\r\nbody");
      note("client %d: hands in %s", number, id.c_str());
      bool ended = false;
      for (bool first = true; !ended; first = false) {
        const auto answer = readHttp(fd, buffer, 3'000);
        usable = answer.has_value();
        if (!usable) {
          note("client %d: no answer in 3 s when it %s %s", number, first ? "handed in" : "asked for", id.c_str());
          break;
        }
        note("client %d: answered %d %s", number, answer->status(), answer->body.substr(0, answer->body.find('\n')).c_str());
        const json body = json::parse(answer->body, nullptr, false);
        const std::string told = body.is_object() ? body.value("id", "") : "";
        if (answer->status() < 300 && told != id) {
          ++foreignAnswers;
          note("client %d: %s %s and was told of %s: %d %s", number, first ? "handed in" : "asked for", id.c_str(),
               told.c_str(), answer->status(), answer->body.c_str());
          usable = false;
          break;
        }
        if (first && answer->status() != 202) {
          note("client %d: %s answered %d", number, id.c_str(), answer->status());
          break;
        }
        if (first) recordTaken(id, handedInAt);
        ended = body.value("state", "") == "ended";
        if (!ended)
          sendAll(fd, "GET /v1/messages/" + id + "?wait_ms=" + std::to_string(kPollMs) +
                          " HTTP/1.1\r\nHost: 127.0.0.1\r\n\r\n");
      }
    }
    if (fd >= 0) ::close(fd);
    if (!usable) sleepMs(500);
  }
}

// Four messages a second, each on a connection of its own if the last one was not answered.
void respClient(std::uint16_t port) {
  int fd = -1;
  std::string buffer;
  for (int n = 0; secondsNow() < kHandInUntil; ++n, sleepMs(250)) {
    if (fd < 0) {
      fd = connectToLoopback(port);
      buffer.clear();
    }
    const std::string id = "r" + std::to_string(n);
    const double handedInAt = secondsNow();
    sendAll(fd, enqueueCommand(id, "statut", kTimeMs, kDestinations + 1, "", "body"));
    const auto line = respLine(fd, buffer, 400);
    note("RESP2: hands in %s, answered %s", id.c_str(), line ? line->c_str() : "nothing in 400 ms");
    if (line && line->rfind("+", 0) == 0) {
      recordTaken(id, handedInAt);
    } else {
      ::close(fd);
      fd = -1;
    }
  }
  if (fd >= 0) ::close(fd);
}

}  // namespace

int main(int argc, char** argv) {
  return runCase(argc, argv, [](const std::string& folder) {
    HttpServer partner([&](int fd, const HttpMessage& call) {
      const bool slow = trouble() && secondsNow() >= kSlowFrom && secondsNow() < kSlowFrom + kSlowFor;
      sleepMs(slow ? kSlowMs : kUsualMs);
      const std::string answer = allDelivered(call);
      if (!sendAll(fd, answer)) return false;
      const std::lock_guard lock(mutex);
      for (const CalledMessage& message : messagesOf(call)) {
        deliveredAt.emplace(message.id, secondsNow());
        note("partner: has run %s and answered 200", message.id.c_str());
      }
      return true;
    });
    json targets = json::array();
    for (int d = 1; d <= kDestinations + 1; ++d)
      targets.push_back(target("s-" + std::to_string(d), partner.address(), d));
    Platform platform(targets);
    const std::uint16_t httpPort = freePort();
    Forwarder forwarder("n1", folder, platform, depotLevisSettings(2, 24, 300),
                        "[doors.http]\nlisten = \"127.0.0.1:" + std::to_string(httpPort) + "\"\n");
    forwarder.start();
    if (!forwarder.waitReady(10'000)) throw CannotRun("the forwarder is not ready");
    std::atomic<bool> done{false};
    double longestSilence = 0;
    std::thread pinger([&] {
      for (double answeredAt = secondsNow(); !done; sleepMs(100)) {
        if (forwarder.ping(2'000)) answeredAt = secondsNow();
        longestSilence = std::max(longestSilence, secondsNow() - answeredAt);
      }
    });
    std::vector<std::thread> clients;
    for (int i = 0; i < kHttpClients; ++i) clients.emplace_back(httpClient, httpPort, i);
    clients.emplace_back(respClient, forwarder.port());
    for (std::thread& client : clients) client.join();
    while (secondsNow() < kHandInUntil + (kTimeMs + kSlackMs) / 1e3 + 0.5) sleepMs(100);
    int status = 0;
    const bool crashed = forwarder.ended(&status);
    done = true;
    pinger.join();
    const bool hung = longestSilence >= kHungS;
    note("the forwarder %s; the longest time without an answer to PING: %.1f s",
         !crashed             ? "runs"
         : WIFSIGNALED(status) ? ("was ended by signal " + std::to_string(WTERMSIG(status))).c_str()
                               : "has ended by itself",
         longestSilence);
    forwarder.end(SIGKILL);
    forwarder.copyLog();
    platform.stop();
    partner.stop();
    int lost = 0;
    for (const auto& [id, message] : taken) {
      const auto delivered = deliveredAt.find(id);
      const double due = message.handedInAt + (kTimeMs + kSlackMs) / 1e3;
      if ((delivered != deliveredAt.end() && delivered->second <= due) || !platform.noticeOf(id).empty()) continue;
      ++lost;
      note("lost: %s, taken on at %.3f, neither delivered nor ended by a notice at %.3f", id.c_str(), message.takenAt,
           due);
    }
    note("%zu messages taken on, %d lost, %d answers about another message", taken.size(), lost,
         foreignAnswers.load());
    return lost > 0 || foreignAnswers > 0 || crashed || hung ? 1 : 0;
  });
}
