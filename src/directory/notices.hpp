// The notices about messages that ended undelivered, posted to the platform until it has acknowledged them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clock/alarm.hpp"
#include "journal/journal.hpp"

namespace quilltide::net {

// One post at a time, on a connection that is kept. A notice is overdue 300 ms after its message's time, so a
// kept connection that has fallen silent may hold nothing up for long, and what it did not acknowledge goes
// at once on a new one: a notice told twice does no harm, an untold one is a loss.
class Notices {
 public:
  using OnNoticed = std::function<void(const std::vector<std::string>&)>;

  Notices(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address, OnNoticed noticed);
  ~Notices();

  void add(const std::string& id, const Notice& notice);
  // What was posted to the old address without an answer goes to this one at once.
  void moveTo(const boost::asio::ip::tcp::endpoint& address);

 private:
  struct Line;
  enum class State { idle, posting, resting };

  void flush();
  void write();
  void failed();
  void acknowledged();
  void drop();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  OnNoticed noticed_;
  std::deque<std::pair<std::string, std::string>> notices_;  // id and line
  State state_ = State::idle;
  bool flushPosted_ = false;
  std::size_t posted_ = 0;  // of the notices, those of the post that is out
  int failures_ = 0;        // in a row
  std::shared_ptr<Line> line_;
  clocks::Alarm alarm_;  // posting: the answer's; resting: the next try's
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::net
