// A write stream over a socket, for composed write operations.
#pragma once

#include <boost/asio/compose.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <cstddef>
#include <utility>

namespace quilltide::net {

// Continues after short writes. Asio takes a write of fewer bytes than offered for a full buffer and waits
// until the reactor reports that there is room again; where a write was short for another reason that never
// happens, and the connection stalls. Here only EAGAIN counts as a full buffer. The socket must be
// non-blocking and outlive the writer, and the writer its operations. Not thread-safe.
class SocketWriter {
 public:
  using Socket = boost::asio::ip::tcp::socket;
  // NOLINTBEGIN(readability-identifier-naming): the names of Asio's requirements on write streams
  using executor_type = Socket::executor_type;

  explicit SocketWriter(Socket& socket) : socket_(socket) {}
  executor_type get_executor() { return socket_.get_executor(); }

  // Writes at least one byte, then calls `handler` from the event loop with the error and the number of
  // bytes.
  template <typename Buffers, typename Handler>
  auto async_write_some(const Buffers& buffers, Handler&& handler) {
    return boost::asio::async_compose<Handler, void(boost::system::error_code, std::size_t)>(
        WriteOperation<Buffers>{socket_, buffers}, handler, socket_);
  }
  // NOLINTEND(readability-identifier-naming)

 private:
  template <typename Buffers>
  struct WriteOperation {
    enum class Stage { starting, waiting, written };
    Socket& socket;
    Buffers buffers;
    Stage stage = Stage::starting;
    boost::system::error_code result{};
    std::size_t count = 0;

    template <typename Self>
    void operator()(Self& self, boost::system::error_code error = {}) {
      if (stage == Stage::written || error) return self.complete(error ? error : result, count);
      count = socket.write_some(buffers, result);
      if (result == boost::asio::error::would_block) {
        stage = Stage::waiting;
        return socket.async_wait(Socket::wait_write, std::move(self));
      }
      if (stage == Stage::waiting) return self.complete(result, count);
      stage = Stage::written;  // the handler must not run before this function has returned
      boost::asio::post(socket.get_executor(), std::move(self));
    }
  };

  Socket& socket_;
};

}  // namespace quilltide::net
