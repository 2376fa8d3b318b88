// Accepts TCP connections in batches.
#include "frontend/listener/listener.hpp"

#include <chrono>
#include <iostream>

#include "process/listening_socket.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto kAcceptRetryDelay = std::chrono::milliseconds(20);
constexpr int kMaxAcceptsPerTurn = 16;  // so that established connections are served in between

}  // namespace

Listener::Listener(asio::io_context& io, std::string logName, Callbacks callbacks)
    : logName_(std::move(logName)), callbacks_(std::move(callbacks)), acceptor_(io), retryAlarm_(io) {}

void Listener::listen(const tcp::endpoint& bindAddress) {
  process::listenAt(acceptor_, bindAddress);
  acceptor_.non_blocking(true);
  accept();
}

void Listener::close() {
  error_code ignored;
  retryAlarm_.disarm();
  acceptor_.close(ignored);
}

void Listener::scheduleAccept() {
  retryAlarm_.armAfter(kAcceptRetryDelay, [this] {
    if (acceptor_.is_open()) accept();
  });
}

// Waits for readability and accepts synchronously. With async_accept, a connection whose completion handler
// runs after close() would be dropped along with the data it has sent.
void Listener::accept() {
  if (!callbacks_.hasCapacity()) return scheduleAccept();
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error) return;
    for (int count = 0; count < kMaxAcceptsPerTurn && callbacks_.hasCapacity(); ++count) {
      const error_code acceptError = acceptOne();
      if (acceptError == asio::error::would_block) break;
      if (!acceptError) continue;
      // No file descriptor is left, or the client has disconnected: log it and keep accepting.
      std::cerr << logName_ << ": accept failed: " << acceptError.message() << std::endl;
      if (acceptError == asio::error::no_descriptors) callbacks_.onDescriptorsExhausted();
      return scheduleAccept();
    }
    accept();
  });
}

error_code Listener::acceptOne() {
  error_code error, ignored;
  tcp::socket socket(acceptor_.get_executor());
  acceptor_.accept(socket, error);
  if (error) return error;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  callbacks_.onAccepted(std::move(socket));
  return {};
}

// Closing the listening socket would reset the connections in its backlog.
void Listener::acceptPending() {
  while (acceptor_.is_open() && callbacks_.hasCapacity() && !acceptOne()) {
  }
}

}  // namespace quilltide::net
