#include "upstream/http/upstream_connection.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <utility>

namespace quilltide::net {
namespace {

// A response may be repeated on its connection for this long. Bytes that arrive later are not expected.
constexpr auto kRepeatHorizon = std::chrono::milliseconds(350);

}  // namespace

ssize_t UpstreamConnection::peekByte() {
  char byte;
  return ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
}

bool UpstreamConnection::isReadable() {
  const ssize_t count = peekByte();
  return count >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

void UpstreamConnection::close() {
  if (!std::exchange(countedAsOpen_, false)) return;
  --openConnections_;
  boost::system::error_code ignored;
  socket.close(ignored);
  settleAlarm.disarm();
}

void UpstreamConnection::recordCall(const std::string& id, int attempt) {
  previousCall = std::exchange(lastCall, {id, attempt, Clock::now(), {}});
}

void UpstreamConnection::recordResponse(unsigned status, std::chrono::microseconds expectedWithin) {
  const auto now = Clock::now();
  lastCall.answeredAt = now;
  statusesSeen.insert(status);
  restedAt = now + kRepeatHorizon;
  settledAt = std::max<Clock::time_point>(restedAt, lastCall.writtenAt + expectedWithin);
}

}  // namespace quilltide::net
