#include "routing/baseline_policies.h"

#include <algorithm>
#include <vector>

namespace pomeloring {
namespace {

uint32_t RunningAt(const UpstreamState* upstream) {
  return TotalLoad(*upstream).running;
}

bool HasFewerRunning(const UpstreamState* a, const UpstreamState* b) {
  return RunningAt(a) < RunningAt(b);
}

UpstreamState* Choose(PlacementPolicy policy,
                      const std::vector<UpstreamState*>& usable,
                      uint64_t round_robin_index,
                      uint64_t random) {
  const size_t count = usable.size();
  if (policy == PlacementPolicy::kRoundRobin) {
    return usable[round_robin_index % count];
  }
  if (policy == PlacementPolicy::kTwoChoices) {
    // The two halves of one random number.
    UpstreamState* const a = usable[(random >> 32) % count];
    UpstreamState* const b = usable[(random & 0xFFFFFFFF) % count];
    return std::min(a, b, HasFewerRunning);
  }
  return *std::min_element(usable.begin(), usable.end(), HasFewerRunning);
}

}  // namespace

std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view text) {
  if (text == "lowest_cost") {
    return PlacementPolicy::kLowestCost;
  }
  if (text == "round_robin") {
    return PlacementPolicy::kRoundRobin;
  }
  if (text == "least_runs") {
    return PlacementPolicy::kLeastRequests;
  }
  if (text == "two_choices") {
    return PlacementPolicy::kTwoChoices;
  }
  return std::nullopt;
}

PlacementResult ChooseByBaseline(PlacementPolicy policy,
                                 const PlacementRequest& request,
                                 std::span<UpstreamState* const> candidates,
                                 Time now,
                                 uint64_t round_robin_index,
                                 uint64_t random) {
  std::vector<UpstreamState*> usable;
  for (UpstreamState* upstream : candidates) {
    if (IsUsable(*upstream, request, now)) {
      usable.push_back(upstream);
    }
  }
  if (usable.empty()) {
    return DeferOrRefuse(request, candidates, now, random);
  }
  UpstreamState* const chosen =
      Choose(policy, usable, round_robin_index, random);
  const uint32_t cached =
      std::min(CachedTokens(*chosen, request.parts), request.prompt_tokens);
  return Placement{chosen, request.prompt_tokens - cached,
                   UrgencyRankOf(*request.route)};
}

}  // namespace pomeloring
