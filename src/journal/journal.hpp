// Write-ahead journal of accepted messages: an append-only file that is replayed at the start and
// compacted into a new file that replaces it by rename.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "journal/ownership.hpp"
#include "quilltide/sender.hpp"

namespace quilltide::net {

// One call of a message.
struct Attempt {
  TargetId target;
  Micros sentAt = 0;         // monotonic clock of this boot
  bool notExecuted = false;  // the target is known not to have executed it
};

// Notice to the platform that a message ended undelivered.
struct Notice {
  bool returned = false;       // for a later retry; otherwise the delivery failed
  std::int64_t retryInMs = 0;  // with `returned`; 0 if unknown
};

// Distinguishes different messages with the same id: XXH3 hash of class, destination, key and body.
struct Digest {
  std::uint64_t low = 0, high = 0;
  bool operator==(const Digest&) const = default;
};
Digest digestOf(int messageClass, std::int64_t destination, const std::string& key, const std::string& body);

// How a message ended: delivered, failed without a retry, returned for a later retry, or ended by its target
// without being delivered. The values are stored in the journal.
enum class FinalState { delivered, failed, returned, endedByTarget };

// Final outcome of an accepted message.
struct FinalOutcome {
  std::uint64_t position = 0;  // consecutive, from 1; never reused
  std::string id;
  FinalState finalState = FinalState::delivered;
  std::int64_t retryInMs = 0;  // with `returned`; 0 if unknown
  Micros recordedAt = 0;       // wall clock
  int messageClass = 0;
  std::int64_t destination = 0;
  int attempts = 0;
  Digest digest;
};

// Retention of final outcomes. No outcome is evicted before `duration` has passed; if `maxCount` is
// reached, new messages must be rejected (Journal::hasRoomForOutcomes). If disabled, only the ids of the
// last 4,096 ended messages are remembered.
struct OutcomeRetention {
  Micros duration = 0;
  std::size_t maxCount = 0;
  bool enabled() const { return duration > 0 && maxCount > 0; }
  bool operator==(const OutcomeRetention&) const = default;
};

// Who decides on the retention of a folder's outcomes: its owner, whose settings are recorded in the folder,
// or the settings that are recorded there, for a process that serves the folder of another one.
struct RetentionSource {
  // Retention as set by the owner of the folder.
  RetentionSource(const OutcomeRetention& ownerSettings = {})  // NOLINT(google-explicit-constructor)
      : settings(ownerSettings) {}
  static RetentionSource recordedInFolder() {
    RetentionSource source;
    source.recorded = true;
    return source;
  }
  OutcomeRetention settings;
  bool recorded = false;
};

// An accepted message whose end is not yet acknowledged: it is still to be delivered, or its notice is
// still to be sent.
struct PendingMessage {
  std::string id, key, body;
  MessageId handle = 0;
  int messageClass = 0;
  std::int64_t destination = 0;
  Micros deadline = 0;  // monotonic clock of this boot
  std::map<int, Attempt> attempts;
  std::optional<Notice> notice;
  Digest digest;
};

// Both clocks at one moment. Times in memory are monotonic, so that steps of the wall clock do not move them;
// records hold both, and after a reboot, when the monotonic clock has started anew, the wall clock counts.
struct ClockReading {
  Micros wall = 0, monotonic = 0;
  std::uint64_t boot = 0;  // identifies the boot of the machine that `monotonic` belongs to
};
ClockReading readClocks();

// Not thread-safe. File operations block.
class Journal {
 public:
  // Replays the existing journal; an incomplete record at its end is truncated and logged. With
  // `ownership`, claims the folder for its epoch first and copies the journal of the previous epoch into
  // a new file. Without it, the folder must never have been claimed. Throws std::runtime_error if the
  // folder cannot be used.
  Journal(const std::string& folder, std::size_t diskBytes, const RetentionSource& retention = {},
          std::unique_ptr<Ownership> ownership = nullptr);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Whether a message of this size, including all later records about it, fits into the disk limit.
  bool hasRoomFor(std::size_t idBytes, std::size_t keyBytes, std::size_t bodyBytes) const;

  // Each of these functions changes the state in memory at once; the change is on disk after the next
  // successful commit().
  PendingMessage& accept(PendingMessage message);
  void recordAttempt(PendingMessage& message, int number, const TargetId& target, Micros now);
  void recordNotExecuted(PendingMessage& message, int number);
  void recordNotice(PendingMessage& message, const Notice& notice);
  void recordEnd(const std::string& id);
  // Removes a message that could not be accepted because its commit failed.
  void discard(const std::string& id);
  // Records the final outcome if retention is enabled; a second one for the same message is ignored. The
  // notice of the message may still be pending.
  void recordOutcome(const PendingMessage& message, FinalState finalState, std::int64_t retryInMs,
                     Micros wallNow);
  // Writes all changes since the last commit. Returns false if none of them is on disk; they are then
  // written by the next successful commit, so the caller must discard() messages that it does not
  // accept.
  [[nodiscard]] bool commit();
  // After a failed commit: whether what it should have written may count all the same. Another owner may have
  // read it, or it could not be removed from the file. The messages that it accepts may be delivered then, so
  // their clients must not be told that they were rejected.
  bool uncertain() const { return uncertain_; }
  // Looks for another owner without writing anything. Returns false if there is one; the journal is fenced
  // then, and no later change is written.
  bool refreshOwnership();
  // Continues under a higher epoch, in that epoch's file, after the lease of the folder was lost and granted
  // again. What another owner wrote in between is read. Returns false if it left messages that have not
  // ended, or if messages of this journal have not ended that it may have changed: the journal is fenced
  // then, and the folder has to be recovered by a new start. Throws std::runtime_error if the folder cannot
  // be claimed or read.
  [[nodiscard]] bool renewOwnership(std::unique_ptr<Ownership> ownership);
  // Whether another process has claimed the folder. Every later commit fails, and no action that
  // requires a commit may be taken.
  bool fenced() const { return fenced_; }

  PendingMessage* find(const std::string& id);
  const PendingMessage* find(const std::string& id) const { return const_cast<Journal*>(this)->find(id); }
  // Digest of a pending message or of one that is known to have ended; nullptr if the id is unknown.
  const Digest* digestOf(const std::string& id) const;
  // Final outcomes that are on disk, nullptr if there is none. Pointers are valid until the next change.
  const FinalOutcome* durableOutcome(const std::string& id) const;
  bool hasUncommittedOutcome(const std::string& id) const;         // recorded, but not on disk yet
  const FinalOutcome* outcomeAfter(std::uint64_t position) const;  // the first one with a higher position
  // Random id of the sequence of positions: differs if the folder was lost and created anew. 0 if
  // retention is disabled.
  std::uint32_t epoch() const { return epoch_; }
  std::uint64_t lastDurablePosition() const { return durablePosition_; }
  std::uint64_t firstRetainedPosition() const {
    return outcomes_.empty() ? durablePosition_ + 1 : outcomes_.front().position;
  }
  std::size_t outcomeCount() const { return outcomes_.size(); }
  bool hasRoomForOutcomes(std::size_t additional) const;
  // Wall-clock time of the oldest retained outcome; 0 if there is none.
  Micros oldestOutcomeTime() const { return outcomes_.empty() ? 0 : outcomes_.front().recordedAt; }
  // Evicts outcomes that are older than the retention period.
  void evictExpiredOutcomes(Micros wallNow);
  std::unordered_map<std::string, std::unique_ptr<PendingMessage>>& pendingMessages() {
    return pendingMessages_;
  }
  const std::unordered_map<std::string, std::unique_ptr<PendingMessage>>& pendingMessages() const {
    return pendingMessages_;
  }
  bool hasNoPendingMessages() const { return pendingMessages_.empty(); }
  std::size_t fileBytes() const { return fileBytes_; }
  const OutcomeRetention& retention() const { return retention_; }

 private:
  // Reads a time that was recorded by both clocks, as one of the monotonic clock of this boot.
  Micros restoreTime(Micros wall, Micros monotonic, std::uint64_t boot) const;
  void replay(const std::string& path, bool truncateTornTail);
  bool writeUncommitted();
  void applyRecord(const std::string& payload);
  void appendRecord(const std::string& payload);
  bool appendToFile(const std::string& bytes);
  bool compact();
  // Logs the first failure of a series; `error` is an errno.
  void logFailure(const char* what, int error);
  void rememberEnded(const std::string& id, const Digest& digest);
  // Writes the settings of the owner to the folder if those recorded there differ.
  void recordRetention();
  void applyRetentionRecord(const OutcomeRetention& recorded);
  void applyOutcomeRecord(FinalOutcome outcome);
  // Deletes the files of lower epochs once the file of this epoch is synced to disk.
  void removeOlderEpochs();
  void retainOutcome(FinalOutcome outcome);

  bool adoptPreviousOwner(const std::string& previousPath);

  const ClockReading openedAt_ = readClocks();
  std::unique_ptr<Ownership> ownership_;
  bool fenced_ = false;
  std::string path_;
  std::size_t diskBytes_;
  int file_ = -1;
  std::size_t fileBytes_ = 0;
  std::size_t reservedBytes_ = 0;  // upper bound of the space that pending messages need in one file
  std::string uncommitted_;
  bool failing_ = false;        // the last commit failed, and that was logged
  bool uncertain_ = false;      // see uncertain()
  bool rewriteNeeded_ = false;  // the file is incomplete and must be replaced by compaction
  std::unordered_map<std::string, std::unique_ptr<PendingMessage>> pendingMessages_;
  std::unordered_map<std::string, Digest> endedDigests_;
  std::vector<std::string> endedIds_;
  std::size_t oldestEnded_ = 0;

  OutcomeRetention retention_;
  bool retentionFromFolder_;                           // see RetentionSource
  std::optional<OutcomeRetention> recordedRetention_;  // nothing in folders of the former format
  std::deque<FinalOutcome> outcomes_;  // ordered by position; also by time, except after clock steps
  std::unordered_map<std::string, std::uint64_t> outcomePositions_;
  std::size_t outcomeBytes_ = 0;       // space of `outcomes_` in the file
  std::uint32_t epoch_ = 0;            // 0 if not assigned
  std::uint64_t lastPosition_ = 0;     // of the last recorded outcome
  std::uint64_t durablePosition_ = 0;  // of the last outcome on disk
};

}  // namespace quilltide::net
