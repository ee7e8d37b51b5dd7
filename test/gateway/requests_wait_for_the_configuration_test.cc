// A newly started instance has its configuration within moments, and requests
// wait for it that long. While the store does not reply, they are rejected soon
// with a Retry-After, and no upstream receives them.

#include <doctest/doctest.h>

#include "support/gateway_site.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

TEST_CASE("A request before the first reply of the store is served after it") {
  ScriptedServer upstream({{SignedReply(200, "answer")}});
  const GatewaySite site({{"p1", "plain", upstream.Address()}},
                         std::chrono::milliseconds(50));
  CHECK(site.PostRequest("/stamp/1").starts_with("HTTP/1.1 200"));
}

TEST_CASE("A request without any reply of the store is rejected unexecuted") {
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
