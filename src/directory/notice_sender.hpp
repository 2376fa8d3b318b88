// Posts notices about undelivered messages to the platform until they are acknowledged.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clock/alarm.hpp"
#include "journal/journal.hpp"

namespace quilltide::net {

// Sends one batch at a time, each over a new connection: the first response there acknowledges this batch,
// and cannot be a repeat of an earlier one. A notice is overdue 300 ms after the end of its message, so a
// connection that does not answer is replaced quickly and the batch is sent again; notices may therefore be
// delivered more than once. Single-threaded, never blocks.
class NoticeSender {
 public:
  // Receives the ids of the messages whose notices were acknowledged.
  using AcknowledgementHandler = std::function<void(const std::vector<std::string>&)>;

  NoticeSender(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& address,
               AcknowledgementHandler handleAcknowledged);
  ~NoticeSender();

  void enqueue(const std::string& id, const Notice& notice);
  // Sends unacknowledged notices to the new address immediately.
  void setAddress(const boost::asio::ip::tcp::endpoint& address);

 private:
  struct Connection;
  enum class State { idle, posting, pausing };

  void sendNext();
  void writeRequest();
  void handleFailure();
  void handleAcknowledgement();
  void sendAfter(std::chrono::milliseconds delay);
  void closeConnection();

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint address_;
  AcknowledgementHandler handleAcknowledged_;
  std::deque<std::pair<std::string, std::string>> pending_;  // message id and JSON line
  State state_ = State::idle;
  bool sendScheduled_ = false;
  std::size_t postedCount_ = 0;  // notices at the front of pending_ that are in the current post
  int consecutiveFailures_ = 0;
  std::shared_ptr<Connection> connection_;
  clocks::Alarm alarm_;  // posting: response timeout; pausing: next post
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::net
