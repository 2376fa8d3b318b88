// Parses scenarios with toml++, resolves their random choices and runs them.
#include "scenario.hpp"

#include <signal.h>

#include <algorithm>
#include <random>
#include <regex>
#include <set>

#ifndef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#endif
#include <toml++/toml.h>

namespace quilltide::harness {
namespace {

constexpr std::int64_t kMaxTimeMs = 600'000;
constexpr std::size_t kMaxProcesses = 100, kMaxSteps = 10'000;
constexpr auto kReadyTimeout = milliseconds(15'000);

const std::set<std::string> kProcessActions{"start",     "kill",  "term",      "hang_up",    "pause",
                                            "wake",      "lose",  "save",      "roll_back",  "disk_full",
                                            "disk_free", "clock", "jump_wall", "jump_steady"};
const std::set<std::string> kLinkActions{"cut",       "stall",  "delay", "throttle", "reset_after",
                                         "half_open", "refuse", "reset", "heal"};

class ScenarioReader {
 public:
  ScenarioReader(std::string path, std::uint64_t seed) : path_(std::move(path)), random_(seed) {}

  void addError(const toml::node& node, const std::string& message) {
    errors_ += path_ + ":" + std::to_string(node.source().begin.line) + ": " + message + "\n";
  }
  const std::string& errors() const { return errors_; }

  std::string readString(const toml::table& section, const char* key, const std::string& defaultValue) {
    return get<std::string>(section, key, defaultValue, "a string");
  }
  bool readBoolean(const toml::table& section, const char* key, bool defaultValue) {
    return get(section, key, defaultValue, "true or false");
  }
  // Reads a number, or chooses a random one from a range [minimum, maximum].
  double readNumber(const toml::table& section, const char* key, double defaultValue, double minimum,
                    double maximum) {
    const toml::node* node = section.get(key);
    if (node == nullptr) return defaultValue;
    double value = defaultValue;
    if (const toml::array* range = node->as_array()) {
      const auto low = range->size() == 2 ? (*range)[0].value<double>() : std::nullopt;
      const auto high = range->size() == 2 ? (*range)[1].value<double>() : std::nullopt;
      if (!low || !high || *low > *high) {
        addError(*node, std::string(key) + " is neither a number nor [minimum, maximum]");
        return defaultValue;
      }
      value = std::uniform_real_distribution<double>(*low, *high)(random_);
    } else if (const auto scalar = node->value<double>()) {
      value = *scalar;
    } else {
      addError(*node, std::string(key) + " is neither a number nor [minimum, maximum]");
      return defaultValue;
    }
    if (value < minimum || value > maximum)
      addError(*node, std::string(key) + " is not from " + std::to_string(minimum) + " to " +
                          std::to_string(maximum));
    return value;
  }
  std::int64_t readInteger(const toml::table& section, const char* key, std::int64_t defaultValue,
                           std::int64_t minimum, std::int64_t maximum) {
    return static_cast<std::int64_t>(readNumber(section, key, static_cast<double>(defaultValue),
                                                static_cast<double>(minimum), static_cast<double>(maximum)));
  }
  std::vector<std::string> readStrings(const toml::table& section, const char* key) {
    std::vector<std::string> out;
    const toml::node* node = section.get(key);
    if (node == nullptr) return out;
    if (const auto single = node->value_exact<std::string>()) return {*single};
    const toml::array* elements = node->as_array();
    if (elements == nullptr) {
      addError(*node, std::string(key) + " is neither a string nor an array of strings");
      return out;
    }
    for (const toml::node& element : *elements) {
      if (const auto elementText = element.value_exact<std::string>()) {
        out.push_back(*elementText);
      } else {
        addError(element, std::string(key) + " contains an element that is not a string");
      }
    }
    return out;
  }
  void rejectUnknownKeys(const toml::table& section, const std::set<std::string>& known) {
    for (const auto& [key, node] : section) {
      if (!known.contains(std::string(key.str()))) addError(node, std::string(key.str()) + " is not known");
    }
  }
  bool checkRegex(const toml::table& section, const char* key, const std::string& text) {
    try {
      std::regex unused(text);
      return true;
    } catch (const std::regex_error&) {
      addError(section.get(key) != nullptr ? *section.get(key) : static_cast<const toml::node&>(section),
               std::string(key) + " is no regular expression: " + text);
      return false;
    }
  }
  std::vector<const toml::table*> readTables(const toml::table& section, const char* key) {
    std::vector<const toml::table*> out;
    const toml::node* node = section.get(key);
    if (node == nullptr) return out;
    const toml::array* elements = node->as_array();
    if (elements == nullptr) {
      addError(*node, std::string(key) + " is not an array of tables: [[" + key + "]]");
      return out;
    }
    for (const toml::node& element : *elements) {
      if (element.is_table()) {
        out.push_back(element.as_table());
      } else {
        addError(element, std::string(key) + " contains an element that is not a table");
      }
    }
    return out;
  }

 private:
  template <typename T>
  T get(const toml::table& section, const char* key, const T& defaultValue, const char* expectedType) {
    const toml::node* node = section.get(key);
    if (node == nullptr) return defaultValue;
    if (const auto value = node->value_exact<T>()) return *value;
    addError(*node, std::string(key) + " is not " + expectedType);
    return defaultValue;
  }

  std::string path_, errors_;
  std::mt19937_64 random_;
};

std::string replaceIndex(std::string text, int index) {
  const std::string placeholder = "{n}";
  for (std::size_t at = text.find(placeholder); at != std::string::npos; at = text.find(placeholder, at))
    text.replace(at, placeholder.size(), std::to_string(index));
  return text;
}

void readProcess(ScenarioReader& reader, const toml::table& section,
                 const std::filesystem::path& programFolder, Scenario& scenario) {
  reader.rejectUnknownKeys(section, {"name", "program", "args", "env", "files", "count", "clock", "ready"});
  ProcessConfig config;
  config.name = reader.readString(section, "name", "");
  config.program = reader.readString(section, "program", "");
  config.args = reader.readStrings(section, "args");
  config.useTestClock = reader.readBoolean(section, "clock", false);
  const std::string ready = reader.readString(section, "ready", "");
  if (!ready.empty()) reader.checkRegex(section, "ready", ready);
  const auto count = reader.readInteger(section, "count", 0, 1, kMaxProcesses);
  if (config.name.empty() || config.program.empty())
    return reader.addError(section, "a process needs a name and a program");
  if (config.program.find('/') == std::string::npos)
    config.program = (programFolder / config.program).string();
  if (!std::filesystem::exists(config.program))
    reader.addError(section, "there is no program " + config.program);
  const auto readStringTable = [&](const char* key, std::map<std::string, std::string>& stringMap) {
    const toml::node* node = section.get(key);
    if (node == nullptr) return;
    if (!node->is_table()) return reader.addError(*node, std::string(key) + " is not a table");
    for (const auto& [name, value] : *node->as_table()) {
      if (const auto text = value.value_exact<std::string>()) {
        stringMap[std::string(name.str())] = *text;
      } else {
        reader.addError(value, std::string(name.str()) + " is not a string");
      }
    }
  };
  readStringTable("env", config.env);
  readStringTable("files", config.files);
  for (int i = 1; i <= std::max<int>(1, static_cast<int>(count)); ++i) {
    ProcessConfig instance = config;
    if (count > 0) {
      instance.name += std::to_string(i);
      for (std::string& argument : instance.args) argument = replaceIndex(argument, i);
      for (auto& [key, value] : instance.env) value = replaceIndex(value, i);
      for (auto& [key, value] : instance.files) value = replaceIndex(value, i);
    }
    if (!ready.empty()) scenario.readyPatterns[instance.name] = ready;
    scenario.processes.push_back(std::move(instance));
  }
}

void readStep(ScenarioReader& reader, const toml::table& section, Scenario& scenario) {
  reader.rejectUnknownKeys(section, {"at_ms", "do", "on", "any", "way", "value", "tag", "every_ms", "times"});
  Step step;
  step.action = reader.readString(section, "do", "");
  if (!kProcessActions.contains(step.action) && !kLinkActions.contains(step.action))
    reader.addError(section, "do: '" + step.action + "' is no step");
  step.targetPatterns = reader.readStrings(section, "on");
  if (step.targetPatterns.empty())
    reader.addError(section, "on: a step needs a pattern of process or link names");
  for (const std::string& pattern : step.targetPatterns) reader.checkRegex(section, "on", pattern);
  step.pickOne = reader.readBoolean(section, "any", false) || step.targetPatterns.size() > 1;
  step.direction = reader.readString(section, "way", "both");
  if (step.direction != "both" && step.direction != "toward" && step.direction != "back")
    reader.addError(section, "way is not toward, back or both");
  step.value = reader.readNumber(section, "value", 0, -1e9, 1e9);
  step.tag = reader.readString(section, "tag", "copy");
  const auto intervalMs = reader.readInteger(section, "every_ms", 1'000, 1, kMaxTimeMs);
  const auto times = reader.readInteger(section, "times", 1, 1, 1'000);
  const auto firstAtMs = reader.readInteger(section, "at_ms", 0, 0, kMaxTimeMs);
  for (std::int64_t i = 0; i < times; ++i) {
    step.atMs = firstAtMs + i * intervalMs;
    scenario.steps.push_back(step);
  }
}

void readExpectation(ScenarioReader& reader, const toml::table& section, Scenario& scenario) {
  reader.rejectUnknownKeys(section, {"process", "line", "after_ms", "within_ms", "times", "never"});
  Expectation expectation;
  expectation.processPattern = reader.readString(section, "process", ".*");
  expectation.linePattern = reader.readString(section, "line", "");
  reader.checkRegex(section, "process", expectation.processPattern);
  reader.checkRegex(section, "line", expectation.linePattern);
  expectation.afterMs = reader.readInteger(section, "after_ms", 0, 0, kMaxTimeMs);
  expectation.withinMs = reader.readInteger(section, "within_ms", 10'000, 1, kMaxTimeMs);
  expectation.minCount = static_cast<std::size_t>(reader.readInteger(section, "times", 1, 1, 1'000'000));
  expectation.never = reader.readBoolean(section, "never", false);
  if (expectation.linePattern.empty()) reader.addError(section, "line: is missing");
  scenario.expectations.push_back(expectation);
}

template <typename T>
std::vector<T> selectTargets(std::vector<T> candidates, bool pickOne, std::uint64_t randomValue) {
  if (!pickOne || candidates.size() < 2) return candidates;
  return {candidates[randomValue % candidates.size()]};
}

void applyToLink(Harness& harness, const Step& step, const std::string& name, FaultProxy& proxy) {
  harness.timeline().add(
      "harness", name + ": " + step.action + (step.direction == "both" ? "" : " " + step.direction) +
                     (step.value != 0 ? " " + std::to_string(static_cast<std::int64_t>(step.value)) : ""));
  if (step.action == "heal") return proxy.heal();
  if (step.action == "reset") return proxy.resetConnections();
  if (step.action == "refuse") return proxy.refuseConnections(true);
  const auto amount = static_cast<std::size_t>(std::max(0.0, step.value));
  for (const Direction direction : {Direction::clientToServer, Direction::serverToClient}) {
    if (step.direction == (direction == Direction::clientToServer ? "back" : "toward")) continue;
    Faults faults = proxy.faults(direction);
    if (step.action == "cut") faults.cut = true;
    if (step.action == "stall") faults.stalled = true;
    if (step.action == "delay") faults.delay = milliseconds(amount);
    if (step.action == "throttle") faults.bytesPerSecond = amount;
    if (step.action == "reset_after") faults.resetAfterBytes = amount;
    if (step.action == "half_open") faults.suppressEof = true;
    proxy.setFaults(direction, faults);
  }
}

void applyToProcess(Harness& harness, const Step& step, ChildProcess& child) {
  const auto valueUs = static_cast<std::int64_t>(step.value * 1'000);
  const auto testClock = [&]() -> TestClock& {
    if (child.testClock() == nullptr)
      throw std::runtime_error(child.name() + " has no test clock; set clock = true");
    harness.timeline().add("harness", child.name() + ": " + step.action + " " + std::to_string(step.value));
    return *child.testClock();
  };
  const auto requireStopped = [&] {
    if (child.running()) throw std::runtime_error(step.action + ": " + child.name() + " is running");
  };
  if (step.action == "start") return harness.start(child.name());
  if (step.action == "kill") return child.kill();
  if (step.action == "term") return child.sendSignal(SIGTERM);
  if (step.action == "hang_up") return child.sendSignal(SIGHUP);
  if (step.action == "pause") return child.sendSignal(SIGSTOP);
  if (step.action == "wake") return child.sendSignal(SIGCONT);
  if (step.action == "save") return child.saveState(step.tag);
  if (step.action == "disk_full")
    return child.limitFileSize(static_cast<std::uint64_t>(std::max(0.0, step.value)));
  if (step.action == "disk_free") return child.limitFileSize(std::nullopt);
  if (step.action == "clock") return testClock().setRate(step.value);
  if (step.action == "jump_wall") return testClock().jumpWall(valueUs);
  if (step.action == "jump_steady") return testClock().jumpSteady(valueUs);
  requireStopped();
  if (step.action == "lose") return child.eraseState();
  child.restoreState(step.tag);
}

}  // namespace

Scenario parseScenario(const std::string& text, const std::string& path, std::uint64_t seed,
                       const std::filesystem::path& programFolder) {
  ScenarioReader reader(path, seed);
  Scenario scenario;
  try {
    const toml::table root = toml::parse(text, path);
    reader.rejectUnknownKeys(root, {"name", "length_ms", "process", "step", "expect"});
    scenario.name = reader.readString(root, "name", path);
    scenario.durationMs = reader.readInteger(root, "length_ms", 5'000, 1, kMaxTimeMs);
    for (const toml::table* section : reader.readTables(root, "process"))
      readProcess(reader, *section, programFolder, scenario);
    for (const toml::table* section : reader.readTables(root, "step")) readStep(reader, *section, scenario);
    for (const toml::table* section : reader.readTables(root, "expect"))
      readExpectation(reader, *section, scenario);
    if (scenario.processes.empty()) reader.addError(root, "there is no process");
    if (scenario.processes.size() > kMaxProcesses)
      reader.addError(root, "more than " + std::to_string(kMaxProcesses) + " processes");
    if (scenario.steps.size() > kMaxSteps)
      reader.addError(root, "more than " + std::to_string(kMaxSteps) + " steps");
  } catch (const toml::parse_error& error) {
    throw ScenarioErrors(path + ":" + std::to_string(error.source().begin.line) + ": " +
                         std::string(error.description()) + "\n");
  }
  if (!reader.errors().empty()) throw ScenarioErrors(reader.errors());
  std::stable_sort(scenario.steps.begin(), scenario.steps.end(),
                   [](const Step& a, const Step& b) { return a.atMs < b.atMs; });
  return scenario;
}

void performStep(Harness& harness, const Step& step, std::uint64_t randomValue) {
  std::vector<std::string> patterns = step.targetPatterns;
  if (patterns.size() > 1) patterns = {patterns[randomValue % patterns.size()]};
  const bool pickOne = step.pickOne && step.targetPatterns.size() == 1;
  if (kLinkActions.contains(step.action)) {
    const auto links = selectTargets(harness.links(patterns.front()), pickOne, randomValue);
    if (links.empty()) throw std::runtime_error(step.action + ": no link matches " + patterns.front());
    for (const auto& [name, proxy] : links) applyToLink(harness, step, name, *proxy);
    return;
  }
  const auto children = selectTargets(harness.children(patterns.front()), pickOne, randomValue);
  if (children.empty()) throw std::runtime_error(step.action + ": no process matches " + patterns.front());
  for (ChildProcess* child : children) applyToProcess(harness, step, *child);
}

std::vector<std::string> runScenario(Harness& harness, const Scenario& scenario, std::uint64_t seed) {
  std::vector<std::string> failures;
  std::mt19937_64 random(seed ^ 0x9e3779b97f4a7c15ULL);
  for (const ProcessConfig& config : scenario.processes) harness.add(config);
  // Processes start in the order of the file.
  for (const ProcessConfig& config : scenario.processes) {
    harness.start(config.name);
  }
  for (const auto& [name, line] : scenario.readyPatterns) {
    if (!harness.waitForLine(name, line, kReadyTimeout)) failures.push_back(name + " did not become ready");
  }
  if (!failures.empty()) return failures;
  harness.timeline().add("harness", "all processes are ready; the scenario starts");
  const std::int64_t startUs = harness.timeline().nowUs();
  const auto elapsedMs = [&] { return (harness.timeline().nowUs() - startUs) / 1'000; };
  for (const Step& step : scenario.steps) {
    if (step.atMs > elapsedMs()) harness.runFor(milliseconds(step.atMs - elapsedMs()));
    try {
      performStep(harness, step, random());
    } catch (const std::exception& error) {
      failures.push_back("at " + std::to_string(step.atMs) + " ms: " + error.what());
    }
  }
  if (scenario.durationMs > elapsedMs()) harness.runFor(milliseconds(scenario.durationMs - elapsedMs()));
  for (const Expectation& expectation : scenario.expectations) {
    std::size_t matches = 0;
    const std::regex processRegex(expectation.processPattern), lineRegex(expectation.linePattern);
    for (const Timeline::Entry& entry : harness.timeline().entries()) {
      const std::int64_t entryMs = (entry.timeUs - startUs) / 1'000;
      if (entry.timeUs < startUs || entryMs < expectation.afterMs ||
          (!expectation.never && entryMs > expectation.afterMs + expectation.withinMs))
        continue;
      matches += std::regex_match(entry.sourceName, processRegex) && std::regex_search(entry.text, lineRegex);
    }
    if (expectation.never ? matches > 0 : matches < expectation.minCount) {
      failures.push_back(expectation.processPattern + ": '" + expectation.linePattern + "' showed " +
                         std::to_string(matches) + " times, " +
                         (expectation.never ? "none were expected"
                                            : std::to_string(expectation.minCount) + " were expected") +
                         " from " + std::to_string(expectation.afterMs) + " ms on");
    }
  }
  for (ChildProcess* child : harness.children(".*")) {
    if (child->crashCount() > 0) failures.push_back(child->name() + " crashed");
  }
  return failures;
}

}  // namespace quilltide::harness
