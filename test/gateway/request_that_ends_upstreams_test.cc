// A request under which upstreams exit, and which comes again with the same
// path, caller and body, must stop reaching upstreams, on every kind of route.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <list>

#include "support/gateway_site.h"
#include "support/loopback_engine.h"

namespace pomeloring::test {
namespace {

constexpr int kRounds = 12;
// Three exits tell the request; three more may reach an upstream after that.
constexpr int kMaxFatalRequests = 6;

struct Outcome {
  int fatal_requests = 0;
  int served = 0;  // Of kRounds others.
  std::string first_reply;
  std::string last_reply;
};

Outcome Repeat(const std::string& service,
               const std::string& prefix,
               const std::string& sound_reply) {
  std::atomic<int> fatal_requests{0};
  std::list<LoopbackEngine> engines;
  std::vector<SiteUpstream> upstreams;
  const std::string fatal = prefix + "fatal";
  for (int i = 0; i < kRounds; ++i) {
    engines.emplace_back([&](const std::string& head) -> EngineReply {
      if (head.find(fatal + " ") == std::string::npos) {
        return {.bytes = sound_reply};
      }
      ++fatal_requests;
      return {.exits = true};
    });
    upstreams.push_back(
        {fmt::format("u{}", i), service, engines.back().Address()});
  }
  const GatewaySite site(upstreams);
  Outcome outcome;
  for (int round = 0; round < kRounds; ++round) {
    outcome.last_reply = site.PostRequest(fatal);
    if (round == 0) {
      outcome.first_reply = outcome.last_reply;
    }
    const std::string reply =
        site.PostRequest(fmt::format("{}{}", prefix, round));
    outcome.served += reply.starts_with("HTTP/1.1 200") ? 1 : 0;
  }
  outcome.fatal_requests = fatal_requests;
  return outcome;
}

void CheckOutcome(const Outcome& outcome) {
  CHECK(outcome.fatal_requests <= kMaxFatalRequests);
  CHECK(outcome.served == kRounds);
  // It has run, so that nothing may be promised; a repeat that is refused has
  // not.
  CHECK(outcome.first_reply.starts_with("HTTP/1.1 502"));
  CHECK(outcome.last_reply.starts_with("HTTP/1.1 503"));
  CHECK(outcome.last_reply.find("Retry-After: ") != std::string::npos);
}

TEST_CASE("An idempotent request does not end upstream after upstream") {
  CheckOutcome(Repeat("plain", "/check/", SignedReply(200, "fine")));
}

TEST_CASE("Nor does one that may run once only") {
  CheckOutcome(Repeat("plain", "/stamp/", SignedReply(200, "fine")));
}

TEST_CASE("Nor does a stream") {
  CheckOutcome(
      Repeat("engines", "/draft/",
             StreamHead() + StreamEvent(1) + StreamEvent(2) + kStreamEnd));
}

}  // namespace
}  // namespace pomeloring::test
