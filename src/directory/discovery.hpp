// The platform's side: the watch on the list of targets, and the notices about messages that ended
// undelivered.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "config/platform.hpp"
#include "engine/ports.hpp"

namespace quilltide::net {

class Discovery : public DirectoryLink {
 public:
  // `directory` gives nothing when a watch failed or ended: one answer for each watch() and one for its end.
  using OnDirectory = std::function<void(std::optional<Directory>)>;
  using OnNoticed = std::function<void(const std::vector<std::string>&)>;

  Discovery(boost::asio::io_context& io, const Config& config, OnDirectory directory, OnNoticed noticed);
  ~Discovery() override;

  void watch(bool enable) override;
  // Discovery is to be found elsewhere: the watch and the notices go there at once.
  void moveTo(const tcp::endpoint& address);
  void notice(const std::string& id, const Notice& notice) override;

 private:
  struct Watch;
  struct Post;

  void stopWatching();
  void open();
  void readMore();
  void guard();
  void lost(const char* why);
  void flush();
  void dropPost();
  void sent(bool acknowledged);

  boost::asio::io_context& io_;
  tcp::endpoint address_;
  Names names_;
  OnDirectory directory_;
  OnNoticed noticed_;
  std::int64_t rev_;
  bool wanted_ = false;  // the last word on the watch, the module's or where lists are pushed the engine's
  bool delayed_ = false;
  int failures_ = 0;
  std::mt19937_64 random_;
  int retryMs_, retryMostMs_;  // the first wait before the watch is tried again, and the longest
  std::shared_ptr<Watch> watch_;
  boost::asio::steady_timer delay_;

  std::deque<std::pair<std::string, std::string>> notices_;  // id and line
  std::size_t posted_ = 0;
  std::shared_ptr<Post> post_;
  boost::asio::steady_timer retry_;
  int postFailures_ = 0;
};

}  // namespace quilltide::net
