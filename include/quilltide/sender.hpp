// Public interface of the decision module: settings, input events, output actions and the Sender that maps
// one to the other. All durations and clock readings are in microseconds. The module performs no I/O.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace quilltide {

// A duration or a monotonic clock reading in microseconds.
using Micros = std::int64_t;
// Identifies a message to one Sender; chosen by the caller and unique among its pending messages.
using MessageId = std::uint32_t;
// Identifies one target (server instance) of a destination.
using TargetId = std::string;

// What a repeated delivery does: nothing more than the first (safe), nothing more while the target remembers
// the idempotency key (keyed), or possibly a second execution (unsafe).
enum class Effect { safe, keyed, unsafe };
// Which targets share the memory of idempotency keys.
enum class KeyScope { allTargets, zone, singleTarget };
// How the value of a delivery falls between the soft deadline and the deadline.
enum class ValueDecay { linear, exponential };
// How far TargetEntry::ratedCapacity can be relied on; none: it is not used.
enum class CapacityAccuracy { none, nominal, approximate };
// Where load reports of targets come from.
enum class LoadReportSource { none, responses, probes };

// Settings of one message class.
struct ClassSettings {
  Micros softDeadline = 0;    // from submission: a delivery up to then has its full value
  Micros deadline = 0;        // from submission: a delivery after it has no value
  double deliveryValue = 1;   // value of a delivery by the soft deadline, relative to other classes
  double lateValueShare = 0;  // share of deliveryValue, 0 to 1, that remains just before the deadline
  Effect effect = Effect::unsafe;
  KeyScope keyScope = KeyScope::allTargets;
  Micros keyTtl = 0;  // how long a target remembers an idempotency key
};

// Settings of one kind of destination.
struct KindSettings {
  bool limitsPerTarget = false;  // breaker, bulkhead and rate limit per target instead of per destination
  int maxBatchSize = 1;          // most messages in one call
};

// Settings of one Sender.
struct Settings {
  int senderIndex = 0;  // of this sender within the fleet
  int fleetSize = 1;    // number of senders that share the destinations
  int zone = 0;         // zone that this sender runs in
  int maxInFlightCalls = 1;
  int maxOpenMessages = 1;  // most messages that are accepted and not yet ended
  int maxAttempts = 1;      // most calls for one message
  int streamsPerConnection = 1;
  Micros tickInterval = 0;  // granularity of the times at which processEvents is called
  Micros connectionIdleTimeout = 0;
  Micros connectTimeout = 0;
  Micros maxRetryAfter = 0;  // longest delay that RejectMessage may ask for
  Micros deadlineGrace = 0;  // how long past the deadline a message may still be reported as ended
  // A sender without a watch that has not queried the directory for this time (four times this after a failed
  // query) is held to know the targets that were listed that long ago.
  Micros directoryQueryWindow = 0;
  Micros overloadDuration = 0;      // a cold target fails when its overload lasts this long
  Micros warmUpDuration = 0;        // slow-start time of a target that has recovered
  double initialCapacityShare = 1;  // share of capacity, 0 to 1, at the start of the warm-up
  double overloadFactor = 1;        // multiple of its capacity at which a target becomes overloaded
  double rejectionCost = 0;         // cost of a call that a destination rejects above its limit
  bool cancelSupported = false;     // CancelCall may be used
  bool peerMessagesAllowed = false;
  bool concurrentAttemptsAllowed = false;  // a message may have several calls in flight
  bool retryAfterSupported = false;        // RejectMessage may carry a delay
  bool directoryOnRequest = false;  // the directory answers WatchDirectory; otherwise it pushes its lists
  ValueDecay valueDecay = ValueDecay::linear;
  CapacityAccuracy capacityAccuracy = CapacityAccuracy::none;
  LoadReportSource loadReportSource = LoadReportSource::none;
  std::vector<ClassSettings> classes;  // by message class
  std::vector<KindSettings> kinds;     // by kind of destination
  std::vector<double> callCostByZone;  // in multiples of the shortest soft deadline
};

// What the directory says of a target; a draining target takes no new calls.
enum class Availability { inService, draining, removed };
// One target in a list of the directory.
struct TargetEntry {
  TargetId target;
  std::int64_t destination = 0;
  int kind = 0;  // index in Settings::kinds
  int zone = 0;
  double ratedCapacity = 1;  // calls per second from all senders together
  Availability availability = Availability::inService;
};

// Load metrics of a target by name. "x1" is its limit in calls per second, 0 or less for no limit; other
// metrics are not used.
using LoadReport = std::map<std::string, double>;

// How a call ended for one of its messages. After busy, connectFailed and skipped the message is known not to
// have been processed; after error, timedOut, reset and canceled it may have been.
enum class CallResult { succeeded, error, busy, timedOut, connectFailed, reset, canceled, skipped };

// History of a message that was already pending when its sender restarted.
struct RecoveredState {
  int attempts = 0;                // calls started before the restart
  bool mayHaveRun = false;         // at least one of them may have been processed
  Micros uncertainAttemptAge = 0;  // time since the first such call was sent
  TargetId uncertainAttemptTarget;
};
// A new message, or one recovered after a restart.
struct Arrival {
  MessageId id = 0;
  int messageClass = 0;  // index in Settings::classes
  std::int64_t destination = 0;
  Micros timeLeft = 0;                        // until the deadline
  std::optional<RecoveredState> recovered{};  // set for a message from before a restart
};
// The end of a call for one of its messages.
struct Outcome {
  MessageId id = 0;
  int attempt = 0;  // counted from 0 for each message
  TargetId target;
  CallResult callResult = CallResult::error;
  Micros duration = 0;
  Micros retryDelay = 0;     // time for which the target asked for no further calls; 0: not stated
  bool noFreeSlot = false;   // not sent: all in-flight calls of this sender (maxInFlightCalls) are taken
  bool endsMessage = false;  // the message is finished and must not be sent again
  bool unreadableResponse = false;      // error: the target answered, but with a malformed response
  bool connectionLimitReached = false;  // busy: the target has no room for another connection
  LoadReport loadReport;                // empty: none received
  // The response may have belonged to another call on the same connection: an OutcomeReview of this attempt
  // follows. Until then the message is neither retried nor ended.
  bool provisional = false;
};
// What became of a provisional outcome.
struct OutcomeReview {
  enum class Verdict {
    confirmed,   // the outcome stands
    disproved,   // another response contradicts it: the call may have been processed, or rejected
    unverified,  // the connection was lost before a contradicting response could arrive
  };
  MessageId id = 0;
  int attempt = 0;
  Verdict verdict = Verdict::confirmed;
};
// A target asked for no further calls in a response that belonged to no call in flight.
struct RetryDelayNotice {
  TargetId target;
  Micros retryDelay = 0;
};
// Which targets a DirectoryView lists: those that changed, all, or none because the directory
// query failed.
enum class ViewScope { changes, all, refused };
// A list of targets from the directory.
struct DirectoryView {
  ViewScope scope = ViewScope::all;
  std::vector<TargetEntry> entries;
};
// A message ended for a reason outside the Sender, which forgets it.
struct MessageEnded {
  MessageId id = 0;
};
// A timer set by SetTimer is due.
struct TimerFired {
  std::int64_t token = 0;  // of the SetTimer
};
// The process will end after timeLeft. Calls that are not expected to finish by then are left to its
// successor.
struct ShutdownNotice {
  Micros timeLeft = 0;
};
// A message from another sender of the fleet.
struct PeerMessage {
  int from = 0;  // index of that sender
  std::string payload;
};
// Input of Sender::processEvents.
using Event = std::variant<Arrival, Outcome, OutcomeReview, RetryDelayNotice, DirectoryView, MessageEnded,
                           TimerFired, ShutdownNotice, PeerMessage>;

// Send a message to a target.
struct Call {
  MessageId id;
  TargetId target;
  Micros timeout;  // 0: until the deadline of the message
  // Time after sending within which the target's own response is expected, from the durations of its calls.
  // An earlier response on a reused connection is provisional until then.
  Micros responseExpectedWithin = 0;
};
// Cancel a call in flight. Its outcome is still reported.
struct CancelCall {
  MessageId id;
  int attempt;
};
// End a message of which a repeat does no harm: the client may submit it again.
struct RejectMessage {
  MessageId id;
  Micros retryDelay;  // when the client may submit it again; 0: not stated
};
// End a message that may have been processed.
struct FailMessage {
  MessageId id;
};
// Report TimerFired after the delay.
struct SetTimer {
  Micros delay;
  std::int64_t token;
};
// Start or stop the watch of the directory.
struct WatchDirectory {
  bool enable;
};
// Close the idle connections to a target.
struct CloseIdleConnections {
  TargetId target;
};
// Send a message to other senders of the fleet.
struct SendPeerMessage {
  int peer;  // -1: all of them
  std::string payload;
};
// Write a line to the log.
struct Log {
  std::string text;
};
// Output of Sender::processEvents.
using Action = std::variant<Call, CancelCall, RejectMessage, FailMessage, SetTimer, WatchDirectory,
                            CloseIdleConnections, SendPeerMessage, Log>;

// Decides when and where each message is sent, retried or ended. The state depends only on the settings, the
// seed and the calls of processEvents: equal inputs give equal actions. Not thread-safe; no member function
// blocks.
class Sender {
 public:
  // Counts and the tick interval are raised to 1 if they are smaller. An empty list of classes or kinds gets
  // one default entry.
  Sender(Settings settings, std::uint64_t seed);
  ~Sender();
  Sender(Sender&&) noexcept;
  Sender& operator=(Sender&&) noexcept;

  // Processes the events in order and returns the actions to perform, in order. `now` is a monotonic clock; a
  // reading below an earlier one counts as that earlier one.
  std::vector<Action> processEvents(Micros now, const std::vector<Event>& events);
  // Returns whether a call that was returned earlier and has not been transmitted yet may still be sent to
  // the target. It may not after the target asked for a delay or started draining, after the message's
  // deadline or end, and when a repeat is no longer covered by its idempotency key. Callers that transmit at
  // once need not ask.
  bool maySend(Micros now, MessageId id, const TargetId& target) const;

 private:
  class Logic;
  std::unique_ptr<Logic> logic_;
};

}  // namespace quilltide
