// File format: records of CBOR arrays, each preceded by its length and CRC-32.
#include "journal/journal.hpp"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <boost/crc.hpp>
#include <cerrno>
#include <chrono>
#include <cstring>
#include <fstream>
#include <iostream>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>
#include <stdexcept>
#include <utility>

namespace quilltide::net {
namespace {

using nlohmann::json;

constexpr std::streamsize kReadChunkBytes = 1 << 16;
constexpr std::size_t kHeaderBytes = 8;               // length and checksum
constexpr std::size_t kMaxRecordBytes = 1 << 20;      // a greater length means a corrupt record
constexpr std::size_t kAttemptsReserveBytes = 1'500;  // space for the attempts and the end of one message
constexpr std::size_t kSpareBytes = 100'000;          // space kept free for records about pending messages
constexpr std::size_t kBlockBytes = 512;
constexpr std::size_t kMaxEndedIds = 4'096;  // remembered ids of ended messages
// For a folder with outcomes and without a record of its retention: all are kept until its owner is back.
constexpr OutcomeRetention kUnknownRetention{Micros{365} * 24 * 3'600 * 1'000'000,
                                             std::numeric_limits<std::uint32_t>::max()};

// Throws std::runtime_error if the file cannot be read: it must not be taken for an empty one.
std::string readWhole(const std::string& path) {
  std::ifstream input(path, std::ios::binary);
  if (!input) throw std::runtime_error("cannot open '" + path + "': " + std::strerror(errno));
  std::string content;
  std::vector<char> chunk(kReadChunkBytes);
  while (input.read(chunk.data(), kReadChunkBytes) || input.gcount() > 0)
    content.append(chunk.data(), static_cast<std::size_t>(input.gcount()));
  if (input.bad()) throw std::runtime_error("cannot read '" + path + "'");
  return content;
}

std::uint32_t checksum(const char* data, std::size_t size) {
  boost::crc_32_type crc;
  crc.process_bytes(data, size);
  return crc.checksum();
}

std::string encode(const json& record) {
  std::string out;
  json::to_cbor(record, out);
  return out;
}

std::string frame(const std::string& payload) {
  const std::uint32_t head[2] = {static_cast<std::uint32_t>(payload.size()),
                                 checksum(payload.data(), payload.size())};
  return std::string(reinterpret_cast<const char*>(head), kHeaderBytes) + payload;
}

json::binary_t toBinary(const std::string& text) {
  return json::binary_t(std::vector<std::uint8_t>(text.begin(), text.end()));
}
std::string fromBinary(const json& value) {
  const auto& bytes = value.get_binary();
  return {bytes.begin(), bytes.end()};
}

// Ids and keys may contain arbitrary bytes, so they are stored as binary strings. A time is stored by the
// wall clock, which all versions read, and behind that by the monotonic clock with its boot.
std::string acceptRecord(const PendingMessage& message, const ClockReading& clocks) {
  return encode(
      json::array({"accept", toBinary(message.id), toBinary(message.key), toBinary(message.body),
                   message.messageClass, message.destination,
                   message.deadline - clocks.monotonic + clocks.wall, message.deadline, clocks.boot}));
}
std::string attemptRecord(const std::string& id, int number, const Attempt& attempt,
                          const ClockReading& clocks) {
  return encode(json::array({"attempt", toBinary(id), number, attempt.target,
                             attempt.sentAt - clocks.monotonic + clocks.wall, attempt.sentAt, clocks.boot}));
}
std::string notExecutedRecord(const std::string& id, int number) {
  return encode(json::array({"never_ran", toBinary(id), number}));
}
std::string noticeRecord(const std::string& id, const Notice& notice) {
  return encode(json::array({"owe", toBinary(id), notice.returned, notice.retryInMs}));
}
std::string endRecord(const std::string& id) { return encode(json::array({"end", toBinary(id)})); }

std::string outcomeRecord(const FinalOutcome& outcome) {
  return encode(
      json::array({"answer", toBinary(outcome.id), outcome.position, static_cast<int>(outcome.finalState),
                   outcome.retryInMs, outcome.recordedAt, outcome.messageClass, outcome.destination,
                   outcome.attempts, outcome.digest.low, outcome.digest.high}));
}
// Keeps positions increasing after earlier outcomes were evicted.
std::string positionRecord(std::uint32_t epoch, std::uint64_t position) {
  return encode(json::array({"position", toBinary(""), position, epoch}));
}

std::string retentionRecord(const OutcomeRetention& retention) {
  return encode(json::array({"retention", toBinary(""), retention.duration, retention.maxCount}));
}

// Estimated size of an outcome's record.
std::size_t outcomeSizeBytes(const FinalOutcome& outcome) { return 100 + outcome.id.size(); }

std::size_t maxMessageBytes(std::size_t idBytes, std::size_t keyBytes, std::size_t bodyBytes) {
  return bodyBytes + keyBytes + 16 * idBytes + kAttemptsReserveBytes;
}
std::size_t maxMessageBytes(const PendingMessage& message) {
  return maxMessageBytes(message.id.size(), message.key.size(), message.body.size());
}

bool writeAll(int file, const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const ssize_t count = ::write(file, bytes.data() + written, bytes.size() - written);
    if (count < 0 && errno == EINTR) continue;
    if (count <= 0) return false;
    written += static_cast<std::size_t>(count);
  }
  return true;
}

}  // namespace

ClockReading readClocks() {
  const auto microseconds = [](auto duration) {
    return std::chrono::duration_cast<std::chrono::microseconds>(duration).count();
  };
  static const std::uint64_t boot = [] {
    std::ifstream input("/proc/sys/kernel/random/boot_id");
    std::string text;
    std::getline(input, text);
    return XXH3_64bits(text.data(), text.size());
  }();
  return {microseconds(std::chrono::system_clock::now().time_since_epoch()),
          microseconds(std::chrono::steady_clock::now().time_since_epoch()), boot};
}

Digest digestOf(int messageClass, std::int64_t destination, const std::string& key, const std::string& body) {
  XXH3_state_t state;
  XXH3_128bits_reset(&state);
  const std::int64_t head[3] = {messageClass, destination, static_cast<std::int64_t>(key.size())};
  XXH3_128bits_update(&state, head, sizeof head);
  XXH3_128bits_update(&state, key.data(), key.size());
  XXH3_128bits_update(&state, body.data(), body.size());
  const XXH128_hash_t hash = XXH3_128bits_digest(&state);
  return {hash.low64, hash.high64};
}

Journal::Journal(const std::string& folder, std::size_t diskBytes, const RetentionSource& retention,
                 std::unique_ptr<Ownership> ownership)
    : ownership_(std::move(ownership)),
      path_(ownership_ ? ownership_->journalPath() : folder + "/journal"),
      diskBytes_(diskBytes - std::min(diskBytes, 2 * kBlockBytes)),
      retention_(retention.settings),
      retentionFromFolder_(retention.recorded) {
  if (!ownership_ && Ownership::hasOwnershipMarks(folder))
    throw std::runtime_error("the folder '" + folder +
                             "' belongs to a fleet: start with a [fleet] configuration");
  std::string previousPath;
  if (ownership_) {
    ownership_->claim();
    if (::access(path_.c_str(), F_OK) != 0) previousPath = ownership_->previousJournalPath();
  }
  ::unlink((path_ + ".new").c_str());  // left behind by an interrupted compaction
  if (previousPath.empty()) {
    file_ = ::open(path_.c_str(), O_RDWR | O_CREAT | O_CLOEXEC | O_APPEND, 0644);
    if (file_ < 0) throw std::runtime_error("cannot open '" + path_ + "': " + std::strerror(errno));
    replay(path_, true);
  } else {
    // The previous owner may still have its file open, so that is only read. This epoch's file is
    // created complete, by a rename: after a crash an empty file would be taken for the whole journal.
    replay(previousPath, false);
    if (!compact()) throw std::runtime_error("cannot take over '" + previousPath + "' into '" + path_ + "'");
  }
  if (ownership_) removeOlderEpochs();
  recordRetention();
  if (!retention_.enabled() || epoch_ != 0) return;
  std::random_device random;
  while (epoch_ == 0) epoch_ = random();
  appendRecord(positionRecord(epoch_, lastPosition_));
}

// The marker comes first: no lower epoch acts any more when the folder is read. As long as this journal's
// file is the newest one, no other owner has acted; one that was still reading may add its file later, and
// that is lower than the file of this epoch.
bool Journal::renewOwnership(std::unique_ptr<Ownership> ownership) {
  if (fenced_) return false;
  if (ownership->epoch() <= ownership_->epoch()) return true;
  ownership->claim();
  const std::string previousPath = ownership->previousJournalPath();
  if (previousPath != path_ && !adoptPreviousOwner(previousPath)) {
    fenced_ = true;
    return false;
  }
  ownership_ = std::move(ownership);
  path_ = ownership_->journalPath();
  rewriteNeeded_ = true;  // until this epoch's file is complete, no commit succeeds
  if (compact()) {
    durablePosition_ = lastPosition_;
    removeOlderEpochs();
  }
  return true;
}

// Reads what another owner wrote after it had read all that this journal has committed. Returns false if not
// all messages have ended.
bool Journal::adoptPreviousOwner(const std::string& previousPath) {
  if (!pendingMessages_.empty() || previousPath.empty()) return false;
  const std::uint64_t knownPosition = lastPosition_;
  replay(previousPath, false);
  durablePosition_ = knownPosition;
  return pendingMessages_.empty();
}

// Until the new file is on disk, a failure of the machine may leave the older ones alone.
void Journal::removeOlderEpochs() {
  const std::string folder = path_.substr(0, path_.rfind('/'));
  const int directory = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool synced = directory >= 0 && ::fsync(file_) == 0 && ::fsync(directory) == 0;
  const int error = errno;
  if (directory >= 0) ::close(directory);
  if (synced) return ownership_->removeOlderEpochs();
  std::cerr << "journal: files of earlier epochs are kept: " << std::strerror(error) << std::endl;
}

void Journal::recordRetention() {
  if (retentionFromFolder_) return;
  if (recordedRetention_.value_or(OutcomeRetention{}) == retention_) return;
  recordedRetention_ = retention_;
  appendRecord(retentionRecord(retention_));
}

Journal::~Journal() {
  if (file_ >= 0) ::close(file_);
}

void Journal::replay(const std::string& path, bool truncateTornTail) {
  const std::string bytes = readWhole(path);
  std::size_t offset = 0;
  while (bytes.size() - offset >= kHeaderBytes) {
    std::uint32_t head[2];
    std::memcpy(head, bytes.data() + offset, kHeaderBytes);
    if (head[0] > kMaxRecordBytes || head[0] > bytes.size() - offset - kHeaderBytes) break;
    if (checksum(bytes.data() + offset + kHeaderBytes, head[0]) != head[1]) break;
    try {
      applyRecord(bytes.substr(offset + kHeaderBytes, head[0]));
    } catch (const std::exception& problem) {
      std::cerr << "journal: invalid record at byte " << offset << ": " << problem.what() << std::endl;
    }
    offset += kHeaderBytes + head[0];
  }
  if (offset < bytes.size() && truncateTornTail) {
    std::cerr << "journal: truncated an incomplete record of " << bytes.size() - offset << " bytes at the end"
              << std::endl;
    if (::ftruncate(file_, static_cast<off_t>(offset)) != 0)
      throw std::runtime_error("cannot truncate '" + path_ + "': " + std::strerror(errno));
  }
  fileBytes_ = offset;
  durablePosition_ = lastPosition_;
}

Micros Journal::restoreTime(Micros wall, Micros monotonic, std::uint64_t boot) const {
  return boot == openedAt_.boot ? monotonic : wall - openedAt_.wall + openedAt_.monotonic;
}

void Journal::applyRecord(const std::string& payload) {
  const json record = json::from_cbor(payload);
  const std::string type = record.at(0).get<std::string>();
  const std::string id = fromBinary(record.at(1));
  if (type == "accept") {
    auto message = std::make_unique<PendingMessage>();
    message->id = id;
    message->key = fromBinary(record.at(2));
    message->body = fromBinary(record.at(3));
    message->messageClass = record.at(4).get<int>();
    message->destination = record.at(5).get<std::int64_t>();
    const bool hasMonotonicTime = record.size() > 8;
    message->deadline =
        restoreTime(record.at(6).get<Micros>(), hasMonotonicTime ? record.at(7).get<Micros>() : 0,
                    hasMonotonicTime ? record.at(8).get<std::uint64_t>() : 0);
    message->digest = net::digestOf(message->messageClass, message->destination, message->key, message->body);
    reservedBytes_ += maxMessageBytes(*message);
    pendingMessages_[id] = std::move(message);
    return;
  }
  if (type == "end") {
    const PendingMessage* message = find(id);
    if (message == nullptr) return;
    reservedBytes_ -= maxMessageBytes(*message);
    rememberEnded(id, message->digest);
    pendingMessages_.erase(id);
    return;
  }
  if (type == "position") {
    lastPosition_ = std::max(lastPosition_, record.at(2).get<std::uint64_t>());
    epoch_ = record.at(3).get<std::uint32_t>();
    if (retentionFromFolder_ && !recordedRetention_) retention_ = kUnknownRetention;
    return;
  }
  if (type == "answer") {
    FinalOutcome outcome;
    outcome.id = id;
    outcome.position = record.at(2).get<std::uint64_t>();
    outcome.finalState = static_cast<FinalState>(record.at(3).get<int>());
    outcome.retryInMs = record.at(4).get<std::int64_t>();
    outcome.recordedAt = record.at(5).get<Micros>();
    outcome.messageClass = record.at(6).get<int>();
    outcome.destination = record.at(7).get<std::int64_t>();
    outcome.attempts = record.at(8).get<int>();
    outcome.digest = {record.at(9).get<std::uint64_t>(), record.at(10).get<std::uint64_t>()};
    applyOutcomeRecord(std::move(outcome));
    return;
  }
  if (type == "retention") {
    applyRetentionRecord({record.at(2).get<Micros>(), record.at(3).get<std::size_t>()});
    return;
  }
  PendingMessage* message = find(id);
  if (message == nullptr) return;
  if (type == "attempt") {
    const bool hasMonotonicTime = record.size() > 6;
    const Micros sentAt =
        restoreTime(record.at(4).get<Micros>(), hasMonotonicTime ? record.at(5).get<Micros>() : 0,
                    hasMonotonicTime ? record.at(6).get<std::uint64_t>() : 0);
    message->attempts[record.at(2).get<int>()] = {record.at(3).get<std::string>(), sentAt, false};
  } else if (type == "never_ran") {
    message->attempts[record.at(2).get<int>()].notExecuted = true;
  } else if (type == "owe") {
    message->notice = Notice{record.at(2).get<bool>(), record.at(3).get<std::int64_t>()};
  }
}

void Journal::applyRetentionRecord(const OutcomeRetention& recorded) {
  recordedRetention_ = recorded;
  if (retentionFromFolder_) retention_ = recorded;
}

// An outcome that is not retained still tells that its message has ended.
void Journal::applyOutcomeRecord(FinalOutcome outcome) {
  lastPosition_ = std::max(lastPosition_, outcome.position);
  if (!retention_.enabled()) return rememberEnded(outcome.id, outcome.digest);
  const bool known = !outcomes_.empty() && outcome.position <= outcomes_.back().position;
  if (!known) retainOutcome(std::move(outcome));
}

void Journal::rememberEnded(const std::string& id, const Digest& digest) {
  if (!endedDigests_.emplace(id, digest).second) return;
  if (endedIds_.size() < kMaxEndedIds) {
    endedIds_.push_back(id);
    return;
  }
  endedDigests_.erase(endedIds_[oldestEnded_]);
  endedIds_[oldestEnded_] = id;
  oldestEnded_ = (oldestEnded_ + 1) % kMaxEndedIds;
}

const Digest* Journal::digestOf(const std::string& id) const {
  if (const PendingMessage* message = find(id)) return &message->digest;
  if (const auto found = outcomePositions_.find(id); found != outcomePositions_.end())
    return &outcomes_[found->second - outcomes_.front().position].digest;
  const auto found = endedDigests_.find(id);
  return found == endedDigests_.end() ? nullptr : &found->second;
}

// ---- Final outcomes ----

void Journal::retainOutcome(FinalOutcome outcome) {
  // outcomes_ is indexed by position, which requires positions without gaps. This program writes none; a
  // file that has one was written by something else.
  if (!outcomes_.empty() && outcome.position != outcomes_.back().position + 1) {
    std::cerr << "journal: dropped final outcomes up to position " << outcomes_.back().position
              << ": the next position is missing" << std::endl;
    outcomes_.clear();
    outcomePositions_.clear();
    outcomeBytes_ = 0;
  }
  outcomeBytes_ += outcomeSizeBytes(outcome);
  outcomePositions_[outcome.id] = outcome.position;
  outcomes_.push_back(std::move(outcome));
}

void Journal::recordOutcome(const PendingMessage& message, FinalState finalState, std::int64_t retryInMs,
                            Micros wallNow) {
  if (!retention_.enabled() || outcomePositions_.contains(message.id)) return;
  FinalOutcome outcome;
  outcome.position = ++lastPosition_;
  outcome.id = message.id;
  outcome.finalState = finalState;
  outcome.retryInMs = retryInMs;
  outcome.recordedAt = wallNow;
  outcome.messageClass = message.messageClass;
  outcome.destination = message.destination;
  outcome.attempts = message.attempts.empty() ? 0 : message.attempts.rbegin()->first + 1;
  outcome.digest = message.digest;
  appendRecord(outcomeRecord(outcome));
  retainOutcome(std::move(outcome));
}

const FinalOutcome* Journal::outcomeAfter(std::uint64_t position) const {
  if (position >= durablePosition_ || outcomes_.empty()) return nullptr;
  const std::uint64_t first = outcomes_.front().position;
  return &outcomes_[position < first ? 0 : position + 1 - first];
}

const FinalOutcome* Journal::durableOutcome(const std::string& id) const {
  const auto found = outcomePositions_.find(id);
  if (found == outcomePositions_.end() || found->second > durablePosition_) return nullptr;
  return &outcomes_[found->second - outcomes_.front().position];
}

bool Journal::hasUncommittedOutcome(const std::string& id) const {
  const auto found = outcomePositions_.find(id);
  return found != outcomePositions_.end() && found->second > durablePosition_;
}

// Each pending message will need space for its outcome too.
bool Journal::hasRoomForOutcomes(std::size_t additional) const {
  return !retention_.enabled() ||
         outcomes_.size() + pendingMessages_.size() + additional <= retention_.maxCount;
}

// An outcome is kept while its message is pending: the record must stay valid until the notice is
// acknowledged.
void Journal::evictExpiredOutcomes(Micros wallNow) {
  while (!outcomes_.empty() && outcomes_.front().recordedAt < wallNow - retention_.duration &&
         outcomes_.front().position <= durablePosition_ && !pendingMessages_.contains(outcomes_.front().id)) {
    outcomeBytes_ -= outcomeSizeBytes(outcomes_.front());
    rememberEnded(outcomes_.front().id, outcomes_.front().digest);
    outcomePositions_.erase(outcomes_.front().id);
    outcomes_.pop_front();
  }
}

// During compaction the old and the new file both count towards the limit.
bool Journal::hasRoomFor(std::size_t idBytes, std::size_t keyBytes, std::size_t bodyBytes) const {
  return 2 * (reservedBytes_ + outcomeBytes_ + maxMessageBytes(idBytes, keyBytes, bodyBytes)) + kSpareBytes <=
         diskBytes_;
}

PendingMessage* Journal::find(const std::string& id) {
  const auto found = pendingMessages_.find(id);
  return found == pendingMessages_.end() ? nullptr : found->second.get();
}

void Journal::appendRecord(const std::string& payload) { uncommitted_ += frame(payload); }

PendingMessage& Journal::accept(PendingMessage message) {
  appendRecord(acceptRecord(message, readClocks()));
  reservedBytes_ += maxMessageBytes(message);
  auto& entry = pendingMessages_[message.id];
  entry = std::make_unique<PendingMessage>(std::move(message));
  return *entry;
}

void Journal::recordAttempt(PendingMessage& message, int number, const TargetId& target, Micros now) {
  Attempt& attempt = message.attempts[number] = {target, now, false};
  appendRecord(attemptRecord(message.id, number, attempt, readClocks()));
}

void Journal::recordNotExecuted(PendingMessage& message, int number) {
  message.attempts[number].notExecuted = true;
  appendRecord(notExecutedRecord(message.id, number));
}

void Journal::recordNotice(PendingMessage& message, const Notice& notice) {
  message.notice = notice;
  appendRecord(noticeRecord(message.id, notice));
}

void Journal::recordEnd(const std::string& idReference) {
  const std::string id = idReference;  // a copy: the reference may point into the message that is erased
  PendingMessage* message = find(id);
  if (message == nullptr) return;
  reservedBytes_ -= maxMessageBytes(*message);
  if (!retention_.enabled()) rememberEnded(id, message->digest);  // otherwise the outcome remembers it
  pendingMessages_.erase(id);
  appendRecord(endRecord(id));
}

// No record is needed: after a failed commit, the next one rewrites the file from memory.
void Journal::discard(const std::string& id) {
  PendingMessage* message = find(id);
  if (message == nullptr) return;
  reservedBytes_ -= maxMessageBytes(*message);
  pendingMessages_.erase(id);
}

bool Journal::appendToFile(const std::string& bytes) {
  if (writeAll(file_, bytes)) {
    fileBytes_ += bytes.size();
    return true;
  }
  const int error = errno;
  if (::ftruncate(file_, static_cast<off_t>(fileBytes_)) != 0) uncertain_ = rewriteNeeded_ = true;
  logFailure("write failed", error);
  return false;
}

void Journal::logFailure(const char* what, int error) {
  if (std::exchange(failing_, true)) return;
  std::cerr << "journal: " << what << ": " << std::strerror(error) << "; retried until it succeeds"
            << std::endl;
}

// Ownership is checked after the write: only then may the caller act on what was written (see Ownership).
bool Journal::commit() {
  uncertain_ = false;
  if (fenced_) return false;
  if (uncommitted_.empty() && !rewriteNeeded_) return true;
  const bool success = writeUncommitted();
  if (success && std::exchange(failing_, false)) std::cerr << "journal: writes succeed again" << std::endl;
  uncertain_ = !refreshOwnership() || uncertain_;
  return success && !fenced_;
}

bool Journal::refreshOwnership() {
  fenced_ = fenced_ || (ownership_ && !ownership_->isCurrentOwner());
  return !fenced_;
}

// A compaction needs space for its whole file beside the present one: it comes while there still is enough.
bool Journal::writeUncommitted() {
  const std::size_t compactedBytes = reservedBytes_ + outcomeBytes_ + kBlockBytes;
  const bool overLimit = fileBytes_ + uncommitted_.size() + compactedBytes > diskBytes_;
  const bool mostlyObsolete = fileBytes_ > 4 * (reservedBytes_ + outcomeBytes_ + kSpareBytes);
  if (!rewriteNeeded_ && !overLimit && !mostlyObsolete && appendToFile(uncommitted_)) {
    uncommitted_.clear();
    durablePosition_ = lastPosition_;
    return true;
  }
  if (compact()) {
    durablePosition_ = lastPosition_;
    return true;
  }
  // The state in memory is ahead of the file: the next commit rewrites the whole file.
  rewriteNeeded_ = true;
  uncommitted_.clear();
  return false;
}

bool Journal::compact() {
  std::string content;
  const ClockReading clocks = readClocks();
  for (const auto& [id, message] : pendingMessages_) {
    content += frame(acceptRecord(*message, clocks));
    for (const auto& [number, attempt] : message->attempts) {
      content += frame(attemptRecord(id, number, attempt, clocks));
      if (attempt.notExecuted) content += frame(notExecutedRecord(id, number));
    }
    if (message->notice) content += frame(noticeRecord(id, *message->notice));
  }
  if (recordedRetention_ && recordedRetention_->enabled())
    content += frame(retentionRecord(*recordedRetention_));
  if (epoch_ > 0) content += frame(positionRecord(epoch_, lastPosition_));
  for (const FinalOutcome& outcome : outcomes_) content += frame(outcomeRecord(outcome));
  const std::string temporaryPath = path_ + ".new";
  if (fileBytes_ + content.size() > diskBytes_) {
    logFailure("the disk limit leaves no space for compaction", ENOSPC);
    return false;
  }
  const int newFile = ::open(temporaryPath.c_str(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC | O_APPEND, 0644);
  if (newFile < 0) {
    logFailure("compaction failed", errno);
    return false;
  }
  if (!writeAll(newFile, content) || ::rename(temporaryPath.c_str(), path_.c_str()) != 0) {
    logFailure("compaction failed", errno);
    ::close(newFile);
    ::unlink(temporaryPath.c_str());
    return false;
  }
  if (file_ >= 0) ::close(file_);
  file_ = newFile;
  fileBytes_ = content.size();
  uncommitted_.clear();
  rewriteNeeded_ = false;
  return true;
}

}  // namespace quilltide::net
