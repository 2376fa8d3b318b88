// The limits of what each kind of peer may send.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace quilltide::net {

// The kind of peer that sends the input of a connection.
enum class InputSource {
  target,             // responses to calls, and responses on connections without a call
  directory,          // the watch on the list of targets
  noticeReceiver,     // the platform's responses to notices
  coordinator,        // responses of a coordinator to members, peers and the command line
  coordinatorClient,  // requests to a coordinator
  httpClient,         // requests to the HTTP frontend
  respClient          // requests to the RESP2 frontend
};
constexpr std::size_t kInputSources = 7;

enum class InputLimit { headBytes, headFields, bodyBytes, bufferedBytes, bytesPerTurn, messageTime };
constexpr std::size_t kInputLimits = 6;

// A message is one response or request; of the watch, its head and then each update.
struct InputLimits {
  std::uint32_t headBytes = 0;    // of the head, and again of all its fields and trailers
  std::uint32_t headFields = 0;   // header fields and trailers
  std::uint64_t bodyBytes = 0;    // decoded; of the watch, of one update
  std::size_t bufferedBytes = 0;  // received and not parsed yet: a head, a chunk header, the trailers
  std::size_t bytesPerTurn = 0;   // read in one turn of the event loop
  std::chrono::milliseconds messageTime{0};  // from the first byte of a message to its last
};

constexpr std::size_t kKiB = 1024;
constexpr std::uint32_t kMaxHeadFields = 100;

// Shared by all connections to one kind of peer. Those that clients of the HTTP frontend get differ in the
// body and the time, which its settings bound.
constexpr InputLimits kTargetInput{8 * kKiB,  kMaxHeadFields, 64 * kKiB,
                                   16 * kKiB, 16 * kKiB,      std::chrono::milliseconds(500)};
// An update that takes longer is of no use: changes bind after 6 s, whether they arrived or not.
constexpr InputLimits kDirectoryInput{8 * kKiB,  kMaxHeadFields, 4096 * kKiB,
                                      16 * kKiB, 16 * kKiB,      std::chrono::seconds(6)};
constexpr InputLimits kNoticeReceiverInput{8 * kKiB,  kMaxHeadFields, 64 * kKiB,
                                           16 * kKiB, 16 * kKiB,      std::chrono::milliseconds(500)};
// Fits all leases or values of a large fleet.
constexpr InputLimits kCoordinatorInput{8 * kKiB,  kMaxHeadFields, 64 * 1024 * kKiB,
                                        16 * kKiB, 16 * kKiB,      std::chrono::seconds(5)};
// Of a forwarder, which reads its fleet's leases and registrations.
constexpr InputLimits kCoordinatorInputOfForwarders{8 * kKiB,  kMaxHeadFields, 8 * 1024 * kKiB,
                                                    16 * kKiB, 16 * kKiB,      std::chrono::seconds(5)};
constexpr InputLimits kCoordinatorClientInput{8 * kKiB,  kMaxHeadFields, 128 * kKiB,
                                              16 * kKiB, 16 * kKiB,      std::chrono::seconds(10)};
constexpr InputLimits kHttpClientInput{8 * kKiB,  kMaxHeadFields, 64 * kKiB,
                                       16 * kKiB, 16 * kKiB,      std::chrono::seconds(10)};
// The requests that have arrived are read to their end in the last turn of a frontend.
constexpr InputLimits kRespClientInput{0,         0,          64 * kKiB,
                                       68 * kKiB, 256 * kKiB, std::chrono::milliseconds(2'200)};

const char* nameOf(InputSource source);
const char* nameOf(InputLimit limit);
// How often peers of this kind have met the limit since the process started. May be called from any thread.
std::uint64_t limitCount(InputSource source, InputLimit limit);

}  // namespace quilltide::net
