// Stand-in for the platform's directory: serves the list of targets and watches on it, and receives the
// notices of the forwarder.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http_server.hpp"

namespace quilltide::standin {

// One target as the directory lists it.
struct DirectoryEntry {
  std::string uid, endpoint;
  std::int64_t destination = 0;
  std::string kind = "large", zone = "a", state = "active";
};

// What the forwarder reported of one message.
struct Notice {
  std::string outcome;  // given_up or handed_back, of the last notice
  std::int64_t retryInMs = 0;
  int count = 0;             // notices received; repeats are allowed
  bool conflicting = false;  // notices with different outcomes were received
};

// Not thread-safe: runs on the thread of the io_context.
class Directory {
 public:
  explicit Directory(boost::asio::io_context& io,
                     const tcp::endpoint& listenEndpoint = {processLoopbackAddress(), 0});

  // Adds or replaces the entry with this uid and notifies the watches.
  void set(const DirectoryEntry& entry);
  // Removes an entry and notifies the watches with state 'left'.
  void remove(const std::string& uid);
  // Closes all watches and answers discovery requests with 503; notices are still accepted.
  void goOffline();
  void comeOnline();
  // The complete list, in the format of the configuration's `known`.
  nlohmann::json snapshot() const;
  std::string hostAndPort() const { return server_.hostAndPort(); }
  // By message id.
  const std::map<std::string, Notice>& notices() const { return notices_; }
  std::size_t watchCount() const { return watches_.size(); }

 private:
  void handle(const std::shared_ptr<HttpServer::Connection>& connection);
  void broadcast(const nlohmann::json& update);
  void scheduleKeepAlive();
  nlohmann::json entryJson(const DirectoryEntry& entry, const std::string& state) const;

  boost::asio::io_context& io_;
  std::map<std::string, DirectoryEntry> entries_;
  std::int64_t revision_ = 1;
  bool offline_ = false;
  std::vector<std::weak_ptr<HttpServer::Connection>> watches_;
  std::map<std::string, Notice> notices_;
  boost::asio::steady_timer keepAliveTimer_;
  HttpServer server_;
};

}  // namespace quilltide::standin
