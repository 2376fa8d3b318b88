// Closes a TCP connection without losing the last response (lingering close).
#pragma once

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>

#include "net/bounded_input.hpp"

namespace quilltide::net {

// Closing a socket with unread input sends a TCP reset, which may discard the last response before the client
// reads it (RFC 9112, section 9.6). The sending side is therefore shut down first, further input is read and
// discarded, and the owner closes the socket when the client has closed its side or kLingerTimeout has
// passed.
class LingeringClose {
 public:
  using tcp = boost::asio::ip::tcp;
  static constexpr auto kLingerTimeout = std::chrono::milliseconds(500);
  static constexpr std::size_t kMaxDiscardedBytes = 256 * 1024;  // beyond this, input is left unread
  enum class NextStep { keepReading, waitForTimeout, close };

  void shutdownSend(tcp::socket& socket) {
    boost::system::error_code ignored;
    socket.shutdown(tcp::socket::shutdown_send, ignored);
  }

  // Reads and discards one block of input. The socket must be non-blocking. Returns `close` when the client
  // has closed its side or on an error. Call it once in a turn of the event loop.
  NextStep discardInput(BoundedInput& input) {
    std::array<char, 4096> discarded;
    boost::system::error_code error;
    input.startTurn();
    discardedBytes_ += input.readInto(boost::asio::buffer(discarded), error);
    if (error && error != boost::asio::error::would_block) return NextStep::close;
    return discardedBytes_ < kMaxDiscardedBytes ? NextStep::keepReading : NextStep::waitForTimeout;
  }

 private:
  std::size_t discardedBytes_ = 0;
};

}  // namespace quilltide::net
