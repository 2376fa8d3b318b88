// Interfaces that the engine uses: the upstream client that calls targets, and the client of the
// platform's directory.
#pragma once

#include <cstddef>
#include <set>
#include <string>
#include <vector>

#include "config/platform.hpp"
#include "journal/journal.hpp"
#include "quilltide/sender.hpp"

namespace quilltide::net {

// One message of a call. Times are in microseconds.
struct UpstreamRequest {
  MessageId handle = 0;
  int attempt = 0;
  std::string id, key, body;
  Micros timeout = 0;                 // how long to wait for the response
  Micros timeToLive = 0;              // until the message's deadline; not less than `timeout`
  Micros responseExpectedWithin = 0;  // see quilltide::Call
  bool mayRepeat = true;              // a second execution does no harm
};

// Sends calls to targets. Each request gets one outcome (Engine::handleOutcome), never from within call().
// A message that is delivered after its time-out was reported is also passed to
// Engine::handleLateDelivery. If the settings forbid concurrent attempts, the outcome of a request that
// was cancelled or timed out while its call continues for other messages is reported when the call or the
// message ends: the message must not be retried before that. A provisional outcome is followed by its review
// (Engine::handleReview).
class UpstreamClient {
 public:
  virtual ~UpstreamClient() = default;
  // Applies a directory update. Removed targets lose their idle connections; calls in flight continue.
  virtual void updateTargets(const DirectoryUpdate& directory) = 0;
  virtual std::set<std::int64_t> destinations() const = 0;
  virtual std::size_t maxMessagesPerCall(const TargetId& target) const = 0;  // 1 or more
  virtual void call(const TargetId& target, std::vector<UpstreamRequest> requests) = 0;
  // Cancels one message of a call in flight.
  virtual void cancelCall(MessageId handle, int attempt) = 0;
  virtual void closeIdle(const TargetId& target) = 0;
};

// Passes directory updates to the engine (Engine::handleDirectoryUpdate) and sends notices about messages
// that ended undelivered. A notice is resent until the platform acknowledges it
// (Engine::handleAcknowledgedNotices).
class DirectoryClient {
 public:
  virtual ~DirectoryClient() = default;
  virtual void watch(bool enable) = 0;
  virtual void sendNotice(const std::string& id, const Notice& notice) = 0;
};

}  // namespace quilltide::net
