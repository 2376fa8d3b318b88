// Coordinators tell each other how far each has come, and a coordinator that starts asks first: with less
// than it once told of it does not take part.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "coordinator/folder.hpp"
#include "coordinator/raft_node.hpp"
#include "coordinator/settings.hpp"
#include "fleet/link/json_call.hpp"

namespace quilltide::coordinator {

// What a start may go on with, from what peers said. No I/O.
struct Admission {
  std::size_t peers = 0;  // there are
  bool fresh = false;     // the folder is empty: all have to answer, lest a lost folder founds a fleet anew
  std::uint64_t ownBoot = 0;  // of this start
  Standing own;               // as the folder has it
  std::set<std::uint64_t> answered;
  // Of one peer; `ofMe`: what it knows of this coordinator. The reason why it must not start, or "".
  std::string hear(std::uint64_t peer, const std::string& fleet, const std::string& ownFleet,
                   const Standing* ofMe);
  bool enough() const { return answered.size() >= (fresh ? peers : (peers + 1) / 2); }
};

class Exchange {
 public:
  Exchange(boost::asio::io_context& io, const Settings& settings, Folder& folder);
  // Asks until enough have answered, however long that takes; then `admitted`, or `refused` with the reason.
  void ask(std::function<void()> admitted, std::function<void(const std::string&)> refused);
  // From then on, twice a second. `failed`: the folder cannot be written.
  void tell(const Node& node, std::function<void(const std::string&)> failed);
  void stop();
  std::string missing() const;  // which peers have not answered yet

 private:
  void askAll();
  void tellAll();
  void refuse(const std::string& why);

  Settings settings_;
  Folder& folder_;
  boost::asio::steady_timer timer_;
  std::vector<std::unique_ptr<fleet::JsonCall>> calls_;  // as settings_.peers
  Admission admission_;
  std::function<void()> admitted_;
  std::function<void(const std::string&)> refused_, failed_;
  const Node* node_ = nullptr;
  bool over_ = false;
};

}  // namespace quilltide::coordinator
