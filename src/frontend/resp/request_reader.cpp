// Parses RESP2 requests with the hiredis reader, within limits on size and allocation.
#include "frontend/resp/request_reader.hpp"

#include <hiredis/hiredis.h>

#include <algorithm>
#include <charconv>
#include <cstdint>
#include <string_view>

#include "net/input_limits.hpp"

namespace quilltide::net {
namespace {

constexpr std::size_t kMaxArguments = 64;
constexpr std::size_t kMaxLengthLineBytes = 24;  // a RESP length line
constexpr std::size_t kRetainedBufferBytes = 4 * 1024;

const redisReplyObjectFunctions& defaultFunctions() {
  static const redisReplyObjectFunctions functions = [] {
    redisReader* reader = redisReaderCreate();
    const redisReplyObjectFunctions table = *reader->fn;
    redisReaderFree(reader);
    return table;
  }();
  return functions;
}

// hiredis allocates as many elements as the array header announces, and accepts any two bytes as the end of a
// bulk string. The overrides reject arrays that are too long, and bulk strings that do not end in CRLF,
// because a wrong length would shift the boundaries of the following requests.
redisReplyObjectFunctions* boundedFunctions() {
  static redisReplyObjectFunctions functions = [] {
    redisReplyObjectFunctions table = defaultFunctions();
    table.createArray = [](const redisReadTask* task, auto elements) -> void* {
      return static_cast<std::size_t>(elements) > kMaxArguments
                 ? nullptr
                 : defaultFunctions().createArray(task, elements);
    };
    table.createString = [](const redisReadTask* task, char* text, std::size_t length) -> void* {
      return std::string_view(text + length, 2) != "\r\n"
                 ? nullptr
                 : defaultFunctions().createString(task, text, length);
    };
    return table;
  }();
  return &functions;
}

}  // namespace

RequestReader::RequestReader() : reader_(nullptr, redisReaderFree) {}
RequestReader::~RequestReader() = default;

// The reader is created with the first input, so that silent connections allocate none.
void RequestReader::feed(const char* bytes, std::size_t count) {
  if (!reader_) {
    reader_.reset(redisReaderCreateWithFunctions(boundedFunctions()));
    reader_->maxbuf = kRetainedBufferBytes;
  }
  pendingBytes_ += count;
  redisReaderFeed(reader_.get(), bytes, count);
}

void RequestReader::clear() {
  reader_.reset();
  pendingBytes_ = 0;
}

RequestReader::Result RequestReader::readNext(std::vector<std::string>& arguments) {
  if (!reader_ || pendingBytes_ == 0) return Result::needMoreData;
  void* rawReply = nullptr;
  if (redisReaderGetReply(reader_.get(), &rawReply) != REDIS_OK) return Result::protocolError;
  // Arguments that hiredis has already parsed are not in its buffer, so the buffer size alone does not bound
  // the request.
  if (rawReply == nullptr) {
    if (pendingBytes_ > kRespClientInput.bufferedBytes) return Result::tooLarge;
    return hasInvalidLength() ? Result::protocolError : Result::needMoreData;
  }
  pendingBytes_ = reader_->len - reader_->pos;
  const std::unique_ptr<void, decltype(&freeReplyObject)> owner(rawReply, freeReplyObject);
  const auto& request = *static_cast<const redisReply*>(rawReply);
  if (request.type != REDIS_REPLY_ARRAY || request.elements == 0) return Result::invalidRequest;
  arguments.clear();
  for (std::size_t i = 0; i < request.elements; ++i) {
    const redisReply& argument = *request.element[i];
    if (argument.type != REDIS_REPLY_STRING) return Result::invalidRequest;
    arguments.emplace_back(argument.str, static_cast<std::size_t>(argument.len));
  }
  return Result::request;
}

// hiredis waits for a complete bulk string or line whatever its length. A request that would exceed the
// limits is rejected at its length line, before its data arrives.
bool RequestReader::hasInvalidLength() const {
  const std::string_view unparsed(reader_->buf + reader_->pos, reader_->len - reader_->pos);
  const std::size_t lineEnd = unparsed.find("\r\n");
  if (lineEnd == std::string_view::npos) return unparsed.size() > kMaxLengthLineBytes;
  // hiredis has already consumed the type byte.
  if (reader_->ridx < 0 || reader_->rstack[reader_->ridx].type != REDIS_REPLY_STRING) return false;
  std::int64_t length = 0;
  const auto [parsedEnd, parseError] = std::from_chars(unparsed.data(), unparsed.data() + lineEnd, length);
  return parseError != std::errc() || parsedEnd != unparsed.data() + lineEnd || length < 0 ||
         length > static_cast<std::int64_t>(kMaxBodyBytes);
}

}  // namespace quilltide::net
