// Engines receive their orders (adapters to load, draining), also while their
// scheduler is suspended and replaced.

#include <doctest/doctest.h>

#include <csignal>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

bool AreBothOrdered(const RunningSite& site, const std::string& text) {
  return site.OrdersContain(0, text) && site.OrdersContain(1, text);
}

TEST_CASE(
    "engines load adapters, and an engine that is marked leaving drains") {
  RunningSite site({});
  site.PublishAndWait();
  RunningSite::WaitUntil([&] { return AreBothOrdered(site, "karst"); });
  CHECK(RunProgram("pomeloring-ctl", {"--platform", site.PlatformAddress(),
                                      "mark", "engine-1", "leaving"}) == 0);
  RunningSite::WaitUntil(
      [&] { return site.OrdersContain(1, "\"draining\":true"); });
  CHECK(site.OrdersContain(0, "\"draining\":false"));
  CHECK(site.AskQuestion(0, "served by the other engine", 3).status == 200);
}

// The scheduler that sends the orders is suspended while its successor applies
// a newer configuration. After it resumes, it still has the older configuration
// and must not undo the newer orders.
TEST_CASE(
    "a scheduler that resumes does not undo the orders of its successor") {
  RunningSite site({});
  site.PublishAndWait();
  RunningSite::WaitUntil([&] { return AreBothOrdered(site, "karst"); });
  CHECK(site.AskQuestion(0, "creates the cell", 3).status == 200);
  const auto old_sender = site.SchedulerOf("model");
  REQUIRE(old_sender);
  site.nodes[*old_sender]->Signal(SIGSTOP);
  CHECK(site.PublishAdapter("vipava", "1") == 0);
  RunningSite::WaitUntil([&] { return AreBothOrdered(site, "vipava"); });
  site.nodes[*old_sender]->Signal(SIGCONT);
  // By the time it reports the newer configuration, it has run the ticks and
  // sent the orders that were due on resuming.
  RunningSite::WaitUntil([&] {
    return Call({.address = site.AdminAddress(*old_sender),
                 .target = "/v1/config",
                 .headers = {{"Authorization", "Bearer operators-key"}}})
               .body.find("vipava") != std::string::npos;
  });
  CHECK(site.OrdersContain(0, "vipava"));
  RunningSite::WaitUntil([&] { return AreBothOrdered(site, "vipava"); });
}

}  // namespace
}  // namespace pomeloring::test
