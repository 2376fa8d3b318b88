// Startup queries and periodic progress reports.
#include "coordinator/peer_exchange.hpp"

namespace quilltide::coordinator {

using nlohmann::json;
using std::chrono::milliseconds;

namespace {

constexpr auto kQueryInterval = milliseconds(200), kReportInterval = milliseconds(500),
               kPeerRequestTimeout = milliseconds(1'000);

ReplicaProgress progressFromJson(const json& j) {
  return {j.value("boot", std::uint64_t{0}), j.value("term", std::uint64_t{0}),
          j.value("applied", std::uint64_t{0})};
}
std::string describe(const ReplicaProgress& s) {
  return "start " + std::to_string(s.boot) + ", term " + std::to_string(s.term) + ", entry " +
         std::to_string(s.applied);
}

}  // namespace

std::string StartAdmission::evaluatePeer(std::uint64_t peer, const std::string& fleet,
                                         const std::string& ownFleet,
                                         const ReplicaProgress* progressKnownByPeer) {
  const std::string who = "coordinator " + std::to_string(peer);
  if (fleet != ownFleet)
    return who + " belongs to fleet '" + fleet + "', and this one to '" + ownFleet +
           "': check the configured peer addresses";
  // A peer may already know the current boot count, so equal values are accepted.
  if (progressKnownByPeer != nullptr &&
      (progressKnownByPeer->boot > ownProgress.boot || progressKnownByPeer->term > ownProgress.term ||
       progressKnownByPeer->applied > ownProgress.applied)) {
    return who + " has heard more of this coordinator (" + describe(*progressKnownByPeer) +
           ") than its folder knows (" + describe(ownProgress) +
           "): the folder is lost or an older copy, and what it voted for is not in it. Replace this "
           "coordinator: "
           "remove "
           "its id from the fleet, and add a new one with an empty folder.";
  }
  answeredPeers.insert(peer);
  return "";
}

PeerExchange::PeerExchange(boost::asio::io_context& io, const Settings& settings, Folder& folder)
    : settings_(settings), folder_(folder), alarm_(io) {
  for (std::size_t i = 0; i < settings_.peers.size(); ++i)
    calls_.push_back(std::make_unique<fleet::JsonCall>(io));
  admission_.peerCount = settings_.peers.size();
  admission_.newFolder = folder.isNew();
  admission_.ownProgress = folder.ownProgress();
  admission_.ownBoot = folder.ownProgress().boot;
}

void PeerExchange::requestAdmission(std::function<void()> onAdmitted,
                                    std::function<void(const std::string&)> onRejected) {
  onAdmitted_ = std::move(onAdmitted);
  onRejected_ = std::move(onRejected);
  queryPeers();
}

void PeerExchange::reject(const std::string& why) {
  if (std::exchange(stopped_, true)) return;
  stop();
  onRejected_(why);
}

void PeerExchange::queryPeers() {
  if (stopped_) return;
  // A joining coordinator has no earlier progress to compare; the cluster decides when it is added.
  if (admission_.hasEnoughAnswers() || (folder_.isNew() && settings_.join)) {
    alarm_.disarm();
    if (const auto proceed = std::exchange(onAdmitted_, nullptr)) proceed();
    return;
  }
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    const Peer& peer = settings_.peers[i];
    if (admission_.answeredPeers.contains(peer.id) || calls_[i]->busy()) continue;
    const json query = {{"fleet", settings_.fleet}, {"id", settings_.id}};
    calls_[i]->call(
        peer.httpVia, "/v1/peer", &query, kPeerRequestTimeout,
        [this, id = peer.id](int status, const json& body) {
          if (stopped_ || status != 200 || !body.is_object()) return;
          const auto known = body.find("of_you");
          const ReplicaProgress progressKnownByPeer =
              known == body.end() ? ReplicaProgress{} : progressFromJson(*known);
          const std::string why = admission_.evaluatePeer(
              id, body.contains("fleet") && body["fleet"].is_string() ? body["fleet"].get<std::string>() : "",
              settings_.fleet, known == body.end() ? nullptr : &progressKnownByPeer);
          if (!why.empty()) return reject(why);
          if (body.value("id", std::uint64_t{0}) != id)
            reject("the address of coordinator " + std::to_string(id) + " belongs to coordinator " +
                   std::to_string(body.value("id", std::uint64_t{0})));
        });
  }
  alarm_.armAfter(kQueryInterval, [this] { queryPeers(); });
}

void PeerExchange::startReporting(const RaftNode& node, std::function<void(const std::string&)> onFailure) {
  node_ = &node;
  onFailure_ = std::move(onFailure);
  reportProgress();
}

void PeerExchange::reportProgress() {
  if (stopped_) return;
  const ReplicaProgress now = node_->progress();
  // Progress must be on disk before it is reported.
  if (!folder_.persistOwnProgress(now)) {
    stop();
    return onFailure_("cannot persist the progress of this coordinator");
  }
  const json report = {{"fleet", settings_.fleet},
                       {"id", settings_.id},
                       {"standing", {{"boot", now.boot}, {"term", now.term}, {"applied", now.applied}}}};
  for (std::size_t i = 0; i < calls_.size(); ++i) {
    if (!calls_[i]->busy())
      calls_[i]->call(settings_.peers[i].httpVia, "/v1/peer", &report, kPeerRequestTimeout,
                      [](int, const json&) {});
  }
  alarm_.armAfter(kReportInterval, [this] { reportProgress(); });
}

void PeerExchange::stop() {
  stopped_ = true;
  alarm_.disarm();
  for (const auto& call : calls_) call->cancel();
}

std::string PeerExchange::unansweredPeers() const {
  std::string out;
  for (const Peer& peer : settings_.peers)
    if (!admission_.answeredPeers.contains(peer.id))
      out += (out.empty() ? "" : ", ") + std::to_string(peer.id);
  return out;
}

}  // namespace quilltide::coordinator
