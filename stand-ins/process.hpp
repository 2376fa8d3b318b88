// Runs the forwarder as a child process: configuration, start, signals, exit and resource usage.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

namespace quilltide::standin {

using boost::asio::ip::tcp;

// One forwarder process at a time; it can be restarted with the same folder and endpoints.
class ForwarderProcess {
 public:
  struct Options {
    int maxCallsInFlight = 64, maxOpenMessages = 20'000;
    std::size_t maxSockets = 1'024, maxMemoryMb = 192, maxDiskMb = 64;
    bool httpEnabled = true;
    std::size_t maxHttpConnections = 0;
    int answerRetentionS = 600;
    std::size_t maxRetainedAnswers = 60'000;
    int maxBatchSize = 1;  // messages in one call
  };
  // `knownTargets` is the snapshot of a Directory. Writes the configuration to a temporary folder, which the
  // destructor removes; throws std::runtime_error if it cannot be created.
  ForwarderProcess(std::string program, const std::string& directoryAddress,
                   const nlohmann::json& knownTargets);
  ForwarderProcess(std::string program, const std::string& directoryAddress,
                   const nlohmann::json& knownTargets, const Options& options);
  ~ForwarderProcess();
  ForwarderProcess(const ForwarderProcess&) = delete;
  ForwarderProcess& operator=(const ForwarderProcess&) = delete;

  // Starts the process and blocks until it answers PING; throws std::runtime_error if it exits or does not
  // answer within 10 s.
  void start();
  void sendSignal(int signalNumber);
  // Blocks until the process has exited; returns false if it still runs after the timeout.
  bool waitForExit(std::chrono::milliseconds timeout);
  // Sends SIGKILL and waits for the exit.
  void kill();
  // Whether the process ever ended other than by SIGKILL or with exit status 0.
  bool crashed() const { return crashed_; }

  tcp::endpoint respEndpoint() const { return respEndpoint_; }
  tcp::endpoint httpEndpoint() const { return httpEndpoint_; }
  // User and system time of the running process.
  double cpuSeconds() const;
  std::size_t residentBytes() const;
  std::size_t openDescriptors() const;
  const std::string& folder() const { return folder_; }
  // Output of the process, of all starts.
  std::string log() const;

 private:
  void writeConfiguration();
  std::string program_, directoryAddress_, folder_;
  nlohmann::json knownTargets_;
  Options options_;
  tcp::endpoint respEndpoint_, httpEndpoint_;
  pid_t pid_ = 0;
  bool crashed_ = false;
};

}  // namespace quilltide::standin
