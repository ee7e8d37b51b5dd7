// In a large fleet a few instances relay the loads of the others. Each instance
// must still count the load of every other instance exactly once, and know
// which instances serve callers.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <memory>

#include "routing/store_readers.h"
#include "support/relayed_fleet.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};
constexpr int kEngines = 4;

uint32_t RunningSeen(const Router& router) {
  uint32_t running = 0;
  for (const UpstreamState* upstream : router.AllUpstreams()) {
    running += TotalLoad(*upstream).running;
  }
  return running;
}

std::map<InstanceName, std::shared_ptr<PlacedAttempt>> StartOneEach(
    RelayedFleet& fleet) {
  std::map<InstanceName, std::shared_ptr<PlacedAttempt>> attempts;
  for (auto& [name, instance] : fleet) {
    const auto attempt = instance.router->StartAttempt(
        RequestOn(*instance.router, "question", 500), kNow);
    REQUIRE(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(attempt));
    attempts[name] = std::get<std::shared_ptr<PlacedAttempt>>(attempt);
  }
  return attempts;
}

TEST_CASE("Each of 88 instances counts the load of all others once") {
  RelayedFleet fleet = MakeFleet(88, kEngines, kNow);
  StartOneEach(fleet);
  for (int round = 1; round <= 3; ++round) {
    ExchangeDigests(fleet, kNow + milliseconds(40 * round));
  }
  for (const auto& [name, instance] : fleet) {
    CAPTURE(name.value);
    CHECK(RunningSeen(*instance.router) == 88);
    CHECK(instance.router->LivePeerCount(kNow + milliseconds(120)) == 87);
    CHECK(instance.router->ServingPeerHashes(kNow + milliseconds(120)).size() ==
          87);
  }
}

// Guards against candidates that claim the duties since relays kept a renewal
// to themselves, and against an old digest that hides a newer one.
TEST_CASE("All of 88 instances learn of the newest record of the duties") {
  RelayedFleet fleet = MakeFleet(88, kEngines, kNow);
  const DutyNotice newest{{7}, {"b"}, false};
  fleet.begin()->second.router->MergeDutyNotice(newest);
  fleet.rbegin()->second.router->MergeDutyNotice({{6}, {"a"}, true});
  for (int round = 1; round <= 3; ++round) {
    ExchangeDigests(fleet, kNow + milliseconds(40 * round));
  }
  for (const auto& [name, instance] : fleet) {
    CAPTURE(name.value);
    CHECK(instance.router->Duties() == newest);
  }
}

TEST_CASE("Attempts that end between full digests are removed everywhere") {
  RelayedFleet fleet = MakeFleet(40, kEngines, kNow);
  auto attempts = StartOneEach(fleet);
  ExchangeDigests(fleet, kNow);
  ExchangeDigests(fleet, kNow + milliseconds(40));
  int ended = 0;
  for (auto& [name, attempt] : attempts) {
    if (++ended % 2 == 0) {
      fleet[name].router->EndAttempt(*attempt, UpstreamOutcome::kServed, kNow);
    }
  }
  ExchangeDigests(fleet, kNow + milliseconds(80));
  ExchangeDigests(fleet, kNow + milliseconds(120));
  for (const auto& [name, instance] : fleet) {
    CAPTURE(name.value);
    CHECK(RunningSeen(*instance.router) == 20);
  }
}

TEST_CASE("The digests that an instance receives do not grow with the fleet") {
  for (const int size : {88, 320}) {
    RelayedFleet fleet = MakeFleet(size, kEngines, kNow);
    ExchangeDigests(fleet, kNow);
    for (const auto& [name, instance] : fleet) {
      CAPTURE(name.value);
      const size_t senders = instance.router->Peers().size();
      const bool is_relay = instance.relay.value.empty();
      // A relay: its group, which may be larger than others, and the relays.
      CHECK(senders <= (is_relay ? 60 : 1));
    }
  }
}

TEST_CASE("An instance that switches to another relay is not counted twice") {
  RelayedFleet fleet = MakeFleet(40, kEngines, kNow);
  StartOneEach(fleet);
  ExchangeDigests(fleet, kNow);
  std::vector<InstanceName> relays;
  for (const auto& [name, instance] : fleet) {
    if (instance.relay.value.empty()) {
      relays.push_back(name);
    }
  }
  for (auto& [name, instance] : fleet) {
    if (instance.relay == relays[0]) {
      instance.relay = relays[1];
      const PeerDigest first =
          instance.router->BuildDigest(false, false, kNow, relays[1]);
      for (const InstanceName& relay : {relays[0], relays[1]}) {
        fleet[relay].router->HandleDigest(first, kNow);
      }
    }
  }
  ExchangeDigests(fleet, kNow + milliseconds(40));
  ExchangeDigests(fleet, kNow + milliseconds(80));
  for (const auto& [name, instance] : fleet) {
    CAPTURE(name.value);
    CHECK(RunningSeen(*instance.router) == 40);
  }
}

TEST_CASE("A part that was cached for one instance is known to all") {
  RelayedFleet fleet = MakeFleet(40, kEngines, kNow);
  Router& router = *fleet.rbegin()->second.router;
  AttemptRequest request = RequestOn(router, "draft", 5000);
  request.parts = {{77, 4000}};
  const auto attempt = std::get<std::shared_ptr<PlacedAttempt>>(
      router.StartAttempt(request, kNow));
  ExchangeDigests(fleet, kNow);
  ExchangeDigests(fleet, kNow + milliseconds(40));
  for (const auto& [name, instance] : fleet) {
    CAPTURE(name.value);
    for (const UpstreamState* upstream : instance.router->AllUpstreams()) {
      CHECK(CachedTokens(*upstream, request.parts) ==
            (upstream->record.id == attempt->upstream->record.id ? 4000 : 0));
    }
  }
}

TEST_CASE(
    "Relays have the highest capacity; near ones first and silent ones last") {
  std::vector<RelayCandidate> live;
  for (int i = 0; i < 16; ++i) {
    live.push_back(NumberedCandidate(i, 10));
  }
  CHECK(ChooseRelays(live).empty());
  for (int i = 16; i < 64; ++i) {
    live.push_back(NumberedCandidate(i, i < 20 ? 200 : 10));
  }
  const auto relays = ChooseRelays(live);
  REQUIRE(relays.size() == 4);
  for (const RelayCandidate& relay : relays) {
    CHECK(relay.capacity == 200);
  }
  const RelayCandidate self = NumberedCandidate(30, 10);
  const auto near = ChooseRelayFor(self, relays, {});
  REQUIRE(near);
  CHECK(std::stoi(near->value.substr(1)) % 3 == 0);
  CHECK(ChooseRelayFor(self, relays, {*near}) != near);
  CHECK_FALSE(ChooseRelayFor(self, {}, {}));
}

TEST_CASE(
    "An instance does not read the store if its relay knows another reader") {
  std::map<InstanceName, PeerState> peers;
  PeerState& relay = peers[{"z"}];
  relay.last_received = kNow;
  relay.digest.scope = DigestScope::kAll;
  CHECK(ShouldReadStore({"a"}, peers, kNow));
  relay.digest.reads_store = true;
  CHECK_FALSE(ShouldReadStore({"a"}, peers, kNow));
  CHECK(ShouldReadStore({"a"}, peers, kNow + seconds(1)));
}

TEST_CASE(
    "A relay does not count the instances that it relays for as readers") {
  std::map<InstanceName, PeerState> peers;
  const InstanceName relay{"z"};
  for (const char* name : {"a", "b"}) {
    PeerState& peer = peers[{name}];
    peer.last_received = kNow;
    peer.digest.reads_store = true;
    peer.digest.relayed_by = relay;
  }
  CHECK(ShouldReadStore(relay, peers, kNow));
}

}  // namespace
}  // namespace pomeloring
