// Signals that arrive while the program starts: the start is held at a step, the signal is sent, and the
// start goes on.
#include <fcntl.h>
#include <sys/stat.h>

#include "journal/journal.hpp"
#include "net_fixture.hpp"

namespace quilltide::net::fixtures {
namespace {

constexpr int kTargetsOfLargeConfig = 8'000;
constexpr int kRecordsOfLargeJournal = 100'000;

struct StartupSignalsTest : NetFixture {
  StartupSignalsTest() { chooseAddress(); }

  // Starts the program with a pipe in place of its configuration file, and waits until it has opened it.
  void startHeldAtConfiguration() {
    ASSERT_EQ(::mkfifo(configPath().c_str(), 0600), 0);
    ASSERT_NO_FATAL_FAILURE(forkProgram());
    ASSERT_TRUE(until([&] {
      if (configPipe < 0) configPipe = ::open(configPath().c_str(), O_WRONLY | O_NONBLOCK | O_CLOEXEC);
      return configPipe >= 0;
    }));
    ASSERT_EQ(::fcntl(configPipe, F_SETFL, 0), 0);
  }
  // Lets the program read the configuration; later reads find a regular file with `later`.
  void releaseConfiguration(const json& later) {
    const std::string text = config.dump();
    ASSERT_EQ(::write(configPipe, text.data(), text.size()), static_cast<ssize_t>(text.size()));
    writeConfig(later.dump());
    ::close(std::exchange(configPipe, -1));
  }
  // A journal that takes a while to replay and holds no message that is pending.
  void writeLargeJournal() {
    Journal journal(folder.path(), 1'000'000'000);
    for (int i = 0; i < kRecordsOfLargeJournal; ++i) {
      PendingMessage message;
      message.id = "message-" + std::to_string(i);
      message.body = std::string(200, 'x');
      journal.accept(std::move(message));
      journal.recordEnd("message-" + std::to_string(i));
      if (i % 1'000 == 999) {
        ASSERT_TRUE(journal.commit());
      }
    }
  }
  bool programHasOpened(const std::string& path) const {
    error_code ignored;
    for (const auto& descriptor :
         std::filesystem::directory_iterator("/proc/" + std::to_string(program) + "/fd", ignored)) {
      error_code gone;
      if (std::filesystem::read_symlink(descriptor.path(), gone) == path) return true;
    }
    return false;
  }
  bool programServes() {
    tcp::socket probe(io);
    error_code refused;
    probe.connect(address, refused);
    return !refused;
  }
  void expectOrderlyExit() {
    ASSERT_TRUE(until([&] { return programEnded(); }));
    ASSERT_TRUE(WIFEXITED(status)) << "ended by signal " << WTERMSIG(status);
    EXPECT_EQ(WEXITSTATUS(status), 0);
  }

  int configPipe = -1;
};

// Guards against a process that is ended by the signal which asks it to reload.
TEST_F(StartupSignalsTest, SighupWhileTheConfigurationIsReadIsActedOnAfterwards) {
  FakeDiscovery next(io);
  ASSERT_NO_FATAL_FAILURE(startHeldAtConfiguration());
  ::kill(program, SIGHUP);
  json later = config;
  later["discovery"] = next.server.text();
  releaseConfiguration(later);
  EXPECT_TRUE(until([&] { return next.watches.size() == 1; }));
  EXPECT_FALSE(programEnded()) << "status " << status;
}

// Guards against an exit by the signal, with no orderly end.
TEST_F(StartupSignalsTest, StopSignalsWhileTheConfigurationIsReadEndTheProcessInOrder) {
  for (const int number : {SIGTERM, SIGINT}) {
    SCOPED_TRACE(number);
    std::filesystem::remove(configPath());
    ASSERT_NO_FATAL_FAILURE(startHeldAtConfiguration());
    ::kill(program, number);
    releaseConfiguration(config);
    expectOrderlyExit();
  }
}

// The journal takes a while to replay; where the signal came too late for that, the start is repeated.
TEST_F(StartupSignalsTest, SignalsDuringRecoveryAreActedOnAfterwards) {
  constexpr int kMaxStarts = 5;
  config["limits"]["disk_mb"] = 1'000;
  writeLargeJournal();
  FakeDiscovery next(io);
  for (const int number : {SIGHUP, SIGTERM, SIGINT}) {
    SCOPED_TRACE(number);
    bool cameDuringRecovery = false;
    for (int start = 0; start < kMaxStarts && !cameDuringRecovery; ++start) {
      const std::size_t watchesBefore = next.watches.size();
      std::filesystem::remove(configPath());
      ASSERT_NO_FATAL_FAILURE(startHeldAtConfiguration());
      json later = config;
      later["discovery"] = next.server.text();
      releaseConfiguration(later);
      ASSERT_TRUE(until([&] { return programHasOpened(folder.journal()); }));
      ::kill(program, number);
      cameDuringRecovery = !programServes();
      if (number != SIGHUP) {
        expectOrderlyExit();
        continue;
      }
      EXPECT_TRUE(until([&] { return next.watches.size() == watchesBefore + 1; }));
      ASSERT_FALSE(programEnded()) << "status " << status;
      ::kill(program, SIGKILL);
      ASSERT_TRUE(until([&] { return programEnded(); }));
    }
    EXPECT_TRUE(cameDuringRecovery);
  }
}

// The start is not held: the signal falls into any step of the reading of a long configuration.
TEST_F(StartupSignalsTest, SighupAtAnyTimeAfterTheFirstFileIsOpenDoesNotEndTheProcess) {
  for (int i = 0; i < kTargetsOfLargeConfig; ++i)
    config["known"]["targets"].push_back({{"uid", "listed" + std::to_string(i)},
                                          {"pod_group", 2},
                                          {"endpoint", target.text()},
                                          {"model", "large"},
                                          {"az", "levis"},
                                          {"state", "active"}});
  for (int delayMs = 0; delayMs < 20; ++delayMs) {
    SCOPED_TRACE(delayMs);
    writeConfig(config.dump());
    ASSERT_NO_FATAL_FAILURE(forkProgram());
    ASSERT_TRUE(until([&] { return programHasOpened(configPath()) || programServes(); }));
    pause(delayMs);
    ::kill(program, SIGHUP);
    ASSERT_TRUE(until([&] { return programEnded() || programServes(); }));
    ASSERT_FALSE(programEnded()) << "status " << status;
    ::kill(program, SIGKILL);
    ASSERT_TRUE(until([&] { return programEnded(); }));
  }
}

}  // namespace
}  // namespace quilltide::net::fixtures
