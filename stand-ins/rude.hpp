// Clients that take what a frontend has and give nothing: silent, half a request, bodies without end, no
// reading.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <vector>

namespace quilltide::standin {

// So many connections to one frontend, of four sorts in turn; each that the frontend ends is opened again at
// once, but all together at most `most` times.
class RudeClients {
 public:
  enum class Frontend { resp, http };
  RudeClients(boost::asio::io_context& io, const boost::asio::ip::tcp::endpoint& to, Frontend frontend,
              std::size_t count, std::size_t most);
  ~RudeClients();
  RudeClients(const RudeClients&) = delete;
  RudeClients& operator=(const RudeClients&) = delete;
  std::size_t opened() const { return opened_; }
  std::size_t connected() const;

 private:
  struct One;
  void open(std::size_t place);
  void send(const std::shared_ptr<One>& one);
  void read(const std::shared_ptr<One>& one);
  void again(const std::shared_ptr<One>& one);

  boost::asio::io_context& io_;
  boost::asio::ip::tcp::endpoint to_;
  Frontend frontend_;
  std::size_t most_, opened_ = 0;
  std::vector<std::shared_ptr<One>> all_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::standin
