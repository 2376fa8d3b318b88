// Files: identity.json, standing.json, lock, and the engine's folder.
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

json packed(const Standing& s) { return {{"boot", s.boot}, {"term", s.term}, {"applied", s.applied}}; }
Standing standingOf(const json& j) {
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
    : path_(path), engine_(path + "/engine"), fleet_(fleet), id_(id) {
  std::error_code error;
  fs::create_directories(engine_, error);
  if (error) throw FolderError("cannot make the folder '" + engine_ + "': " + error.message());
  lock_ = ::open((path_ + "/lock").c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0644);
  if (lock_ < 0) throw FolderError("cannot open '" + path_ + "/lock': " + std::strerror(errno));
  if (::flock(lock_, LOCK_EX | LOCK_NB) != 0) {
    ::close(lock_);
    throw FolderError("the folder '" + path_ + "' is in use by another process");
  }
  try {
    if (const auto identity = read(path_ + "/identity.json")) {
      const auto whose = identity->at("fleet").get<std::string>();
      const auto number = identity->at("id").get<std::uint64_t>();
      if (whose != fleet_ || number != id_)
        throw FolderError("the folder '" + path_ + "' belongs to coordinator " + std::to_string(number) +
                          " of fleet '" + whose + "', and this is coordinator " + std::to_string(id_) +
                          " of '" + fleet_ + "'");
      founded_ = identity->at("founded").get<bool>();
      raise_ = identity->value("raise", 0U);
    } else if (!fs::is_empty(engine_)) {
      throw FolderError("the folder '" + path_ +
                        "' has an engine's files and no identity.json: it is not whole");
    }
    if (const auto standing = read(path_ + "/standing.json")) {
      own_ = standingOf(standing->at("own"));
      for (const auto& [key, value] : standing->at("peers").items())
        peers_[std::stoull(key)] = standingOf(value);
    }
  } catch (const json::exception& problem) {
    ::close(lock_);
    throw FolderError("the folder '" + path_ + "' cannot be read: " + problem.what());
  } catch (...) {
    ::close(lock_);
    throw;
  }
  ++own_.boot;
  writeIdentity();
  if (!stand(own_)) throw FolderError("cannot write into '" + path_ + "': " + std::strerror(errno));
}

Folder::~Folder() {
  if (lock_ >= 0) ::close(lock_);
}

// Whole or not at all, and on the disk before it returns.
void Folder::write(const char* name, const std::string& text) {
  const std::string path = path_ + "/" + name, fresh = path + ".new";
  const int file = ::open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
  bool good = file >= 0 && ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()) &&
              ::fsync(file) == 0;
  if (file >= 0) good = ::close(file) == 0 && good;
  good = good && ::rename(fresh.c_str(), path.c_str()) == 0;
  if (!good) throw FolderError("cannot write '" + path + "': " + std::strerror(errno));
}

void Folder::writeIdentity() {
  json identity = {{"fleet", fleet_}, {"id", id_}, {"founded", founded_}};
  if (raise_ != 0) identity["raise"] = raise_;
  write("identity.json", identity.dump());
}

void Folder::founded() {
  if (founded_) return;
  founded_ = true;
  writeIdentity();
}

void Folder::askRaise(std::uint32_t generation) {
  raise_ = generation;
  writeIdentity();
}

void Folder::raised() {
  raise_ = 0;
  writeIdentity();
}

bool Folder::stand(const Standing& standing) {
  json peers = json::object();
  for (const auto& [id, s] : peers_) peers[std::to_string(id)] = packed(s);
  try {
    write("standing.json", json{{"own", packed(standing)}, {"peers", peers}}.dump());
  } catch (const FolderError&) {
    return false;
  }
  own_ = standing;
  return true;
}

const Standing* Folder::peer(std::uint64_t id) const {
  const auto at = peers_.find(id);
  return at == peers_.end() ? nullptr : &at->second;
}

void Folder::heard(std::uint64_t id, const Standing& standing) {
  Standing& known = peers_[id];
  known.boot = std::max(known.boot, standing.boot);
  known.term = std::max(known.term, standing.term);
  known.applied = std::max(known.applied, standing.applied);
}

}  // namespace quilltide::coordinator
