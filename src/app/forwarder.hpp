// A complete forwarder: engine, upstream client, directory client and the enabled frontends.
#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <memory>

#include "clock/alarm.hpp"
#include "config/platform.hpp"
#include "config/service_config.hpp"
#include "directory/discovery.hpp"
#include "engine/engine.hpp"
#include "frontend/http/http_frontend.hpp"
#include "frontend/resp/resp_frontend.hpp"
#include "upstream/http/http_upstream_client.hpp"

namespace quilltide::net {

// Not thread-safe; runs on the thread of its io_context.
class Forwarder {
 public:
  Forwarder(boost::asio::io_context& io, const PlatformConfig& config,
            const ServiceConfig& serviceConfig = {}, std::unique_ptr<Ownership> ownership = nullptr);

  // Recovers the journal, then listens. Throws std::runtime_error if it cannot listen on an
  // address.
  void start();
  // Recovers the journal without listening, to deliver the messages of a folder that was taken over.
  void startWithoutFrontends();
  // Shuts down within `timeLimit`: still replies to clients, starts no call that cannot end in time,
  // then calls `onDrained`.
  void drain(std::chrono::milliseconds timeLimit, std::function<void()> onDrained);
  void setDiscoveryAddress(const tcp::endpoint& address) { discovery_.setAddress(address); }
  tcp::endpoint address() const { return resp_.address(); }
  tcp::endpoint httpAddress() const { return http_->address(); }  // only if the HTTP frontend is enabled
  Engine& engine() { return engine_; }
  const Engine& engine() const { return engine_; }
  HttpFrontend& httpFrontend() { return *http_; }  // only if it is enabled
  const HttpUpstreamClient& upstream() const { return upstream_; }

 private:
  Engine engine_;
  HttpUpstreamClient upstream_;
  Discovery discovery_;
  RespFrontend resp_;
  std::unique_ptr<HttpFrontend> http_;
  clocks::Alarm drainAlarm_;
};

}  // namespace quilltide::net
