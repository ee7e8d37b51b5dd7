#include "routing/digest_relay.h"

#include <algorithm>
#include <tuple>

namespace pomeloring {
namespace {

constexpr size_t kInstancesPerRelay = 16;
// With three, losing one or two leaves another to fall back on.
constexpr size_t kMinRelays = 3;
// Limits the traffic between relays, each of which sends its digests to all
// others directly.
constexpr size_t kMaxRelays = 24;

}  // namespace

std::vector<RelayCandidate> ChooseRelays(std::span<const RelayCandidate> live) {
  if (live.size() <= kMaxDirectInstances) {
    return {};
  }
  const size_t relay_count =
      std::clamp((live.size() + kInstancesPerRelay - 1) / kInstancesPerRelay,
                 kMinRelays, kMaxRelays);
  std::vector<RelayCandidate> relays(live.begin(), live.end());
  // Ties are broken by a hash: consecutive names often share a failure domain.
  std::sort(relays.begin(), relays.end(), [](const auto& a, const auto& b) {
    return std::tuple(b.capacity, StableHash(a.name.value), a.name) <
           std::tuple(a.capacity, StableHash(b.name.value), b.name);
  });
  relays.resize(relay_count);
  return relays;
}

std::optional<InstanceName> ChooseRelayFor(
    const RelayCandidate& self,
    std::span<const RelayCandidate> relays,
    const std::set<InstanceName>& silent) {
  const auto rank = [&](const RelayCandidate& relay) {
    return std::tuple(silent.contains(relay.name),
                      relay.failure_domain != self.failure_domain,
                      StableHash(relay.name.value, StableHash(self.name.value)),
                      relay.name);
  };
  const auto best = std::min_element(
      relays.begin(), relays.end(),
      [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
  if (best == relays.end()) {
    return std::nullopt;
  }
  return best->name;
}

}  // namespace pomeloring
