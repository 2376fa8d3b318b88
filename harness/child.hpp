// A child process of the harness with its folder, output, signals, file size limit and test clock.
#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <cstdint>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock/clock.hpp"
#include "timeline.hpp"

namespace quilltide::harness {

// Controls the time that a process reads through src/clock. Needs a program built with QUILLTIDE_TEST_CLOCK.
class TestClock {
 public:
  // Creates the clock file, showing the real time. Throws std::runtime_error if it cannot be created or
  // mapped.
  explicit TestClock(const std::filesystem::path& file);
  ~TestClock();
  TestClock(const TestClock&) = delete;
  TestClock& operator=(const TestClock&) = delete;
  // Sets the speed of the steady and the wall clock relative to real time; 1.01 is 1% fast.
  void setRate(double rate);
  void jumpWall(std::int64_t offsetUs);
  void jumpSteady(std::int64_t offsetUs);  // forward only, as after the machine was suspended

 private:
  void write(const clocks::ClockFile& next);
  clocks::ClockFile* mappedFile_ = nullptr;
};

// How to start a process. Harness::start() expands placeholders in args and in the values of env and files.
struct ProcessConfig {
  std::string name, program;
  std::vector<std::string> args;
  std::map<std::string, std::string> env, files;  // files are written to its folder before each start
  bool useTestClock = false;                      // create a TestClock for the process
};

// A process whose output lines and state changes go to the timeline. All calls are made on the thread that
// runs the io_context. An exit is noticed by poll() or kill().
class ChildProcess {
 public:
  ChildProcess(boost::asio::io_context& io, Timeline& timeline, std::filesystem::path folder,
               ProcessConfig config);
  ~ChildProcess();  // kills the process
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  const std::string& name() const { return config_.name; }
  const std::filesystem::path& folder() const { return folder_; }
  ProcessConfig& config() { return config_; }
  pid_t pid() const { return pid_; }
  bool running() const { return pid_ > 0; }
  bool paused() const { return paused_; }
  // Status from waitpid; nullopt if the process has not ended since its last start.
  std::optional<int> waitStatus() const { return waitStatus_; }
  std::size_t crashCount() const { return crashCount_; }  // exits by a signal other than SIGKILL and SIGTERM
  std::size_t startCount() const { return startCount_; }

  // Does nothing if the process is running. Throws std::runtime_error if the pipe or the process cannot be
  // created.
  void start();
  void sendSignal(int signalNumber);  // does nothing if the process is not running
  void kill();                        // sends SIGKILL and blocks until the process has ended
  void poll();                        // records an exit, if there was one; does not block

  // Erases the state folder, copies it under a tag, or replaces it by the copy with that tag. To be called
  // while the process is not running. Throws std::filesystem::filesystem_error on failure.
  void eraseState();
  void saveState(const std::string& tag);
  void restoreState(const std::string& tag);
  // Limits the size of the files that the process writes (RLIMIT_FSIZE), to simulate a full disk. Applies at
  // once and to later starts; nullopt removes the limit.
  void limitFileSize(std::optional<std::uint64_t> bytes);
  // nullptr unless ProcessConfig::useTestClock is set.
  TestClock* testClock() { return testClock_.get(); }

 private:
  void read();
  void recordEvent(const std::string& text) { timeline_.add("harness", name() + ": " + text); }

  boost::asio::io_context& io_;
  Timeline& timeline_;
  std::filesystem::path folder_;
  ProcessConfig config_;
  std::unique_ptr<TestClock> testClock_;
  pid_t pid_ = 0;
  bool paused_ = false;
  std::optional<int> waitStatus_;
  std::size_t crashCount_ = 0, startCount_ = 0;
  std::optional<std::uint64_t> fileSizeLimit_;
  struct LogPipe;
  std::shared_ptr<LogPipe> logPipe_;
};

}  // namespace quilltide::harness
