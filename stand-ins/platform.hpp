// Builds the platform settings of a forwarder's configuration file. Header-only, so that the tests of src/
// can include it without linking the stand-ins.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

namespace quilltide::standin {

// Settings of one message class.
struct ClassSettings {
  std::string name, effect;  // effect: safe, keyed or unsafe
  double worth = 1, lateWorth = 0.3;
  int deadlineMs = 16'000;
};

// Returns the `settings` object: batches of one message, a period of 1 ms, and all optional features of
// targets enabled (retry delays, cancellation, second copies).
inline nlohmann::json platformSettings(const std::vector<ClassSettings>& classes, int maxCallsInFlight,
                                       int maxOpenMessages) {
  using nlohmann::json;
  json classArray = json::array();
  for (const ClassSettings& settings : classes)
    classArray.push_back({{"name", settings.name},
                          {"effect", settings.effect},
                          {"group", "all"},
                          {"deadlineUs", settings.deadlineMs * 1000},
                          {"onTimeUs", 2'500'000},
                          {"keyTtlUs", 6'000'000},
                          {"worth", settings.worth},
                          {"lateWorth", settings.lateWorth}});
  return {{"classes", std::move(classArray)},
          {"machineTypes", {"large"}},
          {"dcs", {"a"}},
          {"periodUs", 1000},
          {"discovery", "on_request"},
          {"familyInfo",
           {{"callsOut", maxCallsInFlight}, {"decay", "halves"}, {"kindBatch", {1}}, {"kindApart", {false}}}},
          {"limits",
           {{"attemptsCap", 6},
            {"maxOpen", maxOpenMessages},
            {"cancel", true},
            {"connIdleUs", 15'000'000},
            {"connectTimeoutUs", 1'500'000},
            {"maxRetryAfterUs", 2'000'000},
            {"retryAfter", true},
            {"secondCopies", true},
            {"streamsPerConn", 1}}},
          {"rules",
           {{"answerSlackUs", 20'000},
            {"askWithinUs", 10'000'000},
            {"warmAfterUs", 13'000'000},
            {"overloadForUs", 3'000'000},
            {"startCapacity", 0.18},
            {"tipMultiple", 2.0}}}};
}

}  // namespace quilltide::standin
