#include "endless_forms.hpp"

#include <array>
#include <vector>

namespace quilltide::verification {
namespace {

// Large pieces arrive faster than they are parsed, so they are drawn more often.
constexpr std::array<std::size_t, 9> kPieceBytes = {1, 7, 100, 1'500, 4'096, 16'384, 65'536, 65'536, 65'536};
constexpr std::size_t kMaxWholeResponses = 2, kWholeResponsesInterval = 4;
// Lengths of parts that end: within the limits, close to them and above.
constexpr std::array<std::size_t, 5> kPartBytes = {1, 60, 1'000, 7'900, 12'000};

constexpr std::size_t kLongPartBytes = 7'900;

template <typename Container>
const typename Container::value_type& pick(Random& random, const Container& from) {
  return from[random() % from.size()];
}

std::string filler(Random& random, char character) {
  return std::string(pick(random, kPartBytes), character);
}

std::string statusLine(Random& random) {
  static const std::vector<std::string> kStatuses = {"200 OK",    "204 No Content", "410 Gone", "429 Busy",
                                                     "500 Error", "503 Busy",       "504 Late"};
  return "HTTP/1.1 " + pick(random, kStatuses) + "\r\n";
}

std::string noise(Random& random) {
  std::string bytes(997, '\0');
  for (char& byte : bytes) byte = static_cast<char>(random());
  return bytes;
}

// Parts of a message body that is chunked, from the first chunk on.
EndlessForm chunkedBody(Random& random) {
  const std::vector<EndlessForm> forms = {
      {"chunk size", "", "0"},
      {"chunk extension", "1;", "e"},
      {"chunk extensions", "1", ";a=b"},
      {"quoted chunk extension", "1;a=\"", "q"},
      {"chunk extension after a chunk", "1\r\nx\r\n1;", "e"},
      {"white space after a chunk size", "1", " "},
      {"chunks", "", "1\r\nx\r\n"},
      {"blank lines in chunks", "", "1\r\n\n\r\n"},
      {"chunks with extensions", "", "1;" + filler(random, 'e') + "\r\nx\r\n"},
      {"chunks with long extensions", "", "1;" + std::string(kLongPartBytes, 'e') + "\r\nx\r\n"},
      {"chunks with long quoted extensions", "", "1;a=\"" + std::string(kLongPartBytes, 'q') + "\"\r\nx\r\n"},
      {"empty extensions", "", "1" + std::string(kLongPartBytes, ';') + "\r\nx\r\n"},
      {"a chunk", "FFFFFFF\r\n", "x"},
      {"trailer line", "0\r\nX-T: ", "v"},
      {"trailer name", "0\r\n", "n"},
      {"trailers", "0\r\n", "X-T: v\r\n"},
      {"trailers with values", "0\r\n", "X-T: " + filler(random, 'v') + "\r\n"},
      {"folded trailer", "0\r\nX-T: v\r\n", " c\r\n"}};
  return pick(random, forms);
}

// Parts of a head, behind its first line.
EndlessForm headPart(Random& random) {
  const std::vector<EndlessForm> forms = {{"header name", "", "n"},
                                          {"header value", "X-A: ", "v"},
                                          {"headers", "", "X-A: v\r\n"},
                                          {"headers with values", "", "X-A: " + filler(random, 'v') + "\r\n"},
                                          {"folded header", "X-A: v\r\n", " c\r\n"},
                                          {"white space before a value", "X-A:", " "},
                                          {"transfer codings", "Transfer-Encoding: ", "chunked, "},
                                          {"content length", "Content-Length: ", "0"}};
  return pick(random, forms);
}

EndlessForm body(Random& random) {
  const std::vector<EndlessForm> forms = {
      {"body with a length", "Content-Length: 3000000000\r\n\r\n", "b"},
      {"body with the longest length", "Content-Length: 18446744073709551615\r\n\r\n", "b"},
      {"body without a length", "\r\n", "b"}};
  return pick(random, forms);
}

// A message whose first line is given, or a part of it that does not end.
EndlessForm message(Random& random, const std::string& firstLine,
                    const std::vector<EndlessForm>& firstLines) {
  switch (random() % 8) {
    case 0:
      return pick(random, firstLines);
    case 1:
    case 2: {
      EndlessForm form = headPart(random);
      form.prefix = firstLine + form.prefix;
      return form;
    }
    case 3: {
      EndlessForm form = body(random);
      form.prefix = firstLine + form.prefix;
      return form;
    }
    default: {
      EndlessForm form = chunkedBody(random);
      form.prefix = firstLine + "Transfer-Encoding: chunked\r\n\r\n" + form.prefix;
      return form;
    }
  }
}

EndlessForm withPieces(Random& random, EndlessForm form) {
  form.pieceBytes = pick(random, kPieceBytes);
  return form;
}

}  // namespace

EndlessForm drawResponse(Random& random) {
  const std::vector<EndlessForm> firstLines = {
      {"line breaks before a response", "", "\r\n"},
      {"reason phrase", "HTTP/1.1 200 ", "r"},
      {"version", "HTTP/1.1", "1"},
      {"status", "HTTP/1.1 2", "0"},
      {"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
      {"interim responses with headers", "",
       "HTTP/1.1 103 Early Hints\r\nX-A: " + filler(random, 'v') + "\r\n\r\n"},
      {"responses", "", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"},
      {"responses with bodies", "",
       "HTTP/1.1 503 Busy\r\nContent-Length: 60000\r\n\r\n" + std::string(60'000, 'b')},
      {"noise", "", noise(random)}};
  EndlessForm form = message(random, statusLine(random), firstLines);
  std::string before;
  const bool behindWholeOnes = random() % kWholeResponsesInterval == 0;
  for (std::size_t count = behindWholeOnes ? 1 + random() % kMaxWholeResponses : 0; count > 0; --count)
    before += statusLine(random) + "Content-Length: 2\r\n\r\nok";
  if (!before.empty()) form.name += " behind whole responses";
  form.prefix = before + form.prefix;
  return withPieces(random, std::move(form));
}

EndlessForm drawChunkedBody(Random& random) { return withPieces(random, chunkedBody(random)); }

EndlessForm drawHttpRequest(Random& random) {
  const std::vector<std::string> requests = {
      "POST /v1/messages?class=statut&destination=0&time_left_ms=2000 HTTP/1.1\r\nHost: f\r\n",
      "POST /v1/messages/batch HTTP/1.1\r\nHost: f\r\n", "GET /v1/messages/m HTTP/1.1\r\nHost: f\r\n",
      "POST /v1/session HTTP/1.1\r\nHost: f\r\n"};
  const std::vector<EndlessForm> firstLines = {
      {"line breaks before a request", "", "\r\n"},
      {"method", "", "P"},
      {"target", "GET /", "t"},
      {"query", "GET /v1/messages?", "a=b&"},
      {"version", "GET / HTTP/1.1", "1"},
      {"requests", "", "GET /v1/messages/m HTTP/1.1\r\nHost: f\r\n\r\n"},
      {"noise", "", noise(random)}};
  return withPieces(random, message(random, pick(random, requests), firstLines));
}

EndlessForm drawRespRequest(Random& random) {
  const std::vector<EndlessForm> forms = {
      {"array length", "*", "1"},
      {"bulk length", "*5\r\n$", "1"},
      {"bulk string", "*5\r\n$7\r\nENQUEUE\r\n$65536\r\n", "b"},
      {"bulk strings", "*64\r\n", "$1000\r\n" + std::string(1'000, 'b') + "\r\n"},
      {"nested arrays", "", "*1\r\n"},
      {"number", ":", "1"},
      {"simple string", "+", "s"},
      {"null strings", "*1000\r\n", "$-1\r\n"},
      {"empty arrays", "", "*0\r\n"},
      {"line breaks", "", "\r\n"},
      {"pings", "", "*1\r\n$4\r\nPING\r\n"},
      {"unknown commands", "", "*1\r\n$4\r\nNONE\r\n"},
      {"noise", "", noise(random)}};
  return withPieces(random, pick(random, forms));
}

}  // namespace quilltide::verification
