#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "link/codec.h"
#include "link/event_stream.h"

namespace pomeloring::test {
namespace {

std::vector<std::string> FeedInPieces(const std::string& bytes,
                                      const std::vector<uint8_t>& lengths) {
  EventStreamReader reader;
  std::vector<std::string> events;
  size_t at = 0;
  for (const uint8_t length : lengths) {
    for (std::string& event : reader.Feed(std::string_view(bytes).substr(
             std::min(at, bytes.size()), length))) {
      events.push_back(std::move(event));
    }
    at += length;
  }
  for (std::string& event : reader.Feed(
           std::string_view(bytes).substr(std::min(at, bytes.size())))) {
    events.push_back(std::move(event));
  }
  return events;
}

TEST_CASE("events do not depend on how the stream is split") {
  CHECK(rc::check("any split", [](const std::vector<std::string>& texts,
                                  const std::vector<uint8_t>& lengths) {
    std::string stream = ": heartbeat\n\n";
    std::vector<std::string> sent;
    for (const std::string& text : texts) {
      std::string line;
      for (const char c : text) {
        line += c == '\n' || c == '\r' ? ' ' : c;
      }
      sent.push_back("x" + line);
      stream += "data: " + sent.back() + "\n\n";
    }
    RC_ASSERT(FeedInPieces(stream, lengths) == sent);
  }));
}

TEST_CASE("any bytes can be read as a stream or decoded as a datagram") {
  CHECK(rc::check("any bytes", [](const std::string& bytes,
                                  const std::vector<uint8_t>& lengths) {
    RC_ASSERT(FeedInPieces(bytes, lengths) == FeedInPieces(bytes, {}));
    DecodeDatagram(bytes);
  }));
}

}  // namespace
}  // namespace pomeloring::test
