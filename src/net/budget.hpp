// How the limits of one forwarder are dealt out, so that all its parts fit into them together.
#pragma once

#include <algorithm>

#include "config.hpp"

namespace quilltide::net {

struct Budget {
  std::size_t clients = 0;      // connections from clients, those that are being turned away among them
  std::size_t clientBytes = 0;  // that clients together may have sent of requests that are not whole yet
  std::size_t targets = 0;      // connections to targets, idle ones among them
};

// The process's own: the standard three, the loop's, signals, the journal and its successor, the listener, an
// accepted connection that is not dealt with yet, discovery's two twice over (they move), and some to spare.
constexpr std::size_t kOwnDescriptors = 24;
constexpr std::size_t kLeastOfEach = 4;

inline Budget budgetOf(const Config& config) {
  const std::size_t left = config.sockets - std::min(config.sockets, kOwnDescriptors);
  // Calls out are bound by the slots; beside them some idle connections are worth more than idle clients.
  const std::size_t slots = static_cast<std::size_t>(std::max(1, config.settings.slots));
  Budget b;
  b.targets = std::max({kLeastOfEach, left / 2, std::min(2 * slots, 2 * left / 3)});
  b.clients = std::max(kLeastOfEach, left - std::min(left, b.targets));
  b.clientBytes = config.memoryBytes / 8;
  return b;
}

}  // namespace quilltide::net
