// Calls, one exchange each, and the pool of idle connections.
#include "carriers/http/targets.hpp"

#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <cstdio>
#include <optional>

#include "carriers/http/answer.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

constexpr auto kWholeWithin = std::chrono::milliseconds(500);  // from an answer's first byte to its last
constexpr int kMostInterim = 16;                               // answers ahead of the one that counts
constexpr int kLongestWaits = 10;  // the longest wait that is heeded, in longest deadlines
constexpr auto kIdleMargin = std::chrono::milliseconds(500);  // a request must not cross the target's close

Micros since(Clock::time_point from) {
  return std::chrono::duration_cast<std::chrono::microseconds>(Clock::now() - from).count();
}

std::string seconds(Micros time) {
  char text[32];
  std::snprintf(text, sizeof text, "%.3f", static_cast<double>(time) / 1e6);
  return text;
}

}  // namespace

class Targets::Line {
 public:
  Line(asio::io_context& io, std::size_t& open) : socket(io), open_(open) { ++open_; }
  ~Line() { close(); }
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  tcp::socket socket;
  boost::beast::flat_buffer buffer;
  tcp::endpoint peer;
  Clock::time_point lastUse = Clock::now();
  int use = 0;  // tells a watch on an idle connection whether it is still the same rest

  // A byte that nobody asked for, or the peer's end: no request can be answered on this one.
  bool usable() {
    char byte;
    const ssize_t n = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return n < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
  }
  void close() {
    if (!counted_) return;
    counted_ = false;
    --open_;
    error_code ignored;
    socket.close(ignored);
  }

 private:
  std::size_t& open_;
  bool counted_ = true;
};

// One call: its request, its answer, and what became of each of its parcels.
class Targets::Exchange : public std::enable_shared_from_this<Targets::Exchange> {
 public:
  Exchange(Targets& home, TargetId target, std::vector<Parcel> parcels)
      : home_(home), target_(std::move(target)), parcels_(std::move(parcels)), timer_(home.io_) {
    told_.resize(parcels_.size(), false);
  }

  void start(std::shared_ptr<Line> line, const tcp::endpoint& address) {
    auto self = shared_from_this();
    prepare();
    arm();
    if (line) {
      line_ = std::move(line);
      return send();
    }
    if (home_.open_ >= home_.most_ && !home_.makeRoom()) return notSent();
    fresh_ = true;
    line_ = std::make_shared<Line>(home_.io_, home_.open_);
    line_->peer = address;
    connectBy_ = started_ + std::chrono::microseconds(home_.settings_.connectTimeout);
    arm();
    line_->socket.async_connect(address, [this, self](error_code error) {
      if (over_) return;
      // No descriptor was free: that is this process's own trouble and tells nothing of the target.
      if (error == asio::error::no_descriptors || error == asio::error::no_buffer_space) return notSent();
      if (error) return breakOff();
      error_code ignored;
      line_->socket.set_option(tcp::no_delay(true), ignored);
      connectBy_.reset();
      send();
    });
  }

  bool holds(MessageId handle, int attempt) const {
    return std::any_of(parcels_.begin(), parcels_.end(),
                       [&](const Parcel& p) { return p.handle == handle && p.attempt == attempt; });
  }

  // The connection closes once nothing on it is waited for any more: that tells the target.
  void callOff(MessageId handle, int attempt) {
    if (firstLineTells()) return deliveredAnyway();
    for (std::size_t i = 0; i < parcels_.size(); ++i) {
      if (parcels_[i].handle == handle && parcels_[i].attempt == attempt)
        tell(i, written_ ? Ending::canceled : Ending::connectFailed);
    }
    closeIfTold();
  }

  void abandon() {
    over_ = true;
    timer_.cancel();
    if (line_) line_->close();
  }

 private:
  void prepare() {
    request_.method(http::verb::post);
    request_.version(11);
    request_.set(http::field::host, target_);
    Micros longest = 0;
    for (const Parcel& p : parcels_) longest = std::max(longest, p.timeout);
    request_.set("X-Deadline", seconds(longest));
    if (parcels_.size() == 1) {
      request_.target("/receive");
      request_.set("X-Request-Id", parcels_.front().id);
      if (!parcels_.front().key.empty()) request_.set("Idempotency-Key", parcels_.front().key);
      request_.body() = std::move(parcels_.front().body);
    } else {
      request_.target("/receive-many");
      for (Parcel& p : parcels_) {
        request_.body() += p.id + ' ' + (p.key.empty() ? "-" : p.key) + ' ' + std::to_string(p.body.size()) +
                           "\r\n" + p.body + "\r\n";
        p.body.clear();
      }
    }
    request_.prepare_payload();
  }

  // Wakes at the next time that something is up: the connect, the answer's end, or the first parcel still
  // waited for.
  void arm() {
    std::optional<Clock::time_point> next = connectBy_ ? connectBy_ : wholeBy_;
    for (std::size_t i = 0; i < parcels_.size(); ++i) {
      const auto due = started_ + std::chrono::microseconds(parcels_[i].timeout);
      if (!told_[i] && (!next || due < *next)) next = due;
    }
    if (!next) return;
    timer_.expires_at(*next);
    timer_.async_wait([this, self = shared_from_this()](error_code error) {
      if (error || over_) return;
      const auto now = Clock::now();
      if (connectBy_ && now >= *connectBy_) return breakOff();
      if (firstLineTells()) return deliveredAnyway();
      if (wholeBy_ && now >= *wholeBy_) return spoilt();
      for (std::size_t i = 0; i < parcels_.size(); ++i) {
        if (now >= started_ + std::chrono::microseconds(parcels_[i].timeout))
          tell(i, written_ ? Ending::timedOut : Ending::connectFailed);
      }
      if (!closeIfTold()) arm();
    });
  }

  void send() {
    auto self = shared_from_this();
    http::async_write(line_->socket, request_, [this, self](error_code error, std::size_t) {
      if (over_) return;
      if (error) return breakOff();
      written_ = true;
      awaitAnswer();
    });
  }

  // Answers ahead (1xx) may come at any time before the one that counts; that one, once begun, has to end.
  void awaitAnswer() {
    wholeBy_.reset();
    if (line_->buffer.size() > 0) return readAnswer();
    line_->socket.async_wait(tcp::socket::wait_read, [this, self = shared_from_this()](error_code error) {
      if (over_) return;
      if (error) return breakOff();
      readAnswer();
    });
  }

  void readAnswer() {
    wholeBy_ = Clock::now() + kWholeWithin;
    arm();
    http::async_read(line_->socket, line_->buffer, answer_.parser(),
                     [this, self = shared_from_this()](error_code error, std::size_t) {
                       if (over_) return;
                       if (error && firstLineTells()) return deliveredAnyway();
                       if (error) return ended(error) ? breakOff() : spoilt();
                       if (!answer_.interim()) return answered();
                       const bool upgrade =
                           answer_.parser().get().result() == http::status::switching_protocols;
                       if (upgrade || ++interim_ > kMostInterim) return spoilt();
                       answer_.next();
                       awaitAnswer();
                     });
  }

  // The connection's end, and not something that cannot be read.
  static bool ended(error_code error) {
    return error.category() != http::make_error_code(http::error::need_more).category() ||
           error == http::error::end_of_stream || error == http::error::partial_message;
  }

  // Before its last byte was written a call cannot have run; afterwards nobody knows.
  void breakOff() {
    over_ = true;
    timer_.cancel();
    line_->close();
    for (std::size_t i = 0; i < parcels_.size(); ++i)
      tell(i, written_ ? Ending::reset : Ending::connectFailed);
    home_.finished(shared_from_this());
  }

  // Outcomes never come inside the round that sent the call.
  void notSent() {
    over_ = true;
    timer_.cancel();
    if (line_) line_->close();
    asio::post(home_.io_, [this, self = shared_from_this(), alive = home_.alive_] {
      if (!*alive) return;
      for (std::size_t i = 0; i < parcels_.size(); ++i) tell(i, Ending::skipped);
      home_.finished(self);
    });
  }

  bool closeIfTold() {
    if (std::find(told_.begin(), told_.end(), false) != told_.end()) return false;
    abandon();
    home_.finished(shared_from_this());
    return true;
  }

  void tell(std::size_t i, Ending ending) { tell(i, Verdict{ending}, 0); }
  void tell(std::size_t i, const Verdict& verdict, Micros wait) {
    if (told_[i]) {
      if (verdict.ending == Ending::done) home_.late_(parcels_[i].handle);
      return;
    }
    told_[i] = true;
    Outcome o;
    o.id = parcels_[i].handle;
    o.attempt = parcels_[i].attempt;
    o.target = target_;
    o.ending = verdict.ending;
    o.duration = since(started_);
    o.wait = wait;
    o.settled = verdict.settled;
    o.noSlot = verdict.noSlot;
    o.spoilt = verdict.spoilt;
    o.crowded = verdict.ending == Ending::busy && crowded_;
    o.report = report_;
    home_.outcome_(o);
  }

  // A first line with 200 to a single message is true, though the rest cannot be read, breaks off or stays
  // away.
  bool firstLineTells() const { return parcels_.size() == 1 && answer_.says200(); }
  void deliveredAnyway() { finish({Verdict{Ending::done, true}}, 0, false); }

  // Something came that is no answer: the call may have run, and the connection is of no further use.
  void spoilt() {
    finish(std::vector<Verdict>(parcels_.size(), Verdict{Ending::error, false, false, true}), 0, false);
  }

  void answered() {
    std::vector<std::string> ids;
    for (const Parcel& p : parcels_) ids.push_back(p.id);
    if (home_.settings_.reports == ReportSource::answers) report_ = answer_.report();
    // A limit or a queue that is full keeps the connection; who has no place for one ends it.
    crowded_ = fresh_ && !answer_.parser().keep_alive() &&
               answer_.parser().get().result() == http::status::service_unavailable;
    finish(answer_.verdicts(ids), answer_.wait(home_.longestWait_),
           answer_.parser().keep_alive() && line_->buffer.size() == 0);
  }

  void finish(const std::vector<Verdict>& verdicts, Micros wait, bool reuse) {
    over_ = true;
    timer_.cancel();
    if (reuse) {
      home_.giveBack(target_, line_);
    } else {
      line_->close();
    }
    for (std::size_t i = 0; i < parcels_.size(); ++i) tell(i, verdicts[i], wait);
    home_.finished(shared_from_this());
  }

  Targets& home_;
  TargetId target_;
  std::vector<Parcel> parcels_;
  std::vector<bool> told_;
  asio::steady_timer timer_;
  Clock::time_point started_ = Clock::now();
  std::optional<Clock::time_point> connectBy_, wholeBy_;
  std::shared_ptr<Line> line_;
  http::request<http::string_body> request_;
  Answer answer_;
  Report report_;  // of an answer that was read to its end
  int interim_ = 0;
  bool fresh_ = false, crowded_ = false;  // its connection was new; and found no place
  bool written_ = false, over_ = false;
};

Targets::Targets(asio::io_context& io, const Config& config, std::size_t most, OnOutcome outcome, OnLate late)
    : io_(io), settings_(config.settings), outcome_(std::move(outcome)), late_(std::move(late)), most_(most) {
  Micros longest = settings_.maxRetryAfter;
  for (const ClassSettings& c : settings_.classes) longest = std::max(longest, c.deadline);
  longestWait_ = kLongestWaits * longest;
}

Targets::~Targets() {
  *alive_ = false;
  for (const auto& exchange : calls_) exchange->abandon();
  while (!idle_.empty()) closeIdle(TargetId(idle_.begin()->first));
}

void Targets::learn(const Directory& directory) {
  std::set<TargetId> gone;
  if (directory.view.scope == ViewScope::all) {
    for (const auto& [target, entry] : known_) gone.insert(target);
  }
  for (const TargetEntry& e : directory.view.entries) {
    if (e.listing == Listing::gone) {
      gone.insert(e.target);
      continue;
    }
    gone.erase(e.target);
    known_[e.target] = {directory.addresses.at(e.target), e.kind, e.destination};
  }
  for (const TargetId& target : gone) {
    closeIdle(target);
    known_.erase(target);
  }
}

std::set<std::int64_t> Targets::destinations() const {
  std::set<std::int64_t> all;
  for (const auto& [target, entry] : known_) all.insert(entry.destination);
  return all;
}

std::size_t Targets::batchOf(const TargetId& target) const {
  const auto at = known_.find(target);
  const std::size_t kind =
      at == known_.end() ? settings_.kinds.size() : static_cast<std::size_t>(at->second.kind);
  return kind < settings_.kinds.size() ? static_cast<std::size_t>(std::max(1, settings_.kinds[kind].batch))
                                       : 1;
}

void Targets::call(const TargetId& target, std::vector<Parcel> parcels) {
  const auto at = known_.find(target);
  if (at == known_.end()) {  // outcomes never come inside the round that sent the call
    for (const Parcel& p : parcels) {
      Outcome o;
      o.id = p.handle;
      o.attempt = p.attempt;
      o.target = target;
      o.ending = Ending::connectFailed;
      later(o);
    }
    return;
  }
  auto exchange = std::make_shared<Exchange>(*this, target, std::move(parcels));
  calls_.insert(exchange);
  exchange->start(takeIdle(target, at->second.address), at->second.address);
}

void Targets::later(Outcome outcome) {
  asio::post(io_, [this, alive = alive_, outcome] {
    if (*alive) outcome_(outcome);
  });
}

void Targets::callOff(MessageId handle, int attempt) {
  for (const auto& exchange : calls_) {
    if (!exchange->holds(handle, attempt)) continue;
    const auto kept = exchange;  // it may leave the set
    return kept->callOff(handle, attempt);
  }
}

void Targets::finished(const std::shared_ptr<Exchange>& exchange) { calls_.erase(exchange); }

std::shared_ptr<Targets::Line> Targets::takeIdle(const TargetId& target, const tcp::endpoint& address) {
  const auto pool = idle_.find(target);
  if (pool == idle_.end()) return nullptr;
  const auto keep = std::chrono::microseconds(settings_.connectionIdle) - kIdleMargin;
  std::shared_ptr<Line> found;
  while (!found && !pool->second.empty()) {
    std::shared_ptr<Line> line = std::move(pool->second.back());
    pool->second.pop_back();
    ++line->use;
    error_code ignored;
    line->socket.cancel(ignored);
    const bool rested = settings_.connectionIdle > 0 && Clock::now() - line->lastUse >= keep;
    if (!rested && line->peer == address && line->usable()) {
      found = std::move(line);
    } else {
      line->close();
    }
  }
  if (pool->second.empty()) idle_.erase(pool);
  return found;
}

void Targets::giveBack(const TargetId& target, std::shared_ptr<Line> line) {
  if (!known_.contains(target)) return line->close();
  line->lastUse = Clock::now();
  const int use = ++line->use;
  line->socket.async_wait(tcp::socket::wait_read, [this, alive = alive_, target, line, use](error_code) {
    if (!*alive || line->use != use) return;
    line->close();
    const auto pool = idle_.find(target);
    if (pool == idle_.end()) return;
    std::erase(pool->second, line);
    if (pool->second.empty()) idle_.erase(pool);
  });
  idle_[target].push_back(std::move(line));
}

// With every place taken the longest unused idle connection makes room, wherever it leads.
bool Targets::makeRoom() {
  auto oldest = idle_.end();
  for (auto at = idle_.begin(); at != idle_.end(); ++at) {
    if (oldest == idle_.end() || at->second.front()->lastUse < oldest->second.front()->lastUse) oldest = at;
  }
  if (oldest == idle_.end()) return false;
  const auto line = oldest->second.front();
  ++line->use;
  line->close();
  oldest->second.erase(oldest->second.begin());
  if (oldest->second.empty()) idle_.erase(oldest);
  return true;
}

void Targets::closeIdle(const TargetId& target) {
  const auto pool = idle_.find(target);
  if (pool == idle_.end()) return;
  for (const auto& line : pool->second) {
    ++line->use;
    line->close();
  }
  idle_.erase(pool);
}

std::size_t Targets::idle(const TargetId& target) const {
  const auto at = idle_.find(target);
  return at == idle_.end() ? 0 : at->second.size();
}

}  // namespace quilltide::net
