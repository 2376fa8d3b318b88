// Implementation of the fault-injecting proxy: each connection has one relay per direction.
#include "fault_proxy.hpp"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <deque>
#include <string>
#include <vector>

namespace quilltide::harness {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

namespace {

constexpr std::size_t kReadBufferBytes = 16'384;
constexpr std::size_t kMaxQueuedBytes = 262'144;
constexpr auto kThrottleInterval = milliseconds(10);

}  // namespace

class FaultProxy::Connection : public std::enable_shared_from_this<Connection> {
 public:
  Connection(FaultProxy& proxy, tcp::socket client)
      : proxy_(proxy),
        client_(std::move(client)),
        server_(proxy.io_),
        relays_{Relay(proxy.io_), Relay(proxy.io_)} {}

  void open() {
    error_code ignored;
    client_.set_option(tcp::no_delay(true), ignored);
    if (proxy_.faults_[0].cut) {  // the connection is accepted here but not opened to the target
      relays_[0].blocked = true;
      return;
    }
    server_.async_connect(proxy_.targetEndpoint_, [this, self = shared_from_this()](error_code error) {
      if (!open_) return;
      if (error) return reset();
      error_code unused;
      server_.set_option(tcp::no_delay(true), unused);
      connected_ = true;
      read(Direction::clientToServer);
      read(Direction::serverToClient);
    });
  }

  void reset() {
    if (!open_) return;
    error_code ignored;
    client_.set_option(asio::socket_base::linger(true, 0), ignored);
    server_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  // Applies changed faults of a direction. Resets the connection if the end of a cut affects it.
  void faultsChanged(Direction direction, const Faults& previous) {
    Relay& relay = relays_[static_cast<int>(direction)];
    const Faults& current = proxy_.faults(direction);
    if (previous.cut && !current.cut && relay.blocked) return reset();
    relay.bytesUntilReset = current.resetAfterBytes;
    if (previous.suppressEof && !current.suppressEof && relay.eofReceived) return finishDirection(direction);
    write(direction);
  }

  bool blocked(Direction direction) const { return relays_[static_cast<int>(direction)].blocked; }

 private:
  struct Chunk {
    Clock::time_point deliverAt;
    std::string bytes;
  };
  struct Relay {
    explicit Relay(asio::io_context& io) : timer(io), readBuffer(kReadBufferBytes) {}
    asio::steady_timer timer;
    std::vector<char> readBuffer;
    std::deque<Chunk> queue;
    std::size_t queuedBytes = 0;
    std::string writeBuffer;
    bool readPending = false, writePending = false, eofReceived = false, blocked = false,
         shutdownSent = false;
    std::optional<std::size_t> bytesUntilReset;
  };

  tcp::socket& source(Direction direction) {
    return direction == Direction::clientToServer ? client_ : server_;
  }
  tcp::socket& sink(Direction direction) {
    return direction == Direction::clientToServer ? server_ : client_;
  }

  void close() {
    open_ = false;
    error_code ignored;
    client_.close(ignored);
    server_.close(ignored);
    for (Relay& relay : relays_) relay.timer.cancel();
    proxy_.connections_.erase(shared_from_this());
  }

  void read(Direction direction) {
    Relay& relay = relays_[static_cast<int>(direction)];
    if (!open_ || relay.readPending || relay.eofReceived || relay.queuedBytes >= kMaxQueuedBytes) return;
    relay.readPending = true;
    source(direction).async_read_some(
        asio::buffer(relay.readBuffer),
        [this, self = shared_from_this(), direction](error_code error, std::size_t size) {
          Relay& activeRelay = relays_[static_cast<int>(direction)];
          activeRelay.readPending = false;
          if (!open_) return;
          const Faults& faults = proxy_.faults(direction);
          if (error) {
            activeRelay.eofReceived = true;
            // A RST is forwarded as a RST, unless the direction is cut or its end is suppressed.
            if (error != asio::error::eof && !faults.cut && !faults.suppressEof) return reset();
            if (error != asio::error::eof) activeRelay.queue.clear();
            return write(direction);
          }
          activeRelay.queue.push_back(
              {Clock::now() + faults.delay, std::string(activeRelay.readBuffer.data(), size)});
          activeRelay.queuedBytes += size;
          write(direction);
          read(direction);
        });
  }

  void write(Direction direction) {
    Relay& relay = relays_[static_cast<int>(direction)];
    if (!open_ || !connected_ || relay.writePending) return;
    const Faults& faults = proxy_.faults(direction);
    if (faults.cut) {
      relay.blocked = relay.blocked || !relay.queue.empty() || relay.eofReceived;
      return;
    }
    if (faults.stalled) return;
    if (relay.queue.empty()) {
      if (relay.eofReceived && !faults.suppressEof) finishDirection(direction);
      return;
    }
    const auto now = Clock::now();
    if (relay.queue.front().deliverAt > now) return scheduleWrite(direction, relay.queue.front().deliverAt);
    Chunk& chunk = relay.queue.front();
    std::size_t size = chunk.bytes.size();
    if (faults.bytesPerSecond > 0) {
      const std::size_t maxBytes = std::max<std::size_t>(
          1, faults.bytesPerSecond * static_cast<std::size_t>(kThrottleInterval.count()) / 1'000);
      size = std::min(size, maxBytes);
    }
    if (relay.bytesUntilReset) {
      if (*relay.bytesUntilReset == 0) return reset();
      size = std::min(size, *relay.bytesUntilReset);
      *relay.bytesUntilReset -= size;
    }
    relay.writeBuffer = chunk.bytes.substr(0, size);
    if (size == chunk.bytes.size()) {
      relay.queue.pop_front();
    } else {
      chunk.bytes.erase(0, size);
    }
    relay.queuedBytes -= size;
    relay.writePending = true;
    asio::async_write(sink(direction), asio::buffer(relay.writeBuffer),
                      [this, self = shared_from_this(), direction](error_code error, std::size_t written) {
                        Relay& activeRelay = relays_[static_cast<int>(direction)];
                        activeRelay.writePending = false;
                        if (!open_) return;
                        if (error) return reset();
                        proxy_.bytesForwarded_[static_cast<int>(direction)] += written;
                        if (activeRelay.bytesUntilReset && *activeRelay.bytesUntilReset == 0) return reset();
                        read(direction);
                        if (proxy_.faults(direction).bytesPerSecond > 0)
                          return scheduleWrite(direction, Clock::now() + kThrottleInterval);
                        write(direction);
                      });
  }

  void scheduleWrite(Direction direction, Clock::time_point at) {
    Relay& relay = relays_[static_cast<int>(direction)];
    relay.writePending = true;
    relay.timer.expires_at(at);
    relay.timer.async_wait([this, self = shared_from_this(), direction](error_code) {
      relays_[static_cast<int>(direction)].writePending = false;
      if (open_) write(direction);
    });
  }

  // Shuts down the sending side of a direction; closes the connection when both are shut down.
  void finishDirection(Direction direction) {
    Relay& relay = relays_[static_cast<int>(direction)];
    if (relay.shutdownSent) return;
    relay.shutdownSent = true;
    error_code ignored;
    sink(direction).shutdown(tcp::socket::shutdown_send, ignored);
    if (relays_[0].shutdownSent && relays_[1].shutdownSent) close();
  }

  FaultProxy& proxy_;
  tcp::socket client_, server_;
  Relay relays_[2];
  bool open_ = true, connected_ = false;
};

FaultProxy::FaultProxy(asio::io_context& io, const tcp::endpoint& listenEndpoint,
                       const tcp::endpoint& targetEndpoint)
    : io_(io), listenEndpoint_(listenEndpoint), targetEndpoint_(targetEndpoint), acceptor_(io) {
  listen();
}

FaultProxy::~FaultProxy() {
  *alive_ = false;
  resetConnections();
  error_code ignored;
  acceptor_.close(ignored);
}

void FaultProxy::listen() {
  if (acceptor_.is_open()) return;
  acceptor_.open(listenEndpoint_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listenEndpoint_);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  listenEndpoint_ = acceptor_.local_endpoint();
  accept();
}

void FaultProxy::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (!*alive || error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->open();
    }
    accept();
  });
}

void FaultProxy::setFaults(Direction direction, const Faults& faults) {
  const Faults previous = std::exchange(faults_[static_cast<int>(direction)], faults);
  for (const auto& connection : std::set<std::shared_ptr<Connection>>(connections_))
    connection->faultsChanged(direction, previous);
}

void FaultProxy::heal() {
  setFaults(Direction::clientToServer, {});
  setFaults(Direction::serverToClient, {});
  refuseConnections(false);
}

std::size_t FaultProxy::blockedConnections(Direction direction) const {
  return static_cast<std::size_t>(
      std::count_if(connections_.begin(), connections_.end(),
                    [direction](const auto& connection) { return connection->blocked(direction); }));
}

void FaultProxy::resetConnections() {
  for (const auto& connection : std::set<std::shared_ptr<Connection>>(connections_)) connection->reset();
}

void FaultProxy::refuseConnections(bool refused) {
  if (!refused) return listen();
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace quilltide::harness
