// Client of the platform's discovery service: watches the list of targets and sends notices about undelivered
// messages. The timing of the watch is decided by WatchSchedule.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clock/alarm.hpp"
#include "config/platform.hpp"
#include "directory/notice_sender.hpp"
#include "directory/watch_schedule.hpp"
#include "engine/ports.hpp"

namespace quilltide::net {

// Single-threaded: runs on the io_context that it was given and never blocks.
class Discovery : public DirectoryClient {
 public:
  // Receives an update for each watch(), then one per change, and nullopt when the watch failed or ended.
  using DirectoryHandler = std::function<void(std::optional<DirectoryUpdate>)>;
  using AcknowledgementHandler = NoticeSender::AcknowledgementHandler;

  Discovery(boost::asio::io_context& io, const PlatformConfig& config, DirectoryHandler handleDirectory,
            AcknowledgementHandler handleAcknowledgement);
  ~Discovery() override;

  void watch(bool enable) override;
  // Moves the watch and the notices to a new address of the discovery service.
  void setAddress(const tcp::endpoint& address);
  void sendNotice(const std::string& id, const Notice& notice) override { noticeSender_.enqueue(id, notice); }

 private:
  struct Watch;

  void stopWatching();
  void openAfter(std::chrono::milliseconds delay);
  void openWatch();
  void handleHeader();
  void readBody();
  // An update without changes at the current revision.
  DirectoryUpdate unchangedDirectory() const;
  // Handles all complete lines that were received. The watch may be closed afterwards.
  void processUpdates(const std::shared_ptr<Watch>& watchState);
  // Fails the watch if nothing is received within `timeout`.
  void armActivityTimeout(std::chrono::milliseconds timeout);
  void handleFailure(const char* reason);
  void applyNextStep(const WatchSchedule::NextStep& step, const char* reason);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  SettingNames settingNames_;
  DirectoryHandler handleDirectory_;
  std::int64_t revision_;
  bool watchEnabled_ = false;  // last value passed to watch(), or true after setAddress()
  bool openPending_ = false;   // openAlarm_ is armed
  WatchSchedule schedule_;
  std::shared_ptr<Watch> watch_;
  clocks::Alarm openAlarm_;
  NoticeSender noticeSender_;
};

}  // namespace quilltide::net
