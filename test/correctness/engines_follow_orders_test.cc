#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

constexpr size_t kEngines = 2;
// Ignores fencing numbers, and is read again this often.
constexpr char kUnfencedEngine[] = "engine-2";
constexpr char kFencedEngine[] = "engine-1";
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

TEST_CASE("a marked engine drains until it is in service again") {
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

TEST_CASE("an engine that is as wanted gets no more orders") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  const int before = Engine(site, kUnfencedEngine).orders;
  site.RunFor(seconds(60));
  CHECK(Engine(site, kUnfencedEngine).orders == before);
}

TEST_CASE("a restarted engine gets its orders again") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  site.ResetEngine(kFencedEngine);
  site.ResetEngine(kUnfencedEngine);
  site.RunFor(kReadInterval + seconds(2));
  CHECK(HasAdapter(site, kFencedEngine, "karst"));
  CHECK(HasAdapter(site, kUnfencedEngine, "karst"));
}

TEST_CASE("a lost reply to an order changes nothing") {
  VirtualSite site(Options());
  site.upstreams[UpstreamName{kFencedEngine}].lose_replies = 2;
  site.upstreams[UpstreamName{kUnfencedEngine}].lose_replies = 2;
  site.RunFor(seconds(15));
  CHECK(HasAdapter(site, kFencedEngine, "karst"));
  CHECK(HasAdapter(site, kUnfencedEngine, "karst"));
}

// The order of one that has gone arrives after those of its successor.
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

TEST_CASE("an engine that checks refuses a late order") {
  VirtualSite site(Options());
  DeliverStaleOrder(site);
  CHECK(HasAdapter(site, kFencedEngine, "newest"));
}

TEST_CASE("an engine that ignores numbers is put right after a late order") {
  VirtualSite site(Options());
  DeliverStaleOrder(site);
  CHECK(HasAdapter(site, kUnfencedEngine, "late"));
  site.RunFor(kReadInterval + seconds(2));
  CHECK(HasAdapter(site, kUnfencedEngine, "newest"));
}

// The wanted state goes from A to B and back. The engine is as wanted when the
// successor takes over, yet the number must rise above that of B's order.
TEST_CASE("a successor raises the number of an engine that is as wanted") {
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
