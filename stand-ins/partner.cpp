// Handles single calls and batches of the forwarder (PROTOCOL: "Forwarders to targets").
#include "partner.hpp"

#include <algorithm>
#include <charconv>

namespace quilltide::standin {

namespace http = boost::beast::http;

namespace {

constexpr auto kRetryDelayGrace = milliseconds(100);  // calls sent before the delay arrived are not counted

// Parses a batch: for each message "ID KEY LENGTH\r\n", LENGTH bytes and "\r\n". Returns nullopt for an empty
// or malformed body.
template <typename Item>
std::optional<std::vector<Item>> parseItems(const std::string& body) {
  std::vector<Item> items;
  for (std::size_t offset = 0; offset < body.size();) {
    const std::size_t end = body.find("\r\n", offset);
    if (end == std::string::npos) return std::nullopt;
    const std::string line = body.substr(offset, end - offset);
    const std::size_t firstSpace = line.find(' '), secondSpace = line.find(' ', firstSpace + 1);
    if (firstSpace == std::string::npos || secondSpace == std::string::npos) return std::nullopt;
    std::size_t length = 0;
    const auto [parsedEnd, parseError] =
        std::from_chars(line.data() + secondSpace + 1, line.data() + line.size(), length);
    if (parseError != std::errc() || parsedEnd != line.data() + line.size()) return std::nullopt;
    if (body.size() < end + 2 + length + 2 || body.compare(end + 2 + length, 2, "\r\n") != 0)
      return std::nullopt;
    Item item{line.substr(0, firstSpace), line.substr(firstSpace + 1, secondSpace - firstSpace - 1)};
    if (item.key == "-") item.key.clear();
    items.push_back(std::move(item));
    offset = end + 2 + length + 2;
  }
  if (items.empty()) return std::nullopt;
  return items;
}

}  // namespace

bool EffectLog::apply(const std::string& id, const std::string& key, std::int64_t destination,
                      milliseconds idempotencyKeyTtl) {
  const auto now = Clock::now();
  if (!key.empty()) {
    const auto seen = keyTimes_.find(key);
    if (seen != keyTimes_.end() && now - seen->second < idempotencyKeyTtl) return false;
    keyTimes_[key] = now;
  }
  all_.push_back({id, key, destination, now});
  ++countsById_[id];
  return true;
}

std::size_t EffectLog::countOf(const std::string& id) const {
  const auto found = countsById_.find(id);
  return found == countsById_.end() ? 0 : found->second;
}

Partner::Partner(boost::asio::io_context& io, std::int64_t destination, EffectLog& effects,
                 PartnerSettings settings, const tcp::endpoint& listenEndpoint)
    : destination_(destination),
      effects_(effects),
      settings_(settings),
      random_(settings.seed),
      server_(
          io, [this](const std::shared_ptr<HttpServer::Connection>& connection) { handle(connection); },
          listenEndpoint) {}

void Partner::goOffline() { server_.stop(); }

void Partner::comeOnline(double initialCapacityShare, milliseconds warmUp) {
  initialCapacityShare_ = initialCapacityShare;
  warmUp_ = warmUp;
  warmUpStart_ = Clock::now();
  server_.listen();
}

milliseconds Partner::timeUntilWindowEnds() const {
  const auto elapsed = std::chrono::duration_cast<milliseconds>(Clock::now() - windowStart_);
  return std::max(milliseconds(1), settings_.window - elapsed);
}

bool Partner::admit(std::size_t messages) {
  const auto now = Clock::now();
  if (now - windowStart_ >= settings_.window) {
    windowStart_ = now;
    windowAdmitted_ = windowReceived_ = 0;
  }
  const bool warmingUp = now - warmUpStart_ < warmUp_;
  windowReceived_ += messages;
  if (warmingUp) peakWarmUpWindow_ = std::max(peakWarmUpWindow_, windowReceived_);
  if (settings_.messagesPerWindow == 0) return true;
  double capacityShare = 1;
  if (warmingUp)
    capacityShare = initialCapacityShare_ +
                    (1 - initialCapacityShare_) * std::chrono::duration<double>(now - warmUpStart_) / warmUp_;
  if (windowAdmitted_ + messages >
      std::max(1.0, capacityShare * static_cast<double>(settings_.messagesPerWindow)))
    return false;
  windowAdmitted_ += messages;
  return true;
}

void Partner::respond(const std::shared_ptr<HttpServer::Connection>& connection, int status,
                      const std::string& body, const std::string& headers) {
  const std::string response = HttpServer::formatResponse(status, body, headers);
  connection->write(response);
  connection->finishRequest();
  const RepeatSettings& repeats = settings_.repeats;
  if (!repeats.statuses.empty() && !repeats.statuses.contains(status)) return;
  if (repeats.share == 0 || randomShare() >= repeats.share) return;
  const double rangeMs = static_cast<double>((repeats.maxDelay - repeats.minDelay).count());
  const auto delay = repeats.minDelay + milliseconds(static_cast<int>(rangeMs * randomShare()));
  connection->runAfter(delay, [this, connection, response] {
    ++repeatedResponses_;
    connection->write(response);
  });
}

void Partner::handle(const std::shared_ptr<HttpServer::Connection>& connection) {
  const auto& request = connection->request();
  const auto respond = [this, connection](int status, const std::string& body = "",
                                          const std::string& headers = "") {
    this->respond(connection, status, body, headers);
  };
  std::vector<Item> items;
  if (request.target() == "/receive") {
    if (request["X-Request-Id"].empty()) return respond(400);
    items.push_back({std::string(request["X-Request-Id"]), std::string(request["Idempotency-Key"])});
  } else if (request.target() == "/receive-many") {
    auto parsed = parseItems<Item>(request.body());
    if (!parsed) return respond(400);
    items = std::move(*parsed);
  } else {
    return respond(404);
  }
  ++calls_;
  messages_ += items.size();
  const auto now = Clock::now();
  if (now < retryDelayEnd_ && now > retryDelayStart_ + kRetryDelayGrace)
    messagesDuringRetryDelay_ += items.size();
  const auto startRetryDelay = [this](milliseconds delay) {
    retryDelayStart_ = Clock::now();
    retryDelayEnd_ = std::max(retryDelayEnd_, retryDelayStart_ + delay);
    return "X-Retry-In-Ms: " + std::to_string(delay.count()) + "\r\n";
  };
  if (!admit(items.size())) {
    if (!settings_.sendsRetryDelay) return respond(503);
    return respond(429, "", startRetryDelay(timeUntilWindowEnds()));
  }
  std::vector<Behavior> behaviors;
  for (const Item& item : items) {
    const int attempt = attempts_[item.id]++;
    behaviors.push_back(script_ ? script_(item.id, attempt) : Behavior::deliver);
    if (behaviors.back() != Behavior::deliver) ++injectedFaults_;
  }
  // A behavior of the whole call applies to all of its messages; the first such message decides.
  const auto breaksCall = [](Behavior behavior) { return behavior >= Behavior::hangAfterEffect; };
  const auto firstBreaking = std::find_if(behaviors.begin(), behaviors.end(), breaksCall);
  const Behavior callBehavior = firstBreaking == behaviors.end() ? Behavior::deliver : *firstBreaking;
  const bool reachesEffect =
      callBehavior != Behavior::hangBeforeEffect && callBehavior != Behavior::resetBeforeEffect;
  const auto responseDelay = settings_.responseDelay +
                             milliseconds(static_cast<int>(
                                 static_cast<double>(settings_.responseDelayRange.count()) * randomShare()));
  connection->runAfter(responseDelay, [this, connection, respond, startRetryDelay, items, behaviors,
                                       callBehavior, reachesEffect] {
    std::string lines;
    bool anyRateLimited = false;
    for (std::size_t i = 0; i < items.size(); ++i) {
      const bool processed = behaviors[i] == Behavior::deliver ||
                             behaviors[i] == Behavior::errorAfterEffect ||
                             behaviors[i] >= Behavior::hangAfterEffect;
      if (reachesEffect && processed)
        effects_.apply(items[i].id, items[i].key, destination_, settings_.idempotencyKeyTtl);
      anyRateLimited = anyRateLimited || behaviors[i] == Behavior::rateLimited;
      const char* result =
          behaviors[i] == Behavior::errorAfterEffect || behaviors[i] == Behavior::errorBeforeEffect ? "error"
          : behaviors[i] == Behavior::busy || behaviors[i] == Behavior::rateLimited                 ? "later"
          : behaviors[i] == Behavior::gone                                                          ? "gone"
                                                                                                    : "ok";
      if (callBehavior == Behavior::deliver &&
          (behaviors[i] == Behavior::deliver || behaviors[i] == Behavior::gone))
        effects_.markSettled(items[i].id);
      lines += items[i].id + " " + result + "\r\n";
    }
    switch (callBehavior) {
      case Behavior::hangAfterEffect:
      case Behavior::hangBeforeEffect:
        return;
      case Behavior::resetBeforeEffect:
      case Behavior::resetAfterEffect:
        return connection->reset();
      case Behavior::truncatedResponse:
        connection->write("HTTP/1.1 2");
        return connection->runAfter(milliseconds(5), [connection] { connection->close(); });
      case Behavior::malformedResponse:
        return connection->write("\x01\x02 this is no answer\r\n\r\n");
      default:
        break;
    }
    const std::string headers = anyRateLimited ? startRetryDelay(milliseconds(60)) : "";
    if (items.size() > 1) return respond(200, lines, headers);
    switch (behaviors.front()) {
      case Behavior::errorAfterEffect:
      case Behavior::errorBeforeEffect:
        return respond(500);
      case Behavior::busy:
        return respond(503);
      case Behavior::rateLimited:
        return respond(429, "", headers);
      case Behavior::gone:
        return respond(410);
      default:
        return respond(200);
    }
  });
}

}  // namespace quilltide::standin
