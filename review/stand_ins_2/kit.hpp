// What the cases of the second review share: the platform, targets and clients as the pages describe them,
// the processes under test, and the record. Every address is 127.0.0.1 with a free port.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using nlohmann::json;
using Clock = std::chrono::steady_clock;
namespace fs = std::filesystem;

inline const Clock::time_point kStart = Clock::now();
inline std::int64_t nowMs() {
  return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - kStart).count();
}
inline void sleepMs(std::int64_t ms) {
  if (ms > 0) std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}
inline void sleepUntil(std::int64_t ms) { sleepMs(ms - nowMs()); }

// ---- The record ----

class Record {
 public:
  explicit Record(const std::string& path) : file_(path) {}
  void line(const std::string& text) {
    const std::lock_guard<std::mutex> lock(mutex_);
    char head[32];
    std::snprintf(head, sizeof head, "%9.3f ", static_cast<double>(nowMs()) / 1000);
    file_ << head << text << std::endl;
  }

 private:
  std::mutex mutex_;
  std::ofstream file_;
};

// Exit status 2: the case could not run.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// ---- Sockets ----

inline sockaddr_in loopback(int port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}
inline int listenAt(int& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 256) != 0)
    throw CannotRun("cannot listen");
  ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size);
  port = ntohs(address.sin_port);
  return fd;
}
inline int freePort() {
  int port = 0;
  ::close(listenAt(port));
  return port;
}
inline std::string at(int port) { return "127.0.0.1:" + std::to_string(port); }

// A connected socket with buffered reading.
class Connection {
 public:
  explicit Connection(int fd) : fd_(fd) {
    const int one = 1;
    ::setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  }
  ~Connection() { close(); }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  static std::unique_ptr<Connection> to(int port) {
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(port);
    if (fd < 0 || ::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
      if (fd >= 0) ::close(fd);
      return nullptr;
    }
    return std::make_unique<Connection>(fd);
  }
  bool write(const std::string& bytes) {
    for (std::size_t done = 0; done < bytes.size();) {
      const ssize_t n = ::send(fd_, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
      if (n < 0 && errno == EINTR) continue;
      if (n <= 0) return false;
      done += static_cast<std::size_t>(n);
    }
    return true;
  }
  // Waits for more input; false at the end, on an error or after the time.
  bool fill(std::int64_t timeoutMs) {
    pollfd p{fd_, POLLIN, 0};
    if (::poll(&p, 1, static_cast<int>(std::max<std::int64_t>(0, timeoutMs))) <= 0) return false;
    char block[16384];
    const ssize_t n = ::recv(fd_, block, sizeof block, 0);
    if (n <= 0) {
      ended_ = true;
      return false;
    }
    input_.append(block, static_cast<std::size_t>(n));
    return true;
  }
  // One line without its CRLF; false at the end of the connection or after the time.
  bool readLine(std::string& line, std::int64_t timeoutMs) {
    const std::int64_t until = nowMs() + timeoutMs;
    for (;;) {
      if (const auto end = input_.find("\r\n"); end != std::string::npos) {
        line = input_.substr(0, end);
        input_.erase(0, end + 2);
        return true;
      }
      if (!fill(until - nowMs())) return false;
    }
  }
  bool readBytes(std::string& bytes, std::size_t count, std::int64_t timeoutMs) {
    const std::int64_t until = nowMs() + timeoutMs;
    while (input_.size() < count)
      if (!fill(until - nowMs())) return false;
    bytes = input_.substr(0, count);
    input_.erase(0, count);
    return true;
  }
  bool ended() const { return ended_; }
  int fd() const { return fd_; }
  void close() {
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void shutdown() {
    if (fd_ >= 0) ::shutdown(fd_, SHUT_RDWR);
  }

 private:
  int fd_;
  std::string input_;
  bool ended_ = false;
};

// ---- HTTP servers ----

struct Request {
  std::string method, target, body;
  std::map<std::string, std::string> headers;  // names in lower case
  std::int64_t doneAt = 0;                     // when the last byte had come
};
inline bool readRequest(Connection& connection, Request& request, std::int64_t timeoutMs = 120'000) {
  std::string line;
  request = {};
  if (!connection.readLine(line, timeoutMs)) return false;
  std::istringstream first(line);
  first >> request.method >> request.target;
  while (connection.readLine(line, 10'000) && !line.empty()) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) return false;
    std::string name = line.substr(0, colon), value = line.substr(colon + 1);
    std::transform(name.begin(), name.end(), name.begin(), ::tolower);
    value.erase(0, value.find_first_not_of(' '));
    request.headers[name] = value;
  }
  if (!line.empty()) return false;
  const auto length = request.headers.find("content-length");
  if (length != request.headers.end() &&
      !connection.readBytes(request.body, std::stoul(length->second), 10'000))
    return false;
  request.doneAt = nowMs();
  return true;
}
inline std::string response(int status, const std::string& body = "", const std::string& headers = "") {
  static const std::map<int, std::string> reasons = {{200, "OK"},
                                                     {204, "No Content"},
                                                     {404, "Not Found"},
                                                     {429, "Too Many Requests"},
                                                     {503, "Service Unavailable"}};
  const auto reason = reasons.find(status);
  return "HTTP/1.1 " + std::to_string(status) + " " + (reason == reasons.end() ? "-" : reason->second) +
         "\r\n" + headers + (status == 204 ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") +
         "\r\n" + body;
}

// A thread for the listener and one for each connection.
class Server {
 public:
  using Serve = std::function<void(Connection&)>;
  explicit Server(Serve serve, int port = 0) : port_(port), serve_(std::move(serve)) {
    fd_ = listenAt(port_);
    acceptor_ = std::thread([this] { accept(); });
  }
  ~Server() { stop(); }
  int port() const { return port_; }
  // Takes no new connection; the open ones stay.
  void stopListening() {
    if (listening_.exchange(false)) ::shutdown(fd_, SHUT_RDWR);
    if (acceptor_.joinable()) acceptor_.join();
    if (fd_ >= 0) ::close(fd_);
    fd_ = -1;
  }
  void closeConnections() {
    const std::lock_guard<std::mutex> lock(mutex_);
    for (const auto& connection : connections_) connection->shutdown();
  }
  void stop() {
    stopListening();
    stopping_ = true;
    closeConnections();
    for (std::thread& thread : threads_) thread.join();
    threads_.clear();
  }
  bool stopping() const { return stopping_; }

 private:
  void accept() {
    while (listening_) {
      const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!listening_) return;
        continue;
      }
      const std::lock_guard<std::mutex> lock(mutex_);
      auto connection = std::make_shared<Connection>(fd);
      connections_.push_back(connection);
      threads_.emplace_back([this, connection] {
        serve_(*connection);
        const std::lock_guard<std::mutex> inner(mutex_);
        std::erase(connections_, connection);
        connection->close();
      });
    }
  }
  int port_, fd_ = -1;
  Serve serve_;
  std::atomic<bool> listening_{true}, stopping_{false};
  std::mutex mutex_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
  std::thread acceptor_;
};

// ---- The platform: discovery and notices ----

struct Notice {
  std::int64_t at = 0;
  std::string outcome;
};

// What discovery knows and the notices that came. More than one server may show it, as when discovery moves.
class Platform {
 public:
  explicit Platform(Record& record) : record_(record) {}
  void list(const std::string& uid, const std::string& model, int destination, int port,
            const std::string& state = "active") {
    const std::lock_guard<std::mutex> lock(mutex_);
    entries_[uid] = {{"uid", uid},
                     {"endpoint", at(port)},
                     {"az", "levis"},
                     {"model", model},
                     {"pod_group", destination},
                     {"state", state},
                     {"capacity_hint", 1.0},
                     {"boot_ms", 0}};
    changedAt_[uid] = ++revision_;
    record_.line("discovery: revision " + std::to_string(revision_) + ", " + uid + " of destination " +
                 std::to_string(destination) + " is " + state);
  }
  json whole() {
    const std::lock_guard<std::mutex> lock(mutex_);
    json targets = json::array();
    for (const auto& [uid, entry] : entries_)
      if (entry["state"] != "left") targets.push_back(entry);
    return {{"rev", revision_}, {"all", true}, {"targets", targets}};
  }
  std::map<std::string, Notice> notices() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return notices_;
  }
  void serve(Connection& connection, const std::string& name, const std::atomic<bool>& stopping) {
    Request request;
    while (readRequest(connection, request)) {
      if (request.method == "POST" && request.target == "/status") {
        std::istringstream lines(request.body);
        for (std::string line; std::getline(lines, line);) {
          const json notice = json::parse(line, nullptr, false);
          if (notice.is_discarded()) continue;
          const std::string id = notice.at("message"), outcome = notice.at("outcome");
          const std::lock_guard<std::mutex> lock(mutex_);
          if (notices_.emplace(id, Notice{nowMs(), outcome}).second)
            record_.line("notice at " + name + ": " + id + " " + outcome);
        }
        if (!connection.write(response(204))) return;
      } else if (request.target.starts_with("/discovery/hosts?watch")) {
        return watch(connection, stopping);
      } else if (request.target.starts_with("/discovery/hosts")) {
        if (!connection.write(response(200, whole().dump() + "\n"))) return;
      } else if (!connection.write(response(404))) {
        return;
      }
    }
  }

 private:
  static bool chunk(Connection& connection, const std::string& text) {
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return connection.write(size + text + "\r\n");
  }
  void watch(Connection& connection, const std::atomic<bool>& stopping) {
    if (!connection.write(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"))
      return;
    const json first = whole();
    std::int64_t told = first["rev"], spokenAt = nowMs();
    if (!chunk(connection, first.dump() + "\n")) return;
    while (!stopping) {
      pollfd p{connection.fd(), POLLIN, 0};
      if (::poll(&p, 1, 10) != 0) return;  // the watcher has gone
      json changes = json::array();
      std::int64_t revision = 0;
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        revision = revision_;
        for (const auto& [uid, changed] : changedAt_)
          if (changed > told) changes.push_back(entries_[uid]);
      }
      std::string text;
      if (!changes.empty()) {
        told = revision;
        text = json{{"rev", revision}, {"all", false}, {"targets", changes}}.dump() + "\n";
      } else if (nowMs() - spokenAt >= 2'000) {
        text = "\n";
      }
      if (text.empty()) continue;
      spokenAt = nowMs();
      if (!chunk(connection, text)) return;
    }
  }
  Record& record_;
  std::mutex mutex_;
  std::map<std::string, json> entries_;
  std::map<std::string, std::int64_t> changedAt_;
  std::int64_t revision_ = 40;
  std::map<std::string, Notice> notices_;
};

class PlatformServer {
 public:
  PlatformServer(Platform& platform, std::string name)
      : name_(std::move(name)),
        server_([this, &platform](Connection& connection) { platform.serve(connection, name_, stopping_); }) {
  }
  ~PlatformServer() { stop(); }
  int port() const { return server_.port(); }
  void stopListening() { server_.stopListening(); }
  void stop() {
    stopping_ = true;
    server_.stop();
  }

 private:
  std::atomic<bool> stopping_{false};
  std::string name_;
  Server server_;
};

// ---- Targets ----

struct Call {
  std::vector<std::string> ids;
  std::int64_t at = 0;  // when its last byte had come
};
struct Answer {
  int status = 200;
  std::string headers;
  std::int64_t delayMs = 150;
};

// Answers all messages of a call alike.
class Target {
 public:
  using Decide = std::function<Answer(const Call&)>;
  Target(Record& record, std::string name, Decide decide)
      : record_(record),
        name_(std::move(name)),
        decide_(std::move(decide)),
        server_([this](Connection& connection) { serve(connection); }) {}
  ~Target() { server_.stop(); }
  int port() const { return server_.port(); }
  void stop() { server_.stop(); }
  std::vector<Call> calls() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return calls_;
  }
  // Messages that ran, with the time of their answers.
  std::map<std::string, std::vector<std::int64_t>> ran() {
    const std::lock_guard<std::mutex> lock(mutex_);
    return ran_;
  }

 private:
  void serve(Connection& connection) {
    Request request;
    while (readRequest(connection, request)) {
      Call call;
      call.at = request.doneAt;
      const bool many = request.target == "/receive-many";
      if (!many) {
        call.ids = {request.headers["x-request-id"]};
      } else {
        for (std::size_t at = 0; at < request.body.size();) {
          const auto end = request.body.find("\r\n", at);
          std::istringstream line(request.body.substr(at, end - at));
          std::string id, key;
          std::size_t length = 0;
          line >> id >> key >> length;
          call.ids.push_back(id);
          at = end + 2 + length + 2;
        }
      }
      std::string named;
      for (const std::string& id : call.ids) named += " " + id;
      record_.line(name_ + " is called:" + named);
      const Answer answer = decide_(call);
      {
        const std::lock_guard<std::mutex> lock(mutex_);
        calls_.push_back(call);
      }
      if (answer.status == 0) {  // takes the call and answers nothing
        connection.fill(120'000);
        return;
      }
      sleepMs(answer.delayMs);
      std::string body;
      if (many && answer.status == 200)
        for (const std::string& id : call.ids) body += id + " ok\r\n";
      const bool written = connection.write(response(answer.status, body, answer.headers));
      record_.line(
          name_ + " answers " + std::to_string(answer.status) +
          (answer.headers.empty() ? "" : ", " + answer.headers.substr(0, answer.headers.size() - 2)) + ":" +
          named);
      if (answer.status == 200) {
        const std::lock_guard<std::mutex> lock(mutex_);
        for (const std::string& id : call.ids) ran_[id].push_back(nowMs());
      }
      if (!written) return;
    }
  }
  Record& record_;
  std::string name_;
  Decide decide_;
  std::mutex mutex_;
  std::vector<Call> calls_;
  std::map<std::string, std::vector<std::int64_t>> ran_;
  Server server_;
};

// ---- Clients ----

inline std::string newId() {
  static std::atomic<int> count{0};
  char id[17];
  std::snprintf(id, sizeof id, "%08x%08x", static_cast<unsigned>(::getpid()), static_cast<unsigned>(++count));
  return id;
}
inline std::string bulk(const std::string& text) {
  return "$" + std::to_string(text.size()) + "\r\n" + text + "\r\n";
}
// `fields` as on the protocol's page, for example "c=statut,d=24000,dest=7".
inline std::string enqueue(const std::string& id, const std::string& fields, const std::string& body) {
  return "*5\r\n" + bulk("ENQUEUE") + bulk("0000000000000000") + bulk(id) + bulk(fields) + bulk(body);
}

// ---- Processes ----

// The command that starts a forwarder, from the deploy file.
inline std::string runCommand(const std::string& root) {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (!line.starts_with("run = \"")) continue;
    return line.substr(7, line.find('"', 7) - 7);
  }
  throw CannotRun("deploy/balancer.toml has no run");
}

class Process {
 public:
  Process(const std::string& root, const std::string& command,
          const std::map<std::string, std::string>& environment, const std::string& logPath) {
    const pid_t parent = ::getpid();
    pid_ = ::fork();
    if (pid_ < 0) throw CannotRun("cannot fork");
    if (pid_ > 0) return;
    // Ends with the case, also when that is ended from outside.
    if (::prctl(PR_SET_PDEATHSIG, SIGKILL) != 0 || ::getppid() != parent) ::_exit(127);
    for (const auto& [name, value] : environment) ::setenv(name.c_str(), value.c_str(), 1);
    const int log = ::open(logPath.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(log, 1);
    ::dup2(log, 2);
    if (::chdir(root.c_str()) != 0) ::_exit(127);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
  }
  ~Process() { kill(); }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  void signal(int number) {
    if (running()) ::kill(pid_, number);
  }
  bool running() {
    if (!reaped_ && ::waitpid(pid_, &status_, WNOHANG) == pid_) reaped_ = true;
    return !reaped_;
  }
  void kill() {
    if (!running()) return;
    ::kill(pid_, SIGKILL);
    ::waitpid(pid_, &status_, 0);
    reaped_ = true;
  }
  bool waitForEnd(std::int64_t timeoutMs) {
    for (const std::int64_t until = nowMs() + timeoutMs; nowMs() < until; sleepMs(20))
      if (!running()) return true;
    return !running();
  }
  std::string ending() {
    if (running()) return "running";
    return WIFEXITED(status_) ? "exit status " + std::to_string(WEXITSTATUS(status_))
                              : "signal " + std::to_string(WTERMSIG(status_));
  }

 private:
  pid_t pid_ = -1;
  int status_ = 0;
  bool reaped_ = false;
};

// The settings of the first deployment, as the wire's page shows them.
inline json depotSettings() {
  return json::parse(R"({
    "classes":[
      {"name":"statut","deadlineUs":24000000,"effect":"safe","group":"all","keyTtlUs":5000000,"lateWorth":0.5,"onTimeUs":2500000,"streamed":false,"worth":1.0},
      {"name":"ordre","deadlineUs":16000000,"effect":"keyed","group":"all","keyTtlUs":6000000,"lateWorth":0.3,"onTimeUs":2500000,"streamed":false,"worth":2.0},
      {"name":"paiement","deadlineUs":16000000,"effect":"unsafe","group":"all","keyTtlUs":5000000,"lateWorth":0.4,"onTimeUs":2500000,"streamed":false,"worth":5.0}],
    "clients":{"marksRetry":true},"dcs":["levis"],"discovery":"on_request",
    "familyInfo":{"callsOut":9,"decay":"halves","kindApart":[false,false],"kindBatch":[10,1],"refusedPrice":0.0,"routeFee":0.0},
    "fees":{"connection":0.0,"crossZone":0.0,"discovery":0.0,"handshake":0.06,"lateFail":0.03,"moves":0.0,"origin":0.0,"peer":0.0,"probe":0.0,"waste":0.03},
    "fleetSize":2,"goal":{"whole":0.5,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.3},"kindOfService":"deliver",
    "limits":{"attemptsCap":6,"cancel":true,"connIdleUs":15000000,"connectTimeoutUs":1500000,"cpuUsPerRequest":0.0,"cpuUsPerS":120000,"maxOpen":152,"maxRetryAfterUs":2000000,"mayProbe":false,"peerMessages":false,"retryAfter":true,"secondCopies":true,"streamsPerConn":1},
    "machineTypes":["grand-compte","petit-membre"],"me":0,"overShareWorth":0.1,"periodUs":5000,
    "report":{"columns":[],"source":"none"},
    "rules":{"answerSlackUs":20000,"askWithinUs":10000000,"drainGraceUs":1000000,"overloadForUs":3000000,"startCapacity":0.18,"tipMultiple":2.0,"warmAfterUs":13000000},
    "stages":["partenaires"],"tenants":[],"tier":0,"weights":"none","worthBy":"request"})");
}

// A folder that is removed at the end.
class TemporaryFolder {
 public:
  TemporaryFolder() {
    const char* base = std::getenv("TMPDIR");
    path_ = std::string(base != nullptr ? base : "/tmp") + "/review-2-XXXXXX";
    if (::mkdtemp(path_.data()) == nullptr) throw CannotRun("cannot make a temporary folder");
  }
  ~TemporaryFolder() {
    std::error_code ignored;
    if (std::getenv("KEEP") == nullptr) fs::remove_all(path_, ignored);
  }
  const std::string& path() const { return path_; }

 private:
  std::string path_;
};

// One forwarder: its folder, its configuration and its process.
class Forwarder {
 public:
  Forwarder(Record& record, std::string root, const TemporaryFolder& folder, std::string name, json settings)
      : record_(record),
        root_(std::move(root)),
        name_(std::move(name)),
        folder_(folder.path() + "/" + name_),
        settings_(std::move(settings)),
        port_(freePort()) {
    fs::create_directories(folder_ + "/state");
    fs::create_directories(folder_ + "/tmp");
  }
  ~Forwarder() { stop(); }
  int port() const { return port_; }
  int memoryMb = 192;
  std::string logPath() const { return folder_ + "/log"; }
  // The settings of our own (deploy/thistleyoke.toml); empty: none.
  void useServiceConfig(const std::string& text) {
    serviceConfig_ = folder_ + "/thistleyoke.toml";
    std::ofstream(serviceConfig_) << text;
  }
  void writeConfig(int discoveryPort, const json& known) {
    const json config = {
        {"name", name_},
        {"listen", at(port_)},
        {"discovery", at(discoveryPort)},
        {"seed", "8c1f30d27a5be964"},
        {"limits", {{"cores", 1.0}, {"memory_mb", memoryMb}, {"sockets", 1024}, {"disk_mb", 3}}},
        {"known", known},
        {"settings", settings_}};
    std::ofstream(folder_ + "/config.json.new") << config.dump();
    fs::rename(folder_ + "/config.json.new", folder_ + "/config.json");
    discoveryPort_ = discoveryPort;
  }
  void start() {
    std::string command = runCommand(root_);
    if (!serviceConfig_.empty()) command += " --config " + serviceConfig_ + " run";
    process_ = std::make_unique<Process>(
        root_, command,
        std::map<std::string, std::string>{{"PROXY_NAME", name_},
                                           {"PROXY_LISTEN", at(port_)},
                                           {"PROXY_DISCOVERY", at(discoveryPort_)},
                                           {"PROXY_STATE", folder_ + "/state"},
                                           {"PROXY_CONFIG", folder_ + "/config.json"},
                                           {"TMPDIR", folder_ + "/tmp"}},
        logPath());
    record_.line(name_ + " is started: " + command);
  }
  bool answersPing(std::int64_t timeoutMs) {
    for (const std::int64_t until = nowMs() + timeoutMs; nowMs() < until; sleepMs(20)) {
      if (!process_ || !process_->running()) return false;
      const auto connection = Connection::to(port_);
      std::string line;
      if (connection && connection->write("*1\r\n$4\r\nPING\r\n") && connection->readLine(line, 400) &&
          line == "+PONG")
        return true;
    }
    return false;
  }
  void startAndWait() {
    start();
    if (!answersPing(15'000)) throw CannotRun(name_ + " is not ready");
    record_.line(name_ + " is ready");
  }
  Process& process() { return *process_; }
  void signal(int number, const std::string& what) {
    record_.line(what + " to " + name_);
    process_->signal(number);
  }
  void stop() {
    if (process_) process_->kill();
  }
  // Hands in one message on a connection of its own, or on `kept`; "" if no answer came within 400 ms.
  std::string handIn(const std::string& id, const std::string& fields, const std::string& body,
                     Connection* kept = nullptr) {
    const auto own = kept == nullptr ? Connection::to(port_) : nullptr;
    Connection* connection = kept == nullptr ? own.get() : kept;
    std::string answer;
    if (connection != nullptr && connection->write(enqueue(id, fields, body)))
      connection->readLine(answer, 400);
    record_.line("client hands in " + id + " " + fields + " at " + name_ + ": " +
                 (answer.empty() ? "no answer" : answer));
    return answer;
  }

 private:
  Record& record_;
  std::string root_, name_, folder_;
  json settings_;
  int port_ = 0, discoveryPort_ = 0;
  std::string serviceConfig_;
  std::unique_ptr<Process> process_;
};

// Runs a case: arguments are the project's folder and the case's folder.
inline int runCase(int argc, char** argv,
                   const std::function<bool(Record&, const std::string& root, bool trouble)>& play) {
  if (argc != 3) {
    std::fprintf(stderr, "usage: %s PROJECT CASE\n", argv[0]);
    return 2;
  }
  ::signal(SIGPIPE, SIG_IGN);
  const char* setting = std::getenv("TROUBLE");
  const bool trouble = setting == nullptr || std::string(setting) != "0";
  Record record(std::string(argv[2]) + "/record.txt");
  try {
    record.line(trouble ? "with the disruption" : "without the disruption");
    const bool held = play(record, argv[1], trouble);
    record.line(held ? "the rule held" : "the rule was broken");
    std::printf("%s\n", held ? "the rule held" : "the rule was broken");
    return held ? 0 : 1;
  } catch (const std::exception& problem) {
    record.line(std::string("cannot run: ") + problem.what());
    std::printf("cannot run: %s\n", problem.what());
    return 2;
  }
}

}  // namespace kit
