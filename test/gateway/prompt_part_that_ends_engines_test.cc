// Requests with a prompt part under which engines exit must stop reaching
// engines, while requests that share their other parts are served.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <atomic>
#include <list>

#include "support/gateway_site.h"
#include "support/loopback_engine.h"

namespace pomeloring::test {
namespace {

constexpr int kRounds = 12;
// Five exits tell the part; three more requests may reach an engine after that.
constexpr int kMaxFatalRequests = 8;

std::string PromptField(std::string_view second_part, int own_part) {
  return fmt::format(
      "X-Model: m\r\nX-Token-Counts: 250,20\r\n"
      "X-Prompt-Prefix: a1:100,{}:100,f{:x}:50\r\n",
      second_part, own_part);
}

// Exits as soon as it has begun to reply to a prompt with the part.
EngineReply ReplyTo(const std::string& head, std::atomic<int>& fatal_requests) {
  if (head.find("dead01") != std::string::npos) {
    ++fatal_requests;
    return {.bytes = StreamHead(), .exits = true};
  }
  return {.bytes = StreamHead() + StreamEvent(1) + StreamEvent(2) +
                   StreamEvent(3) + kStreamEnd};
}

TEST_CASE("A prompt part does not end engine after engine") {
  std::atomic<int> fatal_requests{0};
  std::list<LoopbackEngine> engines;
  std::vector<SiteUpstream> upstreams;
  for (int i = 0; i < kRounds; ++i) {
    engines.emplace_back(
        [&](const std::string& head) { return ReplyTo(head, fatal_requests); });
    upstreams.push_back(
        {fmt::format("e{}", i), "engines", engines.back().Address()});
  }
  const GatewaySite site(upstreams);
  int served = 0;
  for (int round = 0; round < kRounds; ++round) {
    site.PostRequest("/draft/1", PromptField("dead01", round));
    const std::string reply =
        site.PostRequest("/draft/1", PromptField("b2", kRounds + round));
    served += reply.find("id: 3") != std::string::npos ? 1 : 0;
  }
  CHECK(fatal_requests <= kMaxFatalRequests);
  CHECK(served >= kRounds / 2);
}

}  // namespace
}  // namespace pomeloring::test
