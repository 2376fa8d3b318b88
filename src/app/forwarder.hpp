// One forwarder put together: the engine, its carrier, the directory and the doors that are switched on.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "carriers/http/targets.hpp"
#include "clock/alarm.hpp"
#include "config/platform.hpp"
#include "config/product.hpp"
#include "directory/discovery.hpp"
#include "doors/http/door.hpp"
#include "doors/resp/door.hpp"
#include "engine/engine.hpp"

namespace quilltide::net {

class Forwarder {
 public:
  Forwarder(boost::asio::io_context& io, const Config& config, const Product& product = {},
            std::unique_ptr<Ownership> owner = nullptr);

  // Recovers what the journal holds, then listens. Throws if an address is not to be had.
  void start();
  // The same for a folder that was somebody else's: nothing is taken on, what is owed is ended.
  void startWithoutDoors();
  // SIGTERM: goes on answering, starts no call that cannot end by `until`, then says so.
  void drain(std::chrono::milliseconds until, std::function<void()> drained);
  void moveDiscovery(const tcp::endpoint& address) { discovery_.moveTo(address); }
  tcp::endpoint address() const { return resp_.address(); }
  tcp::endpoint httpAddress() const { return http_->address(); }  // only where that door is switched on
  Engine& engine() { return engine_; }

 private:
  Engine engine_;
  Targets targets_;
  Discovery discovery_;
  RespDoor resp_;
  std::unique_ptr<HttpDoor> http_;
  clocks::Alarm drain_;
};

}  // namespace quilltide::net
