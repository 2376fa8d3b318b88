#include "intake.hpp"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <array>
#include <boost/asio/write.hpp>
#include <charconv>
#include <deque>
#include <iostream>
#include <optional>
#include <stdexcept>

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;

constexpr std::size_t kLongestBody = 64 * 1024;
constexpr std::size_t kLongestId = 256;
constexpr std::size_t kMostUnread = 128 * 1024;  // of one request; more cannot be told from a flood
constexpr std::size_t kMostWords = 64;
constexpr std::size_t kMostWaiting = 256;  // requests of one client without an answer yet
constexpr auto kPause = std::chrono::milliseconds(20);

struct BadRequest : std::runtime_error {
  using std::runtime_error::runtime_error;
};

std::int64_t wholeNumber(const std::string& name, const std::string& text) {
  std::int64_t value = 0;
  const auto [end, bad] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (bad != std::errc() || end != text.data() + text.size())
    throw BadRequest(name + " is not a whole number");
  return value;
}

// hiredis makes room for as many words as the first line names: a line of a few bytes must not take
// gigabytes.
void* createArray(const redisReadTask* task, size_t elements) {
  if (elements > kMostWords) return nullptr;
  static redisReplyObjectFunctions* const plain = [] {
    redisReader* reader = redisReaderCreate();
    redisReplyObjectFunctions* functions = reader->fn;
    redisReaderFree(reader);
    return functions;
  }();
  return plain->createArray(task, static_cast<int>(elements));
}

}  // namespace

class Intake::Client : public std::enable_shared_from_this<Intake::Client> {
 public:
  Client(Intake& home, tcp::socket socket)
      : home_(&home), socket_(std::move(socket)), reader_(redisReaderCreate(), redisReaderFree) {
    functions_ = *reader_->fn;
    functions_.createArray = [](const redisReadTask* task, auto elements) {
      return createArray(task, static_cast<size_t>(elements));
    };
    reader_->fn = &functions_;
  }

  void start() {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    read();
  }

  void finish() {
    ending_ = true;
    flush();
  }

  bool waiting() const { return !answers_.empty() || !out_.empty() || writing_ || (!ending_ && unread_ > 0); }

  void answer(std::size_t slot, const std::string& reply) {
    if (closed_ || slot < first_ || slot - first_ >= answers_.size()) return;
    answers_[slot - first_] = reply + "\r\n";
    flush();
  }

  void close() {
    if (closed_) return;
    closed_ = true;
    error_code ignored;
    socket_.close(ignored);
    if (home_ != nullptr) {
      home_->clients_.remove_if([this](const auto& c) { return c.get() == this; });
    }
  }
  void orphan() {
    home_ = nullptr;
    close();
  }

 private:
  using Reader = std::unique_ptr<redisReader, decltype(&redisReaderFree)>;

  void read() {
    if (closed_ || ending_ || reading_ || answers_.size() >= kMostWaiting) return;
    reading_ = true;
    socket_.async_read_some(asio::buffer(in_),
                            [this, self = shared_from_this()](error_code error, std::size_t n) {
                              reading_ = false;
                              if (closed_) return;
                              if (error) {
                                // The client ended its sending; what it asked before is still answered.
                                ending_ = true;
                                if (error != asio::error::eof || !waiting()) close();
                                return;
                              }
                              unread_ += n;
                              redisReaderFeed(reader_.get(), in_.data(), n);
                              parse();
                              flush();
                              read();
                            });
  }

  void parse() {
    while (!ending_) {
      void* raw = nullptr;
      if (redisReaderGetReply(reader_.get(), &raw) != REDIS_OK) return refuse("ERR protocol error");
      if (raw == nullptr) break;
      unread_ = reader_->len - reader_->pos;
      const std::unique_ptr<void, decltype(&freeReplyObject)> owner(raw, freeReplyObject);
      take(*static_cast<redisReply*>(raw));
    }
    // What hiredis has read of a request it holds outside its buffer, so the buffer's length does not tell.
    if (!ending_ && unread_ > kMostUnread) refuse("ERR request too long");
  }

  // Framing is lost: this is the last answer here.
  void refuse(const char* why) {
    answers_.emplace_back(std::string("-") + why + "\r\n");
    ending_ = true;
  }

  void take(const redisReply& request) {
    const std::size_t slot = first_ + answers_.size();
    answers_.emplace_back();
    std::vector<std::string> words;
    bool plain = request.type == REDIS_REPLY_ARRAY && request.elements > 0;
    for (std::size_t i = 0; plain && i < request.elements; ++i) {
      const redisReply& word = *request.element[i];
      plain = word.type == REDIS_REPLY_STRING;
      if (plain) words.emplace_back(word.str, static_cast<std::size_t>(word.len));
    }
    const std::string reply =
        plain ? home_->submit(words, shared_from_this(), slot) : "-ERR a request is an array of bulk strings";
    if (!reply.empty()) answers_[slot - first_] = reply + "\r\n";
    home_->clients_.remove_if([this](const auto& c) { return c.get() == this; });
    home_->clients_.push_back(shared_from_this());
  }

  void flush() {
    if (closed_ || writing_) return;
    while (!answers_.empty() && answers_.front()) {
      out_ += *answers_.front();
      answers_.pop_front();
      ++first_;
    }
    if (out_.empty()) {
      if (ending_ && answers_.empty()) close();
      return;
    }
    writing_ = true;
    sending_.swap(out_);
    out_.clear();
    asio::async_write(socket_, asio::buffer(sending_),
                      [this, self = shared_from_this()](error_code error, std::size_t) {
                        writing_ = false;
                        if (closed_) return;
                        if (error) return close();
                        flush();
                        read();
                      });
  }

  Intake* home_;
  tcp::socket socket_;
  Reader reader_;
  redisReplyObjectFunctions functions_{};
  std::array<char, 16 * 1024> in_;
  std::deque<std::optional<std::string>> answers_;  // in the order of the requests
  std::size_t first_ = 0;
  std::size_t unread_ = 0;  // bytes since the last whole request
  std::string out_, sending_;
  bool reading_ = false, writing_ = false, ending_ = false, closed_ = false;
};

Intake::Intake(asio::io_context& io, const Config& config, OnSubmission submission)
    : io_(io),
      listen_(config.listen),
      names_(config.names),
      most_(std::max<std::size_t>(8, config.sockets / 4)),
      submission_(std::move(submission)),
      acceptor_(io),
      pause_(io) {}

Intake::~Intake() {
  for (const auto& client : std::list<std::shared_ptr<Client>>(clients_)) client->orphan();
}

void Intake::listen() {
  acceptor_.open(listen_.protocol());
  acceptor_.set_option(tcp::acceptor::reuse_address(true));
  acceptor_.bind(listen_);
  acceptor_.listen(asio::socket_base::max_listen_connections);
  accept();
}

void Intake::finish() {
  error_code ignored;
  pause_.cancel();
  acceptor_.close(ignored);
  for (const auto& client : std::list<std::shared_ptr<Client>>(clients_)) client->finish();
}

// With every place taken the longest unused client makes room, but never one that waits for an answer.
bool Intake::dropIdle() {
  for (const auto& client : clients_) {
    if (client->waiting()) continue;
    const auto kept = client;
    kept->close();
    return true;
  }
  return false;
}

void Intake::accept() {
  if (clients_.size() >= most_ && !dropIdle()) {
    pause_.expires_after(kPause);
    pause_.async_wait([this](error_code error) {
      if (!error) accept();
    });
    return;
  }
  acceptor_.async_accept([this](error_code error, tcp::socket socket) {
    if (error == asio::error::operation_aborted) return;
    if (error) {  // out of descriptors, or the client has gone: neither may end the service
      std::cerr << "intake: accept: " << error.message() << std::endl;
      if (error == asio::error::no_descriptors) dropIdle();
      pause_.expires_after(kPause);
      pause_.async_wait([this](error_code cancelled) {
        if (!cancelled) accept();
      });
      return;
    }
    auto client = std::make_shared<Client>(*this, std::move(socket));
    clients_.push_back(client);
    client->start();
    accept();
  });
}

// The answer, or nothing if it comes later.
std::string Intake::submit(const std::vector<std::string>& words, const std::shared_ptr<Client>& client,
                           std::size_t slot) {
  std::string verb = words.front();
  std::transform(verb.begin(), verb.end(), verb.begin(), [](unsigned char c) { return std::toupper(c); });
  if (verb == "PING") return words.size() == 1 ? "+PONG" : "-ERR PING takes no argument";
  if (verb != "ENQUEUE") return "-ERR unknown command";
  try {
    if (words.size() != 5) throw BadRequest("ENQUEUE takes a key, an id, a list of values and a body");
    Submission s;
    s.id = words[2];
    const bool word =
        std::all_of(s.id.begin(), s.id.end(), [](unsigned char c) { return c > 32 && c < 127; });
    if (s.id.empty() || s.id.size() > kLongestId || !word) throw BadRequest("the id is not a word");
    s.body = words[4];
    if (s.body.size() > kLongestBody) throw BadRequest("the body is longer than 64 KiB");
    std::string cls;
    std::optional<std::int64_t> left, destination;
    for (std::size_t at = 0; at < words[3].size();) {
      const std::size_t end = std::min(words[3].find(',', at), words[3].size());
      const std::string pair = words[3].substr(at, end - at);
      const std::size_t equals = pair.find('=');
      if (equals == std::string::npos) throw BadRequest("a value without '='");
      const std::string name = pair.substr(0, equals), value = pair.substr(equals + 1);
      if (name == "c") cls = value;
      if (name == "d") left = wholeNumber("d", value);
      if (name == "dest") destination = wholeNumber("dest", value);
      if (name == "k") s.key = value;
      at = end + 1;
    }
    const auto known = std::find(names_.classes.begin(), names_.classes.end(), cls);
    if (known == names_.classes.end()) throw BadRequest("unknown class");
    s.messageClass = static_cast<int>(known - names_.classes.begin());
    if (!left || *left <= 0 || *left > 86'400'000) throw BadRequest("d is not a time that is left");
    s.left = *left * 1000;
    if (!destination) throw BadRequest("dest is missing");
    s.destination = *destination;
    const bool safe =
        std::all_of(s.key.begin(), s.key.end(), [](unsigned char c) { return c > 32 && c < 127; });
    if (s.key.size() > kLongestId || !safe) throw BadRequest("the key is not a word");
    submission_(std::move(s), [client, slot](const std::string& reply) { client->answer(slot, reply); });
    return "";
  } catch (const BadRequest& problem) {
    return std::string("-ERR ") + problem.what();
  }
}

}  // namespace quilltide::net
