// Builds process configurations for coordinators and test clients; implements the fenced resource and HTTP
// requests.
#include "fleet.hpp"

#include <algorithm>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include "platform.hpp"

namespace quilltide::harness {

using nlohmann::json;
using standin::HttpServer;

FencedResource::FencedResource(boost::asio::io_context& io, Timeline& timeline,
                               const tcp::endpoint& listenEndpoint)
    : timeline_(timeline),
      server_(
          io,
          [this](const std::shared_ptr<HttpServer::Connection>& connection) { handleRequest(connection); },
          listenEndpoint) {}

void FencedResource::handleRequest(const std::shared_ptr<HttpServer::Connection>& connection) {
  const json body = json::parse(connection->request().body(), nullptr, false);
  const auto respond = [connection](int status) {
    connection->write(HttpServer::formatResponse(status, "{}"));
    connection->finishRequest();
  };
  if (!body.is_object()) return respond(400);
  Operation operation{body.at("lease"), body.at("member"), body.at("token"), timeline_.nowUs(), 0};
  std::uint64_t& highestToken = highestTokens_[operation.lease];
  if (operation.token < highestToken) {
    ++rejectedCount_;
    timeline_.add("witness", "rejected " + operation.member + " under " + operation.lease + " with token " +
                                 std::to_string(operation.token) + ", highest token is " +
                                 std::to_string(highestToken));
    return respond(409);
  }
  if (operation.token > highestToken)
    timeline_.add("witness", operation.member + " operates under " + operation.lease + " with token " +
                                 std::to_string(operation.token));
  highestToken = operation.token;
  const auto duration = milliseconds(body.at("ms").get<int>());
  // The operation lasts its full duration even if the client has gone by then.
  operation.endUs = operation.beginUs + duration.count() * 1'000;
  operations_.push_back(operation);
  const std::size_t index = operations_.size() - 1;
  connection->runAfter(duration, [this, index, respond] {
    operations_[index].endUs = timeline_.nowUs();
    respond(200);
  });
}

std::size_t FencedResource::countByMember(const std::string& member, std::int64_t sinceUs) const {
  return static_cast<std::size_t>(
      std::count_if(operations_.begin(), operations_.end(), [&](const Operation& operation) {
        return operation.member == member && operation.beginUs >= sinceUs;
      }));
}

std::size_t FencedResource::countUnderLease(const std::string& lease, std::int64_t sinceUs) const {
  return static_cast<std::size_t>(std::count_if(
      operations_.begin(), operations_.end(),
      [&](const Operation& operation) { return operation.lease == lease && operation.beginUs >= sinceUs; }));
}

std::string FencedResource::findOverlap() const {
  std::map<std::string, const Operation*> lastByLease;  // operations are sorted by begin time
  for (const Operation& operation : operations_) {
    const Operation*& previous = lastByLease[operation.lease];
    if (previous != nullptr && previous->token != operation.token && previous->endUs > operation.beginUs)
      return "under " + operation.lease + " " + previous->member + " operated with token " +
             std::to_string(previous->token) + " until " + std::to_string(previous->endUs) + " us, and " +
             operation.member + " with token " + std::to_string(operation.token) + " from " +
             std::to_string(operation.beginUs) + " us on";
    if (previous == nullptr || operation.endUs > previous->endUs) previous = &operation;
  }
  return "";
}

double FencedResource::longestGapMs(const std::string& lease, std::int64_t fromUs) const {
  std::int64_t lastEndUs = fromUs, longestUs = 0;
  for (const Operation& operation : operations_) {
    if (operation.lease != lease || operation.beginUs < fromUs) continue;
    longestUs = std::max(longestUs, operation.beginUs - lastEndUs);
    lastEndUs = std::max(lastEndUs, operation.endUs);
  }
  return static_cast<double>(std::max(longestUs, timeline_.nowUs() - lastEndUs)) / 1'000;
}

namespace {

std::string coordinatorToml(const CoordinatorConfig& config, int id, int coordinatorCount, bool joining) {
  std::string text =
      "[coordinator]\nid = " + std::to_string(id) +
      "\nfleet = \"harness\"\nfolder = \"{state}\"\nlisten = \"{at:http}\"\nraft = \"{at:raft}\"\n" +
      "election_ms = " + std::to_string(config.electionMs) +
      "\nheartbeat_ms = " + std::to_string(config.heartbeatMs) +
      "\nlongest_term_ms = " + std::to_string(config.maxTtlMs) +
      "\nmost_hold_ms = " + std::to_string(config.maxHoldMs) +
      "\ndrift = " + std::to_string(config.maxClockDrift) +
      "\nsegment_kb = 128\nsnapshot_entries = " + std::to_string(config.snapshotEntries) +
      "\ntrailing_entries = " + std::to_string(config.trailingEntries) + "\n";
  if (joining) text += "join = true\n";
  for (int peer = 1; peer <= coordinatorCount; ++peer) {
    if (peer == id) continue;
    const std::string peerName = "k" + std::to_string(peer);
    text += "[[coordinator.peer]]\nid = " + std::to_string(peer) + "\nraft = \"{of:" + peerName +
            ".raft}\"\nhttp = \"{of:" + peerName + ".http}\"\nraft_via = \"{to:" + peerName +
            ".raft}\"\nhttp_via = \"{to:" + peerName + ".http}\"\n";
  }
  return text;
}

ProcessConfig coordinatorProcess(const std::string& program, const CoordinatorConfig& config, int id,
                                 int coordinatorCount, bool joining) {
  return {"k" + std::to_string(id),
          program,
          {"--config", "{folder}/coordinator.toml"},
          {},
          {{"coordinator.toml", coordinatorToml(config, id, coordinatorCount, joining)}},
          config.useTestClock};
}

}  // namespace

void addCoordinators(Harness& harness, const std::string& program, const CoordinatorConfig& config) {
  for (int id = 1; id <= config.count; ++id)
    harness.add(coordinatorProcess(program, config, id, config.count, false));
}

void addJoiningCoordinator(Harness& harness, const std::string& program, const CoordinatorConfig& config,
                           int id) {
  harness.add(coordinatorProcess(program, config, id, config.count, true));
}

std::string coordinatorsArgument(int count) {
  std::string out;
  for (int id = 1; id <= count; ++id)
    out += (id > 1 ? "," : "") + std::to_string(id) + "={to:k" + std::to_string(id) + ".http}";
  return out;
}

void addTestClient(Harness& harness, const std::string& program, const TestClientConfig& config,
                   int coordinators) {
  std::vector<std::string> arguments{"--name",
                                     config.name,
                                     "--coordinators",
                                     coordinatorsArgument(coordinators),
                                     "--witness",
                                     "{to:witness.http}",
                                     "--term-ms",
                                     std::to_string(config.ttlMs),
                                     "--act-ms",
                                     std::to_string(config.operationMs),
                                     "--every-ms",
                                     std::to_string(config.pauseMs),
                                     "--drift",
                                     std::to_string(config.maxClockDrift),
                                     "--give-back-after",
                                     std::to_string(config.releaseAfter)};
  if (config.usePauseHook) {
    arguments.push_back("--hook");
    arguments.push_back("{folder}/hook");
  }
  arguments.push_back("--lease");
  arguments.insert(arguments.end(), config.leases.begin(), config.leases.end());
  harness.add({config.name, program, arguments, {}, {}, config.useTestClock});
}

json forwarderConfig(const std::string& name, int seed, const json& knownTargets) {
  return {{"name", name},
          {"listen", "{at:resp}"},
          {"discovery", "{to:directory.http}"},
          {"seed", std::to_string(seed)},
          {"limits", {{"sockets", 256}, {"memory_mb", 64}, {"disk_mb", 8}}},
          {"known", knownTargets},
          {"settings", standin::platformSettings({{"statut", "safe", 1, 0.5, 24'000},
                                                  {"ordre", "keyed", 2, 0.3, 16'000},
                                                  {"paiement", "unsafe", 5, 0.4, 16'000}},
                                                 32, 2'000)}};
}

std::pair<int, json> sendRequest(Harness& harness, const tcp::endpoint& server, const std::string& target,
                                 const json* body, milliseconds timeout) {
  namespace beast = boost::beast;
  namespace http = beast::http;
  struct Call {
    explicit Call(boost::asio::io_context& io) : stream(io) {}
    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    http::request<http::string_body> request;
    http::response<http::string_body> response;
    int status = 0;
    bool finished = false;
  };
  const auto call = std::make_shared<Call>(harness.io());
  call->request.version(11);
  call->request.method(body != nullptr ? http::verb::post : http::verb::get);
  call->request.target(target);
  call->request.set(http::field::host, "harness");
  if (body != nullptr) call->request.body() = body->dump();
  call->request.prepare_payload();
  call->stream.expires_after(timeout);
  call->stream.async_connect(server, [call](beast::error_code error) {
    if (error) return void(call->finished = true);
    http::async_write(call->stream, call->request, [call](beast::error_code writeError, std::size_t) {
      if (writeError) return void(call->finished = true);
      http::async_read(call->stream, call->buffer, call->response,
                       [call](beast::error_code readError, std::size_t) {
                         call->finished = true;
                         if (!readError) call->status = static_cast<int>(call->response.result_int());
                       });
    });
  });
  harness.waitUntil([&] { return call->finished; }, timeout + milliseconds(500));
  json responseBody = json::parse(call->response.body(), nullptr, false);
  return {call->status, responseBody.is_discarded() ? json::object() : responseBody};
}

std::string findLeader(Harness& harness, int coordinators) {
  std::string leader;
  std::uint64_t highestTerm = 0;
  for (int id = 1; id <= coordinators; ++id) {
    const std::string name = "k" + std::to_string(id);
    if (!harness.child(name).running() || harness.child(name).paused()) continue;
    const auto [status, body] =
        sendRequest(harness, harness.portEndpoint(name, "http"), "/v1/status", nullptr, milliseconds(300));
    if (status != 200 || !body.value("leads", false) || body.value("term", std::uint64_t{0}) < highestTerm)
      continue;
    highestTerm = body.value("term", std::uint64_t{0});
    leader = name;
  }
  return leader;
}

std::string waitForLeader(Harness& harness, int coordinators, milliseconds timeout,
                          const std::string& excluded) {
  std::string leader;
  const auto deadline = std::chrono::steady_clock::now() + timeout;
  while (std::chrono::steady_clock::now() < deadline) {
    leader = findLeader(harness, coordinators);
    if (!leader.empty() && leader != excluded) return leader;
    harness.runFor(milliseconds(10));
  }
  return "";
}

}  // namespace quilltide::harness
