// Engines receive their orders (adapters to load, draining), also while their
// scheduler is suspended and replaced.

#include <doctest/doctest.h>

#include <csignal>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

bool DoBothOrdersContain(const RunningSite& site, const std::string& text) {
  return site.OrdersContain(0, text) && site.OrdersContain(1, text);
}

TEST_CASE(
    "engines load adapters, and an engine that is marked leaving drains") {
  RunningSite site({});
  site.PublishAndWait();
  RunningSite::WaitUntil([&] { return DoBothOrdersContain(site, "karst"); });
  CHECK(RunProgram("pomeloring-ctl", {"--platform", site.PlatformAddress(),
                                      "mark", "engine-1", "leaving"}) == 0);
  RunningSite::WaitUntil(
      [&] { return site.OrdersContain(1, "\"draining\":true"); });
  CHECK(site.OrdersContain(0, "\"draining\":false"));
  CHECK(site.SendQuestion(0, "served by the other engine", 3).status == 200);
}

// The scheduler that sends the orders is suspended while its successor applies
// a newer configuration. After it resumes, it still has the older configuration
// and must not undo the newer orders.
TEST_CASE(
    "a scheduler that resumes does not undo the orders of its successor") {
  RunningSite site({});
  site.PublishAndWait();
  RunningSite::WaitUntil([&] { return DoBothOrdersContain(site, "karst"); });
  CHECK(site.SendQuestion(0, "creates the cell", 3).status == 200);
  const auto old_scheduler = site.SchedulerOf("model");
  REQUIRE(old_scheduler);
  site.nodes[*old_scheduler]->Signal(SIGSTOP);
  CHECK(site.PublishAdapter("vipava", "1") == 0);
  RunningSite::WaitUntil([&] { return DoBothOrdersContain(site, "vipava"); });
  site.nodes[*old_scheduler]->Signal(SIGCONT);
  // By the time it reports the newer configuration, it has run the ticks and
  // sent the orders that were due on resuming.
  RunningSite::WaitUntil([&] {
    return Call({.address = site.AdminAddress(*old_scheduler),
                 .target = "/v1/config",
                 .headers = {{"Authorization", "Bearer operators-key"}}})
               .body.find("vipava") != std::string::npos;
  });
  CHECK(site.OrdersContain(0, "vipava"));
  RunningSite::WaitUntil([&] { return DoBothOrdersContain(site, "vipava"); });
}

}  // namespace
}  // namespace pomeloring::test
