#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

TEST_CASE("an idempotent stream resumes elsewhere after its last token") {
  SiteOptions options;
  options.config_text = SmallConfig(3, 1, 4);
  VirtualSite site(options);
  site.RunFor(seconds(3));
  for (auto& [name, upstream] : site.upstreams) {
    upstream.lose_replies = 1;
  }
  const size_t caller = site.Submit(0, "question", "q1");
  site.RunFor(seconds(3));
  REQUIRE(site.callers[caller].outcome);
  CHECK(std::holds_alternative<Answered>(*site.callers[caller].outcome));
  // Each of the three upstreams loses one reply.
  REQUIRE(site.starts.size() == 4);
  CHECK(site.starts[0].resume_from == 0);
  CHECK(site.starts[1].resume_from == 5);
  CHECK(site.starts[0].upstream != site.starts[1].upstream);
}

TEST_CASE("a request that must not be retried ends as unknown") {
  SiteOptions options;
  options.config_text = SmallConfig(3, 1, 4);
  VirtualSite site(options);
  site.RunFor(seconds(3));
  for (auto& [name, upstream] : site.upstreams) {
    upstream.lose_replies = 1;
  }
  const size_t caller = site.Submit(0, "tag", "t1");
  site.RunFor(seconds(3));
  REQUIRE(site.callers[caller].outcome);
  CHECK(std::holds_alternative<OutcomeUnknown>(*site.callers[caller].outcome));
  CHECK(site.starts.size() == 1);
}

}  // namespace
}  // namespace pomeloring::test
