// The directory's answers (PROTOCOL: "Discovery", "Notices").
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

Directory::Directory(boost::asio::io_context& io, const tcp::endpoint& at)
    : io_(io),
      alive_(io),
      server_(
          io, [this](const std::shared_ptr<HttpServer::Link>& link) { take(link); }, at) {
  keepAlive();
}

json Directory::entryOf(const Listed& e, const std::string& state) const {
  return {{"uid", e.uid},   {"endpoint", e.endpoint},     {"az", e.zone},         {"model", e.kind},
          {"state", state}, {"pod_group", e.destination}, {"capacity_hint", 1.0}, {"boot_ms", 0}};
}

json Directory::list() const {
  json targets = json::array();
  for (const auto& [uid, entry] : entries_) targets.push_back(entryOf(entry, entry.state));
  return {{"rev", rev_}, {"all", true}, {"targets", targets}};
}

void Directory::set(const Listed& entry) {
  entries_[entry.uid] = entry;
  tell({{"rev", ++rev_}, {"all", false}, {"targets", json::array({entryOf(entry, entry.state)})}});
}

void Directory::remove(const std::string& uid) {
  const auto at = entries_.find(uid);
  if (at == entries_.end()) return;
  const json gone = entryOf(at->second, "left");
  entries_.erase(at);
  tell({{"rev", ++rev_}, {"all", false}, {"targets", json::array({gone})}});
}

void Directory::tell(const json& line) {
  for (const auto& watch : watches_) {
    if (const auto link = watch.lock()) link->write(chunk(line.dump() + "\n"));
  }
}

void Directory::keepAlive() {
  alive_.expires_after(milliseconds(2'000));
  alive_.async_wait([this](boost::system::error_code error) {
    if (error) return;
    std::erase_if(watches_, [](const auto& watch) { return watch.expired(); });
    for (const auto& watch : watches_) {
      if (const auto link = watch.lock()) link->write(chunk("\n"));
    }
    keepAlive();
  });
}

void Directory::down() {
  down_ = true;
  for (const auto& watch : watches_) {
    if (const auto link = watch.lock()) link->close();
  }
  watches_.clear();
}

void Directory::up() { down_ = false; }

void Directory::take(const std::shared_ptr<HttpServer::Link>& link) {
  const auto& request = link->request();
  if (request.method() == http::verb::post && request.target() == "/status") {
    std::istringstream lines(request.body());
    for (std::string line; std::getline(lines, line);) {
      const json notice = json::parse(line, nullptr, false);
      if (notice.is_discarded()) {
        link->write(HttpServer::answer(400));
        return link->done();
      }
      Noticed& n = notices_[notice.at("message").get<std::string>()];
      const std::string outcome = notice.at("outcome").get<std::string>();
      n.changed = n.changed || (n.times > 0 && n.outcome != outcome);
      n.outcome = outcome;
      n.retryInMs = notice.value("retry_in_ms", 0);
      ++n.times;
    }
    link->write(HttpServer::answer(204));
    return link->done();
  }
  if (down_) {
    link->write(HttpServer::answer(503));
    return link->done();
  }
  if (!request.target().starts_with("/discovery/hosts")) {
    link->write(HttpServer::answer(404));
    return link->done();
  }
  if (request.target().find("watch=1") == std::string::npos) {
    link->write(HttpServer::answer(200, list().dump()));
    return link->done();
  }
  watches_.push_back(link);
  link->write("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(list().dump() + "\n"));
}

}  // namespace quilltide::standin
