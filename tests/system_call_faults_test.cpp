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

}  // namespace
}  // namespace quilltide::net::fixtures
