// Manual recovery after a permanent loss of quorum, or from a copy of a folder; and the disk space bound.
#pragma once

#include <cstddef>
#include <cstdint>

#include "coordinator/settings.hpp"

namespace quilltide::coordinator {

// Makes the stopped coordinator the only server of its cluster, with the state in its folder. At its next
// start it ends all sessions, waits for the maximum lease time, and issues fencing tokens above `generation`.
// Blocks; throws FolderError.
void recover(const Settings& settings, std::uint32_t generation);

// Upper bound of the folder's size in bytes: log segments, entries since the last snapshot, and two snapshots
// of a full state.
std::size_t maxDiskBytes(const Settings& settings);

}  // namespace quilltide::coordinator
