// Clients that hold connections of a frontend without completing requests: silent, partial request, slow
// body, responses never read.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace quilltide::standin {

// Keeps `count` connections to one frontend open, of the four kinds of misbehavior in turn. A connection that
// the frontend closes is reopened after a short delay, until `maxOpened` connections were opened in all. Not
// thread-safe: runs on the thread of the io_context.
class MisbehavingClients {
 public:
  enum class Frontend { resp, http };
  MisbehavingClients(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& forwarder,
                     Frontend frontend, std::size_t count, std::size_t maxOpened);
  ~MisbehavingClients();
  MisbehavingClients(const MisbehavingClients&) = delete;
  MisbehavingClients& operator=(const MisbehavingClients&) = delete;
  std::size_t opened() const { return opened_; }
  std::size_t connected() const;

 private:
  struct Connection;
  void open(std::size_t index);
  void send(const std::shared_ptr<Connection>& connection);
  void read(const std::shared_ptr<Connection>& connection);
  void scheduleReopen(const std::shared_ptr<Connection>& connection);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint forwarder_;
  Frontend frontend_;
  std::size_t maxOpened_, opened_ = 0;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::standin
