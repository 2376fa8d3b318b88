// The accept loop.
#include "doors/connections/listener.hpp"

#include <chrono>
#include <iostream>

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr auto kPause = std::chrono::milliseconds(20);

}  // namespace

Listener::Listener(asio::io_context& io, std::string name, Hooks hooks)
    : name_(std::move(name)), hooks_(std::move(hooks)), acceptor_(io), pause_(io) {}

void Listener::listen(const tcp::endpoint& at) {
  acceptor_.open(at.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(at);
  acceptor_.listen(asio::socket_base::max_listen_connections);
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

void Listener::accept() {
  if (!hooks_.mayAccept()) return acceptLater();
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted || !acceptor_.is_open()) return;
    if (error) {  // out of descriptors, or the client has gone: neither may end the service
      std::cerr << name_ << ": accept: " << error.message() << std::endl;
      if (error == asio::error::no_descriptors) hooks_.outOfDescriptors();
      return acceptLater();
    }
    error_code ignored;
    socket.set_option(tcp::no_delay(true), ignored);
    socket.non_blocking(true, ignored);
    hooks_.accepted(std::move(socket));
    accept();
  });
}

}  // namespace quilltide::net
