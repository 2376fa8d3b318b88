// The program beside hundreds of clients that hold what they began, and beside one that sends at full speed:
// its memory stays bounded, and a sound client has its answers.
#include <poll.h>
#include <sys/socket.h>

#include <atomic>
#include <thread>

#include "http_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;

constexpr std::size_t kMemoryLimitBytes = 32U << 20;  // the smallest of a deployment
constexpr std::size_t kMaxResidentBytes = kMemoryLimitBytes / 4 * 3;
constexpr int kClients = 300;
constexpr auto kMaxAnswerTime = milliseconds(300);  // a client waits 400 ms for its answer
constexpr auto kFloodTime = milliseconds(1'500);

struct Form {
  const char* name;
  std::string bytes;
};

struct CrowdedFrontendsTest : HttpFixture {
  void startProgramWithHttp() {
    config["limits"]["memory_mb"] = kMemoryLimitBytes >> 20;
    config["limits"]["disk_mb"] = 16;
    config["settings"]["limits"]["maxOpen"] = 1'000;
    config["settings"]["familyInfo"]["callsOut"] = 50;
    tcp::acceptor free(io, {asio::ip::make_address("127.0.0.1"), 0});
    httpAddress = free.local_endpoint();
    free.close();
    productPath = folder.path() + "/t.toml";
    std::ofstream(productPath) << "[doors.http]\nlisten = \"127.0.0.1:" << httpAddress.port()
                               << "\"\n[doors.http.answers]\nmost = 5000\n";
    startProgram();
    http = std::make_unique<HttpTalk>(loops, httpAddress);
  }
  void checkMemory(const char* form) { ASSERT_LT(residentBytes(), kMaxResidentBytes * kSlower) << form; }
  // The sound clients of both frontends are answered in time.
  void checkSoundClients(const std::string& form, int round) {
    const std::string id = form + std::to_string(round);
    auto sentAt = Clock::now();
    client->enqueue("r" + id, "safe", 8'000, 7, std::string(6'000, 'p'));
    ASSERT_EQ(client->line(), "+OK") << id;
    ASSERT_LT(Clock::now() - sentAt, kMaxAnswerTime * kSlower) << id;
    sentAt = Clock::now();
    ASSERT_EQ(http->hand("h" + id, "safe", std::string(6'000, 'p')).status, 202) << id;
    ASSERT_LT(Clock::now() - sentAt, kMaxAnswerTime * kSlower) << id;
  }
  void playCrowd(const tcp::endpoint& to, const Form& form) {
    std::vector<std::unique_ptr<HttpTalk>> crowd;
    for (int i = 0; i < kClients; ++i) {
      crowd.push_back(std::make_unique<HttpTalk>(loops, to));
      crowd.back()->write(form.bytes);
      if (i % 10 != 0) continue;
      ASSERT_NO_FATAL_FAILURE(checkSoundClients(form.name, i));
      ASSERT_NO_FATAL_FAILURE(checkMemory(form.name));
    }
  }
  tcp::endpoint httpAddress;
};

std::string shortFields(int count) {
  std::string fields;
  for (int i = 0; i < count; ++i) fields += "a:\r\n";
  return fields;
}

const std::string kPost =
    "POST /v1/messages?class=safe&destination=7&time_left_ms=8000 HTTP/1.1\r\nHost: f\r\n";

// Guards against heads whose fields take many times their text, and bodies that are held for each client.
TEST_F(CrowdedFrontendsTest, HundredsOfHttpClientsDoNotTakeTheMemory) {
  startProgramWithHttp();
  const std::vector<Form> forms = {
      {"finished-heads", kPost + "Content-Length: 10\r\n" + shortFields(1'900) + "\r\n"},
      {"unfinished-heads", kPost + shortFields(1'900)},
      {"trailers", kPost + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n" + shortFields(1'900)},
      {"half-bodies", kPost + "Content-Length: 65536\r\n\r\n" + std::string(63'000, 'x')}};
  for (const Form& form : forms) ASSERT_NO_FATAL_FAILURE(playCrowd(httpAddress, form));
}

// Guards against the same with commands.
TEST_F(CrowdedFrontendsTest, HundredsOfRespClientsDoNotTakeTheMemory) {
  startProgramWithHttp();
  const std::string large =
      FakeClient::command({"ENQUEUE", "0", "half", "c=safe,d=8000,dest=7", std::string(65'536, 'x')});
  std::string manyNames;
  for (int i = 0; i < 10'000; ++i) manyNames += "a=,";
  std::string emptyArguments = "*64\r\n";
  for (int i = 0; i < 63; ++i) emptyArguments += "$0\r\n\r\n";
  const std::vector<Form> forms = {
      {"half-commands", large.substr(0, large.size() - 2'000)},
      {"many-names", "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nm1\r\n$" + std::to_string(manyNames.size()) +
                         "\r\n" + manyNames + "\r\n$60000\r\nhalf"},
      {"empty-arguments", emptyArguments}};
  for (const Form& form : forms) ASSERT_NO_FATAL_FAILURE(playCrowd(address, form));
}

// A client that sends at full speed, discards what it reads, and connects again when it is ended. It has a
// thread of its own.
class Flood {
 public:
  using NextBlock = std::function<std::string()>;
  Flood(const tcp::endpoint& to, NextBlock nextBlock)
      : to_(to), nextBlock_(std::move(nextBlock)), thread_([this] {
          while (!ended_) sendUntilEnded();
        }) {}
  ~Flood() {
    ended_ = true;
    thread_.join();
  }
  std::size_t bytesSent() const { return bytesSent_; }

 private:
  static constexpr int kPollMs = 10;

  void sendUntilEnded() {
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    std::string block;
    bool open = ::connect(socket, to_.data(), static_cast<socklen_t>(to_.size())) == 0;
    while (open && !ended_) {
      if (block.empty()) block = nextBlock_();
      pollfd state{socket, POLLIN | POLLOUT, 0};
      ::poll(&state, 1, kPollMs);
      if ((state.revents & POLLIN) != 0) open = discardInput(socket);
      if ((state.revents & POLLOUT) == 0) continue;
      const auto count = ::send(socket, block.data(), block.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
      if (count < 0) open = open && errno == EAGAIN;
      if (count <= 0) continue;
      bytesSent_ += static_cast<std::size_t>(count);
      block.erase(0, static_cast<std::size_t>(count));
    }
    ::close(socket);
  }
  static bool discardInput(int socket) {
    std::array<char, 64 * 1024> received;
    const auto count = ::recv(socket, received.data(), received.size(), MSG_DONTWAIT);
    return count > 0 || (count < 0 && errno == EAGAIN);
  }

  const tcp::endpoint to_;
  const NextBlock nextBlock_;
  std::atomic<bool> ended_{false};
  std::atomic<std::size_t> bytesSent_{0};
  std::thread thread_;
};

// Guards against one client that sends small or invalid requests at full speed, also under ever new names.
TEST_F(CrowdedFrontendsTest, OneClientAtFullSpeedDelaysNoOther) {
  startProgramWithHttp();
  int number = 0;
  const auto repeated = [&](const std::function<std::string(const std::string&)>& request) {
    return [&number, request] {
      std::string block;
      for (int i = 0; i < 200; ++i) block += request(std::to_string(++number));
      return block;
    };
  };
  const auto command = [](const std::string& id, const std::string& fields) {
    return FakeClient::command({"ENQUEUE", "0", id, fields, "b"});
  };
  struct Flooding {
    const char* name;
    bool overHttp;
    std::function<std::string(const std::string&)> request;
  };
  const std::vector<Flooding> forms = {
      {"ping", false, [](const std::string&) { return FakeClient::command({"PING"}); }},
      {"unknown-command", false, [](const std::string& n) { return FakeClient::command({"X" + n}); }},
      {"inline", false, [](const std::string& n) { return "GET " + n + "\r\n"; }},
      {"unknown-destination", false,
       [&](const std::string& n) { return command("x" + n, "c=safe,d=8000,dest=1" + n); }},
      {"unknown-class", false, [&](const std::string& n) { return command("x" + n, "c=x" + n + ",dest=7"); }},
      {"unknown-message", true,
       [](const std::string& n) { return HttpTalk::request("GET", "/v1/messages/x" + n); }},
      {"unknown-path", true, [](const std::string& n) { return HttpTalk::request("GET", "/x" + n); }},
      {"invalid-message", true,
       [](const std::string& n) {
         return HttpTalk::request("POST", "/v1/messages?class=x" + n + "&destination=7", "b");
       }},
      {"unknown-destination-over-http", true, [](const std::string& n) {
         return HttpTalk::request("POST", "/v1/messages?class=safe&time_left_ms=8000&destination=1" + n, "b");
       }}};
  for (const Flooding& form : forms) {
    Flood flood(form.overHttp ? httpAddress : address, repeated(form.request));
    int round = 0;
    for (const auto end = Clock::now() + kFloodTime; Clock::now() < end; pause(20)) {
      ASSERT_NO_FATAL_FAILURE(checkSoundClients(form.name, ++round));
      ASSERT_NO_FATAL_FAILURE(checkMemory(form.name));
    }
    EXPECT_GT(flood.bytesSent(), 0U) << form.name;
  }
}

}  // namespace
}  // namespace quilltide::net::fixtures
