// A coordinator's start, its log, its end.
#include "coordinator/coordinator.hpp"

#include <spdlog/spdlog.h>

namespace quilltide::coordinator {
namespace {

constexpr auto kLook = std::chrono::milliseconds(100);
constexpr int kLooksBetweenComplaints = 50;

}  // namespace

Coordinator::Coordinator(boost::asio::io_context& io, const Settings& settings,
                         std::function<void(const std::string&)> failed)
    : io_(io),
      settings_(settings),
      failed_(std::move(failed)),
      folder_(settings.folder, settings.fleet, settings.id),
      api_(io, settings, folder_),
      server_(io, settings.listen, settings.connections,
              [this](const Request& request, Respond respond) { api_.handle(request, std::move(respond)); }),
      exchange_(io, settings, folder_),
      watch_(io) {}

void Coordinator::start() {
  server_.listen();
  spdlog::info("event=started id={} fleet={} boot={} fresh={}", settings_.id, settings_.fleet,
               folder_.own().boot, folder_.fresh());
  exchange_.ask([this] { begin(); }, failed_);
  watch();
}

void Coordinator::begin() {
  try {
    node_ = std::make_unique<Node>(
        io_, settings_, folder_, [this](const std::vector<fleet::Effect>& effects) { api_.changed(effects); },
        failed_);
    node_->start();
  } catch (const FolderError& problem) {
    return failed_(problem.what());
  }
  api_.attach(node_.get());
  exchange_.tell(*node_, failed_);
  spdlog::info("event=ready id={} term={}", settings_.id, node_->term());
}

// What an operator looks for in the log.
void Coordinator::watch() {
  if (node_ == nullptr) {
    if (++looks_ % kLooksBetweenComplaints == 0)
      spdlog::warn("event=waiting_for_peers id={} missing={}", settings_.id, exchange_.missing());
  } else if (node_->leads() != led_ || (led_ && node_->term() != toldTerm_)) {
    led_ = node_->leads();
    toldTerm_ = node_->term();
    spdlog::info("event={} id={} term={}", led_ ? "leads" : "follows", settings_.id, toldTerm_);
  }
  watch_.expires_after(kLook);
  watch_.async_wait([this](boost::system::error_code error) {
    if (!error) watch();
  });
}

void Coordinator::close(std::function<void()> closed) {
  watch_.cancel();
  exchange_.stop();
  server_.close();
  api_.attach(nullptr);
  if (node_ == nullptr) return closed();
  node_->close(std::move(closed));
}

}  // namespace quilltide::coordinator
