// Opens the listening sockets of the programs.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <sstream>
#include <stdexcept>

namespace quilltide::process {

// Binds `acceptor` to `address` and listens. Throws std::runtime_error that names the address and the reason.
inline void listenAt(boost::asio::ip::tcp::acceptor& acceptor,
                     const boost::asio::ip::tcp::endpoint& address) {
  boost::system::error_code error;
  const auto require = [&] {
    if (!error) return;
    std::ostringstream message;
    message << "cannot listen on " << address << ": " << error.message();
    throw std::runtime_error(message.str());
  };
  acceptor.open(address.protocol(), error);
  require();
  acceptor.set_option(boost::asio::ip::tcp::acceptor::reuse_address(true), error);
  require();
  acceptor.bind(address, error);
  require();
  acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  require();
}

}  // namespace quilltide::process
