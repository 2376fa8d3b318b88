// The whole interface of quilltide: settings, events, actions and the Sender. No decision is taken here.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quilltide {

using Micros = std::int64_t;
using MessageId = std::uint32_t;
using TargetId = std::string;

enum class Effect { safe, keyed, unsafe };
enum class Group { all, zone, cell };
enum class Decay { line, halves };
enum class Weights { none, nominal, rough };
enum class ReportSource { none, answers, probe };

struct ClassSettings {
  Micros aim = 0;
  Micros deadline = 0;
  double worth = 1;
  double lateWorth = 0;
  Effect effect = Effect::unsafe;
  Group group = Group::all;
  Micros keyTtl = 0;
};

struct KindSettings {
  bool routesApart = false;
  int batch = 1;
};

struct Settings {
  int me = 0;
  int fleetSize = 1;
  int zone = 0;
  int slots = 1;
  int maxOpen = 1;
  int maxAttempts = 1;
  int streamsPerConnection = 1;
  Micros period = 0;
  Micros connectionIdle = 0;
  Micros connectTimeout = 0;
  Micros maxRetryAfter = 0;
  Micros answerSlack = 0;
  Micros askWithin = 0;
  Micros overloadFor = 0;
  Micros warmAfter = 0;
  double startCapacity = 1;
  double tipMultiple = 1;
  double refusedPrice = 0;
  bool mayCancel = false;
  bool peerMessages = false;
  bool secondCopies = false;
  bool retryAfter = false;
  bool directoryOnRequest = false;
  Decay decay = Decay::line;
  Weights weights = Weights::none;
  ReportSource reports = ReportSource::none;
  std::vector<ClassSettings> classes;
  std::vector<KindSettings> kinds;
  std::vector<double> routeFee;  // by zone
};

enum class Listing { inService, draining, gone };
struct TargetEntry {
  TargetId target;
  std::int64_t destination = 0;
  int kind = 0;
  int zone = 0;
  double rating = 1;
  Listing listing = Listing::inService;
};

using Report = std::map<std::string, double>;

enum class Ending { done, error, busy, timedOut, connectFailed, reset, canceled, skipped };

// What became of a message before its sender restarted.
struct Recovered {
  int attempts = 0;         // used so far
  bool mayHaveRun = false;  // an attempt has no outcome that proves the contrary
  Micros riskAge = 0;       // how long ago the first such attempt was sent
  TargetId riskTarget;
};
struct Arrival {
  MessageId id = 0;
  int messageClass = 0;
  std::int64_t destination = 0;
  Micros left = 0;
  std::optional<Recovered> recovered{};  // empty on the simulator
};
struct Outcome {
  MessageId id = 0;
  int attempt = 0;
  TargetId target;
  Ending ending = Ending::error;
  Micros duration = 0;
  Micros wait = 0;
  bool noSlot = false;
  bool settled = false;
  bool spoilt =
      false;  // an error whose answer could not be read: the destination lives; never on the simulator
  bool crowded = false;  // busy, and it was the new connection that found no place; never on the simulator
  Report report;
};
enum class ViewScope { changes, all, refused };
struct DirectoryView {
  ViewScope scope = ViewScope::all;
  std::vector<TargetEntry> entries;
};
struct Gone {
  MessageId id = 0;
};
struct TimerDue {
  std::int64_t token = 0;
};
struct Draining {  // this sender ends after so long: calls that would not end by then wait for its successor
  Micros left = 0;
};
struct PeerNote {
  int from = 0;
  std::string bytes;
};
using Event = std::variant<Arrival, Outcome, DirectoryView, Gone, TimerDue, Draining, PeerNote>;

struct Call {
  MessageId id;
  TargetId target;
  Micros timeout;
};
struct CallOff {
  MessageId id;
  int attempt;
};
struct Refuse {
  MessageId id;
  Micros pause;
};
struct Fail {
  MessageId id;
};
struct SetTimer {
  Micros delay;
  std::int64_t token;
};
struct Watch {
  bool enable;
};
struct CloseIdle {
  TargetId target;
};
struct Tell {
  int peer;  // -1: all of them
  std::string bytes;
};
struct Log {
  std::string text;
};
using Action = std::variant<Call, CallOff, Refuse, Fail, SetTimer, Watch, CloseIdle, Tell, Log>;

// One sender. It knows what its own events told it, the clock of each round and its seed, nothing else.
class Sender {
 public:
  Sender(Settings settings, std::uint64_t seed);
  ~Sender();
  Sender(Sender&&) noexcept;
  Sender& operator=(Sender&&) noexcept;

  // One round: the clock and what happened, in order; returns what to do, in order.
  std::vector<Action> round(Micros now, const std::vector<Event>& events);
  // May a call that a round asked for, and of which nothing has left yet, still be sent to this target? What
  // has been told since binds it: a wait, the target's drain, the message's end, its key's time. Where a call
  // leaves in the round itself, as on the simulator, there is nothing to ask.
  bool mayLeave(Micros now, MessageId id, const TargetId& target) const;

 private:
  class Logic;
  std::unique_ptr<Logic> logic_;
};

}  // namespace quilltide
