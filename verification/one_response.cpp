// Verifies that each request to the HTTP frontend gets one response, its own, and that nothing comes unasked:
// many clients with short long polls, pipelined requests and connections that come and go, beside event
// streams that do the same, on one forwarder among partners that answer at the time at which polls run out.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <csignal>
#include <deque>
#include <iostream>
#include <nlohmann/json.hpp>
#include <random>

#include "testbed.hpp"

using namespace quilltide::standin;
using boost::system::error_code;
using nlohmann::json;

namespace {

constexpr std::size_t kPartners = 10, kClients = 40, kStreams = 4;
constexpr auto kCallTime = milliseconds(240), kCallTimeRange = milliseconds(20);
constexpr int kPollWaitsMs[] = {1, 5, 50, 230, 250, 260, 600};
constexpr double kLeaveShare = 0.02;  // of the requests, after which a client leaves at once
constexpr auto kStreamTime = milliseconds(300);
// Longer than a poll and the time after which a delivery on a used connection is told.
constexpr auto kMaxResponseTime = milliseconds(5'000);

struct Totals {
  std::size_t requests = 0, responses = 0, streams = 0, reconnects = 0;
  std::vector<std::string> violations;
};

// A connection with requests that have no response yet. Reads whole responses and checks whose they are.
class RequestingClient {
 public:
  RequestingClient(boost::asio::io_context& io, const tcp::endpoint& to, std::size_t number,
                   std::uint64_t seed, Totals& totals)
      : io_(io), to_(to), number_(number), random_(seed * kClients + number), totals_(totals) {
    connect();
  }
  // Requests that got no response in time.
  void checkUnanswered() {
    if (!awaited_.empty() && Clock::now() - sentAt_ > kMaxResponseTime)
      violation("no response to the request about " + awaited_.front());
  }

 private:
  using Socket = std::shared_ptr<tcp::socket>;

  void violation(const std::string& text) {
    totals_.violations.push_back("client " + std::to_string(number_) + ": " + text);
  }

  void connect() {
    socket_ = std::make_shared<tcp::socket>(io_);
    received_.clear();
    awaited_.clear();
    socket_->async_connect(to_, [this, socket = socket_](error_code error) {
      if (socket != socket_) return;
      if (error) return reconnect();
      socket->set_option(tcp::no_delay(true));
      sendRequests();
      read(socket);
    });
  }
  void reconnect() {
    ++totals_.reconnects;
    connect();
  }

  // A new message and, at once or behind its response, polls of its state.
  void sendRequests() {
    const std::string id = "c" + std::to_string(number_) + "-" + std::to_string(++lastMessage_);
    std::string bytes = submission(id);
    awaited_.push_back(id);
    for (std::size_t polls = random_() % 3; polls > 0; --polls) {
      bytes += poll(id);
      awaited_.push_back(id);
    }
    send(bytes);
  }
  std::string submission(const std::string& id) {
    const std::string target = "/v1/messages?id=" + id +
                               "&class=statut&destination=" + std::to_string(random_() % kPartners) +
                               "&time_left_ms=4000";
    return "POST " + target + " HTTP/1.1\r\nHost: f\r\nContent-Length: 4\r\n\r\nbody";
  }
  std::string poll(const std::string& id) {
    const int wait = kPollWaitsMs[random_() % std::size(kPollWaitsMs)];
    return "GET /v1/messages/" + id + "?wait_ms=" + std::to_string(wait) + " HTTP/1.1\r\nHost: f\r\n\r\n";
  }
  void send(const std::string& bytes) {
    sentAt_ = Clock::now();
    totals_.requests += awaited_.size();
    error_code ignored;
    boost::asio::write(*socket_, boost::asio::buffer(bytes), ignored);
    if (std::uniform_real_distribution<double>()(random_) >= kLeaveShare) return;
    socket_->close(ignored);
    reconnect();
  }

  void read(const Socket& socket) {
    socket->async_read_some(boost::asio::buffer(chunk_), [this, socket](error_code error, std::size_t count) {
      if (socket != socket_) return;
      if (error) {
        // The forwarder ends no connection with requests that it has not answered.
        if (!awaited_.empty()) violation("the connection ended before a response about " + awaited_.front());
        return reconnect();
      }
      received_.append(chunk_.data(), count);
      while (socket == socket_ && takeResponse()) {
      }
      if (socket != socket_) return;
      if (awaited_.empty() && !received_.empty()) {
        violation("bytes that nobody asked for: " + received_.substr(0, 80));
        return reconnect();
      }
      read(socket);
    });
  }

  bool takeResponse() {
    const std::size_t head = received_.find("\r\n\r\n");
    if (head == std::string::npos) return false;
    const std::size_t at = received_.find("Content-Length: ");
    const std::size_t length = at < head ? std::stoul(received_.substr(at + 16)) : 0;
    if (received_.size() < head + 4 + length) return false;
    const int status = std::stoi(received_.substr(9, 3));
    const json body = json::parse(received_.substr(head + 4, length), nullptr, false);
    received_.erase(0, head + 4 + length);
    check(status, body);
    return true;
  }

  void check(int status, const json& body) {
    ++totals_.responses;
    if (awaited_.empty()) return violation("a response that nobody asked for: " + body.dump());
    const std::string id = awaited_.front();
    awaited_.pop_front();
    const std::string told = body.is_object() ? body.value("id", "") : "";
    const bool known = status == 200 || status == 202;
    if ((known && told != id) || (!told.empty() && told != id))
      violation("asked about " + id + ", answered " + std::to_string(status) + " about " + told);
    if (awaited_.empty()) sendRequests();
  }

  boost::asio::io_context& io_;
  tcp::endpoint to_;
  std::size_t number_;
  std::mt19937_64 random_;
  Totals& totals_;
  Socket socket_;
  std::array<char, 16 * 1024> chunk_{};
  std::string received_;
  std::deque<std::string> awaited_;  // ids of the requests without a response, in order
  Clock::time_point sentAt_;
  std::size_t lastMessage_ = 0;
};

// Opens an event stream, reads it for a while and leaves, again and again.
class ComingAndGoingStream {
 public:
  ComingAndGoingStream(boost::asio::io_context& io, const tcp::endpoint& to, Totals& totals)
      : io_(io), to_(to), totals_(totals), timer_(io) {
    open();
  }

 private:
  void open() {
    ++totals_.streams;
    socket_ = std::make_shared<tcp::socket>(io_);
    error_code ignored;
    socket_->connect(to_, ignored);
    boost::asio::write(*socket_, boost::asio::buffer(std::string("GET /v1/ends HTTP/1.1\r\nHost: f\r\n\r\n")),
                       ignored);
    read(socket_);
    timer_.expires_after(kStreamTime);
    timer_.async_wait([this](error_code error) {
      if (!error) open();
    });
  }
  void read(const std::shared_ptr<tcp::socket>& socket) {
    socket->async_read_some(boost::asio::buffer(chunk_), [this, socket](error_code error, std::size_t) {
      if (!error && socket == socket_) read(socket);
    });
  }
  boost::asio::io_context& io_;
  tcp::endpoint to_;
  Totals& totals_;
  boost::asio::steady_timer timer_;
  std::shared_ptr<tcp::socket> socket_;
  std::array<char, 16 * 1024> chunk_{};
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Sends crossing requests to the HTTP frontend and checks the responses.", "one-response");
  bool quick = false;
  std::uint64_t seed = 1;
  double seconds = 60;
  std::string program = FORWARDER;
  app.add_flag("--quick", quick, "eight seconds");
  app.add_option("--seed", seed, "seed of the clients");
  app.add_option("--seconds", seconds, "how long the clients send");
  app.add_option("--forwarder", program, "path of the forwarder's program");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (quick) seconds = 8;

  ForwarderProcess::Options options;
  options.maxHttpConnections = 2 * (kClients + kStreams);
  PartnerSettings partnerSettings;
  partnerSettings.responseDelay = kCallTime;
  partnerSettings.responseDelayRange = kCallTimeRange;
  partnerSettings.seed = seed;
  Testbed testbed(program, kPartners, options, partnerSettings);
  testbed.start();
  Totals totals;
  std::vector<std::unique_ptr<RequestingClient>> clients;
  std::vector<std::unique_ptr<ComingAndGoingStream>> streams;
  const tcp::endpoint frontend = testbed.forwarder().httpEndpoint();
  for (std::size_t i = 0; i < kClients; ++i)
    clients.push_back(std::make_unique<RequestingClient>(testbed.io(), frontend, i, seed, totals));
  for (std::size_t i = 0; i < kStreams; ++i)
    streams.push_back(std::make_unique<ComingAndGoingStream>(testbed.io(), frontend, totals));
  testbed.runUntil([&] { return !totals.violations.empty(); },
                   milliseconds(static_cast<std::int64_t>(seconds * 1e3)));
  for (const auto& client : clients) client->checkUnanswered();
  if (testbed.forwarder().residentBytes() == 0) totals.violations.push_back("the forwarder has ended");
  for (const std::string& violation : totals.violations) std::cout << "VIOLATION " << violation << "\n";
  const bool holds = totals.violations.empty() && totals.responses > 0;
  std::cout << json{{"verification", "one-response"},
                    {"seed", seed},
                    {"holds", holds},
                    {"requests", totals.requests},
                    {"responses", totals.responses},
                    {"streams", totals.streams},
                    {"reconnects", totals.reconnects},
                    {"violations", totals.violations.size()}}
                   .dump()
            << std::endl;
  return holds ? 0 : 1;
}
