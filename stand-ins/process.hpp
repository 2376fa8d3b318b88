// The forwarder as a process of its own: its files, its start, its end by signal, and what it has used.
#pragma once

#include <sys/types.h>

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <filesystem>
#include <nlohmann/json.hpp>
#include <string>

namespace quilltide::standin {

using boost::asio::ip::tcp;

class ForwarderProcess {
 public:
  struct Options {
    int slots = 64, maxOpen = 20'000;
    std::size_t sockets = 1'024, memoryMb = 192, diskMb = 64;
    bool http = true;
    std::size_t httpConnections = 0;
    int keepS = 600;
    std::size_t answers = 60'000;
  };
  // `directory` and `known` come from a Directory. Files are kept in a folder of its own until the end.
  ForwarderProcess(std::string program, const std::string& directory, const nlohmann::json& known);
  ForwarderProcess(std::string program, const std::string& directory, const nlohmann::json& known,
                   const Options& options);
  ~ForwarderProcess();
  ForwarderProcess(const ForwarderProcess&) = delete;
  ForwarderProcess& operator=(const ForwarderProcess&) = delete;

  void start();  // returns when it answers PING; throws std::runtime_error after 10 s
  void signal(int number);
  // Its end, at most so long awaited; false: it runs still.
  bool ended(std::chrono::milliseconds most);
  void kill();                               // SIGKILL, and its end
  bool crashed() const { return crashed_; }  // ended otherwise than by SIGKILL or with status 0

  tcp::endpoint resp() const { return resp_; }
  tcp::endpoint http() const { return http_; }
  double cpuSeconds() const;          // of the running process
  std::size_t residentBytes() const;  // now
  std::size_t descriptors() const;
  const std::string& folder() const { return folder_; }
  std::string log() const;

 private:
  void writeFiles();
  std::string program_, directory_, folder_;
  nlohmann::json known_;
  Options options_;
  tcp::endpoint resp_, http_;
  pid_t pid_ = 0;
  bool crashed_ = false;
};

}  // namespace quilltide::standin
