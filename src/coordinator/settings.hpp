// Coordinator configuration, as in deploy/coordinator.toml.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

#include "fleet/expiry/expiry.hpp"
#include "fleet/state/state.hpp"

namespace quilltide::coordinator {

using boost::asio::ip::tcp;

// Another coordinator of the fleet.
struct Peer {
  std::uint64_t id = 0;
  std::string raft;  // Raft address in the cluster configuration
  tcp::endpoint http;
  std::string raftVia;  // address used to connect, if it differs from `raft`
  tcp::endpoint httpVia;
};

// Parsed configuration with its defaults.
struct Settings {
  std::uint64_t id = 1;
  std::string fleet = "thistleyoke";
  std::string folder;
  tcp::endpoint listen;
  std::string raft;  // "127.0.0.1:7501"; optional for a single coordinator
  std::string raftBind;
  std::vector<Peer> peers;
  bool join = false;
  unsigned electionMs = 1'000, heartbeatMs = 100;
  std::size_t segmentBytes = 1 << 20;  // size of a preallocated log segment; at most three exist
  unsigned snapshotEntries = 4'096, trailingEntries = 1'024;
  std::size_t connections = 1'024;
  std::string log = "info";
  fleet::ExpiryTracker::Settings expiry;
  fleet::StateLimits stateLimits;
};

// Both throw net::ConfigErrors with all errors found.
Settings readSettings(const std::string& path);
Settings parseSettings(const std::string& text, const std::string& path);

}  // namespace quilltide::coordinator
