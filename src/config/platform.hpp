// What a forwarder is told at its start: PROXY_CONFIG read into settings, limits and the remembered list.
#pragma once

#include <algorithm>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "quilltide/sender.hpp"

namespace quilltide::net {

using boost::asio::ip::tcp;

// The names that settings hold for what the module counts from 0.
struct Names {
  std::vector<std::string> classes, kinds, zones;
  std::optional<int> classOf(const std::string& name) const {
    const auto at = std::find(classes.begin(), classes.end(), name);
    return at == classes.end() ? std::nullopt : std::optional(static_cast<int>(at - classes.begin()));
  }
};

// Discovery's list, or the part of it that changed.
struct Directory {
  std::int64_t rev = 0;
  DirectoryView view;
  std::map<TargetId, tcp::endpoint> addresses;
  std::set<std::string> unlisted;  // kinds and zones in it that the settings do not name, for the log
};
// "127.0.0.1:8080"; throws std::runtime_error with one plain line on what is none.
tcp::endpoint parseAddress(const std::string& text);
// A whole file; throws std::runtime_error if it cannot be opened.
std::string readFile(const std::string& path);

Directory parseDirectory(const nlohmann::json& list, const Names& names);

struct Config {
  std::string name;
  tcp::endpoint listen, discovery;
  std::string stateFolder;
  std::uint64_t seed = 0;
  std::size_t sockets = 1024;
  std::size_t memoryBytes = 192'000'000;
  std::size_t diskBytes = 3'000'000;
  Settings settings;
  Names names;
  Directory known;
};

// Throws std::runtime_error with one plain line on what it cannot use; keys that it does not know pass.
Config parseConfig(const nlohmann::json& text, const std::string& stateFolder);
Config readConfig(const std::string& path, const std::string& stateFolder);
// What SIGHUP takes over of a configuration that replaced the one at the start. Throws like readConfig.
tcp::endpoint readDiscovery(const std::string& path);

}  // namespace quilltide::net
