// Demo: sends messages through both frontends while one partner hangs and another one sheds load, and reports
// the outcomes.
#include <unistd.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <cstdio>
#include <iostream>

#include "testbed.hpp"

using namespace quilltide::standin;

int main(int argc, char** argv) {
  CLI::App app("Runs a forwarder among partners, of which one hangs and one sheds load.", "thistleyoke-demo");
  std::string program = "build/thistleyoke";
  std::size_t count = 1'000;
  app.add_option("--forwarder", program, "path of the forwarder's program");
  app.add_option("--messages", count, "number of messages to submit")->check(CLI::Range(10, 20'000));
  CLI11_PARSE(app, argc, argv);
  try {
    constexpr std::size_t kPartners = 6, kHangingPartner = 1, kSheddingPartner = 2;
    Testbed testbed(program, kPartners, {}, {milliseconds(4)});
    testbed.partner(kHangingPartner).setScript([](const std::string&, int) {
      return Behavior::hangBeforeEffect;
    });
    testbed.partner(kSheddingPartner).configure({milliseconds(4), 20, milliseconds(1'000)});
    testbed.start();
    std::printf("directory %s, %zu partners, forwarder: RESP2 frontend %s:%d, HTTP frontend %s:%d\n",
                testbed.directory().hostAndPort().c_str(), kPartners,
                testbed.forwarder().respEndpoint().address().to_string().c_str(),
                testbed.forwarder().respEndpoint().port(),
                testbed.forwarder().httpEndpoint().address().to_string().c_str(),
                testbed.forwarder().httpEndpoint().port());
    std::printf(
        "partner %zu does not answer calls until half of the messages are submitted; partner %zu accepts 20 "
        "messages a second\n",
        kHangingPartner, kSheddingPartner);
    auto resp = makeRespClient(testbed.io(), testbed.forwarder().respEndpoint(), 4);
    auto http = makeHttpClient(testbed.io(), testbed.forwarder().httpEndpoint(), 16);
    const auto start = Clock::now();
    const auto progress = [&](std::size_t submitted) {
      std::size_t completed = testbed.outcomeStream().finalOutcomes().size();
      if (::isatty(1)) std::printf("\r");
      std::printf("%5.1f s  submitted %5zu  completed %5zu%s",
                  std::chrono::duration<double>(Clock::now() - start).count(), submitted, completed,
                  ::isatty(1) ? "" : "\n");
      std::fflush(stdout);
    };
    auto nextSubmission = start;
    for (std::size_t i = 0; i < count; ++i) {
      Message newMessage = makeMessage("demo", i, kPartners);
      const bool viaHttp = i / 3 % 2 == (i / 3 / kPartners) % 2;
      testbed.submitVia(viaHttp ? *http : *resp, viaHttp ? "HTTP" : "RESP2", newMessage);
      nextSubmission += std::chrono::microseconds(3'000);
      testbed.runUntil(nextSubmission);
      if (i == count / 2) testbed.partner(kHangingPartner).setScript({});
      if (i % 250 == 249) progress(i + 1);
    }
    for (int i = 0; i < 60 && !testbed.runUntil([&] { return testbed.allCompleted(); }, milliseconds(500));
         ++i) {
      if (i % 4 == 3) progress(count);
    }
    progress(count);
    std::printf("\n\n%-6s %-9s %9s %9s %9s %9s %9s %9s\n", "frontend", "class", "submitted", "delivered",
                "given up", "handed bk", "refused", "other");
    std::size_t withoutOutcome = 0;
    for (const char* frontend : {"RESP2", "HTTP"}) {
      for (const char* messageClass : {"statut", "ordre", "paiement"}) {
        std::map<std::string, std::size_t> countsByOutcome;
        std::size_t total = 0;
        for (const auto& [id, record] : testbed.records()) {
          if (record.frontend != frontend || record.message.messageClass != messageClass) continue;
          ++total;
          ++countsByOutcome[testbed.finalOutcome(record)];
        }
        const std::size_t listed = countsByOutcome["delivered"] + countsByOutcome["given_up"] +
                                   countsByOutcome["handed_back"] + countsByOutcome["refused"];
        withoutOutcome += total - listed - countsByOutcome["failed"] - countsByOutcome["over"];
        std::printf("%-6s %-9s %9zu %9zu %9zu %9zu %9zu %9zu\n", frontend, messageClass, total,
                    countsByOutcome["delivered"], countsByOutcome["given_up"], countsByOutcome["handed_back"],
                    countsByOutcome["refused"], total - listed);
      }
    }
    const auto violations = testbed.violations();
    std::size_t duplicated = 0;
    for (const auto& [id, record] : testbed.records())
      duplicated += record.message.messageClass == "paiement" && testbed.effects().countOf(id) > 1 ? 1 : 0;
    std::printf(
        "\nmessages without a final outcome: %zu; paiements with more than one effect: %zu; violations: "
        "%zu\n",
        withoutOutcome, duplicated, violations.size());
    for (std::size_t i = 0; i < violations.size() && i < 10; ++i)
      std::printf("  %s\n", violations[i].c_str());
    return withoutOutcome + duplicated + violations.size() == 0 ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "thistleyoke-demo: " << error.what() << std::endl;
    return 1;
  }
}
