// Defines the baseline placement policies that the cost-based policy is
// compared with. Each can be selected in the settings.

#ifndef POMELORING_ROUTING_BASELINE_POLICIES_H_
#define POMELORING_ROUTING_BASELINE_POLICIES_H_

#include <optional>
#include <span>
#include <string_view>

#include "routing/placement.h"

namespace pomeloring {

enum class PlacementPolicy {
  kLowestCost,  // Lowest estimated cost; see placement.h.
  kRoundRobin,
  kLeastRequests,  // Fewest running requests, counted over all instances.
  kTwoChoices,  // The one with fewer running requests of two random upstreams.
};

// Returns the policy with the name `text` in the settings, or nullopt.
std::optional<PlacementPolicy> ParsePlacementPolicy(std::string_view text);

// Chooses an upstream by a policy other than kLowestCost. These policies never
// defer a request, and refuse one only if no upstream is usable.
// `round_robin_index` increases by one with each request; `random` chooses the
// two upstreams of kTwoChoices.
PlacementResult ChooseByBaseline(PlacementPolicy policy,
                                 const PlacementRequest& request,
                                 std::span<UpstreamState* const> candidates,
                                 Time now,
                                 uint64_t round_robin_index,
                                 uint64_t random);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_BASELINE_POLICIES_H_
