// Clients of the forwarder's RESP2 and HTTP frontends, and a reader of its stream of final outcomes.
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

// A message to submit.
struct Message {
  std::string id, messageClass, key, body;
  std::int64_t destination = 0;
  std::chrono::milliseconds timeToLive{8'000};
};

// The frontend's answer to one submission.
struct SubmitResult {
  enum class Kind { accepted, refused, failed, noAnswer };
  Kind kind = Kind::noAnswer;  // noAnswer: the connection failed before the answer
  std::int64_t retryInMs = 0;
  std::string detail;
};
// Name of the result for reports.
const char* toString(SubmitResult::Kind kind);

// Submits messages without blocking; not thread-safe. Each handler is called once, on the thread of the
// io_context, unless the client is destroyed first.
class Client {
 public:
  using ResultHandler = std::function<void(const SubmitResult&)>;
  virtual ~Client() = default;
  virtual void submit(const Message& message, ResultHandler onResult) = 0;
};

// Pipelines RESP2 commands over `connections` connections; a failed one is reopened for the next message.
std::unique_ptr<Client> makeRespClient(boost::asio::io_context& io, const tcp::endpoint& forwarder,
                                       std::size_t connections);
// Sends HTTP/1.1 requests, one at a time on each connection; requests without a free connection are queued.
std::unique_ptr<Client> makeHttpClient(boost::asio::io_context& io, const tcp::endpoint& forwarder,
                                       std::size_t connections);
// Sends HTTP batches: messages submitted within `batchWindow` form a batch of at most `maxBatchSize`.
std::unique_ptr<Client> makeBatchClient(boost::asio::io_context& io, const tcp::endpoint& forwarder,
                                        std::size_t maxBatchSize, std::chrono::milliseconds batchWindow);

// Reads the stream of final outcomes (GET /v1/ends); after a failure it reconnects and resumes from the last
// event. Not thread-safe: runs on the thread of the io_context.
class OutcomeStreamReader {
 public:
  OutcomeStreamReader(boost::asio::io_context& io, const tcp::endpoint& forwarder);
  ~OutcomeStreamReader();
  // Endpoint for the next connection.
  void setEndpoint(const tcp::endpoint& forwarder);
  // Final outcomes by message id. More than one for an id is a fault of the forwarder or a repeated position.
  const std::map<std::string, std::vector<std::string>>& finalOutcomes() const { return finalOutcomes_; }
  // Number of 'gap' and 'reset' events.
  std::size_t gapEvents() const { return gapEvents_; }
  // Number of events whose position did not follow the previous one.
  std::size_t sequenceErrors() const { return sequenceErrors_; }

 private:
  struct Connection;
  void openStream();
  void read(const std::shared_ptr<Connection>& connection);
  void scheduleReconnect();
  void handleEvent(const std::string& event);

  boost::asio::io_context& io_;
  tcp::endpoint forwarder_;
  std::string lastEventId_ = "0";
  std::uint64_t lastPosition_ = 0;
  std::map<std::string, std::vector<std::string>> finalOutcomes_;
  std::size_t gapEvents_ = 0, sequenceErrors_ = 0;
  std::shared_ptr<Connection> connection_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace quilltide::standin
