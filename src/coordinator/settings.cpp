// Parses coordinator.toml and reports every error with its location.
#include "coordinator/settings.hpp"

#include <set>

#include "config/platform.hpp"
#include "config/service_config.hpp"
#include "config/toml_section.hpp"

namespace quilltide::coordinator {
namespace {

using net::TomlSection;

tcp::endpoint addressOf(TomlSection& section, const std::string& key, bool needed) {
  if (const auto text = section.readString(key)) {
    try {
      return net::parseAddress(*text);
    } catch (const std::exception& problem) {
      section.addError(key, problem.what());
    }
  } else if (needed) {
    section.addError(key, "is missing: an address with a port, as in \"127.0.0.1:7401\"");
  }
  return {};
}

// C-Raft identifies a server by one string with an IPv4 address and a port.
std::string raftAddressOf(TomlSection& section, const std::string& key, bool needed) {
  const std::string text = section.readString(key).value_or("");
  if (text.empty()) {
    if (needed) section.addError(key, "is missing: an IPv4 address with a port, as in \"127.0.0.1:7501\"");
    return text;
  }
  try {
    if (!net::parseAddress(text).address().is_v4()) section.addError(key, "is not an IPv4 address");
  } catch (const std::exception& problem) {
    section.addError(key, problem.what());
  }
  return text;
}

void readCoordinator(TomlSection& section, Settings& s) {
  section.readInteger("id", 1, 1'000'000, s.id);
  s.fleet = section.readString("fleet").value_or(s.fleet);
  s.folder = section.readString("folder").value_or("");
  if (s.folder.empty()) section.addError("folder", "is missing");
  s.listen = addressOf(section, "listen", true);
  section.readBool("join", s.join);
  section.readInteger("election_ms", 50, 60'000, s.electionMs);
  section.readInteger("heartbeat_ms", 5, 10'000, s.heartbeatMs);
  if (s.heartbeatMs * 3 > s.electionMs) section.addError("heartbeat_ms", "is over a third of election_ms");
  std::size_t kilobytes = s.segmentBytes >> 10;
  section.readInteger("segment_kb", 64, 65'536, kilobytes);
  s.segmentBytes = kilobytes << 10;
  section.readInteger("snapshot_entries", 16, 10'000'000, s.snapshotEntries);
  section.readInteger("trailing_entries", 16, 10'000'000, s.trailingEntries);
  section.readInteger("connections", 8, 100'000, s.connections);
  section.readNumber("drift", 0, 0.2, s.expiry.maxClockDrift);
  std::int64_t recallAfter = s.expiry.recallAfter / 1'000;
  section.readInteger("most_hold_ms", 0, 86'400'000, recallAfter);
  s.expiry.recallAfter = recallAfter * 1'000;
  std::int64_t longest = s.stateLimits.maxTtl / 1'000;
  section.readInteger("longest_term_ms", 200, 3'600'000, longest);
  s.stateLimits.maxTtl = longest * 1'000;
  section.readInteger("sessions", 1, 1'000'000, s.stateLimits.maxSessions);
  section.readInteger("leases", 1, 1'000'000, s.stateLimits.maxLeases);
  section.readInteger("values", 1, 1'000'000, s.stateLimits.maxValues);
  s.log = section.readString("log").value_or(s.log);
  if (!std::set<std::string>{"trace", "debug", "info", "warn", "error"}.contains(s.log))
    section.addError("log", "is not trace, debug, info, warn or error");
  for (TomlSection& table : section.readTables("peer")) {
    Peer peer;
    table.readInteger("id", 1, 1'000'000, peer.id);
    if (peer.id == 0) table.addError("id", "is missing");
    peer.raft = raftAddressOf(table, "raft", true);
    peer.http = addressOf(table, "http", true);
    peer.raftVia = raftAddressOf(table, "raft_via", false);
    peer.httpVia = addressOf(table, "http_via", false);
    if (peer.raftVia.empty()) peer.raftVia = peer.raft;
    if (peer.httpVia.port() == 0) peer.httpVia = peer.http;
    table.reportUnknownKeys();
    s.peers.push_back(peer);
  }
  s.raft = raftAddressOf(section, "raft", !s.peers.empty());
  s.raftBind = raftAddressOf(section, "raft_bind", false);
  std::set<std::uint64_t> ids{s.id};
  for (const Peer& peer : s.peers)
    if (!ids.insert(peer.id).second)
      section.addError("peer", "two coordinators have the id " + std::to_string(peer.id));
  section.reportUnknownKeys();
}

}  // namespace

Settings parseSettings(const std::string& text, const std::string& path) {
  std::vector<std::string> errors;
  Settings settings;
  try {
    const toml::table table = toml::parse(text, path);
    TomlSection root(table, "", path, errors);
    if (auto coordinator = root.readTable("coordinator")) {
      readCoordinator(*coordinator, settings);
    } else {
      errors.push_back(path + ":1: coordinator: is missing");
    }
    root.reportUnknownKeys();
  } catch (const toml::parse_error& problem) {
    errors.push_back(path + ":" + std::to_string(problem.source().begin.line) + ": " +
                     std::string(problem.description()));
  }
  if (!errors.empty()) throw net::ConfigErrors(std::move(errors));
  return settings;
}

Settings readSettings(const std::string& path) { return parseSettings(net::readFile(path), path); }

}  // namespace quilltide::coordinator
