// The connected clients of a frontend in least-recently-used order, and eviction when all connection slots
// are in use.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>

namespace quilltide::net {

// Whether a connection may be closed to make room for a new one.
enum class Eviction {
  preferred,   // never used, or already closing: evicted first
  lastResort,  // evicted only if no client is `preferred`
  forbidden
};

// Least recently used first. A client removes itself from the list when it closes.
template <typename Client>
using Clients = std::list<std::shared_ptr<Client>>;

// Closes the least recently used client that may be evicted, `preferred` ones before `lastResort` ones. A
// client that refuses because a request has just arrived is kept, and the next one is tried. Returns false if
// no client could be evicted. `Client` provides `Eviction eviction(steady_clock::time_point now)` and `bool
// tryEvict()`.
template <typename Client>
bool evictLeastRecentlyUsed(const Clients<Client>& clients) {
  const auto now = std::chrono::steady_clock::now();
  for (std::size_t attemptsLeft = clients.size(); attemptsLeft > 0; --attemptsLeft) {
    std::shared_ptr<Client> candidate;
    for (const auto& client : clients) {
      const Eviction eviction = client->eviction(now);
      if (eviction == Eviction::forbidden || (eviction == Eviction::lastResort && candidate != nullptr))
        continue;
      candidate = client;
      if (eviction == Eviction::preferred) break;
    }
    if (candidate == nullptr) return false;
    if (candidate->tryEvict()) return true;
  }
  return false;
}

}  // namespace quilltide::net
