#include "net/bounded_input.hpp"

#include <poll.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <iostream>
#include <string>

namespace quilltide::net {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

constexpr std::size_t kReadBlockBytes = 4 * kKiB;

class InputErrorCategory : public boost::system::error_category {
 public:
  const char* name() const noexcept override { return "input"; }
  std::string message(int value) const override {
    switch (static_cast<InputError>(value)) {
      case InputError::bufferFull:
        return "more input than can be held without parsing it";
      case InputError::messageOverdue:
        return "a message was not complete in its time";
      case InputError::tooManyFields:
        break;
    }
    return "a message has too many header fields";
  }
};

using LimitCounts = std::array<std::array<std::atomic<std::uint64_t>, kInputLimits>, kInputSources>;

LimitCounts& limitCounts() {
  static LimitCounts counts{};
  return counts;
}

std::atomic<std::uint64_t>& countOf(InputSource source, InputLimit limit) {
  return limitCounts()[static_cast<std::size_t>(source)][static_cast<std::size_t>(limit)];
}

std::uint64_t valueOf(const InputLimits& limits, InputLimit limit) {
  switch (limit) {
    case InputLimit::headBytes:
      return limits.headBytes;
    case InputLimit::headFields:
      return limits.headFields;
    case InputLimit::bodyBytes:
      return limits.bodyBytes;
    case InputLimit::bufferedBytes:
      return limits.bufferedBytes;
    case InputLimit::bytesPerTurn:
      return limits.bytesPerTurn;
    case InputLimit::messageTime:
      break;
  }
  return static_cast<std::uint64_t>(limits.messageTime.count());
}

}  // namespace

error_code make_error_code(InputError error) {
  static const InputErrorCategory category;
  return {static_cast<int>(error), category};
}

const char* nameOf(InputSource source) {
  constexpr std::array<const char*, kInputSources> kNames = {
      "target",      "directory",   "notice receiver", "coordinator", "coordinator client",
      "HTTP client", "RESP2 client"};
  return kNames[static_cast<std::size_t>(source)];
}

const char* nameOf(InputLimit limit) {
  constexpr std::array<const char*, kInputLimits> kNames = {"head_bytes",     "head_fields",    "body_bytes",
                                                            "buffered_bytes", "bytes_per_turn", "message_ms"};
  return kNames[static_cast<std::size_t>(limit)];
}

std::uint64_t limitCount(InputSource source, InputLimit limit) { return countOf(source, limit); }

BoundedInput::BoundedInput(Socket& socket, InputSource source, const InputLimits& limits)
    : socket_(socket),
      source_(source),
      limits_(limits),
      buffer_(limits.bufferedBytes),
      overdueAlarm_(socket.get_executor()) {}

void BoundedInput::startMessage() {
  overdue_ = false;
  messageBegan_.reset();
  if (buffer_.size() > 0) messageBegan_ = Clock::now();
}

std::size_t BoundedInput::readSome(error_code& error) {
  const std::size_t room = std::min(kReadBlockBytes, buffer_.max_size() - buffer_.size());
  if (room == 0) {
    error = InputError::bufferFull;
    report(InputLimit::bufferedBytes);
    return 0;
  }
  const std::size_t count = readInto(buffer_.prepare(room), error);
  buffer_.commit(count);
  return count;
}

std::size_t BoundedInput::readInto(boost::asio::mutable_buffer target, error_code& error) {
  const std::size_t allowed = limits_.bytesPerTurn - std::min(limits_.bytesPerTurn, bytesThisTurn_);
  if (allowed == 0) {
    report(InputLimit::bytesPerTurn);
    error = boost::asio::error::would_block;
    return 0;
  }
  const std::size_t count = socket_.read_some(boost::asio::buffer(target, allowed), error);
  recordBytes(count);
  return count;
}

void BoundedInput::recordBytes(std::size_t count) {
  bytesThisTurn_ += count;
  if (count > 0 && !messageBegan_) messageBegan_ = Clock::now();
}

std::chrono::steady_clock::duration BoundedInput::timeLeft() const {
  return *messageBegan_ + limits_.messageTime - Clock::now();
}

// A read that is pending can end early only by a cancellation.
void BoundedInput::armOverdueCancel() {
  if (!messageBegan_) return;
  overdueAlarm_.armAfter(timeLeft(), [this] {
    overdue_ = true;
    error_code ignored;
    socket_.cancel(ignored);
  });
}

error_code BoundedInput::finishRead(error_code error, std::size_t count) {
  overdueAlarm_.disarm();
  recordBytes(count);
  return std::exchange(overdue_, false) ? reportOverdue() : error;
}

// POLLHUP alone is not asked for: it also stands for a socket that was never connected.
bool BoundedInput::peerHasClosed() const {
  pollfd state{socket_.native_handle(), POLLRDHUP, 0};
  return ::poll(&state, 1, 0) > 0 && (state.revents & POLLRDHUP) != 0;
}

error_code BoundedInput::reportOverdue() {
  report(InputLimit::messageTime);
  return InputError::messageOverdue;
}

void BoundedInput::report(InputLimit limit) {
  const std::uint64_t count = ++countOf(source_, limit);
  if (limit == InputLimit::bytesPerTurn && std::exchange(turnLimitLogged_, true)) return;
  error_code ignored;
  std::cerr << "input: " << nameOf(source_) << " " << socket_.remote_endpoint(ignored) << " met the limit "
            << nameOf(limit) << "=" << valueOf(limits_, limit) << ", " << count << " so far" << std::endl;
}

void BoundedInput::reportParserError(error_code error) {
  if (error == http::error::header_limit) report(InputLimit::headBytes);
  if (error == InputError::tooManyFields) report(InputLimit::headFields);
  if (error == http::error::body_limit) report(InputLimit::bodyBytes);
  if (error == http::error::buffer_overflow) report(InputLimit::bufferedBytes);
}

}  // namespace quilltide::net
