// Defines which instances of a large fleet pass on the digests of the others,
// so that what an instance sends and hears does not grow with the fleet.

#ifndef POMELORING_ROUTING_DIGEST_RELAY_H_
#define POMELORING_ROUTING_DIGEST_RELAY_H_

#include <optional>
#include <set>
#include <span>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Up to as many instances, each tells all others directly.
inline constexpr size_t kMaxDirectInstances = 16;

struct RelayCandidate {
  InstanceName name;
  FailureDomain failure_domain;
  uint32_t capacity = 0;
};

// Chooses those that relay: the most capable of all live instances, one for
// each sixteen. Empty where the fleet is small enough to do without.
std::vector<RelayCandidate> ChooseRelays(std::span<const RelayCandidate> live);

// The relay that `self` tells its digests to: one of its own failure domain if
// there is any. Those in `silent` come last.
std::optional<InstanceName> ChooseRelayFor(
    const RelayCandidate& self,
    std::span<const RelayCandidate> relays,
    const std::set<InstanceName>& silent);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_DIGEST_RELAY_H_
