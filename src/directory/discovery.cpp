// The watch with its backoff, and notices posted until they are acknowledged.
#include "directory/discovery.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <iostream>

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr auto kSilence = milliseconds(5'000);  // an empty line comes every 2 s while nothing changes
constexpr auto kPostWait = milliseconds(1'000);
// From one try at the watch to the next. A service for everybody must not be asked by all at once after an
// outage; an agent on this machine costs nothing, and what it holds binds within a drain's grace.
constexpr int kServiceRetryMs = 100, kServiceRetryMostMs = 1'600;
constexpr int kAgentRetryMs = 20, kAgentRetryMostMs = 50;
constexpr std::size_t kMostInPost = 150;  // lines; far under the 64 KiB that a body may hold
constexpr std::size_t kLongestLine = 4 << 20;

milliseconds backoff(int failures, int first, int most) {
  return milliseconds(failures == 0 ? 0 : std::min(most, first << std::min(failures - 1, 10)));
}

}  // namespace

struct Discovery::Watch {
  explicit Watch(asio::io_context& io) : socket(io), timer(io) { parser.body_limit(boost::none); }
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  std::string text;
  bool answered = false, over = false;
};

struct Discovery::Post {
  explicit Post(asio::io_context& io) : socket(io), timer(io) {}
  tcp::socket socket;
  asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  std::optional<http::response_parser<http::string_body>> parser;
  bool busy = false, connected = false;
};

Discovery::Discovery(asio::io_context& io, const Config& config, OnDirectory directory, OnNoticed noticed)
    : io_(io),
      address_(config.discovery),
      names_(config.names),
      directory_(std::move(directory)),
      noticed_(std::move(noticed)),
      rev_(config.known.rev),
      random_(config.seed),
      retryMs_(config.settings.directoryOnRequest ? kServiceRetryMs : kAgentRetryMs),
      retryMostMs_(config.settings.directoryOnRequest ? kServiceRetryMostMs : kAgentRetryMostMs),
      delay_(io),
      retry_(io) {}

Discovery::~Discovery() {
  if (watch_) watch_->over = true;
}

// ---- The watch ----

void Discovery::watch(bool enable) {
  wanted_ = enable;
  // Its answer is on the way already; one that waits out its backoff must not begin to wait anew each time.
  if (enable && (delayed_ || (watch_ && !watch_->answered))) return;
  delay_.cancel();
  delayed_ = false;
  stopWatching();
  if (!enable) return;
  const double spread = 0.5 + 0.5 * std::uniform_real_distribution<double>()(random_);
  const auto wait =
      std::chrono::duration_cast<milliseconds>(spread * backoff(failures_, retryMs_, retryMostMs_));
  delayed_ = true;
  delay_.expires_after(wait);
  delay_.async_wait([this](error_code error) {
    if (!error) open();
  });
}

void Discovery::stopWatching() {
  if (!watch_) return;
  watch_->over = true;
  watch_->timer.cancel();
  error_code ignored;
  watch_->socket.close(ignored);
  watch_.reset();
}

// The failures were the old address's: nothing waits for them. What was posted there without an answer goes
// again, since a notice told twice does no harm. The module sees one watch that goes on.
void Discovery::moveTo(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  failures_ = postFailures_ = 0;
  if (wanted_) {
    delay_.cancel();
    stopWatching();
    open();
  }
  dropPost();
  retry_.cancel();
  posted_ = 0;
  flush();
}

void Discovery::open() {
  delayed_ = false;
  stopWatching();
  auto w = watch_ = std::make_shared<Watch>(io_);
  guard();
  w->socket.async_connect(address_, [this, w](error_code error) {
    if (w->over) return;
    if (error) return lost("no connection");
    w->request.method(http::verb::get);
    w->request.version(11);
    w->request.target("/discovery/hosts?watch=1&after=" + std::to_string(rev_));
    w->request.set(http::field::host, address_.address().to_string());
    http::async_write(w->socket, w->request, [this, w](error_code failed, std::size_t) {
      if (w->over) return;
      if (failed) return lost("the request was not written");
      http::async_read_header(w->socket, w->buffer, w->parser, [this, w](error_code bad, std::size_t) {
        if (w->over) return;
        if (bad) return lost("no answer");
        if (w->parser.get().result_int() != 200) return lost("refused");
        guard();
        readMore();
      });
    });
  });
}

// A cut-off discovery leaves the connection open and silent.
void Discovery::guard() {
  auto w = watch_;
  w->timer.expires_after(kSilence);
  w->timer.async_wait([this, w](error_code error) {
    if (!error && !w->over) lost("silent");
  });
}

void Discovery::readMore() {
  auto w = watch_;
  http::async_read_some(w->socket, w->buffer, w->parser, [this, w](error_code error, std::size_t) {
    if (w->over) return;
    std::string& body = w->parser.get().body();
    w->text += body;
    body.clear();
    if (w->text.size() > kLongestLine) return lost("a line without end");
    guard();
    for (std::size_t end; (end = w->text.find('\n')) != std::string::npos;) {
      const std::string line = w->text.substr(0, end);
      w->text.erase(0, end + 1);
      const bool empty = line.find_first_not_of(" \r\t") == std::string::npos;
      if (empty && w->answered) continue;
      w->answered = true;
      std::optional<Directory> list;
      try {
        // A keep-alive before any list says that the watch stands and nothing has changed.
        list = empty ? Directory{rev_, {ViewScope::changes, {}}, {}}
                     : parseDirectory(nlohmann::json::parse(line), names_);
      } catch (const std::exception& problem) {
        return lost(problem.what());
      }
      rev_ = list->rev;
      failures_ = 0;
      directory_(std::move(list));
      if (w->over) return;
    }
    if (error || w->parser.is_done()) return lost("ended");
    readMore();
  });
}

void Discovery::lost(const char* why) {
  std::cerr << "discovery: the watch is lost: " << why << std::endl;
  ++failures_;
  stopWatching();
  directory_(std::nullopt);
}

// ---- Notices ----

void Discovery::notice(const std::string& id, const Notice& notice) {
  nlohmann::json line = {{"message", id}, {"outcome", notice.handedBack ? "handed_back" : "given_up"}};
  if (notice.handedBack && notice.retryInMs > 0) line["retry_in_ms"] = notice.retryInMs;
  // Ids are a client's bytes: what is no text must not stop the others.
  notices_.emplace_back(id, line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) + "\n");
  // What ends in the same turn of the loop travels together.
  asio::post(io_, [this] { flush(); });
}

void Discovery::flush() {
  if (notices_.empty() || posted_ > 0) return;
  if (!post_) post_ = std::make_shared<Post>(io_);
  auto p = post_;
  posted_ = std::min(notices_.size(), kMostInPost);
  p->request = {};
  p->request.method(http::verb::post);
  p->request.version(11);
  p->request.target("/status");
  p->request.set(http::field::host, address_.address().to_string());
  p->request.set(http::field::content_type, "application/x-ndjson");
  for (std::size_t i = 0; i < posted_; ++i) p->request.body() += notices_[i].second;
  p->request.prepare_payload();
  p->parser.emplace();
  p->timer.expires_after(kPostWait);
  p->timer.async_wait([this, p](error_code error) {
    if (!error && p == post_) sent(false);
  });
  auto write = [this, p] {
    http::async_write(p->socket, p->request, [this, p](error_code error, std::size_t) {
      if (p != post_) return;
      if (error) return sent(false);
      http::async_read(p->socket, p->buffer, *p->parser, [this, p](error_code failed, std::size_t) {
        if (p == post_) sent(!failed && p->parser->get().result_int() == 204);
      });
    });
  };
  if (p->connected) return write();
  p->socket.async_connect(address_, [this, p, write](error_code error) {
    if (p != post_) return;
    if (error) return sent(false);
    p->connected = true;
    error_code ignored;
    p->socket.set_option(tcp::no_delay(true), ignored);
    write();
  });
}

void Discovery::dropPost() {
  if (!post_) return;
  post_->timer.cancel();
  error_code ignored;
  post_->socket.close(ignored);
  post_.reset();
}

// Anything but 204 goes again on a new connection: a notice told twice does no harm, an untold one is a loss.
void Discovery::sent(bool acknowledged) {
  auto p = post_;
  p->timer.cancel();
  const std::size_t count = std::exchange(posted_, 0);
  if (!acknowledged || !p->parser->keep_alive()) dropPost();
  if (acknowledged) {
    postFailures_ = 0;
    std::vector<std::string> ids;
    for (std::size_t i = 0; i < count; ++i) ids.push_back(notices_[i].first);
    notices_.erase(notices_.begin(), notices_.begin() + static_cast<std::ptrdiff_t>(count));
    noticed_(ids);
    return flush();
  }
  ++postFailures_;
  posted_ = notices_.size() + 1;  // nothing goes out while the retry waits
  retry_.expires_after(backoff(postFailures_, 20, 250));
  retry_.async_wait([this](error_code error) {
    if (error || post_) return;
    posted_ = 0;
    flush();
  });
}

}  // namespace quilltide::net
