// The accept loop.
#include "frontend/listener/listener.hpp"

#include <chrono>
#include <iostream>

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto kPause = std::chrono::milliseconds(20);
constexpr int kInATurn = 16;  // connections; then those that stand have theirs

}  // namespace

Listener::Listener(asio::io_context& io, std::string name, Hooks hooks)
    : name_(std::move(name)), hooks_(std::move(hooks)), acceptor_(io), pause_(io) {}

void Listener::listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  acceptor_.non_blocking(true);
  accept();
}

void Listener::close() {
  error_code ignored;
  pause_.cancel();
  acceptor_.close(ignored);
}

void Listener::acceptLater() {
  pause_.expires_after(kPause);
  pause_.async_wait([this](error_code error) {
    if (!error && acceptor_.is_open()) accept();
  });
}

// Nobody is accepted but in these turns: a connection accepted beforehand, whose handler comes after the
// listener has closed, would be dropped with what it has sent.
void Listener::accept() {
  if (!hooks_.mayAccept()) return acceptLater();
  acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code error) {
    if (error) return;  // closed
    for (int n = 0; n < kInATurn && hooks_.mayAccept(); ++n) {
      const error_code failed = takeOne();
      if (failed == asio::error::would_block) break;
      if (!failed) continue;
      // Out of descriptors, or the client has gone: neither may end the service.
      std::cerr << name_ << ": accept: " << failed.message() << std::endl;
      if (failed == asio::error::no_descriptors) hooks_.outOfDescriptors();
      return acceptLater();
    }
    accept();
  });
}

error_code Listener::takeOne() {
  error_code error, ignored;
  tcp::socket socket(acceptor_.get_executor());
  acceptor_.accept(socket, error);
  if (error) return error;
  socket.set_option(tcp::no_delay(true), ignored);
  socket.non_blocking(true, ignored);
  hooks_.accepted(std::move(socket));
  return {};
}

// A listener that closes resets whom it has not accepted, with what they have sent.
void Listener::takeWaiting() {
  while (acceptor_.is_open() && hooks_.mayAccept() && !takeOne()) {
  }
}

}  // namespace quilltide::net
