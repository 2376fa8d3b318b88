// The state folders that this process serves: its own, and those that it has taken over from other
// forwarders.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "app/forwarder.hpp"
#include "config/platform.hpp"
#include "config/service_config.hpp"
#include "journal/ownership.hpp"

namespace quilltide::net {

// Owns one forwarder for each folder. What happens to the process (a new address of the discovery service, a
// shutdown) is told to the host, which passes it to all of them: nothing else has access to a single
// forwarder that would allow to change it. Not thread-safe; runs on the thread of its io_context.
class FolderHost {
 public:
  // Why a folder that was taken over is no longer served.
  enum class TakeoverEnd {
    completed,   // all of its messages have ended
    handedBack,  // drained for its owner, which is back; messages may be pending
    superseded,  // another member has claimed the folder
  };
  using TakeoverEndHandler = std::function<void(const std::string& member, TakeoverEnd end)>;

  // `discovery` is the address in the configuration of this process. It applies to all folders, see
  // docs/design/served-folders.md.
  FolderHost(boost::asio::io_context& io, const tcp::endpoint& discovery);
  ~FolderHost();
  FolderHost(const FolderHost&) = delete;
  FolderHost& operator=(const FolderHost&) = delete;

  // ---- Folders ----

  // Recovers the own folder and listens. `onSuperseded` is called if another process claims the folder.
  // Throws std::runtime_error if the folder cannot be used or an address cannot be listened on.
  void serveOwn(const PlatformConfig& config, const ServiceConfig& serviceConfig,
                std::unique_ptr<Ownership> ownership, std::function<void()> onSuperseded);
  // The forwarder of the own folder; nullptr before serveOwn().
  const Forwarder* own() const;
  // Delivers the messages of another member's folder, without frontends. `config` is the configuration of
  // that member. Calls `onEnd` once, unless the folder is given up by stopTakenOver(). Throws
  // std::runtime_error if the folder cannot be used.
  void takeOver(const std::string& member, const PlatformConfig& config, std::unique_ptr<Ownership> ownership,
                TakeoverEndHandler onEnd);
  bool hasTakenOver(const std::string& member) const { return takenOver_.contains(member); }
  std::set<std::string> takenOver() const;  // members
  // Drains a folder that was taken over, and ends its takeover by TakeoverEnd::handedBack after `timeLimit`
  // at the latest. Returns false, and does nothing, if the folder is being handed back already.
  bool handBack(const std::string& member, std::chrono::milliseconds timeLimit);
  // Continue with a folder under a higher epoch, after its lease was lost and granted again. A folder that
  // cannot be continued with is reported as superseded; the own folder then stays with its present epoch if
  // the new one cannot be claimed.
  void renewOwn(std::uint64_t epoch);
  void renewTakenOver(const std::string& member, std::uint64_t epoch);

  // ---- Events of the process ----

  // Moves the watches and the notices of all folders, present and future ones, to a new address.
  void setDiscoveryAddress(const tcp::endpoint& address);
  // Shuts all folders down within `timeLimit` (Forwarder::drain), then calls `onDrained` from the event loop.
  // No folder may be added afterwards.
  void drain(std::chrono::milliseconds timeLimit, std::function<void()> onDrained);
  // Gives up the folders that were taken over, with the calls that are in flight.
  void stopTakenOver();

 private:
  struct Folder;
  struct TakenOverFolder;
  template <typename Visitor>
  void forEachFolder(Visitor visit);
  void drainFolder(Folder& folder, std::chrono::milliseconds timeLimit);
  void runTakenOver(const std::string& member);
  void endTakeover(const std::string& member, TakeoverEnd end);
  void reportIfDrained();

  boost::asio::io_context& io_;
  tcp::endpoint discovery_;
  std::unique_ptr<Folder> own_;
  std::map<std::string, std::unique_ptr<TakenOverFolder>> takenOver_;  // by member
  std::function<void()> onDrained_;                                    // set during a drain
};

}  // namespace quilltide::net
