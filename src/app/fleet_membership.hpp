// Membership of a forwarder in its fleet: it acquires its state folder by a lease, and may take over the
// folders of forwarders that are down. Used only with a [fleet] configuration.
//
// If the coordinators are unreachable, a forwarder that owns its folder continues: another process cannot
// take the folder over without adding a marker that the owner sees (journal/ownership). Only the start
// waits for the coordinators.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "app/folder_host.hpp"
#include "clock/alarm.hpp"
#include "fleet/session_client/session_client.hpp"
#include "fleet/takeover/takeover.hpp"

namespace quilltide::net {

class FleetMembership {
 public:
  // `onFolderAcquired` is called each time the lease of the folder is granted, with its fencing token as the
  // epoch: once at the start, and again after the lease was lost.
  FleetMembership(boost::asio::io_context& io, FolderHost& folders, const FleetSettings& settings,
                  std::string name, std::string configFile, std::string stateFolder,
                  std::function<void(std::uint64_t epoch)> onFolderAcquired);
  FleetMembership(const FleetMembership&) = delete;
  FleetMembership& operator=(const FleetMembership&) = delete;

  void start();
  // Claims no further folders, and lets another member coordinate takeovers. Folders that were taken over are
  // served on.
  void stopClaiming();
  // Gives up the folders that were taken over. Releases the folder and calls `closed`. `folderEmpty`: the
  // folder has no pending messages, so it is unregistered and not taken over.
  void close(bool folderEmpty, std::function<void()> closed);

 private:
  void handleLeaseEvent(const fleet::LeaseClient::Event& event);
  // Members that wait for the lease of a folder that is held, by the folder's member.
  using FolderLeases = std::map<std::string, std::set<std::string>>;
  void scheduleScan();
  void scan();
  void scanFolders();
  void scanLeases(std::function<void(const FolderLeases&)> handleLeases);
  static FolderLeases parseFolderLeases(const nlohmann::json& body);
  void claimOrphanedFolders(const nlohmann::json& values, const FolderLeases& leases);
  void handBackFolders(const FolderLeases& leases);
  void handleOwnFolderAcquired(const std::string& lease, std::uint64_t epoch);
  void startTakeover(const std::string& name, std::uint64_t epoch);
  void handleTakeoverEnd(const std::string& name, FolderHost::TakeoverEnd end);
  void finishTakeover(const std::string& name, bool succeeded);

  FolderHost& folders_;
  FleetSettings settings_;
  std::string name_, configFile_, stateFolder_;
  std::function<void(std::uint64_t)> onFolderAcquired_;
  bool acquiredBefore_ = false;  // the lease of the own folder was granted before
  fleet::SessionClient session_;
  fleet::TakeoverPlanner takeover_;
  clocks::Alarm scanAlarm_;
  bool coordinatesTakeovers_ = false, claimingStopped_ = false, closing_ = false;
  std::map<std::string, std::string> registrations_;  // folder registrations by forwarder name, as last read
};

}  // namespace quilltide::net
