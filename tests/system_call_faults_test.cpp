// The shipped program among system calls that fail: nothing stalls, and what was accepted ends in its time.
#include <fcntl.h>
#include <sys/mman.h>

#include "net_fixture.hpp"
#include "shims/fault_control.hpp"

namespace quilltide::net::fixtures {
namespace {

using std::chrono::milliseconds;
using Clock = std::chrono::steady_clock;
using Link = FakeServer::Link;

struct SystemCallFaultsTest : NetFixture {
  SystemCallFaultsTest() {
    const std::string path = folder.path() + "/faults";
    const int file = ::open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
    EXPECT_EQ(::ftruncate(file, sizeof(shims::FaultControl)), 0);
    void* address = ::mmap(nullptr, sizeof(shims::FaultControl), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    ::close(file);
    faults = static_cast<shims::FaultControl*>(address);
    programEnvironment = {{"LD_PRELOAD", SYSTEM_CALL_FAULTS}, {"THISTLEYOKE_FAULT_CONTROL", path}};
  }
  ~SystemCallFaultsTest() override { ::munmap(faults, sizeof(shims::FaultControl)); }

  shims::FaultControl* faults = nullptr;
};

// Guards against a connection that stalls after a short write until something else wakes it.
TEST_F(SystemCallFaultsTest, ShortSocketWritesDoNotStallAConnection) {
  startProgram();
  faults->shortSocketWriteInterval = 3;
  for (int i = 0; i < 60; ++i) {
    const auto sentAt = Clock::now();
    client->enqueue("m" + std::to_string(i), "safe");
    ASSERT_EQ(client->line(), "+OK") << i;
    EXPECT_LT(Clock::now() - sentAt, milliseconds(400)) << i;  // a client waits no longer
  }
}

// Guards against notices that wait until the disk can be written again.
TEST_F(SystemCallFaultsTest, NoticesAreSentInTimeWhileTheFolderCannotBeWritten) {
  constexpr int kTimeToLiveMs = 1'000, kNoticeGraceMs = 300;
  target.handler = [](Link&) {};
  startProgram();
  for (const int error : {ENOSPC, EIO}) {
    faults->fileWriteError = 0;
    const auto acceptedAt = Clock::now();
    for (const char* messageClass : {"safe", "keyed", "unsafe"}) {
      client->enqueue(messageClass + std::to_string(error), messageClass, kTimeToLiveMs);
      ASSERT_EQ(client->line(), "+OK");
    }
    pause(100);
    faults->fileWriteError = error;
    for (const char* messageClass : {"safe", "keyed", "unsafe"})
      EXPECT_TRUE(until([&] { return !discovery.outcomeOf(messageClass + std::to_string(error)).empty(); }));
    EXPECT_LT(Clock::now() - acceptedAt, milliseconds(kTimeToLiveMs + kNoticeGraceMs));
  }
}

// Guards against a standstill: a call for a safe message needs no record, since repeating it does no harm.
TEST_F(SystemCallFaultsTest, SafeMessagesAreRetriedWhileTheFolderCannotBeWritten) {
  bool answers = false;
  target.handler = [&](Link& link) { link.write(FakeServer::answer(answers ? 200 : 503)); };
  startProgram();
  client->enqueue("m1", "safe", 4'000);
  ASSERT_EQ(client->line(), "+OK");
  ASSERT_TRUE(until([&] { return target.requests.size() == 1; }));
  faults->fileWriteError = ENOSPC;
  answers = true;
  const std::size_t callsBefore = target.requests.size();
  EXPECT_TRUE(loops.until([&] { return target.requests.size() > callsBefore; }, milliseconds(2'000)));
  client->enqueue("m2", "safe", 4'000);
  EXPECT_EQ(client->line().substr(0, 5), "-BUSY");
}

// Guards against deadlines that follow a step of the wall clock: after a restart messages ended at once, or
// never.
TEST_F(SystemCallFaultsTest, DeadlinesSurviveAStepOfTheWallClockAndARestart) {
  constexpr int kTimeToLiveMs = 2'000, kEarliestEndMs = 1'500, kGraceAfterReadyMs = 1'500;
  config["known"]["targets"] = json::array({entry("t1", target.text(), "leaving")});  // takes nothing new
  for (const int offsetS : {-3'600, 3'600}) {
    SCOPED_TRACE(offsetS);
    const std::string id = "step" + std::to_string(offsetS);
    faults->wallClockOffsetS = 0;
    startProgram();
    const auto acceptedAt = Clock::now();
    client->enqueue(id, "safe", kTimeToLiveMs);
    ASSERT_EQ(client->line(), "+OK");
    faults->wallClockOffsetS = offsetS;
    ::kill(program, SIGKILL);
    ASSERT_TRUE(until([&] { return programEnded(); }));
    startProgram();
    EXPECT_TRUE(until([&] { return !discovery.outcomeOf(id).empty(); }));
    EXPECT_GT(Clock::now() - acceptedAt, milliseconds(kEarliestEndMs));
    EXPECT_LT(Clock::now() - acceptedAt, milliseconds(kTimeToLiveMs + kGraceAfterReadyMs));
    ::kill(program, SIGKILL);
    ASSERT_TRUE(until([&] { return programEnded(); }));
  }
}

// Guards against time-outs of 1 us, and of an hour, after a step of the wall clock.
TEST_F(SystemCallFaultsTest, StepOfTheWallClockDoesNotChangeTheTimeLeftForACall) {
  std::vector<double> deadlines;
  target.handler = [&](Link& link) {
    deadlines.push_back(std::stod(std::string(link.request["X-Deadline"])));
    link.write(FakeServer::answer(deadlines.size() % 2 == 1 ? 503 : 200));
  };
  startProgram();
  for (const int offsetS : {-3'600, 3'600}) {
    const std::size_t callsBefore = deadlines.size();
    faults->wallClockOffsetS = 0;
    client->enqueue("call" + std::to_string(offsetS), "unsafe", 4'000);
    ASSERT_EQ(client->line(), "+OK");
    ASSERT_TRUE(until([&] { return deadlines.size() == callsBefore + 1; }));
    faults->wallClockOffsetS = offsetS;
    ASSERT_TRUE(until([&] { return deadlines.size() == callsBefore + 2; }));
    EXPECT_GT(deadlines.back(), 1.0);
    EXPECT_LT(deadlines.back(), 4.0);
  }
}

}  // namespace
}  // namespace quilltide::net::fixtures
