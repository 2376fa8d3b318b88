// Turns libuv's loop when its descriptor is ready or its timers are due.
#include "coordinator/uv_loop.hpp"

#include <algorithm>
#include <stdexcept>

namespace quilltide::coordinator {
namespace {

// A turn may leave handles that its own poll did not see yet; the next turn takes them up.
constexpr int kTurnsAtOnce = 2;
constexpr auto kLongestPause = std::chrono::milliseconds(10);

}  // namespace

UvLoop::UvLoop(boost::asio::io_context& io, std::function<void()> turned)
    : ready_(io), timer_(io), turned_(std::move(turned)) {
  if (uv_loop_init(&loop_) != 0) throw std::runtime_error("libuv has no loop");
  ready_.assign(uv_backend_fd(&loop_));
  await();
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
  timer_.cancel();
  if (ready_.is_open()) ready_.release();  // the descriptor is libuv's
}

void UvLoop::turn() {
  if (stopped_) return;
  again_ = true;
  if (turning_) return;  // asked for by a callback of this very turn: one more follows
  turning_ = true;
  while (std::exchange(again_, false)) {
    for (int i = 0; i < kTurnsAtOnce; ++i) uv_run(&loop_, UV_RUN_NOWAIT);
    turned_();
  }
  turning_ = false;
}

void UvLoop::await() {
  ready_.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                    [this](boost::system::error_code error) {
                      if (error || stopped_) return;
                      turn();
                      if (!stopped_) await();
                    });
}

void UvLoop::awaitTimer() {
  const int due = uv_backend_timeout(&loop_);
  auto pause = kLongestPause;
  if (due >= 0)
    pause = std::clamp(std::chrono::milliseconds(due), std::chrono::milliseconds(1), kLongestPause);
  timer_.expires_after(pause);
  timer_.async_wait([this](boost::system::error_code error) {
    if (error || stopped_) return;
    turn();
    if (!stopped_) awaitTimer();
  });
}

}  // namespace quilltide::coordinator
