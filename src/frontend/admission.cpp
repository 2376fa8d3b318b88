#include "frontend/admission.hpp"

#include <bit>
#include <iostream>
#include <utility>

namespace quilltide::net {

void Admission::submit(const BoundedInput& connection, Submission message, ReplyHandler handler) {
  if (!connection.peerHasClosed()) return engine_.submit(std::move(message), std::move(handler));
  if (std::has_single_bit(++rejectedAsClosed_))
    std::cerr << "frontend: rejected message " << message.id << ", whose client had closed its connection, "
              << rejectedAsClosed_ << " so far" << std::endl;
  handler({Reply::Kind::rejected, Reply::Reason::clientClosed, 0});
}

}  // namespace quilltide::net
