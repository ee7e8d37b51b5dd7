// Registrations that expire while the store is unavailable are kept in use for
// a grace period after its recovery. An instance that has just started has seen
// no outage: it must drop upstreams that it reads as removed.

#include <doctest/doctest.h>

#include "routing/router.h"
#include "routing/store_readers.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

bool IsInUse(const Router& router, const UpstreamName& name) {
  for (const UpstreamState* upstream : router.AllUpstreams()) {
    if (upstream->record.id == name) {
      return true;
    }
  }
  return false;
}

constexpr Time kStart{seconds(1000)};

TEST_CASE("The first answer of the store does not end an outage") {
  Router router(RouterSettings{});
  router.UpdateStoreStatus(false, kStart);
  router.ApplyUpstreamList({ReadyUpstream("a", 1)}, LogOffset{2}, kStart);
  router.UpdateStoreStatus(true, kStart + milliseconds(200));
  const Time removed_at = kStart + milliseconds(400);
  router.ApplyUpstreamChanges({RemovedUpstream("a", 2)}, LogOffset{3},
                              removed_at);
  CHECK_FALSE(IsInUse(router, {"a"}));
}

TEST_CASE(
    "Upstreams that expire in an outage stay in use for the grace period") {
  Router router(RouterSettings{});
  router.UpdateStoreStatus(true, kStart);
  router.ApplyUpstreamList({ReadyUpstream("a", 1)}, LogOffset{2}, kStart);
  router.UpdateStoreStatus(false, kStart + seconds(2));
  const Time recovered_at = kStart + seconds(6);
  router.UpdateStoreStatus(true, recovered_at);
  router.ApplyUpstreamChanges({RemovedUpstream("a", 2)}, LogOffset{3},
                              recovered_at);
  CHECK(IsInUse(router, {"a"}));
  router.Tick(recovered_at + seconds(1));
  CHECK(IsInUse(router, {"a"}));
  router.Tick(recovered_at + milliseconds(2300));
  CHECK_FALSE(IsInUse(router, {"a"}));
}

// Both readers are killed at once. Until this instance reads the store in their
// place, none of its peers has had an answer from it recently.
TEST_CASE("The loss of all readers is not a store outage") {
  std::map<InstanceName, PeerState> peers;
  PeerState& reader = peers[{"a"}];
  reader.digest.reads_store = true;
  reader.last_received = kStart;
  CHECK(ObserveStore(false, false, peers, kStart) ==
        StoreObservation::kAvailable);
  const Time silent = kStart + seconds(1);
  CHECK(ObserveStore(false, false, peers, silent) ==
        StoreObservation::kUnknown);
  CHECK(ObserveStore(true, false, peers, silent) ==
        StoreObservation::kAvailable);
  CHECK(ObserveStore(false, true, peers, silent) ==
        StoreObservation::kUnavailable);
}

TEST_CASE("An upstream that registers again in time is never dropped") {
  Router router(RouterSettings{});
  router.UpdateStoreStatus(true, kStart);
  router.ApplyUpstreamList({ReadyUpstream("a", 1)}, LogOffset{2}, kStart);
  router.UpdateStoreStatus(false, kStart + seconds(2));
  const Time recovered_at = kStart + seconds(6);
  router.UpdateStoreStatus(true, recovered_at);
  router.ApplyUpstreamChanges({RemovedUpstream("a", 2)}, LogOffset{3},
                              recovered_at);
  router.ApplyUpstreamChanges({ReadyUpstream("a", 3)}, LogOffset{4},
                              recovered_at + seconds(1));
  router.Tick(recovered_at + seconds(3));
  CHECK(IsInUse(router, {"a"}));
}

}  // namespace
}  // namespace pomeloring
