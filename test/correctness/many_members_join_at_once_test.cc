#include <doctest/doctest.h>

#include "support/membership_fleet.h"

namespace pomeloring::test {
namespace {

constexpr size_t kMembers = 120;

// Returns after how many seconds all knew all, at most `most`.
int SecondsToSettle(MembershipFleet& fleet, int most) {
  int passed = 0;
  while (!fleet.HasConverged() && passed < most) {
    fleet.Run(seconds(1));
    ++passed;
  }
  return passed;
}

TEST_CASE("a fleet that starts together knows itself in seconds") {
  MembershipFleet fleet(kMembers);
  CHECK(SecondsToSettle(fleet, 60) < 15);
}

TEST_CASE("so it does when a tenth of the datagrams are lost") {
  MembershipFleet fleet(kMembers);
  fleet.drop_rate = 0.1;
  CHECK(SecondsToSettle(fleet, 60) < 30);
}

TEST_CASE("a crash is known to all, and nobody else is blamed for it") {
  MembershipFleet fleet(kMembers);
  SecondsToSettle(fleet, 60);
  fleet.Crash(kMembers / 2);
  fleet.Run(seconds(5));
  CHECK(SecondsToSettle(fleet, 60) < 30);
}

}  // namespace
}  // namespace pomeloring::test
