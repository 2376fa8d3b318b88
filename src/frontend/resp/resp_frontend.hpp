// RESP2 server through which clients submit messages (PING and ENQUEUE). Requests may be pipelined; replies
// are sent in request order.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "clock/alarm.hpp"
#include "config/budget.hpp"
#include "config/platform.hpp"
#include "engine/engine.hpp"
#include "frontend/admission.hpp"
#include "frontend/listener/client_memory.hpp"
#include "frontend/listener/clients.hpp"
#include "frontend/listener/listener.hpp"
#include "frontend/listener/rate_limiter.hpp"

namespace quilltide::net {

// Runs on the engine's event loop thread; no function blocks.
class RespFrontend {
 public:
  RespFrontend(boost::asio::io_context& io, const PlatformConfig& config, const FrontendLimits& limits,
               Engine& engine);
  ~RespFrontend();

  void listen();  // throws std::runtime_error if the address cannot be bound
  tcp::endpoint address() const { return listener_.address(); }
  // Stops accepting connections and requests. Requests that have arrived are still answered; each connection
  // is closed after its last reply.
  void finish();
  std::size_t clients() const { return clients_.size(); }

 private:
  class Client;
  friend class Client;

  void onAccepted(tcp::socket socket);
  void sweep();
  std::string submit(std::vector<std::string>& arguments, const std::shared_ptr<Client>& client,
                     std::size_t requestIndex);

  boost::asio::io_context& io_;
  tcp::endpoint endpoint_;
  FrontendLimits limits_;
  Engine& engine_;
  Admission admission_;
  ClientMemory clientMemory_;
  Clients<Client> clients_;
  Listener listener_;
  clocks::Alarm sweepAlarm_;
  RateLimiter floodLimiter_;
  // Shared by all clients; the data is copied out before the next read.
  std::array<char, 16 * 1024> readBuffer_;
};

}  // namespace quilltide::net
