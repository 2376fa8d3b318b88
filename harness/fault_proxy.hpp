// A fault-injecting TCP proxy for the link between two processes, with separate faults for each direction.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <set>

namespace quilltide::harness {

using boost::asio::ip::tcp;
using std::chrono::milliseconds;

// The client is the side that opened the connection.
enum class Direction { clientToServer, serverToClient };

// The faults of one direction. They apply to open and to new connections.
struct Faults {
  // Nothing is forwarded. When the cut ends, connections with blocked data are reset.
  bool cut = false;
  // Nothing is forwarded. When the stall ends, all delayed data is.
  bool stalled = false;
  milliseconds delay{0};
  std::size_t bytesPerSecond = 0;              // 0: unlimited
  std::optional<std::size_t> resetAfterBytes;  // each connection is reset after this many further bytes
  bool suppressEof = false;  // the end of the stream is not forwarded: the receiver stays half open
  bool any() const {
    return cut || stalled || delay.count() > 0 || bytesPerSecond > 0 || resetAfterBytes || suppressEof;
  }
};

// Forwards TCP connections to a target. All calls are made on the thread that runs the io_context; none
// blocks. Queues at most about 256 KiB for each direction of a connection.
class FaultProxy {
 public:
  // Starts to listen. Throws boost::system::system_error if the address cannot be bound.
  FaultProxy(boost::asio::io_context& io, const tcp::endpoint& listenEndpoint,
             const tcp::endpoint& targetEndpoint);
  ~FaultProxy();
  FaultProxy(const FaultProxy&) = delete;
  FaultProxy& operator=(const FaultProxy&) = delete;

  tcp::endpoint listenEndpoint() const { return listenEndpoint_; }
  void setFaults(Direction direction, const Faults& faults);
  const Faults& faults(Direction direction) const { return faults_[static_cast<int>(direction)]; }
  void heal();                           // removes all faults and accepts connections
  void resetConnections();               // resets all open connections on both sides
  void refuseConnections(bool refused);  // true: stops listening
  std::size_t connectionCount() const { return connections_.size(); }
  // Sum over all connections, open and closed.
  std::size_t bytesForwarded(Direction direction) const {
    return bytesForwarded_[static_cast<int>(direction)];
  }
  // Open connections with data that a cut of this direction has blocked.
  std::size_t blockedConnections(Direction direction) const;

 private:
  class Connection;
  void accept();
  void listen();

  boost::asio::io_context& io_;
  tcp::endpoint listenEndpoint_, targetEndpoint_;
  tcp::acceptor acceptor_;
  Faults faults_[2];
  std::size_t bytesForwarded_[2] = {0, 0};
  std::set<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::harness
