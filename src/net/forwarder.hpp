// The round: gathers what happened, asks the module what to do, writes it down, and does it.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "config.hpp"
#include "discovery.hpp"
#include "intake.hpp"
#include "journal.hpp"
#include "targets.hpp"

namespace quilltide::net {

class Forwarder {
 public:
  Forwarder(boost::asio::io_context& io, const Config& config);

  // Recovers what the journal holds, then listens.
  void start();
  // SIGTERM: goes on answering, starts no call that cannot end by `until`, then says so.
  void drain(std::chrono::milliseconds until, std::function<void()> drained);
  void moveDiscovery(const tcp::endpoint& address) { discovery_.moveTo(address); }
  tcp::endpoint address() const { return intake_.address(); }

 private:
  struct Arriving {
    Submission message;
    std::vector<Intake::Answer> answers;
  };
  struct Sorted;

  void recover();
  void submit(Submission message, Intake::Answer answer);
  void onOutcome(const Outcome& outcome);
  void onLate(MessageId handle);
  void learn(const Directory& directory);
  void onDirectory(std::optional<Directory> directory);
  void onNoticed(const std::vector<std::string>& ids);

  void schedule(Micros at);
  void round();
  void send(const std::vector<Call>& calls);
  void takeBack(const std::vector<Call>& calls);
  void release(const std::string& id);
  Owed* owedOf(MessageId handle);
  MessageId newHandle(const std::string& id);

  boost::asio::io_context& io_;
  Settings settings_;
  std::map<std::int64_t, Micros> destinations_;  // and when each was last seen to have a target
  Micros keepDestination_ = 0;
  Journal journal_;
  Sender sender_;
  Targets targets_;
  Discovery discovery_;
  Intake intake_;

  boost::asio::steady_timer tick_;
  Micros tickAt_ = 0;  // 0: none set
  std::vector<Event> events_;
  std::multimap<Micros, std::int64_t> timers_;
  std::map<MessageId, Arriving> arriving_;  // not yet answered
  std::unordered_map<std::string, MessageId> arrivingById_;
  std::unordered_map<MessageId, std::string> ids_;
  std::unordered_map<MessageId, int> attempts_;  // made so far
  std::vector<std::string> untold_;              // notices that are not yet on disk
  std::size_t noticed_ = 0;                      // owed by a notice alone
  MessageId lastHandle_ = 0;
  boost::asio::steady_timer drain_;
};

}  // namespace quilltide::net
