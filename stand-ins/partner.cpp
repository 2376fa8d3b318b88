// An endpoint's answers (PROTOCOL: "Forwarders to targets"), single calls and batches.
#include "partner.hpp"

#include <algorithm>
#include <charconv>

namespace quilltide::standin {

namespace http = boost::beast::http;

namespace {

constexpr auto kWaitGrace = milliseconds(100);  // calls that cross a wait are let through

// "ID KEY LENGTH\r\n" and as many bytes, then "\r\n"; nothing for what is not of this form.
template <typename Item>
std::optional<std::vector<Item>> itemsOf(const std::string& body) {
  std::vector<Item> items;
  for (std::size_t at = 0; at < body.size();) {
    const std::size_t end = body.find("\r\n", at);
    if (end == std::string::npos) return std::nullopt;
    const std::string line = body.substr(at, end - at);
    const std::size_t first = line.find(' '), second = line.find(' ', first + 1);
    if (first == std::string::npos || second == std::string::npos) return std::nullopt;
    std::size_t length = 0;
    const auto [stop, bad] = std::from_chars(line.data() + second + 1, line.data() + line.size(), length);
    if (bad != std::errc() || stop != line.data() + line.size()) return std::nullopt;
    if (body.size() < end + 2 + length + 2 || body.compare(end + 2 + length, 2, "\r\n") != 0)
      return std::nullopt;
    Item item{line.substr(0, first), line.substr(first + 1, second - first - 1)};
    if (item.key == "-") item.key.clear();
    items.push_back(std::move(item));
    at = end + 2 + length + 2;
  }
  if (items.empty()) return std::nullopt;
  return items;
}

}  // namespace

bool Effects::run(const std::string& id, const std::string& key, std::int64_t destination,
                  milliseconds keyTtl) {
  const auto now = Clock::now();
  if (!key.empty()) {
    const auto seen = keys_.find(key);
    if (seen != keys_.end() && now - seen->second < keyTtl) return false;
    keys_[key] = now;
  }
  all_.push_back({id, key, destination, now});
  ++byId_[id];
  return true;
}

std::size_t Effects::of(const std::string& id) const {
  const auto at = byId_.find(id);
  return at == byId_.end() ? 0 : at->second;
}

Partner::Partner(boost::asio::io_context& io, std::int64_t destination, Effects& effects, Pace pace,
                 const tcp::endpoint& at)
    : destination_(destination),
      effects_(effects),
      pace_(pace),
      server_(
          io, [this](const std::shared_ptr<HttpServer::Link>& link) { take(link); }, at) {}

void Partner::away() { server_.stop(); }

void Partner::back(double from, milliseconds warm) {
  coldFrom_ = from;
  warm_ = warm;
  warmFrom_ = Clock::now();
  server_.listen();
}

milliseconds Partner::untilWindowEnds() const {
  const auto passed = std::chrono::duration_cast<milliseconds>(Clock::now() - windowFrom_);
  return std::max(milliseconds(1), pace_.window - passed);
}

bool Partner::admits(std::size_t messages) {
  const auto now = Clock::now();
  if (now - windowFrom_ >= pace_.window) {
    windowFrom_ = now;
    windowUsed_ = windowSeen_ = 0;
  }
  const bool cold = now - warmFrom_ < warm_;
  windowSeen_ += messages;
  if (cold) mostWhileCold_ = std::max(mostWhileCold_, windowSeen_);
  if (pace_.inWindow == 0) return true;
  double part = 1;
  if (cold) part = coldFrom_ + (1 - coldFrom_) * std::chrono::duration<double>(now - warmFrom_) / warm_;
  if (windowUsed_ + messages > std::max(1.0, part * static_cast<double>(pace_.inWindow))) return false;
  windowUsed_ += messages;
  return true;
}

void Partner::take(const std::shared_ptr<HttpServer::Link>& link) {
  const auto& request = link->request();
  const auto say = [link](int status, const std::string& body = "", const std::string& headers = "") {
    link->write(HttpServer::answer(status, body, headers));
    link->done();
  };
  std::vector<Item> items;
  if (request.target() == "/receive") {
    if (request["X-Request-Id"].empty()) return say(400);
    items.push_back({std::string(request["X-Request-Id"]), std::string(request["Idempotency-Key"])});
  } else if (request.target() == "/receive-many") {
    auto read = itemsOf<Item>(request.body());
    if (!read) return say(400);
    items = std::move(*read);
  } else {
    return say(404);
  }
  ++calls_;
  messages_ += items.size();
  const auto now = Clock::now();
  if (now < waitUntil_ && now > waitFrom_ + kWaitGrace) duringWaits_ += items.size();
  const auto told = [this](milliseconds wait) {
    waitFrom_ = Clock::now();
    waitUntil_ = std::max(waitUntil_, waitFrom_ + wait);
    return "X-Retry-In-Ms: " + std::to_string(wait.count()) + "\r\n";
  };
  if (!admits(items.size())) {
    if (!pace_.tellsWait) return say(503);
    return say(429, "", told(untilWindowEnds()));
  }
  std::vector<Does> does;
  for (const Item& item : items) {
    const int attempt = attempts_[item.id]++;
    does.push_back(script_ ? script_(item.id, attempt) : Does::deliver);
    if (does.back() != Does::deliver) ++misdeeds_;
  }
  // What breaks a call breaks it for all of its messages: the first that does decides.
  const auto breaks = [](Does d) { return d >= Does::hang; };
  const auto broken = std::find_if(does.begin(), does.end(), breaks);
  const Does whole = broken == does.end() ? Does::deliver : *broken;
  const bool runs = whole != Does::hangUnrun && whole != Does::resetBefore;
  link->after(pace_.answer, [this, link, say, told, items, does, whole, runs] {
    std::string lines;
    bool wait = false;
    for (std::size_t i = 0; i < items.size(); ++i) {
      const bool taken = does[i] == Does::deliver || does[i] == Does::error || does[i] >= Does::hang;
      if (runs && taken) effects_.run(items[i].id, items[i].key, destination_, pace_.keyTtl);
      wait = wait || does[i] == Does::busyWait;
      const char* word = does[i] == Does::error || does[i] == Does::errorUnrun ? "error"
                         : does[i] == Does::busy || does[i] == Does::busyWait  ? "later"
                         : does[i] == Does::gone                               ? "gone"
                                                                               : "ok";
      if (whole == Does::deliver && (does[i] == Does::deliver || does[i] == Does::gone))
        effects_.settle(items[i].id);
      lines += items[i].id + " " + word + "\r\n";
    }
    switch (whole) {
      case Does::hang:
      case Does::hangUnrun:
        return;
      case Does::resetBefore:
      case Does::resetAfter:
        return link->reset();
      case Does::halfAnswer:
        link->write("HTTP/1.1 2");
        return link->after(milliseconds(5), [link] { link->close(); });
      case Does::spoilt:
        return link->write("\x01\x02 this is no answer\r\n\r\n");
      default:
        break;
    }
    const std::string headers = wait ? told(milliseconds(60)) : "";
    if (items.size() > 1) return say(200, lines, headers);
    switch (does.front()) {
      case Does::error:
      case Does::errorUnrun:
        return say(500);
      case Does::busy:
        return say(503);
      case Does::busyWait:
        return say(429, "", headers);
      case Does::gone:
        return say(410);
      default:
        return say(200);
    }
  });
}

}  // namespace quilltide::standin
