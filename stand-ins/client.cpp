// Implementation of the clients and of the outcome stream reader.
#include "client.hpp"

#include <array>
#include <boost/asio/connect.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <deque>
#include <nlohmann/json.hpp>

namespace quilltide::standin {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using nlohmann::json;

namespace {

// ---- RESP2 ----

class RespClient : public Client {
 public:
  RespClient(asio::io_context& io, const tcp::endpoint& forwarder, std::size_t connections)
      : io_(io), forwarder_(forwarder), connections_(connections) {}
  ~RespClient() override {
    for (const auto& connection : connections_) {
      if (connection) connection->fail(false);
    }
  }

  void submit(const Message& message, ResultHandler onResult) override {
    auto& connection = connections_[nextConnection_++ % connections_.size()];
    if (!connection || connection->broken) {
      connection = std::make_shared<Connection>(io_);
      connection->connect(forwarder_);
    }
    const std::string metadata =
        "c=" + message.messageClass + ",d=" + std::to_string(message.timeToLive.count()) +
        (message.key.empty() ? "" : ",k=" + message.key) + ",dest=" + std::to_string(message.destination);
    std::string& queued = connection->queued;
    queued += "*5\r\n";
    for (const std::string* argument : {&kEnqueue, &kZero, &message.id, &metadata, &message.body})
      queued += "$" + std::to_string(argument->size()) + "\r\n" + *argument + "\r\n";
    connection->pendingHandlers.push_back(std::move(onResult));
    connection->flush();
  }

 private:
  inline static const std::string kEnqueue = "ENQUEUE", kZero = "0000000000000000";

  struct Connection : std::enable_shared_from_this<Connection> {
    explicit Connection(asio::io_context& io) : socket(io) {}
    void connect(const tcp::endpoint& forwarder) {
      socket.async_connect(forwarder, [self = shared_from_this()](error_code error) {
        if (self->broken) return;
        if (error) return self->fail(true);
        error_code ignored;
        self->socket.set_option(tcp::no_delay(true), ignored);
        self->connected = true;
        self->flush();
        self->read();
      });
    }
    void flush() {
      if (!connected || writing || queued.empty()) return;
      writing = true;
      sending.swap(queued);
      queued.clear();
      asio::async_write(socket, asio::buffer(sending),
                        [self = shared_from_this()](error_code error, std::size_t) {
                          self->writing = false;
                          if (self->broken) return;
                          if (error) return self->fail(true);
                          self->flush();
                        });
    }
    void read() {
      socket.async_read_some(
          asio::buffer(readBuffer), [self = shared_from_this()](error_code error, std::size_t bytes) {
            if (self->broken) return;
            if (error) return self->fail(true);
            self->received.append(self->readBuffer.data(), bytes);
            std::size_t lineStart = 0;
            for (std::size_t end; (end = self->received.find("\r\n", lineStart)) != std::string::npos;
                 lineStart = end + 2)
              self->handleReply(self->received.substr(lineStart, end - lineStart));
            self->received.erase(0, lineStart);
            self->read();
          });
    }
    void handleReply(const std::string& line) {
      if (pendingHandlers.empty()) return;
      const auto onResult = std::move(pendingHandlers.front());
      pendingHandlers.pop_front();
      SubmitResult result;
      result.detail = line;
      result.kind = line.starts_with("+")       ? SubmitResult::Kind::accepted
                    : line.starts_with("-BUSY") ? SubmitResult::Kind::refused
                                                : SubmitResult::Kind::failed;
      if (line.starts_with("-BUSY "))
        std::from_chars(line.data() + 6, line.data() + line.size(), result.retryInMs);
      onResult(result);
    }
    void fail(bool notifyHandlers) {
      if (broken) return;
      broken = true;
      error_code ignored;
      socket.close(ignored);
      for (const auto& onResult : std::exchange(pendingHandlers, {})) {
        if (notifyHandlers) onResult({});
      }
    }
    tcp::socket socket;
    std::array<char, 16 * 1024> readBuffer;
    std::string queued, sending, received;
    std::deque<ResultHandler> pendingHandlers;
    bool connected = false, writing = false, broken = false;
  };

  asio::io_context& io_;
  tcp::endpoint forwarder_;
  std::vector<std::shared_ptr<Connection>> connections_;
  std::size_t nextConnection_ = 0;
};

// ---- HTTP ----

SubmitResult resultOf(int status, const json& body) {
  SubmitResult result;
  result.detail = std::to_string(status);
  result.kind = status == 200 || status == 202   ? SubmitResult::Kind::accepted
                : status == 429 || status == 503 ? SubmitResult::Kind::refused
                                                 : SubmitResult::Kind::failed;
  if (body.is_object()) {
    result.retryInMs = body.value("retry_in_ms", 0);
    result.detail += " " + body.value("detail", "");
  }
  return result;
}

// Sends requests over a pool of keep-alive connections, in the order of the calls. The handler gets nullptr
// if the connection failed.
class HttpPool : public std::enable_shared_from_this<HttpPool> {
 public:
  using Request = http::request<http::string_body>;
  using ResponseHandler = std::function<void(const http::response<http::string_body>*)>;

  HttpPool(asio::io_context& io, const tcp::endpoint& forwarder, std::size_t maxConnections)
      : io_(io), forwarder_(forwarder), maxConnections_(maxConnections) {}
  void send(Request request, ResponseHandler onResponse) {
    request.set(http::field::host, "forwarder");
    request.prepare_payload();
    queue_.emplace_back(std::move(request), std::move(onResponse));
    sendQueued();
  }
  void stop() {
    stopped_ = true;
    error_code ignored;
    for (const auto& weak : connections_) {
      if (const auto connection = weak.lock()) connection->socket.close(ignored);
    }
    idleConnections_.clear();
  }

 private:
  struct Connection {
    explicit Connection(asio::io_context& io) : socket(io) {}
    tcp::socket socket;
    boost::beast::flat_buffer buffer;
    Request request;
    ResponseHandler onResponse;
    http::response<http::string_body> response;
    bool hasAnswered = false;  // the server may have closed the connection while it was idle
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void sendQueued() {
    while (!stopped_ && !queue_.empty() &&
           (!idleConnections_.empty() || openConnections_ < maxConnections_)) {
      auto [request, onResponse] = std::move(queue_.front());
      queue_.pop_front();
      ConnectionPtr connection;
      const bool isNew = idleConnections_.empty();
      if (isNew) {
        connection = std::make_shared<Connection>(io_);
        std::erase_if(connections_, [](const auto& other) { return other.expired(); });
        connections_.push_back(connection);
        ++openConnections_;
      } else {
        connection = idleConnections_.back();
        idleConnections_.pop_back();
      }
      connection->request = std::move(request);
      connection->onResponse = std::move(onResponse);
      if (!isNew) {
        sendRequest(connection);
        continue;
      }
      connection->socket.async_connect(forwarder_,
                                       [this, self = shared_from_this(), connection](error_code error) {
                                         if (error) return handleFailure(connection);
                                         error_code ignored;
                                         connection->socket.set_option(tcp::no_delay(true), ignored);
                                         sendRequest(connection);
                                       });
    }
  }
  void sendRequest(const ConnectionPtr& connection) {
    connection->response = {};
    http::async_write(connection->socket, connection->request,
                      [this, self = shared_from_this(), connection](error_code error, std::size_t) {
                        if (error) return handleFailure(connection);
                        http::async_read(connection->socket, connection->buffer, connection->response,
                                         [this, self, connection](error_code failed, std::size_t) {
                                           if (failed) return handleFailure(connection);
                                           handleResponse(connection);
                                         });
                      });
  }
  void handleResponse(const ConnectionPtr& connection) {
    const ResponseHandler onResponse = std::move(connection->onResponse);
    const auto response = std::move(connection->response);
    connection->hasAnswered = true;
    if (response.keep_alive() && !stopped_) {
      idleConnections_.push_back(connection);
    } else {
      --openConnections_;
    }
    if (stopped_) return;
    onResponse(&response);
    sendQueued();
  }
  void handleFailure(const ConnectionPtr& connection) {
    --openConnections_;
    if (stopped_) return;
    connection->onResponse(nullptr);
    sendQueued();
  }

  asio::io_context& io_;
  tcp::endpoint forwarder_;
  std::size_t maxConnections_, openConnections_ = 0;
  std::deque<std::pair<Request, ResponseHandler>> queue_;
  std::vector<ConnectionPtr> idleConnections_;
  std::vector<std::weak_ptr<Connection>> connections_;
  bool stopped_ = false;
};

class HttpClient : public Client {
 public:
  HttpClient(asio::io_context& io, const tcp::endpoint& forwarder, std::size_t connections)
      : pool_(std::make_shared<HttpPool>(io, forwarder, connections)) {}
  ~HttpClient() override { pool_->stop(); }
  void submit(const Message& message, ResultHandler onResult) override {
    HttpPool::Request request(http::verb::post, "/v1/messages", 11);
    request.set("Message-Id", message.id);
    request.set("Message-Class", message.messageClass);
    request.set("Message-Destination", std::to_string(message.destination));
    request.set("Message-Time-Left-Ms", std::to_string(message.timeToLive.count()));
    if (!message.key.empty()) request.set("Idempotency-Key", message.key);
    request.body() = message.body;
    pool_->send(std::move(request), [onResult](const auto* response) {
      if (response == nullptr) return onResult({});
      onResult(
          resultOf(static_cast<int>(response->result_int()), json::parse(response->body(), nullptr, false)));
    });
  }

 private:
  std::shared_ptr<HttpPool> pool_;
};

class BatchClient : public Client {
 public:
  BatchClient(asio::io_context& io, const tcp::endpoint& forwarder, std::size_t maxBatchSize,
              std::chrono::milliseconds batchWindow)
      : timer_(io),
        maxBatchSize_(maxBatchSize),
        batchWindow_(batchWindow),
        pool_(std::make_shared<HttpPool>(io, forwarder, 8)) {}
  ~BatchClient() override { pool_->stop(); }
  void submit(const Message& message, ResultHandler onResult) override {
    json line = {{"id", message.id},
                 {"class", message.messageClass},
                 {"destination", message.destination},
                 {"time_left_ms", message.timeToLive.count()},
                 {"body", message.body}};
    if (!message.key.empty()) line["key"] = message.key;
    body_ += line.dump() + "\n";
    pendingHandlers_.push_back(std::move(onResult));
    if (pendingHandlers_.size() >= maxBatchSize_) return flush();
    if (pendingHandlers_.size() > 1) return;
    timer_.expires_after(batchWindow_);
    timer_.async_wait([this](error_code error) {
      if (!error) flush();
    });
  }

 private:
  void flush() {
    timer_.cancel();
    HttpPool::Request request(http::verb::post, "/v1/messages/batch", 11);
    request.body() = std::exchange(body_, {});
    pool_->send(std::move(request), [handlers = std::exchange(pendingHandlers_, {})](const auto* response) {
      std::vector<SubmitResult> results(handlers.size());
      if (response != nullptr) {
        std::size_t lineStart = 0;
        const std::string& text = response->body();
        for (SubmitResult& result : results) {
          const std::size_t end = std::min(text.find('\n', lineStart), text.size());
          const json line = json::parse(
              text.substr(std::min(lineStart, text.size()), end - std::min(lineStart, text.size())), nullptr,
              false);
          result = resultOf(response->result_int() == 200 && line.is_object()
                                ? line.value("status", 0)
                                : static_cast<int>(response->result_int()),
                            line);
          lineStart = end + 1;
        }
      }
      for (std::size_t i = 0; i < handlers.size(); ++i) handlers[i](results[i]);
    });
  }
  asio::steady_timer timer_;
  std::size_t maxBatchSize_;
  std::chrono::milliseconds batchWindow_;
  std::string body_;
  std::vector<ResultHandler> pendingHandlers_;
  std::shared_ptr<HttpPool> pool_;
};

}  // namespace

const char* toString(SubmitResult::Kind kind) {
  switch (kind) {
    case SubmitResult::Kind::accepted:
      return "taken";
    case SubmitResult::Kind::refused:
      return "refused";
    case SubmitResult::Kind::failed:
      return "failed";
    case SubmitResult::Kind::noAnswer:
      break;
  }
  return "no answer";
}

std::unique_ptr<Client> makeRespClient(asio::io_context& io, const tcp::endpoint& forwarder,
                                       std::size_t connections) {
  return std::make_unique<RespClient>(io, forwarder, connections);
}
std::unique_ptr<Client> makeHttpClient(asio::io_context& io, const tcp::endpoint& forwarder,
                                       std::size_t connections) {
  return std::make_unique<HttpClient>(io, forwarder, connections);
}
std::unique_ptr<Client> makeBatchClient(asio::io_context& io, const tcp::endpoint& forwarder,
                                        std::size_t maxBatchSize, std::chrono::milliseconds batchWindow) {
  return std::make_unique<BatchClient>(io, forwarder, maxBatchSize, batchWindow);
}

// ---- Outcome stream ----

struct OutcomeStreamReader::Connection {
  explicit Connection(asio::io_context& io) : socket(io), timer(io) {}
  tcp::socket socket;
  asio::steady_timer timer;
  std::string request, received;
  std::array<char, 16 * 1024> readBuffer;
  bool headReceived = false;
};

OutcomeStreamReader::OutcomeStreamReader(asio::io_context& io, const tcp::endpoint& forwarder)
    : io_(io), forwarder_(forwarder) {
  openStream();
}

OutcomeStreamReader::~OutcomeStreamReader() {
  *alive_ = false;
  error_code ignored;
  connection_->timer.cancel();
  connection_->socket.close(ignored);
}

void OutcomeStreamReader::setEndpoint(const tcp::endpoint& forwarder) { forwarder_ = forwarder; }

void OutcomeStreamReader::openStream() {
  connection_ = std::make_shared<Connection>(io_);
  connection_->socket.async_connect(
      forwarder_, [this, connection = connection_, alive = alive_](error_code error) {
        if (!*alive) return;
        if (error) return scheduleReconnect();
        connection->request =
            "GET /v1/ends HTTP/1.1\r\nHost: forwarder\r\nLast-Event-ID: " + lastEventId_ + "\r\n\r\n";
        asio::async_write(connection->socket, asio::buffer(connection->request),
                          [this, connection, alive](error_code failed, std::size_t) {
                            if (!*alive) return;
                            if (failed) return scheduleReconnect();
                            read(connection);
                          });
      });
}

void OutcomeStreamReader::scheduleReconnect() {
  connection_->timer.expires_after(std::chrono::milliseconds(30));
  connection_->timer.async_wait([this, alive = alive_](error_code error) {
    if (!error && *alive) openStream();
  });
}

void OutcomeStreamReader::read(const std::shared_ptr<Connection>& connection) {
  connection->socket.async_read_some(
      asio::buffer(connection->readBuffer),
      [this, connection, alive = alive_](error_code error, std::size_t bytes) {
        if (!*alive) return;
        if (error) return scheduleReconnect();
        connection->received.append(connection->readBuffer.data(), bytes);
        if (!connection->headReceived) {
          const std::size_t end = connection->received.find("\r\n\r\n");
          if (end == std::string::npos) return read(connection);
          if (!connection->received.starts_with("HTTP/1.1 200")) return scheduleReconnect();
          connection->received.erase(0, end + 4);
          connection->headReceived = true;
        }
        std::size_t eventStart = 0;
        for (std::size_t end; (end = connection->received.find("\n\n", eventStart)) != std::string::npos;
             eventStart = end + 2)
          handleEvent(connection->received.substr(eventStart, end - eventStart));
        connection->received.erase(0, eventStart);
        read(connection);
      });
}

void OutcomeStreamReader::handleEvent(const std::string& event) {
  const auto field = [&](const std::string& name) {
    const std::size_t at = event.starts_with(name + ": ") ? 0 : event.find("\n" + name + ": ");
    if (at == std::string::npos) return std::string();
    const std::size_t from = event.find(": ", at) + 2;
    return event.substr(from, event.find('\n', from) - from);
  };
  const std::string eventName = field("event");
  if (eventName == "gap" || eventName == "reset") ++gapEvents_;
  if (eventName == "reset") lastPosition_ = 0;
  if (eventName != "end") return;
  const json data = json::parse(field("data"));
  const auto position = data.at("position").get<std::uint64_t>();
  if (lastPosition_ != 0 && position != lastPosition_ + 1) ++sequenceErrors_;
  lastPosition_ = position;
  lastEventId_ = field("id");
  finalOutcomes_[data.at("id").get<std::string>()].push_back(data.at("final").get<std::string>());
}

}  // namespace quilltide::standin
