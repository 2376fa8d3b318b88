// Reads the platform's configuration and directory, both JSON.
#include "config/platform.hpp"

#include <algorithm>
#include <charconv>
#include <fstream>
#include <stdexcept>

#include "wire/wire.hpp"

namespace quilltide::net {
namespace {

using nlohmann::json;

std::string scalarText(const json& value) {
  return value.is_string() ? value.get<std::string>() : value.is_null() ? std::string() : value.dump();
}

// The settings are those of the wire protocol as nested JSON. They are flattened into wire fields for the
// wire parser.
void flatten(const json& value, const std::string& path, wire::Line& line) {
  if (value.is_object()) {
    for (const auto& [name, member] : value.items())
      flatten(member, path.empty() ? name : path + "." + name, line);
  } else if (value.is_array() && !value.empty() && value.front().is_object()) {
    line.fields[path + ".count"] = std::to_string(value.size());
    for (std::size_t i = 0; i < value.size(); ++i) flatten(value[i], path + "." + std::to_string(i), line);
  } else if (value.is_array()) {
    std::string joined;
    for (const json& item : value) joined += (joined.empty() ? "" : ",") + scalarText(item);
    line.fields[path] = joined;
  } else {
    line.fields[path] = scalarText(value);
  }
}

std::vector<std::string> namesOf(const json& list) {
  std::vector<std::string> names;
  for (const json& item : list) names.push_back(item.is_object() ? item.value("name", "") : scalarText(item));
  return names;
}

// Index of the name, or the number of names if it is unknown.
int indexOf(const std::vector<std::string>& names, const std::string& name) {
  return static_cast<int>(std::find(names.begin(), names.end(), name) - names.begin());
}

// Different unknown zones must not share an index, because idempotency keys are scoped by zone. The index
// depends on the name alone, so that all forwarders agree.
int unknownZoneIndex(const std::string& name) {
  constexpr std::uint32_t kOffsetBasis = 2'166'136'261, kPrime = 16'777'619;  // FNV-1a
  std::uint32_t hash = kOffsetBasis;
  for (const unsigned char character : name) hash = (hash ^ character) * kPrime;
  return static_cast<int>(hash & 0xffffffU);
}

// The text under `key` of the configuration.
std::string textAt(const json& config, const char* key) {
  const auto at = config.is_object() ? config.find(key) : config.end();
  if (at == config.end() || !at->is_string()) throw std::runtime_error(std::string(key) + " must be a text");
  return at->get<std::string>();
}

// The address under `key` of the configuration.
tcp::endpoint addressAt(const json& config, const char* key) {
  const std::string text = textAt(config, key);
  try {
    return parseAddress(text);
  } catch (const std::exception& problem) {
    throw std::runtime_error(std::string(key) + ": " + problem.what());
  }
}

std::uint64_t seedFrom(const json& value) {
  const std::string text = scalarText(value);
  try {
    return std::stoull(text, nullptr, 16);
  } catch (const std::logic_error&) {
    throw std::runtime_error("seed must be a hexadecimal number of at most 64 bits, not '" + text + "'");
  }
}

std::size_t megabytes(const json& limits, const char* name, std::size_t fallback) {
  if (limits.contains(name) && !limits.at(name).is_number())
    throw std::runtime_error(std::string("limits.") + name + " must be a number");
  const double value = limits.value(name, static_cast<double>(fallback) / 1e6);
  if (!(value > 0)) throw std::runtime_error(std::string("limits.") + name + " must be greater than 0");
  return static_cast<std::size_t>(value * 1e6);
}

json readJson(const std::string& path) {
  json text = json::parse(readFile(path), nullptr, false);
  if (text.is_discarded()) throw std::runtime_error("the configuration '" + path + "' is not JSON");
  return text;
}

}  // namespace

std::string readFile(const std::string& path) {
  std::ifstream file(path, std::ios::binary);
  if (!file) throw std::runtime_error("cannot open the configuration '" + path + "'");
  try {
    return {std::istreambuf_iterator<char>(file), {}};
  } catch (const std::ios_base::failure& failure) {  // for example a directory
    throw std::runtime_error("cannot read the configuration '" + path + "': " + failure.code().message());
  }
}

tcp::endpoint parseAddress(const std::string& text) {
  const std::size_t colon = text.rfind(':');
  boost::system::error_code addressError;
  const auto address = boost::asio::ip::make_address(text.substr(0, colon), addressError);
  unsigned short port = 0;
  const char* portBegin = text.data() + (colon == std::string::npos ? text.size() : colon + 1);
  const auto [end, portError] = std::from_chars(portBegin, text.data() + text.size(), port);
  if (addressError || portError != std::errc() || end != text.data() + text.size()) {
    throw std::runtime_error("not an address with a port: '" + text + "'");
  }
  return {address, port};
}

DirectoryUpdate parseDirectory(const json& list, const SettingNames& names) {
  DirectoryUpdate update;
  update.revision = list.at("rev").get<std::int64_t>();
  update.view.scope = list.at("all").get<bool>() ? ViewScope::all : ViewScope::changes;
  for (const json& item : list.at("targets")) {
    TargetEntry entry;
    entry.target = item.at("uid").get<std::string>();
    entry.destination = item.at("pod_group").get<std::int64_t>();
    entry.ratedCapacity = item.value("capacity_hint", 1.0);
    const std::string state = item.value("state", "active");
    entry.availability = state == "leaving" ? Availability::draining
                         : state == "left"  ? Availability::removed
                                            : Availability::inService;
    const std::string kind = item.value("model", ""), zone = item.value("az", "");
    entry.kind = indexOf(names.kinds, kind);
    entry.zone = indexOf(names.zones, zone);
    const bool unknownKind = entry.kind == static_cast<int>(names.kinds.size());
    const bool unknownZone = entry.zone == static_cast<int>(names.zones.size());
    if (unknownZone) entry.zone += unknownZoneIndex(zone);
    if (unknownKind && entry.availability != Availability::removed)
      update.unknownNames.insert("kind '" + kind + "'");
    if (unknownZone && entry.availability != Availability::removed)
      update.unknownNames.insert("zone '" + zone + "'");
    if (entry.availability != Availability::removed || item.contains("endpoint"))
      update.addresses[entry.target] = parseAddress(item.at("endpoint").get<std::string>());
    const auto startTime = item.find("boot_ms");
    const bool hasStartTime = startTime != item.end() && startTime->is_number();
    update.startTimes[entry.target] = hasStartTime ? startTime->get<std::int64_t>() : 0;
    update.view.entries.push_back(std::move(entry));
  }
  return update;
}

PlatformConfig parsePlatformConfig(const json& text, const std::string& stateFolder) {
  try {
    PlatformConfig config;
    config.name = textAt(text, "name");
    config.listen = addressAt(text, "listen");
    config.discovery = addressAt(text, "discovery");
    config.stateFolder = stateFolder;
    if (text.contains("seed")) config.seed = seedFrom(text.at("seed"));
    const json limits = text.value("limits", json::object());
    config.maxSockets = limits.value("sockets", config.maxSockets);
    config.memoryLimitBytes = megabytes(limits, "memory_mb", config.memoryLimitBytes);
    config.diskLimitBytes = megabytes(limits, "disk_mb", config.diskLimitBytes);
    const json& settings = text.at("settings");
    wire::Line line;
    flatten(settings, "", line);
    config.settings = wire::parseSettings(line);
    // The protocol allows one call at a time on each connection, regardless of the simulator's
    // settings.
    config.settings.streamsPerConnection = 1;
    if (config.settings.classes.empty()) throw std::runtime_error("settings.classes is empty");
    if (config.settings.tickInterval <= 0)
      throw std::runtime_error("settings.periodUs must be greater than 0");
    config.names.classes = namesOf(settings.at("classes"));
    config.names.kinds = namesOf(settings.value("machineTypes", json::array()));
    config.names.zones = namesOf(settings.value("dcs", json::array()));
    // The entry after the named kinds is for targets of unknown kinds. Its defaults are the most
    // restrictive ones: one message per call, and one limit for all its endpoints.
    config.settings.kinds.resize(config.names.kinds.size());
    config.settings.kinds.emplace_back();
    if (text.contains("known")) config.initialDirectory = parseDirectory(text.at("known"), config.names);
    config.initialDirectory.view.scope = ViewScope::all;
    return config;
  } catch (const std::exception& problem) {
    throw std::runtime_error(std::string("invalid configuration: ") + problem.what());
  }
}

PlatformConfig readPlatformConfig(const std::string& path, const std::string& stateFolder) {
  return parsePlatformConfig(readJson(path), stateFolder);
}

tcp::endpoint readDiscoveryAddress(const std::string& path) { return addressAt(readJson(path), "discovery"); }

}  // namespace quilltide::net
