// Two partners; a client hands in twenty messages a second for them. With the disruption one answer of the second
// partner is spoilt: a chunked answer whose first chunk head does not end and keeps coming, for as long as the
// connection is open, 3 GB at most.
//
// The platform kills a forwarder whose memory passes limits.memory_mb (64), and so does this test. Broken: that, or
// the forwarder ends by itself, or does not answer PING for 20 s.
#include <thread>

#include "../stand_ins/kit.hpp"

using namespace kit;

namespace {

constexpr double kMemoryMb = 64;
constexpr long kCallMs = 150, kTimeMs = 8'000;
constexpr double kSpoiltFrom = 3, kHandInUntil = 10, kHungS = 20;
constexpr std::size_t kMostBytes = 3'000'000'000;

}  // namespace

int main(int argc, char** argv) {
  return runCase(argc, argv, [](const std::string& folder) {
    std::atomic<bool> spoilt{!trouble()};
    const auto deliver = [](int fd, const HttpMessage& call) {
      for (const CalledMessage& message : messagesOf(call)) note("partner: runs %s, answers 200", message.id.c_str());
      return sendAll(fd, allDelivered(call));
    };
    HttpServer sound([&](int fd, const HttpMessage& call) {
      sleepMs(kCallMs);
      return deliver(fd, call);
    });
    HttpServer partner([&](int fd, const HttpMessage& call) {
      sleepMs(kCallMs);
      if (secondsNow() < kSpoiltFrom || spoilt.exchange(true)) return deliver(fd, call);
      note("partner: a spoilt answer to %s begins", messagesOf(call).front().id.c_str());
      std::size_t sent = 0;
      if (sendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0")) {
        const std::string block(1 << 20, '0');
        while (sent < kMostBytes && sendAll(fd, block)) sent += block.size();
      }
      note("partner: the connection of the spoilt answer has ended after %zu bytes", sent);
      return false;
    });
    Platform platform(json::array({target("s-1", sound.address(), 1, "petit-membre"),
                                   target("s-2", partner.address(), 2, "petit-membre")}));
    Forwarder forwarder("n1", folder, platform, depotLevisSettings(2, 9, 152), "", kMemoryMb);
    forwarder.start();
    if (!forwarder.waitReady(10'000)) throw CannotRun("the forwarder is not ready");

    std::atomic<bool> done{false}, killed{false};
    double mostMb = 0, longestSilence = 0;
    std::thread watcher([&] {  // the platform's limit
      for (; !done; std::this_thread::sleep_for(std::chrono::microseconds(500))) {
        mostMb = std::max(mostMb, forwarder.residentMb());
        if (mostMb <= kMemoryMb || killed) continue;
        killed = true;
        note("platform: %.1f MB are over the limit of %.0f MB: killed", mostMb, kMemoryMb);
        forwarder.signal(SIGKILL);
      }
    });
    std::thread pinger([&] {
      for (double answeredAt = secondsNow(); !done && !killed; sleepMs(100)) {
        if (forwarder.ping(2'000)) answeredAt = secondsNow();
        longestSilence = std::max(longestSilence, secondsNow() - answeredAt);
      }
    });
    int fd = -1, takenOn = 0, notAnswered = 0;
    std::string buffer;
    for (int n = 0; secondsNow() < kHandInUntil && !killed; ++n, sleepMs(50)) {
      if (fd < 0) {
        fd = connectToLoopback(forwarder.port());
        buffer.clear();
      }
      sendAll(fd, enqueueCommand("m" + std::to_string(n), "statut", kTimeMs, 1 + n % 2, "", "body"));
      const auto line = respLine(fd, buffer, 400);
      line && line->rfind("+", 0) == 0 ? ++takenOn : ++notAnswered;
      note("client: hands in m%d, answered %s", n, line ? line->c_str() : "nothing in 400 ms");
      if (line) continue;
      ::close(fd);
      fd = -1;
    }
    sleepMs(killed ? 500 : 2'000);
    done = true;
    watcher.join();
    pinger.join();
    if (fd >= 0) ::close(fd);
    const bool ended = forwarder.ended();
    note("%d messages taken on, %d not answered; %.1f MB at most, the longest time without an answer to PING %.1f s; "
         "the forwarder %s",
         takenOn, notAnswered, mostMb, longestSilence,
         killed  ? "was killed for its memory"
         : ended ? "has ended by itself"
                 : "runs");
    forwarder.end(SIGKILL);
    forwarder.copyLog();
    platform.stop();
    partner.stop();
    sound.stop();
    return killed || ended || longestSilence >= kHungS ? 1 : 0;
  });
}
