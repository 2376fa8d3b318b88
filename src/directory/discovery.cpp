// The watch: what comes on it, how its silence is found, and its backoff.
#include "directory/discovery.hpp"

#include <algorithm>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <iostream>

#include "directory/values.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

// An empty line comes every 2 s while nothing changes, and what a silent watch misses binds 6 s after its
// silence began.
constexpr auto kSilence = milliseconds(3'000);
// A watch that takes a silent one's place has so long for its first line, then twice as long: with the
// silence itself two of them fit into the 6 s. Else a service that is asked by all at once may take its time.
constexpr auto kFirstLine = milliseconds(1'200);
constexpr auto kPatience = milliseconds(5'000);
constexpr int kSilentInARow = 3;
constexpr double kSpreadMs = 200;  // watches that fell silent together are not all opened at one instant
constexpr std::size_t kProgress = 4 * 1024;  // bytes of a long list that are a sign of life as good as a line
// From one try at the watch to the next. A service for everybody must not be asked by all at once after an
// outage; an agent on this machine costs nothing, and what it holds binds within a drain's grace.
constexpr int kServiceRetryMs = 100, kServiceRetryMostMs = 1'600;
constexpr int kAgentRetryMs = 20, kAgentRetryMostMs = 50;

milliseconds backoff(int failures, int first, int most) {
  return milliseconds(failures == 0 ? 0 : std::min(most, first << std::min(failures - 1, 10)));
}

}  // namespace

struct Discovery::Watch {
  explicit Watch(asio::io_context& io) : socket(io), alarm(io) { parser.body_limit(boost::none); }
  tcp::socket socket;
  clocks::Alarm alarm;
  boost::beast::flat_buffer buffer;
  http::request<http::empty_body> request;
  http::response_parser<http::string_body> parser;
  Values values;
  std::size_t since = 0;  // bytes since the last sign of life
  bool answered = false, over = false;
};

Discovery::Discovery(asio::io_context& io, const Config& config, OnDirectory directory, OnNoticed noticed)
    : io_(io),
      address_(config.discovery),
      names_(config.names),
      directory_(std::move(directory)),
      rev_(config.known.rev),
      random_(config.seed),
      retryMs_(config.settings.directoryOnRequest ? kServiceRetryMs : kAgentRetryMs),
      retryMostMs_(config.settings.directoryOnRequest ? kServiceRetryMostMs : kAgentRetryMostMs),
      delay_(io),
      notices_(io, config.discovery, std::move(noticed)) {}

Discovery::~Discovery() {
  if (watch_) watch_->over = true;
}

// ---- The watch ----

void Discovery::watch(bool enable) {
  wanted_ = enable;
  // Its answer is on the way already; one that waits out its backoff must not begin to wait anew each time.
  if (enable && (delayed_ || (watch_ && !watch_->answered))) return;
  delay_.off();
  delayed_ = false;
  silent_ = 0;
  stopWatching();
  if (!enable) return;
  const double spread = 0.5 + 0.5 * std::uniform_real_distribution<double>()(random_);
  const auto wait =
      std::chrono::duration_cast<milliseconds>(spread * backoff(failures_, retryMs_, retryMostMs_));
  delayed_ = true;
  delay_.in(wait, [this] { open(); });
}

void Discovery::stopWatching() {
  if (!watch_) return;
  watch_->over = true;
  watch_->alarm.off();
  error_code ignored;
  watch_->socket.close(ignored);
  watch_.reset();
}

// The failures were the old address's: nothing waits for them. Its versions say nothing of the new one's,
// which may be lower: that one is asked for all there is. The module sees one watch that goes on.
void Discovery::moveTo(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  failures_ = silent_ = 0;
  rev_ = 0;
  if (wanted_) {
    delay_.off();
    open();
  }
  notices_.moveTo(address);
}

void Discovery::open() {
  delayed_ = false;
  stopWatching();
  auto w = watch_ = std::make_shared<Watch>(io_);
  guard(silent_ == 0 ? kPatience : kFirstLine * silent_);
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
        readMore();
      });
    });
  });
}

// A cut-off discovery leaves the connection open and silent. Such a watch is opened anew from here, a few
// times: the module, which spreads what a whole fleet asks, need not know.
void Discovery::guard(milliseconds within) {
  auto w = watch_;
  w->since = 0;
  w->alarm.in(within, [this, w] {
    if (w->over) return;
    if (silent_ == kSilentInARow) return lost("silent");
    std::cerr << "discovery: the watch is silent and opened anew" << std::endl;
    ++silent_;
    stopWatching();
    delayed_ = true;
    delay_.in(milliseconds(static_cast<int>(kSpreadMs * std::uniform_real_distribution<double>()(random_))),
              [this] { open(); });
  });
}

void Discovery::readMore() {
  auto w = watch_;
  http::async_read_some(w->socket, w->buffer, w->parser, [this, w](error_code error, std::size_t count) {
    if (w->over) return;
    std::string& body = w->parser.get().body();
    w->values.feed(body);
    body.clear();
    if ((w->since += count) >= kProgress) guard(kSilence);
    std::string text;
    for (Values::Next next; (next = w->values.next(text)) != Values::Next::more;) {
      if (next == Values::Next::unreadable) return lost("what came is no list");
      guard(kSilence);
      silent_ = 0;
      const bool empty = next == Values::Next::blankLine;
      if (empty && w->answered) continue;
      w->answered = true;
      std::optional<Directory> list;
      try {
        // A keep-alive before any list says that the watch stands and nothing has changed.
        list = empty ? Directory{rev_, {ViewScope::changes, {}}, {}, {}}
                     : parseDirectory(nlohmann::json::parse(text), names_);
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

}  // namespace quilltide::net
