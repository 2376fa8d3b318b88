// The proxy's connections: two pumps each.
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

constexpr std::size_t kChunk = 16'384;
constexpr std::size_t kMostQueued = 262'144;
constexpr auto kThrottleStep = milliseconds(10);

}  // namespace

class FaultProxy::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(FaultProxy& home, tcp::socket from)
      : home_(home), from_(std::move(from)), to_(home.io_), pumps_{Pump(home.io_), Pump(home.io_)} {}

  void open() {
    error_code ignored;
    from_.set_option(tcp::no_delay(true), ignored);
    if (home_.faults_[0].cut) {  // its first packet is lost: it has come no further than here
      pumps_[0].caught = true;
      return;
    }
    to_.async_connect(home_.to_, [this, self = shared_from_this()](error_code error) {
      if (!open_) return;
      if (error) return reset();
      error_code unused;
      to_.set_option(tcp::no_delay(true), unused);
      connected_ = true;
      read(Way::toward);
      read(Way::back);
    });
  }

  void reset() {
    if (!open_) return;
    error_code ignored;
    from_.set_option(asio::socket_base::linger(true, 0), ignored);
    to_.set_option(asio::socket_base::linger(true, 0), ignored);
    close();
  }

  // Faults of a direction have changed. False: this connection did not outlive them.
  void changed(Way way, const Faults& before) {
    Pump& pump = pumps_[static_cast<int>(way)];
    const Faults& now = home_.faults(way);
    if (before.cut && !now.cut && pump.caught) return reset();
    pump.left = now.resetAfter;
    if (before.hideEnd && !now.hideEnd && pump.ended) return end(way);
    write(way);
  }

  bool caught(Way way) const { return pumps_[static_cast<int>(way)].caught; }

 private:
  struct Chunk {
    Clock::time_point due;
    std::string bytes;
  };
  struct Pump {
    explicit Pump(asio::io_context& io) : timer(io), buffer(kChunk) {}
    asio::steady_timer timer;
    std::vector<char> buffer;
    std::deque<Chunk> queue;
    std::size_t queued = 0;
    std::string writing;
    bool reading = false, busy = false, ended = false, caught = false, shut = false;
    std::optional<std::size_t> left;
  };

  tcp::socket& source(Way way) { return way == Way::toward ? from_ : to_; }
  tcp::socket& sink(Way way) { return way == Way::toward ? to_ : from_; }

  void close() {
    open_ = false;
    error_code ignored;
    from_.close(ignored);
    to_.close(ignored);
    for (Pump& pump : pumps_) pump.timer.cancel();
    home_.links_.erase(shared_from_this());
  }

  void read(Way way) {
    Pump& pump = pumps_[static_cast<int>(way)];
    if (!open_ || pump.reading || pump.ended || pump.queued >= kMostQueued) return;
    pump.reading = true;
    source(way).async_read_some(asio::buffer(pump.buffer), [this, self = shared_from_this(), way](
                                                               error_code error, std::size_t size) {
      Pump& p = pumps_[static_cast<int>(way)];
      p.reading = false;
      if (!open_) return;
      const Faults& faults = home_.faults(way);
      if (error) {
        p.ended = true;
        // A dead peer's RST crosses as one, unless its direction is cut or its ends are hidden.
        if (error != asio::error::eof && !faults.cut && !faults.hideEnd) return reset();
        if (error != asio::error::eof) p.queue.clear();
        return write(way);
      }
      p.queue.push_back({Clock::now() + faults.delay, std::string(p.buffer.data(), size)});
      p.queued += size;
      write(way);
      read(way);
    });
  }

  void write(Way way) {
    Pump& pump = pumps_[static_cast<int>(way)];
    if (!open_ || !connected_ || pump.busy) return;
    const Faults& faults = home_.faults(way);
    if (faults.cut) {
      pump.caught = pump.caught || !pump.queue.empty() || pump.ended;
      return;
    }
    if (faults.stalled) return;
    if (pump.queue.empty()) {
      if (pump.ended && !faults.hideEnd) end(way);
      return;
    }
    const auto now = Clock::now();
    if (pump.queue.front().due > now) return later(way, pump.queue.front().due);
    Chunk& chunk = pump.queue.front();
    std::size_t size = chunk.bytes.size();
    if (faults.bytesPerSecond > 0) {
      const std::size_t step = std::max<std::size_t>(
          1, faults.bytesPerSecond * static_cast<std::size_t>(kThrottleStep.count()) / 1'000);
      size = std::min(size, step);
    }
    if (pump.left) {
      if (*pump.left == 0) return reset();
      size = std::min(size, *pump.left);
      *pump.left -= size;
    }
    pump.writing = chunk.bytes.substr(0, size);
    if (size == chunk.bytes.size()) {
      pump.queue.pop_front();
    } else {
      chunk.bytes.erase(0, size);
    }
    pump.queued -= size;
    pump.busy = true;
    asio::async_write(sink(way), asio::buffer(pump.writing),
                      [this, self = shared_from_this(), way](error_code error, std::size_t written) {
                        Pump& p = pumps_[static_cast<int>(way)];
                        p.busy = false;
                        if (!open_) return;
                        if (error) return reset();
                        home_.passed_[static_cast<int>(way)] += written;
                        if (p.left && *p.left == 0) return reset();
                        read(way);
                        if (home_.faults(way).bytesPerSecond > 0)
                          return later(way, Clock::now() + kThrottleStep);
                        write(way);
                      });
  }

  void later(Way way, Clock::time_point at) {
    Pump& pump = pumps_[static_cast<int>(way)];
    pump.busy = true;
    pump.timer.expires_at(at);
    pump.timer.async_wait([this, self = shared_from_this(), way](error_code) {
      pumps_[static_cast<int>(way)].busy = false;
      if (open_) write(way);
    });
  }

  // One direction is over; with both the connection is.
  void end(Way way) {
    Pump& pump = pumps_[static_cast<int>(way)];
    if (pump.shut) return;
    pump.shut = true;
    error_code ignored;
    sink(way).shutdown(tcp::socket::shutdown_send, ignored);
    if (pumps_[0].shut && pumps_[1].shut) close();
  }

  FaultProxy& home_;
  tcp::socket from_, to_;
  Pump pumps_[2];
  bool open_ = true, connected_ = false;
};

FaultProxy::FaultProxy(asio::io_context& io, const tcp::endpoint& at, const tcp::endpoint& to)
    : io_(io), at_(at), to_(to), acceptor_(io) {
  listen();
}

FaultProxy::~FaultProxy() {
  *alive_ = false;
  reset();
  error_code ignored;
  acceptor_.close(ignored);
}

void FaultProxy::listen() {
  if (acceptor_.is_open()) return;
  acceptor_.open(at_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at_);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  at_ = acceptor_.local_endpoint();
  accept();
}

void FaultProxy::accept() {
  acceptor_.async_accept([this, alive = alive_](error_code error, tcp::socket socket) {
    if (!*alive || error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (!error) {
      auto link = std::make_shared<Link>(*this, std::move(socket));
      links_.insert(link);
      link->open();
    }
    accept();
  });
}

void FaultProxy::set(Way way, const Faults& faults) {
  const Faults before = std::exchange(faults_[static_cast<int>(way)], faults);
  for (const auto& link : std::set<std::shared_ptr<Link>>(links_)) link->changed(way, before);
}

void FaultProxy::heal() {
  set(Way::toward, {});
  set(Way::back, {});
  refuse(false);
}

std::size_t FaultProxy::caught(Way way) const {
  return static_cast<std::size_t>(
      std::count_if(links_.begin(), links_.end(), [way](const auto& link) { return link->caught(way); }));
}

void FaultProxy::reset() {
  for (const auto& link : std::set<std::shared_ptr<Link>>(links_)) link->reset();
}

void FaultProxy::refuse(bool yes) {
  if (!yes) return listen();
  error_code ignored;
  acceptor_.close(ignored);
}

}  // namespace quilltide::harness
