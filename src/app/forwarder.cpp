// Who tells whom what: the wiring between engine, upstream, directory and frontends.
#include "app/forwarder.hpp"

#include <algorithm>

#include "config/budget.hpp"

namespace quilltide::net {
namespace {

// Connections end in order before the process does: what was asked is answered, what still comes is read
// away, and clients have the time to read and to close. A process that ends on bytes unread resets its last
// answers.
constexpr auto kClosing = std::chrono::milliseconds(500);

}  // namespace

Forwarder::Forwarder(boost::asio::io_context& io, const Config& config, const Product& product,
                     std::unique_ptr<Ownership> owner)
    : engine_(io, config, product.keep(), std::move(owner)),
      targets_(
          io, config, budgetOf(config, product).targets,
          [this](const TargetId& to, const std::vector<const UpstreamRequest*>& those) {
            return engine_.leaving(to, those);
          },
          [this](const Outcome& o) { engine_.outcome(o); }, [this](MessageId id) { engine_.late(id); }),
      discovery_(
          io, config, [this](std::optional<Directory> d) { engine_.directory(std::move(d)); },
          [this](const std::vector<std::string>& ids) { engine_.noticed(ids); }),
      resp_(io, config, budgetOf(config, product).resp, engine_),
      drain_(io) {
  engine_.attach(targets_, discovery_);
  if (product.http)
    http_ = std::make_unique<HttpFrontend>(io, *product.http, budgetOf(config, product).http, engine_);
}

void Forwarder::start() {
  engine_.start();
  // Who has a PING answered by RESP may count on both frontends.
  if (http_) http_->listen();
  resp_.listen();
}

void Forwarder::startWithoutFrontends() { engine_.start(); }

void Forwarder::drain(std::chrono::milliseconds until, std::function<void()> drained) {
  engine_.expectEnd(std::chrono::duration_cast<std::chrono::microseconds>(until).count());
  if (http_) http_->drain();
  const auto serving = std::max(until - kClosing, until / 2);
  drain_.in(serving, [this, rest = until - serving, drained = std::move(drained)] {
    resp_.finish();
    if (http_) http_->finish();
    engine_.round();
    drain_.in(rest, drained);
  });
}

}  // namespace quilltide::net
