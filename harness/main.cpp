// thistleyoke-harness: runs a scenario of processes and faults. Exit status: 0 if all expectations are met, 1
// if not, 2 on an error.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "scenario.hpp"

int main(int argc, char** argv) {
  using namespace quilltide::harness;
  namespace fs = std::filesystem;
  CLI::App app("Runs a scenario of processes and injected faults.", "thistleyoke-harness");
  std::string scenarioFile, folder,
      programFolder = fs::weakly_canonical(fs::path(argv[0])).parent_path().string();
  std::uint64_t seed = 1;
  bool checkOnly = false;
  std::size_t lastEntries = 60;
  app.add_option("scenario", scenarioFile, "TOML file of the scenario")->required();
  app.add_option("--seed", seed, "seed of the random choices of the scenario");
  app.add_option("--folder", folder,
                 "folder for all files and the timeline; default: a temporary folder that is removed");
  app.add_option("--programs", programFolder, "folder of programs that the scenario names without a path");
  app.add_option("--last", lastEntries, "number of timeline entries printed on failure");
  app.add_flag("--check", checkOnly, "only check the scenario and print all errors");
  CLI11_PARSE(app, argc, argv);
  try {
    std::ifstream in(scenarioFile);
    if (!in) throw std::runtime_error("cannot open '" + scenarioFile + "'");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const Scenario scenario = parseScenario(text, scenarioFile, seed, programFolder);
    if (checkOnly) {
      std::cout << scenarioFile << ": " << scenario.processes.size() << " processes, "
                << scenario.steps.size() << " steps, " << scenario.expectations.size() << " expectations"
                << std::endl;
      return 0;
    }
    boost::asio::io_context io;
    Harness harness(io, folder);
    const auto failures = runScenario(harness, scenario, seed);
    std::ofstream(harness.folder() / "time-line.txt") << harness.timeline().text();
    if (!failures.empty()) {
      std::cerr << harness.timeline().text(lastEntries);
      for (const std::string& failure : failures) std::cerr << "FAILED: " << failure << "\n";
      std::cerr << "play it again: thistleyoke-harness " << scenarioFile << " --seed " << seed
                << " --programs " << programFolder << std::endl;
    }
    std::cout << nlohmann::json{{"scenario", scenario.name},
                                {"seed", seed},
                                {"entries", harness.timeline().entries().size()},
                                {"holds", failures.empty()}}
                     .dump()
              << std::endl;
    return failures.empty() ? 0 : 1;
  } catch (const std::exception& error) {
    std::cerr << "thistleyoke-harness: " << error.what() << std::endl;
    return 2;
  }
}
