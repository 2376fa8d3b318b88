// Runs an event loop in a test until a condition holds.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>

namespace quilltide::fleet {

constexpr std::chrono::milliseconds kTestTimeout{20'000};

// Returns false if the condition does not hold within kTestTimeout.
inline bool runUntil(boost::asio::io_context& io, const std::function<bool()>& condition) {
  const auto deadline = std::chrono::steady_clock::now() + kTestTimeout;
  while (!condition() && std::chrono::steady_clock::now() < deadline) {
    io.restart();
    io.run_one_for(std::chrono::milliseconds(1));
  }
  return condition();
}

}  // namespace quilltide::fleet
