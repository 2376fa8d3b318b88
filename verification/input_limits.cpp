// Verifies that no peer makes a forwarder exceed its memory or hold up its event loop by an input that does
// not end: responses of targets, of the directory and of the receiver of notices, and requests of clients.
// Each play is one form, drawn from the grammars of HTTP/1.1 and RESP2, at one reader; meanwhile messages go
// to another target.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <nlohmann/json.hpp>
#include <optional>
#include <thread>

#include "client.hpp"
#include "endless_peer.hpp"
#include "partner.hpp"
#include "process.hpp"

using namespace quilltide::standin;
using namespace quilltide::verification;
using nlohmann::json;

namespace {

// The smallest limit of a deployment, less a quarter for what else a forwarder may hold.
constexpr std::size_t kMemoryLimitBytes = 32U << 20, kMaxResidentBytes = kMemoryLimitBytes / 4 * 3;
// A notice is overdue 300 ms after its message has ended, so the event loop must not be held up for longer.
constexpr auto kMaxPingTime = milliseconds(300);
constexpr auto kMessageDeadline = milliseconds(2'000), kMessageInterval = milliseconds(20);
// A spoilt target's messages must have ended by then: its deadline, 300 ms, and a margin of the machine.
constexpr auto kSpoiltDeadline = milliseconds(600), kEndGrace = milliseconds(500);
constexpr auto kUnansweredDeadline = milliseconds(100);
constexpr auto kEndlessTime = milliseconds(700);  // more than a response may take
constexpr std::int64_t kSoundDestination = 0;
constexpr std::size_t kPlaysPerLife = 40;  // of a forwarder; each has a destination of its own
constexpr std::size_t kTargetsAtOnce = 30;

enum class Reader { call, idleConnection, watch, openWatch, notices, httpClient, respClient, manyTargets };
constexpr const char* kReaderNames[] = {
    "call",    "idle connection", "watch",        "open watch",
    "notices", "HTTP client",     "RESP2 client", "calls to many targets"};
constexpr std::size_t kReaders = std::size(kReaderNames);

struct Options {
  std::string program = FORWARDER;
  bool verbose = false;
};

struct Play {
  std::uint64_t seed = 1;
  Reader reader = Reader::call;
  EndlessForm form;
};

struct Result {
  std::size_t residentBytes = 0, bytesSent = 0, spoiltInputs = 0, soundMessages = 0;
  milliseconds longestPing{0};
  std::vector<std::string> violations;
};

EndlessForm drawForm(Random& random, Reader reader) {
  switch (reader) {
    case Reader::openWatch:
      return drawChunkedBody(random);
    case Reader::httpClient:
      return drawHttpRequest(random);
    case Reader::respClient:
      return drawRespRequest(random);
    case Reader::idleConnection: {
      EndlessForm form = drawResponse(random);
      form.prefix = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" + form.prefix;
      return form;
    }
    default:
      return drawResponse(random);
  }
}

std::vector<Play> drawPlays(std::uint64_t firstSeed, std::size_t count, std::optional<Reader> onlyReader) {
  std::vector<Play> plays;
  for (std::size_t i = 0; i < count; ++i) {
    Play play;
    play.seed = firstSeed + i;
    play.reader = onlyReader.value_or(static_cast<Reader>(i % kReaders));
    Random random(play.seed);
    play.form = drawForm(random, play.reader);
    plays.push_back(std::move(play));
  }
  return plays;
}

std::string describe(const Play& play) {
  return "seed " + std::to_string(play.seed) + ", " + kReaderNames[static_cast<std::size_t>(play.reader)] +
         ": " + play.form.name + " in pieces of " + std::to_string(play.form.pieceBytes);
}

// A forwarder with one sound target, and targets, directory and receiver of notices that can be spoilt.
class World {
 public:
  explicit World(const Options& options)
      : sound_(io_, kSoundDestination, effects_, PartnerSettings{milliseconds(20)}) {
    json targets = json::array({entry("sound", sound_.hostAndPort(), kSoundDestination)});
    for (std::size_t i = 1; i <= kPlaysPerLife * 2 + kTargetsAtOnce; ++i)
      targets.push_back(
          entry("spoilt" + std::to_string(i), peer_.hostAndPort(), static_cast<std::int64_t>(i)));
    const json directory = {{"rev", 1}, {"all", true}, {"targets", targets}};
    peer_.setDirectory(directory.dump());
    ForwarderProcess::Options processOptions;
    processOptions.maxMemoryMb = kMemoryLimitBytes >> 20;
    processOptions.maxSockets = 256;
    processOptions.maxRetainedAnswers = 2'000;
    forwarder_ =
        std::make_unique<ForwarderProcess>(options.program, peer_.hostAndPort(), directory, processOptions);
    forwarder_->start();
    client_ = makeRespClient(io_, forwarder_->respEndpoint(), 2);
    pinger_ = std::make_unique<Pinger>(io_, forwarder_->respEndpoint());
  }

  Result run(const Play& play) {
    Result result;
    const std::size_t bytesBefore = peer_.bytesSent(), spoiltBefore = peer_.spoiltAnswers();
    pinger_->longest = milliseconds(0);
    begin(play);
    const auto start = Clock::now();
    observe(result, start + kEndlessTime);
    peer_.heal();
    observe(result, start + kMessageDeadline + kEndGrace);
    result.bytesSent = peer_.bytesSent() - bytesBefore;
    result.spoiltInputs = peer_.spoiltAnswers() - spoiltBefore;
    check(result);
    return result;
  }
  std::string log() const { return forwarder_->log(); }

 private:
  // Sends a PING every 10 ms, one at a time.
  struct Pinger {
    Pinger(boost::asio::io_context& io, const tcp::endpoint& to) : socket(io), timer(io) {
      socket.connect(to);
      send();
    }
    void send() {
      sentAt = Clock::now();
      boost::system::error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(std::string("*1\r\n$4\r\nPING\r\n")), ignored);
      socket.async_read_some(boost::asio::buffer(answer),
                             [this](boost::system::error_code error, std::size_t) {
                               longest = std::max(longest, elapsed());
                               failed = failed || error;
                               if (error) return;
                               timer.expires_after(milliseconds(10));
                               timer.async_wait([this](boost::system::error_code stopped) {
                                 if (!stopped) send();
                               });
                             });
    }
    milliseconds elapsed() const { return std::chrono::duration_cast<milliseconds>(Clock::now() - sentAt); }
    tcp::socket socket;
    boost::asio::steady_timer timer;
    Clock::time_point sentAt;
    std::array<char, 64> answer{};
    milliseconds longest{0};
    bool failed = false;
  };

  static json entry(const std::string& uid, const std::string& endpoint, std::int64_t destination) {
    return {{"uid", uid},
            {"endpoint", endpoint},
            {"az", "a"},
            {"model", "large"},
            {"pod_group", destination},
            {"state", "active"},
            {"capacity_hint", 1.0},
            {"boot_ms", 0}};
  }

  void begin(const Play& play) {
    switch (play.reader) {
      case Reader::call:
      case Reader::idleConnection:
        peer_.spoil(EndlessPeer::Spoils::calls, play.form);
        return submitTo(++lastDestination_, 4);
      case Reader::manyTargets:
        peer_.spoil(EndlessPeer::Spoils::calls, play.form);
        for (std::size_t i = 0; i < kTargetsAtOnce; ++i)
          submitTo(static_cast<std::int64_t>(kPlaysPerLife * 2 + 1 + i), 4);
        return;
      case Reader::watch:
        return peer_.spoil(EndlessPeer::Spoils::watches, play.form);
      case Reader::openWatch:
        return peer_.spoil(EndlessPeer::Spoils::openWatches, play.form);
      case Reader::notices:
        peer_.spoil(EndlessPeer::Spoils::notices, play.form);
        return submitExpiring();
      case Reader::httpClient:
        return peer_.connectAndSend(forwarder_->httpEndpoint(), play.form);
      case Reader::respClient:
        return peer_.connectAndSend(forwarder_->respEndpoint(), play.form);
    }
  }

  // Messages whose time is over before a call can end, so that notices are due.
  void submitExpiring() {
    ++lastDestination_;
    for (int i = 0; i < 4; ++i) submit(lastDestination_, "paiement", kUnansweredDeadline);
  }
  void submitTo(std::int64_t destination, int count) {
    for (int i = 0; i < count; ++i) submit(destination, i % 2 == 0 ? "statut" : "paiement", kSpoiltDeadline);
  }
  std::string submit(std::int64_t destination, const std::string& messageClass, milliseconds timeToLive) {
    Message message;
    message.id = "m" + std::to_string(++lastMessage_);
    message.messageClass = messageClass;
    message.destination = destination;
    message.body = "body";
    message.timeToLive = timeToLive;
    client_->submit(message, [](const SubmitResult&) {});
    return message.id;
  }

  void observe(Result& result, Clock::time_point end) {
    while (Clock::now() < end) {
      if (Clock::now() >= nextSound_ && Clock::now() + kMessageDeadline < end + kEndlessTime) {
        nextSound_ = Clock::now() + kMessageInterval;
        soundIds_.push_back(submit(kSoundDestination, "statut", kMessageDeadline));
      }
      io_.restart();
      io_.run_for(milliseconds(2));
      result.residentBytes = std::max(result.residentBytes, forwarder_->residentBytes());
    }
  }

  void check(Result& result) {
    result.longestPing = std::max(pinger_->longest, pinger_->elapsed());
    const auto violation = [&](const std::string& text) { result.violations.push_back(text); };
    if (result.residentBytes > kMaxResidentBytes)
      violation("memory of " + std::to_string(result.residentBytes >> 20) + " MB");
    if (result.longestPing > kMaxPingTime)
      violation("PING answered after " + std::to_string(result.longestPing.count()) + " ms");
    if (pinger_->failed) violation("the connection of the PINGs has ended");
    if (forwarder_->crashed() || forwarder_->residentBytes() == 0) violation("the forwarder has ended");
    const auto lost = std::count_if(soundIds_.begin(), soundIds_.end(),
                                    [&](const std::string& id) { return !effects_.isSettled(id); });
    if (lost > 0) violation(std::to_string(lost) + " messages to the sound target not delivered in time");
    result.soundMessages = soundIds_.size();
    soundIds_.clear();
  }

  boost::asio::io_context io_;
  EffectLog effects_;
  Partner sound_;
  EndlessPeer peer_;
  std::unique_ptr<ForwarderProcess> forwarder_;
  std::unique_ptr<quilltide::standin::Client> client_;
  std::unique_ptr<Pinger> pinger_;
  std::vector<std::string> soundIds_;
  Clock::time_point nextSound_{};
  std::int64_t lastDestination_ = 0;
  std::uint64_t lastMessage_ = 0;
};

// Plays on several forwarders at the same time; `stopAtViolation` ends at the first one.
class Runner {
 public:
  Runner(const Options& options, std::vector<Play> plays, bool stopAtViolation)
      : options_(options), plays_(std::move(plays)), stopAtViolation_(stopAtViolation) {}

  void run(std::size_t parallel) {
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < parallel; ++i) threads.emplace_back([this] { work(); });
    for (std::thread& thread : threads) thread.join();
  }

  std::size_t played = 0, violations = 0, errors = 0, bytesSent = 0, residentBytes = 0, soundMessages = 0;
  milliseconds longestPing{0};
  std::map<std::string, std::size_t> unspoiltPlays;  // by reader

 private:
  void work() {
    std::unique_ptr<World> world;
    std::size_t playsOfLife = 0;
    for (std::size_t i; !(stopAtViolation_ && violations_ > 0) && (i = next_++) < plays_.size();) {
      try {
        if (!world || ++playsOfLife % kPlaysPerLife == 0) world = std::make_unique<World>(options_);
        const Result result = world->run(plays_[i]);
        record(plays_[i], result, world->log());
        if (!result.violations.empty()) world.reset();
      } catch (const std::exception& problem) {
        const std::lock_guard lock(mutex_);
        ++errors;
        std::cout << "ERROR " << describe(plays_[i]) << ": " << problem.what() << "\n";
        world.reset();
      }
    }
  }

  void record(const Play& play, const Result& result, const std::string& log) {
    const std::lock_guard lock(mutex_);
    ++played;
    violations_ += result.violations.size();
    violations = violations_;
    bytesSent += result.bytesSent;
    soundMessages += result.soundMessages;
    residentBytes = std::max(residentBytes, result.residentBytes);
    longestPing = std::max(longestPing, result.longestPing);
    if (result.spoiltInputs == 0) ++unspoiltPlays[kReaderNames[static_cast<std::size_t>(play.reader)]];
    if (options_.verbose || !result.violations.empty())
      std::cout << describe(play) << ": " << result.spoiltInputs << " inputs without end, "
                << (result.bytesSent >> 10) << " KiB, " << (result.residentBytes >> 20) << " MB, PING "
                << result.longestPing.count() << " ms\n";
    for (const std::string& violation : result.violations) std::cout << "  VIOLATION " << violation << "\n";
    if (!result.violations.empty())
      std::cerr << "log:\n" << log.substr(log.size() - std::min<std::size_t>(log.size(), 4'000));
  }

  Options options_;
  std::vector<Play> plays_;
  bool stopAtViolation_;
  std::atomic<std::size_t> next_ = 0, violations_ = 0;
  std::mutex mutex_;
};

// Plays with each mutant of the program until one play is violated; returns the exit status.
int findMutants(const Options& options, const std::vector<Play>& plays, std::size_t parallel, int mutants) {
  int found = 0;
  for (int mutant = 1; mutant <= mutants; ++mutant) {
    ::setenv("QUILLTIDE_MUTANT", std::to_string(mutant).c_str(), 1);
    Runner runner(options, plays, true);
    runner.run(parallel);
    found += runner.violations > 0 ? 1 : 0;
    std::cout << "mutant " << mutant << ": " << runner.violations << " violations within " << runner.played
              << " plays\n";
  }
  std::cout << json{{"verification", "input-limits"},
                    {"mutants", mutants},
                    {"found", found},
                    {"holds", found == mutants}}
                   .dump()
            << std::endl;
  return found == mutants ? 0 : 1;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Sends inputs without end to a forwarder and checks its memory and its event loop.",
               "input-limits");
  Options options;
  bool quick = false;
  std::uint64_t seed = 1;
  std::size_t runs = 1'000, parallel = 4;
  int mutants = 0;
  app.add_flag("--quick", quick, "a few plays of each reader");
  app.add_option("--seed", seed, "seed of the first play; each further one has the next");
  app.add_option("--runs", runs, "number of plays");
  app.add_option("--parallel", parallel, "plays at the same time")->check(CLI::Range(1, 16));
  app.add_option("--forwarder", options.program, "path of the forwarder's program");
  app.add_option("--mutants", mutants, "number of mutants that the program has; each must be found");
  std::optional<std::size_t> reader;
  app.add_option("--reader", reader, "number of the only reader to play, from 0")
      ->check(CLI::Range(std::size_t{0}, kReaders - 1));
  app.add_flag("--verbose", options.verbose, "print each play");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  if (quick) runs = 10 * kReaders;
  const auto onlyReader = reader ? std::optional(static_cast<Reader>(*reader)) : std::nullopt;
  const std::vector<Play> plays = drawPlays(seed, runs, onlyReader);
  if (mutants > 0) return findMutants(options, plays, parallel, mutants);
  Runner runner(options, plays, false);
  runner.run(parallel);
  const std::size_t playsOfReader = onlyReader ? runs : runs / kReaders;
  const bool allSpoilt = std::all_of(
      runner.unspoiltPlays.begin(), runner.unspoiltPlays.end(),
      [&](const auto& entry) { return entry.second < std::max<std::size_t>(1, playsOfReader / 2); });
  const bool holds = runner.violations == 0 && runner.errors == 0 && allSpoilt;
  std::cout << json{{"verification", "input-limits"},
                    {"seed", seed},
                    {"plays", runner.played},
                    {"holds", holds},
                    {"violations", runner.violations},
                    {"errors", runner.errors},
                    {"bytes_sent", runner.bytesSent},
                    {"highest_memory_mb", runner.residentBytes >> 20},
                    {"longest_ping_ms", runner.longestPing.count()},
                    {"sound_messages", runner.soundMessages},
                    {"plays_without_spoilt_input", runner.unspoiltPlays}}
                   .dump()
            << std::endl;
  return holds ? 0 : 1;
}
