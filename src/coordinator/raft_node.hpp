// One coordinator's share of the replicated state: C-Raft underneath, the state machine and the leader's
// clock on top.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "coordinator/folder.hpp"
#include "coordinator/raft_library.hpp"
#include "coordinator/settings.hpp"
#include "coordinator/uv_loop.hpp"
#include "fleet/expiry/expiry.hpp"
#include "fleet/state/state.hpp"

namespace quilltide::coordinator {

// What came of a proposal.
enum class Fate {
  applied,
  notLeader,  // it has no effect
  unknown     // leadership was lost on the way: it may have one, now or later
};
using OnResult = std::function<void(Fate, const fleet::Result&)>;

struct CoordinatorEntry {
  std::uint64_t id = 0;
  std::string raft;
  std::string role;  // voter, standby, spare
};

// One thread. Callbacks come from the loop, never from within a call.
class Node {
 public:
  // `changed` is told after every turn in which something was applied, with all effects; `failed` when the
  // engine can go on no more (its disk fails): the process should end.
  Node(boost::asio::io_context& io, const Settings& settings, Folder& folder,
       std::function<void(const std::vector<fleet::Effect>&)> changed,
       std::function<void(const std::string&)> failed);
  ~Node();
  Node(const Node&) = delete;
  Node& operator=(const Node&) = delete;

  // Throws FolderError: damaged, or less than it once had. A fresh folder founds the fleet of all configured
  // coordinators, unless it is to join one.
  void start();
  // Hands leadership over if it leads, and ends; then `closed`.
  void close(std::function<void()> closed);

  void propose(const fleet::Command& command, OnResult then);
  // Renewals that come while an entry of them is under way share the next one.
  void renew(fleet::SessionId session, OnResult then);
  // Everything applied that was committed before: what state() then says is no older than this call.
  void barrier(std::function<void(Fate)> then);
  void add(const CoordinatorEntry& coordinator,
           std::function<void(std::string)> then);  // "": done; as a voter
  void remove(std::uint64_t id, std::function<void(std::string)> then);

  const fleet::State& state() const { return state_; }
  const fleet::ExpiryTracker& judge() const { return expiry_; }
  bool running() const { return running_; }
  bool leads() const;
  std::optional<std::uint64_t> leader() const;
  std::uint64_t term() const { return running_ ? raft_.current_term : 0; }
  // How far the engine has come; what a peer may be told.
  Standing standing() const;
  std::vector<CoordinatorEntry> coordinators() const;

 private:
  struct Proposal;
  struct Change;
  static int apply(raft_fsm* fsm, const raft_buffer* buffer, void** result);
  static int snapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* count);
  static int restore(raft_fsm* fsm, raft_buffer* buffer);
  static int connectVia(raft_uv_transport* transport, raft_uv_connect* request, raft_id id,
                        const char* address, raft_uv_connect_cb then);
  void turned();
  void tick();
  void flushRenewals();
  void changeRole(std::uint64_t id, std::function<void(std::string)> then);
  void found();
  std::string problem() { return raft_errmsg(&raft_); }

  boost::asio::io_context& io_;
  Settings settings_;
  Folder& folder_;
  std::function<void(const std::vector<fleet::Effect>&)> changed_;
  std::function<void(const std::string&)> failed_;
  fleet::State state_;
  fleet::ExpiryTracker expiry_;
  UvLoop loop_;
  boost::asio::steady_timer tick_;
  // The engine takes the transport's own `data` for itself.
  struct Transport : raft_uv_transport {
    Node* node = nullptr;
  };
  Transport transport_{};
  int (*connect_)(raft_uv_transport*, raft_uv_connect*, raft_id, const char*, raft_uv_connect_cb) = nullptr;
  raft_io engine_{};
  raft_fsm fsm_{};
  raft raft_{};
  bool initialized_ = false, running_ = false, closed_ = false;
  std::uint64_t ledTerm_ = 0;
  bool raising_ = false;
  fleet::Result lastResult_;
  std::vector<fleet::Effect> effects_;
  std::vector<std::function<void()>> due_;  // callbacks for after the turn
  std::vector<std::pair<fleet::SessionId, OnResult>> renewals_;
  bool renewing_ = false;
  std::function<void()> onClosed_;
};

}  // namespace quilltide::coordinator
