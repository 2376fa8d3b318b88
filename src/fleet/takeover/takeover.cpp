// Selects unowned folders to take over.
#include "fleet/takeover/takeover.hpp"

namespace quilltide::fleet {

std::vector<std::string> TakeoverPlanner::selectClaims(const std::set<std::string>& registered,
                                                       const std::set<std::string>& held, Micros now) {
  std::erase_if(unownedSince_, [&](const auto& entry) {
    return !registered.contains(entry.first) || held.contains(entry.first);
  });
  std::vector<std::string> claims;
  for (const std::string& folder : registered) {
    if (folder == settings_.self || held.contains(folder) || takingOver_.contains(folder)) continue;
    const Micros since = unownedSince_.try_emplace(folder, now).first->second;
    if (now - since < settings_.abandonedAfter || takingOver_.size() >= settings_.maxConcurrent) continue;
    takingOver_.insert(folder);
    claims.push_back(folder);
  }
  return claims;
}

}  // namespace quilltide::fleet
