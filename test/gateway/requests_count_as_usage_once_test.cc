// A request counts as usage of its account once, and only if it has run: a
// count that is off is paid for.

#include <doctest/doctest.h>

#include <atomic>
#include <list>

#include "support/gateway_site.h"
#include "support/loopback_engine.h"
#include "support/scripted_server.h"

namespace pomeloring::test {
namespace {

struct CountCase {
  std::string name;
  std::string path;
  std::vector<std::string> replies;  // Of the upstreams, one each.
  uint64_t counted = 0;
  std::string more_fields = {};
  bool counts_usage = true;
};

TEST_CASE("A request that has run counts once") {
  const std::string event = StreamHead() + StreamEvent(1);
  const std::string rest = StreamHead() + StreamEvent(1) + StreamEvent(2);
  const std::string refusal = SignedReply(503, "busy", "X-Not-Executed: 1\r\n");
  const CountCase cases[] = {
      {"a stream", "/draft/", {event + kStreamEnd}, 1},
      {"a stream that goes on elsewhere",
       "/draft/",
       {event, rest + kStreamEnd},
       1},
      {"a stream without an event", "/ask/", {StreamHead()}, 0},
      {"a request that resumes a stream, which has an id of its own",
       "/draft/",
       {StreamHead() + StreamEvent(2) + kStreamEnd},
       1,
       "Resumes: r0\r\nLast-Event-Id: 1\r\n"},
      {"a plain request", "/stamp/", {SignedReply(200, "ok")}, 1},
      {"a plain request that fails", "/stamp/", {SignedReply(500, "no")}, 1},
      {"a plain request whose reply breaks off",
       "/stamp/",
       {SignedReply(200, "whole").substr(0, 30)},
       1},
      {"a plain request that is retried",
       "/check/",
       {SignedReply(500, "no"), SignedReply(200, "ok")},
       1},
      {"a plain request that is refused", "/stamp/", {refusal}, 0},
      {"a plain request whose refusal does not say that it has not run",
       "/stamp/",
       {SignedReply(503, "busy")},
       1},
      {"a plain request that is not sent", "/stamp/", {}, 0},
      {"without the duty", "/stamp/", {SignedReply(200, "ok")}, 0, {}, false},
  };
  for (const CountCase& each : cases) {
    CAPTURE(each.name);
    std::list<LoopbackEngine> engines;
    std::vector<SiteUpstream> upstreams;
    std::atomic<size_t> arrivals = 0;
    const std::string service =
        each.path == "/draft/" || each.path == "/ask/" ? "engines" : "plain";
    for (size_t i = 0; i < each.replies.size(); ++i) {
      engines.emplace_back([&](const std::string&) {
        const size_t arrival = arrivals++;
        return EngineReply{
            .bytes = each.replies[std::min(arrival, each.replies.size() - 1)]};
      });
      upstreams.push_back(
          {"u" + std::to_string(i), service, engines.back().Address()});
    }
    if (upstreams.empty()) {
      upstreams.push_back({"u0", service, RefusingAddress()});
    }
    const GatewaySite site(upstreams, {}, {.counts_usage = each.counts_usage});
    site.PostRequest(each.path, each.more_fields);
    if (each.counted > 0) {
      CHECK(arrivals >= each.replies.size());
    }
    CHECK(site.Metric("usage_requests_total") == each.counted);
  }
}

}  // namespace
}  // namespace pomeloring::test
