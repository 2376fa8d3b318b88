// Starts, signals and ends a process, and reads what it logs.
#include "child.hpp"

#include <fcntl.h>
#include <linux/close_range.h>
#include <signal.h>
#include <sys/mman.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <cstring>
#include <fstream>
#include <stdexcept>
#include <thread>

namespace quilltide::harness {

namespace fs = std::filesystem;
using boost::system::error_code;

namespace {

template <typename Clock>
clocks::Micros realNow() {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now().time_since_epoch()).count();
}

// Goes on from what it shows now, at another rate or with a jump.
clocks::ClockMapping goOn(const clocks::ClockMapping& before, clocks::Micros real, double rate,
                          clocks::Micros jump) {
  const auto shown = before.shownOrigin +
                     static_cast<clocks::Micros>(static_cast<double>(real - before.realOrigin) * before.rate);
  return {real, shown + jump, rate};
}

const char* nameOf(int number) {
  switch (number) {
    case SIGSTOP:
      return "paused (SIGSTOP)";
    case SIGCONT:
      return "woken (SIGCONT)";
    case SIGKILL:
      return "SIGKILL";
    case SIGTERM:
      return "SIGTERM";
    case SIGHUP:
      return "SIGHUP";
    default:
      return "a signal";
  }
}

}  // namespace

TestClock::TestClock(const fs::path& file) {
  const int f = ::open(file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (f < 0 || ::ftruncate(f, sizeof(clocks::ClockFile)) != 0) {
    if (f >= 0) ::close(f);
    throw std::runtime_error("no file for a clock: " + file.string());
  }
  void* at = ::mmap(nullptr, sizeof(clocks::ClockFile), PROT_READ | PROT_WRITE, MAP_SHARED, f, 0);
  ::close(f);
  if (at == MAP_FAILED) throw std::runtime_error("a clock's file cannot be mapped: " + file.string());
  mapped_ = static_cast<clocks::ClockFile*>(at);
  clocks::ClockFile begin;
  const auto steady = realNow<std::chrono::steady_clock>(), wall = realNow<std::chrono::system_clock>();
  begin.steady = {steady, steady, 1.0};
  begin.wall = {wall, wall, 1.0};
  write(begin);
}

TestClock::~TestClock() { ::munmap(mapped_, sizeof(clocks::ClockFile)); }

void TestClock::write(const clocks::ClockFile& next) {
  volatile std::uint64_t& version = mapped_->version;
  version = version + 1;
  std::atomic_thread_fence(std::memory_order_release);
  mapped_->steady = next.steady;
  mapped_->wall = next.wall;
  std::atomic_thread_fence(std::memory_order_release);
  version = version + 1;
}

void TestClock::rate(double rate) {
  clocks::ClockFile next = *mapped_;
  next.steady = goOn(next.steady, realNow<std::chrono::steady_clock>(), rate, 0);
  next.wall = goOn(next.wall, realNow<std::chrono::system_clock>(), rate, 0);
  write(next);
}

void TestClock::jumpWall(std::int64_t us) {
  clocks::ClockFile next = *mapped_;
  next.wall = goOn(next.wall, realNow<std::chrono::system_clock>(), next.wall.rate, us);
  write(next);
}

void TestClock::jumpSteady(std::int64_t us) {
  clocks::ClockFile next = *mapped_;
  next.steady = goOn(next.steady, realNow<std::chrono::steady_clock>(), next.steady.rate, us);
  write(next);
}

// The end of a pipe that the process writes its log to; outlives the process until all of it is read.
struct Child::Log : std::enable_shared_from_this<Child::Log> {
  Log(boost::asio::io_context& io, int file, Timeline& timeline, std::string name)
      : pipe(io, file), timeline(timeline), name(std::move(name)) {}

  void read() {
    pipe.async_read_some(boost::asio::buffer(buffer),
                         [this, self = shared_from_this()](error_code error, std::size_t size) {
                           if (!open) return;
                           if (error) return flush();
                           for (std::size_t i = 0; i < size; ++i) {
                             if (buffer[i] == '\n') {
                               flush();
                             } else {
                               line.push_back(buffer[i]);
                             }
                           }
                           read();
                         });
  }
  void flush() {
    if (!line.empty()) timeline.add(name, line);
    line.clear();
  }
  // What is in the pipe when the process has ended; nothing writes to it any more.
  void drain() {
    for (;;) {
      const ssize_t n = ::read(pipe.native_handle(), buffer, sizeof buffer);
      if (n <= 0) break;
      for (ssize_t i = 0; i < n; ++i) {
        if (buffer[i] == '\n') {
          flush();
        } else {
          line.push_back(buffer[i]);
        }
      }
    }
    flush();
    open = false;
    error_code ignored;
    pipe.close(ignored);
  }

  boost::asio::posix::stream_descriptor pipe;
  Timeline& timeline;
  std::string name, line;
  char buffer[8'192];
  bool open = true;
};

Child::Child(boost::asio::io_context& io, Timeline& timeline, fs::path folder, ChildPlan plan)
    : io_(io), timeline_(timeline), folder_(std::move(folder)), plan_(std::move(plan)) {
  fs::create_directories(folder_ / "state");
  if (plan_.clock) clock_ = std::make_unique<TestClock>(folder_ / "clock");
}

Child::~Child() { kill(); }

void Child::start() {
  if (running()) return;
  for (const auto& [name, text] : plan_.files) std::ofstream(folder_ / name) << text;
  int ends[2];
  if (::pipe2(ends, O_CLOEXEC) != 0) throw std::runtime_error(name() + ": no pipe for its log");
  std::vector<std::string> words{plan_.program};
  words.insert(words.end(), plan_.args.begin(), plan_.args.end());
  std::vector<char*> argv;
  for (std::string& word : words) argv.push_back(word.data());
  argv.push_back(nullptr);
  const pid_t harness = ::getpid();
  pid_ = ::fork();
  if (pid_ < 0) throw std::runtime_error(name() + ": could not be started");
  if (pid_ == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);  // it does not outlive the harness
    if (::getppid() != harness) ::_exit(127);
    ::dup2(ends[1], 1);
    ::dup2(ends[1], 2);
    ::close_range(3, ~0U, CLOSE_RANGE_CLOEXEC);
    for (const auto& [key, value] : plan_.env) ::setenv(key.c_str(), value.c_str(), 1);
    if (clock_) ::setenv("THISTLEYOKE_TEST_CLOCK", (folder_ / "clock").c_str(), 1);
    if (fileLimit_) {
      const rlimit limit{*fileLimit_, RLIM_INFINITY};
      ::setrlimit(RLIMIT_FSIZE, &limit);
    }
    ::execv(plan_.program.c_str(), argv.data());
    ::_exit(127);
  }
  ::close(ends[1]);
  ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
  ++starts_;
  paused_ = false;
  status_.reset();
  told("started");
  log_ = std::make_shared<Log>(io_, ends[0], timeline_, name());
  log_->read();
}

void Child::signal(int number) {
  if (!running()) return;
  told(nameOf(number));
  if (number == SIGSTOP) paused_ = true;
  if (number == SIGCONT) paused_ = false;
  ::kill(pid_, number);
}

void Child::poll() {
  if (!running()) return;
  int status = 0;
  if (::waitpid(pid_, &status, WNOHANG) != pid_) return;
  pid_ = 0;
  status_ = status;
  log_->drain();
  if (WIFSIGNALED(status)) {
    const int by = WTERMSIG(status);
    if (by != SIGKILL && by != SIGTERM) ++crashes_;
    told("ended by signal " + std::to_string(by));
  } else {
    told("ended with status " + std::to_string(WEXITSTATUS(status)));
  }
}

void Child::kill() {
  signal(SIGKILL);
  while (running()) {
    poll();
    if (running()) std::this_thread::sleep_for(std::chrono::microseconds(200));
  }
}

void Child::loseFolder() {
  fs::remove_all(folder_ / "state");
  fs::create_directories(folder_ / "state");
  told("its folder is lost");
}

void Child::saveFolder(const std::string& tag) {
  fs::remove_all(folder_ / ("saved-" + tag));
  fs::copy(folder_ / "state", folder_ / ("saved-" + tag), fs::copy_options::recursive);
  told("its folder is copied aside as " + tag);
}

void Child::rollBack(const std::string& tag) {
  fs::remove_all(folder_ / "state");
  fs::copy(folder_ / ("saved-" + tag), folder_ / "state", fs::copy_options::recursive);
  told("its folder is rolled back to " + tag);
}

void Child::limitFiles(std::optional<std::uint64_t> bytes) {
  fileLimit_ = bytes;
  told(bytes ? "no file of it grows past " + std::to_string(*bytes) + " bytes" : "its disk has room");
  if (!running()) return;
  const rlimit limit{bytes ? *bytes : RLIM_INFINITY, RLIM_INFINITY};
  ::prlimit(pid_, RLIMIT_FSIZE, &limit, nullptr);
}

}  // namespace quilltide::harness
