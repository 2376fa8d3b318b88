// Clients of both frontends: hand messages in and hear what the forwarder says of each.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quilltide::standin {

using boost::asio::ip::tcp;

struct Message {
  std::string id, cls, key, body;
  std::int64_t destination = 0;
  std::chrono::milliseconds left{8'000};
};

// What a client was told of one message.
struct Told {
  enum class Kind { taken, refused, failed, none };
  Kind kind = Kind::none;  // none: the connection broke before an answer came
  std::int64_t waitMs = 0;
  std::string detail;
};
const char* wordOf(Told::Kind kind);

class Client {
 public:
  using OnTold = std::function<void(const Told&)>;
  virtual ~Client() = default;
  virtual void submit(const Message& message, OnTold told) = 0;
};

// RESP2, pipelined over so many connections; a broken one is opened again by the next message.
std::unique_ptr<Client> respClient(boost::asio::io_context& io, const tcp::endpoint& to,
                                   std::size_t connections);
// HTTP/1.1, one request at a time on each of so many connections; what finds none free waits in line.
std::unique_ptr<Client> httpClient(boost::asio::io_context& io, const tcp::endpoint& to,
                                   std::size_t connections);
// Many messages in a request: what came within `gather` goes as one batch of at most `most`.
std::unique_ptr<Client> batchClient(boost::asio::io_context& io, const tcp::endpoint& to, std::size_t most,
                                    std::chrono::milliseconds gather);

// The stream of ends, read on from its last place whenever it breaks.
class EndsReader {
 public:
  EndsReader(boost::asio::io_context& io, const tcp::endpoint& to);
  ~EndsReader();
  void moveTo(const tcp::endpoint& to);  // the forwarder is elsewhere now
  // The finals told of each id; more than one is a defect of the forwarder, or a position told twice.
  const std::map<std::string, std::vector<std::string>>& finals() const { return finals_; }
  std::size_t gaps() const { return gaps_; }          // 'gap' and 'reset' events
  std::size_t disorder() const { return disorder_; }  // positions that did not follow the one before

 private:
  struct Link;
  void open();
  void read(const std::shared_ptr<Link>& link);
  void retry();
  void take(const std::string& event);

  boost::asio::io_context& io_;
  tcp::endpoint to_;
  std::string lastId_ = "0";
  std::uint64_t lastPosition_ = 0;
  std::map<std::string, std::vector<std::string>> finals_;
  std::size_t gaps_ = 0, disorder_ = 0;
  std::shared_ptr<Link> link_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::standin
