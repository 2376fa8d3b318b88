// Reads thistleyoke.toml by toml++ and tells every mistake in it with its place.
#include "config/product.hpp"

#include <algorithm>

#include "config/platform.hpp"
#include "config/section.hpp"

namespace quilltide::net {
namespace {

std::string joined(const std::vector<std::string>& lines) {
  std::string out;
  for (const std::string& line : lines) out += (out.empty() ? "" : "\n") + line;
  return out;
}

HttpFrontendSettings readHttp(Section& section) {
  HttpFrontendSettings http;
  if (const auto listen = section.text("listen")) {
    try {
      http.listen = parseAddress(*listen);
    } catch (const std::exception& problem) {
      section.complain("listen", problem.what());
    }
  } else {
    section.complain("listen", "is missing: an address with a port, as in \"127.0.0.1:8080\"");
  }
  const auto milliseconds = [&](const char* key, std::int64_t least, std::int64_t most,
                                std::chrono::milliseconds& into) {
    std::int64_t count = into.count();
    section.whole(key, least, most, count);
    into = std::chrono::milliseconds(count);
  };
  section.whole("connections", 4, 100'000, http.connections);
  section.whole("batch_lines", 1, 100'000, http.batchLines);
  section.whole("batch_bytes", 1'024, 64 << 20, http.batchBytes);
  milliseconds("longest_poll_ms", 0, 600'000, http.longestPoll);
  milliseconds("idle_ms", 100, 3'600'000, http.idle);
  milliseconds("request_ms", 100, 600'000, http.request);
  milliseconds("come_again_ms", 1, 600'000, http.comeAgain);
  if (auto answers = section.table("answers")) {
    std::int64_t seconds = http.answers.time / 1'000'000;
    answers->whole("keep_s", 1, 30 * 86'400, seconds);
    http.answers.time = seconds * 1'000'000;
    answers->whole("most", 1, 10'000'000, http.answers.most);
    answers->finish();
  }
  section.finish();
  return http;
}

FleetSettings readFleet(Section& section) {
  FleetSettings fleet;
  fleet.coordinators = section.text("coordinators").value_or("");
  if (fleet.coordinators.empty())
    section.complain("coordinators", "is missing: ID=ADDRESS:PORT of each coordinator, with commas");
  fleet.name = section.text("name").value_or("");
  section.whole("term_ms", 200, 3'600'000, fleet.termMs);
  section.real("drift", 0, 0.2, fleet.drift);
  section.flag("take_over", fleet.takeOver);
  section.whole("gone_after_ms", 0, 86'400'000, fleet.goneAfterMs);
  section.whole("takeovers_at_once", 1, 100, fleet.takeoversAtOnce);
  section.finish();
  return fleet;
}

}  // namespace

ProductErrors::ProductErrors(std::vector<std::string> given)
    : std::runtime_error(joined(given)), lines(std::move(given)) {}

Product parseProduct(const std::string& text, const std::string& path) {
  std::vector<std::string> errors;
  Product product;
  try {
    const toml::table table = toml::parse(text, path);
    Section root(table, "", path, errors);
    if (auto platform = root.table("platform")) {
      product.platformFile = platform->text("config").value_or("");
      product.stateFolder = platform->text("state").value_or("");
      platform->finish();
    }
    if (auto frontends = root.table("doors")) {
      if (auto http = frontends->table("http")) product.http = readHttp(*http);
      frontends->finish();
    }
    if (auto fleet = root.table("fleet")) product.fleet = readFleet(*fleet);
    root.finish();
  } catch (const toml::parse_error& problem) {
    errors.push_back(path + ":" + std::to_string(problem.source().begin.line) + ": " +
                     std::string(problem.description()));
  }
  if (!errors.empty()) throw ProductErrors(std::move(errors));
  return product;
}

Product readProduct(const std::string& path) { return parseProduct(readFile(path), path); }

void checkTogether(const Product& product, const Config& config, const std::string& path) {
  if (!product.http) return;
  constexpr std::size_t kAnswerMemory = 400, kAnswerDisk = 250;  // bytes each, with ids of usual length
  std::vector<std::string> errors;
  const std::size_t most = product.http->answers.most;
  const auto complain = [&](const char* limit, std::size_t need, std::size_t have) {
    errors.push_back(path + ": doors.http.answers.most: " + std::to_string(most) + " answers need " +
                     std::to_string(need) + " bytes, over a quarter of limits." + limit + " (" +
                     std::to_string(have) + " bytes)");
  };
  if (most * kAnswerMemory > config.memoryBytes / 4)
    complain("memory_mb", most * kAnswerMemory, config.memoryBytes);
  if (most * kAnswerDisk > config.diskBytes / 4) complain("disk_mb", most * kAnswerDisk, config.diskBytes);
  if (product.http->listen.port() != 0 && product.http->listen == config.listen)
    errors.push_back(path + ": doors.http.listen: is the address of the platform's own listener");
  if (!errors.empty()) throw ProductErrors(std::move(errors));
}

}  // namespace quilltide::net
