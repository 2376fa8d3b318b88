// Connections of the misbehaving clients.
#include "misbehaving_clients.hpp"

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <string>

namespace quilltide::standin {

namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

enum class Misbehavior { silent, partialRequest, slowBody, neverReads };

std::string initialBytes(Misbehavior misbehavior, MisbehavingClients::Frontend frontend) {
  const bool http = frontend == MisbehavingClients::Frontend::http;
  switch (misbehavior) {
    case Misbehavior::silent:
      return "";
    case Misbehavior::partialRequest:
      return http ? "POST /v1/messages?class=statut HTTP/1.1\r\nHost: f\r\nX-"
                  : "*5\r\n$7\r\nENQUEUE\r\n$1\r\n";
    case Misbehavior::slowBody:
      return http ? "POST /v1/messages?class=statut&destination=0&time_left_ms=5000 HTTP/1.1\r\nHost: f\r\n"
                    "Content-Length: 65536\r\n\r\n"
                  : "*5\r\n$7\r\nENQUEUE\r\n$1\r\n0\r\n$2\r\nee\r\n$26\r\nc=statut,d=5000,dest=0,k=1\r\n$"
                    "65536\r\n";
    case Misbehavior::neverReads:
      break;
  }
  std::string requests;
  for (int i = 0; i < 200; ++i)
    requests += http ? "GET /v1/messages/nobody HTTP/1.1\r\nHost: f\r\n\r\n" : "*1\r\n$4\r\nPING\r\n";
  return requests;
}

}  // namespace

struct MisbehavingClients::Connection {
  Connection(asio::io_context& io, std::size_t index) : socket(io), timer(io), index(index) {}
  Misbehavior misbehavior() const { return static_cast<Misbehavior>(index % 4); }
  tcp::socket socket;
  asio::steady_timer timer;
  std::size_t index;
  std::string outgoing;
  std::array<char, 4096> readBuffer;
  bool connected = false, closed = false;
};

MisbehavingClients::MisbehavingClients(asio::io_context& io, const tcp::endpoint& forwarder,
                                       Frontend frontend, std::size_t count, std::size_t maxOpened)
    : io_(io), forwarder_(forwarder), frontend_(frontend), maxOpened_(maxOpened), connections_(count) {
  for (std::size_t i = 0; i < count; ++i) open(i);
}

MisbehavingClients::~MisbehavingClients() {
  *alive_ = false;
  error_code ignored;
  for (const auto& connection : connections_) {
    if (!connection) continue;
    connection->timer.cancel();
    connection->socket.close(ignored);
  }
}

std::size_t MisbehavingClients::connected() const {
  std::size_t count = 0;
  for (const auto& connection : connections_)
    count += connection && connection->connected && !connection->closed ? 1 : 0;
  return count;
}

void MisbehavingClients::open(std::size_t index) {
  if (opened_ >= maxOpened_) return;
  ++opened_;
  auto connection = connections_[index] = std::make_shared<Connection>(io_, index);
  connection->socket.async_connect(forwarder_, [this, connection, alive = alive_](error_code error) {
    if (!*alive) return;
    if (error) return scheduleReopen(connection);
    connection->connected = true;
    connection->outgoing = initialBytes(connection->misbehavior(), frontend_);
    if (connection->misbehavior() != Misbehavior::silent) send(connection);
    // A client that never reads detects a closed connection by a failed write.
    if (connection->misbehavior() != Misbehavior::neverReads) read(connection);
  });
}

void MisbehavingClients::send(const std::shared_ptr<Connection>& connection) {
  asio::async_write(connection->socket, asio::buffer(connection->outgoing),
                    [this, connection, alive = alive_](error_code error, std::size_t) {
                      if (!*alive || connection->closed) return;
                      if (error) return scheduleReopen(connection);
                      if (connection->misbehavior() == Misbehavior::partialRequest) return;
                      if (connection->misbehavior() == Misbehavior::slowBody) connection->outgoing = "x";
                      connection->timer.expires_after(std::chrono::milliseconds(
                          connection->misbehavior() == Misbehavior::slowBody ? 100 : 5));
                      connection->timer.async_wait([this, connection, alive](error_code cancelled) {
                        if (!cancelled && *alive && !connection->closed) send(connection);
                      });
                    });
}

void MisbehavingClients::read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(asio::buffer(connection->readBuffer),
                                     [this, connection, alive = alive_](error_code error, std::size_t) {
                                       if (!*alive || connection->closed) return;
                                       if (error) return scheduleReopen(connection);
                                       read(connection);
                                     });
}

void MisbehavingClients::scheduleReopen(const std::shared_ptr<Connection>& connection) {
  connection->closed = true;
  error_code ignored;
  connection->socket.close(ignored);
  connection->timer.expires_after(std::chrono::milliseconds(20));
  connection->timer.async_wait([this, connection, alive = alive_](error_code error) {
    if (!error && *alive) open(connection->index);
  });
}

}  // namespace quilltide::standin
