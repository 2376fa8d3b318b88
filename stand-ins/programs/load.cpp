// The load generator as a program: loads one frontend at one rate and prints the figures as a JSON object.
#include "load.hpp"

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <iostream>

using namespace quilltide::standin;

int main(int argc, char** argv) {
  CLI::App app("Loads one frontend of a forwarder and prints latencies and resource usage.",
               "thistleyoke-load");
  std::string program = "build/thistleyoke";
  LoadPlan plan;
  bool platformMode = false;
  app.add_option("--forwarder", program, "path of the forwarder's program");
  app.add_option("--frontend", plan.frontend, "resp, http or batch")
      ->check(CLI::IsMember({"resp", "http", "batch"}));
  app.add_option("--rate", plan.rate, "messages a second; 0: limited by --open only")
      ->check(CLI::Range(0.0, 200'000.0));
  app.add_option("--open", plan.maxUnanswered, "submissions in flight at rate 0")
      ->check(CLI::Range(0, 100'000));
  app.add_option("--seconds", plan.seconds, "seconds to send")->check(CLI::Range(0.5, 600.0));
  app.add_option("--connections", plan.connections, "connections of the client")->check(CLI::Range(1, 500));
  app.add_option("--partners", plan.partnerCount, "number of destinations, with one endpoint each")
      ->check(CLI::Range(1, 1'000));
  app.add_flag("--platform", platformMode,
               "start the forwarder as the platform does: without thistleyoke.toml");
  CLI11_PARSE(app, argc, argv);
  try {
    plan.options.httpEnabled = !platformMode;
    std::cout << runLoad(program, plan).dump() << std::endl;
    return 0;
  } catch (const std::exception& error) {
    std::cerr << "thistleyoke-load: " << error.what() << std::endl;
    return 1;
  }
}
