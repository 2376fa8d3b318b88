// Text protocol of the simulator: parses lines into the types of the public interface and formats actions as
// lines. A line is a name followed by tab-separated key=value fields.
#pragma once

#include <map>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "quilltide/sender.hpp"

namespace quilltide::wire {

// A line or field that cannot be parsed; what() names the field or quotes the text.
struct MalformedLine : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// One line. Numeric and boolean accessors throw MalformedLine if the field is present but not of that type.
struct Line {
  std::string name;
  std::map<std::string, std::string, std::less<>> fields;

  bool has(std::string_view field) const;
  // Returns the field, or an empty string if it is absent.
  std::string text(std::string_view field) const;
  std::int64_t integer(std::string_view field, std::int64_t fallback) const;
  // Throws MalformedLine if the field is absent.
  std::int64_t required(std::string_view field) const;
  double number(std::string_view field, double fallback) const;
  // Accepts 1, true, 0, false and an empty value; false if the field is absent.
  bool flag(std::string_view field) const;
};

// Splits a line without its line end. Throws MalformedLine if a field has no '='.
Line parseLine(const std::string& raw);
// The parsers below ignore unknown fields, use defaults for absent optional ones and throw MalformedLine
// otherwise.
Settings parseSettings(const Line& line);
TargetEntry parseTargetEntry(const Line& line);
Outcome parseOutcome(const Line& line);
Arrival parseArrival(const Line& line);
PeerMessage parsePeerMessage(const Line& line);
// Returns the line for an action, without a line end.
std::string formatAction(const Action& action);

}  // namespace quilltide::wire
