// Data folder of a coordinator: identity, process lock, and the persisted progress of this replica and its
// peers. Progress is persisted before it is reported, so a folder behind the peers' records is an older copy.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

namespace quilltide::coordinator {

// Progress of a replica; each value only increases.
struct ReplicaProgress {
  std::uint64_t boot = 0;     // number of process starts with this folder
  std::uint64_t term = 0;     // Raft term; the replica may have voted in it
  std::uint64_t applied = 0;  // index of the last applied log entry
  bool operator==(const ReplicaProgress&) const = default;
};

// The folder cannot be used; the message tells the operator what to do.
struct FolderError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Owns the data folder and its lock. Writes block until they are on disk and throw FolderError on failure,
// unless stated otherwise.
class Folder {
 public:
  // Locks the folder, creating it if absent, and increments the boot count. Throws FolderError if it belongs
  // to another fleet or coordinator, is locked by another process, or cannot be read or written.
  Folder(const std::string& path, const std::string& fleet, std::uint64_t id);
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& raftDirectory() const { return raftDirectory_; }  // directory of the Raft log
  bool isNew() const { return !bootstrapped_; }                        // never part of a cluster
  void markBootstrapped();  // persists that it is part of a cluster
  // Generation requested by recover(), 0 if none. The replica proposes it when it becomes leader.
  std::uint32_t requestedGeneration() const { return requestedGeneration_; }
  void requestGeneration(std::uint32_t generation);
  void clearGenerationRequest();

  const ReplicaProgress& ownProgress() const { return ownProgress_; }
  // Must succeed before the progress is reported to peers. Returns false if the write fails.
  [[nodiscard]] bool persistOwnProgress(const ReplicaProgress& progress);
  // Recorded progress of a peer, nullptr if unknown.
  const ReplicaProgress* peerProgress(std::uint64_t id) const;
  // Updates the record in memory; the next persistOwnProgress() writes it.
  void recordPeerProgress(std::uint64_t id, const ReplicaProgress& progress);

 private:
  void write(const char* name, const std::string& text);
  void writeIdentity();
  std::string path_, raftDirectory_, fleet_;
  std::uint64_t id_;
  int lockDescriptor_ = -1;
  bool bootstrapped_ = false;
  std::uint32_t requestedGeneration_ = 0;
  ReplicaProgress ownProgress_;
  std::map<std::uint64_t, ReplicaProgress> peers_;
};

}  // namespace quilltide::coordinator
