#include <doctest/doctest.h>

#include "support/membership_fleet.h"

namespace pomeloring::test {
namespace {

constexpr size_t kMembers = 120;

// Returns how many seconds it took until every member knew all others, or
// `max_seconds` if that did not happen.
int SecondsToConverge(MembershipFleet& fleet, int max_seconds) {
  int passed = 0;
  while (!fleet.HasConverged() && passed < max_seconds) {
    fleet.Run(seconds(1));
    ++passed;
  }
  return passed;
}

TEST_CASE("members that start together learn of each other in seconds") {
  MembershipFleet fleet(kMembers);
  CHECK(SecondsToConverge(fleet, 60) < 15);
}

TEST_CASE(
    "members learn of each other even if a tenth of the datagrams is lost") {
  MembershipFleet fleet(kMembers);
  fleet.drop_rate = 0.1;
  CHECK(SecondsToConverge(fleet, 60) < 30);
}

TEST_CASE("all members detect a crash, and no live member is declared dead") {
  MembershipFleet fleet(kMembers);
  SecondsToConverge(fleet, 60);
  fleet.Crash(kMembers / 2);
  fleet.Run(seconds(5));
  CHECK(SecondsToConverge(fleet, 60) < 30);
}

}  // namespace
}  // namespace pomeloring::test
