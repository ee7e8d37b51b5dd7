#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

constexpr size_t kEngines = 2;
constexpr char kUnfencedEngine[] = "engine-2";  // Ignores fencing numbers.
constexpr char kFencedEngine[] = "engine-1";    // Checks them.
// How often the state of an engine is read.
constexpr Duration kReadInterval = seconds(10);

std::string ConfigText(std::string_view adapter) {
  return WithOrders(SmallConfig(kEngines, 1, 8), kEngines, adapter);
}

SiteOptions Options() {
  SiteOptions options;
  options.config_text = ConfigText("karst");
  return options;
}

const FakeUpstream& Engine(const VirtualSite& site, const char* name) {
  return site.upstreams.at(UpstreamName{name});
}

bool HasAdapter(const VirtualSite& site,
                const char* engine,
                const char* adapter) {
  return Engine(site, engine).state.adapters ==
         std::vector<std::string>{adapter};
}

TEST_CASE("adapters are loaded on every engine") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  CHECK(HasAdapter(site, kFencedEngine, "karst"));
  CHECK(HasAdapter(site, kUnfencedEngine, "karst"));
  site.Publish(Revision{1}, ConfigText("vipava"));
  site.RunFor(seconds(2));
  CHECK(HasAdapter(site, kFencedEngine, "vipava"));
  CHECK(HasAdapter(site, kUnfencedEngine, "vipava"));
}

TEST_CASE("a leaving engine drains until it is marked as in service") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  site.Mark(kFencedEngine, MarkState::kLeaving);
  site.RunFor(seconds(2));
  CHECK(Engine(site, kFencedEngine).state.draining);
  CHECK_FALSE(Engine(site, kUnfencedEngine).state.draining);
  site.Mark(kFencedEngine, MarkState::kInService);
  site.RunFor(seconds(2));
  CHECK_FALSE(Engine(site, kFencedEngine).state.draining);
}

TEST_CASE("an engine in the desired state gets no more orders") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  const int before = Engine(site, kUnfencedEngine).orders;
  site.RunFor(seconds(60));
  CHECK(Engine(site, kUnfencedEngine).orders == before);
}

TEST_CASE("a restarted engine gets its adapters back") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  site.ResetEngine(kFencedEngine);
  site.ResetEngine(kUnfencedEngine);
  site.RunFor(kReadInterval + seconds(2));
  CHECK(HasAdapter(site, kFencedEngine, "karst"));
  CHECK(HasAdapter(site, kUnfencedEngine, "karst"));
}

TEST_CASE("engines converge even if replies to orders are lost") {
  VirtualSite site(Options());
  site.upstreams[UpstreamName{kFencedEngine}].lose_replies = 2;
  site.upstreams[UpstreamName{kUnfencedEngine}].lose_replies = 2;
  site.RunFor(seconds(15));
  CHECK(HasAdapter(site, kFencedEngine, "karst"));
  CHECK(HasAdapter(site, kUnfencedEngine, "karst"));
}

// An order of a crashed scheduler arrives after the orders of its successor.
void DeliverStaleOrder(VirtualSite& site) {
  site.RunFor(seconds(6));
  site.hold_orders = true;
  site.Publish(Revision{1}, ConfigText("late"));
  site.RunFor(seconds(1));
  site.Crash(site.SchedulerOf("model"));
  site.hold_orders = false;
  site.Publish(Revision{2}, ConfigText("newest"));
  site.RunFor(seconds(25));
  REQUIRE(HasAdapter(site, kFencedEngine, "newest"));
  REQUIRE(HasAdapter(site, kUnfencedEngine, "newest"));
  site.ReleaseOrders();
  site.RunFor(milliseconds(100));
}

TEST_CASE("an engine that checks fencing numbers refuses a stale order") {
  VirtualSite site(Options());
  DeliverStaleOrder(site);
  CHECK(HasAdapter(site, kFencedEngine, "newest"));
}

TEST_CASE(
    "an engine that ignores fencing numbers is corrected after a stale order") {
  VirtualSite site(Options());
  DeliverStaleOrder(site);
  CHECK(HasAdapter(site, kUnfencedEngine, "late"));
  site.RunFor(kReadInterval + seconds(2));
  CHECK(HasAdapter(site, kUnfencedEngine, "newest"));
}

// The desired state changes from A to B and back to A, and the order for B is
// delayed. The engine is in state A when the successor takes over, but still
// needs an order with a larger fencing number to refuse the one for B.
TEST_CASE(
    "a successor raises the fencing number of an engine in the desired state") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  site.hold_orders = true;
  site.Publish(Revision{1}, ConfigText("between"));
  site.RunFor(seconds(1));
  site.Crash(site.SchedulerOf("model"));
  site.hold_orders = false;
  site.Publish(Revision{2}, ConfigText("karst"));
  site.RunFor(seconds(25));
  site.ReleaseOrders();
  site.RunFor(milliseconds(100));
  CHECK(HasAdapter(site, kFencedEngine, "karst"));
}

}  // namespace
}  // namespace pomeloring::test
