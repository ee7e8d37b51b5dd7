// Guards against upstreams that work for callers that have disconnected. An
// upstream drops the work when its connection closes, so the gateway closes it
// as soon as the caller disconnects.

#include <doctest/doctest.h>

#include "support/gateway_site.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

constexpr std::chrono::milliseconds kDisconnectAfter{50};
// The users' platform allows half a second.
constexpr std::chrono::milliseconds kMaxCloseDelay{500};

std::string RequestTo(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n"
         "X-Key: key-1\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\n"
         "body";
}

TEST_CASE("A caller's disconnect before or during a reply stops its upstream") {
  const Script scripts[] = {
      {"", true},  // Before the first byte.
      {StreamHead() + StreamEvent(1), true},
  };
  for (const Script& script : scripts) {
    for (const char* path : {"/ask/1", "/draft/1"}) {
      CAPTURE(script.reply);
      CAPTURE(path);
      ScriptedServer upstream({script});
      const GatewaySite site({{"e1", "engines", upstream.Address()}});
      site.SendWithIdleTimeout(RequestTo(path), kDisconnectAfter);
      CHECK(upstream.IsClosedWithin(kMaxCloseDelay));
    }
  }
}

}  // namespace
}  // namespace pomeloring::test
