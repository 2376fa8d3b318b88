// Submissions and replies exchanged between frontends and the engine, independent of any protocol.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

#include "quilltide/sender.hpp"

namespace quilltide::net {

constexpr std::size_t kMaxBodyBytes = 64 * 1024;
constexpr std::size_t kMaxIdBytes = 256;  // applies to ids and keys
constexpr Micros kMaxTimeToLiveUs = 86'400'000'000;

struct Submission {
  std::string id, key, body;
  int messageClass = 0;  // index into SettingNames::classes
  std::int64_t destination = 0;
  Micros timeToLive = 0;  // microseconds from now
};

// Returns a description of the first invalid field, or nullptr if the submission is valid. Frontends check
// this before Engine::submit.
const char* validationError(const Submission& message);

// Reply of the engine to a submission.
struct Reply {
  enum class Kind {
    acknowledged,  // journaled; its end will be reported
    duplicate,     // identical to a message that was accepted before; no new delivery
    rejected,      // not accepted and not sent; may be submitted again
    failed,        // not accepted; a retry is not known to help
    conflict,      // its id belongs to a different message, which is unaffected
  };
  enum class Reason {
    none,
    destinationBusy,     // with `rejected`: retry later
    noCapacity,          // with `rejected`: this forwarder has no capacity for any destination
    clientClosed,        // with `rejected`: its client had closed the connection before it was read
    unknownDestination,  // with `failed`
    deliveryFailed,      // with `failed`: rejected by the decision module
    mayBeDelivered,      // with `failed`: not known whether it was accepted; it may be delivered
    idConflict,          // with `conflict`
  };
  Kind kind = Kind::failed;
  Reason reason = Reason::none;
  Micros retryAfter = 0;  // microseconds, with `rejected`; 0 if unknown
};
const char* reasonText(Reply::Reason reason);  // for clients
using ReplyHandler = std::function<void(const Reply&)>;

}  // namespace quilltide::net
