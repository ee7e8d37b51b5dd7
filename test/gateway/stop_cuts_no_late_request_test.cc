// A request that comes while an instance stops must end before the instance
// does, or must not begin there.

#include <doctest/doctest.h>

#include <atomic>
#include <thread>

#include "support/gateway_site.h"
#include "support/loopback_engine.h"

namespace pomeloring::test {
namespace {

using std::chrono::milliseconds;

struct Case {
  std::string path;
  std::string service;
  milliseconds grace_used;  // When the request comes.
  milliseconds upstream_time;
  std::string status;
  int arrivals;  // At the upstream.
};

std::string ReplyTo(const std::string& path) {
  return path == "/draft/1" ? StreamHead() + StreamEvent(1) + kStreamEnd
                            : SignedReply(200, "done");
}

// Guards against requests that are passed on late in the grace period and cut
// at its end. Their callers wait for 1.5 s; the instance ends after 1.3 s.
TEST_CASE("A request that may outlast a stop is not begun late") {
  const Case cases[] = {
      {"/stamp/1", "plain", milliseconds(100), milliseconds(1400), "503", 0},
      {"/draft/1", "engines", milliseconds(100), milliseconds(1400), "503", 0},
  };
  for (const Case& each : cases) {
    CAPTURE(each.path);
    std::atomic<int> arrivals = 0;
    LoopbackEngine upstream([&](const std::string&) {
      ++arrivals;
      return EngineReply{.silence = each.upstream_time,
                         .rest = ReplyTo(each.path)};
    });
    SiteOptions options;
    options.drain_timeout = std::chrono::seconds(2);
    GatewaySite site({{"e1", each.service, upstream.Address()}}, {}, options);
    // The instance is ready.
    CHECK_FALSE(site.PostRequest("/none/1").empty());
    site.Stop();
    std::this_thread::sleep_for(each.grace_used);
    CHECK(site.PostRequest(each.path).starts_with("HTTP/1.1 " + each.status));
    CHECK(arrivals == each.arrivals);
  }
}

// Guards against refusing more than that: what surely ends in time is served.
TEST_CASE("A request that ends before the stop does is served") {
  LoopbackEngine upstream([&](const std::string&) {
    return EngineReply{.silence = milliseconds(200),
                       .rest = SignedReply(200, "done")};
  });
  GatewaySite site({{"e1", "plain", upstream.Address()}});
  CHECK_FALSE(site.PostRequest("/none/1").empty());
  site.Stop();
  std::this_thread::sleep_for(milliseconds(100));
  CHECK(site.PostRequest("/stamp/1").starts_with("HTTP/1.1 200"));
}

}  // namespace
}  // namespace pomeloring::test
