// Selects state folders of failed forwarders for takeover. Runs on the member that holds the takeover lease.
// No I/O; the caller passes the time.
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fleet/state/types.hpp"

namespace quilltide::fleet {

// Lease names and value keys shared by all members.
inline std::string folderLeaseName(const std::string& member) { return "folder/" + member; }
inline const std::string kTakeoverLeaseName = "takeover";  // its holder looks for unowned folders
// Key folders/NAME holds the location of a member's folder while the folder may contain pending messages.
inline const std::string kFolderKeyPrefix = "folders/";

// Tracks unowned folders and the takeovers in progress. Not thread-safe.
class TakeoverPlanner {
 public:
  struct Settings {
    std::string self;
    Micros abandonedAfter = 60'000'000;  // time without a lease holder after which a folder is claimed
    std::size_t maxConcurrent = 2;       // limits the additional load
  };
  explicit TakeoverPlanner(const Settings& settings) : settings_(settings) {}

  // `registered`: members with a registered folder; `held`: members whose folder lease is held. Returns the
  // folders to claim now; each counts as being taken over until finishTakeover().
  std::vector<std::string> selectClaims(const std::set<std::string>& registered,
                                        const std::set<std::string>& held, Micros now);
  void finishTakeover(const std::string& folder) { takingOver_.erase(folder); }
  // Forgets how long folders have been unowned, after the takeover lease was lost.
  void resetTimers() { unownedSince_.clear(); }
  const std::set<std::string>& takingOver() const { return takingOver_; }

 private:
  Settings settings_;
  std::map<std::string, Micros> unownedSince_;  // first time each folder was seen without an owner
  std::set<std::string> takingOver_;
};

}  // namespace quilltide::fleet
