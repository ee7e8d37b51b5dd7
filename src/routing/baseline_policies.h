// Defines the plain placement policies that the project's own is measured
// against, each a setting.

#ifndef POMELORING_ROUTING_BASELINE_POLICIES_H_
#define POMELORING_ROUTING_BASELINE_POLICIES_H_

#include <optional>
#include <span>
#include <string_view>

#include "routing/placement.h"

namespace pomeloring {

enum class PlacementPolicy {
  kLowestCost,  // See placement.h.
  kRoundRobin,
  kLeastRequests,  // Fewest runs of all instances, as far as is known.
  kTwoChoices,     // The one with fewer runs of two that are drawn.
};

std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view text);

// Chooses by a policy other than kLowestCost. Such a policy refuses nothing and
// never waits. `turn` counts the requests of the service.
PlacementResult ChooseByBaseline(PlacementPolicy policy,
                                 const PlacementRequest& request,
                                 std::span<UpstreamState* const> candidates,
                                 Time now,
                                 uint64_t round_robin_index,
                                 uint64_t random);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_BASELINE_POLICIES_H_
