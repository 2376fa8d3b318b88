// Connects C-Raft to the replicated state machine.
#include "coordinator/raft_node.hpp"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <boost/asio/post.hpp>
#include <cstring>
#include <optional>
#include <utility>

#include "clock/clock.hpp"

namespace quilltide::coordinator {
namespace {

constexpr auto kExpiryTickInterval = std::chrono::milliseconds(20);
constexpr std::size_t kMaxRenewalsPerEntry = 1'000;
constexpr unsigned kReconnectDelayMs = 200;

// Outcome of a request that C-Raft has refused or ended with a status other than 0.
ProposalOutcome failureOutcome(int status) {
  return status == RAFT_NOTLEADER ? ProposalOutcome::notLeader : ProposalOutcome::unknown;
}

// Prefix of each log entry and snapshot. C-Raft stores them in 8-byte words and does not preserve other
// lengths, so the header carries the length. The checksum stops a replica with corrupt data instead of
// letting its state diverge.
struct FrameHeader {
  std::uint32_t size = 0, checksum = 0;
};

std::uint32_t checksumOf(const char* bytes, std::size_t size) {
  return static_cast<std::uint32_t>(XXH3_64bits(bytes, size));
}

raft_buffer encodeFrame(const std::string& bytes) {
  const std::size_t paddedSize = (sizeof(FrameHeader) + bytes.size() + 7) / 8 * 8;
  raft_buffer buffer{raft_calloc(1, paddedSize), paddedSize};
  if (buffer.base == nullptr) return buffer;
  const FrameHeader header{static_cast<std::uint32_t>(bytes.size()), checksumOf(bytes.data(), bytes.size())};
  std::memcpy(buffer.base, &header, sizeof header);
  std::memcpy(static_cast<char*>(buffer.base) + sizeof header, bytes.data(), bytes.size());
  return buffer;
}

std::optional<std::string> decodeFrame(const raft_buffer& buffer) {
  FrameHeader header;
  if (buffer.len < sizeof header) return std::nullopt;
  std::memcpy(&header, buffer.base, sizeof header);
  const char* bytes = static_cast<const char*>(buffer.base) + sizeof header;
  if (header.size > buffer.len - sizeof header || checksumOf(bytes, header.size) != header.checksum)
    return std::nullopt;
  return std::string(bytes, header.size);
}

const char* roleName(int role) {
  return role == RAFT_VOTER ? "voter" : role == RAFT_STANDBY ? "standby" : "spare";
}

std::string ownRaftAddress(const Settings& settings) {
  return settings.raft.empty() ? "127.0.0.1:0" : settings.raft;
}

}  // namespace

// A C-Raft apply request and its callback; freed by its completion handler.
struct RaftNode::Proposal {
  struct raft_apply request {};
  RaftNode* node;
  ProposalCallback callback;
  static void done(struct raft_apply* request, int status, void* result) {
    const std::unique_ptr<Proposal> self(static_cast<Proposal*>(request->data));
    const ProposalOutcome outcome = status == 0 ? ProposalOutcome::applied : failureOutcome(status);
    // For locally proposed entries `result` points to lastResult_, set by apply().
    const fleet::Result appliedResult =
        status == 0 && result != nullptr ? *static_cast<fleet::Result*>(result) : fleet::Result{};
    self->node->pendingCallbacks_.push_back(
        [callback = std::move(self->callback), outcome, appliedResult] { callback(outcome, appliedResult); });
  }
};

struct RaftNode::ConfigurationChange {
  struct raft_change request {};
  RaftNode* node;
  std::function<void(int)> callback;
  static void done(struct raft_change* request, int status) {
    const std::unique_ptr<ConfigurationChange> self(static_cast<ConfigurationChange*>(request->data));
    self->node->pendingCallbacks_.push_back(
        [callback = std::move(self->callback), status] { callback(status); });
  }
};

RaftNode::RaftNode(boost::asio::io_context& io, const Settings& settings, Folder& folder,
                   std::function<void(const std::vector<fleet::Effect>&)> onEffects,
                   std::function<void(const std::string&)> onFailure)
    : io_(io),
      settings_(settings),
      folder_(folder),
      onEffects_(std::move(onEffects)),
      onFailure_(std::move(onFailure)),
      state_(settings.stateLimits),
      expiry_(settings.expiry),
      loop_(io, [this] { onLoopTurn(); }),
      tickAlarm_(io) {}

RaftNode::~RaftNode() = default;

// ---- Start and shutdown ----

void RaftNode::start() {
  if (raft_uv_tcp_init(&transport_, loop_.loop()) != 0)
    throw FolderError("cannot initialize the Raft transport");
  transport_.node = this;
  if (!settings_.raftBind.empty()) raft_uv_tcp_set_bind_address(&transport_, settings_.raftBind.c_str());
  if (raft_uv_init(&raftIo_, loop_.loop(), folder_.raftDirectory().c_str(), &transport_) != 0)
    throw FolderError("Raft cannot use the directory '" + folder_.raftDirectory() + "': " + raftIo_.errmsg);
  tcpConnect_ = transport_.connect;
  transport_.connect = connectToPeer;
  raft_uv_set_segment_size(&raftIo_, settings_.segmentBytes);
  raft_uv_set_connect_retry_delay(&raftIo_, kReconnectDelayMs);
  // Reports an unreadable segment as an error instead of renaming it and losing its entries.
  raft_uv_set_auto_recovery(&raftIo_, false);
  fsm_.version = 1;
  fsm_.data = this;
  fsm_.apply = apply;
  fsm_.snapshot = snapshot;
  fsm_.restore = restore;
  if (raft_init(&raft_, &raftIo_, &fsm_, settings_.id, ownRaftAddress(settings_).c_str()) != 0)
    throw FolderError("cannot initialize Raft: " + lastRaftError());
  initialized_ = true;
  raft_.data = this;
  raft_set_election_timeout(&raft_, settings_.electionMs);
  raft_set_heartbeat_timeout(&raft_, settings_.heartbeatMs);
  raft_set_snapshot_threshold(&raft_, settings_.snapshotEntries);
  raft_set_snapshot_trailing(&raft_, settings_.trailingEntries);
  raft_set_pre_vote(&raft_, true);
  if (folder_.isNew() && !settings_.join) bootstrapCluster();
  if (raft_start(&raft_) != 0)
    throw FolderError(
        "Raft cannot read '" + folder_.raftDirectory() + "': " + lastRaftError() +
        ". Nothing of it was changed. Replace this coordinator: remove its id from the fleet, and add a new "
        "one with an empty folder.");
  running_ = true;
  if (raft_.current_term < folder_.ownProgress().term ||
      raft_last_index(&raft_) < folder_.ownProgress().applied)
    throw FolderError("the Raft directory '" + folder_.raftDirectory() + "' holds term " +
                      std::to_string(raft_.current_term) + " and entry " +
                      std::to_string(raft_last_index(&raft_)) + ", but this coordinator has reported term " +
                      std::to_string(folder_.ownProgress().term) + " and entry " +
                      std::to_string(folder_.ownProgress().applied) +
                      ": it is an older copy or is incomplete. Replace this coordinator.");
  folder_.markBootstrapped();
  loop_.turn();
  tick();
}

// Bootstraps the cluster; every configured coordinator uses the same sorted server list.
void RaftNode::bootstrapCluster() {
  raft_configuration configuration;
  raft_configuration_init(&configuration);
  std::vector<std::pair<std::uint64_t, std::string>> all{{settings_.id, ownRaftAddress(settings_)}};
  for (const Peer& peer : settings_.peers) all.emplace_back(peer.id, peer.raft);
  std::sort(all.begin(), all.end());
  int status = 0;
  for (const auto& [id, address] : all)
    if (status == 0) status = raft_configuration_add(&configuration, id, address.c_str(), RAFT_VOTER);
  if (status == 0) status = raft_bootstrap(&raft_, &configuration);
  raft_configuration_close(&configuration);
  // RAFT_CANTBOOTSTRAP: already bootstrapped, but the process ended before this was recorded.
  if (status != 0 && status != RAFT_CANTBOOTSTRAP)
    throw FolderError("cannot bootstrap the Raft cluster: " + std::string(raft_strerror(status)));
}

void RaftNode::close(std::function<void()> closed) {
  if (closed_) {
    boost::asio::post(io_, std::move(closed));
    return;
  }
  closeCallbacks_.push_back(std::move(closed));
  if (std::exchange(closing_, true)) return;
  tickAlarm_.disarm();
  if (!initialized_) return finishClose();
  raft_close(&raft_, [](raft* r) {
    RaftNode* self = static_cast<RaftNode*>(r->data);
    raft_uv_close(&self->raftIo_);
    raft_uv_tcp_close(&self->transport_);
    self->running_ = false;
    self->initialized_ = false;
    self->pendingCallbacks_.push_back([self] { self->finishClose(); });
  });
  loop_.turn();
}

void RaftNode::finishClose() {
  running_ = false;
  closed_ = true;
  loop_.stop();
  for (std::function<void()>& callback : std::exchange(closeCallbacks_, {}))
    boost::asio::post(io_, std::move(callback));
}

// ---- C-Raft callbacks ----

int RaftNode::apply(raft_fsm* fsm, const raft_buffer* buffer, void** result) {
  RaftNode* self = static_cast<RaftNode*>(fsm->data);
  const auto entry = decodeFrame(*buffer);
  if (!entry) {
    self->pendingCallbacks_.push_back([self] {
      self->onFailure_("a log entry is corrupt (length or checksum mismatch): replace this coordinator");
    });
    return RAFT_CORRUPT;
  }
  const std::size_t before = self->effects_.size();
  // The state machine numbers command entries itself, so the index is the same on every replica.
  self->lastResult_ = self->state_.apply(self->state_.appliedIndex() + 1, *entry, &self->effects_);
  const std::vector<fleet::Effect> own(self->effects_.begin() + static_cast<std::ptrdiff_t>(before),
                                       self->effects_.end());
  self->expiry_.observe(self->state_, own, clocks::bootNow());
  *result = &self->lastResult_;
  return 0;
}

int RaftNode::snapshot(raft_fsm* fsm, raft_buffer** buffers, unsigned* count) {
  RaftNode* self = static_cast<RaftNode*>(fsm->data);
  auto* all = static_cast<raft_buffer*>(raft_malloc(sizeof(raft_buffer)));
  if (all == nullptr) return RAFT_NOMEM;
  *all = encodeFrame(self->state_.snapshot());
  if (all->base == nullptr) {
    raft_free(all);
    return RAFT_NOMEM;
  }
  *buffers = all;
  *count = 1;
  return 0;
}

int RaftNode::restore(raft_fsm* fsm, raft_buffer* buffer) {
  RaftNode* self = static_cast<RaftNode*>(fsm->data);
  try {
    const auto bytes = decodeFrame(*buffer);
    if (!bytes) throw std::runtime_error("length or checksum mismatch");
    self->state_.restore(*bytes);
  } catch (const std::exception& problem) {
    self->pendingCallbacks_.push_back([self, what = std::string(problem.what())] {
      self->onFailure_("cannot restore a snapshot: " + what);
    });
    return RAFT_CORRUPT;
  }
  raft_free(buffer->base);
  fleet::Effect all;
  all.kind = fleet::Effect::Kind::valueChanged;
  self->effects_.push_back(all);  // makes all watchers re-evaluate
  return 0;
}

int RaftNode::connectToPeer(raft_uv_transport* transport, raft_uv_connect* request, raft_id id,
                            const char* address, raft_uv_connect_cb callback) {
  RaftNode* self = static_cast<Transport*>(transport)->node;
  for (const Peer& peer : self->settings_.peers)
    if (peer.id == id) return self->tcpConnect_(transport, request, id, peer.raftVia.c_str(), callback);
  return self->tcpConnect_(transport, request, id, address, callback);
}

// ---- Event loop ----

void RaftNode::onLoopTurn() {
  if (running_ && !closing_) {
    const int state = raft_state(&raft_);
    if (state == RAFT_UNAVAILABLE) {
      running_ = false;
      onFailure_("Raft is unavailable: " + lastRaftError());
      return;
    }
    if (state == RAFT_LEADER && leaderTerm_ != raft_.current_term) {
      leaderTerm_ = raft_.current_term;
      expiry_.startLeading(state_, clocks::bootNow());
      raisingGeneration_ = false;
    } else if (state != RAFT_LEADER && expiry_.isLeading()) {
      expiry_.stopLeading();
      leaderTerm_ = 0;
    }
  }
  // A callback may propose again, which adds further callbacks and effects.
  while (!pendingCallbacks_.empty() || !effects_.empty()) {
    const auto callbacks = std::exchange(pendingCallbacks_, {});
    const auto effects = std::exchange(effects_, {});
    if (!effects.empty()) onEffects_(effects);
    for (const auto& callback : callbacks) callback();
  }
}

void RaftNode::tick() {
  if (closing_ || !running_) return;
  const auto ignore = [](ProposalOutcome, const fleet::Result&) {};
  if (isLeader()) {
    for (const fleet::Command& command : expiry_.dueCommands(state_, clocks::bootNow()))
      propose(command, ignore);
    if (folder_.requestedGeneration() != 0 && !raisingGeneration_) {
      raisingGeneration_ = true;
      propose(fleet::RaiseGeneration{folder_.requestedGeneration()},
              [this](ProposalOutcome outcome, const fleet::Result&) {
                if (outcome == ProposalOutcome::applied) folder_.clearGenerationRequest();
                raisingGeneration_ = false;
              });
    }
  }
  tickAlarm_.armAfter(kExpiryTickInterval, [this] { tick(); });
}

// ---- Proposals ----

bool RaftNode::isLeader() const {
  return running_ && !closing_ && raft_state(const_cast<raft*>(&raft_)) == RAFT_LEADER;
}

std::optional<std::uint64_t> RaftNode::leader() const {
  if (!running_) return std::nullopt;
  raft_id id = 0;
  const char* address = nullptr;
  raft_leader(const_cast<raft*>(&raft_), &id, &address);
  return id == 0 ? std::nullopt : std::optional<std::uint64_t>(id);
}

ReplicaProgress RaftNode::progress() const {
  ReplicaProgress s = folder_.ownProgress();
  if (!running_) return s;
  s.term = std::max<std::uint64_t>(s.term, raft_.current_term);
  s.applied = std::max<std::uint64_t>(s.applied, raft_last_applied(const_cast<raft*>(&raft_)));
  return s;
}

void RaftNode::propose(const fleet::Command& command, ProposalCallback callback) {
  const auto reject = [&](ProposalOutcome outcome) {
    boost::asio::post(io_, [callback = std::move(callback), outcome] { callback(outcome, {}); });
  };
  if (!isLeader()) return reject(ProposalOutcome::notLeader);
  auto proposal = std::make_unique<Proposal>();
  proposal->node = this;
  proposal->request.data = proposal.get();
  const raft_buffer buffer = encodeFrame(fleet::encode(command));
  if (buffer.base == nullptr) return reject(ProposalOutcome::unknown);
  proposal->callback = callback;
  const int status = raft_apply(&raft_, &proposal->request, &buffer, 1, Proposal::done);
  if (status != 0) {
    raft_free(buffer.base);
    return reject(failureOutcome(status));
  }
  static_cast<void>(proposal.release());
  loop_.turn();
}

void RaftNode::renew(fleet::SessionId session, ProposalCallback callback) {
  pendingRenewals_.emplace_back(session, std::move(callback));
  if (!renewalInFlight_) {
    renewalInFlight_ = true;
    // Deferred so that renewals of the same event-loop turn are batched.
    boost::asio::post(io_, [this] { flushRenewals(); });
  }
}

void RaftNode::flushRenewals() {
  const std::size_t count = std::min(pendingRenewals_.size(), kMaxRenewalsPerEntry);
  std::vector<std::pair<fleet::SessionId, ProposalCallback>> now(
      std::make_move_iterator(pendingRenewals_.begin()),
      std::make_move_iterator(pendingRenewals_.begin() + static_cast<std::ptrdiff_t>(count)));
  pendingRenewals_.erase(pendingRenewals_.begin(),
                         pendingRenewals_.begin() + static_cast<std::ptrdiff_t>(count));
  fleet::RenewSessions renew;
  for (const auto& [session, callback] : now) renew.sessions.push_back(session);
  propose(renew, [this, now = std::move(now)](ProposalOutcome outcome, const fleet::Result& result) {
    for (std::size_t i = 0; i < now.size(); ++i) {
      fleet::Result own;
      own.code = result.code;
      own.index = result.index;
      if (i < result.renewals.size()) own.renewals = {result.renewals[i]};
      now[i].second(outcome, own);
    }
    renewalInFlight_ = !pendingRenewals_.empty();
    if (renewalInFlight_) flushRenewals();
  });
}

void RaftNode::barrier(std::function<void(ProposalOutcome)> callback) {
  struct Barrier {
    struct raft_barrier request {};
    RaftNode* node;
    std::function<void(ProposalOutcome)> callback;
  };
  if (!isLeader()) {
    boost::asio::post(io_, [callback = std::move(callback)] { callback(ProposalOutcome::notLeader); });
    return;
  }
  auto barrier = std::make_unique<Barrier>();
  barrier->node = this;
  barrier->callback = std::move(callback);
  barrier->request.data = barrier.get();
  const int status = raft_barrier(&raft_, &barrier->request, [](struct raft_barrier* request, int failed) {
    const std::unique_ptr<Barrier> self(static_cast<Barrier*>(request->data));
    self->node->pendingCallbacks_.push_back([callback = std::move(self->callback), failed] {
      callback(failed == 0 ? ProposalOutcome::applied : failureOutcome(failed));
    });
  });
  if (status != 0) {
    boost::asio::post(io_, [callback = std::move(barrier->callback), outcome = failureOutcome(status)] {
      callback(outcome);
    });
    return;
  }
  static_cast<void>(barrier.release());
  loop_.turn();
}

// ---- Cluster membership ----

std::vector<CoordinatorEntry> RaftNode::coordinators() const {
  std::vector<CoordinatorEntry> out;
  if (!running_) return out;
  for (unsigned i = 0; i < raft_.configuration.n; ++i) {
    const raft_server& server = raft_.configuration.servers[i];
    out.push_back({server.id, server.address, roleName(server.role)});
  }
  return out;
}

void RaftNode::addCoordinator(const CoordinatorEntry& coordinator,
                              std::function<void(std::string)> callback) {
  if (!isLeader()) return callback("this coordinator is not the leader");
  auto change = std::make_unique<ConfigurationChange>();
  change->node = this;
  change->request.data = change.get();
  change->callback = [this, id = coordinator.id, callback](int status) {
    if (status != 0 && status != RAFT_DUPLICATEID) return callback(raft_strerror(status));
    changeRole(id, callback);
  };
  const int status =
      raft_add(&raft_, &change->request, coordinator.id, coordinator.raft.c_str(), ConfigurationChange::done);
  if (status == RAFT_DUPLICATEID)
    return changeRole(coordinator.id, callback);  // added by an earlier, incomplete attempt
  if (status != 0) return callback(raft_strerror(status));
  static_cast<void>(change.release());
  loop_.turn();
}

// Promotes the server to voter; C-Raft completes this once its log has caught up.
void RaftNode::changeRole(std::uint64_t id, std::function<void(std::string)> callback) {
  auto change = std::make_unique<ConfigurationChange>();
  change->node = this;
  change->request.data = change.get();
  change->callback = [callback](int status) { callback(status == 0 ? "" : raft_strerror(status)); };
  const int status = raft_assign(&raft_, &change->request, id, RAFT_VOTER, ConfigurationChange::done);
  if (status == RAFT_BADROLE) return callback("");  // already a voter
  if (status != 0) return callback(raft_strerror(status));
  static_cast<void>(change.release());
  loop_.turn();
}

void RaftNode::removeCoordinator(std::uint64_t id, std::function<void(std::string)> callback) {
  if (!isLeader()) return callback("this coordinator is not the leader");
  auto change = std::make_unique<ConfigurationChange>();
  change->node = this;
  change->request.data = change.get();
  change->callback = [callback](int status) { callback(status == 0 ? "" : raft_strerror(status)); };
  const int status = raft_remove(&raft_, &change->request, id, ConfigurationChange::done);
  if (status != 0) return callback(raft_strerror(status));
  static_cast<void>(change.release());
  loop_.turn();
}

}  // namespace quilltide::coordinator
