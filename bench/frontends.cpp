// What a message costs through each frontend: the table of docs/measurements.md, a JSON object a line.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>
#include <vector>

#include "load.hpp"

using namespace quilltide::standin;

namespace {

struct Row {
  double rate;       // messages a second; 0: as many as `open` allows
  std::size_t open;  // requests without an answer at once
};

constexpr Row kRows[] = {{100, 0}, {1'000, 0}, {10'000, 0}, {0, 200}, {0, 2'000}};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Plays each rate, and each number of requests in flight, through each frontend.", "doors");
  LoadPlan plan;
  std::string program = FORWARDER;
  std::vector<std::string> frontends = {"resp", "http", "batch"};
  bool platform = false;
  std::size_t plays = 1;
  app.add_option("--forwarder", program, "another build of the forwarder");
  app.add_option("--frontend", frontends, "resp, http, batch; all")
      ->check(CLI::IsMember({"resp", "http", "batch"}));
  app.add_option("--seconds", plan.seconds, "of each play")->check(CLI::Range(0.5, 600.0));
  app.add_option("--plays", plays, "of each row")->check(CLI::Range(1, 100));
  app.add_flag("--platform", platform, "RESP2 alone, without a configuration of our own");
  CLI11_PARSE(app, argc, argv);
  if (platform) frontends = {"resp"};
  plan.options.http = !platform;
  try {
    for (const std::string& frontend : frontends) {
      for (const Row& row : kRows) {
        for (std::size_t i = 0; i < plays; ++i) {
          LoadPlan one = plan;
          one.frontend = frontend;
          one.rate = row.rate;
          one.open = row.open;
          // HTTP has one request at a time on a connection; RESP2 and batches have many.
          if (frontend == "http") one.connections = row.open == 0 ? 64 : 200;
          if (frontend != "http" && row.open > 0) one.connections = 1;
          std::cout << playLoad(program, one).dump() << std::endl;
        }
      }
    }
    return 0;
  } catch (const std::exception& problem) {
    std::cerr << "frontends: " << problem.what() << std::endl;
    return 1;
  }
}
