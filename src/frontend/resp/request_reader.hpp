// Parses the RESP2 requests of one client with the hiredis reader, and bounds the memory that the reader may
// allocate.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "engine/message.hpp"

struct redisReader;

namespace quilltide::net {

// Used on the event loop thread only.
class RequestReader {
 public:
  enum class Result {
    needMoreData,    // the request is incomplete
    request,         // a request was read into `arguments`
    invalidRequest,  // a complete RESP value that is not an array of bulk strings; parsing can continue
    tooLarge,        // exceeds the limits of a request; parsing cannot continue
    protocolError    // malformed, or a length exceeds the limits; parsing cannot continue
  };

  RequestReader();
  ~RequestReader();

  // Appends input. Does not block.
  void feed(const char* bytes, std::size_t count);
  // Discards all input and releases its memory.
  void clear();
  // Parses one request from the input fed so far. `arguments` is only valid after `request`.
  Result readNext(std::vector<std::string>& arguments);
  std::size_t pendingBytes() const { return pendingBytes_; }  // size of the incomplete request, in bytes

 private:
  bool hasInvalidLength() const;

  std::unique_ptr<redisReader, void (*)(redisReader*)> reader_;
  std::size_t pendingBytes_ = 0;
};

}  // namespace quilltide::net
