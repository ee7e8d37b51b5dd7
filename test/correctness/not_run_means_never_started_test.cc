#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

SiteOptions Options() {
  SiteOptions options;
  options.config_text = SmallConfig(1, 1, 2);
  return options;
}

TEST_CASE("a grant that arrives after the request has ended starts nothing") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const size_t scheduler = site.SchedulerOf("model");
  const size_t entry = site.BystanderOf("model");
  // No message of a scheduler arrives before the request is past its deadline.
  site.CutLink(scheduler, entry, true);
  const size_t successor = 3 - scheduler - entry;  // The third instance.
  site.CutLink(successor, entry, true);
  const size_t caller = site.Submit(entry, "question", "q1");
  site.RunFor(milliseconds(1500));
  REQUIRE(site.callers[caller].outcome);
  CHECK(std::holds_alternative<NotRun>(*site.callers[caller].outcome));
  site.CutLink(scheduler, entry, false);
  site.CutLink(successor, entry, false);
  site.RunFor(seconds(10));
  CHECK(site.callers[caller].executions == 0);
  CHECK(site.callers[caller].answers == 1);
}

TEST_CASE("an instance starts nothing past its deadline after a pause") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const size_t entry = site.BystanderOf("model");
  const size_t caller = site.Submit(entry, "question", "q1");
  site.RunFor(Duration{1500});  // 1.5 ms: the grant is in transit.
  site.Pause(entry);
  site.RunFor(seconds(30));
  site.Resume(entry);
  site.RunFor(seconds(10));
  REQUIRE(site.callers[caller].outcome);
  CHECK(std::holds_alternative<NotRun>(*site.callers[caller].outcome));
  CHECK(site.callers[caller].executions == 0);
}

TEST_CASE(
    "a declined retry does not end a request that may have run as not-run") {
  SiteOptions options = Options();
  options.service_time = milliseconds(300);
  VirtualSite site(options);
  site.RunFor(seconds(3));
  site.upstreams[{"engine-1"}].lose_replies = 1;
  const size_t caller = site.Submit(0, "question", "q1");
  site.RunFor(milliseconds(20));  // It is running.
  site.Mark("engine-1", MarkState::kLeaving);
  site.RunFor(seconds(3));
  CHECK(site.callers[caller].executions == 1);
  REQUIRE(site.callers[caller].outcome);
  CHECK(std::holds_alternative<OutcomeUnknown>(*site.callers[caller].outcome));
}

TEST_CASE("every request that ends as not-run has a retry-after") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  std::vector<size_t> all;
  for (int i = 0; i < 200; ++i) {
    all.push_back(site.Submit(0, "question", "q" + std::to_string(i)));
  }
  site.RunFor(seconds(30));
  int not_run = 0;
  for (const size_t caller : all) {
    REQUIRE(site.callers[caller].outcome);
    const auto* outcome = std::get_if<NotRun>(&*site.callers[caller].outcome);
    if (outcome != nullptr) {
      ++not_run;
      CHECK(outcome->retry_after >= seconds(1));
      CHECK(site.callers[caller].executions == 0);
    }
  }
  CHECK(not_run > 0);
}

}  // namespace
}  // namespace pomeloring::test
