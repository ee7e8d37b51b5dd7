// The baseline placement policies must distribute requests by their rule, since
// the cost-based policy is measured against them.

#include <doctest/doctest.h>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};

std::map<std::string, int> PlaceMany(PlacementPolicy policy, int requests) {
  RouterSettings settings;
  settings.name.value = "a";
  settings.placement = policy;
  Router router(settings);
  router.ApplyConfig(SmallRouting());
  router.ApplyUpstreamList({ReadyUpstream("e0", 1), ReadyUpstream("e1", 1),
                            ReadyUpstream("e2", 1), ReadyUpstream("e3", 1)},
                           LogOffset{2}, kNow);
  std::map<std::string, int> placed;
  for (int i = 0; i < requests; ++i) {
    const auto attempt = std::get<std::shared_ptr<PlacedAttempt>>(
        router.StartAttempt(RequestOn(router, "draft", 50000), kNow));
    ++placed[attempt->upstream->record.id.value];
  }
  return placed;
}

TEST_CASE(
    "Round robin and least requests distribute evenly and refuse nothing") {
  for (const auto policy :
       {PlacementPolicy::kRoundRobin, PlacementPolicy::kLeastRequests}) {
    for (const auto& [name, count] : PlaceMany(policy, 400)) {
      CAPTURE(name);
      CHECK(count == 100);
    }
  }
}

TEST_CASE("Two choices keep the longest queue short") {
  for (const auto& [name, count] :
       PlaceMany(PlacementPolicy::kTwoChoices, 400)) {
    CAPTURE(name);
    CHECK(count >= 95);
    CHECK(count <= 105);
  }
}

TEST_CASE("Policy names are parsed") {
  CHECK(ParsePlacementPolicy("two_choices") == PlacementPolicy::kTwoChoices);
  CHECK_FALSE(ParsePlacementPolicy("best"));
}

}  // namespace
}  // namespace pomeloring
