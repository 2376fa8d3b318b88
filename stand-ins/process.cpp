// Starts, signals and monitors the forwarder process.
#include "process.hpp"

#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <fstream>
#include <stdexcept>
#include <thread>

#include "platform.hpp"
#include "ports.hpp"
#include "usage.hpp"

namespace quilltide::standin {

namespace asio = boost::asio;
using nlohmann::json;

namespace {

std::string hostAndPort(const tcp::endpoint& listenEndpoint) {
  return listenEndpoint.address().to_string() + ":" + std::to_string(listenEndpoint.port());
}

}  // namespace

ForwarderProcess::ForwarderProcess(std::string program, const std::string& directoryAddress,
                                   const json& knownTargets)
    : ForwarderProcess(std::move(program), directoryAddress, knownTargets, Options()) {}

ForwarderProcess::ForwarderProcess(std::string program, const std::string& directoryAddress,
                                   const json& knownTargets, const Options& options)
    : program_(std::move(program)),
      directoryAddress_(directoryAddress),
      knownTargets_(knownTargets),
      options_(options) {
  std::string folderTemplate = (std::filesystem::temp_directory_path() / "thistleyoke-XXXXXX").string();
  if (::mkdtemp(folderTemplate.data()) == nullptr)
    throw std::runtime_error("cannot create a temporary folder for the forwarder");
  folder_ = folderTemplate;
  std::filesystem::create_directory(folder_ + "/state");
  respEndpoint_ = findFreeEndpoint();
  httpEndpoint_ = findFreeEndpoint();
  writeConfiguration();
}

ForwarderProcess::~ForwarderProcess() {
  kill();
  std::error_code ignored;
  std::filesystem::remove_all(folder_, ignored);
}

void ForwarderProcess::writeConfiguration() {
  json config = {{"name", "n0"},
                 {"listen", hostAndPort(respEndpoint_)},
                 {"discovery", directoryAddress_},
                 {"seed", "5"},
                 {"limits",
                  {{"sockets", options_.maxSockets},
                   {"memory_mb", options_.maxMemoryMb},
                   {"disk_mb", options_.maxDiskMb}}},
                 {"known", knownTargets_},
                 {"settings", platformSettings({{"statut", "safe", 1, 0.5, 24'000},
                                                {"ordre", "keyed", 2, 0.3, 16'000},
                                                {"paiement", "unsafe", 5, 0.4, 16'000}},
                                               options_.maxCallsInFlight, options_.maxOpenMessages)}};
  config["settings"]["familyInfo"]["kindBatch"] = {options_.maxBatchSize};
  std::ofstream(folder_ + "/config.json") << config.dump(2) << "\n";
  std::ofstream(folder_ + "/thistleyoke.toml")
      << "[platform]\nconfig = \"" << folder_ << "/config.json\"\nstate = \"" << folder_ << "/state\"\n\n"
      << "[doors.http]\nlisten = \"" << hostAndPort(httpEndpoint_) << "\"\n"
      << (options_.maxHttpConnections > 0
              ? "connections = " + std::to_string(options_.maxHttpConnections) + "\n"
              : "")
      << "\n[doors.http.answers]\nkeep_s = " << options_.answerRetentionS
      << "\nmost = " << options_.maxRetainedAnswers << "\n";
}

void ForwarderProcess::start() {
  const std::string toml = folder_ + "/thistleyoke.toml", config = folder_ + "/config.json",
                    state = folder_ + "/state", log = folder_ + "/log";
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error("cannot fork the forwarder process");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // the child must not outlive this program
    // Close the sockets of this program in the child on exec: an inherited copy would keep connections and
    // ports open after this program has closed them.
    ::close_range(3, ~0U, CLOSE_RANGE_CLOEXEC);
    const int logFile = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    ::dup2(logFile, 1);
    ::dup2(logFile, 2);
    ::setenv("PROXY_CONFIG", config.c_str(), 1);
    ::setenv("PROXY_STATE", state.c_str(), 1);
    if (options_.httpEnabled) {
      ::execl(program_.c_str(), program_.c_str(), "--config", toml.c_str(), static_cast<char*>(nullptr));
    } else {
      ::execl(program_.c_str(), program_.c_str(), static_cast<char*>(nullptr));
    }
    ::_exit(127);
  }
  const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds(10);
  while (std::chrono::steady_clock::now() < deadline) {
    asio::io_context io;
    tcp::socket probe(io);
    boost::system::error_code error;
    probe.connect(respEndpoint_, error);
    if (!error) {
      asio::write(probe, asio::buffer(std::string("*1\r\n$4\r\nPING\r\n")), error);
      char reply[7];
      if (!error && asio::read(probe, asio::buffer(reply), error) == sizeof reply) return;
    }
    if (waitForExit(std::chrono::milliseconds(0))) break;
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  throw std::runtime_error("the forwarder did not answer PING within 10 s or exited; its log: " +
                           this->log());
}

void ForwarderProcess::sendSignal(int signalNumber) {
  if (pid_ > 0) ::kill(pid_, signalNumber);
}

bool ForwarderProcess::waitForExit(std::chrono::milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (pid_ > 0) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      const bool exitedCleanly = WIFEXITED(status) && WEXITSTATUS(status) == 0;
      const bool killed = WIFSIGNALED(status) && WTERMSIG(status) == SIGKILL;
      crashed_ = crashed_ || !(exitedCleanly || killed);
      pid_ = 0;
      break;
    }
    if (std::chrono::steady_clock::now() >= deadline) return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return true;
}

void ForwarderProcess::kill() {
  sendSignal(SIGKILL);
  waitForExit(std::chrono::seconds(10));
}

double ForwarderProcess::cpuSeconds() const { return cpuSecondsOf(pid_); }

std::size_t ForwarderProcess::residentBytes() const { return residentBytesOf(pid_); }

std::size_t ForwarderProcess::openDescriptors() const {
  std::error_code error;
  std::size_t count = 0;
  for (auto entry = std::filesystem::directory_iterator("/proc/" + std::to_string(pid_) + "/fd", error);
       !error && entry != std::filesystem::directory_iterator(); entry.increment(error))
    ++count;
  return count;
}

std::string ForwarderProcess::log() const {
  std::ifstream file(folder_ + "/log");
  return {std::istreambuf_iterator<char>(file), {}};
}

}  // namespace quilltide::standin
