// A complete coordinator: data folder, Raft node, HTTP API and peer exchange. Can be embedded in a process.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>

#include "clock/alarm.hpp"
#include "coordinator/api.hpp"
#include "coordinator/folder.hpp"
#include "coordinator/http_server.hpp"
#include "coordinator/peer_exchange.hpp"
#include "coordinator/raft_node.hpp"
#include "coordinator/settings.hpp"

namespace quilltide::coordinator {

// Single-threaded; runs on the io_context.
class Coordinator {
 public:
  // Locks the folder; throws FolderError. `onFailure` receives the reason of a fatal error, after which the
  // process should exit.
  Coordinator(boost::asio::io_context& io, const Settings& settings,
              std::function<void(const std::string&)> onFailure);

  // Listens, queries the peers and starts the Raft node once admitted. Throws std::runtime_error if
  // the address cannot be bound.
  void start();
  void close(std::function<void()> closed);
  tcp::endpoint address() const { return server_.address(); }
  const RaftNode* node() const { return node_.get(); }

 private:
  void startNode();
  void watch();

  boost::asio::io_context& io_;
  Settings settings_;
  std::function<void(const std::string&)> onFailure_;
  Folder folder_;
  Api api_;
  HttpServer server_;
  PeerExchange exchange_;
  std::unique_ptr<RaftNode> node_;
  clocks::Alarm watchAlarm_;
  bool wasLeader_ = false;
  std::uint64_t loggedTerm_ = 0;
  int watchCount_ = 0;
};

}  // namespace quilltide::coordinator
