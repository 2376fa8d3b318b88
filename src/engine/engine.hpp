// The delivery engine: collects events, lets the decision module (Sender) choose actions, journals their
// effects and carries them out.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "clock/alarm.hpp"
#include "config/platform.hpp"
#include "engine/message.hpp"
#include "engine/ports.hpp"
#include "journal/journal.hpp"
#include "quilltide/sender.hpp"

namespace quilltide::net {

// State of a message as known to this forwarder.
struct MessageStatus {
  enum class State { unknown, accepting, pending, attempted, ended };
  State state = State::unknown;
  int attempts = 0;  // set in states pending and attempted: calls started so far
  const FinalOutcome* finalOutcome =
      nullptr;  // set in state ended if outcomes are retained; valid until control returns to the event loop
};

// Runs on the thread of its io_context; not thread-safe. The upstream client and the directory client are
// attached once, before start(), and must outlive all handlers of the io_context.
class Engine {
 public:
  using OutcomeHandler = std::function<void(const FinalOutcome&)>;

  // Opens the journal in config.stateFolder. Throws std::runtime_error if the journal cannot be opened.
  Engine(boost::asio::io_context& io, const PlatformConfig& config, const RetentionSource& retention = {},
         std::unique_ptr<Ownership> ownership = nullptr);
  void attach(UpstreamClient& upstream, DirectoryClient& directory);
  // Recovers the messages and notices of the journal and processes the first events.
  void start();

  // Submits a message for delivery. The message must be valid (see validationError). `handler` is called
  // exactly once, possibly before submit() returns.
  void submit(Submission message, ReplyHandler handler);
  MessageStatus status(const std::string& id) const;
  // Sets the handler that is called once if another process takes over the state folder. From then on no
  // message is accepted, no call is sent and no outcome is reported.
  void onFenced(std::function<void()> handler) { onFenced_ = std::move(handler); }
  // Continues under a higher epoch of the state folder (see Journal::renewOwnership). If that is not
  // possible, the handler of onFenced() is called. Throws std::runtime_error if the folder cannot be claimed
  // or read.
  void renewOwnership(std::unique_ptr<Ownership> ownership);
  // Adds a handler for final outcomes. Each outcome is reported once, in the order of positions, after it was
  // written to disk.
  void subscribe(OutcomeHandler handler) { subscribers_.push_back(std::move(handler)); }
  const Journal& messageJournal() const { return journal_; }
  const SettingNames& names() const { return names_; }
  // Whether messages for this destination are accepted: it has a target in the current directory, or had
  // one recently.
  bool acceptsDestination(std::int64_t destination) const {
    return destinationLastSeen_.contains(destination);
  }

  // Called by the upstream client when the connection of a call is established, before the first byte is
  // sent. Returns for each request whether it may be sent; the attempts of those that may are on disk
  // when this returns.
  std::vector<bool> authorizeSend(const TargetId& target,
                                  const std::vector<const UpstreamRequest*>& requests);
  // Called by the upstream client with the outcome of one request.
  void handleOutcome(const Outcome& outcome);
  // Called by the upstream client with the verdict on a provisional outcome.
  void handleReview(const OutcomeReview& review);
  // Called by the upstream client when a target asks for no further calls in a response to no call in flight.
  void handleRetryDelay(const RetryDelayNotice& notice);
  // Called by the upstream client when a message was delivered after its time-out had been reported.
  void handleLateDelivery(MessageId handle);

  // Called by the directory client with a directory update, or with nothing if the watch failed or
  // ended. If the platform pushes updates, the watch is then reopened.
  void handleDirectoryUpdate(std::optional<DirectoryUpdate> update);
  // Called by the directory client with the messages whose notices the platform has acknowledged.
  void handleAcknowledgedNotices(const std::vector<std::string>& ids);

  // Announces that this process ends in `timeLeft`. New messages are still accepted and journaled: few
  // clients retry rejected messages, and the next process delivers them from the journal.
  void announceShutdown(Micros timeLeft);
  // Processes the queued events and expired timers now.
  void processEvents();

 private:
  // A submitted message that has not been journaled yet.
  struct AcceptingMessage {
    Submission message;
    Digest digest;
    Micros deadline = 0;  // monotonic clock
    std::vector<ReplyHandler> replies;
  };

  // Journals what an outcome says of the message, once it is certain.
  void recordCertainOutcome(PendingMessage& message, const Outcome& outcome);
  // Messages that are accepted and not known to have ended.
  std::size_t openMessages() const;
  void recoverMessages();
  void recordRecoveredProgress(MessageId handle, bool attempted);
  bool matchesAccepting(MessageId handle, const Submission& message) const;
  void applyDirectory(const DirectoryUpdate& update);
  void scheduleProcessing(Micros at);
  void scheduleCommit();
  void reportFencing();
  bool commit();
  using Replies = std::vector<std::pair<Reply, std::vector<ReplyHandler>>>;
  Replies applyRejections(const std::vector<Action>& actions);
  Reply replyToUncommitted() const;
  void journalAccepted();
  Effect effectOf(const PendingMessage& message) const;
  bool canShareCall(const UpstreamRequest& first, const UpstreamRequest& second) const;
  void sendCalls(const std::vector<Call>& calls);
  std::vector<Call> rollBack(const std::map<MessageId, AcceptingMessage>& acceptedMessages,
                             const std::vector<Call>& calls);
  void sendNotices(bool recordsOnDisk);
  bool mayCallWithoutRecord(const PendingMessage& message) const;
  void removeMessage(const std::string& id);
  PendingMessage* findByHandle(MessageId handle);
  MessageId allocateHandle(const std::string& id);

  boost::asio::io_context& io_;
  Settings settings_;
  SettingNames names_;
  DirectoryUpdate initialDirectory_;
  std::map<std::int64_t, Micros> destinationLastSeen_;  // time at which each destination last had a target
  std::set<std::int64_t> listedDestinations_;           // those with a target in the current directory
  Micros destinationRetention_ = 0;
  std::set<std::string> loggedUnknownNames_;  // logged once each
  Journal journal_;
  Sender sender_;
  UpstreamClient* upstream_ = nullptr;
  DirectoryClient* directory_ = nullptr;
  std::vector<OutcomeHandler> subscribers_;
  std::function<void()> onFenced_;

  clocks::Alarm processingAlarm_;
  Micros processingAt_ = 0;  // 0 if not scheduled
  bool commitPosted_ = false;
  std::vector<Event> events_;
  std::multimap<Micros, std::int64_t> timers_;
  std::map<MessageId, AcceptingMessage> accepting_;  // submitted, not answered yet
  std::unordered_map<std::string, MessageId> acceptingById_;
  std::size_t acceptingBytes_ = 0;  // upper bound of the journal space they need
  std::unordered_map<MessageId, std::string> idsByHandle_;
  std::unordered_map<MessageId, int> attemptCounts_;  // calls started so far
  std::map<std::pair<MessageId, int>, Outcome>
      provisionalOutcomes_;                 // by message and attempt, until their review
  std::set<MessageId> provisionallyEnded_;  // messages that seem delivered
  // Recovered messages that had no attempt before the restart. Used to log how many of them were called
  // and how many ended without a call.
  struct RecoveredUntried {
    std::set<MessageId> remaining;
    std::size_t total = 0, attempted = 0;
  } recoveredUntried_;
  std::vector<std::string> unsentNotices_;  // ids whose notices are sent after the next successful commit
  std::size_t pendingNotices_ = 0;          // messages that have ended and whose notice is not acknowledged
  std::uint64_t publishedPosition_ = 0;     // of the last outcome that was reported to subscribers
  MessageId lastHandle_ = 0;
};

}  // namespace quilltide::net
