// HTTP/1.1 server through which clients submit messages and read their states and final outcomes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <unordered_map>

#include "config/budget.hpp"
#include "config/service_config.hpp"
#include "engine/engine.hpp"
#include "frontend/admission.hpp"
#include "frontend/listener/client_memory.hpp"
#include "frontend/listener/clients.hpp"
#include "frontend/listener/listener.hpp"
#include "frontend/listener/rate_limiter.hpp"

namespace quilltide::net {

// Runs on the engine's event loop thread; no function blocks. A quarter of the connection limit is reserved
// for requests other than long polls and event streams, and a sixteenth for clients that are rejected with a
// response because all other connections are in use.
class HttpFrontend {
 public:
  HttpFrontend(boost::asio::io_context& io, const HttpFrontendSettings& settings,
               const FrontendLimits& limits, Engine& engine);
  ~HttpFrontend();
  HttpFrontend(const HttpFrontend&) = delete;
  HttpFrontend& operator=(const HttpFrontend&) = delete;

  void listen();  // throws std::runtime_error if the address cannot be bound
  boost::asio::ip::tcp::endpoint address() const { return listener_.address(); }
  // Disables keep-alive: idle connections are closed now, others after their current response.
  void drain();
  // Stops accepting connections and requests. Submissions in progress are still answered, long polls are
  // answered with the current state, and event streams end.
  void finish();

  std::size_t connections() const { return clients_.size(); }
  std::size_t bufferedBytes() const { return clientMemory_.bytes(); }
  // Number of responses that were not written because their request had one. Each is a fault, and logged.
  std::uint64_t surplusResponses() const { return surplusResponses_; }

 private:
  class Client;
  friend class Client;

  void onAccepted(boost::asio::ip::tcp::socket socket);
  void onMessageEnded(const FinalOutcome& outcome);
  void sendEventsToStreams();
  std::string newId();

  boost::asio::io_context& io_;
  HttpFrontendSettings settings_;
  FrontendLimits limits_;
  std::size_t maxRejectedClients_, maxWaitingClients_;
  Engine& engine_;
  Admission admission_;
  ClientMemory clientMemory_;
  Clients<Client> clients_;
  Listener listener_;
  RateLimiter floodLimiter_;
  std::size_t rejectedClients_ = 0;  // of clients_: rejected because the connection limit is reached
  std::size_t waitingClients_ = 0;   // of clients_: long polls and event streams
  std::unordered_multimap<std::string, std::weak_ptr<Client>> longPolls_;  // by message id
  std::set<Client*> eventStreams_;
  std::uint64_t surplusResponses_ = 0;
  bool eventsPosted_ = false, draining_ = false, finished_ = false;
  std::mt19937_64 random_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::net
