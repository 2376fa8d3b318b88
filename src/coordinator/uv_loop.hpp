// Runs a libuv loop inside an Asio io_context, so that C-Raft and HTTP share one thread.
#pragma once

#include <uv.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>

#include "clock/alarm.hpp"

namespace quilltide::coordinator {

// Single-threaded; turns do not block waiting for I/O.
class UvLoop {
 public:
  // `onTurn` is called after each turn of the libuv loop. Throws std::runtime_error if libuv fails.
  UvLoop(boost::asio::io_context& io, std::function<void()> onTurn);
  ~UvLoop();  // all handles on the loop must be closed
  UvLoop(const UvLoop&) = delete;
  UvLoop& operator=(const UvLoop&) = delete;

  uv_loop_t* loop() { return &loop_; }
  // Runs the loop now. Call it after adding work to the loop from outside its callbacks.
  void turn();
  void stop();  // prevents further turns

 private:
  void awaitDescriptor();
  void awaitTimer();
  uv_loop_t loop_;
  boost::asio::posix::stream_descriptor backendDescriptor_;
  clocks::Alarm alarm_;
  std::function<void()> onTurn_;
  bool turning_ = false, turnRequested_ = false, stopped_ = false;
};

}  // namespace quilltide::coordinator
