// Runs the libuv loop when its backend descriptor is ready or a timer is due.
#include "coordinator/uv_loop.hpp"

#include <algorithm>
#include <stdexcept>

namespace quilltide::coordinator {
namespace {

// One run may start handles that it does not poll itself; a second run polls them.
constexpr int kRunsPerTurn = 2;
constexpr auto kMaxPollInterval = std::chrono::milliseconds(10);

}  // namespace

UvLoop::UvLoop(boost::asio::io_context& io, std::function<void()> onTurn)
    : backendDescriptor_(io), alarm_(io), onTurn_(std::move(onTurn)) {
  if (uv_loop_init(&loop_) != 0) throw std::runtime_error("cannot initialize the libuv loop");
  backendDescriptor_.assign(uv_backend_fd(&loop_));
  awaitDescriptor();
  awaitTimer();
}

UvLoop::~UvLoop() {
  stop();
  uv_run(&loop_, UV_RUN_NOWAIT);
  uv_loop_close(&loop_);
}

void UvLoop::stop() {
  if (std::exchange(stopped_, true)) return;
  boost::system::error_code ignored;
  alarm_.disarm();
  if (backendDescriptor_.is_open()) backendDescriptor_.release();  // libuv owns the descriptor
}

void UvLoop::turn() {
  if (stopped_) return;
  turnRequested_ = true;
  if (turning_) return;  // called from a callback of the current turn, which then repeats
  turning_ = true;
  while (std::exchange(turnRequested_, false)) {
    for (int i = 0; i < kRunsPerTurn; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
    onTurn_();
  }
  turning_ = false;
}

void UvLoop::awaitDescriptor() {
  backendDescriptor_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                [this](boost::system::error_code error) {
                                  if (error || stopped_) return;
                                  turn();
                                  if (!stopped_) awaitDescriptor();
                                });
}

void UvLoop::awaitTimer() {
  const int due = uv_backend_timeout(&loop_);
  auto pause = kMaxPollInterval;
  if (due >= 0)
    pause = std::clamp(std::chrono::milliseconds(due), std::chrono::milliseconds(1), kMaxPollInterval);
  alarm_.armAfter(pause, [this] {
    if (stopped_) return;
    turn();
    if (!stopped_) awaitTimer();
  });
}

}  // namespace quilltide::coordinator
