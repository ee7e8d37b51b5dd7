// Requests with a prompt part under which engines exit must stop reaching
// engines, while requests that share their other parts are served.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <list>

#include "support/gateway_site.h"
#include "support/prompt_sensitive_engine.h"

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

TEST_CASE("A prompt part does not end engine after engine") {
  std::list<PromptSensitiveEngine> engines;
  std::vector<SiteUpstream> upstreams;
  for (int i = 0; i < kRounds; ++i) {
    engines.emplace_back("dead01");
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
  int fatal_requests = 0;
  for (const PromptSensitiveEngine& engine : engines) {
    fatal_requests += engine.FatalRequests();
  }
  CHECK(fatal_requests <= kMaxFatalRequests);
  CHECK(served >= kRounds / 2);
}

}  // namespace
}  // namespace pomeloring::test
