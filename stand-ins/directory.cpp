// Answers of the directory (PROTOCOL: "Discovery", "Notices").
#include "directory.hpp"

#include <sstream>

namespace quilltide::standin {

namespace http = boost::beast::http;
using nlohmann::json;

namespace {
std::string chunk(const std::string& line) {
  std::ostringstream out;
  out << std::hex << line.size() << "\r\n" << line << "\r\n";
  return out.str();
}
}  // namespace

Directory::Directory(boost::asio::io_context& io, const tcp::endpoint& listenEndpoint)
    : io_(io),
      keepAliveTimer_(io),
      server_(
          io, [this](const std::shared_ptr<HttpServer::Connection>& connection) { handle(connection); },
          listenEndpoint) {
  scheduleKeepAlive();
}

json Directory::entryJson(const DirectoryEntry& listedEntry, const std::string& state) const {
  return {{"uid", listedEntry.uid}, {"endpoint", listedEntry.endpoint},
          {"az", listedEntry.zone}, {"model", listedEntry.kind},
          {"state", state},         {"pod_group", listedEntry.destination},
          {"capacity_hint", 1.0},   {"boot_ms", 0}};
}

json Directory::snapshot() const {
  json targets = json::array();
  for (const auto& [uid, entry] : entries_) targets.push_back(entryJson(entry, entry.state));
  return {{"rev", revision_}, {"all", true}, {"targets", targets}};
}

void Directory::set(const DirectoryEntry& entry) {
  entries_[entry.uid] = entry;
  broadcast(
      {{"rev", ++revision_}, {"all", false}, {"targets", json::array({entryJson(entry, entry.state)})}});
}

void Directory::remove(const std::string& uid) {
  const auto found = entries_.find(uid);
  if (found == entries_.end()) return;
  const json removed = entryJson(found->second, "left");
  entries_.erase(found);
  broadcast({{"rev", ++revision_}, {"all", false}, {"targets", json::array({removed})}});
}

void Directory::broadcast(const json& update) {
  for (const auto& watch : watches_) {
    if (const auto connection = watch.lock()) connection->write(chunk(update.dump() + "\n"));
  }
}

void Directory::scheduleKeepAlive() {
  keepAliveTimer_.expires_after(milliseconds(2'000));
  keepAliveTimer_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    std::erase_if(watches_, [](const auto& watch) { return watch.expired(); });
    for (const auto& watch : watches_) {
      if (const auto connection = watch.lock()) connection->write(chunk("\n"));
    }
    scheduleKeepAlive();
  });
}

void Directory::goOffline() {
  offline_ = true;
  for (const auto& watch : watches_) {
    if (const auto connection = watch.lock()) connection->close();
  }
  watches_.clear();
}

void Directory::comeOnline() { offline_ = false; }

void Directory::handle(const std::shared_ptr<HttpServer::Connection>& connection) {
  const auto& request = connection->request();
  if (request.method() == http::verb::post && request.target() == "/status") {
    std::istringstream lines(request.body());
    for (std::string line; std::getline(lines, line);) {
      const json notice = json::parse(line, nullptr, false);
      if (notice.is_discarded()) {
        connection->write(HttpServer::formatResponse(400));
        return connection->finishRequest();
      }
      Notice& recorded = notices_[notice.at("message").get<std::string>()];
      const std::string outcome = notice.at("outcome").get<std::string>();
      recorded.conflicting = recorded.conflicting || (recorded.count > 0 && recorded.outcome != outcome);
      recorded.outcome = outcome;
      recorded.retryInMs = notice.value("retry_in_ms", 0);
      ++recorded.count;
    }
    connection->write(HttpServer::formatResponse(204));
    return connection->finishRequest();
  }
  if (offline_) {
    connection->write(HttpServer::formatResponse(503));
    return connection->finishRequest();
  }
  if (!request.target().starts_with("/discovery/hosts")) {
    connection->write(HttpServer::formatResponse(404));
    return connection->finishRequest();
  }
  if (request.target().find("watch=1") == std::string::npos) {
    connection->write(HttpServer::formatResponse(200, snapshot().dump()));
    return connection->finishRequest();
  }
  watches_.push_back(connection);
  connection->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" +
                    chunk(snapshot().dump() + "\n"));
}

}  // namespace quilltide::standin
