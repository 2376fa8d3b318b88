// Fakes on loopback sockets, in this process and on ports of their own: a target, discovery, a client.
#pragma once

#include <gtest/gtest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <chrono>
#include <csignal>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>
#include <vector>

#include "app/forwarder.hpp"
#include "platform.hpp"

namespace quilltide::net::fixtures {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;
using Request = http::request<http::string_body>;

// Instrumented code takes its time: what is bound to real time has so many times as much of it.
#ifdef __SANITIZE_ADDRESS__
constexpr int kSlower = 4;
#else
constexpr int kSlower = 1;
#endif

// Runs both loops, the fakes' and the forwarder's, until the condition holds; gives up after some seconds.
// The forwarder has one of its own, so that a kill drops all that it had pending.
struct Loops {
  asio::io_context fakes;
  std::unique_ptr<asio::io_context> own = std::make_unique<asio::io_context>(1);
  bool until(const std::function<bool()>& holds, std::chrono::milliseconds most = std::chrono::seconds(5)) {
    const auto end = std::chrono::steady_clock::now() + most;
    while (!holds() && std::chrono::steady_clock::now() < end) {
      fakes.restart();
      own->restart();
      if (fakes.poll() + own->poll() == 0) std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
    return holds();
  }
};

class Folder {
 public:
  Folder() {
    std::string name = (std::filesystem::temp_directory_path() / "thistleyoke-XXXXXX").string();
    path_ = ::mkdtemp(name.data());
  }
  ~Folder() { std::filesystem::remove_all(path_); }
  const std::string& path() const { return path_; }
  std::string journal() const { return path_ + "/journal"; }

 private:
  std::string path_;
};

// An HTTP/1.1 server whose answers the test gives: raw bytes, so that they may be malformed.
class FakeServer {
 public:
  struct Link {
    explicit Link(tcp::socket s) : socket(std::move(s)) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    Request request;
    void close() {
      error_code ignored;
      socket.close(ignored);
    }
    void reset() {
      error_code ignored;
      socket.set_option(asio::socket_base::linger(true, 0), ignored);
      socket.close(ignored);
    }
    void write(const std::string& bytes) {
      error_code ignored;
      asio::write(socket, asio::buffer(bytes), ignored);
    }
  };
  using Handler = std::function<void(Link&)>;

  FakeServer(asio::io_context& io, Handler handler)
      : handler(std::move(handler)), acceptor_(io, {asio::ip::make_address("127.0.0.1"), 0}) {
    accept();
  }
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }
  std::string text() const { return "127.0.0.1:" + std::to_string(address().port()); }

  Handler handler;
  std::vector<Request> requests;
  std::vector<std::shared_ptr<Link>> links;
  std::size_t ended = 0;  // connections that the other side closed

  static std::string answer(int status, const std::string& body = "", const std::string& headers = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
  }

 private:
  void accept() {
    acceptor_.async_accept([this](error_code error, tcp::socket socket) {
      if (error) return;
      links.push_back(std::make_shared<Link>(std::move(socket)));
      read(links.back());
      accept();
    });
  }
  void read(std::shared_ptr<Link> link) {
    link->request = {};
    http::async_read(link->socket, link->buffer, link->request, [this, link](error_code error, std::size_t) {
      if (error) {
        ++ended;
        return;
      }
      requests.push_back(link->request);
      if (handler) handler(*link);
      if (link->socket.is_open()) read(link);
    });
  }
  tcp::acceptor acceptor_;
};

// Speaks raw RESP; answers are lines.
class FakeClient {
 public:
  FakeClient(Loops& loops, const tcp::endpoint& to) : loops_(loops), socket_(loops.fakes) {
    socket_.connect(to);
    read();
  }
  void write(const std::string& bytes) { asio::write(socket_, asio::buffer(bytes)); }
  static std::string command(const std::vector<std::string>& words) {
    std::string out = "*" + std::to_string(words.size()) + "\r\n";
    for (const std::string& w : words) out += "$" + std::to_string(w.size()) + "\r\n" + w + "\r\n";
    return out;
  }
  void enqueue(const std::string& id, const std::string& cls, int left = 8'000, int dest = 7,
               const std::string& body = "hello") {
    write(command(
        {"ENQUEUE", "0", id,
         "c=" + cls + ",d=" + std::to_string(left) + ",k=key" + id + ",dest=" + std::to_string(dest), body}));
  }
  // The next answer, or nothing in time.
  std::string line() {
    loops_.until([this] { return in_.find("\r\n") != std::string::npos || closed; });
    const std::size_t end = in_.find("\r\n");
    if (end == std::string::npos) return "";
    const std::string out = in_.substr(0, end);
    in_.erase(0, end + 2);
    return out;
  }
  void finish() { socket_.shutdown(tcp::socket::shutdown_send); }
  bool closed = false;

 private:
  void read() {
    socket_.async_read_some(asio::buffer(*chunk_), [this, alive = chunk_](error_code error, std::size_t n) {
      if (error == asio::error::operation_aborted) return;  // this client is no more
      if (error) {
        closed = true;
        return;
      }
      in_.append(chunk_->data(), n);
      read();
    });
  }
  Loops& loops_;
  tcp::socket socket_;
  std::shared_ptr<std::array<char, 4096>> chunk_ = std::make_shared<std::array<char, 4096>>();
  std::string in_;
};

// Discovery with a list that the test sends, and the notices that came.
class FakeDiscovery {
 public:
  explicit FakeDiscovery(asio::io_context& io) : server(io, [this](FakeServer::Link& link) { take(link); }) {}
  void take(FakeServer::Link& link) {
    if (link.request.method() == http::verb::get) {
      watches.push_back(&link);
      link.write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
      if (!first.empty()) chunk(first);
      return;
    }
    if (refuse > 0) {
      --refuse;
      link.write(FakeServer::answer(503));
      return;
    }
    std::istringstream lines(link.request.body());
    for (std::string line; std::getline(lines, line);) notices.push_back(json::parse(line));
    ++posts;
    link.write("HTTP/1.1 204 No Content\r\n\r\n");
  }
  void chunk(const std::string& line) {
    std::ostringstream out;
    out << std::hex << line.size() + 1 << "\r\n" << line << "\n\r\n";
    watches.back()->write(out.str());
  }
  std::string outcomeOf(const std::string& id) const {
    for (const json& n : notices)
      if (n.value("message", "") == id) return n.value("outcome", "");
    return "";
  }
  FakeServer server;
  std::vector<FakeServer::Link*> watches;
  std::string first;
  std::vector<json> notices;
  std::size_t posts = 0;
  int refuse = 0;
};

inline json entry(const std::string& uid, const std::string& endpoint, const std::string& state = "active",
                  int dest = 7) {
  return {{"uid", uid},        {"endpoint", endpoint}, {"az", "levis"},        {"model", "large"},
          {"pod_group", dest}, {"state", state},       {"capacity_hint", 1.0}, {"boot_ms", 0}};
}

// For a upstream without an engine: whatever is asked may leave.
inline std::vector<bool> letLeave(const TargetId&, const std::vector<const UpstreamRequest*>& requests) {
  return std::vector<bool>(requests.size(), true);
}

// For an upstream without an engine: provisional outcomes are final.
inline ConnectionPool::Handlers ignoreReviews() {
  return {[](const OutcomeReview&) {}, [](const RetryDelayNotice&) {}};
}

// One forwarder with one target of destination 7, classes safe, keyed and unsafe.
class NetFixture : public ::testing::Test {
 protected:
  NetFixture()
      : discovery(io), target(io, [](FakeServer::Link& link) { link.write(FakeServer::answer(200)); }) {
    config = {{"name", "n0"},
              {"listen", "127.0.0.1:0"},
              {"discovery", discovery.server.text()},
              {"seed", "5"},
              {"limits", {{"sockets", 1024}, {"memory_mb", 192}, {"disk_mb", 3}}},
              {"known", {{"rev", 41}, {"all", true}, {"targets", json::array({entry("t1", target.text())})}}},
              {"settings", standin::platformSettings(
                               {{"safe", "safe"}, {"keyed", "keyed"}, {"unsafe", "unsafe"}}, 8, 50)}};
    config["settings"]["dcs"] = {"levis"};
    config["settings"]["periodUs"] = 5000;
    config["settings"]["familyInfo"]["kindBatch"] = {10};
  }
  void start() {
    forwarder = std::make_unique<Forwarder>(*loops.own, parsePlatformConfig(config, folder.path()), product);
    forwarder->start();
    client = std::make_unique<FakeClient>(loops, forwarder->address());
  }
  // As SIGKILL does: nothing is said or written any more, all connections break.
  void kill() {
    client.reset();
    forwarder.reset();
    loops.own = std::make_unique<asio::io_context>(1);
  }
  bool until(const std::function<bool()>& holds) { return loops.until(holds); }
  std::size_t owed() { return Journal(folder.path(), 3'000'000).pendingMessages().size(); }

  // The program itself, with the fixture's configuration in a file, once it takes connections.
  void startProgram() {
    chooseAddress();
    writeConfig(config.dump());
    ASSERT_NO_FATAL_FAILURE(forkProgram());
    ASSERT_TRUE(until([&] {
      tcp::socket probe(io);
      error_code refused;
      probe.connect(address, refused);
      return !refused;
    }));
    client = std::make_unique<FakeClient>(loops, address);
  }
  // Takes a free port for the program's frontend.
  void chooseAddress() {
    tcp::acceptor free(io, {asio::ip::make_address("127.0.0.1"), 0});
    address = free.local_endpoint();
    config["listen"] = "127.0.0.1:" + std::to_string(address.port());
  }
  void forkProgram() {
    program = ::fork();
    ASSERT_GE(program, 0);
    if (program != 0) return;
    ::setenv("PROXY_CONFIG", configPath().c_str(), 1);
    ::setenv("PROXY_STATE", folder.path().c_str(), 1);
    for (const auto& [variable, value] : programEnvironment) ::setenv(variable.c_str(), value.c_str(), 1);
    if (productPath.empty()) ::execl(FORWARDER, FORWARDER, static_cast<char*>(nullptr));
    ::execl(FORWARDER, FORWARDER, "--config", productPath.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
  std::string configPath() const { return folder.path() + "/config.json"; }
  void writeConfig(const std::string& text) {
    std::ofstream(configPath() + ".new") << text;
    std::filesystem::rename(configPath() + ".new", configPath());
  }
  bool programEnded() {
    if (program > 0 && ::waitpid(program, &status, WNOHANG) == program) program = 0;
    return program == 0;
  }
  ~NetFixture() override {
    if (program <= 0 || programEnded()) return;
    ::kill(program, SIGKILL);
    ::waitpid(program, &status, 0);
  }

  // Memory of the program.
  std::size_t residentBytes() const {
    std::ifstream file("/proc/" + std::to_string(program) + "/statm");
    std::size_t total = 0, resident = 0;
    file >> total >> resident;
    return resident * static_cast<std::size_t>(::sysconf(_SC_PAGESIZE));
  }
  void pause(int ms) {
    loops.until([] { return false; }, std::chrono::milliseconds(ms));
  }

  Loops loops;
  asio::io_context& io = loops.fakes;
  Folder folder;
  FakeDiscovery discovery;
  FakeServer target;
  json config;
  ServiceConfig product;  // nothing of our own is switched on
  std::unique_ptr<Forwarder> forwarder;
  std::unique_ptr<FakeClient> client;
  std::string productPath;                                // of the program's --config; empty: none
  std::map<std::string, std::string> programEnvironment;  // variables of the program, in addition to ours
  tcp::endpoint address;                                  // of the program's RESP2 frontend
  pid_t program = 0;
  int status = -1;
};

}  // namespace quilltide::net::fixtures
