// Exclusive ownership of a state folder by fencing tokens (epochs), stored as files that are only ever added.
//
// A new owner first adds the marker of its epoch and then reads the journal. An owner first journals an
// intended action and then checks for markers of higher epochs. So each action that the previous owner may
// still carry out is in the journal that the new owner reads; for any other, the previous owner sees the
// marker and refrains. This holds if a process is suspended between any two steps for any time. It requires a
// file system that makes a new file visible to all processes at once, such as a local one.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace quilltide::net {

// File operations block.
class Ownership {
 public:
  // Does not write anything. `epoch` is the fencing token of the folder's lease, above 0.
  Ownership(std::string folder, std::uint64_t epoch);
  virtual ~Ownership() = default;
  Ownership(const Ownership&) = delete;
  Ownership& operator=(const Ownership&) = delete;

  // Writes the marker of this epoch; it is on disk when this returns. Throws std::runtime_error if a
  // higher epoch has claimed the folder or the marker cannot be written.
  void claim();
  // Whether no higher epoch has claimed the folder. Also false if the folder cannot be read.
  virtual bool isCurrentOwner() const;
  // Deletes the markers and journals of lower epochs. Call it when this epoch's journal is complete.
  void removeOlderEpochs() const;

  std::uint64_t epoch() const { return epoch_; }
  std::string journalPath() const;  // path of this epoch's journal
  // Path of the newest journal of a lower epoch, or of the journal without an epoch; empty if there is
  // none.
  std::string previousJournalPath() const;
  // Whether the folder was ever claimed by an epoch.
  static bool hasOwnershipMarks(const std::string& folder);

 private:
  std::string folder_;
  std::uint64_t epoch_;
};

}  // namespace quilltide::net
