// The way of clients' messages into the engine, common to all frontends; scripts/lint rejects others.
#pragma once

#include <cstdint>

#include "engine/engine.hpp"
#include "net/bounded_input.hpp"

namespace quilltide::net {

// Rejects messages whose client has closed its connection before they were read, since such a client may have
// submitted them anew under other ids. Used on the event loop thread only.
class Admission {
 public:
  explicit Admission(Engine& engine) : engine_(engine) {}

  // Submits a message that was read from `connection`; see Engine::submit.
  void submit(const BoundedInput& connection, Submission message, ReplyHandler handler);
  // Messages that were rejected because their client had gone.
  std::uint64_t rejectedAsClosed() const { return rejectedAsClosed_; }

 private:
  Engine& engine_;
  std::uint64_t rejectedAsClosed_ = 0;
};

}  // namespace quilltide::net
