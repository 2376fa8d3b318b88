// Paces messages by their schedule and times them from it.
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

json quantiles(const Latencies& l) {
  const auto rounded = [](double ms) { return std::round(ms * 1000) / 1000; };
  return {{"p50", rounded(l.quantile(0.5))},
          {"p99", rounded(l.quantile(0.99))},
          {"p999", rounded(l.quantile(0.999))},
          {"max", rounded(l.max())}};
}

double msSince(Clock::time_point from) {
  return std::chrono::duration<double, std::milli>(Clock::now() - from).count();
}

}  // namespace

json playLoad(const std::string& program, const LoadPlan& plan) {
  boost::asio::io_context io;
  Directory directory(io);
  Effects effects;
  std::vector<std::unique_ptr<Partner>> partners;
  for (std::size_t i = 0; i < plan.partners; ++i) {
    partners.push_back(std::make_unique<Partner>(io, static_cast<std::int64_t>(i), effects));
    directory.set({"p" + std::to_string(i), partners.back()->text(), static_cast<std::int64_t>(i)});
  }
  ForwarderProcess process(program, directory.text(), directory.list(), plan.options);
  process.start();
  std::unique_ptr<Client> client;
  if (plan.frontend == "resp") client = respClient(io, process.resp(), plan.connections);
  if (plan.frontend == "http") client = httpClient(io, process.http(), plan.connections);
  if (plan.frontend == "batch") client = batchClient(io, process.http(), 200, milliseconds(2));
  if (!client) throw std::runtime_error("no such frontend: " + plan.frontend);

  const std::size_t most = static_cast<std::size_t>((plan.rate > 0 ? plan.rate : 100'000) * plan.seconds) + 1;
  Latencies answers(most), calls(most);
  std::map<std::string, Clock::time_point> due;
  std::size_t handed = 0, told = 0, refused = 0, failed = 0, seen = 0;
  double late = 0;
  std::map<std::string, int> why;
  const std::string body(plan.body, 'x');
  const auto hand = [&](Clock::time_point at) {
    Message m;
    m.id = "l" + std::to_string(handed);
    m.cls = "statut";
    m.destination = static_cast<std::int64_t>(handed % plan.partners);
    m.body = body;
    ++handed;
    due[m.id] = at;
    late = std::max(late, msSince(at));
    client->submit(m, [&, at](const Told& t) {
      ++told;
      if (t.kind == Told::Kind::taken) {
        answers.add(msSince(at));
      } else {
        ++(t.kind == Told::Kind::refused ? refused : failed);
        if (why.size() < 4) ++why[t.detail];
      }
    });
  };
  const auto run = [&] {
    io.restart();
    io.poll();
    for (; seen < effects.all().size(); ++seen) {
      const Effect& e = effects.all()[seen];
      const auto at = due.find(e.id);
      if (at == due.end()) continue;
      calls.add(std::chrono::duration<double, std::milli>(e.at - at->second).count());
      due.erase(at);
    }
  };
  // Connections open and the module's tickets grow in the first second, which does not count.
  const auto warm = Clock::now();
  for (std::size_t i = 0; Clock::now() - warm < milliseconds(1'000);) {
    const double rate = plan.rate > 0 ? std::min(plan.rate, 2'000.0) : 2'000.0;
    if (msSince(warm) * rate / 1000 > static_cast<double>(i)) {
      hand(Clock::now());
      ++i;
    }
    run();
  }
  while (told < handed && msSince(warm) < 5'000) run();
  answers = Latencies(most);
  calls = Latencies(most);
  refused = failed = 0;
  late = 0;
  why.clear();
  const std::size_t before = handed;
  const double cpu = process.cpuSeconds();
  const auto start = Clock::now();
  while (msSince(start) < plan.seconds * 1000) {
    if (plan.rate > 0) {
      while (true) {
        const auto at = start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(
                                    static_cast<double>(handed - before) / plan.rate));
        if (at > Clock::now()) break;
        hand(at);
      }
    } else {
      while (handed - told < plan.open) hand(Clock::now());
    }
    run();
  }
  const auto resident = process.residentBytes();
  const auto descriptors = process.descriptors();
  const auto stop = Clock::now();
  while ((told < handed || seen < handed - refused - failed) && Clock::now() - stop < milliseconds(5'000))
    run();
  const double spent = process.cpuSeconds() - cpu;
  const std::size_t messages = handed - before;
  json reasons = json::object();
  for (const auto& [text, count] : why) reasons[text] = count;
  return {{"frontend", plan.frontend},
          {"rate", plan.rate},
          {"open", plan.open},
          {"messages", messages},
          {"cpu_us", std::round(spent * 1e7 / static_cast<double>(std::max<std::size_t>(1, messages))) / 10},
          {"cpu_share", std::round(spent / plan.seconds * 100) / 100},
          {"per_second", std::round(static_cast<double>(messages) / plan.seconds)},
          {"answer_ms", quantiles(answers)},
          {"call_ms", quantiles(calls)},
          {"late_ms", std::round(late * 100) / 100},
          {"refused", refused},
          {"failed", failed},
          {"reasons", reasons},
          {"unanswered", handed - told},
          {"resident_mb", std::round(static_cast<double>(resident) / 1e5) / 10},
          {"descriptors", descriptors}};
}

}  // namespace quilltide::standin
