// Forwarders of the own folder, on the event loop of the process, and of taken-over folders, each on a loop
// of its own, so that it can be destroyed while its operations are pending.
#include "app/folder_host.hpp"

#include <boost/asio/post.hpp>
#include <iostream>
#include <utility>

#include "clock/alarm.hpp"

namespace quilltide::net {
namespace {

constexpr auto kTakenOverPollInterval =
    std::chrono::milliseconds(2);  // of the event loops of taken-over folders

}  // namespace

struct FolderHost::Folder {
  std::string stateFolder;
  std::unique_ptr<Forwarder> forwarder;
  bool draining = false, drained = false;
};

struct FolderHost::TakenOverFolder {
  explicit TakenOverFolder(boost::asio::io_context& processIo) : pollAlarm(processIo) {}
  boost::asio::io_context io{1};  // declared first: outlives the forwarder
  Folder folder;
  clocks::Alarm pollAlarm;
  TakeoverEndHandler onEnd;
  bool superseded = false, handingBack = false;
};

FolderHost::FolderHost(boost::asio::io_context& io, const tcp::endpoint& discovery)
    : io_(io), discovery_(discovery) {}

FolderHost::~FolderHost() = default;

template <typename Visitor>
void FolderHost::forEachFolder(Visitor visit) {
  if (own_) visit(*own_);
  for (auto& [member, takenOver] : takenOver_) visit(takenOver->folder);
}

// ---- Folders ----

const Forwarder* FolderHost::own() const { return own_ ? own_->forwarder.get() : nullptr; }

void FolderHost::serveOwn(const PlatformConfig& config, const ServiceConfig& serviceConfig,
                          std::unique_ptr<Ownership> ownership, std::function<void()> onSuperseded) {
  auto folder = std::make_unique<Folder>();
  folder->stateFolder = config.stateFolder;
  folder->forwarder = std::make_unique<Forwarder>(io_, config, serviceConfig, std::move(ownership));
  own_ = std::move(folder);
  own_->forwarder->engine().onFenced(std::move(onSuperseded));
  own_->forwarder->start();
  own_->forwarder->setDiscoveryAddress(discovery_);
}

// No operation of the new forwarder begins before its loop runs, so none reaches the address in `config`.
void FolderHost::takeOver(const std::string& member, const PlatformConfig& config,
                          std::unique_ptr<Ownership> ownership, TakeoverEndHandler onEnd) {
  auto takenOver = std::make_unique<TakenOverFolder>(io_);
  takenOver->onEnd = std::move(onEnd);
  Folder& folder = takenOver->folder;
  folder.stateFolder = config.stateFolder;
  ServiceConfig serviceConfig;
  serviceConfig.servesFolderOfAnother = true;
  folder.forwarder = std::make_unique<Forwarder>(takenOver->io, config, serviceConfig, std::move(ownership));
  folder.forwarder->engine().onFenced([target = takenOver.get()] { target->superseded = true; });
  folder.forwarder->startWithoutFrontends();
  folder.forwarder->setDiscoveryAddress(discovery_);
  std::cerr << "folder of " << member << ": discovery is at " << discovery_;
  if (config.discovery != discovery_)
    std::cerr << ", not at " << config.discovery << " as " << member << " had";
  std::cerr << std::endl;
  takenOver_[member] = std::move(takenOver);
  runTakenOver(member);
}

void FolderHost::runTakenOver(const std::string& member) {
  TakenOverFolder& takenOver = *takenOver_.at(member);
  takenOver.io.restart();
  takenOver.io.poll();
  if (takenOver.superseded) return endTakeover(member, TakeoverEnd::superseded);
  if (takenOver.folder.forwarder->engine().messageJournal().hasNoPendingMessages())
    return endTakeover(member, TakeoverEnd::completed);
  if (takenOver.handingBack && takenOver.folder.drained) return endTakeover(member, TakeoverEnd::handedBack);
  takenOver.pollAlarm.armAfter(kTakenOverPollInterval, [this, member] { runTakenOver(member); });
}

void FolderHost::endTakeover(const std::string& memberReference, TakeoverEnd end) {
  const std::string member = memberReference;  // a copy: the reference may belong to the folder's alarm
  const TakeoverEndHandler onEnd = std::move(takenOver_.at(member)->onEnd);
  takenOver_.erase(member);
  onEnd(member, end);
  reportIfDrained();
}

std::set<std::string> FolderHost::takenOver() const {
  std::set<std::string> members;
  for (const auto& [member, takenOver] : takenOver_) members.insert(member);
  return members;
}

bool FolderHost::handBack(const std::string& member, std::chrono::milliseconds timeLimit) {
  TakenOverFolder& takenOver = *takenOver_.at(member);
  if (std::exchange(takenOver.handingBack, true)) return false;
  drainFolder(takenOver.folder, timeLimit);
  return true;
}

void FolderHost::renewOwn(std::uint64_t epoch) {
  try {
    own_->forwarder->engine().renewOwnership(std::make_unique<Ownership>(own_->stateFolder, epoch));
  } catch (const std::exception& problem) {
    // Without the new epoch's marker the present epoch stays in use, and the next commit finds out whether
    // another process has the folder.
    std::cerr << "thistleyoke: epoch " << epoch << " is not used: " << problem.what() << std::endl;
  }
}

void FolderHost::renewTakenOver(const std::string& member, std::uint64_t epoch) {
  TakenOverFolder& takenOver = *takenOver_.at(member);
  Folder& folder = takenOver.folder;
  std::cerr << "fleet: continues with the folder of " << member << " by epoch " << epoch << std::endl;
  try {
    folder.forwarder->engine().renewOwnership(std::make_unique<Ownership>(folder.stateFolder, epoch));
  } catch (const std::exception& problem) {
    std::cerr << "fleet: cannot continue with the folder of " << member << ": " << problem.what()
              << std::endl;
    takenOver.superseded = true;
  }
}

// ---- Events of the process ----

void FolderHost::setDiscoveryAddress(const tcp::endpoint& address) {
  discovery_ = address;
  forEachFolder([&](Folder& folder) { folder.forwarder->setDiscoveryAddress(address); });
}

void FolderHost::drain(std::chrono::milliseconds timeLimit, std::function<void()> onDrained) {
  onDrained_ = std::move(onDrained);
  forEachFolder([&](Folder& folder) { drainFolder(folder, timeLimit); });
  reportIfDrained();
}

// A folder that is being drained already ends its drain as it was begun, which is earlier.
void FolderHost::drainFolder(Folder& folder, std::chrono::milliseconds timeLimit) {
  if (std::exchange(folder.draining, true)) return;
  folder.forwarder->drain(timeLimit, [this, &folder] {
    folder.drained = true;
    reportIfDrained();
  });
}

// Posted, because the caller may be an operation of a forwarder that the handler destroys.
void FolderHost::reportIfDrained() {
  if (!onDrained_) return;
  bool drained = true;
  forEachFolder([&](const Folder& folder) { drained = drained && folder.drained; });
  if (drained) boost::asio::post(io_, std::exchange(onDrained_, nullptr));
}

void FolderHost::stopTakenOver() { takenOver_.clear(); }

}  // namespace quilltide::net
