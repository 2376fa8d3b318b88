// Proof: it makes no difference through which frontend a message comes. The same faults are played through
// RESP2, HTTP and HTTP batches; ends and effects are compared message by message where the fault decides
// them, and held to what is allowed where it races.
#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <mutex>
#include <random>
#include <set>
#include <thread>

#include "latency.hpp"
#include "rude.hpp"
#include "run.hpp"

using namespace quilltide::standin;
using nlohmann::json;

namespace {

constexpr std::size_t kPartners = 5;
const std::string kBoth = "RESP2 and HTTP";

// Which messages a fault concerns, and how: drawn by seed and message alone, so that it is the same at each
// frontend.
class Draw {
 public:
  Draw(std::uint64_t seed, std::string salt) : seed_(seed), salt_(std::move(salt)) {}
  // In [0, 1).
  double of(const std::string& id) const {
    std::uint64_t hash = 14695981039346656037ULL ^ seed_;  // FNV-1a, then mixed by the generator
    for (const char c : salt_ + id.substr(id.find('-')))
      hash = (hash ^ static_cast<unsigned char>(c)) * 1099511628211ULL;
    std::mt19937_64 mix(hash);
    return std::uniform_real_distribution<double>()(mix);
  }

 private:
  std::uint64_t seed_;
  std::string salt_;
};

struct Fault {
  std::string name;
  bool decides;  // the end of each message is decided by the fault, not by who comes first
  // Sets the stand-ins up, before the forwarder starts.
  std::function<void(Run&, std::uint64_t seed)> prepare = [](Run&, std::uint64_t) {};
  // Called with each message's number before it is handed in.
  std::function<void(Run&, std::size_t number, std::size_t count)> during = [](Run&, std::size_t,
                                                                               std::size_t) {};
  // Each message is handed in again in the same breath, changed for some.
  bool again = false;
  bool both = false;      // is played through both frontends at once as well
  bool scripted = false;  // by the partners: a run in which they did nothing wrong shows nothing
};

void scriptAll(Run& run, const Partner::Script& script) {
  for (std::size_t i = 0; i < run.partners(); ++i) run.partner(i).script(script);
}

// Of each `block` messages of a destination one fares so at its first attempt: drawn by seed, never among the
// first ones and never two in a row, so that no breaker opens and each end is the fault's alone.
Fault firstAttempt(const std::string& name, Does does, std::size_t block, bool decides = true) {
  Fault f{name, decides};
  f.scripted = true;
  f.prepare = [name, does, block](Run& run, std::uint64_t seed) {
    scriptAll(run, [draw = Draw(seed, name), does, block](const std::string& id, int attempt) {
      const std::size_t number = std::stoul(id.substr(id.find('-') + 1));
      const std::size_t destination = number / 3 % kPartners;
      const std::size_t turn = number / (3 * kPartners) * 3 + number % 3;  // of its destination's
      const std::string of = "-" + std::to_string(destination) + "-" + std::to_string(turn / block);
      const auto victim = static_cast<std::size_t>(draw.of(of) * static_cast<double>(block / 2));
      return attempt == 0 && turn >= block && turn % block == victim ? does : Does::deliver;
    });
  };
  return f;
}

std::vector<Fault> faults() {
  std::vector<Fault> all;
  all.push_back({"none", true});
  all.push_back(firstAttempt("error after the effect", Does::error, 20));
  all.push_back(firstAttempt("error before the effect", Does::errorUnrun, 20));
  all.push_back(firstAttempt("turned away", Does::busy, 20, false));
  all.push_back(firstAttempt("turned away with a wait", Does::busyWait, 20, false));
  all.push_back(firstAttempt("withdrawn", Does::gone, 6));
  all.push_back(firstAttempt("reset before the effect", Does::resetBefore, 20));
  all.push_back(firstAttempt("reset after the effect", Does::resetAfter, 20));
  all.push_back(firstAttempt("half an answer", Does::halfAnswer, 20));
  all.push_back(firstAttempt("a spoilt answer", Does::spoilt, 20));
  all.push_back(firstAttempt("silence", Does::hang, 40, false));
  Fault twice{"handed in twice", true};
  twice.again = true;
  all.push_back(twice);
  Fault away{"a partner away", false};
  away.during = [](Run& run, std::size_t number, std::size_t count) {
    if (number == count / 4) run.partner(1).away();
    if (number == count / 2) run.partner(1).back(0.3, milliseconds(1'000));
  };
  all.push_back(away);
  Fault limit{"a limit with waits", false};
  limit.prepare = [](Run& run, std::uint64_t) {
    run.partner(2).pace({milliseconds(0), 30, milliseconds(500)});
  };
  all.push_back(limit);
  Fault kill{"SIGKILL", false};
  kill.both = true;
  kill.during = [](Run& run, std::size_t number, std::size_t count) {
    if (number != count / 3 && number != 2 * count / 3) return;
    run.process().kill();
    run.restart();
  };
  all.push_back(kill);
  Fault term{"SIGTERM", false};
  term.both = true;
  term.during = [](Run& run, std::size_t number, std::size_t count) {
    if (number != count / 2) return;
    run.process().signal(SIGTERM);
    run.until([&] { return run.process().ended(milliseconds(0)); }, milliseconds(6'000));
    run.process().kill();
    run.restart();
  };
  all.push_back(term);
  Fault directory{"the directory down", false};
  directory.during = [](Run& run, std::size_t number, std::size_t count) {
    if (number == count / 4) run.directory().down();
    if (number == count / 2) run.directory().up();
  };
  all.push_back(directory);
  return all;
}

struct Outcome {
  std::map<std::string, std::string> ends;  // by the message's number: how told, how ended, effects
  std::vector<std::string> broken;
  std::map<std::string, std::size_t> counts;
  std::size_t misdeeds = 0;
};

Outcome play(const Fault& fault, const std::string& frontend, std::size_t count, std::uint64_t seed) {
  ForwarderProcess::Options options;
  options.slots = 32;
  options.maxOpen = 10'000;
  Run run(FORWARDER, kPartners, options, {milliseconds(1)});
  fault.prepare(run, seed);
  run.start();
  const auto connect = [&]() -> std::unique_ptr<Client> {
    if (frontend == "RESP2") return respClient(run.io(), run.process().resp(), 4);
    if (frontend == "HTTP" || frontend == kBoth) return httpClient(run.io(), run.process().http(), 24);
    return batchClient(run.io(), run.process().http(), 50, milliseconds(4));
  };
  auto client = connect();
  // Requests out on both frontends at once, each message through one of them.
  std::unique_ptr<Client> second;
  if (frontend == kBoth) second = respClient(run.io(), run.process().resp(), 4);
  const std::string prefix = "m";
  const Draw changed(seed, "changed");
  auto next = Clock::now();
  for (std::size_t i = 0; i < count; ++i) {
    fault.during(run, i, count);
    Message m = messageOf(prefix, i, kPartners);
    m.left = milliseconds(12'000);
    run.hand(second && i % 2 == 0 ? *second : *client, frontend, m);
    if (fault.again) {
      if (changed.of(m.id) < 0.3) m.body += " changed";
      run.hand(*client, frontend, m);
    }
    next = std::max(next + std::chrono::microseconds(1'300), Clock::now() - milliseconds(20));
    run.until(next);
  }
  run.until([&] { return run.over(); }, milliseconds(30'000));
  Outcome out;
  out.broken = run.broken();
  for (std::size_t i = 0; i < run.partners(); ++i) out.misdeeds += run.partner(i).misdeeds();
  for (const auto& [id, fate] : run.fates()) {
    // Two of one message travel on connections of their own, so it is no matter which is heard first.
    std::multiset<std::string> words;
    for (const Told& t : fate.told) words.insert(wordOf(t.kind));
    std::string told;
    for (const std::string& word : words) told += (told.empty() ? "" : "+") + word;
    const std::string end = run.endOf(fate);
    // A second copy of a call that seems slow is allowed where a repeat does no harm: there, whether it ran
    // counts.
    const std::size_t ran = run.effects().of(id);
    const std::size_t effects = fate.message.cls == "paiement" ? ran : std::min<std::size_t>(ran, 1);
    out.ends[id] = told + " / " + end + " / " + std::to_string(effects);
    ++out.counts[end];
  }
  return out;
}

// What each class may come to when the end is a matter of who comes first. What breaks a promise in any of
// these is told by Run::broken(); this is the list of ends that may be seen at all.
bool allowed(const Fault& fault, const std::string& end) {
  static const std::set<std::string> usual = {"delivered", "given_up", "handed_back", "refused"};
  if (usual.contains(end)) return true;
  // A connection that broke under a request leaves its client without an answer.
  return end == "no answer" && (fault.name == "SIGKILL" || fault.name == "SIGTERM");
}

// ---- One frontend saturated ----

struct Saturation {
  double quietMs = 0, saturatedMs = 0;  // p99 from the schedule to the answer, medians of the rounds
  double lateMs = 0;                    // the most that this program was behind its own schedule
  std::size_t rude = 0;                 // connections that the rude clients held or had
  bool answered = true;
};

// p99 of a modest load through one frontend.
double p99Of(Run& run, const std::string& frontend, std::size_t messages, std::size_t round, bool& answered,
             double& late) {
  auto client = frontend == "RESP2" ? respClient(run.io(), run.process().resp(), 4)
                                    : httpClient(run.io(), run.process().http(), 8);
  Latencies latencies(messages);
  std::size_t told = 0, taken = 0;
  const auto start = Clock::now();
  for (std::size_t i = 0; i < messages; ++i) {
    const auto due = start + std::chrono::microseconds(2'500) * i;
    run.until(due);
    late = std::max(late, std::chrono::duration<double, std::milli>(Clock::now() - due).count());
    Message m = messageOf("s" + std::to_string(round), i, kPartners);
    client->submit(m, [&, due](const Told& t) {
      ++told;
      taken += t.kind == Told::Kind::taken ? 1 : 0;
      latencies.add(std::chrono::duration<double, std::milli>(Clock::now() - due).count());
    });
  }
  run.until([&] { return told == messages; }, milliseconds(5'000));
  answered = answered && taken == messages;
  return latencies.quantile(0.99);
}

Saturation saturate(const std::string& good, std::size_t messages) {
  ForwarderProcess::Options options;
  options.sockets = 256;
  Run run(FORWARDER, kPartners, options, {milliseconds(1)});
  run.start();
  Saturation out;
  std::vector<double> quiet, loud;
  p99Of(run, good, messages, 0, out.answered, out.lateMs);  // connections and tickets grow; not counted
  constexpr std::size_t kRude = 160;                        // over either frontend's share of 256 descriptors
  for (std::size_t round = 0; round < 3; ++round) {
    quiet.push_back(p99Of(run, good, messages, 1 + 2 * round, out.answered, out.lateMs));
    // On a thread of its own: what the rude do costs this program time too, and that is not what is measured.
    boost::asio::io_context loop;
    RudeClients rude(loop, good == "RESP2" ? run.process().http() : run.process().resp(),
                     good == "RESP2" ? RudeClients::Frontend::http : RudeClients::Frontend::resp, kRude,
                     20'000);
    std::jthread thread([&loop] { loop.run(); });
    run.wait(milliseconds(300));
    loud.push_back(p99Of(run, good, messages, 2 + 2 * round, out.answered, out.lateMs));
    loop.stop();
    thread.join();
    out.rude += rude.opened();
  }
  std::sort(quiet.begin(), quiet.end());
  std::sort(loud.begin(), loud.end());
  out.quietMs = quiet[1];
  out.saturatedMs = loud[1];
  return out;
}

}  // namespace

int main(int argc, char** argv) {
  CLI::App app("Plays the same faults through each frontend and compares the ends.", "doors");
  bool quick = false, verbose = false;
  std::uint64_t seed = 1;
  std::string only;
  app.add_flag("--quick", quick, "fewer messages a fault");
  app.add_option("--seed", seed, "of the faults");
  app.add_option("--only", only, "one fault, by name");
  app.add_flag("--verbose", verbose, "each difference");
  CLI11_PARSE(app, argc, argv);
  std::signal(SIGPIPE, SIG_IGN);
  const std::size_t count = quick ? 300 : 2'000;
  const std::vector<std::string> frontends = {"RESP2", "HTTP", "HTTP batch", kBoth};
  const std::vector<Fault> all = faults();
  struct Job {
    std::size_t fault, frontend;
  };
  std::vector<Job> jobs;
  for (std::size_t f = 0; f < all.size(); ++f) {
    if (!only.empty() && all[f].name != only) continue;
    for (std::size_t d = 0; d < frontends.size(); ++d) {
      if (frontends[d] != kBoth || all[f].both) jobs.push_back({f, d});
    }
  }
  std::vector<std::vector<Outcome>> outcomes(all.size(), std::vector<Outcome>(frontends.size()));
  std::atomic<std::size_t> nextJob = 0;
  std::mutex print;
  std::vector<std::string> errors;
  const auto playOne = [&](std::size_t f, std::size_t d) {
    try {
      outcomes[f][d] = play(all[f], frontends[d], count, seed);
    } catch (const std::exception& problem) {
      const std::lock_guard lock(print);
      errors.push_back(all[f].name + ", " + frontends[d] + ": " + problem.what());
    }
  };
  const auto work = [&] {
    for (std::size_t j; (j = nextJob++) < jobs.size();) playOne(jobs[j].fault, jobs[j].frontend);
  };
  const auto started = Clock::now();
  std::vector<std::thread> threads;
  // Most of a run is waiting; but a machine that is out of breath makes calls look slow, and then the module
  // parks destinations and the ends are no longer the fault's alone.
  const std::size_t lanes = quick ? 8 : 3;
  for (std::size_t i = 0; i < lanes; ++i) threads.emplace_back(work);
  for (std::thread& thread : threads) thread.join();

  // Where the frontends differ, the module may have parked a destination because this machine, with all those
  // plays side by side, was slow. Then the fault alone decides when it is played alone: once more, and that
  // counts. What was broken in the first play stays broken.
  std::size_t alone = 0, brokenBefore = 0;
  for (std::size_t f = 0; f < all.size(); ++f) {
    const auto differs = [&](const Outcome& o) { return !o.ends.empty() && o.ends != outcomes[f][0].ends; };
    if (!all[f].decides || std::none_of(outcomes[f].begin(), outcomes[f].end(), differs)) continue;
    ++alone;
    for (std::size_t d = 0; d < frontends.size(); ++d) {
      if (frontends[d] == kBoth) continue;
      brokenBefore += outcomes[f][d].broken.size();
      playOne(f, d);
    }
  }

  std::size_t differences = 0, broken = brokenBefore, outside = 0, compared = 0, decided = 0, racing = 0;
  for (std::size_t f = 0; f < all.size(); ++f) {
    if (!only.empty() && all[f].name != only) continue;
    ++(all[f].decides ? decided : racing);
    for (std::size_t d = 0; d < frontends.size(); ++d) {
      if (frontends[d] == kBoth && !all[f].both) continue;
      const Outcome& o = outcomes[f][d];
      std::cout << all[f].name << ", " << frontends[d] << ":";
      for (const auto& [end, n] : o.counts) std::cout << " " << end << " " << n;
      std::cout << (all[f].scripted ? "; misdeeds " + std::to_string(o.misdeeds) : "") << "\n";
      if (all[f].scripted && o.misdeeds == 0)
        errors.push_back(all[f].name + ", " + frontends[d] + ": the fault did not happen");
      for (std::size_t i = 0; i < o.broken.size() && (verbose || i < 5); ++i)
        std::cout << "  BROKEN " << o.broken[i] << "\n";
      broken += o.broken.size();
      if (o.ends.size() != count)
        errors.push_back(all[f].name + ", " + frontends[d] + ": not all were handed in");
      for (const auto& [end, n] : o.counts) {
        if (all[f].decides ? false : !allowed(all[f], end)) {
          outside += n;
          std::cout << "  OUTSIDE of what is allowed: " << end << "\n";
        }
      }
      if (!all[f].decides || d == 0) continue;
      std::size_t shown = 0;
      for (const auto& [id, end] : outcomes[f][0].ends) {
        ++compared;
        const auto at = o.ends.find(id);
        const std::string other = at == o.ends.end() ? "nothing" : at->second;
        if (other == end) continue;
        ++differences;
        if (verbose || shown++ < 5)
          std::cout << "  DIFFERS " << id << ": " << end << " by " << frontends[0] << ", " << other << " by "
                    << frontends[d] << "\n";
      }
    }
  }
  // After all else has ended: here times are compared.
  json saturation = json::object();
  if (only.empty() || only == "saturation") {
    for (const char* good : {"RESP2", "HTTP"}) {
      const Saturation s = saturate(good, quick ? 200 : 1'500);
      std::cout << good << " while the other frontend is saturated by " << s.rude << " connections: p99 "
                << s.saturatedMs << " ms, quiet " << s.quietMs << " ms\n";
      // Under this the difference is the scheduler's and not the other frontend's.
      const double kFloorMs = quick ? 50 : 5;  // the quick form runs on any machine, busy ones too
      if (s.saturatedMs > std::max(2 * s.quietMs, kFloorMs))
        errors.push_back(std::string(good) + ": p99 more than doubled beside a saturated frontend");
      if (!s.answered)
        errors.push_back(std::string(good) + ": not all were taken beside a saturated frontend");
      saturation[good] = {{"quiet_p99_ms", s.quietMs},
                          {"saturated_p99_ms", s.saturatedMs},
                          {"late_ms", s.lateMs},
                          {"rude", s.rude}};
    }
  }
  for (const std::string& error : errors) std::cout << "ERROR " << error << "\n";
  const bool holds = differences + broken + outside + errors.size() == 0;
  std::cout << json{{"proof", "doors"},
                    {"seed", seed},
                    {"quick", quick},
                    {"holds", holds},
                    {"faults", decided + racing},
                    {"faults_decided", decided},
                    {"faults_racing", racing},
                    {"doors", frontends.size() - 1},
                    {"messages", jobs.size() * count},
                    {"compared", compared},
                    {"differences", differences},
                    {"played_alone", alone},
                    {"promises_broken", broken},
                    {"outside_allowed", outside},
                    {"saturation", saturation},
                    {"errors", errors.size()},
                    {"seconds", std::chrono::duration<double>(Clock::now() - started).count()}}
                   .dump()
            << std::endl;
  return holds ? 0 : 1;
}
