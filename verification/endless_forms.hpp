// Inputs that do not end: a production of the grammar of HTTP/1.1 or RESP2 that is repeated for ever.
#pragma once

#include <cstddef>
#include <cstdint>
#include <random>
#include <string>

namespace quilltide::verification {

// What a peer sends: `prefix` once, then `unit` until the connection ends, in pieces of `pieceBytes`.
struct EndlessForm {
  std::string name, prefix, unit;
  std::size_t pieceBytes = 1;
};

using Random = std::mt19937_64;

// An HTTP response, behind up to two whole ones.
EndlessForm drawResponse(Random& random);
// What follows the head of a chunked response.
EndlessForm drawChunkedBody(Random& random);
EndlessForm drawHttpRequest(Random& random);
EndlessForm drawRespRequest(Random& random);

}  // namespace quilltide::verification
