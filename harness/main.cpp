// thistleyoke-harness: plays a scenario of processes and faults, and ends with 0 only if all that it expects
// showed.
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
  CLI::App app("Plays a scenario of processes and faults between them.", "thistleyoke-harness");
  std::string file, folder, programs = fs::weakly_canonical(fs::path(argv[0])).parent_path().string();
  std::uint64_t seed = 1;
  bool check = false;
  std::size_t last = 60;
  app.add_option("scenario", file, "a scenario's TOML file")->required();
  app.add_option("--seed", seed, "for all that the scenario leaves open");
  app.add_option("--folder", folder,
                 "kept with all files and the whole time-line; else a folder that is removed");
  app.add_option("--programs", programs, "where programs are that a scenario names without a folder");
  app.add_option("--last", last, "so many entries of the time-line are shown if it fails");
  app.add_flag("--check", check, "read the scenario, say all that is wrong with it, and end");
  CLI11_PARSE(app, argc, argv);
  try {
    std::ifstream in(file);
    if (!in) throw std::runtime_error("cannot open '" + file + "'");
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const Scenario scenario = parseScenario(text, file, seed, programs);
    if (check) {
      std::cout << file << ": " << scenario.processes.size() << " processes, " << scenario.steps.size()
                << " steps, " << scenario.expectations.size() << " expectations" << std::endl;
      return 0;
    }
    boost::asio::io_context io;
    Harness harness(io, folder);
    const auto complaints = play(harness, scenario, seed);
    std::ofstream(harness.folder() / "time-line.txt") << harness.timeline().text();
    if (!complaints.empty()) {
      std::cerr << harness.timeline().text(last);
      for (const std::string& complaint : complaints) std::cerr << "FAILED: " << complaint << "\n";
      std::cerr << "play it again: thistleyoke-harness " << file << " --seed " << seed << " --programs "
                << programs << std::endl;
    }
    std::cout << nlohmann::json{{"scenario", scenario.name},
                                {"seed", seed},
                                {"entries", harness.timeline().entries().size()},
                                {"holds", complaints.empty()}}
                     .dump()
              << std::endl;
    return complaints.empty() ? 0 : 1;
  } catch (const std::exception& problem) {
    std::cerr << "thistleyoke-harness: " << problem.what() << std::endl;
    return 2;
  }
}
