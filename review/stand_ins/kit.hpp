// Stand-ins for clients, partners and the platform, and the start of the project's program. Header-only, used by
// the tests of review/. Everything listens on 127.0.0.1, on ports that the kernel chooses.
#pragma once

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace kit {

using json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

// The case could not run: exit status 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

inline void sleepMs(long ms) { std::this_thread::sleep_for(milliseconds(ms)); }

// ---- Record ----

inline const Clock::time_point kStart = Clock::now();
inline double secondsNow() { return std::chrono::duration<double>(Clock::now() - kStart).count(); }
inline double secondsAt(Clock::time_point at) { return std::chrono::duration<double>(at - kStart).count(); }
inline std::FILE* recordFile = nullptr;
inline std::mutex recordMutex;

__attribute__((format(printf, 1, 2))) inline void note(const char* format, ...) {
  const std::lock_guard lock(recordMutex);
  va_list arguments;
  va_start(arguments, format);
  char text[4096];
  std::vsnprintf(text, sizeof text, format, arguments);
  va_end(arguments);
  if (recordFile != nullptr) {
    std::fprintf(recordFile, "%8.3f %s\n", secondsNow(), text);
    std::fflush(recordFile);
  }
}

inline bool trouble() {
  const char* value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

// ---- Sockets ----

inline sockaddr_in loopback(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  address.sin_port = htons(port);
  return address;
}
inline int listenOnLoopback(std::uint16_t& port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int one = 1;
  ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  sockaddr_in address = loopback(port);
  socklen_t size = sizeof address;
  if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&address), size) != 0 || ::listen(fd, 512) != 0 ||
      ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) != 0)
    throw CannotRun(std::string("cannot listen: ") + std::strerror(errno));
  port = ntohs(address.sin_port);
  return fd;
}
// A port that is free now, for a program that binds it itself.
inline std::uint16_t freePort() {
  std::uint16_t port = 0;
  ::close(listenOnLoopback(port));
  return port;
}
inline int connectToLoopback(std::uint16_t port) {
  const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = loopback(port);
  if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
    ::close(fd);
    return -1;
  }
  const int one = 1;
  ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
  return fd;
}
inline bool sendAll(int fd, const std::string& bytes) {
  for (std::size_t sent = 0; sent < bytes.size();) {
    const ssize_t count = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    sent += static_cast<std::size_t>(count);
  }
  return true;
}
// Appends what arrives within the time; false at the end of the connection, or if nothing came.
inline bool receiveMore(int fd, std::string& into, long waitMs) {
  pollfd waiting{fd, POLLIN, 0};
  if (::poll(&waiting, 1, static_cast<int>(waitMs)) <= 0) return false;
  char chunk[16384];
  const ssize_t count = ::recv(fd, chunk, sizeof chunk, 0);
  if (count <= 0) return false;
  into.append(chunk, static_cast<std::size_t>(count));
  return true;
}

// ---- HTTP ----

struct HttpMessage {
  std::string startLine;
  std::map<std::string, std::string> headers;  // names in lower case
  std::string body;
  int status() const { return startLine.size() >= 12 ? std::atoi(startLine.c_str() + 9) : 0; }
  std::string method() const { return startLine.substr(0, startLine.find(' ')); }
  std::string target() const {
    const auto from = startLine.find(' ') + 1;
    return startLine.substr(from, startLine.find(' ', from) - from);
  }
  std::string header(const std::string& name) const {
    const auto at = headers.find(name);
    return at == headers.end() ? "" : at->second;
  }
};

// Takes one message with a Content-Length (or without a body) off the front of `buffer`; reads more as needed.
inline std::optional<HttpMessage> readHttp(int fd, std::string& buffer, long waitMs) {
  const auto until = Clock::now() + milliseconds(waitMs);
  const auto left = [&] {
    return std::max<long>(0, std::chrono::duration_cast<milliseconds>(until - Clock::now()).count());
  };
  std::size_t headEnd;
  while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos)
    if (!receiveMore(fd, buffer, left())) return std::nullopt;
  HttpMessage message;
  std::istringstream head(buffer.substr(0, headEnd + 2));
  std::getline(head, message.startLine);
  message.startLine.pop_back();
  for (std::string line; std::getline(head, line) && line.size() > 1;) {
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    std::string name = line.substr(0, colon), value = line.substr(colon + 1);
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    value.erase(0, value.find_first_not_of(' '));
    while (!value.empty() && (value.back() == '\r' || value.back() == ' ')) value.pop_back();
    message.headers[name] = value;
  }
  const std::size_t length = static_cast<std::size_t>(std::atoll(message.header("content-length").c_str()));
  while (buffer.size() < headEnd + 4 + length)
    if (!receiveMore(fd, buffer, left())) return std::nullopt;
  message.body = buffer.substr(headEnd + 4, length);
  buffer.erase(0, headEnd + 4 + length);
  return message;
}

inline std::string httpResponse(int status, const std::string& body = "", const std::string& extra = "") {
  return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + extra +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}
inline void resetConnection(int fd) {
  const linger now{1, 0};
  ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

// One thread a connection. The handler returns false to end the connection.
class HttpServer {
 public:
  using Handler = std::function<bool(int fd, const HttpMessage&)>;
  explicit HttpServer(Handler handler, std::uint16_t wantedPort = 0)
      : handler_(std::move(handler)), port_(wantedPort) {
    listener_ = listenOnLoopback(port_);
    acceptor_ = std::thread([this] { acceptAll(); });
  }
  ~HttpServer() { stop(); }
  std::uint16_t port() const { return port_; }
  std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
  bool stopping() const { return stopping_; }
  void stop() {
    if (stopping_.exchange(true)) return;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
      const std::lock_guard lock(mutex_);
      for (const int fd : open_) ::shutdown(fd, SHUT_RDWR);
    }
    for (std::thread& worker : workers_) worker.join();
  }

 private:
  void acceptAll() {
    while (!stopping_) {
      const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_CLOEXEC);
      if (fd < 0) {
        if (!stopping_) sleepMs(1);
        continue;
      }
      const int one = 1;
      ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
      const std::lock_guard lock(mutex_);
      open_.insert(fd);
      workers_.emplace_back([this, fd] { serve(fd); });
    }
  }
  void serve(int fd) {
    std::string buffer;
    while (!stopping_) {
      const auto request = readHttp(fd, buffer, 3'600'000);
      if (!request || !handler_(fd, *request)) break;
    }
    const std::lock_guard lock(mutex_);
    open_.erase(fd);
    ::close(fd);
  }
  Handler handler_;
  std::uint16_t port_ = 0;
  int listener_ = -1;
  std::atomic<bool> stopping_{false};
  std::mutex mutex_;
  std::set<int> open_;
  std::list<std::thread> workers_;
  std::thread acceptor_;
};

// ---- The platform: discovery and notices ----

class Platform {
 public:
  // `targets`: the entries of the list.
  explicit Platform(json targets)
      : targets_(std::move(targets)), server_([this](int fd, const HttpMessage& m) { return handle(fd, m); }) {}
  std::string address() const { return server_.address(); }
  json list() const { return {{"rev", 1}, {"all", true}, {"targets", targets_}}; }
  // Outcome of the first notice about the message; empty if there was none.
  std::string noticeOf(const std::string& id) {
    const std::lock_guard lock(mutex_);
    const auto at = notices_.find(id);
    return at == notices_.end() ? "" : at->second;
  }
  void stop() { server_.stop(); }

 private:
  bool handle(int fd, const HttpMessage& request) {
    if (request.method() == "POST" && request.target() == "/status") {
      std::istringstream lines(request.body);
      for (std::string line; std::getline(lines, line);) {
        const json notice = json::parse(line, nullptr, false);
        if (!notice.is_object()) return sendAll(fd, httpResponse(400));
        note("platform: notice %s", line.c_str());
        const std::lock_guard lock(mutex_);
        notices_.emplace(notice.value("message", ""), notice.value("outcome", ""));
      }
      return sendAll(fd, "HTTP/1.1 204 X\r\n\r\n");
    }
    if (request.target().rfind("/discovery/hosts", 0) != 0) return sendAll(fd, httpResponse(404));
    if (request.target().find("watch=1") == std::string::npos)
      return sendAll(fd, httpResponse(200, list().dump()));
    const auto chunk = [&](const std::string& text) {
      char size[32];
      std::snprintf(size, sizeof size, "%zx\r\n", text.size());
      return sendAll(fd, size + text + "\r\n");
    };
    if (!sendAll(fd, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n") || !chunk(list().dump() + "\n"))
      return false;
    while (!server_.stopping()) {
      for (int i = 0; i < 20 && !server_.stopping(); ++i) sleepMs(100);
      if (!chunk("\n")) return false;
    }
    return false;
  }
  json targets_;
  std::mutex mutex_;
  std::map<std::string, std::string> notices_;
  HttpServer server_;
};

inline json target(const std::string& uid, const std::string& address, int destination,
                   const std::string& model = "grand-compte") {
  return {{"uid", uid},   {"endpoint", address}, {"az", "levis"},       {"model", model}, {"pod_group", destination},
          {"state", "active"}, {"capacity_hint", 1.0}, {"boot_ms", 0}};
}

// ---- Partners ----

struct CalledMessage {
  std::string id, key, body;
};
// The messages of a call to /receive or /receive-many.
inline std::vector<CalledMessage> messagesOf(const HttpMessage& call) {
  if (call.target() == "/receive")
    return {{call.header("x-request-id"), call.header("idempotency-key"), call.body}};
  std::vector<CalledMessage> messages;
  for (std::size_t at = 0; at < call.body.size();) {
    const std::size_t end = call.body.find("\r\n", at);
    std::istringstream line(call.body.substr(at, end - at));
    CalledMessage message;
    std::size_t length = 0;
    line >> message.id >> message.key >> length;
    if (message.key == "-") message.key.clear();
    message.body = call.body.substr(end + 2, length);
    at = end + 2 + length + 2;
    messages.push_back(std::move(message));
  }
  return messages;
}
// 200 for all messages of the call.
inline std::string allDelivered(const HttpMessage& call) {
  if (call.target() == "/receive") return httpResponse(200, "ok");
  std::string body;
  for (const CalledMessage& message : messagesOf(call)) body += message.id + " ok\r\n";
  return httpResponse(200, body);
}

// ---- Settings like those of the first deployment ----

inline json depotLevisSettings(int fleetSize, int callsOut, int maxOpen) {
  const auto messageClass = [](const char* name, const char* effect, long deadlineUs, long keyTtlUs,
                               double lateWorth, double worth) {
    return json{{"name", name},          {"effect", effect},   {"deadlineUs", deadlineUs}, {"group", "all"},
                {"keyTtlUs", keyTtlUs},  {"lateWorth", lateWorth}, {"onTimeUs", 2'500'000},
                {"streamed", false},     {"worth", worth}};
  };
  return {
      {"classes",
       {messageClass("statut", "safe", 24'000'000, 5'000'000, 0.5, 1), messageClass("ordre", "keyed", 16'000'000, 6'000'000, 0.3, 2),
        messageClass("paiement", "unsafe", 16'000'000, 5'000'000, 0.4, 5)}},
      {"clients", {{"marksRetry", true}}},
      {"dcs", {"levis"}},
      {"discovery", "on_request"},
      {"familyInfo",
       {{"callsOut", callsOut},
        {"decay", "halves"},
        {"kindApart", {false, false}},
        {"kindBatch", {10, 1}},
        {"refusedPrice", 0.0},
        {"routeFee", 0.0}}},
      {"fleetSize", fleetSize},
      {"kindOfService", "deliver"},
      {"limits",
       {{"attemptsCap", 6},
        {"cancel", true},
        {"connIdleUs", 15'000'000},
        {"connectTimeoutUs", 1'500'000},
        {"maxOpen", maxOpen},
        {"maxRetryAfterUs", 2'000'000},
        {"mayProbe", false},
        {"peerMessages", false},
        {"retryAfter", true},
        {"secondCopies", true},
        {"streamsPerConn", 1}}},
      {"machineTypes", {"grand-compte", "petit-membre"}},
      {"me", 0},
      {"periodUs", 5'000},
      {"report", {{"columns", json::array()}, {"source", "none"}}},
      {"rules",
       {{"answerSlackUs", 20'000},
        {"askWithinUs", 10'000'000},
        {"drainGraceUs", 1'000'000},
        {"overloadForUs", 3'000'000},
        {"startCapacity", 0.18},
        {"tipMultiple", 2.0},
        {"warmAfterUs", 13'000'000}}},
      {"stages", {"partenaires"}},
      {"az", 0},
      {"tier", 0},
      {"weights", "none"},
      {"worthBy", "request"}};
}

// ---- The project's program ----

inline std::string root;  // of the repository

// The command of the deploy file that starts a forwarder.
inline std::string runCommand() {
  std::ifstream file(root + "/deploy/balancer.toml");
  for (std::string line; std::getline(file, line);) {
    if (line.rfind("run = \"", 0) != 0) continue;
    return line.substr(7, line.find('"', 7) - 7);
  }
  throw CannotRun("deploy/balancer.toml names no run command");
}

class Forwarder {
 public:
  // `service`: text of the file for --config; none if empty.
  Forwarder(std::string name, const std::string& folder, const Platform& platform, json settings,
            const std::string& service = "", double memoryMb = 192)
      : name_(std::move(name)), folder_(folder + "/" + name_), port_(freePort()) {
    std::filesystem::create_directories(folder_ + "/state");
    std::ofstream(folder_ + "/config.json")
        << json{{"name", name_},
                {"listen", "127.0.0.1:" + std::to_string(port_)},
                {"discovery", platform.address()},
                {"seed", "8c1f30d27a5be964"},
                {"limits", {{"cores", 1.0}, {"memory_mb", memoryMb}, {"sockets", 1024}, {"disk_mb", 3}}},
                {"known", platform.list()},
                {"settings", std::move(settings)}}
               .dump(1);
    if (!service.empty()) std::ofstream(servicePath()) << service;
    hasService_ = !service.empty();
  }
  ~Forwarder() { end(SIGKILL); }
  const std::string& name() const { return name_; }
  std::uint16_t port() const { return port_; }
  pid_t pid() const { return pid_; }
  std::string folder() const { return folder_; }
  std::string state() const { return folder_ + "/state"; }

  void start() {
    const std::string command =
        runCommand() + (hasService_ ? " --config '" + servicePath() + "'" : std::string());
    const std::string log = folder_ + "/log";
    note("start %s: %s", name_.c_str(), command.c_str());
    pid_ = ::fork();
    if (pid_ != 0) return;
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    ::chdir(root.c_str());
    const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(out, 1);
    ::dup2(out, 2);
    ::setenv("PROXY_CONFIG", (folder_ + "/config.json").c_str(), 1);
    ::setenv("PROXY_STATE", state().c_str(), 1);
    ::setenv("PROXY_NAME", name_.c_str(), 1);
    ::execl("/bin/sh", "sh", "-c", command.c_str(), nullptr);
    ::_exit(127);
  }
  // Whether PING was answered in the time.
  bool waitReady(long waitMs) {
    for (const auto until = Clock::now() + milliseconds(waitMs); Clock::now() < until; sleepMs(20))
      if (ping(500)) {
        note("%s is ready, process %d", name_.c_str(), pid_);
        return true;
      }
    return false;
  }
  bool ping(long waitMs) const {
    const int fd = connectToLoopback(port_);
    if (fd < 0) return false;
    std::string answer;
    const bool answered =
        sendAll(fd, "*1\r\n$4\r\nPING\r\n") && receiveMore(fd, answer, waitMs) && answer.rfind("+PONG", 0) == 0;
    ::close(fd);
    return answered;
  }
  void signal(int number) const {
    note("signal %d to %s", number, name_.c_str());
    if (pid_ > 0) ::kill(pid_, number);
  }
  // Whether the process has ended by itself; `status` as waitpid gives it.
  bool ended(int* status = nullptr) {
    int result = 0;
    if (pid_ <= 0) return true;
    if (::waitpid(pid_, &result, WNOHANG) != pid_) return false;
    if (status != nullptr) *status = result;
    pid_ = -1;
    return true;
  }
  void end(int number) {
    if (pid_ <= 0) return;
    ::kill(pid_, number);
    ::kill(pid_, SIGCONT);
    for (int i = 0; i < 500 && !ended(); ++i) sleepMs(10);
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
      pid_ = -1;
    }
    note("%s has ended", name_.c_str());
  }
  // Resident memory in MB (10^6 bytes); 0 if the process is gone.
  double residentMb() const {
    std::ifstream file("/proc/" + std::to_string(pid_) + "/statm");
    long total = 0, resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
  }
  void copyLog() const {
    std::ifstream log(folder_ + "/log");
    for (std::string line; std::getline(log, line);) note("log of %s: %s", name_.c_str(), line.c_str());
  }

 private:
  std::string servicePath() const { return folder_ + "/thistleyoke.toml"; }
  std::string name_, folder_;
  std::uint16_t port_;
  pid_t pid_ = -1;
  bool hasService_ = false;
};

// ---- Clients ----

inline std::string respArray(const std::vector<std::string>& words) {
  std::string out = "*" + std::to_string(words.size()) + "\r\n";
  for (const std::string& word : words) out += "$" + std::to_string(word.size()) + "\r\n" + word + "\r\n";
  return out;
}
// One answer line without its end; nothing if none came in the time.
inline std::optional<std::string> respLine(int fd, std::string& buffer, long waitMs) {
  const auto until = Clock::now() + milliseconds(waitMs);
  std::size_t end;
  while ((end = buffer.find("\r\n")) == std::string::npos) {
    const long left = std::chrono::duration_cast<milliseconds>(until - Clock::now()).count();
    if (left <= 0 || !receiveMore(fd, buffer, left)) return std::nullopt;
  }
  std::string line = buffer.substr(0, end);
  buffer.erase(0, end + 2);
  return line;
}
inline std::string enqueueCommand(const std::string& id, const std::string& messageClass, long timeMs, int destination,
                                  const std::string& key, const std::string& body) {
  std::string fields = "c=" + messageClass + ",d=" + std::to_string(timeMs);
  if (!key.empty()) fields += ",k=" + key;
  fields += ",dest=" + std::to_string(destination);
  return respArray({"ENQUEUE", "0000000000000000", id, fields, body});
}

// One HTTP request on a connection of its own.
inline std::optional<HttpMessage> httpRequest(std::uint16_t port, const std::string& method, const std::string& path,
                                              const std::string& body = "", long waitMs = 5'000) {
  const int fd = connectToLoopback(port);
  if (fd < 0) return std::nullopt;
  std::string buffer;
  std::optional<HttpMessage> answer;
  if (sendAll(fd, method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: " +
                      std::to_string(body.size()) + "\r\n\r\n" + body))
    answer = readHttp(fd, buffer, waitMs);
  ::close(fd);
  return answer;
}

// ---- The frame of a test ----

// Calls `test` with a temporary folder. Arguments: root of the repository, path of record.txt.
inline int runCase(int argc, char** argv, const std::function<int(const std::string& folder)>& test) {
  if (argc != 3) return 2;
  ::signal(SIGPIPE, SIG_IGN);
  root = argv[1];
  recordFile = std::fopen(argv[2], "w");
  char name[] = "/tmp/review-XXXXXX";
  if (recordFile == nullptr || ::mkdtemp(name) == nullptr) return 2;
  int status = 2;
  note("trouble: %s", trouble() ? "yes" : "no");
  try {
    status = test(name);
  } catch (const std::exception& problem) {
    note("could not run: %s", problem.what());
  }
  note("exit status %d: %s", status,
       status == 0   ? "the rule held"
       : status == 1 ? "the rule was broken"
                     : "the case could not run");
  std::error_code ignored;
  std::filesystem::remove_all(name, ignored);
  std::fclose(recordFile);
  recordFile = nullptr;
  return status;
}

}  // namespace kit
