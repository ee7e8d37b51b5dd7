#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

SiteOptions Options() {
  SiteOptions options;
  options.config_text = SmallConfig(2, 1, 4);
  options.service_time = milliseconds(300);
  return options;
}

TEST_CASE("grants resume within half a second and no running request is cut") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const size_t scheduler = site.SchedulerOf("model");
  const size_t entry = (scheduler + 1) % 3;
  std::vector<size_t> all;
  for (int i = 0; i < 12; ++i) {
    all.push_back(site.Submit(entry, "history", "h" + std::to_string(i)));
  }
  site.RunFor(milliseconds(100));
  site.Crash(scheduler);
  const Time crashed = site.Now();
  const size_t started = site.starts.size();
  site.RunUntil([&] { return site.starts.size() > started; }, seconds(10));
  CHECK(site.Now() - crashed < milliseconds(500));
  site.RunFor(seconds(20));
  for (const size_t caller : all) {
    REQUIRE(site.callers[caller].outcome);
    CHECK(std::holds_alternative<Answered>(*site.callers[caller].outcome));
    CHECK(site.callers[caller].executions == 1);
  }
}

TEST_CASE("a request is scheduled elsewhere while its scheduler is paused") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const size_t scheduler = site.SchedulerOf("model");
  const size_t entry = (scheduler + 1) % 3;
  site.Pause(scheduler);
  const size_t caller = site.Submit(entry, "question", "q1");
  site.RunFor(seconds(1));
  REQUIRE(site.callers[caller].outcome);
  CHECK(std::holds_alternative<Answered>(*site.callers[caller].outcome));
  site.Resume(scheduler);
  site.RunFor(seconds(5));
  // The old scheduler's late grant was returned.
  for (const CellSummary& cell :
       site.hosts[scheduler].instance->Cells(site.Now())) {
    for (const ReplicaSummary& replica : cell.replicas) {
      CHECK(replica.running == 0);
    }
  }
}

}  // namespace
}  // namespace pomeloring::test
