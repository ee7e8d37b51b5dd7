// Once a stream has begun, its client gets events and nothing else: no reply of
// the next upstream or of the gateway, and no end unless the stream is whole.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <thread>

#include "support/gateway_site.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

struct ReceivedStream {
  size_t events = 0;
  bool looks_complete = false;
  std::string rest;  // From the first byte that belongs to no event.
};

// Reads the bytes that a client got: a head, then each event in its own chunk.
ReceivedStream ParseReceived(const std::string& bytes) {
  ReceivedStream stream;
  size_t at = bytes.find("\r\n\r\n");
  at = at == std::string::npos ? bytes.size() : at + 4;
  for (std::string_view rest(std::string_view(bytes).substr(at));
       !rest.empty();) {
    bool is_event = false;
    for (int id = 1; id <= 3 && !is_event; ++id) {
      const std::string event = StreamEvent(id);
      is_event = rest.starts_with(event);
      rest.remove_prefix(is_event ? event.size() : 0);
    }
    stream.events += is_event ? 1 : 0;
    stream.looks_complete = rest == kStreamEnd;
    if (!is_event || stream.looks_complete) {
      stream.rest = stream.looks_complete ? "" : rest;
      break;
    }
  }
  return stream;
}

std::string PostWithDeadline(const GatewaySite& site, const std::string& ms) {
  return site.Send(
      "POST /draft/1 HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n"
      "X-Key: key-1\r\nX-Deadline-Ms: " +
      ms + "\r\nContent-Length: 4\r\n\r\nbody");
}

std::string Chunk(const std::string& bytes) {
  return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

std::string ChunkedReply(unsigned status, const std::string& fields) {
  return fmt::format(
      "HTTP/1.1 {} Reply\r\nX-Request-Id: r1\r\nTransfer-Encoding: chunked\r\n"
      "{}\r\n{}{}",
      status, fields, StreamEvent(2), kStreamEnd);
}

constexpr char kEventStream[] = "Content-Type: text/event-stream\r\n";
constexpr char kSigned[] = "X-Response-Seal: seal-1\r\n";

TEST_CASE("A stream that breaks off never gets the next upstream's reply") {
  const std::string fields = std::string(kSigned) + kEventStream;
  const std::pair<std::string, Script> cases[] = {
      {"an error", {SignedReply(500, "failed")}},
      {"an error of the client's", {SignedReply(404, "failed")}},
      {"an error of the type of a stream",
       {SignedReply(500, "failed", kEventStream)}},
      {"an error with events", {ChunkedReply(500, fields)}},
      {"an error without an end",
       {"HTTP/1.1 500 No\r\nX-Request-Id: r1\r\n\r\n"}},
      {"an error after an interim reply",
       {"HTTP/1.1 100 Continue\r\n\r\n" + SignedReply(502, "no")}},
      {"a refusal",
       {HttpReplyText(503, "full",
                      "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n")}},
      {"a refusal of the type of a stream",
       {HttpReplyText(429, "full",
                      std::string("X-Request-Id: r1\r\nX-Not-Executed: 1\r\n") +
                          kEventStream)}},
      {"a redirection", {SignedReply(302, "", "Location: /\r\n")}},
      {"no content",
       {"HTTP/1.1 204 No Content\r\nX-Request-Id: r1\r\n" +
        std::string(kSigned) + "\r\n"}},
      {"no stream", {SignedReply(200, "whole")}},
      {"a stream of another type",
       {ChunkedReply(200,
                     std::string(kSigned) + "Content-Type: text/plain\r\n")}},
      {"a stream without a signature", {ChunkedReply(200, kEventStream)}},
      {"the reply to another request",
       {HttpReplyText(500, "no", "X-Request-Id: r2\r\n")}},
      {"bytes that are no reply", {"failed\r\n\r\n"}},
      {"nothing", {""}},
      {"silence", {"", true}},
      {"a stream that is an error's text",
       {StreamHead() + Chunk("failed") + kStreamEnd}},
  };
  for (const auto& [name, next] : cases) {
    CAPTURE(name);
    const std::string first = StreamHead() + StreamEvent(1);
    ScriptedServer upstream({{first}, next, next});
    // Two upstreams with one address: attempts follow the order of the scripts.
    const GatewaySite site({{"e1", "engines", upstream.Address()},
                            {"e2", "engines", upstream.Address()}});
    const ReceivedStream stream = ParseReceived(PostWithDeadline(site, "900"));
    CHECK(stream.events == 1);
    CHECK(stream.rest.empty());
    CHECK_FALSE(stream.looks_complete);
    CHECK(upstream.Requests().size() >= 2);
  }
}

TEST_CASE("A stream that breaks off stays truncated if no upstream is left") {
  ScriptedServer upstream({{StreamHead() + StreamEvent(1)}});
  const GatewaySite site({{"e1", "engines", upstream.Address()}});
  const ReceivedStream stream = ParseReceived(PostWithDeadline(site, "900"));
  CHECK(stream.events == 1);
  CHECK(stream.rest.empty());
  CHECK_FALSE(stream.looks_complete);
}

// The only upstream that is left has asked for a pause, and the deadline passes
// meanwhile.
TEST_CASE("A stream stays truncated if its time is over while it waits") {
  // On a busy machine, the pause may be over before it matters.
  uint64_t waits = 0;
  for (int tries = 0; tries < 20 && waits == 0; ++tries) {
    const std::string one = StreamHead() + StreamEvent(1);
    ScriptedServer upstream(
        {{HttpReplyText(503, "",
                        "X-Request-Id: r1\r\nX-Not-Executed: 1\r\n"
                        "Retry-After: 0.115\r\n")},
         {one + kStreamEnd},
         {one},
         {one + kStreamEnd}});
    const GatewaySite site({{"e1", "engines", upstream.Address()},
                            {"e2", "engines", upstream.Address()}});
    std::thread first([&] { PostWithDeadline(site, "1500"); });
    while (upstream.Requests().size() < 2) {
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
    const std::string received = PostWithDeadline(site, "80");
    first.join();
    CAPTURE(received);
    waits = site.Metric("deferrals_total");
    const ReceivedStream stream = ParseReceived(received);
    CHECK(stream.rest.empty());
    CHECK_FALSE((waits > 0 && stream.looks_complete));
    CHECK((waits == 0 || stream.events == 1));
  }
  CHECK(waits > 0);
}

}  // namespace
}  // namespace pomeloring::test
