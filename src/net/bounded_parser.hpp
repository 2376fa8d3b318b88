// Parses HTTP messages with limits on their heads that hold however the input arrives. All HTTP messages are
// parsed by it; scripts/lint rejects other parsers.
#pragma once

#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>

#include "net/bounded_input.hpp"

namespace quilltide::net {

// A parser that fails once the header fields and trailers of a message exceed `headFields` or `headBytes`.
// Beast's own limit holds for the part of a head that it has not parsed yet, and does not count the fields,
// each of which takes many times the memory of its text. Not thread-safe.
template <bool IsRequest>
class BoundedParser : public boost::beast::http::parser<IsRequest, boost::beast::http::string_body> {
 public:
  explicit BoundedParser(const InputLimits& limits) : limits_(limits) {
    this->header_limit(limits.headBytes);
    this->body_limit(limits.bodyBytes);
  }

  // Text of the fields parsed so far, in bytes.
  std::size_t headBytes() const { return headBytes_; }
  // Memory that the fields take, in bytes, approximately.
  std::size_t headMemoryBytes() const { return headBytes_ + fields_ * kFieldMemoryBytes; }

 private:
  static constexpr std::size_t kFieldSeparatorBytes = 4;  // a colon, a space and the end of the line
  static constexpr std::size_t kFieldMemoryBytes = 96;    // list and tree nodes, and the allocation

  void on_field_impl(boost::beast::http::field name, boost::beast::string_view nameText,
                     boost::beast::string_view value, boost::system::error_code& error) override {
    headBytes_ += nameText.size() + value.size() + kFieldSeparatorBytes;
    if (++fields_ > limits_.headFields) {
      error = InputError::tooManyFields;
    } else if (headBytes_ > limits_.headBytes) {
      error = boost::beast::http::error::header_limit;
    } else {
      this->get().insert(name, nameText, value);
    }
  }

  const InputLimits limits_;
  std::size_t fields_ = 0, headBytes_ = 0;
};

using RequestParser = BoundedParser<true>;
using ResponseParser = BoundedParser<false>;

}  // namespace quilltide::net
