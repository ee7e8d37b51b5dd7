// Where relays send seldom, since their digests are large and links slow, a
// quarantine must still reach every instance in time when digests get lost.

#include <doctest/doctest.h>

#include <array>

#include "support/relayed_fleet.h"

namespace pomeloring {
namespace {

constexpr TraitId kFatal = 0xdead;
constexpr Duration kSlowRelayInterval = milliseconds(240);
// What the users allow from the third exit on.
constexpr Duration kMaxTimeToAct = seconds(3);

size_t InstancesThatAct(const RelayedFleet& fleet) {
  size_t count = 0;
  for (const auto& [name, instance] : fleet) {
    const auto& traits = instance.router->Quarantine().traits;
    const auto found = traits.find(kFatal);
    count += found != traits.end() && found->second.is_quarantined ? 1 : 0;
  }
  return count;
}

TEST_CASE("A quarantine is known to all within the time allowed") {
  for (const int size : {6, 85, 295}) {
    for (const uint64_t case_number : {0, 1, 2, 3, 4, 5, 6, 7, 8}) {
      const uint64_t percent =
          std::array<uint64_t, 3>{3, 10, 30}[case_number % 3];
      CAPTURE(size);
      CAPTURE(percent);
      CAPTURE(case_number);
      Time now{seconds(100)};
      RelayedFleet fleet = MakeFleet(size, 1, now);
      DigestLoss loss{case_number, percent};
      const auto pass = [&](Duration time) {
        for (const Time end = now + time; now < end;) {
          now += kSlowRelayInterval;
          ExchangeDigests(fleet, now, loss);
        }
      };
      pass(seconds(1));
      PeerDigest digest;
      digest.sender.value = "observer";
      digest.sequence = 1;
      TraitNotice notice;
      notice.trait = kFatal;
      notice.kind = TraitKind::kWholeRequest;
      notice.exits = {{1, false}, {2, false}, {3, false}};
      notice.is_quarantined = true;
      notice.until_next_trial = seconds(60);
      digest.trait_notices = {notice};
      fleet.rbegin()->second.router->HandleDigest(digest, now);
      pass(kMaxTimeToAct);
      CHECK(InstancesThatAct(fleet) == fleet.size());
    }
  }
}

}  // namespace
}  // namespace pomeloring
