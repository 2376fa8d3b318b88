// Validation of submissions, common to all frontends.
#include "engine/message.hpp"

#include <algorithm>

namespace quilltide::net {
namespace {

// Ids and keys are sent in header lines and as space-separated words of a batch.
bool isPrintableToken(const std::string& text) {
  return text.size() <= kMaxIdBytes && std::all_of(text.begin(), text.end(), [](unsigned char character) {
           return character > 32 && character < 127;
         });
}

}  // namespace

const char* validationError(const Submission& message) {
  if (message.id.empty() || !isPrintableToken(message.id))
    return "the id is empty, too long or not printable ASCII without spaces";
  if (message.body.size() > kMaxBodyBytes) return "the body is longer than 64 KiB";
  if (message.timeToLive <= 0 || message.timeToLive > kMaxTimeToLiveUs)
    return "the time left is not within 1 ms to 24 h";
  if (!isPrintableToken(message.key)) return "the key is too long or not printable ASCII without spaces";
  return nullptr;
}

const char* reasonText(Reply::Reason reason) {
  switch (reason) {
    case Reply::Reason::none:
      return "";
    case Reply::Reason::destinationBusy:
      return "the destination accepts no more messages for now";
    case Reply::Reason::noCapacity:
      return "no room for another message";
    case Reply::Reason::clientClosed:
      return "the connection was closed before the message was read";
    case Reply::Reason::unknownDestination:
      return "unknown destination";
    case Reply::Reason::deliveryFailed:
      return "given up";
    case Reply::Reason::mayBeDelivered:
      return "given up, but it may be delivered";
    case Reply::Reason::idConflict:
      return "the id belongs to another message";
  }
  return "";
}

}  // namespace quilltide::net
