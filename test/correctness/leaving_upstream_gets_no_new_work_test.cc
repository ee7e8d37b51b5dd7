#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

SiteOptions Options() {
  SiteOptions options;
  options.config_text = SmallConfig(2, 1, 4);
  return options;
}

int StartsAfter(const VirtualSite& site, const std::string& name, Time after) {
  int starts = 0;
  for (const VirtualSite::Start& start : site.starts) {
    starts += start.upstream.value == name && start.at > after ? 1 : 0;
  }
  return starts;
}

void SubmitQuestions(VirtualSite& site, const std::string& prefix, int count) {
  for (int i = 0; i < count; ++i) {
    site.Submit(static_cast<size_t>(i) % 3, "question",
                prefix + std::to_string(i));
    site.RunFor(milliseconds(50));
  }
}

TEST_CASE("an upstream that an operator marked gets no new work") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  site.Mark("engine-1", MarkState::kLeaving);
  site.RunFor(seconds(1));
  const Time marked = site.Now();
  SubmitQuestions(site, "a", 30);
  CHECK(StartsAfter(site, "engine-1", marked) == 0);
  CHECK(StartsAfter(site, "engine-2", marked) == 30);
  site.Mark("engine-1", MarkState::kInService);
  site.RunFor(seconds(1));
  SubmitQuestions(site, "b", 30);
  CHECK(StartsAfter(site, "engine-1", marked) > 0);
}

TEST_CASE("an upstream that the platform lists as leaving gets no new work") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  for (Host& host : site.hosts) {
    host.instance->HandleInstanceList({}, {{"engine-1"}}, site.Now());
  }
  const Time listed = site.Now();
  SubmitQuestions(site, "c", 30);
  CHECK(StartsAfter(site, "engine-1", listed) == 0);
}

TEST_CASE("an entry uses no grant of an upstream that it knows is leaving") {
  VirtualSite site(Options());
  site.RunFor(seconds(3));
  const size_t scheduler = site.SchedulerOf("model");
  const size_t entry = (scheduler + 1) % 3;
  // Only the entry knows that the upstream is leaving.
  site.hosts[entry].instance->HandleInstanceList({}, {{"engine-1"}},
                                                 site.Now());
  const Time listed = site.Now();
  for (int i = 0; i < 20; ++i) {
    const size_t caller =
        site.Submit(entry, "question", "q" + std::to_string(i));
    site.RunFor(milliseconds(200));
    REQUIRE(site.callers[caller].outcome);
    CHECK(std::holds_alternative<Answered>(*site.callers[caller].outcome));
  }
  CHECK(StartsAfter(site, "engine-1", listed) == 0);
}

TEST_CASE("queued requests are answered when their last upstream leaves") {
  SiteOptions options;
  options.config_text = SmallConfig(1, 1, 2);
  options.service_time = seconds(20);
  VirtualSite site(options);
  site.RunFor(seconds(3));
  std::vector<size_t> all;
  for (int i = 0; i < 6; ++i) {
    all.push_back(site.Submit(0, "history", "h" + std::to_string(i)));
  }
  site.RunFor(seconds(1));
  site.Mark("engine-1", MarkState::kLeaving);
  site.RunFor(seconds(2));
  int not_run = 0;
  for (const size_t caller : all) {
    const auto& outcome = site.callers[caller].outcome;
    not_run += outcome && std::holds_alternative<NotRun>(*outcome) ? 1 : 0;
  }
  CHECK(not_run == 5);
  site.RunFor(seconds(30));
  for (const size_t caller : all) {
    CHECK(site.callers[caller].outcome);
  }
}

}  // namespace
}  // namespace pomeloring::test
