// thistleyoke-fleet: shows coordinators, members, leases and values as tables or JSON, changes the set of
// coordinators, and holds leases from the shell.
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>

#include <CLI/App.hpp>
#include <CLI/Config.hpp>
#include <CLI/Formatter.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <iomanip>
#include <iostream>
#include <thread>

#include "clock/alarm.hpp"
#include "fleet/session_client/session_client.hpp"

namespace {

using namespace quilltide::fleet;
using nlohmann::json;
using std::chrono::milliseconds;

constexpr auto kRequestTimeout = milliseconds(3'000);
constexpr int kMaxAttempts = 20;  // covers an election of the coordinators
constexpr auto kRetryPause = milliseconds(200);

struct Response {
  int status = 0;
  json body;
  std::uint64_t from = 0;
};

// Sends a request to one coordinator and waits for the response; status 0: no response.
Response sendRequest(const CoordinatorAddress& coordinator, const std::string& target, const json* body,
                     milliseconds timeout) {
  boost::asio::io_context io;
  JsonCall call(io);
  Response out;
  out.from = coordinator.id;
  call.call(coordinator.http, target, body, timeout, [&](int status, const json& responseBody) {
    out.status = status;
    out.body = responseBody;
  });
  io.run();
  return out;
}

// Sends a request to the leading coordinator, following redirects and retrying during elections.
Response sendToLeader(const std::vector<CoordinatorAddress>& coordinators, const std::string& target,
                      const json* body) {
  Response last;
  CoordinatorSelector selector(idsOf(coordinators), 0);
  for (int attempt = 0; attempt < kMaxAttempts; ++attempt) {
    const std::size_t asked = selector.current();
    last = sendRequest(coordinators[asked], target, body, kRequestTimeout);
    if (last.status == 200 || last.status == 400 || last.status == 404 || last.status == 409) return last;
    selector.recordFailure(asked, namedLeaderIn(last.body));
    if (selector.current() <= asked || last.status == 0) {
      std::this_thread::sleep_for(kRetryPause);
    }
  }
  return last;
}

void printTable(const std::vector<std::vector<std::string>>& rows) {
  std::vector<std::size_t> widths;
  for (const auto& row : rows) {
    widths.resize(std::max(widths.size(), row.size()));
    for (std::size_t i = 0; i < row.size(); ++i) widths[i] = std::max(widths[i], row[i].size());
  }
  for (const auto& row : rows) {
    std::string line;
    for (std::size_t i = 0; i < row.size(); ++i)
      line += row[i] + (i + 1 < row.size() ? std::string(widths[i] - row[i].size() + 2, ' ') : "");
    std::cout << line << "\n";
  }
}

std::string joinNames(const json& nameList) {
  std::string out;
  for (const json& element : nameList) out += (out.empty() ? "" : " ") + element.get<std::string>();
  return out.empty() ? "-" : out;
}

int printStatus(const std::vector<CoordinatorAddress>& coordinators, bool asJson) {
  json all = json::array();
  std::vector<std::vector<std::string>> rows{
      {"COORDINATOR", "STATE", "TERM", "APPLIED", "MEMBERS", "LEASES", "NOTE"}};
  std::size_t reached = 0;
  bool hasLeader = false;
  for (const CoordinatorAddress& coordinator : coordinators) {
    const Response r = sendRequest(coordinator, "/v1/status", nullptr, milliseconds(1'000));
    const std::string id = std::to_string(coordinator.id);
    if (r.status != 200) {
      rows.push_back({id, "not reached", "-", "-", "-", "-", ""});
      all.push_back({{"id", coordinator.id}, {"reached", false}});
      continue;
    }
    json one = r.body;
    one["reached"] = true;
    all.push_back(one);
    if (!one.value("running", false)) {
      rows.push_back({id, "starting", "-", "-", "-", "-", "asks its peers what they know of it"});
      continue;
    }
    ++reached;
    const bool leads = one.value("leads", false);
    hasLeader = hasLeader || leads;
    std::string note;
    if (one.value("id", std::uint64_t{0}) != coordinator.id)
      note = "answers as coordinator " + one["id"].dump();
    if (one.value("barred", false)) note = "waits out terms from before a restore";
    rows.push_back({id, leads ? "leads" : "follows", one["term"].dump(), one["applied"].dump(),
                    one["members"].dump(), one["leases"].dump(), note});
  }
  if (asJson) {
    std::cout << all.dump(2) << std::endl;
  } else {
    printTable(rows);
    if (!hasLeader)
      std::cout
          << "no coordinator leads: nothing is granted or renewed until a majority reaches each other\n";
  }
  return hasLeader ? 0 : 1;
}

int printMembers(const json& body) {
  std::vector<std::vector<std::string>> rows{{"MEMBER", "SESSION", "TERM", "ENDS IN", "HOLDS", "WAITS FOR"}};
  for (const json& m : body["members"])
    rows.push_back({m["name"], m["session"].dump(), m["term_ms"].dump() + " ms",
                    m.contains("ends_in_ms") ? m["ends_in_ms"].dump() + " ms" : "-", joinNames(m["holds"]),
                    joinNames(m["waits"])});
  printTable(rows);
  return 0;
}

int printLeases(const json& body) {
  std::vector<std::vector<std::string>> rows{{"LEASE", "HOLDER", "TOKEN", "STATE", "IN LINE"}};
  for (const json& l : body["leases"])
    rows.push_back({l["lease"], l["holder"], l["token"].dump(),
                    l["recalled"].get<bool>() ? "called back" : "held", joinNames(l["line"])});
  printTable(rows);
  return 0;
}

int printValues(const json& body) {
  std::vector<std::vector<std::string>> rows{{"KEY", "VERSION", "BY", "VALUE"}};
  for (const json& v : body["values"])
    rows.push_back(
        {v["key"], v["version"].dump(), v["by"].get<std::string>().empty() ? "-" : v["by"], v["value"]});
  printTable(rows);
  return 0;
}

const char* eventName(LeaseClient::Event::Kind kind) {
  using Kind = LeaseClient::Event::Kind;
  switch (kind) {
    case Kind::leaseAcquired:
      return "gained";
    case Kind::leaseExpiring:
      return "ending";
    case Kind::leaseRecalled:
      return "recalled";
    case Kind::leaseLost:
      return "lost";
    case Kind::putCompleted:
      return "wrote";
    case Kind::sessionOpened:
      return "opened";
    case Kind::sessionLost:
      return "session_lost";
  }
  return "";
}

// Holds leases until SIGTERM or for `seconds`, and logs their events.
int hold(const std::vector<CoordinatorAddress>& coordinators, const std::vector<std::string>& names,
         const std::string& clientName, int ttlMs, double clockDriftLimit, int seconds) {
  auto logger = spdlog::stdout_logger_st("fleet");
  logger->set_pattern("%Y-%m-%dT%H:%M:%S.%eZ %l %v", spdlog::pattern_time_type::utc);
  logger->flush_on(spdlog::level::trace);
  boost::asio::io_context io(1);
  SessionClient::Settings settings;
  settings.leaseClient.memberName = clientName;
  settings.leaseClient.ttl = static_cast<Micros>(ttlMs) * 1'000;
  settings.leaseClient.maxClockDrift = clockDriftLimit;
  settings.leaseClient.requestTimeout =
      std::min<Micros>(settings.leaseClient.requestTimeout, settings.leaseClient.ttl / 4);
  settings.coordinators = coordinators;
  SessionClient client(io, settings, [&](const LeaseClient::Event& e) {
    logger->info("event={} lease={} token={} left_ms={}", eventName(e.kind), e.lease.empty() ? "-" : e.lease,
                 e.token, e.remaining / 1'000);
  });
  for (const std::string& name : names) client.acquire(name);
  client.start();
  const auto closeSession = [&] { client.close(milliseconds(1'000), [&] { io.stop(); }); };
  boost::asio::signal_set signals(io, SIGTERM, SIGINT);
  signals.async_wait([&](boost::system::error_code error, int) {
    if (!error) closeSession();
  });
  quilltide::clocks::Alarm holdAlarm(io);
  if (seconds > 0) holdAlarm.armAfter(std::chrono::seconds(seconds), closeSession);
  io.run();
  return 0;
}

}  // namespace

int main(int argc, char** argv) {
  std::signal(SIGPIPE, SIG_IGN);
  CLI::App app("Shows a fleet's coordinators, members and leases.", "thistleyoke-fleet");
  std::string coordinatorList;
  bool asJson = false;
  app.add_option("--coordinators", coordinatorList, "ID=ADDRESS:PORT of each coordinator, comma-separated")
      ->envname("THISTLEYOKE_COORDINATORS")
      ->required();
  app.add_flag("--json", asJson, "print the coordinators' JSON response");
  app.require_subcommand(1);
  app.fallthrough();
  CLI::App* statusCommand =
      app.add_subcommand("status", "state of each coordinator; exits with 1 without a leader");
  CLI::App* membersCommand = app.add_subcommand("members", "sessions with their held and awaited leases");
  CLI::App* leasesCommand = app.add_subcommand("leases", "leases with their holders and wait queues");
  CLI::App* valuesCommand = app.add_subcommand("values", "versioned values");
  std::string prefix;
  valuesCommand->add_option("prefix", prefix, "prefix of the keys to show");
  CLI::App* addCommand =
      app.add_subcommand("add-coordinator", "add a coordinator that was started with join = true");
  CLI::App* removeCommand = app.add_subcommand("remove-coordinator", "remove a coordinator from the group");
  std::uint64_t id = 0;
  std::string raft, http;
  addCommand->add_option("id", id)->required();
  addCommand->add_option("raft", raft, "its address for other coordinators")->required();
  addCommand->add_option("http", http, "its address for members")->required();
  removeCommand->add_option("id", id)->required();
  CLI::App* holdCommand = app.add_subcommand("hold", "hold leases until SIGTERM");
  std::vector<std::string> leaseNames;
  std::string clientName = "shell";
  int ttlMs = 10'000, seconds = 0;
  double clockDriftLimit = 0.01;
  holdCommand->add_option("leases", leaseNames)->required();
  holdCommand->add_option("--as", clientName, "the member's name");
  holdCommand->add_option("--term-ms", ttlMs)->check(CLI::Range(200, 3'600'000));
  holdCommand->add_option("--drift", clockDriftLimit, "same as the coordinators' setting")
      ->check(CLI::Range(0.0, 0.2));
  holdCommand->add_option("--seconds", seconds, "how long to hold the leases; 0: until SIGTERM");
  CLI11_PARSE(app, argc, argv);
  try {
    const std::vector<CoordinatorAddress> coordinators = parseCoordinators(coordinatorList);
    if (statusCommand->parsed()) return printStatus(coordinators, asJson);
    if (holdCommand->parsed())
      return hold(coordinators, leaseNames, clientName, ttlMs, clockDriftLimit, seconds);
    std::string target;
    json body;
    if (membersCommand->parsed()) target = "/v1/members";
    if (leasesCommand->parsed()) target = "/v1/leases";
    if (valuesCommand->parsed()) target = "/v1/values?prefix=" + prefix;
    if (addCommand->parsed()) body = {{"do", "add"}, {"id", id}, {"raft", raft}, {"http", http}};
    if (removeCommand->parsed()) body = {{"do", "remove"}, {"id", id}};
    if (!body.is_null()) target = "/v1/coordinators";
    const Response r = sendToLeader(coordinators, target, body.is_null() ? nullptr : &body);
    if (r.status != 200) {
      std::cerr << "thistleyoke-fleet: "
                << (r.status == 0        ? "no coordinator answers"
                    : r.body.is_object() ? r.body.value("error", "no result")
                                         : "no result")
                << std::endl;
      return 1;
    }
    if (asJson || !body.is_null()) {
      std::cout << r.body.dump(asJson ? 2 : -1) << std::endl;
      return 0;
    }
    return membersCommand->parsed()  ? printMembers(r.body)
           : leasesCommand->parsed() ? printLeases(r.body)
                                     : printValues(r.body);
  } catch (const boost::system::system_error& problem) {
    // what() would name a source file of the library.
    std::cerr << "thistleyoke-fleet: " << problem.code().message() << std::endl;
    return 1;
  } catch (const std::exception& problem) {
    std::cerr << "thistleyoke-fleet: " << problem.what() << std::endl;
    return 1;
  }
}
