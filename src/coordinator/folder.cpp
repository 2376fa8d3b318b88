// Reads and writes identity.json, standing.json, the lock file and the Raft directory.
#include "coordinator/folder.hpp"

#include <fcntl.h>
#include <sys/file.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>

namespace quilltide::coordinator {

namespace fs = std::filesystem;
using nlohmann::json;

namespace {

json progressToJson(const ReplicaProgress& s) {
  return {{"boot", s.boot}, {"term", s.term}, {"applied", s.applied}};
}
ReplicaProgress progressFromJson(const json& j) {
  return {j.at("boot").get<std::uint64_t>(), j.at("term").get<std::uint64_t>(),
          j.at("applied").get<std::uint64_t>()};
}

std::optional<json> read(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  try {
    return json::parse(in);
  } catch (const json::exception& problem) {
    throw FolderError(
        path + " is damaged: " + problem.what() +
        ". Replace this coordinator: remove its id from the fleet, and add a new one with an empty folder.");
  }
}

}  // namespace

Folder::Folder(const std::string& path, const std::string& fleet, std::uint64_t id)
    : path_(path), raftDirectory_(path + "/engine"), fleet_(fleet), id_(id) {
  std::error_code error;
  fs::create_directories(raftDirectory_, error);
  if (error) throw FolderError("cannot create the folder '" + raftDirectory_ + "': " + error.message());
  lockDescriptor_ = ::open((path_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lockDescriptor_ < 0) throw FolderError("cannot open '" + path_ + "/lock': " + std::strerror(errno));
  if (::flock(lockDescriptor_, LOCK_EX | LOCK_NB) != 0) {
    ::close(lockDescriptor_);
    throw FolderError("the folder '" + path_ + "' is in use by another process");
  }
  try {
    if (const auto identity = read(path_ + "/identity.json")) {
      const auto recordedFleet = identity->at("fleet").get<std::string>();
      const auto recordedId = identity->at("id").get<std::uint64_t>();
      if (recordedFleet != fleet_ || recordedId != id_)
        throw FolderError("the folder '" + path_ + "' belongs to coordinator " + std::to_string(recordedId) +
                          " of fleet '" + recordedFleet + "', and this is coordinator " +
                          std::to_string(id_) + " of '" + fleet_ + "'");
      bootstrapped_ = identity->at("founded").get<bool>();
      requestedGeneration_ = identity->value("raise", 0U);
    } else if (!fs::is_empty(raftDirectory_)) {
      throw FolderError("the folder '" + path_ + "' has Raft files but no identity.json: it is incomplete");
    }
    if (const auto progress = read(path_ + "/standing.json")) {
      ownProgress_ = progressFromJson(progress->at("own"));
      for (const auto& [key, value] : progress->at("peers").items())
        peers_[std::stoull(key)] = progressFromJson(value);
    }
  } catch (const json::exception& problem) {
    ::close(lockDescriptor_);
    throw FolderError("the folder '" + path_ + "' cannot be read: " + problem.what());
  } catch (...) {
    ::close(lockDescriptor_);
    throw;
  }
  ++ownProgress_.boot;
  writeIdentity();
  if (!persistOwnProgress(ownProgress_))
    throw FolderError("cannot write into '" + path_ + "': " + std::strerror(errno));
}

Folder::~Folder() {
  if (lockDescriptor_ >= 0) ::close(lockDescriptor_);
}

// Replaces the file by rename after fsync of the new contents. Throws FolderError.
void Folder::write(const char* name, const std::string& text) {
  const std::string path = path_ + "/" + name, temporaryPath = path + ".new";
  const int file = ::open(temporaryPath.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  bool succeeded = file >= 0 &&
                   ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
                   ::fsync(file) == 0;
  if (file >= 0) succeeded = ::close(file) == 0 && succeeded;
  succeeded = succeeded && ::rename(temporaryPath.c_str(), path.c_str()) == 0;
  if (!succeeded) throw FolderError("cannot write '" + path + "': " + std::strerror(errno));
}

void Folder::writeIdentity() {
  json identity = {{"fleet", fleet_}, {"id", id_}, {"founded", bootstrapped_}};
  if (requestedGeneration_ != 0) identity["raise"] = requestedGeneration_;
  write("identity.json", identity.dump());
}

void Folder::markBootstrapped() {
  if (bootstrapped_) return;
  bootstrapped_ = true;
  writeIdentity();
}

void Folder::requestGeneration(std::uint32_t generation) {
  requestedGeneration_ = generation;
  writeIdentity();
}

void Folder::clearGenerationRequest() {
  requestedGeneration_ = 0;
  writeIdentity();
}

bool Folder::persistOwnProgress(const ReplicaProgress& progress) {
  json peers = json::object();
  for (const auto& [id, s] : peers_) peers[std::to_string(id)] = progressToJson(s);
  try {
    write("standing.json", json{{"own", progressToJson(progress)}, {"peers", peers}}.dump());
  } catch (const FolderError&) {
    return false;
  }
  ownProgress_ = progress;
  return true;
}

const ReplicaProgress* Folder::peerProgress(std::uint64_t id) const {
  const auto at = peers_.find(id);
  return at == peers_.end() ? nullptr : &at->second;
}

void Folder::recordPeerProgress(std::uint64_t id, const ReplicaProgress& progress) {
  ReplicaProgress& known = peers_[id];
  known.boot = std::max(known.boot, progress.boot);
  known.term = std::max(known.term, progress.term);
  known.applied = std::max(known.applied, progress.applied);
}

}  // namespace quilltide::coordinator
