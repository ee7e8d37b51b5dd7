#include "support/relayed_fleet.h"

#include <fmt/format.h>

#include <algorithm>
#include <vector>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

void Send(FleetInstance& receiver,
          const PeerDigest& digest,
          Time now,
          DigestLoss& loss) {
  if (NextRandom(loss.random) % 100 >= loss.percent) {
    receiver.router->HandleDigest(digest, now);
  }
}

}  // namespace

RelayCandidate NumberedCandidate(int number, uint32_t capacity) {
  return {{fmt::format("n{:03}", number)},
          {fmt::format("d{}", number % 3)},
          capacity};
}

RelayedFleet MakeFleet(int size, int engines, Time now) {
  return MakeFleet(size, [&](const RelayCandidate& candidate) {
    return ReadyRouter(engines, now, candidate.name);
  });
}

RelayedFleet MakeFleet(int size, const MakeRouter& make_router) {
  RelayedFleet fleet;
  std::vector<RelayCandidate> live;
  for (int i = 0; i < size; ++i) {
    live.push_back(NumberedCandidate(i, i % 8 == 0 ? 200 : 10));
  }
  const auto relays = ChooseRelays(live);
  for (const RelayCandidate& candidate : live) {
    FleetInstance instance{candidate, make_router(candidate), {}};
    const bool is_chosen = std::any_of(
        relays.begin(), relays.end(),
        [&](const auto& relay) { return relay.name == candidate.name; });
    instance.router->SetRelaying(is_chosen);
    if (!is_chosen && !relays.empty()) {
      instance.relay = *ChooseRelayFor(candidate, relays, {});
    }
    fleet[candidate.name] = std::move(instance);
  }
  return fleet;
}

void ExchangeDigests(RelayedFleet& fleet, Time now, DigestLoss& loss) {
  for (auto& [name, instance] : fleet) {
    if (!instance.relay.value.empty()) {
      Send(fleet[instance.relay],
           instance.router->BuildDigest(false, false, now, instance.relay), now,
           loss);
    }
  }
  for (auto& [name, instance] : fleet) {
    if (instance.relay.value.empty()) {
      const PeerDigest digest =
          instance.router->BuildGroupDigest(false, false, now);
      for (auto& [other_name, other] : fleet) {
        if (other.relay.value.empty() && other_name != name) {
          Send(other, digest, now, loss);
        }
      }
    }
  }
  for (auto& [name, instance] : fleet) {
    if (instance.relay.value.empty()) {
      for (const auto& [receiver, digest] :
           instance.router->BuildRelayedDigests(false, false, now)) {
        Send(fleet[receiver], digest, now, loss);
      }
    }
  }
}

void ExchangeDigests(RelayedFleet& fleet, Time now) {
  DigestLoss none;
  ExchangeDigests(fleet, now, none);
}

}  // namespace pomeloring
