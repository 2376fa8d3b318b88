// Sends a lease client's requests to the leading coordinator.
#include "fleet/session_client/session_client.hpp"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <random>
#include <stdexcept>

#include "clock/clock.hpp"
#include "fleet/wire/wire.hpp"

namespace quilltide::fleet {

using std::chrono::milliseconds;

namespace {

constexpr auto kMaxProcessInterval = milliseconds(100);  // bounds the delay after a clock jump
constexpr int kMaxReadAttempts = 6;
constexpr auto kPollWait = milliseconds(20'000), kPollTimeoutMargin = milliseconds(3'000),
               kPollRetryPause = milliseconds(200);

constexpr int kNoResponse = 0, kOk = 200, kMisdirectedRequest = 421, kFirstServerError = 500;

// Whether a response to a read means that another coordinator should be asked.
bool isCoordinatorFailure(int status) {
  return status == kNoResponse || status == kMisdirectedRequest || status >= kFirstServerError;
}

// The result that a response to a command holds; nullopt if the leader did not answer.
std::optional<Result> resultOf(int status, const nlohmann::json& body) {
  if (status != kOk) return std::nullopt;
  try {
    return resultFromJson(body);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

std::vector<CoordinatorAddress> parseCoordinators(const std::string& text) {
  std::vector<CoordinatorAddress> out;
  for (std::size_t at = 0; at <= text.size();) {
    const std::size_t end = std::min(text.find(',', at), text.size());
    const std::string entry = text.substr(at, end - at);
    const std::size_t equals = entry.find('='), colon = entry.rfind(':');
    boost::system::error_code addressError;
    try {
      if (equals == std::string::npos || colon == std::string::npos || colon < equals)
        throw std::invalid_argument(entry);
      const auto address =
          boost::asio::ip::make_address(entry.substr(equals + 1, colon - equals - 1), addressError);
      const int port = std::stoi(entry.substr(colon + 1));
      const std::uint64_t id = std::stoull(entry.substr(0, equals));
      if (addressError || port <= 0 || port > 65'535 || id == 0) throw std::invalid_argument(entry);
      out.push_back({id, {address, static_cast<unsigned short>(port)}});
    } catch (const std::logic_error&) {
      throw std::runtime_error("invalid coordinator '" + entry + "': expected ID=ADDRESS:PORT");
    }
    at = end + 1;
  }
  return out;
}

std::vector<std::uint64_t> idsOf(const std::vector<CoordinatorAddress>& coordinators) {
  std::vector<std::uint64_t> ids;
  for (const CoordinatorAddress& coordinator : coordinators) ids.push_back(coordinator.id);
  return ids;
}

std::uint64_t namedLeaderIn(const nlohmann::json& body) {
  return body.is_object() && body.contains("leader") ? numberIn(body.at("leader"), "id") : 0;
}

SessionClient::SessionClient(boost::asio::io_context& io, Settings settings, OnEvent onEvent)
    : io_(io),
      settings_([&] {
        if (settings.coordinators.empty()) throw std::runtime_error("the list of coordinators is empty");
        std::random_device random;
        if (settings.leaseClient.nonce.empty())
          settings.leaseClient.nonce = std::to_string(random()) + "." + std::to_string(random());
        settings.leaseClient.jitterSeed = random();
        return std::move(settings);
      }()),
      onEvent_(std::move(onEvent)),
      leaseClient_(settings_.leaseClient),
      selector_(idsOf(settings_.coordinators),
                settings_.leaseClient.jitterSeed % settings_.coordinators.size()),
      renewalCall_(io, settings_.responseLimits),
      controlCall_(io, settings_.responseLimits),
      readCall_(io, settings_.responseLimits),
      watchCall_(io, settings_.responseLimits),
      processAlarm_(io),
      watchRetryAlarm_(io) {}

SessionClient::~SessionClient() { *alive_ = false; }

void SessionClient::start() { scheduleProcess(); }

void SessionClient::acquire(const std::string& lease, bool recallHolder) {
  leaseClient_.acquire(lease, recallHolder);
  scheduleProcess();
}
void SessionClient::release(const std::string& lease) {
  leaseClient_.release(lease);
  scheduleProcess();
}
void SessionClient::transfer(const std::string& lease, const std::string& to) {
  leaseClient_.transfer(lease, to);
  scheduleProcess();
}

void SessionClient::put(const std::string& key, const std::optional<std::string>& value,
                        std::optional<std::uint64_t> expectedVersion, const std::string& fence,
                        std::function<void(const Result&)> onResult) {
  const std::uint64_t number = leaseClient_.put(key, value, expectedVersion, fence);
  if (number != 0) {
    pendingPuts_[number] = std::move(onResult);
    return scheduleProcess();
  }
  Result rejected;
  rejected.code = ResultCode::staleFence;
  rejected.reason = "this member does not hold the lease";
  boost::asio::post(io_, [onResult = std::move(onResult), rejected] { onResult(rejected); });
}

std::optional<FencingToken> SessionClient::validToken(const std::string& lease, Micros need) const {
  return leaseClient_.validToken(lease, clocks::bootNow(), need);
}

void SessionClient::close(milliseconds timeout, std::function<void()> onClosed) {
  onClosed_ = std::move(onClosed);
  closeDeadline_ = std::chrono::steady_clock::now() + timeout;
  leaseClient_.close();
  watchCall_.cancel();
  scheduleProcess();
}

// Posted, so that callbacks never run within a call of the caller.
void SessionClient::scheduleProcess() {
  if (std::exchange(processScheduled_, true)) return;
  boost::asio::post(io_, [this, alive = alive_] {
    if (!*alive) return;
    processScheduled_ = false;
    process();
  });
}

void SessionClient::process() {
  const Micros now = clocks::bootNow();
  for (const LeaseClient::Request& request : leaseClient_.takeRequests(now))
    send(std::holds_alternative<RenewSessions>(request.command) ? renewalCall_ : controlCall_, request);
  for (const LeaseClient::Event& event : leaseClient_.takeEvents(now)) {
    if (event.kind == LeaseClient::Event::Kind::putCompleted) {
      const auto at = pendingPuts_.find(event.putNumber);
      if (at == pendingPuts_.end()) continue;
      const auto onResult = std::move(at->second);
      pendingPuts_.erase(at);
      onResult(event.result);
    } else {
      onEvent_(event);
    }
  }
  if (onClosed_ && (leaseClient_.isClosed() || std::chrono::steady_clock::now() >= closeDeadline_)) {
    processAlarm_.disarm();
    const auto onClosed = std::exchange(onClosed_, nullptr);
    return onClosed();
  }
  watchChanges();
  const Micros delay = leaseClient_.nextWakeup(now) - now;
  processAlarm_.armAfter(
      std::clamp<std::chrono::microseconds>(std::chrono::microseconds(delay), std::chrono::microseconds(100),
                                            kMaxProcessInterval),
      [this] { process(); });
}

void SessionClient::send(CoordinatorCall& call, const LeaseClient::Request& request) {
  const milliseconds timeout(settings_.leaseClient.requestTimeout / 1'000);
  // The lease client may notice a timeout before the connection does.
  if (call.connection.busy() && std::chrono::steady_clock::now() >= call.deadline)
    handleCoordinatorFailure(call.coordinator, kNoResponse, {});
  call.connection.cancel();
  call.coordinator = selector_.current();
  call.deadline = std::chrono::steady_clock::now() + timeout;
  const CommandRequest wire = requestFromCommand(request.command);
  call.connection.call(
      addressOf(call.coordinator), wire.path, &wire.body, timeout,
      [this, alive = alive_, &call, requestId = request.id](int status, const nlohmann::json& body) {
        if (*alive) handleResponse(call, requestId, status, body);
      });
}

void SessionClient::handleResponse(const CoordinatorCall& call, std::uint64_t requestId, int status,
                                   const nlohmann::json& body) {
  if (const std::optional<Result> result = resultOf(status, body)) {
    selector_.recordSuccess(call.coordinator);
    leaseClient_.handleResult(requestId, *result, clocks::bootNow());
  } else {
    handleCoordinatorFailure(call.coordinator, status, body);
    leaseClient_.handleFailure(requestId, clocks::bootNow());
  }
  process();
}

void SessionClient::handleCoordinatorFailure(std::size_t coordinator, int status,
                                             const nlohmann::json& body) {
  const std::uint64_t namedLeader = namedLeaderIn(body);
  selector_.recordFailure(coordinator, namedLeader);
  if (settings_.onRequestFailure)
    settings_.onRequestFailure(
        {selector_.idOf(coordinator), status, namedLeader, selector_.idOf(selector_.current())});
}

void SessionClient::read(const std::string& target, JsonCall::OnResponse onResponse) {
  pendingReads_.push_back({target, std::move(onResponse), 0});
  sendNextRead();
}

void SessionClient::sendNextRead() {
  if (pendingReads_.empty() || readCall_.connection.busy()) return;
  ++pendingReads_.front().attempts;
  const milliseconds timeout(settings_.leaseClient.requestTimeout / 1'000);
  readCall_.coordinator = selector_.current();
  readCall_.connection.call(
      addressOf(readCall_.coordinator), pendingReads_.front().target, nullptr, timeout,
      [this, alive = alive_](int status, const nlohmann::json& body) {
        if (!*alive) return;
        if (isCoordinatorFailure(status)) handleCoordinatorFailure(readCall_.coordinator, status, body);
        if (!isCoordinatorFailure(status) || pendingReads_.front().attempts >= kMaxReadAttempts) {
          const auto onResponse = std::move(pendingReads_.front().onResponse);
          pendingReads_.pop_front();
          onResponse(status, body);
        }
        if (*alive) sendNextRead();
      });
}

void SessionClient::watchChanges() {
  if (!leaseClient_.isWaiting() || watchCall_.busy() || watchPaused_) return;
  if (watchedSession_ != leaseClient_.session()) lastSeenChange_ = 0;
  watchedSession_ = leaseClient_.session();
  const std::string target = "/v1/changes?session=" + std::to_string(watchedSession_) +
                             "&after=" + std::to_string(lastSeenChange_) +
                             "&wait_ms=" + std::to_string(kPollWait.count());
  watchCall_.call(addressOf(selector_.current()), target, nullptr, kPollWait + kPollTimeoutMargin,
                  [this, alive = alive_](int status, const nlohmann::json& body) {
                    if (!*alive) return;
                    const LogIndex changed = status == kOk ? numberIn(body, "changed") : 0;
                    if (status == kOk && (changed > lastSeenChange_ || changed == 0)) {
                      lastSeenChange_ = changed;
                      leaseClient_.renewSoon(clocks::bootNow());
                      return process();
                    }
                    watchPaused_ = true;
                    watchRetryAlarm_.armAfter(kPollRetryPause, [this] {
                      watchPaused_ = false;
                      watchChanges();
                    });
                  });
}

}  // namespace quilltide::fleet
