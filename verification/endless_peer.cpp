#include "endless_peer.hpp"

#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <future>
#include <sstream>
#include <vector>

#include "ports.hpp"

namespace quilltide::verification {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

constexpr auto kKeepAliveInterval = std::chrono::milliseconds(500);  // of watches
const std::string kChunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";

std::string chunk(const std::string& data) {
  std::ostringstream out;
  out << std::hex << data.size() << "\r\n" << data << "\r\n";
  return out.str();
}

// Length that the head of a request announces.
std::size_t contentLength(const std::string& head) {
  const std::size_t at = head.find("Content-Length: ");
  return at == std::string::npos ? 0 : std::stoul(head.substr(at + 16));
}

}  // namespace

class EndlessPeer::Connection : public std::enable_shared_from_this<EndlessPeer::Connection> {
 public:
  Connection(EndlessPeer& peer, tcp::socket socket)
      : peer_(peer), socket_(std::move(socket)), keepAliveTimer_(peer.io_) {}

  bool endless() const { return endless_; }
  bool watching() const { return watching_; }

  void read() {
    socket_.async_read_some(asio::buffer(chunk_),
                            [this, self = shared_from_this()](error_code error, std::size_t count) {
                              if (error) return close();
                              received_.append(chunk_.data(), count);
                              handleRequests();
                              if (socket_.is_open()) read();
                            });
  }

  void sendEndless(const EndlessForm& form) {
    endless_ = true;
    form_ = form;
    ++peer_.spoiltAnswers_;
    piece_.clear();
    while (piece_.size() < form_.pieceBytes) piece_ += form_.unit;
    // Whole units, so that pieces follow one another as the form says.
    const std::size_t pieceBytes = form_.pieceBytes < form_.unit.size() ? form_.pieceBytes : piece_.size();
    write(form_.prefix, [this, pieceBytes] { sendPiece(pieceBytes); });
  }

  void close() {
    error_code ignored;
    socket_.close(ignored);
    keepAliveTimer_.cancel();
    peer_.connections_.erase(shared_from_this());
  }

 private:
  void handleRequests() {
    for (;;) {
      const std::size_t head = received_.find("\r\n\r\n");
      if (endless_) received_.clear();
      if (endless_ || head == std::string::npos) return;
      const std::size_t length = head + 4 + contentLength(received_);
      if (received_.size() < length) return;
      const std::string request = received_.substr(0, head);
      received_.erase(0, length);
      answer(request);
    }
  }

  void answer(const std::string& request) {
    const bool isWatch = request.starts_with("GET /discovery"),
               isNotice = request.starts_with("POST /status");
    const Spoils kind = isWatch ? Spoils::watches : isNotice ? Spoils::notices : Spoils::calls;
    if (peer_.spoils_ == kind) return sendEndless(peer_.form_);
    if (isWatch) return startWatch();
    if (kind == Spoils::calls && peer_.spoils_ == Spoils::notices) return;  // so that notices are due
    write(isNotice ? "HTTP/1.1 204 No Content\r\n\r\n" : "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
  }

  void startWatch() {
    watching_ = true;
    write(kChunkedHead + chunk(peer_.directoryLine_ + "\n"));
    scheduleKeepAlive();
  }
  void scheduleKeepAlive() {
    keepAliveTimer_.expires_after(kKeepAliveInterval);
    keepAliveTimer_.async_wait([this, self = shared_from_this()](error_code error) {
      if (error || endless_ || !socket_.is_open()) return;
      write(chunk("\n"));
      scheduleKeepAlive();
    });
  }

  void write(const std::string& bytes, std::function<void()> then = nullptr) {
    auto owned = std::make_shared<std::string>(bytes);
    asio::async_write(socket_, asio::buffer(*owned),
                      [this, self = shared_from_this(), owned, then = std::move(then)](error_code error,
                                                                                       std::size_t count) {
                        if (endless_) peer_.bytesSent_ += count;
                        if (error) return close();
                        if (then) then();
                      });
  }
  void sendPiece(std::size_t pieceBytes) {
    const std::size_t from = pieceBytes < form_.unit.size() ? offset_ % form_.unit.size() : 0;
    const std::size_t count = std::min(pieceBytes, piece_.size() - from);
    asio::async_write(socket_, asio::buffer(piece_.data() + from, count),
                      [this, self = shared_from_this(), pieceBytes](error_code error, std::size_t sent) {
                        peer_.bytesSent_ += sent;
                        offset_ += sent;
                        if (error) return close();
                        sendPiece(pieceBytes);
                      });
  }

  EndlessPeer& peer_;
  tcp::socket socket_;
  asio::steady_timer keepAliveTimer_;
  std::array<char, 16 * 1024> chunk_;
  std::string received_, piece_;
  EndlessForm form_;
  std::size_t offset_ = 0;
  bool endless_ = false, watching_ = false;
};

EndlessPeer::EndlessPeer() : acceptor_(io_, {standin::processLoopbackAddress(), 0}) {
  accept();
  thread_ = std::thread([this] {
    const auto work = asio::make_work_guard(io_);
    io_.run();
  });
}

EndlessPeer::~EndlessPeer() {
  io_.stop();
  thread_.join();
}

std::string EndlessPeer::hostAndPort() const {
  const tcp::endpoint at = acceptor_.local_endpoint();
  return at.address().to_string() + ":" + std::to_string(at.port());
}

// Runs `work` on the peer's thread and waits for it.
void EndlessPeer::post(std::function<void()> work) {
  std::promise<void> done;
  asio::post(io_, [&] {
    work();
    done.set_value();
  });
  done.get_future().wait();
}

void EndlessPeer::setDirectory(const std::string& line) {
  post([&] { directoryLine_ = line; });
}

void EndlessPeer::spoil(Spoils what, const EndlessForm& form) {
  post([&] {
    form_ = form;
    const std::set<std::shared_ptr<Connection>> connections = connections_;
    for (const auto& connection : connections) {
      if (!connection->watching()) continue;
      if (what == Spoils::openWatches) connection->sendEndless(form);
      if (what == Spoils::watches) connection->close();
    }
    if (what != Spoils::openWatches) spoils_ = what;
  });
}

void EndlessPeer::connectAndSend(const tcp::endpoint& to, const EndlessForm& form) {
  post([&] {
    tcp::socket socket(io_);
    error_code refused;
    socket.connect(to, refused);
    if (refused) return;
    const auto connection = std::make_shared<Connection>(*this, std::move(socket));
    connections_.insert(connection);
    connection->sendEndless(form);
    connection->read();
  });
}

void EndlessPeer::heal() {
  post([&] {
    spoils_.reset();
    const std::set<std::shared_ptr<Connection>> connections = connections_;
    for (const auto& connection : connections)
      if (connection->endless()) connection->close();
  });
}

void EndlessPeer::accept() {
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (!error) {
      const auto connection = std::make_shared<Connection>(*this, std::move(socket));
      connections_.insert(connection);
      connection->read();
    }
    accept();
  });
}

}  // namespace quilltide::verification
