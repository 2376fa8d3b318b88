// A single coordinator in this process: what it answers when Raft cannot do what was asked, and how it
// closes.
#include "coordinator/coordinator.hpp"

#include <gtest/gtest.h>
#include <raft.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "event_loop.hpp"
#include "fleet/link/json_call.hpp"

namespace quilltide::coordinator {
namespace {

using std::chrono::milliseconds;

// Fails one allocation of C-Raft after failNext() was called.
class FailingRaftHeap {
 public:
  FailingRaftHeap() {
    heap_ = {
        this,
        [](void* self, std::size_t size) {
          return std::exchange(static_cast<FailingRaftHeap*>(self)->failNext_, false) ? nullptr
                                                                                      : std::malloc(size);
        },
        [](void*, void* block) { std::free(block); },
        [](void*, std::size_t count, std::size_t size) { return std::calloc(count, size); },
        [](void*, void* block, std::size_t size) { return std::realloc(block, size); },
        [](void*, std::size_t alignment, std::size_t size) { return std::aligned_alloc(alignment, size); },
        [](void*, std::size_t, void* block) { std::free(block); }};
    raft_heap_set(&heap_);
  }
  ~FailingRaftHeap() { raft_heap_set_default(); }
  void failNext() { failNext_ = true; }
  bool hasFailed() const { return !failNext_; }

 private:
  raft_heap heap_{};
  bool failNext_ = false;
};

struct CoordinatorTest : testing::Test {
  CoordinatorTest() {
    std::string name = (std::filesystem::temp_directory_path() / "thistleyoke-XXXXXX").string();
    folder = ::mkdtemp(name.data());
    std::ofstream(folder + "/coordinator.toml")
        << "[coordinator]\nid = 1\nfleet = \"test\"\nfolder = \"" << folder
        << "/state\"\nlisten = \"127.0.0.1:0\"\nraft = \"127.0.0.1:1\"\nelection_ms = 100\nheartbeat_ms = "
           "20\n";
    std::filesystem::create_directory(folder + "/state");
    server = std::make_unique<Coordinator>(io, readSettings(folder + "/coordinator.toml"),
                                           [this](const std::string& why) { failure = why; });
    server->start();
  }
  ~CoordinatorTest() override {
    client.cancel();
    bool closed = false;
    server->close([&] { closed = true; });
    runUntil([&] { return closed; });
    server.reset();
    std::filesystem::remove_all(folder);
  }

  bool runUntil(const std::function<bool()>& condition) { return fleet::runUntil(io, condition); }
  bool leads() { return server->node() != nullptr && server->node()->isLeader(); }
  // Status and body of a request; status 0 without a response.
  std::pair<int, nlohmann::json> request(const std::string& target, const nlohmann::json* body = nullptr) {
    std::optional<std::pair<int, nlohmann::json>> response;
    client.call(server->address(), target, body, milliseconds(2'000),
                [&](int status, const nlohmann::json& json) {
                  response = {status, json};
                });
    runUntil([&] { return response.has_value(); });
    return response.value_or(std::pair<int, nlohmann::json>{});
  }

  FailingRaftHeap heap;
  boost::asio::io_context io{1};
  std::string folder, failure;
  std::unique_ptr<Coordinator> server;
  fleet::JsonCall client{io};
};

// Guards against "not leader" from the leader: a client then looks for another one that does not exist.
TEST_F(CoordinatorTest, FailedReadBarrierOfTheLeaderIsNotToldAsNotLeader) {
  ASSERT_TRUE(runUntil([&] { return leads(); })) << failure;
  ASSERT_EQ(request("/v1/values?prefix=a").first, 200);
  heap.failNext();
  const auto [status, body] = request("/v1/values?prefix=a");
  EXPECT_TRUE(heap.hasFailed());
  EXPECT_EQ(status, 503) << body;
  EXPECT_EQ(request("/v1/values?prefix=a").first, 200);
}

TEST_F(CoordinatorTest, FailedCommandOfTheLeaderIsNotToldAsNotLeader) {
  ASSERT_TRUE(runUntil([&] { return leads(); })) << failure;
  const nlohmann::json put = {{"key", "a"}, {"value", "1"}};
  heap.failNext();
  const auto [status, body] = request("/v1/put", &put);
  EXPECT_TRUE(heap.hasFailed());
  EXPECT_EQ(status, 503) << body;
  EXPECT_EQ(request("/v1/put", &put).first, 200);
}

// Guards against a caller that waits for the end of a shutdown which another one has begun.
TEST_F(CoordinatorTest, EachCallerOfCloseIsToldOfItsEnd) {
  ASSERT_TRUE(runUntil([&] { return leads(); })) << failure;
  int closed = 0;
  server->close([&] { ++closed; });
  server->close([&] { ++closed; });
  EXPECT_TRUE(runUntil([&] { return closed == 2; })) << closed;
  server->close([&] { ++closed; });
  EXPECT_TRUE(runUntil([&] { return closed == 3; })) << closed;
}

}  // namespace
}  // namespace quilltide::coordinator
