#include "directory/discovery.hpp"

#include <boost/beast/http.hpp>
#include <iostream>
#include <utility>

#include "directory/json_stream_splitter.hpp"
#include "net/bounded_input.hpp"
#include "net/bounded_parser.hpp"
#include "net/socket_writer.hpp"

namespace quilltide::net {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using std::chrono::milliseconds;

constexpr std::size_t kActivityBytes =
    4 * 1024;  // bytes of a long list that count as activity, like a complete line

WatchSchedule::TimePoint steadyNow() { return WatchSchedule::Clock::now(); }

}  // namespace

struct Discovery::Watch {
  explicit Watch(asio::io_context& io) : socket(io), activityAlarm(io) {}
  tcp::socket socket;
  SocketWriter writer{socket};
  clocks::Alarm activityAlarm;
  BoundedInput input{socket, InputSource::directory, kDirectoryInput};
  http::request<http::empty_body> request;
  ResponseParser parser{kDirectoryInput};
  JsonStreamSplitter splitter;
  std::size_t bytesSinceActivity = 0;
  bool updateReceived = false, closed = false;
};

Discovery::Discovery(asio::io_context& io, const PlatformConfig& config, DirectoryHandler handleDirectory,
                     AcknowledgementHandler handleAcknowledgement)
    : io_(io),
      address_(config.discovery),
      settingNames_(config.names),
      handleDirectory_(std::move(handleDirectory)),
      revision_(config.initialDirectory.revision),
      schedule_(
          config.settings.directoryOnRequest ? WatchSchedule::Source::service : WatchSchedule::Source::agent,
          config.seed),
      openAlarm_(io),
      noticeSender_(io, config.discovery, std::move(handleAcknowledgement)) {}

Discovery::~Discovery() {
  if (watch_) watch_->closed = true;
}

// ---- The watch ----

void Discovery::watch(bool enable) {
  watchEnabled_ = enable;
  // The first update is already pending. A watch in backoff must not restart its delay with each call.
  if (enable && (openPending_ || (watch_ && !watch_->updateReceived))) return;
  // setAddress() has already opened the watch.
  if (enable && watch_) return handleDirectory_(unchangedDirectory());
  openAlarm_.disarm();
  openPending_ = false;
  stopWatching();
  if (enable) openAfter(schedule_.onWatchRequested(steadyNow()));
}

void Discovery::openAfter(milliseconds delay) {
  openPending_ = true;
  openAlarm_.armAfter(delay, [this] { openWatch(); });
}

void Discovery::stopWatching() {
  if (!watch_) return;
  watch_->closed = true;
  watch_->activityAlarm.disarm();
  error_code ignored;
  watch_->socket.close(ignored);
  watch_.reset();
}

// Revisions of different addresses are not comparable, so the complete list is requested from the new one.
// The decision module sees one continuous watch.
void Discovery::setAddress(const tcp::endpoint& address) {
  if (address == address_) return;
  address_ = address;
  const milliseconds delay = schedule_.onAddressChanged(steadyNow(), watchEnabled_);
  revision_ = 0;
  watchEnabled_ = true;
  stopWatching();
  openAfter(delay);
  noticeSender_.setAddress(address);
}

void Discovery::openWatch() {
  openPending_ = false;
  stopWatching();
  auto watchState = watch_ = std::make_shared<Watch>(io_);
  armActivityTimeout(schedule_.onOpened(steadyNow()));
  watchState->socket.async_connect(address_, [this, watchState](error_code error) {
    if (watchState->closed) return;
    if (error) return handleFailure("connect failed");
    error_code ignored;
    watchState->socket.non_blocking(true, ignored);
    watchState->request.method(http::verb::get);
    watchState->request.version(11);
    watchState->request.target("/discovery/hosts?watch=1&after=" + std::to_string(revision_));
    watchState->request.set(http::field::host, address_.address().to_string());
    http::async_write(watchState->writer, watchState->request,
                      [this, watchState](error_code writeError, std::size_t) {
                        if (watchState->closed) return;
                        if (writeError) return handleFailure("writing the request failed");
                        watchState->input.asyncReadHeader(
                            watchState->parser, [this, watchState](error_code headerError, std::size_t) {
                              if (watchState->closed) return;
                              if (headerError) return handleFailure("no response header received");
                              handleHeader();
                            });
                      });
  });
}

// The response does not end: its updates are limited one by one.
void Discovery::handleHeader() {
  if (watch_->parser.get().result_int() != 200) return handleFailure("response status is not 200");
  watch_->parser.body_limit(boost::none);
  watch_->input.startMessage();
  armActivityTimeout(schedule_.onHeaderReceived(steadyNow()));
  readBody();
}

// A network partition leaves the connection open and silent.
void Discovery::armActivityTimeout(milliseconds timeout) {
  auto watchState = watch_;
  watchState->bytesSinceActivity = 0;
  watchState->activityAlarm.armAfter(timeout, [this, watchState] {
    if (!watchState->closed) applyNextStep(schedule_.onTimeout(steadyNow()), "timed out");
  });
}

void Discovery::readBody() {
  auto watchState = watch_;
  watchState->input.asyncReadSome(watchState->parser,
                                  [this, watchState](error_code error, std::size_t count) {
                                    if (watchState->closed) return;
                                    std::string& body = watchState->parser.get().body();
                                    watchState->splitter.append(body);
                                    body.clear();
                                    if ((watchState->bytesSinceActivity += count) >= kActivityBytes)
                                      armActivityTimeout(schedule_.onDataReceived());
                                    processUpdates(watchState);
                                    if (watchState->closed) return;
                                    if (error == InputError::messageOverdue)
                                      return handleFailure("an update took too long");
                                    if (error == http::error::buffer_overflow)
                                      return handleFailure("unreadable response");
                                    if (error || watchState->parser.is_done())
                                      return handleFailure("connection closed");
                                    readBody();
                                  });
}

DirectoryUpdate Discovery::unchangedDirectory() const {
  DirectoryUpdate update;
  update.revision = revision_;
  update.view.scope = ViewScope::changes;
  return update;
}

void Discovery::processUpdates(const std::shared_ptr<Watch>& watchState) {
  std::string objectText;
  for (JsonStreamSplitter::Result result;
       (result = watchState->splitter.next(objectText)) != JsonStreamSplitter::Result::needMore;) {
    if (result == JsonStreamSplitter::Result::malformed) return handleFailure("malformed directory update");
    if (result == JsonStreamSplitter::Result::tooLarge) {
      watchState->input.report(InputLimit::bodyBytes);
      return handleFailure("directory update too large");
    }
    watchState->input.startMessage();
    armActivityTimeout(schedule_.onDataReceived());
    const bool keepAlive = result == JsonStreamSplitter::Result::blankLine;
    if (keepAlive && watchState->updateReceived) continue;
    const bool firstUpdate = !std::exchange(watchState->updateReceived, true);
    std::optional<DirectoryUpdate> update;
    try {
      // A keep-alive before any list means that the watch is established and nothing has changed.
      update =
          keepAlive ? unchangedDirectory() : parseDirectory(nlohmann::json::parse(objectText), settingNames_);
    } catch (const std::exception& problem) {
      return handleFailure(problem.what());
    }
    // Revisions of one watch do not decrease: this line was sent before, and newer changes are already in
    // force.
    if (!firstUpdate && update->revision < revision_) {
      std::cerr << "discovery: ignored a repeated update of revision " << update->revision << ", revision "
                << revision_ << " is in force" << std::endl;
      continue;
    }
    revision_ = update->revision;
    handleDirectory_(std::move(update));
    if (watchState->closed) return;
  }
}

void Discovery::handleFailure(const char* reason) { applyNextStep(schedule_.onFailure(steadyNow()), reason); }

void Discovery::applyNextStep(const WatchSchedule::NextStep& step, const char* reason) {
  stopWatching();
  if (step.reopen) {
    std::cerr << "discovery: reopening the watch: " << reason << std::endl;
    return openAfter(step.delay);
  }
  std::cerr << "discovery: the watch is lost: " << reason << std::endl;
  handleDirectory_(std::nullopt);
}

}  // namespace quilltide::net
