// Who is connected to a frontend, the longest unused first, and who goes when there is no place left.
#pragma once

#include <chrono>
#include <cstddef>
#include <list>
#include <memory>

namespace quilltide::net {

// May a client's place go to another one?
enum class Spare {
  now,       // at once
  ifNeeded,  // if no other can be spared at once
  no
};

// A client takes itself off the list when it closes.
template <typename Client>
using Clients = std::list<std::shared_ptr<Client>>;

// Closes the longest unused of those that can be spared, those first that can be at once. One that turns out
// to have sent a request stays, and the next is looked for. False if there is none.
template <typename Client>
bool makeRoom(const Clients<Client>& clients) {
  const auto now = std::chrono::steady_clock::now();
  for (std::size_t tries = clients.size(); tries > 0; --tries) {
    std::shared_ptr<Client> chosen;
    for (const auto& client : clients) {
      const Spare spare = client->spare(now);
      if (spare == Spare::no || (spare == Spare::ifNeeded && chosen != nullptr)) continue;
      chosen = client;
      if (spare == Spare::now) break;
    }
    if (chosen == nullptr) return false;
    if (chosen->makeWay()) return true;
  }
  return false;
}

}  // namespace quilltide::net
