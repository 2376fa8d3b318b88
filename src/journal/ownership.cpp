// Markers are named "owner-EPOCH" and journals "journal-EPOCH", with the epoch in twenty decimal digits.
#include "journal/ownership.hpp"

#include <dirent.h>
#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstdio>
#include <cstring>
#include <functional>
#include <optional>
#include <stdexcept>

namespace quilltide::net {
namespace {

const std::string kMarkPrefix = "owner-", kJournalPrefix = "journal-";
constexpr std::size_t kEpochDigits = 20;

std::string fileName(const std::string& prefix, std::uint64_t epoch) {
  std::string digits = std::to_string(epoch);
  return prefix + std::string(kEpochDigits - digits.size(), '0') + digits;
}

std::optional<std::uint64_t> parseEpoch(const std::string& prefix, const char* name) {
  if (std::strncmp(name, prefix.c_str(), prefix.size()) != 0) return std::nullopt;
  const char* begin = name + prefix.size();
  const char* end = begin + std::strlen(begin);
  std::uint64_t epoch = 0;
  const auto [stop, error] = std::from_chars(begin, end, epoch);
  if (error != std::errc() || stop != end || static_cast<std::size_t>(end - begin) != kEpochDigits)
    return std::nullopt;
  return epoch;
}

// Calls `visit` with the epoch of each file that has the prefix. Returns false if the folder cannot be
// read.
bool forEachEpoch(const std::string& folder, const std::string& prefix,
                  const std::function<void(std::uint64_t)>& visit) {
  DIR* directory = ::opendir(folder.c_str());
  if (directory == nullptr) return false;
  errno = 0;
  while (const dirent* entry = ::readdir(directory)) {
    if (const auto epoch = parseEpoch(prefix, entry->d_name)) visit(*epoch);
  }
  const bool complete = errno == 0;
  ::closedir(directory);
  return complete;
}

}  // namespace

Ownership::Ownership(std::string folder, std::uint64_t epoch) : folder_(std::move(folder)), epoch_(epoch) {}

void Ownership::claim() {
  if (!isCurrentOwner())
    throw std::runtime_error("the folder '" + folder_ + "' is claimed by an epoch above " +
                             std::to_string(epoch_));
  const std::string path = folder_ + "/" + fileName(kMarkPrefix, epoch_);
  const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_CLOEXEC, 0644);
  const int directory = ::open(folder_.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  const bool succeeded = file >= 0 && directory >= 0 && ::fsync(file) == 0 && ::fsync(directory) == 0;
  const int error = errno;
  if (file >= 0) ::close(file);
  if (directory >= 0) ::close(directory);
  if (!succeeded)
    throw std::runtime_error("cannot claim the folder '" + folder_ + "': " + std::strerror(error));
  // A higher epoch may have claimed the folder between the first check and the marker.
  if (!isCurrentOwner())
    throw std::runtime_error("the folder '" + folder_ + "' is claimed by an epoch above " +
                             std::to_string(epoch_));
}

bool Ownership::isCurrentOwner() const {
  bool isHighest = true;
  return forEachEpoch(folder_, kMarkPrefix,
                      [&](std::uint64_t epoch) { isHighest = isHighest && epoch <= epoch_; }) &&
         isHighest;
}

std::string Ownership::journalPath() const { return folder_ + "/" + fileName(kJournalPrefix, epoch_); }

std::string Ownership::previousJournalPath() const {
  std::uint64_t newest = 0;
  forEachEpoch(folder_, kJournalPrefix, [&](std::uint64_t epoch) {
    if (epoch < epoch_) newest = std::max(newest, epoch);
  });
  if (newest > 0) return folder_ + "/" + fileName(kJournalPrefix, newest);
  const std::string unversionedPath = folder_ + "/journal";
  return ::access(unversionedPath.c_str(), F_OK) == 0 ? unversionedPath : "";
}

void Ownership::removeOlderEpochs() const {
  std::vector<std::string> obsoleteFiles;
  forEachEpoch(folder_, kMarkPrefix, [&](std::uint64_t epoch) {
    if (epoch < epoch_) obsoleteFiles.push_back(fileName(kMarkPrefix, epoch));
  });
  forEachEpoch(folder_, kJournalPrefix, [&](std::uint64_t epoch) {
    if (epoch >= epoch_) return;
    obsoleteFiles.push_back(fileName(kJournalPrefix, epoch));
    obsoleteFiles.push_back(fileName(kJournalPrefix, epoch) + ".new");
  });
  obsoleteFiles.push_back("journal");
  for (const std::string& name : obsoleteFiles) ::unlink((folder_ + "/" + name).c_str());
}

bool Ownership::hasOwnershipMarks(const std::string& folder) {
  bool found = false;
  forEachEpoch(folder, kMarkPrefix, [&](std::uint64_t) { found = true; });
  forEachEpoch(folder, kJournalPrefix, [&](std::uint64_t) { found = true; });
  return found;
}

}  // namespace quilltide::net
