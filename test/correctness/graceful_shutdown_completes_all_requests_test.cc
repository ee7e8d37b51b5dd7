#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

TEST_CASE("a stopping instance completes its requests and returns its queue") {
  SiteOptions options;
  options.config_text = SmallConfig(1, 1, 2);
  options.service_time = milliseconds(400);
  VirtualSite site(options);
  site.RunFor(seconds(3));
  const size_t scheduler = site.SchedulerOf("model");
  std::vector<size_t> all;
  for (int i = 0; i < 9; ++i) {
    all.push_back(site.Submit(static_cast<size_t>(i) % 3, "history",
                              "h" + std::to_string(i)));
  }
  site.RunFor(milliseconds(100));
  site.Stop(scheduler);
  site.RunFor(seconds(1));
  // Callers that still have its address may send more requests.
  all.push_back(site.Submit(scheduler, "history", "late"));
  CHECK(site.SchedulerOf("model") != scheduler);
  for (const auto& [name, member] :
       site.hosts[(scheduler + 1) % 3].instance->View()->live) {
    CHECK(name != site.hosts[scheduler].name);
  }
  site.RunFor(seconds(20));
  for (const size_t caller : all) {
    REQUIRE(site.callers[caller].outcome);
    CHECK(std::holds_alternative<Answered>(*site.callers[caller].outcome));
    CHECK(site.callers[caller].executions == 1);
  }
  CHECK(site.hosts[scheduler].instance->InFlight() == 0);
}

TEST_CASE("when all instances stop at once, each completes its requests") {
  SiteOptions options;
  options.config_text = SmallConfig(1, 1, 2);
  options.service_time = milliseconds(400);
  VirtualSite site(options);
  site.RunFor(seconds(3));
  for (size_t host = 0; host < 3; ++host) {
    site.Stop(host);
  }
  site.RunFor(seconds(1));
  std::vector<size_t> all;
  for (size_t i = 0; i < 6; ++i) {
    all.push_back(site.Submit(i % 3, "history", "h" + std::to_string(i)));
  }
  site.RunFor(seconds(10));
  for (const size_t caller : all) {
    REQUIRE(site.callers[caller].outcome);
    CHECK(std::holds_alternative<Answered>(*site.callers[caller].outcome));
  }
}

}  // namespace
}  // namespace pomeloring::test
