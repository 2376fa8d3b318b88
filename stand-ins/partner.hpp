// A partner's endpoint: limits, pace and faults as told, and every effect written down with its time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "http_server.hpp"

namespace quilltide::standin {

using Clock = std::chrono::steady_clock;

// What an endpoint does with one message, or with a call of which it is the first message.
enum class Does {
  deliver,
  error,        // 500, and it has run
  errorUnrun,   // 500, and it has not: the forwarder cannot tell
  busy,         // 503
  busyWait,     // 429 with a wait
  gone,         // 410
  hang,         // takes the call and says nothing
  hangUnrun,    // the same without the effect
  resetBefore,  // breaks the connection before the effect
  resetAfter,   // breaks it after the effect, before the answer
  halfAnswer,   // effect, then half a head and a close
  spoilt,       // effect, then noise
};

struct Pace {
  milliseconds answer{0};    // from a call's last byte to its answer
  std::size_t inWindow = 0;  // messages that each window takes; 0: no limit
  milliseconds window{1'000};
  bool tellsWait = true;       // a refusal above the limit names the window's end
  milliseconds keyTtl{6'000};  // a key that comes again within it has no second effect
};

struct Effect {
  std::string id, key;
  std::int64_t destination = 0;
  Clock::time_point at;
};

// What all endpoints of a run have seen together: one place to look for what took effect twice.
class Effects {
 public:
  // False: its key was seen lately, so nothing happens and the answer is as before.
  bool run(const std::string& id, const std::string& key, std::int64_t destination, milliseconds keyTtl);
  std::size_t of(const std::string& id) const;  // effects of one message
  // An answer said that this message is over (200 or its line's ok, 410 or gone).
  void settle(const std::string& id) { settled_.insert(id); }
  bool settled(const std::string& id) const { return settled_.contains(id); }
  const std::vector<Effect>& all() const { return all_; }

 private:
  std::vector<Effect> all_;
  std::map<std::string, std::size_t> byId_;
  std::set<std::string> settled_;
  std::map<std::string, Clock::time_point> keys_;
};

class Partner {
 public:
  // Asked once for each message of a call; `attempt` counts how often this endpoint's owner saw the id, from
  // 0.
  using Script = std::function<Does(const std::string& id, int attempt)>;

  Partner(boost::asio::io_context& io, std::int64_t destination, Effects& effects, Pace pace = {},
          const tcp::endpoint& at = {ownLoopback(), 0});

  void script(Script script) { script_ = std::move(script); }
  void pace(const Pace& pace) { pace_ = pace; }
  // Connections are reset and new ones refused, until back(), which starts cold: it takes `from` of what it
  // takes, growing to all within `warm`.
  void away();
  void back(double from = 1.0, milliseconds warm = milliseconds(0));

  std::string text() const { return server_.text(); }
  std::int64_t destination() const { return destination_; }
  std::size_t calls() const { return calls_; }
  std::size_t messages() const { return messages_; }
  std::size_t connections() const { return server_.accepted(); }
  std::size_t misdeeds() const { return misdeeds_; }  // messages that the script had it not deliver
  // Messages that came while it told to wait, more than 100 ms after it had: each breaks the rule on waits.
  std::size_t duringWaits() const { return duringWaits_; }
  // The most messages that came in any window, refused ones too, while it warmed up after back().
  std::size_t mostWhileCold() const { return mostWhileCold_; }

 private:
  struct Item {
    std::string id, key;
  };
  void take(const std::shared_ptr<HttpServer::Link>& link);
  bool admits(std::size_t messages);
  milliseconds untilWindowEnds() const;

  std::int64_t destination_;
  Effects& effects_;
  Pace pace_;
  Script script_;
  std::map<std::string, int> attempts_;
  Clock::time_point windowFrom_ = Clock::now(), warmFrom_{}, waitFrom_{}, waitUntil_{};
  std::size_t windowUsed_ = 0, windowSeen_ = 0;
  double coldFrom_ = 1;
  milliseconds warm_{0};
  std::size_t calls_ = 0, messages_ = 0, misdeeds_ = 0, duringWaits_ = 0, mostWhileCold_ = 0;
  HttpServer server_;
};

}  // namespace quilltide::standin
