// Rewrites the Raft configuration in a folder that no process uses.
#include "coordinator/recover.hpp"

#include "coordinator/folder.hpp"
#include "coordinator/raft_library.hpp"

namespace quilltide::coordinator {
namespace {

// Typical log entry: a batch of 100 session renewals.
constexpr std::size_t kTypicalEntryBytes = 1'024;

}  // namespace

void recover(const Settings& settings, std::uint32_t generation) {
  Folder folder(settings.folder, settings.fleet, settings.id);
  if (folder.isNew()) throw FolderError("the folder '" + settings.folder + "' was never part of a fleet");
  // Persisted before the configuration changes, so that a crash in between cannot lose the new generation.
  folder.requestGeneration(generation);
  uv_loop_t loop;
  raft_uv_transport transport{};
  raft_io raftIo{};
  raft_fsm stateMachine{};
  raft node{};
  stateMachine.version = 1;
  if (uv_loop_init(&loop) != 0 || raft_uv_tcp_init(&transport, &loop) != 0 ||
      raft_uv_init(&raftIo, &loop, folder.raftDirectory().c_str(), &transport) != 0)
    throw FolderError("Raft cannot use the directory '" + folder.raftDirectory() + "': " + raftIo.errmsg);
  raft_uv_set_segment_size(&raftIo, settings.segmentBytes);
  raft_uv_set_auto_recovery(&raftIo, false);
  const std::string address = settings.raft.empty() ? "127.0.0.1:0" : settings.raft;
  if (raft_init(&node, &raftIo, &stateMachine, settings.id, address.c_str()) != 0)
    throw FolderError("cannot initialize Raft: " + std::string(raft_errmsg(&node)));
  raft_configuration configuration;
  raft_configuration_init(&configuration);
  int status = raft_configuration_add(&configuration, settings.id, address.c_str(), RAFT_VOTER);
  if (status == 0) status = raft_recover(&node, &configuration);
  raft_configuration_close(&configuration);
  if (status != 0)
    throw FolderError("Raft cannot rewrite the configuration in '" + folder.raftDirectory() +
                      "': " + raftIo.errmsg);
  raft_close(&node, [](raft*) {});
  uv_run(&loop, UV_RUN_DEFAULT);
  raft_uv_close(&raftIo);
  raft_uv_tcp_close(&transport);
  uv_loop_close(&loop);
}

std::size_t maxDiskBytes(const Settings& settings) {
  const std::size_t state = settings.stateLimits.maxTotalValueBytes + settings.stateLimits.maxSessions * 400 +
                            settings.stateLimits.maxLeases * 300;
  const std::size_t entries = (settings.snapshotEntries + settings.trailingEntries) * kTypicalEntryBytes;
  return 3 * settings.segmentBytes + entries + 2 * state;
}

}  // namespace quilltide::coordinator
