// Parser and formatter of the simulator protocol.
#include "wire/wire.hpp"

#include <cctype>
#include <charconv>
#include <cmath>

namespace quilltide::wire {
namespace {

std::int64_t parseInteger(std::string_view text) {
  std::int64_t value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw MalformedLine("not a whole number: '" + std::string(text) + "'");
  }
  return value;
}

double parseNumber(std::string_view text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
    throw MalformedLine("not a number: '" + std::string(text) + "'");
  }
  return value;
}

bool parseFlag(std::string_view text) {
  if (text == "1" || text == "true") return true;
  if (text == "0" || text == "false" || text.empty()) return false;
  throw MalformedLine("not a boolean: '" + std::string(text) + "'");
}

std::vector<std::string> split(std::string_view text, char separator) {
  std::vector<std::string> parts;
  if (text.empty()) return parts;
  std::size_t begin = 0;
  while (true) {
    const std::size_t partEnd = text.find(separator, begin);
    parts.emplace_back(text.substr(begin, partEnd == std::string_view::npos ? partEnd : partEnd - begin));
    if (partEnd == std::string_view::npos) return parts;
    begin = partEnd + 1;
  }
}

LoadReport parseLoadReport(const std::string& text) {
  LoadReport report;
  for (const std::string& entry : split(text, ',')) {
    const std::size_t colon = entry.find(':');
    if (colon == std::string::npos) throw MalformedLine("load metric without ':': '" + entry + "'");
    report[entry.substr(0, colon)] = parseNumber(std::string_view(entry).substr(colon + 1));
  }
  return report;
}

CallResult parseCallResult(const std::string& word) {
  static const std::map<std::string, CallResult> results = {
      {"done", CallResult::succeeded},     {"err", CallResult::error},
      {"busy", CallResult::busy},          {"etimedout", CallResult::timedOut},
      {"econnreset", CallResult::reset},   {"econnrefused", CallResult::connectFailed},
      {"ecanceled", CallResult::canceled}, {"skipped", CallResult::skipped}};
  const auto found = results.find(word);
  if (found == results.end()) throw MalformedLine("unknown call result: '" + word + "'");
  return found->second;
}

std::string toHex(const std::string& bytes) {
  static const char* digits = "0123456789abcdef";
  if (bytes.empty()) return "-";
  std::string digitPairs;
  for (const unsigned char byte : bytes) {
    digitPairs += digits[byte >> 4];
    digitPairs += digits[byte & 15];
  }
  return digitPairs;
}

std::string fromHex(const std::string& text) {
  std::string decoded;
  if (text == "-" || text.empty()) return decoded;
  if (text.size() % 2 != 0) throw MalformedLine("odd number of hexadecimal digits");
  for (std::size_t i = 0; i < text.size(); i += 2) {
    int value = 0;
    const auto [end, error] = std::from_chars(text.data() + i, text.data() + i + 2, value, 16);
    if (error != std::errc() || end != text.data() + i + 2)
      throw MalformedLine("not hexadecimal: '" + text + "'");
    decoded += static_cast<char>(value);
  }
  return decoded;
}

ClassSettings parseClass(const Line& line, const std::string& prefix) {
  ClassSettings settings;
  settings.softDeadline = line.integer(prefix + "onTimeUs", 0);
  settings.deadline = line.integer(prefix + "deadlineUs", 0);
  settings.deliveryValue = line.number(prefix + "worth", 1);
  settings.lateValueShare = line.number(prefix + "lateWorth", 0);
  const std::string effect = line.text(prefix + "effect");
  settings.effect = effect == "safe" ? Effect::safe : effect == "keyed" ? Effect::keyed : Effect::unsafe;
  const std::string group = line.text(prefix + "group");
  settings.keyScope = group == "zone"   ? KeyScope::zone
                      : group == "cell" ? KeyScope::singleTarget
                                        : KeyScope::allTargets;
  settings.keyTtl = line.integer(prefix + "keyTtlUs", 0);
  return settings;
}

}  // namespace

bool Line::has(std::string_view field) const { return fields.find(field) != fields.end(); }

std::string Line::text(std::string_view field) const {
  const auto found = fields.find(field);
  return found == fields.end() ? std::string() : found->second;
}

std::int64_t Line::integer(std::string_view field, std::int64_t fallback) const {
  const auto found = fields.find(field);
  return found == fields.end() ? fallback : parseInteger(found->second);
}

std::int64_t Line::required(std::string_view field) const {
  const auto found = fields.find(field);
  if (found == fields.end()) throw MalformedLine("field '" + std::string(field) + "' is missing");
  return parseInteger(found->second);
}

double Line::number(std::string_view field, double fallback) const {
  const auto found = fields.find(field);
  return found == fields.end() ? fallback : parseNumber(found->second);
}

bool Line::flag(std::string_view field) const {
  const auto found = fields.find(field);
  return found != fields.end() && parseFlag(found->second);
}

Line parseLine(const std::string& raw) {
  Line line;
  const std::vector<std::string> parts = split(raw, '\t');
  if (parts.empty()) return line;
  line.name = parts.front();
  for (std::size_t i = 1; i < parts.size(); ++i) {
    const std::size_t equals = parts[i].find('=');
    if (equals == std::string::npos) throw MalformedLine("field without '=': '" + parts[i] + "'");
    std::string name = parts[i].substr(0, equals);
    std::string value = parts[i].substr(equals + 1);
    if (name == "msg" && line.name == "record") {  // the text may contain tabs
      for (++i; i < parts.size(); ++i) value += '\t' + parts[i];
    }
    line.fields[std::move(name)] = std::move(value);
  }
  return line;
}

Settings parseSettings(const Line& line) {
  Settings settings;
  settings.senderIndex = static_cast<int>(line.integer("me", 0));
  settings.fleetSize = static_cast<int>(line.integer("fleetSize", 1));
  settings.zone = static_cast<int>(line.integer("az", 0));
  settings.maxInFlightCalls = static_cast<int>(line.integer("familyInfo.callsOut", 1));
  settings.maxOpenMessages = static_cast<int>(line.integer("limits.maxOpen", 1));
  settings.maxAttempts = static_cast<int>(line.integer("limits.attemptsCap", 1));
  settings.streamsPerConnection = static_cast<int>(line.integer("limits.streamsPerConn", 1));
  settings.tickInterval = line.integer("periodUs", 0);
  settings.connectionIdleTimeout = line.integer("limits.connIdleUs", 0);
  settings.connectTimeout = line.integer("limits.connectTimeoutUs", 0);
  settings.maxRetryAfter = line.integer("limits.maxRetryAfterUs", 0);
  settings.deadlineGrace = line.integer("rules.answerSlackUs", 0);
  settings.directoryQueryWindow = line.integer("rules.askWithinUs", 0);
  settings.overloadDuration = line.integer("rules.overloadForUs", 0);
  settings.warmUpDuration = line.integer("rules.warmAfterUs", 0);
  settings.initialCapacityShare = line.number("rules.startCapacity", 1);
  settings.overloadFactor = line.number("rules.tipMultiple", 1);
  settings.rejectionCost = line.number("familyInfo.refusedPrice", 0);
  settings.cancelSupported = line.flag("limits.cancel");
  settings.peerMessagesAllowed = line.flag("limits.peerMessages");
  settings.concurrentAttemptsAllowed = line.flag("limits.secondCopies");
  settings.retryAfterSupported = line.flag("limits.retryAfter");
  settings.directoryOnRequest = line.text("discovery") == "on_request";
  settings.valueDecay =
      line.text("familyInfo.decay") == "halves" ? ValueDecay::exponential : ValueDecay::linear;
  const std::string accuracy = line.text("weights");
  settings.capacityAccuracy = accuracy == "nominal" ? CapacityAccuracy::nominal
                              : accuracy == "rough" ? CapacityAccuracy::approximate
                                                    : CapacityAccuracy::none;
  const std::string source = line.text("report.source");
  settings.loadReportSource = source == "answers" ? LoadReportSource::responses
                              : source == "probe" ? LoadReportSource::probes
                                                  : LoadReportSource::none;
  const std::int64_t classCount = line.integer("classes.count", 0);
  for (std::int64_t i = 0; i < classCount; ++i) {
    settings.classes.push_back(parseClass(line, "classes." + std::to_string(i) + "."));
  }
  const std::vector<std::string> perTargetFlags = split(line.text("familyInfo.kindApart"), ',');
  const std::vector<std::string> batchSizes = split(line.text("familyInfo.kindBatch"), ',');
  settings.kinds.resize(std::max(perTargetFlags.size(), batchSizes.size()));
  for (std::size_t i = 0; i < perTargetFlags.size(); ++i)
    settings.kinds[i].limitsPerTarget = parseFlag(perTargetFlags[i]);
  for (std::size_t i = 0; i < batchSizes.size(); ++i)
    settings.kinds[i].maxBatchSize = static_cast<int>(parseInteger(batchSizes[i]));
  for (const std::string& cost : split(line.text("familyInfo.routeFee"), ',')) {
    settings.callCostByZone.push_back(parseNumber(cost));
  }
  return settings;
}

TargetEntry parseTargetEntry(const Line& line) {
  TargetEntry entry;
  entry.target = line.text("target");
  if (entry.target.empty()) throw MalformedLine("field 'target' is missing");
  entry.destination = line.integer("belongsTo", 0);
  entry.kind = static_cast<int>(line.integer("classOfHost", 0));
  entry.zone = static_cast<int>(line.integer("locality", 0));
  entry.ratedCapacity = line.number("rating", 1);
  const std::string availabilityName = line.text("availability");
  entry.availability = availabilityName == "terminating"  ? Availability::draining
                       : availabilityName == "terminated" ? Availability::removed
                                                          : Availability::inService;
  return entry;
}

Arrival parseArrival(const Line& line) {
  Arrival arrival;
  arrival.id = static_cast<MessageId>(line.required("tid"));
  arrival.messageClass = static_cast<int>(line.integer("band", 0));
  arrival.destination = line.integer("farEnd", 0);
  arrival.timeLeft = line.integer("leftUs", 0);
  return arrival;
}

Outcome parseOutcome(const Line& line) {
  Outcome outcome;
  outcome.id = static_cast<MessageId>(line.required("tid"));
  outcome.attempt = static_cast<int>(line.integer("seqNo", 0));
  outcome.target = line.text("target");
  outcome.callResult = parseCallResult(line.text("ending"));
  outcome.duration = line.integer("durationUs", 0);
  const std::int64_t note = line.integer("note", 0);
  if (outcome.callResult == CallResult::busy) outcome.retryDelay = note * 1000;  // milliseconds
  outcome.noFreeSlot = outcome.callResult == CallResult::skipped && note == 1;
  outcome.endsMessage = line.flag("settled");
  if (line.has("healthInfo")) outcome.loadReport = parseLoadReport(line.text("healthInfo"));
  return outcome;
}

PeerMessage parsePeerMessage(const Line& line) {
  return {static_cast<int>(line.integer("by", 0)), fromHex(line.text("msg"))};
}

std::string formatAction(const Action& action) {
  struct Formatter {
    static std::string idField(MessageId messageId) { return "\ttid=" + std::to_string(messageId); }
    std::string operator()(const Call& call) const {
      return "attempt" + idField(call.id) + "\ttarget=" + call.target +
             "\ttimeoutUs=" + std::to_string(call.timeout);
    }
    std::string operator()(const CancelCall& cancel) const {
      return "withdraw" + idField(cancel.id) + "\tseqNo=" + std::to_string(cancel.attempt);
    }
    std::string operator()(const RejectMessage& reject) const {
      return "push_back" + idField(reject.id) + "\tpauseUs=" + std::to_string(reject.retryDelay);
    }
    std::string operator()(const FailMessage& fail) const { return "end_failed" + idField(fail.id); }
    std::string operator()(const SetTimer& timer) const {
      return "after\tfromNowUs=" + std::to_string(timer.delay) + "\tnonce=" + std::to_string(timer.token);
    }
    std::string operator()(const WatchDirectory& watch) const {
      return std::string("stream_changes\tenable=") + (watch.enable ? "1" : "0");
    }
    std::string operator()(const CloseIdleConnections& close) const {
      return "free_links\ttarget=" + close.target;
    }
    std::string operator()(const SendPeerMessage& send) const {
      return "announce\tpeer=" + std::to_string(send.peer) + "\tmsg=" + toHex(send.payload);
    }
    std::string operator()(const Log& log) const { return "record\tmsg=" + log.text; }
  };
  return std::visit(Formatter{}, action);
}

}  // namespace quilltide::wire
