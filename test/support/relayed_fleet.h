// Defines RelayedFleet: routers that exchange digests as a large fleet does,
// over relays.

#ifndef POMELORING_TEST_SUPPORT_RELAYED_FLEET_H_
#define POMELORING_TEST_SUPPORT_RELAYED_FLEET_H_

#include <functional>
#include <map>
#include <memory>

#include "routing/digest_relay.h"
#include "routing/router.h"

namespace pomeloring {

struct FleetInstance {
  RelayCandidate candidate;
  std::unique_ptr<Router> router;
  InstanceName relay;  // Empty for a relay.
};

using RelayedFleet = std::map<InstanceName, FleetInstance>;

// An instance of one of three failure domains.
RelayCandidate NumberedCandidate(int number, uint32_t capacity);

// Every eighth instance has a large capacity. Each has `engines` engines, as
// ReadyRouter().
RelayedFleet MakeFleet(int size, int engines, Time now);
// With other routers.
using MakeRouter =
    std::function<std::unique_ptr<Router>(const RelayCandidate&)>;
RelayedFleet MakeFleet(int size, const MakeRouter& make_router);

// Digests that get lost: a share of all.
struct DigestLoss {
  uint64_t random = 1;
  uint64_t percent = 0;
};

// Every instance sends its digests once: to its relay, relays to each other and
// to the instances that they relay for. A fleet without relays sends to all.
void ExchangeDigests(RelayedFleet& fleet, Time now, DigestLoss& loss);
void ExchangeDigests(RelayedFleet& fleet, Time now);

}  // namespace pomeloring

#endif  // POMELORING_TEST_SUPPORT_RELAYED_FLEET_H_
