// The platform's side: the watch on the list of targets, and the notices about messages that ended
// undelivered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "clock/alarm.hpp"
#include "config/platform.hpp"
#include "directory/notices.hpp"
#include "engine/ports.hpp"

namespace quilltide::net {

class Discovery : public DirectoryLink {
 public:
  // `directory` gives nothing when a watch failed or ended: one answer for each watch() and one for its end.
  using OnDirectory = std::function<void(std::optional<Directory>)>;
  using OnNoticed = Notices::OnNoticed;

  Discovery(boost::asio::io_context& io, const Config& config, OnDirectory directory, OnNoticed noticed);
  ~Discovery() override;

  void watch(bool enable) override;
  // Discovery is to be found elsewhere: the watch and the notices go there at once.
  void moveTo(const tcp::endpoint& address);
  void notice(const std::string& id, const Notice& notice) override { notices_.add(id, notice); }

 private:
  struct Watch;

  void stopWatching();
  void open();
  void readMore();
  void guard(std::chrono::milliseconds within);
  void lost(const char* why);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  Names names_;
  OnDirectory directory_;
  std::int64_t rev_;
  bool wanted_ = false;  // the last word on the watch, the module's or where lists are pushed the engine's
  bool delayed_ = false;
  int failures_ = 0;
  int silent_ = 0;  // watches in a row that fell silent
  std::mt19937_64 random_;
  int retryMs_, retryMostMs_;  // the first wait before the watch is tried again, and the longest
  std::shared_ptr<Watch> watch_;
  clocks::Alarm delay_;
  Notices notices_;
};

}  // namespace quilltide::net
