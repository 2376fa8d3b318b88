// A partner directory: the list, watches on it and the notices of the platform; it can be changed and go
// down.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http_server.hpp"

namespace quilltide::standin {

struct Listed {
  std::string uid, endpoint;
  std::int64_t destination = 0;
  std::string kind = "large", zone = "a", state = "active";
};

struct Noticed {
  std::string outcome;  // given_up or handed_back
  std::int64_t retryInMs = 0;
  int times = 0;         // told; the same notice may be repeated
  bool changed = false;  // told with two outcomes: never right
};

class Directory {
 public:
  explicit Directory(boost::asio::io_context& io, const tcp::endpoint& at = {ownLoopback(), 0});

  void set(const Listed& entry);        // added or changed; watches hear of it
  void remove(const std::string& uid);  // told as 'left'
  // Watches end, calls get 503; notices are still taken.
  void down();
  void up();
  nlohmann::json list() const;  // as a configuration's `known`
  std::string text() const { return server_.text(); }
  const std::map<std::string, Noticed>& notices() const { return notices_; }
  std::size_t watches() const { return watches_.size(); }

 private:
  void take(const std::shared_ptr<HttpServer::Link>& link);
  void tell(const nlohmann::json& line);
  void keepAlive();
  nlohmann::json entryOf(const Listed& entry, const std::string& state) const;

  boost::asio::io_context& io_;
  std::map<std::string, Listed> entries_;
  std::int64_t rev_ = 1;
  bool down_ = false;
  std::vector<std::weak_ptr<HttpServer::Link>> watches_;
  std::map<std::string, Noticed> notices_;
  boost::asio::steady_timer alive_;
  HttpServer server_;
};

}  // namespace quilltide::standin
