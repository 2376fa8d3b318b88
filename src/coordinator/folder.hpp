// A coordinator's folder: whose it is, that only one process has it, and how far this coordinator and its
// peers are known to have come. What is told to others is written first, so that a folder that knows less
// than they do is an old copy.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <stdexcept>
#include <string>

namespace quilltide::coordinator {

// How far a coordinator has come, as it told: each number only grows.
struct Standing {
  std::uint64_t boot = 0;     // starts of this coordinator with this folder
  std::uint64_t term = 0;     // of the engine: it may have voted in it
  std::uint64_t applied = 0;  // entries
  bool operator==(const Standing&) const = default;
};

// The folder cannot be used, and what to do is in the message.
struct FolderError : std::runtime_error {
  using std::runtime_error::runtime_error;
};

class Folder {
 public:
  // Takes the folder for this process; makes it if there is none. Throws FolderError: of another fleet or
  // coordinator, in use, unreadable.
  Folder(const std::string& path, const std::string& fleet, std::uint64_t id);
  ~Folder();
  Folder(const Folder&) = delete;
  Folder& operator=(const Folder&) = delete;

  const std::string& engine() const { return engine_; }  // the engine's own folder
  bool fresh() const { return !founded_; }               // never was part of a fleet
  void founded();                                        // from here on it is
  // What recover() asks for: state that was restored says so to the fleet when it leads.
  std::uint32_t raise() const { return raise_; }
  void askRaise(std::uint32_t generation);
  void raised();

  const Standing& own() const { return own_; }
  // Written before it is told to anybody. False: it could not be.
  [[nodiscard]] bool stand(const Standing& standing);
  const Standing* peer(std::uint64_t id) const;
  void heard(std::uint64_t id, const Standing& standing);

 private:
  void write(const char* name, const std::string& text);
  void writeIdentity();
  std::string path_, engine_, fleet_;
  std::uint64_t id_;
  int lock_ = -1;
  bool founded_ = false;
  std::uint32_t raise_ = 0;
  Standing own_;
  std::map<std::uint64_t, Standing> peers_;
};

}  // namespace quilltide::coordinator
