// Defines which instances of a large fleet relay the digests of the others, so
// that the digest traffic of an instance does not grow with the fleet.

#ifndef POMELORING_ROUTING_DIGEST_RELAY_H_
#define POMELORING_ROUTING_DIGEST_RELAY_H_

#include <optional>
#include <set>
#include <span>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Up to this many instances, each sends its digests directly to all others.
inline constexpr size_t kMaxDirectInstances = 16;

struct RelayCandidate {
  InstanceName name;
  FailureDomain failure_domain;
  uint32_t capacity = 0;  // Of the instance's link, in Mbit/s.
};

// Chooses the relays: the live instances with the highest capacity, one for
// every 16 instances within fixed bounds. Returns none if the fleet has at most
// kMaxDirectInstances.
std::vector<RelayCandidate> ChooseRelays(std::span<const RelayCandidate> live);

// Returns the relay that `self` sends its digests to, or nullopt if there are
// no relays. Prefers relays in the failure domain of `self`; those in `silent`
// come last.
std::optional<InstanceName> ChooseRelayFor(
    const RelayCandidate& self,
    std::span<const RelayCandidate> relays,
    const std::set<InstanceName>& silent);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_DIGEST_RELAY_H_
