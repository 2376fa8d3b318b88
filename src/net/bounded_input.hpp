// Reads a connection within the limits of its kind of peer. All input from the network passes through here;
// scripts/lint rejects other reads.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/compose.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstdint>
#include <optional>
#include <type_traits>
#include <utility>

#include "clock/alarm.hpp"
#include "net/input_limits.hpp"

namespace quilltide::net {

// Why a read failed that the peer's limits do not allow.
enum class InputError {
  bufferFull = 1,      // InputLimits::bufferedBytes are received and none could be parsed
  messageOverdue = 2,  // a message has begun and was not complete within InputLimits::messageTime
  tooManyFields = 3    // a message has more than InputLimits::headFields
};
boost::system::error_code make_error_code(
    InputError error);  // NOLINT(readability-identifier-naming): Boost's

}  // namespace quilltide::net

template <>
struct boost::system::is_error_code_enum<quilltide::net::InputError> : std::true_type {};

namespace quilltide::net {

// Memory of received bytes that are not parsed yet; bounded by the BoundedInput that owns it.
using InputBuffer = boost::beast::flat_buffer;

// The input of one connection. Holds at most `bufferedBytes` that are not parsed, reads at most
// `bytesPerTurn` in one turn of the event loop, and fails once a message takes longer than `messageTime`.
// Limits that are met are logged and counted by kind of peer. The socket must be non-blocking for readSome()
// and readInto(). Only one read or wait at a time; it must keep the input and the socket alive. Not
// thread-safe.
class BoundedInput {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  using Clock = std::chrono::steady_clock;
  using ErrorCode = boost::system::error_code;
  // NOLINTBEGIN(readability-identifier-naming): the names of Asio's requirements on read streams
  using executor_type = Socket::executor_type;

  BoundedInput(Socket& socket, InputSource source, const InputLimits& limits);
  BoundedInput(const BoundedInput&) = delete;
  BoundedInput& operator=(const BoundedInput&) = delete;

  executor_type get_executor() { return socket_.get_executor(); }

  // Reads what is available, and waits for it if there is nothing. For Beast's operations.
  template <typename Buffers, typename Handler>
  auto async_read_some(const Buffers& buffers, Handler&& handler) {
    const boost::asio::mutable_buffer target = *boost::asio::buffer_sequence_begin(buffers);
    return boost::asio::async_compose<Handler, void(ErrorCode, std::size_t)>(
        ReadOperation{*this, boost::asio::buffer(target, limits_.bytesPerTurn)}, handler, socket_);
  }
  // NOLINTEND(readability-identifier-naming)

  // The next byte begins another message; bytes that are in the buffer already belong to it.
  void startMessage();

  // ---- Reads within a turn of the event loop ----

  // Reads one block of what is available into buffer(). The error is would_block if nothing is available or
  // the turn's bytes are used up (waitReadable() continues in both cases), or an InputError.
  std::size_t readSome(ErrorCode& error);
  // The same for a parser with its own memory, which the caller has to bound.
  std::size_t readInto(boost::asio::mutable_buffer target, ErrorCode& error);
  // Calls `handler(error)` from the event loop, in a new turn, when there is input, when the connection has
  // ended, or with InputError::messageOverdue; what has arrived by then may still be read. Replaces a wait
  // that is pending, whose handler is not called.
  template <typename Handler>
  void waitReadable(Handler handler) {
    const std::uint64_t wait = ++waitNumber_;
    if (messageBegan_)
      overdueAlarm_.armAfter(timeLeft(), [this, wait, handler] {
        if (wait != waitNumber_) return;
        ++waitNumber_;
        startTurn();
        handler(reportOverdue());
      });
    socket_.async_wait(Socket::wait_read, [this, wait, handler = std::move(handler)](ErrorCode error) {
      if (wait != waitNumber_) return;
      ++waitNumber_;
      overdueAlarm_.disarm();
      startTurn();
      handler(!error && isOverdue() ? reportOverdue() : error);
    });
  }
  // A new turn of the event loop has begun, by other means than waitReadable().
  void startTurn() { bytesThisTurn_ = 0; }
  InputBuffer& buffer() { return buffer_; }

  // ---- Beast's operations on a BoundedParser with the limits of this input ----

  template <typename Parser, typename Handler>
  void asyncReadHeader(Parser& parser, Handler handler) {
    boost::beast::http::async_read_header(*this, buffer_, parser, reporting(std::move(handler)));
  }
  template <typename Parser, typename Handler>
  void asyncReadSome(Parser& parser, Handler handler) {
    boost::beast::http::async_read_some(*this, buffer_, parser, reporting(std::move(handler)));
  }
  template <typename Parser, typename Handler>
  void asyncReadMessage(Parser& parser, Handler handler) {
    boost::beast::http::async_read(*this, buffer_, parser, reporting(std::move(handler)));
  }

  // Whether the peer has ended its sending or reset the connection, also if there is input that was not read
  // yet: what is read from now on was sent by a peer that may have gone.
  bool peerHasClosed() const;
  const InputLimits& limits() const { return limits_; }
  // Logs and counts that the peer has met a limit.
  void report(InputLimit limit);
  // Reports the limit that a parser's error stands for, if any.
  void reportParserError(ErrorCode error);

 private:
  struct ReadOperation {
    enum class Stage { starting, rejected, reading };
    BoundedInput& input;
    boost::asio::mutable_buffer target;
    Stage stage = Stage::starting;

    template <typename Self>
    void operator()(Self& self, ErrorCode error = {}, std::size_t count = 0) {
      if (stage == Stage::rejected) return self.complete(InputError::messageOverdue, 0);
      if (stage == Stage::reading) return self.complete(input.finishRead(error, count), count);
      if (input.isOverdue()) {
        stage = Stage::rejected;
        input.report(InputLimit::messageTime);
        return boost::asio::post(input.get_executor(), std::move(self));
      }
      stage = Stage::reading;
      input.armOverdueCancel();
      input.socket_.async_read_some(target, std::move(self));
    }
  };

  template <typename Handler>
  auto reporting(Handler handler) {
    return [this, handler = std::move(handler)](ErrorCode error, std::size_t count) mutable {
      reportParserError(error);
      handler(error, count);
    };
  }
  std::chrono::steady_clock::duration timeLeft() const;
  bool isOverdue() const { return messageBegan_ && timeLeft() <= Clock::duration::zero(); }
  ErrorCode reportOverdue();
  void recordBytes(std::size_t count);
  void armOverdueCancel();
  ErrorCode finishRead(ErrorCode error, std::size_t count);

  Socket& socket_;
  const InputSource source_;
  const InputLimits limits_;
  InputBuffer buffer_;
  clocks::Alarm overdueAlarm_;
  std::optional<Clock::time_point> messageBegan_;
  std::size_t bytesThisTurn_ = 0;
  std::uint64_t waitNumber_ = 0;  // of the pending wait; handlers of earlier ones are not called
  bool overdue_ = false, turnLimitLogged_ = false;
};

}  // namespace quilltide::net
