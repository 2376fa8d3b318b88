// Implementation of the harness: placeholder expansion, process polling and the event loop.
#include "harness.hpp"

#include <stdlib.h>

#include <regex>
#include <stdexcept>

#include "ports.hpp"

namespace quilltide::harness {

namespace fs = std::filesystem;

namespace {

constexpr auto kExitPollInterval = milliseconds(5);

}  // namespace

std::string toString(const tcp::endpoint& endpoint) {
  return endpoint.address().to_string() + ":" + std::to_string(endpoint.port());
}

Harness::Harness(boost::asio::io_context& io, fs::path folder)
    : io_(io), folder_(std::move(folder)), pollTimer_(io) {
  if (folder_.empty()) {
    std::string name = (fs::temp_directory_path() / "thistleyoke-harness-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr)
      throw std::runtime_error("cannot create a temporary folder for the harness");
    folder_ = name;
  } else {
    fs::create_directories(folder_);
    keepFolder_ = true;
  }
  pollChildren();
}

Harness::~Harness() {
  children_.clear();
  links_.clear();
  std::error_code ignored;
  if (!keepFolder_) fs::remove_all(folder_, ignored);
}

void Harness::pollChildren() {
  for (const auto& [name, child] : children_) child->poll();
  pollTimer_.expires_after(kExitPollInterval);
  pollTimer_.async_wait([this](boost::system::error_code error) {
    if (!error) pollChildren();
  });
}

tcp::endpoint Harness::portEndpoint(const std::string& child, const std::string& port) {
  const auto [entry, inserted] = portEndpoints_.try_emplace(child + "." + port);
  if (inserted) entry->second = standin::findFreeEndpoint();
  return entry->second;
}

tcp::endpoint Harness::linkEndpoint(const std::string& clientProcess, const std::string& serverProcess,
                                    const std::string& port) {
  auto& proxy = links_[clientProcess + "->" + serverProcess + "." + port];
  if (!proxy)
    proxy = std::make_unique<FaultProxy>(io_, standin::findFreeEndpoint(), portEndpoint(serverProcess, port));
  return proxy->listenEndpoint();
}

std::string Harness::expandPlaceholders(const std::string& processName, const std::string& text) {
  static const std::regex placeholder(

      R"(\{(folder|state|at:([A-Za-z0-9_]+)|(to|of):([A-Za-z0-9_-]+)\.([A-Za-z0-9_]+))\})");
  std::string out;
  auto unprocessed = text.begin();
  for (std::sregex_iterator it(text.begin(), text.end(), placeholder), end; it != end; ++it) {
    out.append(unprocessed, text.begin() + it->position());
    unprocessed = text.begin() + it->position() + it->length();
    const std::string kind = (*it)[1];
    if (kind == "folder") {
      out += (folder_ / processName).string();
    } else if (kind == "state") {
      out += (folder_ / processName / "state").string();
    } else if ((*it)[2].matched) {
      out += toString(portEndpoint(processName, (*it)[2]));
    } else {
      out += toString((*it)[3] == "to" ? linkEndpoint(processName, (*it)[4], (*it)[5])
                                       : portEndpoint((*it)[4], (*it)[5]));
    }
  }
  return out.append(unprocessed, text.end());
}

ChildProcess& Harness::add(ProcessConfig config) {
  const std::string name = config.name;
  if (configs_.contains(name)) throw std::invalid_argument("duplicate process name: " + name);
  configs_[name] = config;
  return *(children_[name] =
               std::make_unique<ChildProcess>(io_, timeline_, folder_ / name, std::move(config)));
}

void Harness::start(const std::string& name) {
  ChildProcess& process = child(name);
  const ProcessConfig& config = configs_.at(name);
  for (std::size_t i = 0; i < config.args.size(); ++i)
    process.config().args[i] = expandPlaceholders(name, config.args[i]);
  for (const auto& [key, value] : config.env) process.config().env[key] = expandPlaceholders(name, value);
  for (const auto& [key, value] : config.files) process.config().files[key] = expandPlaceholders(name, value);
  firstEntryOfRun_[name] = timeline_.entries().size();
  process.start();
}

void Harness::startAll() {
  for (const auto& [name, child] : children_)
    if (!child->running()) start(name);
}

ChildProcess& Harness::child(const std::string& name) { return *children_.at(name); }
FaultProxy& Harness::link(const std::string& name) { return *links_.at(name); }

std::vector<ChildProcess*> Harness::children(const std::string& pattern) {
  const std::regex regex(pattern);
  std::vector<ChildProcess*> out;
  for (const auto& [name, child] : children_)
    if (std::regex_match(name, regex)) out.push_back(child.get());
  return out;
}

std::vector<std::pair<std::string, FaultProxy*>> Harness::links(const std::string& pattern) {
  const std::regex regex(pattern);
  std::vector<std::pair<std::string, FaultProxy*>> out;
  for (const auto& [name, proxy] : links_)
    if (std::regex_match(name, regex)) out.emplace_back(name, proxy.get());
  return out;
}

bool Harness::waitUntil(const std::function<bool()>& condition, milliseconds timeout) {
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  for (;;) {
    if (condition()) return true;
    if (std::chrono::steady_clock::now() >= deadline) return false;
    io_.restart();
    io_.run_for(milliseconds(2));
  }
}

void Harness::runFor(milliseconds duration) {
  io_.restart();
  io_.run_for(duration);
}

bool Harness::waitForLine(const std::string& name, const std::string& regex, milliseconds timeout) {
  std::size_t nextEntry = firstEntryOfRun_[name];
  return waitUntil(
      [&] {
        const std::size_t firstUnread = std::exchange(nextEntry, timeline_.entries().size());
        return timeline_.countMatches(name, regex, firstUnread) > 0;
      },
      timeout);
}

}  // namespace quilltide::harness
