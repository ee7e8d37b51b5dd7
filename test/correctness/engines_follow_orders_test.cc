#include <doctest/doctest.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

constexpr size_t kEngines = 2;
// Ignores fencing numbers, and is read again this often.
constexpr char kIgnoring[] = "engine-2";
constexpr char kChecking[] = "engine-1";
constexpr Duration kReadInterval = seconds(10);

std::string Text(std::string_view adapter) {
  return WithOrders(SmallConfig(kEngines, 1, 8), kEngines, adapter);
}

SiteOptions Options() {
  SiteOptions options;
  options.config_text = Text("karst");
  return options;
}

const FakeUpstream& Engine(const VirtualSite& site, const char* name) {
  return site.upstreams.at(UpstreamName{name});
}

bool Has(const VirtualSite& site, const char* engine, const char* adapter) {
  return Engine(site, engine).state.adapters ==
         std::vector<std::string>{adapter};
}

TEST_CASE("adapters are loaded on every engine") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  CHECK(Has(site, kChecking, "karst"));
  CHECK(Has(site, kIgnoring, "karst"));
  site.Publish(Revision{1}, Text("vipava"));
  site.RunFor(seconds(2));
  CHECK(Has(site, kChecking, "vipava"));
  CHECK(Has(site, kIgnoring, "vipava"));
}

TEST_CASE("a marked engine drains until it is in service again") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  site.Mark(kChecking, MarkState::kLeaving);
  site.RunFor(seconds(2));
  CHECK(Engine(site, kChecking).state.draining);
  CHECK_FALSE(Engine(site, kIgnoring).state.draining);
  site.Mark(kChecking, MarkState::kInService);
  site.RunFor(seconds(2));
  CHECK_FALSE(Engine(site, kChecking).state.draining);
}

TEST_CASE("an engine that is as wanted gets no more orders") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  const int before = Engine(site, kIgnoring).orders;
  site.RunFor(seconds(60));
  CHECK(Engine(site, kIgnoring).orders == before);
}

TEST_CASE("a restarted engine gets its orders again") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  site.ResetEngine(kChecking);
  site.ResetEngine(kIgnoring);
  site.RunFor(kReadInterval + seconds(2));
  CHECK(Has(site, kChecking, "karst"));
  CHECK(Has(site, kIgnoring, "karst"));
}

TEST_CASE("a lost reply to an order changes nothing") {
  VirtualSite site(Options());
  site.upstreams[UpstreamName{kChecking}].lose_replies = 2;
  site.upstreams[UpstreamName{kIgnoring}].lose_replies = 2;
  site.RunFor(seconds(15));
  CHECK(Has(site, kChecking, "karst"));
  CHECK(Has(site, kIgnoring, "karst"));
}

// The order of one that has gone arrives after those of its successor.
void DeliverLateOrder(VirtualSite& site) {
  site.RunFor(seconds(6));
  site.hold_orders = true;
  site.Publish(Revision{1}, Text("late"));
  site.RunFor(seconds(1));
  site.Crash(site.SchedulerOf("model"));
  site.hold_orders = false;
  site.Publish(Revision{2}, Text("newest"));
  site.RunFor(seconds(25));
  REQUIRE(Has(site, kChecking, "newest"));
  REQUIRE(Has(site, kIgnoring, "newest"));
  site.ReleaseOrders();
  site.RunFor(milliseconds(100));
}

TEST_CASE("an engine that checks refuses a late order") {
  VirtualSite site(Options());
  DeliverLateOrder(site);
  CHECK(Has(site, kChecking, "newest"));
}

TEST_CASE("an engine that ignores numbers is put right after a late order") {
  VirtualSite site(Options());
  DeliverLateOrder(site);
  CHECK(Has(site, kIgnoring, "late"));
  site.RunFor(kReadInterval + seconds(2));
  CHECK(Has(site, kIgnoring, "newest"));
}

// The wanted state goes from A to B and back. The engine is as wanted when the
// successor takes over, yet the number must rise above that of B's order.
TEST_CASE("a successor raises the number of an engine that is as wanted") {
  VirtualSite site(Options());
  site.RunFor(seconds(6));
  site.hold_orders = true;
  site.Publish(Revision{1}, Text("between"));
  site.RunFor(seconds(1));
  site.Crash(site.SchedulerOf("model"));
  site.hold_orders = false;
  site.Publish(Revision{2}, Text("karst"));
  site.RunFor(seconds(25));
  site.ReleaseOrders();
  site.RunFor(milliseconds(100));
  CHECK(Has(site, kChecking, "karst"));
}

}  // namespace
}  // namespace pomeloring::test
