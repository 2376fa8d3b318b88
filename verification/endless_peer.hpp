// Peers of a forwarder that answer or ask as the protocol says, and on demand send an input without end.
#pragma once

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <thread>

#include "endless_forms.hpp"

namespace quilltide::verification {

using boost::asio::ip::tcp;

// A server that stands for targets, the directory and the receiver of notices at once, told apart by the
// request. It runs on a thread of its own; all functions may be called from any thread.
class EndlessPeer {
 public:
  // What is answered without end from now on; all else is answered as it should be. With `notices`, calls are
  // not answered.
  enum class Spoils { calls, watches, openWatches, notices };

  EndlessPeer();
  ~EndlessPeer();  // ends all connections
  EndlessPeer(const EndlessPeer&) = delete;
  EndlessPeer& operator=(const EndlessPeer&) = delete;

  std::string hostAndPort() const;
  // The line that each new watch gets.
  void setDirectory(const std::string& line);
  // Answers with `form`. Watches that are open end, unless they are to be spoilt themselves.
  void spoil(Spoils what, const EndlessForm& form);
  // Connects and sends `form`, as a client without end.
  void connectAndSend(const tcp::endpoint& to, const EndlessForm& form);
  // Ends the connections on which something without end is sent; from now on all is answered as it should be.
  void heal();
  // Of inputs without end.
  std::size_t bytesSent() const { return bytesSent_; }
  std::size_t spoiltAnswers() const { return spoiltAnswers_; }

 private:
  class Connection;
  void accept();
  void post(std::function<void()> work);

  boost::asio::io_context io_;
  tcp::acceptor acceptor_;
  std::string directoryLine_;
  std::optional<Spoils> spoils_;
  EndlessForm form_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::atomic<std::size_t> bytesSent_ = 0, spoiltAnswers_ = 0;
  std::thread thread_;
};

}  // namespace quilltide::verification
