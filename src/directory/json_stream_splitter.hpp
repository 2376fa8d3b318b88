// Splits a stream of JSON objects that arrives in arbitrary chunks.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

#include "net/input_limits.hpp"

namespace quilltide::net {

// Objects follow one another, each on one line or over several. A blank line is a keep-alive. Only finds
// where each object ends and does not parse it; each byte is examined once.
class JsonStreamSplitter {
 public:
  enum class Result { needMore, object, blankLine, malformed, tooLarge };
  static constexpr std::size_t kMaxObjectBytes = kDirectoryInput.bodyBytes;

  void append(std::string_view chunk) { buffer_ += chunk; }
  // Scans the buffered data. With Result::object, `objectText` holds the text of the object.
  Result next(std::string& objectText) {
    while (position_ < buffer_.size()) {
      const char c = buffer_[position_++];
      if (depth_ == 0) {
        if (c == '\n' && !std::exchange(objectOnLine_, false)) return Result::blankLine;
        if (c == '{') {
          objectStart_ = position_ - 1;
          depth_ = 1;
        } else if (std::string_view(" \t\r\n").find(c) == std::string_view::npos) {
          return Result::malformed;
        }
      } else if (inString_) {
        if (escaped_ || c == '\\') {
          escaped_ = !escaped_;
        } else if (c == '"') {
          inString_ = false;
        }
      } else if (c == '"') {
        inString_ = true;
      } else if (c == '{' || c == '[') {
        if (++depth_ > kMaxDepth) return Result::malformed;
      } else if ((c == '}' || c == ']') && --depth_ == 0) {
        objectText = buffer_.substr(objectStart_, position_ - objectStart_);
        discardConsumed();
        objectOnLine_ = true;
        return Result::object;
      }
    }
    if (depth_ == 0) discardConsumed();
    return buffer_.size() > kMaxObjectBytes ? Result::tooLarge : Result::needMore;
  }

 private:
  static constexpr int kMaxDepth = 32;
  void discardConsumed() {
    buffer_.erase(0, position_);
    position_ = 0;
  }

  std::string buffer_;
  std::size_t position_ = 0, objectStart_ = 0;
  int depth_ = 0;
  bool inString_ = false, escaped_ = false;
  bool objectOnLine_ = false;  // an object ended on the current line
};

}  // namespace quilltide::net
