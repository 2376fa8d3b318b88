// Reads one table of a TOML file and collects all errors with file, line and key. Includes toml++, so
// include it from source files only.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

// An assertion of toml++ 3.3 fails on some malformed input ("[[" followed by a byte that cannot start a
// key). Without it, toml++ reports a regular error, as in release builds.
#ifndef NDEBUG
#define TOML_ASSERT(expr) static_cast<void>(0)
#endif
#include <toml++/toml.h>

namespace quilltide::net {

// One table of the file. Keys that were read count as known; reportUnknownKeys() reports the others. The
// referenced table, path and error list must outlive the section.
class TomlSection {
 public:
  TomlSection(const toml::table& table, std::string name, const std::string& path,
              std::vector<std::string>& errors)
      : table_(table), name_(std::move(name)), path_(path), errors_(errors) {}

  // Each read function adds an error if the value has the wrong type.
  std::optional<std::string> readString(const std::string& key) {
    const toml::node* node = find(key);
    if (node == nullptr) return std::nullopt;
    if (const auto value = node->value_exact<std::string>()) return value;
    addError(*node, key, "is not a string");
    return std::nullopt;
  }

  // Reads an integer within [min, max]. Leaves `result` unchanged if the key is missing or invalid.
  template <typename Number>
  void readInteger(const std::string& key, std::int64_t min, std::int64_t max, Number& result) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<std::int64_t>();
    if (!value) return addError(*node, key, "is not a whole number");
    if (*value < min || *value > max) {
      return addError(*node, key,
                      "is " + std::to_string(*value) + ", not from " + std::to_string(min) + " to " +
                          std::to_string(max));
    }
    result = static_cast<Number>(*value);
  }

  void readNumber(const std::string& key, double min, double max, double& result) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto value = node->value<double>();
    if (!value) return addError(*node, key, "is not a number");
    if (*value < min || *value > max)
      return addError(*node, key, "is not from " + std::to_string(min) + " to " + std::to_string(max));
    result = *value;
  }

  void readBool(const std::string& key, bool& result) {
    const toml::node* node = find(key);
    if (node == nullptr) return;
    const auto value = node->value_exact<bool>();
    if (!value) return addError(*node, key, "is not true or false");
    result = *value;
  }

  // Returns the tables of the array [[key]] in order.
  std::vector<TomlSection> readTables(const std::string& key) {
    std::vector<TomlSection> sections;
    const toml::node* node = find(key);
    if (node == nullptr) return sections;
    if (!node->is_array_of_tables()) {
      addError(*node, key, "is not an array of tables");
      return sections;
    }
    for (const toml::node& element : *node->as_array())
      sections.emplace_back(*element.as_table(), fullKey(key), path_, errors_);
    return sections;
  }

  std::optional<TomlSection> readTable(const std::string& key) {
    const toml::node* node = find(key);
    if (node == nullptr) return std::nullopt;
    if (!node->is_table()) {
      addError(*node, key, "is not a table");
      return std::nullopt;
    }
    return TomlSection(*node->as_table(), fullKey(key), path_, errors_);
  }

  // Adds an error for each key that was not read. Call it after all keys were read.
  void reportUnknownKeys() {
    for (const auto& [key, node] : table_) {
      const std::string name(key.str());
      if (!knownKeys_.contains(name)) addError(node, name, "is not known");
    }
  }

  // Adds an error about a key, at the line of its value or of the table.
  void addError(const std::string& key, const std::string& problem) {
    const toml::node* node = table_.get(key);
    addError(node != nullptr ? *node : static_cast<const toml::node&>(table_), key, problem);
  }

 private:
  const toml::node* find(const std::string& key) {
    knownKeys_.insert(key);
    return table_.get(key);
  }
  std::string fullKey(const std::string& key) const { return name_.empty() ? key : name_ + "." + key; }
  void addError(const toml::node& node, const std::string& key, const std::string& problem) {
    const auto line = node.source().begin.line;
    errors_.push_back(path_ + ":" + std::to_string(line) + ": " + fullKey(key) + ": " + problem);
  }

  const toml::table& table_;
  std::string name_;
  const std::string& path_;
  std::vector<std::string>& errors_;
  std::set<std::string> knownKeys_;
};

}  // namespace quilltide::net
