// A connection to a target, with what is known of the calls and responses on it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>
#include <string>

#include "clock/alarm.hpp"
#include "config/platform.hpp"
#include "net/bounded_input.hpp"
#include "upstream/http/call_response.hpp"
#include "upstream/http/response_review.hpp"

namespace quilltide::net {

// Used by one call at a time, or held by the ConnectionPool. Not thread-safe.
class UpstreamConnection {
 public:
  using Clock = std::chrono::steady_clock;
  // A call as the log names it.
  struct CallTrace {
    std::string id;  // of its first message; empty: there was no such call
    int attempt = 0;
    Clock::time_point writtenAt{}, answeredAt{};
  };

  // `openConnections` counts this connection until it is closed; it must outlive it.
  UpstreamConnection(boost::asio::io_context& io, std::size_t& openConnections,
                     const tcp::endpoint& peerAddress, std::uint64_t numberInLog)
      : socket(io),
        settleAlarm(io),
        peer(peerAddress),
        number(numberInLog),
        openConnections_(openConnections) {
    ++openConnections_;
  }
  ~UpstreamConnection() { close(); }
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;

  // Whether there is data to read.
  bool hasInput() { return peekByte() > 0; }
  // Whether there is data to read, or the peer has closed the connection.
  bool isReadable();
  bool isOpen() const { return countedAsOpen_; }
  void close();

  // Records a call whose last byte was written now.
  void recordCall(const std::string& id, int attempt);
  // Records a response that was read now. The connection has settled when the own response to its last call,
  // if this was not it, would have arrived: `expectedWithin` after the call was written, and not before it
  // has rested.
  void recordResponse(unsigned status, std::chrono::microseconds expectedWithin);

  tcp::socket socket;  // non-blocking once connected
  BoundedInput input{socket, InputSource::target, kTargetInput};
  clocks::Alarm settleAlarm;
  const tcp::endpoint peer;
  const std::uint64_t number;  // identifies the connection in the log
  ResponseReview review;
  std::set<unsigned> statusesSeen;  // of all responses so far
  CallResponse extraResponse;       // being read while no call is in flight
  int interimResponses = 0;         // (1xx) read while no call is in flight
  CallTrace lastCall, previousCall;
  Clock::time_point lastUsedAt = Clock::now();
  Clock::time_point restedAt{};   // from then on a repeat of an earlier response is no longer expected
  Clock::time_point settledAt{};  // from then on the review of the last call is complete
  bool retired = false;           // closed when it has settled, and not used again
  int idleGeneration = 0;         // changes with each idle period; invalidates waits of earlier ones

 private:
  ssize_t peekByte();
  std::size_t& openConnections_;
  bool countedAsOpen_ = true;
};

}  // namespace quilltide::net
