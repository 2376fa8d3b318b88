// A Raft replica of the coordinator: C-Raft with the replicated state machine and the leader's expiry timers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock/alarm.hpp"
#include "coordinator/folder.hpp"
#include "coordinator/raft_library.hpp"
#include "coordinator/settings.hpp"
#include "coordinator/uv_loop.hpp"
#include "fleet/expiry/expiry.hpp"
#include "fleet/state/state.hpp"

namespace quilltide::coordinator {

// Outcome of a proposed command.
enum class ProposalOutcome {
  applied,
  notLeader,  // rejected; the command has no effect
  unknown     // leadership was lost before the commit; the command may still be applied
};
// Receives the outcome; the result is empty unless the outcome is `applied`.
using ProposalCallback = std::function<void(ProposalOutcome, const fleet::Result&)>;

// A server of the Raft configuration: id, Raft address and role.
struct CoordinatorEntry {
  std::uint64_t id = 0;
  std::string raft;
  std::string role;  // voter, standby, spare
};

// Single-threaded: use it on the io_context's thread only. Calls do not block. Proposal callbacks are invoked
// from the event loop; addCoordinator() and removeCoordinator() report immediate failures synchronously.
class RaftNode {
 public:
  // `onEffects` receives the effects of all entries applied in a loop turn. `onFailure` is called with the
  // reason when Raft becomes unavailable or data is corrupt; the process should then exit.
  RaftNode(boost::asio::io_context& io, const Settings& settings, Folder& folder,
           std::function<void(const std::vector<fleet::Effect>&)> onEffects,
           std::function<void(const std::string&)> onFailure);
  ~RaftNode();
  RaftNode(const RaftNode&) = delete;
  RaftNode& operator=(const RaftNode&) = delete;

  // Loads the log and starts Raft. Throws FolderError if the data is damaged or older than the recorded
  // progress. A new folder bootstraps a cluster of all configured coordinators unless `join` is set.
  void start();
  // Stops Raft and then calls `closed` from the event loop. Later calls are told of the same end.
  void close(std::function<void()> closed);

  // Replicates a command through the log; only the leader accepts it.
  void propose(const fleet::Command& command, ProposalCallback callback);
  // Renews a session. Renewals that arrive while a renewal entry is in flight are batched into the next one.
  void renew(fleet::SessionId session, ProposalCallback callback);
  // Calls back once all previously committed entries are applied, so that state() is linearizable with this
  // call.
  void barrier(std::function<void(ProposalOutcome)> callback);
  // Adds a server and promotes it to voter. The callback receives an error text, empty on success.
  void addCoordinator(const CoordinatorEntry& coordinator, std::function<void(std::string)> callback);
  // Removes a server. The callback receives an error text, empty on success.
  void removeCoordinator(std::uint64_t id, std::function<void(std::string)> callback);

  const fleet::State& state() const { return state_; }
  const fleet::ExpiryTracker& expiryTracker() const { return expiry_; }
  bool running() const { return running_; }
  bool isLeader() const;
  std::optional<std::uint64_t> leader() const;
  std::uint64_t term() const { return running_ ? raft_.current_term : 0; }
  // Current progress of this replica, which must be persisted before it is reported to peers.
  ReplicaProgress progress() const;
  std::vector<CoordinatorEntry> coordinators() const;

 private:
  struct Proposal;
  struct ConfigurationChange;
  static int apply(raft_fsm* fsm, const raft_buffer* buffer, void** result);
  static int snapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* count);
  static int restore(raft_fsm* fsm, raft_buffer* buffer);
  static int connectToPeer(raft_uv_transport* transport, raft_uv_connect* request, raft_id id,
                           const char* address, raft_uv_connect_cb callback);
  void onLoopTurn();
  void tick();
  void flushRenewals();
  void finishClose();
  void changeRole(std::uint64_t id, std::function<void(std::string)> callback);
  void bootstrapCluster();
  std::string lastRaftError() { return raft_errmsg(&raft_); }

  boost::asio::io_context& io_;
  Settings settings_;
  Folder& folder_;
  std::function<void(const std::vector<fleet::Effect>&)> onEffects_;
  std::function<void(const std::string&)> onFailure_;
  fleet::State state_;
  fleet::ExpiryTracker expiry_;
  UvLoop loop_;
  clocks::Alarm tickAlarm_;
  // C-Raft uses the transport's `data` member itself, so the owner is stored in a derived struct.
  struct Transport : raft_uv_transport {
    RaftNode* node = nullptr;
  };
  Transport transport_{};
  int (*tcpConnect_)(raft_uv_transport*, raft_uv_connect*, raft_id, const char*,
                     raft_uv_connect_cb) = nullptr;
  raft_io raftIo_{};
  raft_fsm fsm_{};
  raft raft_{};
  bool initialized_ = false, running_ = false, closing_ = false, closed_ = false;
  std::uint64_t leaderTerm_ = 0;
  bool raisingGeneration_ = false;
  fleet::Result lastResult_;
  std::vector<fleet::Effect> effects_;
  std::vector<std::function<void()>> pendingCallbacks_;  // run after the current loop turn
  std::vector<std::pair<fleet::SessionId, ProposalCallback>> pendingRenewals_;
  bool renewalInFlight_ = false;
  std::vector<std::function<void()>> closeCallbacks_;
};

}  // namespace quilltide::coordinator
