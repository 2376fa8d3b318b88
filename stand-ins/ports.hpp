// Loopback endpoints for the processes of a test.
#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace quilltide::standin {

// A loopback address derived from the process id. Outgoing connections do not use ports of this address, so a
// port that was released can be bound again.
boost::asio::ip::address processLoopbackAddress();

// Returns an endpoint on processLoopbackAddress() that is not bound, cycling through the ports. The ports lie
// below the ephemeral range (from 32768 on), so the endpoint stays free until its listener starts. Throws
// std::runtime_error if no port is free. Thread-safe.
boost::asio::ip::tcp::endpoint findFreeEndpoint();

}  // namespace quilltide::standin
