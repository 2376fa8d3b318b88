// One HTTP connection for JSON: a request at a time, each with a time of its own, opened again when it is
// lost.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

namespace quilltide::fleet {

using boost::asio::ip::tcp;

// A whole number from 0 on in an object that anybody may have written; 0 if there is none.
inline std::uint64_t numberIn(const nlohmann::json& object, const char* key) {
  if (!object.is_object()) return 0;
  const auto at = object.find(key);
  return at != object.end() && at->is_number_unsigned() ? at->get<std::uint64_t>() : 0;
}

class JsonCall {
 public:
  // `status` 0: no answer, or none that can be read.
  using Then = std::function<void(int status, const nlohmann::json& body)>;
  explicit JsonCall(boost::asio::io_context& io);
  ~JsonCall();
  JsonCall(const JsonCall&) = delete;
  JsonCall& operator=(const JsonCall&) = delete;

  bool busy() const;
  // Calls `then` once, never from within. Not while busy(). With no body it is a GET.
  void call(const tcp::endpoint& to, const std::string& target, const nlohmann::json* body,
            std::chrono::milliseconds within, Then then);
  void cancel();  // what is under way is not told any more

 private:
  struct Connection;
  boost::asio::io_context& io_;
  std::shared_ptr<Connection> connection_;
};

}  // namespace quilltide::fleet
