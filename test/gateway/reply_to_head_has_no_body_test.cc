// A reply to HEAD must be its head alone: the client takes bytes of a body for
// the next reply on the connection.

#include <doctest/doctest.h>

#include "support/gateway_site.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

TEST_CASE("Replies to HEAD have no body, and the connection serves on") {
  ScriptedServer engine({{StreamHead()}});
  ScriptedServer plain({{SignedReply(200, "next")}});
  const GatewaySite site(
      {{"e1", "engines", engine.Address()}, {"u1", "plain", plain.Address()}});
  const std::string fields =
      "Host: site.example\r\nX-Request-Id: r1\r\nX-Key: key-1\r\n";
  std::string requests;
  for (const char* path : {"/draft/1", "/none/1"}) {
    requests += "HEAD " + std::string(path) + " HTTP/1.1\r\n" + fields + "\r\n";
  }
  requests += "HEAD /draft/1 HTTP/1.1\r\nHost: site.example\r\n\r\n";
  requests += "GET /check/1 HTTP/1.1\r\n" + fields + "\r\n";
  std::string rest = site.Send(requests);
  for (const char* status : {"200", "404", "401", "200"}) {
    CAPTURE(rest);
    CHECK(rest.starts_with("HTTP/1.1 " + std::string(status)));
    rest.erase(0, rest.find("\r\n\r\n") + 4);
  }
  CHECK(rest == "next");
}

}  // namespace
}  // namespace pomeloring::test
