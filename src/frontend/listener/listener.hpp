// Accepts TCP connections for a frontend and keeps accepting after errors.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <string>

#include "clock/alarm.hpp"

namespace quilltide::net {

// Used on the event loop thread only; no function blocks. The objects that the callbacks refer to must
// outlive the listener.
class Listener {
 public:
  using tcp = boost::asio::ip::tcp;
  struct Callbacks {
    // Called before each accept; if false, accepting is retried after 20 ms.
    std::function<bool()> hasCapacity;
    // The socket is non-blocking and has TCP_NODELAY set.
    std::function<void(tcp::socket)> onAccepted;
    // May close a connection; accepting is retried after 20 ms.
    std::function<void()> onDescriptorsExhausted;
  };

  // `logName` prefixes the log lines.
  Listener(boost::asio::io_context& io, std::string logName, Callbacks callbacks);

  // Throws std::runtime_error if the address cannot be bound.
  void listen(const tcp::endpoint& bindAddress);
  // Accepts the backlog while there is capacity.
  void acceptPending();
  // Stops accepting; may be called more than once.
  void close();
  tcp::endpoint address() const { return acceptor_.local_endpoint(); }

 private:
  void accept();
  void scheduleAccept();
  boost::system::error_code acceptOne();

  std::string logName_;
  Callbacks callbacks_;
  tcp::acceptor acceptor_;
  clocks::Alarm retryAlarm_;
};

}  // namespace quilltide::net
