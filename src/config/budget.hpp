// Divides the resource limits of a forwarder among its components.
#pragma once

#include <algorithm>
#include <cstddef>

#include "config/platform.hpp"
#include "config/service_config.hpp"

namespace quilltide::net {

// Limits of one frontend.
struct FrontendLimits {
  std::size_t connections = 0;   // including those that are being refused
  std::size_t requestBytes = 0;  // buffered incomplete requests of all clients
};

// Share of each component.
struct ResourceBudget {
  FrontendLimits resp, http;
  std::size_t targetConnections = 0;  // including idle ones
};

// File descriptors of the process itself: standard streams, event loop, signals, the journal and its
// replacement, a listener, a connection being accepted, two connections to discovery (twice while the
// address changes), and a margin.
constexpr std::size_t kReservedDescriptors = 24;
constexpr std::size_t kMinConnections = 4;

// Computes the shares, which add up to the limits. A disabled frontend gets no share.
inline ResourceBudget computeBudget(const PlatformConfig& config, const ServiceConfig& serviceConfig = {}) {
  const std::size_t reservedDescriptors =
      kReservedDescriptors + (serviceConfig.http ? 2 : 0);  // its listener and a connection being accepted
  const std::size_t available = config.maxSockets - std::min(config.maxSockets, reservedDescriptors);
  // Calls in flight are bounded by maxCalls. Beyond that, idle connections to targets are preferred to
  // idle clients.
  const std::size_t maxCalls = static_cast<std::size_t>(std::max(1, config.settings.maxInFlightCalls));
  ResourceBudget budget;
  budget.targetConnections =
      std::max({kMinConnections, available / 2, std::min(2 * maxCalls, 2 * available / 3)});
  const std::size_t clientConnections =
      std::max(kMinConnections, available - std::min(available, budget.targetConnections));
  budget.resp = {clientConnections, config.memoryLimitBytes / 8};
  if (!serviceConfig.http) return budget;
  const std::size_t requested = serviceConfig.http->maxConnections;
  budget.http.connections = std::clamp(requested == 0 ? clientConnections / 2 : requested, kMinConnections,
                                       std::max(kMinConnections, clientConnections));
  budget.resp.connections =
      std::max(kMinConnections, clientConnections - std::min(clientConnections, budget.http.connections));
  budget.resp.requestBytes /= 2;
  budget.http.requestBytes = budget.resp.requestBytes;
  return budget;
}

}  // namespace quilltide::net
