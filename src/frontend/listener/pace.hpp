// Turns for clients that flood a frontend with requests that hand nothing in.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <deque>
#include <functional>

namespace quilltide::net {

// A queue of clients that wait to go on; so many of them do in each millisecond, in the order in which they
// came. A flood costs its sender nothing, and a loop that answers all of it as it comes has no time for
// messages: what the queue lets through bounds its cost, however many take part. On the loop's thread.
class Pace {
 public:
  // False if there was nobody left to go on with: then the next in the queue has the turn.
  using GoOn = std::function<bool()>;

  Pace(boost::asio::io_context& io, std::size_t turns) : turns_(turns), timer_(io) {}

  void wait(GoOn goOn) {
    waiting_.push_back(std::move(goOn));
    if (waiting_.size() == 1) arm();
  }

 private:
  void arm() {
    timer_.expires_after(std::chrono::milliseconds(1));
    timer_.async_wait([this](boost::system::error_code error) {
      if (error) return;
      for (std::size_t done = 0; done < turns_ && !waiting_.empty();) {
        const GoOn goOn = std::move(waiting_.front());
        waiting_.pop_front();
        done += goOn() ? 1 : 0;
      }
      if (!waiting_.empty()) arm();
    });
  }

  std::size_t turns_;
  boost::asio::steady_timer timer_;
  std::deque<GoOn> waiting_;
};

}  // namespace quilltide::net
