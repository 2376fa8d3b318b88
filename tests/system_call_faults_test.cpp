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

}  // namespace
}  // namespace quilltide::net::fixtures
