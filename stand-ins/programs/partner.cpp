// The stand-in partner as a program: handles calls with the given limits and faults and prints counters.
#include "partner.hpp"

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <iostream>
#include <random>

using namespace quilltide::standin;

int main(int argc, char** argv) {
  CLI::App app("Stand-in for a partner's endpoint, for manual tests.", "thistleyoke-partner");
  int answerMs = 5, windowMs = 1'000, seconds = 3'600;
  std::size_t messagesPerWindow = 0;
  bool omitRetryDelay = false;
  double faultShare = 0;
  std::uint64_t seed = 1;
  std::string fault = "error";
  const std::map<std::string, Behavior> behaviorsByName = {{"error", Behavior::errorAfterEffect},
                                                           {"error-unrun", Behavior::errorBeforeEffect},
                                                           {"busy", Behavior::busy},
                                                           {"busy-wait", Behavior::rateLimited},
                                                           {"gone", Behavior::gone},
                                                           {"hang", Behavior::hangAfterEffect},
                                                           {"hang-unrun", Behavior::hangBeforeEffect},
                                                           {"reset-before", Behavior::resetBeforeEffect},
                                                           {"reset-after", Behavior::resetAfterEffect},
                                                           {"half-answer", Behavior::truncatedResponse},
                                                           {"spoilt", Behavior::malformedResponse}};
  std::vector<std::string> faultNames;
  for (const auto& [name, behavior] : behaviorsByName) faultNames.push_back(name);
  app.add_option("--answer-ms", answerMs, "response delay in ms");
  app.add_option("--limit", messagesPerWindow, "messages per window (0: no limit)");
  app.add_option("--window-ms", windowMs, "length of the window in ms");
  app.add_flag("--no-waits", omitRetryDelay, "refuse without a retry delay");
  app.add_option("--fault", fault, "fault to inject")->check(CLI::IsMember(faultNames));
  app.add_option("--part", faultShare, "share of the messages with the fault")->check(CLI::Range(0.0, 1.0));
  app.add_option("--seed", seed, "seed of the random choice");
  app.add_option("--seconds", seconds, "seconds to run")->check(CLI::Range(1, 86'400));
  CLI11_PARSE(app, argc, argv);
  boost::asio::io_context io;
  EffectLog effects;
  Partner partner(io, 0, effects,
                  {milliseconds(answerMs), messagesPerWindow, milliseconds(windowMs), !omitRetryDelay});
  std::mt19937_64 random(seed);
  partner.setScript([&](const std::string&, int) {
    return std::uniform_real_distribution<double>()(random) < faultShare ? behaviorsByName.at(fault)
                                                                         : Behavior::deliver;
  });
  std::cout << "partner at " << partner.hostAndPort() << std::endl;
  boost::asio::steady_timer reportTimer(io);
  std::function<void()> scheduleReport = [&] {
    reportTimer.expires_after(std::chrono::seconds(1));
    reportTimer.async_wait([&](boost::system::error_code error) {
      if (error) return;
      std::cout << "calls " << partner.calls() << "  messages " << partner.messages() << "  effects "
                << effects.all().size() << "  connections " << partner.acceptedConnections()
                << "  during retry delays " << partner.messagesDuringRetryDelay() << std::endl;
      scheduleReport();
    });
  };
  scheduleReport();
  boost::asio::signal_set stopSignals(io, SIGINT, SIGTERM);
  stopSignals.async_wait([&](boost::system::error_code, int) { io.stop(); });
  io.run_for(std::chrono::seconds(seconds));
}
