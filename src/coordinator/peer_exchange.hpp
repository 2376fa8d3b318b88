// Exchange of replica progress between coordinators. A starting coordinator queries its peers and does not
// take part if its folder is behind the progress it once reported.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "clock/alarm.hpp"
#include "coordinator/folder.hpp"
#include "coordinator/raft_node.hpp"
#include "coordinator/settings.hpp"
#include "fleet/link/json_call.hpp"

namespace quilltide::coordinator {

// Decides from the peers' answers whether this coordinator may start. Performs no I/O.
struct StartAdmission {
  std::size_t peerCount = 0;    // number of configured peers
  bool newFolder = false;       // requires all peers, so that a lost folder cannot bootstrap a second cluster
  std::uint64_t ownBoot = 0;    // boot count of this start
  ReplicaProgress ownProgress;  // as persisted in the folder
  std::set<std::uint64_t> answeredPeers;
  // Evaluates the answer of one peer; `progressKnownByPeer` is its record of this coordinator, or nullptr.
  // Returns the reason why this coordinator must not start, or "".
  std::string evaluatePeer(std::uint64_t peer, const std::string& fleet, const std::string& ownFleet,
                           const ReplicaProgress* progressKnownByPeer);
  bool hasEnoughAnswers() const {
    return answeredPeers.size() >= (newFolder ? peerCount : (peerCount + 1) / 2);
  }
};

// Queries peers before the start and reports progress to them afterwards. Single-threaded; does not block on
// the network.
class PeerExchange {
 public:
  PeerExchange(boost::asio::io_context& io, const Settings& settings, Folder& folder);
  // Queries the peers until a sufficient number has answered, without a time limit; then calls `onAdmitted`,
  // or `onRejected` with the reason.
  void requestAdmission(std::function<void()> onAdmitted, std::function<void(const std::string&)> onRejected);
  // Persists and reports progress periodically. `onFailure` is called if the folder cannot be written.
  void startReporting(const RaftNode& node, std::function<void(const std::string&)> onFailure);
  void stop();
  std::string unansweredPeers() const;  // ids of peers without an answer, comma-separated

 private:
  void queryPeers();
  void reportProgress();
  void reject(const std::string& why);

  Settings settings_;
  Folder& folder_;
  clocks::Alarm alarm_;
  std::vector<std::unique_ptr<fleet::JsonCall>> calls_;  // in the order of settings_.peers
  StartAdmission admission_;
  std::function<void()> onAdmitted_;
  std::function<void(const std::string&)> onRejected_, onFailure_;
  const RaftNode* node_ = nullptr;
  bool stopped_ = false;
};

}  // namespace quilltide::coordinator
