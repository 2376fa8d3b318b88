// The messages taken on, on disk: an append-only file that is replayed at the start and compacted by rename.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "quilltide/sender.hpp"

namespace quilltide::net {

struct Attempt {
  TargetId target;
  Micros sent = 0;  // wall clock
  bool neverRan = false;
};

struct Notice {
  bool handedBack = false;  // else given up
  std::int64_t retryInMs = 0;
};

// One message from its +OK until its end is known to the platform.
struct Owed {
  std::string id, key, body;
  MessageId handle = 0;
  int messageClass = 0;
  std::int64_t destination = 0;
  Micros deadline = 0;  // wall clock
  std::map<int, Attempt> attempts;
  std::optional<Notice> notice;
};

class Journal {
 public:
  // Replays what is there; a torn tail is cut and logged. Throws std::runtime_error if the folder is of no
  // use.
  Journal(const std::string& folder, std::size_t diskBytes);
  ~Journal();
  Journal(const Journal&) = delete;
  Journal& operator=(const Journal&) = delete;

  // Would a message of this size, with all that may still be written about it, stay inside the disk limit?
  bool hasRoom(std::size_t idBytes, std::size_t keyBytes, std::size_t bodyBytes) const;

  // Each of these changes what is known here at once; nothing is on disk before commit() says so.
  Owed& accept(Owed message);
  void attempt(Owed& message, int number, const TargetId& target, Micros wallNow);
  void neverRan(Owed& message, int number);
  void owe(Owed& message, const Notice& notice);
  void end(const std::string& id);
  // Writes what was said since the last commit. False: none of it is on disk; it goes with the next commit
  // that succeeds, so take back what must not be there (end() for a message not taken on).
  [[nodiscard]] bool commit();

  Owed* find(const std::string& id);
  bool endedLately(const std::string& id) const { return ended_.contains(id); }
  std::unordered_map<std::string, std::unique_ptr<Owed>>& owed() { return owed_; }
  std::size_t fileBytes() const { return fileBytes_; }

 private:
  void replay();
  void apply(const std::string& payload);
  void put(const std::string& payload);
  bool append(const std::string& bytes);
  bool compact();
  void rememberEnd(const std::string& id);

  std::string path_;
  std::size_t diskBytes_;
  int file_ = -1;
  std::size_t fileBytes_ = 0;
  std::size_t reserved_ = 0;  // the most that the messages owed can take in one file
  std::string pending_;
  bool rewrite_ = false;  // the file lacks something: only a new one will do
  std::unordered_map<std::string, std::unique_ptr<Owed>> owed_;
  std::unordered_set<std::string> ended_;
  std::vector<std::string> endedOrder_;
  std::size_t endedNext_ = 0;
};

}  // namespace quilltide::net
