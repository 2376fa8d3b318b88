// Submits messages on schedule and measures latencies from the scheduled times.
#include "load.hpp"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cmath>

#include "client.hpp"
#include "directory.hpp"
#include "latency.hpp"
#include "partner.hpp"

namespace quilltide::standin {

using nlohmann::json;

namespace {

json quantiles(const Latencies& latencies) {
  const auto rounded = [](double ms) { return std::round(ms * 1000) / 1000; };
  return {{"p50", rounded(latencies.quantile(0.5))},
          {"p99", rounded(latencies.quantile(0.99))},
          {"p999", rounded(latencies.quantile(0.999))},
          {"max", rounded(latencies.max())}};
}

double msSince(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

}  // namespace

json runLoad(const std::string& program, const LoadPlan& plan) {
  boost::asio::io_context io;
  Directory directory(io);
  EffectLog effects;
  std::vector<std::unique_ptr<Partner>> partners;
  for (std::size_t i = 0; i < plan.partnerCount; ++i) {
    partners.push_back(std::make_unique<Partner>(io, static_cast<std::int64_t>(i), effects));
    directory.set({"p" + std::to_string(i), partners.back()->hostAndPort(), static_cast<std::int64_t>(i)});
  }
  ForwarderProcess forwarder(program, directory.hostAndPort(), directory.snapshot(), plan.options);
  forwarder.start();
  std::unique_ptr<Client> client;
  if (plan.frontend == "resp") client = makeRespClient(io, forwarder.respEndpoint(), plan.connections);
  if (plan.frontend == "http") client = makeHttpClient(io, forwarder.httpEndpoint(), plan.connections);
  if (plan.frontend == "batch") client = makeBatchClient(io, forwarder.httpEndpoint(), 200, milliseconds(2));
  if (!client) throw std::runtime_error("unknown frontend, expected resp, http or batch: " + plan.frontend);

  const std::size_t maxMessages =
      static_cast<std::size_t>((plan.rate > 0 ? plan.rate : 100'000) * plan.seconds) + 1;
  Latencies answerLatencies(maxMessages), callLatencies(maxMessages);
  std::map<std::string, Clock::time_point> scheduledAt;
  std::size_t submitted = 0, answered = 0, refused = 0, failed = 0, processedEffects = 0;
  double maxLatenessMs = 0;
  std::map<std::string, int> failureReasons;
  const std::string body(plan.bodyBytes, 'x');
  const auto submitScheduled = [&](Clock::time_point scheduled) {
    Message message;
    message.id = "l" + std::to_string(submitted);
    message.messageClass = "statut";
    message.destination = static_cast<std::int64_t>(submitted % plan.partnerCount);
    message.body = body;
    ++submitted;
    scheduledAt[message.id] = scheduled;
    maxLatenessMs = std::max(maxLatenessMs, msSince(scheduled));
    client->submit(message, [&, scheduled](const SubmitResult& result) {
      ++answered;
      if (result.kind == SubmitResult::Kind::accepted) {
        answerLatencies.add(msSince(scheduled));
      } else {
        ++(result.kind == SubmitResult::Kind::refused ? refused : failed);
        if (failureReasons.size() < 4) ++failureReasons[result.detail];
      }
    });
  };
  const auto pollOnce = [&] {
    io.restart();
    io.poll();
    for (; processedEffects < effects.all().size(); ++processedEffects) {
      const Effect& effect = effects.all()[processedEffects];
      const auto found = scheduledAt.find(effect.id);
      if (found == scheduledAt.end()) continue;
      callLatencies.add(std::chrono::duration<double, std::milli>(effect.time - found->second).count());
      scheduledAt.erase(found);
    }
  };
  // Warm-up for one second, not included in the figures: connections are opened and the number of tickets
  // grows.
  const auto warmUpStart = Clock::now();
  for (std::size_t i = 0; Clock::now() - warmUpStart < milliseconds(1'000);) {
    const double rate = plan.rate > 0 ? std::min(plan.rate, 2'000.0) : 2'000.0;
    if (msSince(warmUpStart) * rate / 1000 > static_cast<double>(i)) {
      submitScheduled(Clock::now());
      ++i;
    }
    pollOnce();
  }
  while (answered < submitted && msSince(warmUpStart) < 5'000) pollOnce();
  answerLatencies = Latencies(maxMessages);
  callLatencies = Latencies(maxMessages);
  refused = failed = 0;
  maxLatenessMs = 0;
  failureReasons.clear();
  const std::size_t warmUpMessages = submitted;
  const double cpuBefore = forwarder.cpuSeconds();
  const auto start = Clock::now();
  while (msSince(start) < plan.seconds * 1000) {
    if (plan.rate > 0) {
      while (true) {
        const auto scheduled =
            start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
                        static_cast<double>(submitted - warmUpMessages) / plan.rate));
        if (scheduled > Clock::now()) break;
        submitScheduled(scheduled);
      }
    } else {
      while (submitted - answered < plan.maxUnanswered) submitScheduled(Clock::now());
    }
    pollOnce();
  }
  const auto resident = forwarder.residentBytes();
  const auto descriptors = forwarder.openDescriptors();
  const auto drainStart = Clock::now();
  while ((answered < submitted || processedEffects < submitted - refused - failed) &&
         Clock::now() - drainStart < milliseconds(5'000))
    pollOnce();
  const double cpuUsedSeconds = forwarder.cpuSeconds() - cpuBefore;
  const std::size_t messages = submitted - warmUpMessages;
  json reasons = json::object();
  for (const auto& [text, count] : failureReasons) reasons[text] = count;
  return {{"frontend", plan.frontend},
          {"rate", plan.rate},
          {"open", plan.maxUnanswered},
          {"messages", messages},
          {"cpu_us",
           std::round(cpuUsedSeconds * 1e7 / static_cast<double>(std::max<std::size_t>(1, messages))) / 10},
          {"cpu_share", std::round(cpuUsedSeconds / plan.seconds * 100) / 100},
          {"per_second", std::round(static_cast<double>(messages) / plan.seconds)},
          {"answer_ms", quantiles(answerLatencies)},
          {"call_ms", quantiles(callLatencies)},
          {"late_ms", std::round(maxLatenessMs * 100) / 100},
          {"refused", refused},
          {"failed", failed},
          {"reasons", reasons},
          {"unanswered", submitted - answered},
          {"resident_mb", std::round(static_cast<double>(resident) / 1e5) / 10},
          {"descriptors", descriptors}};
}

}  // namespace quilltide::standin
