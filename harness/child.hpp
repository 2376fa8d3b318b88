// One process of the harness: its folder, its log, its signals, its disk and its clock.
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

// The clock that a process sees, in a build that has the seam (src/clock).
class TestClock {
 public:
  explicit TestClock(const std::filesystem::path& file);
  ~TestClock();
  TestClock(const TestClock&) = delete;
  TestClock& operator=(const TestClock&) = delete;
  void rate(double rate);  // from now on; 1.01: a hundredth fast. Steady and wall alike
  void jumpWall(std::int64_t us);
  void jumpSteady(std::int64_t us);  // forwards, as on a machine that slept

 private:
  void write(const clocks::ClockFile& next);
  clocks::ClockFile* mapped_ = nullptr;
};

struct ChildPlan {
  std::string name, program;
  std::vector<std::string> args;
  std::map<std::string, std::string> env, files;  // files are written into the folder before each start
  bool clock = false;                             // has a TestClock
};

// One thread: that of its io_context. Its end is noticed by poll().
class Child {
 public:
  Child(boost::asio::io_context& io, Timeline& timeline, std::filesystem::path folder, ChildPlan plan);
  ~Child();  // SIGKILL, and its end
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  const std::string& name() const { return plan_.name; }
  const std::filesystem::path& folder() const { return folder_; }
  ChildPlan& plan() { return plan_; }
  pid_t pid() const { return pid_; }
  bool running() const { return pid_ > 0; }
  bool paused() const { return paused_; }
  std::optional<int> status() const { return status_; }  // as of waitpid, of the last end
  std::size_t crashes() const { return crashes_; }       // ends by a signal other than SIGKILL and SIGTERM
  std::size_t starts() const { return starts_; }

  void start();             // throws std::runtime_error if it cannot be
  void signal(int number);  // SIGSTOP and SIGCONT are told as paused and woken
  void kill();              // SIGKILL, and awaits its end
  void poll();              // notices an end

  // While it is not running: the folder is emptied, copied aside, put back as it was copied.
  void loseFolder();
  void saveFolder(const std::string& tag);
  void rollBack(const std::string& tag);
  // No file of it may grow past so many bytes, as on a full disk; nothing: no limit. Holds over restarts.
  void limitFiles(std::optional<std::uint64_t> bytes);
  TestClock* clock() { return clock_.get(); }

 private:
  void read();
  void told(const std::string& text) { timeline_.add("harness", name() + ": " + text); }

  boost::asio::io_context& io_;
  Timeline& timeline_;
  std::filesystem::path folder_;
  ChildPlan plan_;
  std::unique_ptr<TestClock> clock_;
  pid_t pid_ = 0;
  bool paused_ = false;
  std::optional<int> status_;
  std::size_t crashes_ = 0, starts_ = 0;
  std::optional<std::uint64_t> fileLimit_;
  struct Log;
  std::shared_ptr<Log> log_;
};

}  // namespace quilltide::harness
