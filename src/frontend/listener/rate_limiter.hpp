// Limits the rate at which a frontend processes requests that submit no message.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <deque>
#include <functional>

#include "clock/alarm.hpp"

namespace quilltide::net {

// A FIFO queue of clients, of which at most `turnsPerMs` resume in each millisecond. Clients that flood a
// frontend with cheap requests share this rate, whatever their number, so that the event loop keeps time for
// messages. Used on the event loop thread only.
class RateLimiter {
 public:
  // Returns false if the client has closed; the next one in the queue then gets its turn.
  using Resume = std::function<bool()>;

  RateLimiter(boost::asio::io_context& io, std::size_t turnsPerMs) : turnsPerMs_(turnsPerMs), alarm_(io) {}

  void enqueue(Resume resume) {
    queue_.push_back(std::move(resume));
    if (queue_.size() == 1) scheduleTurn();
  }

 private:
  void scheduleTurn() {
    alarm_.armAfter(std::chrono::milliseconds(1), [this] {
      for (std::size_t turnsUsed = 0; turnsUsed < turnsPerMs_ && !queue_.empty();) {
        const Resume resume = std::move(queue_.front());
        queue_.pop_front();
        turnsUsed += resume() ? 1 : 0;
      }
      if (!queue_.empty()) scheduleTurn();
    });
  }

  std::size_t turnsPerMs_;
  clocks::Alarm alarm_;
  std::deque<Resume> queue_;
};

}  // namespace quilltide::net
