// A one-shot timer that can be rearmed and disarmed reliably.
#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <memory>
#include <utility>

namespace quilltide::clocks {

// Runs only the callback that was armed last, and none after disarm() or destruction. A plain asio timer
// does not guarantee this: once it has expired, its handler is queued and runs without an error even if
// the timer is rearmed or cancelled before. Not thread-safe.
class Alarm {
 public:
  explicit Alarm(boost::asio::io_context& io) : timer_(io) {}
  explicit Alarm(const boost::asio::any_io_executor& executor) : timer_(executor) {}
  ~Alarm() { ++*generation_; }
  Alarm(const Alarm&) = delete;
  Alarm& operator=(const Alarm&) = delete;

  // Runs `callback` after `delay`, in place of the callback that was armed before.
  template <typename Callback>
  void armAfter(std::chrono::steady_clock::duration delay, Callback callback) {
    armAt(std::chrono::steady_clock::now() + delay, std::move(callback));
  }
  // The same at `time`.
  template <typename Callback>
  void armAt(std::chrono::steady_clock::time_point time, Callback callback) {
    const std::uint64_t generation = ++*generation_;
    timer_.expires_at(time);
    timer_.async_wait(
        [generation, current = generation_, callback = std::move(callback)](boost::system::error_code error) {
          if (!error && generation == *current) callback();
        });
  }
  void disarm() {
    ++*generation_;
    timer_.cancel();
  }

 private:
  boost::asio::steady_timer timer_;
  std::shared_ptr<std::uint64_t> generation_ = std::make_shared<std::uint64_t>(0);
};

}  // namespace quilltide::clocks
