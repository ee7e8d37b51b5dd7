#include <doctest/doctest.h>

#include <csignal>

#include "support/running_site.h"

namespace pomeloring::test {
namespace {

bool AreAllOrdered(const RunningSite& site, const std::string& text) {
  return site.OrdersContain(0, text) && site.OrdersContain(1, text);
}

TEST_CASE("adapters are loaded, and a marked engine drains") {
  RunningSite site({});
  site.PublishAndWait();
  RunningSite::WaitUntil([&] { return AreAllOrdered(site, "karst"); });
  CHECK(RunProgram("pomeloring-ctl", {"--platform", site.PlatformAddress(),
                                      "mark", "engine-1", "leaving"}) == 0);
  RunningSite::WaitUntil(
      [&] { return site.OrdersContain(1, "\"draining\":true"); });
  CHECK(site.OrdersContain(0, "\"draining\":false"));
  CHECK(site.AskQuestion(0, "goes to the other one", 3).status == 200);
}

// The sender is paused while its successor follows a newer text. When it wakes,
// it knows only the older one.
TEST_CASE("a paused sender's successor has the last word") {
  RunningSite site({});
  site.PublishAndWait();
  RunningSite::WaitUntil([&] { return AreAllOrdered(site, "karst"); });
  CHECK(site.AskQuestion(0, "to make the cell known", 3).status == 200);
  const auto sender = site.SchedulerOf("model");
  REQUIRE(sender);
  site.nodes[*sender]->Signal(SIGSTOP);
  CHECK(site.PublishAdapter("vipava", "1") == 0);
  RunningSite::WaitUntil([&] { return AreAllOrdered(site, "vipava"); });
  site.nodes[*sender]->Signal(SIGCONT);
  // By then it has run its due ticks and orders, with what it knew or knows.
  RunningSite::WaitUntil([&] {
    return Call({.address = site.AdminAddress(*sender),
                 .target = "/v1/config",
                 .headers = {{"Authorization", "Bearer operators-key"}}})
               .body.find("vipava") != std::string::npos;
  });
  CHECK(site.OrdersContain(0, "vipava"));
  RunningSite::WaitUntil([&] { return AreAllOrdered(site, "vipava"); });
}

}  // namespace
}  // namespace pomeloring::test
