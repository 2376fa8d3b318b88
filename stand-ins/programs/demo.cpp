// The first run: a thousand messages through both frontends, while one partner hangs and one sheds load.
#include <unistd.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <cstdio>
#include <iostream>

#include "run.hpp"

using namespace quilltide::standin;

int main(int argc, char** argv) {
  CLI::App app("Shows a forwarder among partners that misbehave.", "thistleyoke-demo");
  std::string program = "build/thistleyoke";
  std::size_t count = 1'000;
  app.add_option("--forwarder", program, "the forwarder's program");
  app.add_option("--messages", count, "how many are handed in")->check(CLI::Range(10, 20'000));
  CLI11_PARSE(app, argc, argv);
  try {
    constexpr std::size_t kPartners = 6, kHangs = 1, kSheds = 2;
    Run run(program, kPartners, {}, {milliseconds(4)});
    run.partner(kHangs).script([](const std::string&, int) { return Does::hangUnrun; });
    run.partner(kSheds).pace({milliseconds(4), 20, milliseconds(1'000)});
    run.start();
    std::printf("directory %s, %zu partners, forwarder: RESP2 frontend %s:%d, HTTP frontend %s:%d\n",
                run.directory().text().c_str(), kPartners, run.process().resp().address().to_string().c_str(),
                run.process().resp().port(), run.process().http().address().to_string().c_str(),
                run.process().http().port());
    std::printf(
        "partner %zu takes calls and says nothing until half is handed in; partner %zu takes 20 messages a "
        "second\n",
        kHangs, kSheds);
    auto resp = respClient(run.io(), run.process().resp(), 4);
    auto http = httpClient(run.io(), run.process().http(), 16);
    const auto start = Clock::now();
    const auto progress = [&](std::size_t handed) {
      std::size_t ended = run.ends().finals().size();
      if (::isatty(1)) std::printf("\r");
      std::printf("%5.1f s  handed in %5zu  ended %5zu%s",
                  std::chrono::duration<double>(Clock::now() - start).count(), handed, ended,
                  ::isatty(1) ? "" : "\n");
      std::fflush(stdout);
    };
    auto next = start;
    for (std::size_t i = 0; i < count; ++i) {
      Message m = messageOf("demo", i, kPartners);
      const bool byHttp = i / 3 % 2 == (i / 3 / kPartners) % 2;
      run.hand(byHttp ? *http : *resp, byHttp ? "HTTP" : "RESP2", m);
      next += std::chrono::microseconds(3'000);
      run.until(next);
      if (i == count / 2) run.partner(kHangs).script({});
      if (i % 250 == 249) progress(i + 1);
    }
    for (int i = 0; i < 60 && !run.until([&] { return run.over(); }, milliseconds(500)); ++i) {
      if (i % 4 == 3) progress(count);
    }
    progress(count);
    std::printf("\n\n%-6s %-9s %9s %9s %9s %9s %9s %9s\n", "frontend", "class", "handed in", "delivered",
                "given up", "handed bk", "refused", "other");
    std::size_t without = 0;
    for (const char* frontend : {"RESP2", "HTTP"}) {
      for (const char* cls : {"statut", "ordre", "paiement"}) {
        std::map<std::string, std::size_t> ends;
        std::size_t all = 0;
        for (const auto& [id, fate] : run.fates()) {
          if (fate.frontend != frontend || fate.message.cls != cls) continue;
          ++all;
          ++ends[run.endOf(fate)];
        }
        const std::size_t known =
            ends["delivered"] + ends["given_up"] + ends["handed_back"] + ends["refused"];
        without += all - known - ends["failed"] - ends["over"];
        std::printf("%-6s %-9s %9zu %9zu %9zu %9zu %9zu %9zu\n", frontend, cls, all, ends["delivered"],
                    ends["given_up"], ends["handed_back"], ends["refused"], all - known);
      }
    }
    const auto broken = run.broken();
    std::size_t twice = 0;
    for (const auto& [id, fate] : run.fates())
      twice += fate.message.cls == "paiement" && run.effects().of(id) > 1 ? 1 : 0;
    std::printf(
        "\nmessages without exactly one end: %zu; paiements that ran twice: %zu; promises broken: %zu\n",
        without, twice, broken.size());
    for (std::size_t i = 0; i < broken.size() && i < 10; ++i) std::printf("  %s\n", broken[i].c_str());
    return without + twice + broken.size() == 0 ? 0 : 1;
  } catch (const std::exception& problem) {
    std::cerr << "thistleyoke-demo: " << problem.what() << std::endl;
    return 1;
  }
}
