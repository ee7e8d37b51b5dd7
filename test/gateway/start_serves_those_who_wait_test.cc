// An instance that has just started knows its configuration within moments: a
// caller that comes before is served then. One that comes while the store is
// silent is told soon to come back, and that its request has not run.

#include <doctest/doctest.h>

#include "support/gateway_site.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

TEST_CASE("A request before the first answer of the store is served after it") {
  ScriptedServer upstream({{SignedReply(200, "answer")}});
  const GatewaySite site({{"p1", "plain", upstream.Address()}},
                         std::chrono::milliseconds(50));
  CHECK(site.PostRequest("/stamp/1").starts_with("HTTP/1.1 200"));
}

TEST_CASE("Without any answer of the store it is refused, and has not run") {
  ScriptedServer upstream({{SignedReply(200, "answer")}});
  const GatewaySite site({{"p1", "plain", upstream.Address()}},
                         std::chrono::minutes(1));
  const std::string reply = site.PostRequest("/stamp/1");
  CHECK(reply.starts_with("HTTP/1.1 503"));
  CHECK(reply.find("Retry-After: ") != std::string::npos);
  CHECK(upstream.Requests().empty());
}

}  // namespace
}  // namespace pomeloring::test
