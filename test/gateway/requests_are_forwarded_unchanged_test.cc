// Guards against clients that set fields reserved for the gateway, and against
// ambiguous requests, which an upstream may split differently than the gateway.
// The target, the body and all other end-to-end fields must be forwarded as
// they are.

#include <doctest/doctest.h>

#include "support/gateway_site.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

TEST_CASE("Reserved fields are set and never taken from a client") {
  ScriptedServer upstream({{SignedReply(200, "answer")}});
  const GatewaySite site({{"p1", "plain", upstream.Address()}});
  site.PostRequest(
      "/stamp/1?q=%2F",
      "X-Tenant: two\r\nX-Expect-Instance: p9\r\nX-Kv-Hold: h\r\n"
      "x-pin-ms: 9\r\nX-Kv-Backup: 1.2.3.4:5\r\nKv-From: 1.2.3.4:5/h\r\n"
      "X-Request-Urgency: 0\r\nX-Other: kept\r\n"
      "Connection: keep-alive, X-Hop\r\nX-Hop: dropped\r\n");
  const std::string seen = upstream.Requests().at(0);
  CHECK(seen.starts_with("POST /stamp/1?q=%2F HTTP/1.1\r\n"));
  CHECK(Contains(seen, "Host: site.example\r\n"));
  CHECK(Contains(seen, "X-Request-Id: r1\r\n"));
  CHECK(Contains(seen, "X-Tenant: one\r\n"));
  CHECK(Contains(seen, "X-Expect-Instance: p1\r\n"));
  CHECK(Contains(seen, "X-Other: kept\r\n"));
  CHECK(seen.ends_with("\r\n\r\nbody"));
  for (const char* dropped :
       {"key-1", "two", "p9", "X-Kv-Hold", "x-pin-ms", "X-Kv-Backup", "Kv-From",
        "X-Request-Urgency", "X-Hop"}) {
    CAPTURE(dropped);
    CHECK_FALSE(Contains(seen, dropped));
  }
  const size_t at = seen.find("X-Deadline-Ms: ");
  REQUIRE(at != std::string::npos);
  const int left = std::stoi(seen.substr(at + 15));
  CHECK(left > 0);
  CHECK(left <= 1500);
}

struct RejectedRequest {
  std::string name;
  std::string bytes;
  std::string status;
};

TEST_CASE("Ambiguous, unknown and unauthorized requests reach no upstream") {
  const std::string line = "POST /stamp/1 HTTP/1.1\r\n";
  const std::string host = "Host: site.example\r\n";
  const std::string key = "X-Key: key-1\r\nX-Request-Id: r1\r\n";
  const RejectedRequest cases[] = {
      {"two lengths",
       line + host + key +
           "Content-Length: 4\r\nContent-Length: 5\r\n\r\nbodyx",
       "400"},
      {"length and chunks",
       line + host + key +
           "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"chunks and length",
       line + host + key +
           "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n\r\n0\r\n\r\n",
       "400"},
      {"an unknown coding",
       line + host + key + "Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
       "400"},
      {"two hosts", line + host + host + key + "Content-Length: 0\r\n\r\n",
       "400"},
      {"no host", line + key + "Content-Length: 0\r\n\r\n", "400"},
      {"two ids",
       line + host + key + "X-Request-Id: r2\r\nContent-Length: 0\r\n\r\n",
       "400"},
      {"not HTTP", "what?\r\n\r\n", "400"},
      {"a space before a colon",
       line + host + key + "X-Other : a\r\nContent-Length: 0\r\n\r\n", "400"},
      {"no key", line + host + "Content-Length: 0\r\n\r\n", "401"},
      {"an unknown key",
       line + host + "X-Key: key-2\r\nContent-Length: 0\r\n\r\n", "401"},
      {"an unknown path",
       "POST /none/ HTTP/1.1\r\n" + host + key + "Content-Length: 0\r\n\r\n",
       "404"},
      {"a prefix without its slash",
       "POST /stamp HTTP/1.1\r\n" + host + key + "Content-Length: 0\r\n\r\n",
       "404"},
      {"a header that is too large",
       line + host + key + "X-Large: " + std::string(20000, 'a') + "\r\n\r\n",
       "431"},
  };
  ScriptedServer upstream({{SignedReply(200, "answer")}});
  const GatewaySite site({{"p1", "plain", upstream.Address()}});
  for (const RejectedRequest& c : cases) {
    CAPTURE(c.name);
    CHECK(site.Send(c.bytes).substr(0, 12) == "HTTP/1.1 " + c.status);
  }
  CHECK(upstream.Requests().empty());
}

}  // namespace
}  // namespace pomeloring::test
