// Where one JSON value ends and the next begins, in a stream that is cut anywhere.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>

namespace quilltide::net {

// Values are objects, one after another, on one line each or indented over many; a line without any is a
// keep-alive. It only finds their ends: nlohmann reads them, and a stream parser would read each list twice.
// A byte is looked at once.
class Values {
 public:
  enum class Next { more, value, blankLine, unreadable };
  static constexpr std::size_t kLongest = 4 << 20;  // bytes of one value

  void feed(std::string_view piece) { text_ += piece; }
  // With `value` its text is in `out`.
  Next next(std::string& out) {
    while (at_ < text_.size()) {
      const char c = text_[at_++];
      if (depth_ == 0) {
        if (c == '\n' && !std::exchange(onThisLine_, false)) return Next::blankLine;
        if (c == '{') {
          from_ = at_ - 1;
          depth_ = 1;
        } else if (std::string_view(" \t\r\n").find(c) == std::string_view::npos) {
          return Next::unreadable;
        }
      } else if (inText_) {
        if (escaped_ || c == '\\') {
          escaped_ = !escaped_;
        } else if (c == '"') {
          inText_ = false;
        }
      } else if (c == '"') {
        inText_ = true;
      } else if (c == '{' || c == '[') {
        if (++depth_ > kDeepest) return Next::unreadable;
      } else if ((c == '}' || c == ']') && --depth_ == 0) {
        out = text_.substr(from_, at_ - from_);
        drop();
        onThisLine_ = true;
        return Next::value;
      }
    }
    if (depth_ == 0) drop();
    return text_.size() > kLongest ? Next::unreadable : Next::more;
  }

 private:
  static constexpr int kDeepest = 32;
  void drop() {
    text_.erase(0, at_);
    at_ = 0;
  }

  std::string text_;
  std::size_t at_ = 0, from_ = 0;
  int depth_ = 0;
  bool inText_ = false, escaped_ = false;
  bool onThisLine_ = false;  // a value has ended on it
};

}  // namespace quilltide::net
