// Registrations that lapse while the store is out are kept in use for a moment
// after its return. An instance that has just started has not seen an outage:
// what it reads as gone is gone.

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
  router.HandleStoreState(false, kStart);
  router.TakeUpstreamList({ReadyUpstream("a", 1)}, LogOffset{2}, kStart);
  router.HandleStoreState(true, kStart + milliseconds(200));
  const Time gone = kStart + milliseconds(400);
  router.TakeUpstreamChanges({RemovedUpstream("a", 2)}, LogOffset{3}, gone);
  CHECK_FALSE(IsInUse(router, {"a"}));
}

TEST_CASE("What lapsed in an outage stays in use until it should be back") {
  Router router(RouterSettings{});
  router.HandleStoreState(true, kStart);
  router.TakeUpstreamList({ReadyUpstream("a", 1)}, LogOffset{2}, kStart);
  router.HandleStoreState(false, kStart + seconds(2));
  const Time back = kStart + seconds(6);
  router.HandleStoreState(true, back);
  router.TakeUpstreamChanges({RemovedUpstream("a", 2)}, LogOffset{3}, back);
  CHECK(IsInUse(router, {"a"}));
  router.Tick(back + seconds(1));
  CHECK(IsInUse(router, {"a"}));
  router.Tick(back + milliseconds(2300));
  CHECK_FALSE(IsInUse(router, {"a"}));
}

// The pattern: both readers are killed at once. Until this instance reads in
// their place, nobody it hears of has had an answer of the store.
TEST_CASE("The loss of all readers is no outage of the store") {
  std::map<InstanceName, PeerState> peers;
  PeerState& reader = peers[{"a"}];
  reader.digest.reads_store = true;
  reader.heard = kStart;
  CHECK(HearOfStore(false, false, peers, kStart) == StoreNews::kAnswers);
  const Time silent = kStart + seconds(1);
  CHECK(HearOfStore(false, false, peers, silent) == StoreNews::kNothing);
  CHECK(HearOfStore(true, false, peers, silent) == StoreNews::kAnswers);
  CHECK(HearOfStore(false, true, peers, silent) == StoreNews::kFails);
}

TEST_CASE("A registration that comes back in time is never given up") {
  Router router(RouterSettings{});
  router.HandleStoreState(true, kStart);
  router.TakeUpstreamList({ReadyUpstream("a", 1)}, LogOffset{2}, kStart);
  router.HandleStoreState(false, kStart + seconds(2));
  const Time back = kStart + seconds(6);
  router.HandleStoreState(true, back);
  router.TakeUpstreamChanges({RemovedUpstream("a", 2)}, LogOffset{3}, back);
  router.TakeUpstreamChanges({ReadyUpstream("a", 3)}, LogOffset{4},
                             back + seconds(1));
  router.Tick(back + seconds(3));
  CHECK(IsInUse(router, {"a"}));
}

}  // namespace
}  // namespace pomeloring
