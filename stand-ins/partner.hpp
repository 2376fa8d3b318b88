// Stand-in for a partner's endpoint: configurable rate limit, response delay and fault injection; logs every
// effect with its time.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "http_server.hpp"

namespace quilltide::standin {

using Clock = std::chrono::steady_clock;

// How an endpoint handles one message. From hangAfterEffect on, a behavior applies to the whole call: the
// first such message of a batch decides. "Effect" means that the message was executed.
enum class Behavior {
  deliver,
  errorAfterEffect,   // status 500 after the effect
  errorBeforeEffect,  // status 500 without the effect
  busy,               // status 503
  rateLimited,        // status 429 with a retry delay
  gone,               // status 410
  hangAfterEffect,    // never answers, after the effect
  hangBeforeEffect,   // never answers, without the effect
  resetBeforeEffect,  // resets the connection without the effect
  resetAfterEffect,   // resets the connection after the effect
  truncatedResponse,  // sends part of a status line and closes, after the effect
  malformedResponse,  // sends bytes that are not HTTP, after the effect
};

// Which responses are sent a second time on their connection.
struct RepeatSettings {
  double share = 0;                       // of the responses with these statuses
  std::set<int> statuses;                 // empty: all
  milliseconds minDelay{0}, maxDelay{0};  // after the response; equally distributed
};

struct PartnerSettings {
  milliseconds responseDelay{0};      // from the end of the request to the response
  std::size_t messagesPerWindow = 0;  // 0: no limit
  milliseconds window{1'000};
  bool sendsRetryDelay = true;            // over the limit: 429 with the time to the window's end, else 503
  milliseconds idempotencyKeyTtl{6'000};  // repeats of a key within this time have no effect
  milliseconds responseDelayRange{0};     // added to responseDelay at random, equally distributed
  RepeatSettings repeats{};
  std::uint64_t seed = 1;  // of the random delays and repeats
};

struct Effect {
  std::string id, key;
  std::int64_t destination = 0;
  Clock::time_point time;
};

// Log of the effects at all endpoints of a test bed; detects messages that took effect more than once.
class EffectLog {
 public:
  // Records an effect. Returns false, and records nothing, if the key was seen within `idempotencyKeyTtl`.
  bool apply(const std::string& id, const std::string& key, std::int64_t destination,
             milliseconds idempotencyKeyTtl);
  // Number of effects of a message.
  std::size_t countOf(const std::string& id) const;
  // Records that a response reported a final result for the message: 200 or "ok", 410 or "gone".
  void markSettled(const std::string& id) { settled_.insert(id); }
  bool isSettled(const std::string& id) const { return settled_.contains(id); }
  const std::vector<Effect>& all() const { return all_; }

 private:
  std::vector<Effect> all_;
  std::map<std::string, std::size_t> countsById_;
  std::set<std::string> settled_;
  std::map<std::string, Clock::time_point> keyTimes_;
};

// One endpoint of a destination. Not thread-safe: runs on the thread of the io_context.
class Partner {
 public:
  // Called once for each message of a call; `attempt` is the number of earlier calls with this id.
  using Script = std::function<Behavior(const std::string& id, int attempt)>;

  Partner(boost::asio::io_context& io, std::int64_t destination, EffectLog& effects,
          PartnerSettings settings = {}, const tcp::endpoint& listenEndpoint = {processLoopbackAddress(), 0});

  void setScript(Script script) { script_ = std::move(script); }
  void configure(const PartnerSettings& settings) {
    settings_ = settings;
    random_.seed(settings.seed);
  }
  // Resets all connections and refuses new ones until comeOnline().
  void goOffline();
  // Accepts connections again. The limit starts at `initialCapacityShare` of the configured one and grows
  // linearly to all of it within `warmUp`.
  void comeOnline(double initialCapacityShare = 1.0, milliseconds warmUp = milliseconds(0));

  std::string hostAndPort() const { return server_.hostAndPort(); }
  std::int64_t destination() const { return destination_; }
  std::size_t calls() const { return calls_; }
  std::size_t messages() const { return messages_; }
  std::size_t acceptedConnections() const { return server_.acceptedConnections(); }
  // Messages for which the script returned anything but Behavior::deliver.
  std::size_t injectedFaults() const { return injectedFaults_; }
  // Responses that were sent a second time.
  std::size_t repeatedResponses() const { return repeatedResponses_; }
  // Messages received during a retry delay, more than 100 ms after it was sent; the protocol forbids them.
  std::size_t messagesDuringRetryDelay() const { return messagesDuringRetryDelay_; }
  // Highest number of messages, refused ones included, received in one window during a warm-up.
  std::size_t peakWarmUpWindow() const { return peakWarmUpWindow_; }

 private:
  struct Item {
    std::string id, key;
  };
  void handle(const std::shared_ptr<HttpServer::Connection>& connection);
  // Writes a response, and schedules its repeat if the settings draw one.
  void respond(const std::shared_ptr<HttpServer::Connection>& connection, int status, const std::string& body,
               const std::string& headers);
  double randomShare() { return std::uniform_real_distribution<double>()(random_); }
  bool admit(std::size_t messages);
  milliseconds timeUntilWindowEnds() const;

  std::int64_t destination_;
  EffectLog& effects_;
  PartnerSettings settings_;
  Script script_;
  std::map<std::string, int> attempts_;
  Clock::time_point windowStart_ = Clock::now(), warmUpStart_{}, retryDelayStart_{}, retryDelayEnd_{};
  std::size_t windowAdmitted_ = 0, windowReceived_ = 0;
  double initialCapacityShare_ = 1;
  milliseconds warmUp_{0};
  std::size_t calls_ = 0, messages_ = 0, injectedFaults_ = 0, messagesDuringRetryDelay_ = 0,
              peakWarmUpWindow_ = 0, repeatedResponses_ = 0;
  std::mt19937_64 random_;
  HttpServer server_;
};

}  // namespace quilltide::standin
