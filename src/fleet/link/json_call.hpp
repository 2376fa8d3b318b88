// HTTP connection for JSON requests: one request at a time, each with its own timeout. Reconnects when the
// connection is lost.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "net/input_limits.hpp"

namespace quilltide::fleet {

using boost::asio::ip::tcp;

// The unsigned integer under `key`; 0 if `object` is not an object or has no such member.
inline std::uint64_t numberIn(const nlohmann::json& object, const char* key) {
  if (!object.is_object()) return 0;
  const auto at = object.find(key);
  return at != object.end() && at->is_number_unsigned() ? at->get<std::uint64_t>() : 0;
}

// Client side of one connection. Runs on the thread of its io_context and never blocks.
class JsonCall {
 public:
  // `status` is 0 if there was no response or its body is not JSON.
  using OnResponse = std::function<void(int status, const nlohmann::json& body)>;
  // `limits` bound the responses.
  explicit JsonCall(boost::asio::io_context& io, const net::InputLimits& limits = net::kCoordinatorInput);
  ~JsonCall();
  JsonCall(const JsonCall&) = delete;
  JsonCall& operator=(const JsonCall&) = delete;

  bool busy() const;
  // Sends a POST with `body`, or a GET if `body` is null. Calls `onResponse` once, never from within this
  // call. Must not be called while busy().
  void call(const tcp::endpoint& to, const std::string& target, const nlohmann::json* body,
            std::chrono::milliseconds timeout, OnResponse onResponse);
  void cancel();  // drops the request in progress without calling its callback

 private:
  struct Connection;
  boost::asio::io_context& io_;
  std::shared_ptr<Connection> connection_;
};

}  // namespace quilltide::fleet
