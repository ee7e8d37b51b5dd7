// The pattern: callers give up before their answers. Their upstreams drop the
// work when the connection closes, so it is closed as soon as the caller
// leaves.

#include <doctest/doctest.h>

#include "support/gateway_site.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

constexpr std::chrono::milliseconds kStay{50};
// Half a second is allowed on the users' platform.
constexpr std::chrono::milliseconds kLimit{500};

std::string RequestTo(const std::string& path) {
  return "POST " + path +
         " HTTP/1.1\r\nHost: site.example\r\nX-Request-Id: r1\r\n"
         "X-Key: key-1\r\nX-Deadline-Ms: 1500\r\nContent-Length: 4\r\n\r\n"
         "body";
}

TEST_CASE(
    "A caller that leaves before or within an answer frees its upstream") {
  const Script scripts[] = {
      {"", true},  // No byte yet.
      {StreamHead() + StreamEvent(1), true},
  };
  for (const Script& script : scripts) {
    for (const char* path : {"/ask/1", "/draft/1"}) {
      CAPTURE(script.reply);
      CAPTURE(path);
      ScriptedServer upstream({script});
      const GatewaySite site({{"e1", "engines", upstream.Address()}});
      site.SendWithIdleTimeout(RequestTo(path), kStay);
      CHECK(upstream.IsClosedWithin(kLimit));
    }
  }
}

}  // namespace
}  // namespace pomeloring::test
