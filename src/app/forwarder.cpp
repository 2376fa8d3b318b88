// Connects the engine with the upstream client, the directory client and the frontends.
#include "app/forwarder.hpp"

#include <algorithm>

#include "config/budget.hpp"

namespace quilltide::net {
namespace {

// Time before the end of the process in which connections are closed gracefully: pending replies are sent,
// further input is read and discarded, and clients can read and close. Exiting with unread input would
// reset connections and could destroy the last replies.
constexpr auto kConnectionCloseTime = std::chrono::milliseconds(500);

}  // namespace

Forwarder::Forwarder(boost::asio::io_context& io, const PlatformConfig& config,
                     const ServiceConfig& serviceConfig, std::unique_ptr<Ownership> ownership)
    : engine_(io, config, serviceConfig.retentionSource(), std::move(ownership)),
      upstream_(
          io, config, computeBudget(config, serviceConfig).targetConnections,
          [this](const TargetId& to, const std::vector<const UpstreamRequest*>& requests) {
            return engine_.authorizeSend(to, requests);
          },
          [this](const Outcome& o) { engine_.handleOutcome(o); },
          [this](MessageId id) { engine_.handleLateDelivery(id); },
          {[this](const OutcomeReview& review) { engine_.handleReview(review); },
           [this](const RetryDelayNotice& notice) { engine_.handleRetryDelay(notice); }}),
      discovery_(
          io, config,
          [this](std::optional<DirectoryUpdate> d) { engine_.handleDirectoryUpdate(std::move(d)); },
          [this](const std::vector<std::string>& ids) { engine_.handleAcknowledgedNotices(ids); }),
      resp_(io, config, computeBudget(config, serviceConfig).resp, engine_),
      drainAlarm_(io) {
  engine_.attach(upstream_, discovery_);
  if (serviceConfig.http)
    http_ = std::make_unique<HttpFrontend>(io, *serviceConfig.http, computeBudget(config, serviceConfig).http,
                                           engine_);
}

void Forwarder::start() {
  engine_.start();
  // RESP listens last: once it answers a PING, both frontends are available.
  if (http_) http_->listen();
  resp_.listen();
}

void Forwarder::startWithoutFrontends() { engine_.start(); }

void Forwarder::drain(std::chrono::milliseconds timeLimit, std::function<void()> onDrained) {
  engine_.announceShutdown(std::chrono::duration_cast<std::chrono::microseconds>(timeLimit).count());
  if (http_) http_->drain();
  const auto servingTime = std::max(timeLimit - kConnectionCloseTime, timeLimit / 2);
  drainAlarm_.armAfter(servingTime,
                       [this, remaining = timeLimit - servingTime, onDrained = std::move(onDrained)] {
                         resp_.finish();
                         if (http_) http_->finish();
                         engine_.processEvents();
                         drainAlarm_.armAfter(remaining, onDrained);
                       });
}

}  // namespace quilltide::net
