// Startup, leadership log and shutdown of a coordinator.
#include "coordinator/coordinator.hpp"

#include <spdlog/spdlog.h>

namespace quilltide::coordinator {
namespace {

constexpr auto kWatchInterval = std::chrono::milliseconds(100);
constexpr int kWatchesPerWarning = 50;

}  // namespace

Coordinator::Coordinator(boost::asio::io_context& io, const Settings& settings,
                         std::function<void(const std::string&)> onFailure)
    : io_(io),
      settings_(settings),
      onFailure_(std::move(onFailure)),
      folder_(settings.folder, settings.fleet, settings.id),
      api_(io, settings, folder_),
      server_(io, settings.listen, settings.connections,
              [this](const HttpRequest& request, ResponseCallback respond) {
                api_.handle(request, std::move(respond));
              }),
      exchange_(io, settings, folder_),
      watchAlarm_(io) {}

void Coordinator::start() {
  server_.listen();
  spdlog::info("event=started id={} fleet={} boot={} fresh={}", settings_.id, settings_.fleet,
               folder_.ownProgress().boot, folder_.isNew());
  exchange_.requestAdmission([this] { startNode(); }, onFailure_);
  watch();
}

void Coordinator::startNode() {
  try {
    node_ = std::make_unique<RaftNode>(
        io_, settings_, folder_,
        [this](const std::vector<fleet::Effect>& effects) { api_.onEffects(effects); }, onFailure_);
    node_->start();
  } catch (const FolderError& problem) {
    return onFailure_(problem.what());
  }
  api_.attach(node_.get());
  exchange_.startReporting(*node_, onFailure_);
  spdlog::info("event=ready id={} term={}", settings_.id, node_->term());
}

// Logs missing peers during startup and changes of leadership afterwards.
void Coordinator::watch() {
  if (node_ == nullptr) {
    if (++watchCount_ % kWatchesPerWarning == 0)
      spdlog::warn("event=waiting_for_peers id={} missing={}", settings_.id, exchange_.unansweredPeers());
  } else if (node_->isLeader() != wasLeader_ || (wasLeader_ && node_->term() != loggedTerm_)) {
    wasLeader_ = node_->isLeader();
    loggedTerm_ = node_->term();
    spdlog::info("event={} id={} term={}", wasLeader_ ? "leads" : "follows", settings_.id, loggedTerm_);
  }
  watchAlarm_.armAfter(kWatchInterval, [this] { watch(); });
}

void Coordinator::close(std::function<void()> closed) {
  watchAlarm_.disarm();
  exchange_.stop();
  server_.close();
  api_.attach(nullptr);
  if (node_ == nullptr) return closed();
  node_->close(std::move(closed));
}

}  // namespace quilltide::coordinator
