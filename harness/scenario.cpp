// Reads scenarios by toml++, draws what they leave open, and plays them.
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

constexpr std::int64_t kLongest = 600'000;  // ms: a scenario is bounded
constexpr std::size_t kMostProcesses = 100, kMostSteps = 10'000;
constexpr auto kReady = milliseconds(15'000);

const std::set<std::string> kProcessSteps{"start",     "kill",  "term",      "hang_up",    "pause",
                                          "wake",      "lose",  "save",      "roll_back",  "disk_full",
                                          "disk_free", "clock", "jump_wall", "jump_steady"};
const std::set<std::string> kLinkSteps{"cut",       "stall",  "delay", "throttle", "reset_after",
                                       "half_open", "refuse", "reset", "heal"};

class Reader {
 public:
  Reader(std::string path, std::uint64_t seed) : path_(std::move(path)), random_(seed) {}

  void complain(const toml::node& node, const std::string& what) {
    errors_ += path_ + ":" + std::to_string(node.source().begin.line) + ": " + what + "\n";
  }
  const std::string& errors() const { return errors_; }

  std::string text(const toml::table& t, const char* key, const std::string& otherwise) {
    return get<std::string>(t, key, otherwise, "a text");
  }
  bool flag(const toml::table& t, const char* key, bool otherwise) {
    return get(t, key, otherwise, "true or false");
  }
  // A number, or [least, most], of which one is drawn.
  double number(const toml::table& t, const char* key, double otherwise, double least, double most) {
    const toml::node* node = t.get(key);
    if (node == nullptr) return otherwise;
    double value = otherwise;
    if (const toml::array* range = node->as_array()) {
      const auto low = range->size() == 2 ? (*range)[0].value<double>() : std::nullopt;
      const auto high = range->size() == 2 ? (*range)[1].value<double>() : std::nullopt;
      if (!low || !high || *low > *high) {
        complain(*node, std::string(key) + " is neither a number nor [least, most]");
        return otherwise;
      }
      value = std::uniform_real_distribution<double>(*low, *high)(random_);
    } else if (const auto plain = node->value<double>()) {
      value = *plain;
    } else {
      complain(*node, std::string(key) + " is neither a number nor [least, most]");
      return otherwise;
    }
    if (value < least || value > most)
      complain(*node,
               std::string(key) + " is not from " + std::to_string(least) + " to " + std::to_string(most));
    return value;
  }
  std::int64_t whole(const toml::table& t, const char* key, std::int64_t otherwise, std::int64_t least,
                     std::int64_t most) {
    return static_cast<std::int64_t>(number(t, key, static_cast<double>(otherwise),
                                            static_cast<double>(least), static_cast<double>(most)));
  }
  std::vector<std::string> texts(const toml::table& t, const char* key) {
    std::vector<std::string> out;
    const toml::node* node = t.get(key);
    if (node == nullptr) return out;
    if (const auto one = node->value_exact<std::string>()) return {*one};
    const toml::array* all = node->as_array();
    if (all == nullptr) {
      complain(*node, std::string(key) + " is neither a text nor a list of them");
      return out;
    }
    for (const toml::node& each : *all) {
      if (const auto word = each.value_exact<std::string>()) {
        out.push_back(*word);
      } else {
        complain(each, std::string(key) + " holds something that is no text");
      }
    }
    return out;
  }
  void onlyKnown(const toml::table& t, const std::set<std::string>& known) {
    for (const auto& [key, node] : t) {
      if (!known.contains(std::string(key.str()))) complain(node, std::string(key.str()) + " is not known");
    }
  }
  bool isRegex(const toml::table& t, const char* key, const std::string& text) {
    try {
      std::regex unused(text);
      return true;
    } catch (const std::regex_error&) {
      complain(t.get(key) != nullptr ? *t.get(key) : static_cast<const toml::node&>(t),
               std::string(key) + " is no regular expression: " + text);
      return false;
    }
  }
  std::vector<const toml::table*> tables(const toml::table& t, const char* key) {
    std::vector<const toml::table*> out;
    const toml::node* node = t.get(key);
    if (node == nullptr) return out;
    const toml::array* all = node->as_array();
    if (all == nullptr) {
      complain(*node, std::string(key) + " is no list of tables: [[" + key + "]]");
      return out;
    }
    for (const toml::node& each : *all) {
      if (each.is_table()) {
        out.push_back(each.as_table());
      } else {
        complain(each, std::string(key) + " holds something that is no table");
      }
    }
    return out;
  }

 private:
  template <typename T>
  T get(const toml::table& t, const char* key, const T& otherwise, const char* kind) {
    const toml::node* node = t.get(key);
    if (node == nullptr) return otherwise;
    if (const auto value = node->value_exact<T>()) return *value;
    complain(*node, std::string(key) + " is not " + kind);
    return otherwise;
  }

  std::string path_, errors_;
  std::mt19937_64 random_;
};

std::string numbered(std::string text, int number) {
  const std::string place = "{n}";
  for (std::size_t at = text.find(place); at != std::string::npos; at = text.find(place, at))
    text.replace(at, place.size(), std::to_string(number));
  return text;
}

void readProcess(Reader& reader, const toml::table& t, const std::filesystem::path& programs,
                 Scenario& scenario) {
  reader.onlyKnown(t, {"name", "program", "args", "env", "files", "count", "clock", "ready"});
  ChildPlan plan;
  plan.name = reader.text(t, "name", "");
  plan.program = reader.text(t, "program", "");
  plan.args = reader.texts(t, "args");
  plan.clock = reader.flag(t, "clock", false);
  const std::string ready = reader.text(t, "ready", "");
  if (!ready.empty()) reader.isRegex(t, "ready", ready);
  const auto count = reader.whole(t, "count", 0, 1, kMostProcesses);
  if (plan.name.empty() || plan.program.empty())
    return reader.complain(t, "a process needs a name and a program");
  if (plan.program.find('/') == std::string::npos) plan.program = (programs / plan.program).string();
  if (!std::filesystem::exists(plan.program)) reader.complain(t, "there is no program " + plan.program);
  const auto pairs = [&](const char* key, std::map<std::string, std::string>& into) {
    const toml::node* node = t.get(key);
    if (node == nullptr) return;
    if (!node->is_table()) return reader.complain(*node, std::string(key) + " is not a table");
    for (const auto& [name, value] : *node->as_table()) {
      if (const auto text = value.value_exact<std::string>()) {
        into[std::string(name.str())] = *text;
      } else {
        reader.complain(value, std::string(name.str()) + " is not a text");
      }
    }
  };
  pairs("env", plan.env);
  pairs("files", plan.files);
  for (int i = 1; i <= std::max<int>(1, static_cast<int>(count)); ++i) {
    ChildPlan one = plan;
    if (count > 0) {
      one.name += std::to_string(i);
      for (std::string& word : one.args) word = numbered(word, i);
      for (auto& [key, value] : one.env) value = numbered(value, i);
      for (auto& [key, value] : one.files) value = numbered(value, i);
    }
    if (!ready.empty()) scenario.ready[one.name] = ready;
    scenario.processes.push_back(std::move(one));
  }
}

void readStep(Reader& reader, const toml::table& t, Scenario& scenario) {
  reader.onlyKnown(t, {"at_ms", "do", "on", "any", "way", "value", "tag", "every_ms", "times"});
  Step step;
  step.what = reader.text(t, "do", "");
  if (!kProcessSteps.contains(step.what) && !kLinkSteps.contains(step.what))
    reader.complain(t, "do: '" + step.what + "' is no step");
  step.on = reader.texts(t, "on");
  if (step.on.empty()) reader.complain(t, "on: a step needs what it is done to");
  for (const std::string& on : step.on) reader.isRegex(t, "on", on);
  step.any = reader.flag(t, "any", false) || step.on.size() > 1;
  step.way = reader.text(t, "way", "both");
  if (step.way != "both" && step.way != "toward" && step.way != "back")
    reader.complain(t, "way is not toward, back or both");
  step.value = reader.number(t, "value", 0, -1e9, 1e9);
  step.tag = reader.text(t, "tag", "copy");
  const auto every = reader.whole(t, "every_ms", 1'000, 1, kLongest);
  const auto times = reader.whole(t, "times", 1, 1, 1'000);
  const auto at = reader.whole(t, "at_ms", 0, 0, kLongest);
  for (std::int64_t i = 0; i < times; ++i) {
    step.atMs = at + i * every;
    scenario.steps.push_back(step);
  }
}

void readExpectation(Reader& reader, const toml::table& t, Scenario& scenario) {
  reader.onlyKnown(t, {"process", "line", "after_ms", "within_ms", "times", "never"});
  Expectation e;
  e.process = reader.text(t, "process", ".*");
  e.line = reader.text(t, "line", "");
  reader.isRegex(t, "process", e.process);
  reader.isRegex(t, "line", e.line);
  e.afterMs = reader.whole(t, "after_ms", 0, 0, kLongest);
  e.withinMs = reader.whole(t, "within_ms", 10'000, 1, kLongest);
  e.times = static_cast<std::size_t>(reader.whole(t, "times", 1, 1, 1'000'000));
  e.never = reader.flag(t, "never", false);
  if (e.line.empty()) reader.complain(t, "line: an expectation needs one");
  scenario.expectations.push_back(e);
}

template <typename T>
std::vector<T> chosen(std::vector<T> all, bool any, std::uint64_t draw) {
  if (!any || all.size() < 2) return all;
  return {all[draw % all.size()]};
}

void performOnLink(Harness& harness, const Step& step, const std::string& name, FaultProxy& proxy) {
  harness.timeline().add(
      "harness", name + ": " + step.what + (step.way == "both" ? "" : " " + step.way) +
                     (step.value != 0 ? " " + std::to_string(static_cast<std::int64_t>(step.value)) : ""));
  if (step.what == "heal") return proxy.heal();
  if (step.what == "reset") return proxy.reset();
  if (step.what == "refuse") return proxy.refuse(true);
  const auto amount = static_cast<std::size_t>(std::max(0.0, step.value));
  for (const Way way : {Way::toward, Way::back}) {
    if (step.way == (way == Way::toward ? "back" : "toward")) continue;
    Faults faults = proxy.faults(way);
    if (step.what == "cut") faults.cut = true;
    if (step.what == "stall") faults.stalled = true;
    if (step.what == "delay") faults.delay = milliseconds(amount);
    if (step.what == "throttle") faults.bytesPerSecond = amount;
    if (step.what == "reset_after") faults.resetAfter = amount;
    if (step.what == "half_open") faults.hideEnd = true;
    proxy.set(way, faults);
  }
}

void performOnChild(Harness& harness, const Step& step, Child& child) {
  const auto micros = static_cast<std::int64_t>(step.value * 1'000);
  const auto clock = [&]() -> TestClock& {
    if (child.clock() == nullptr)
      throw std::runtime_error(child.name() + " has no clock of the harness's: clock = true");
    harness.timeline().add("harness", child.name() + ": " + step.what + " " + std::to_string(step.value));
    return *child.clock();
  };
  const auto stopped = [&] {
    if (child.running()) throw std::runtime_error(step.what + ": " + child.name() + " is running");
  };
  if (step.what == "start") return harness.start(child.name());
  if (step.what == "kill") return child.kill();
  if (step.what == "term") return child.signal(SIGTERM);
  if (step.what == "hang_up") return child.signal(SIGHUP);
  if (step.what == "pause") return child.signal(SIGSTOP);
  if (step.what == "wake") return child.signal(SIGCONT);
  if (step.what == "save") return child.saveFolder(step.tag);
  if (step.what == "disk_full")
    return child.limitFiles(static_cast<std::uint64_t>(std::max(0.0, step.value)));
  if (step.what == "disk_free") return child.limitFiles(std::nullopt);
  if (step.what == "clock") return clock().rate(step.value);
  if (step.what == "jump_wall") return clock().jumpWall(micros);
  if (step.what == "jump_steady") return clock().jumpSteady(micros);
  stopped();
  if (step.what == "lose") return child.loseFolder();
  child.rollBack(step.tag);
}

}  // namespace

Scenario parseScenario(const std::string& text, const std::string& path, std::uint64_t seed,
                       const std::filesystem::path& programs) {
  Reader reader(path, seed);
  Scenario scenario;
  try {
    const toml::table root = toml::parse(text, path);
    reader.onlyKnown(root, {"name", "length_ms", "process", "step", "expect"});
    scenario.name = reader.text(root, "name", path);
    scenario.lengthMs = reader.whole(root, "length_ms", 5'000, 1, kLongest);
    for (const toml::table* t : reader.tables(root, "process")) readProcess(reader, *t, programs, scenario);
    for (const toml::table* t : reader.tables(root, "step")) readStep(reader, *t, scenario);
    for (const toml::table* t : reader.tables(root, "expect")) readExpectation(reader, *t, scenario);
    if (scenario.processes.empty()) reader.complain(root, "there is no process");
    if (scenario.processes.size() > kMostProcesses)
      reader.complain(root, "more than " + std::to_string(kMostProcesses) + " processes");
    if (scenario.steps.size() > kMostSteps)
      reader.complain(root, "more than " + std::to_string(kMostSteps) + " steps");
  } catch (const toml::parse_error& problem) {
    throw ScenarioErrors(path + ":" + std::to_string(problem.source().begin.line) + ": " +
                         std::string(problem.description()) + "\n");
  }
  if (!reader.errors().empty()) throw ScenarioErrors(reader.errors());
  std::stable_sort(scenario.steps.begin(), scenario.steps.end(),
                   [](const Step& a, const Step& b) { return a.atMs < b.atMs; });
  return scenario;
}

void perform(Harness& harness, const Step& step, std::uint64_t draw) {
  std::vector<std::string> patterns = step.on;
  if (patterns.size() > 1) patterns = {patterns[draw % patterns.size()]};
  const bool any = step.any && step.on.size() == 1;
  if (kLinkSteps.contains(step.what)) {
    const auto links = chosen(harness.links(patterns.front()), any, draw);
    if (links.empty()) throw std::runtime_error(step.what + ": no link is named " + patterns.front());
    for (const auto& [name, proxy] : links) performOnLink(harness, step, name, *proxy);
    return;
  }
  const auto children = chosen(harness.children(patterns.front()), any, draw);
  if (children.empty()) throw std::runtime_error(step.what + ": no process is named " + patterns.front());
  for (Child* child : children) performOnChild(harness, step, *child);
}

std::vector<std::string> play(Harness& harness, const Scenario& scenario, std::uint64_t seed) {
  std::vector<std::string> complaints;
  std::mt19937_64 random(seed ^ 0x9e3779b97f4a7c15ULL);
  for (const ChildPlan& plan : scenario.processes) harness.add(plan);
  // In the order of the file: who is needed first stands first.
  for (const ChildPlan& plan : scenario.processes) {
    harness.start(plan.name);
  }
  for (const auto& [name, line] : scenario.ready) {
    if (!harness.awaitLine(name, line, kReady)) complaints.push_back(name + " did not become ready");
  }
  if (!complaints.empty()) return complaints;
  harness.timeline().add("harness", "all are ready: time 0 of the scenario");
  const std::int64_t zero = harness.timeline().now();
  const auto since = [&] { return (harness.timeline().now() - zero) / 1'000; };
  for (const Step& step : scenario.steps) {
    if (step.atMs > since()) harness.wait(milliseconds(step.atMs - since()));
    try {
      perform(harness, step, random());
    } catch (const std::exception& problem) {
      complaints.push_back("at " + std::to_string(step.atMs) + " ms: " + problem.what());
    }
  }
  if (scenario.lengthMs > since()) harness.wait(milliseconds(scenario.lengthMs - since()));
  for (const Expectation& e : scenario.expectations) {
    std::size_t found = 0;
    const std::regex who(e.process), line(e.line);
    for (const Timeline::Entry& entry : harness.timeline().entries()) {
      const std::int64_t at = (entry.us - zero) / 1'000;
      if (entry.us < zero || at < e.afterMs || (!e.never && at > e.afterMs + e.withinMs)) continue;
      found += std::regex_match(entry.who, who) && std::regex_search(entry.text, line);
    }
    if (e.never ? found > 0 : found < e.times) {
      complaints.push_back(e.process + ": '" + e.line + "' showed " + std::to_string(found) + " times, " +
                           (e.never ? "and must not" : std::to_string(e.times) + " were expected") +
                           " from " + std::to_string(e.afterMs) + " ms on");
    }
  }
  for (Child* child : harness.children(".*")) {
    if (child->crashes() > 0) complaints.push_back(child->name() + " crashed");
  }
  return complaints;
}

}  // namespace quilltide::harness
