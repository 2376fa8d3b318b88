// The platform's configuration (PROXY_CONFIG): settings, limits and the last known directory.
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

// Names of classes, kinds and zones; the decision module uses their indices.
struct SettingNames {
  std::vector<std::string> classes, kinds, zones;
  // Index of a class; nothing if the name is unknown.
  std::optional<int> classIndex(const std::string& name) const {
    const auto at = std::find(classes.begin(), classes.end(), name);
    return at == classes.end() ? std::nullopt : std::optional(static_cast<int>(at - classes.begin()));
  }
};

// The directory of targets, or the entries of it that changed.
struct DirectoryUpdate {
  std::int64_t revision = 0;
  DirectoryView view;
  std::map<TargetId, tcp::endpoint> addresses;
  std::map<TargetId, std::int64_t> startTimes;  // when each target last started, Unix time in ms; 0: long ago
  std::set<std::string> unknownNames;  // kinds and zones that the settings do not name, as text for the log
};
// Parses "127.0.0.1:8080". Throws std::runtime_error with a one-line message if the text is not an IP
// address with a port.
tcp::endpoint parseAddress(const std::string& text);
// Returns the content of a configuration file. Throws std::runtime_error if it cannot be opened.
std::string readFile(const std::string& path);

// Parses a directory or an update of it. Throws an exception derived from std::exception if it is malformed.
DirectoryUpdate parseDirectory(const nlohmann::json& list, const SettingNames& names);

// Configuration of one forwarder as the platform gives it.
struct PlatformConfig {
  std::string name;
  tcp::endpoint listen, discovery;
  std::string stateFolder;
  std::uint64_t seed = 0;
  std::size_t maxSockets = 1024;
  std::size_t memoryLimitBytes = 192'000'000;
  std::size_t diskLimitBytes = 3'000'000;
  Settings settings;
  SettingNames names;
  DirectoryUpdate initialDirectory;
};

// Throws std::runtime_error with a one-line message if the configuration is invalid. Unknown keys are
// ignored.
PlatformConfig parsePlatformConfig(const nlohmann::json& text, const std::string& stateFolder);
PlatformConfig readPlatformConfig(const std::string& path, const std::string& stateFolder);
// Reads the address of the discovery service, the only setting that is reloaded on SIGHUP. Throws
// std::runtime_error.
tcp::endpoint readDiscoveryAddress(const std::string& path);

}  // namespace quilltide::net
