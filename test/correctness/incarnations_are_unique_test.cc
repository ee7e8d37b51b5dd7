#include <doctest/doctest.h>

#include <set>

#include "core/membership.h"

namespace pomeloring::test {
namespace {

constexpr Time kStart{std::chrono::hours(24) * 365 * 56};

Member MemberNamed(const std::string& name, Incarnation incarnation) {
  Member member;
  member.name.value = name;
  member.incarnation = incarnation;
  return member;
}

// Whether an instance stops itself after a message from `other`.
bool StopsFor(const Member& self, const Member& other) {
  MembershipState state;
  state.self = self;
  MembershipMessage message;
  message.sender = other;
  HandleMembershipMessage(state, "127.0.0.1:1", message, kStart);
  return state.superseded;
}

TEST_CASE(
    "instances that start in the same microsecond get different incarnations") {
  uint64_t random = 1;
  std::set<Incarnation> seen;
  for (int i = 0; i < 320; ++i) {
    seen.insert(MakeIncarnation(kStart, NextRandom(random)));
  }
  CHECK(seen.size() == 320);
}

TEST_CASE("a later incarnation is larger, whatever its random part") {
  CHECK(MakeIncarnation(kStart, UINT64_MAX) <
        MakeIncarnation(kStart + milliseconds(1), 0));
}

TEST_CASE("of two instances with the same incarnation, one stops") {
  const Member one = MemberNamed("entry-1", Incarnation{7});
  const Member two = MemberNamed("entry-2", Incarnation{7});
  CHECK_FALSE(StopsFor(one, two));
  CHECK(StopsFor(two, one));
  CHECK_FALSE(StopsFor(two, MemberNamed("entry-1", Incarnation{8})));
}

TEST_CASE("the incarnation of a dead instance stops no other") {
  Member dead = MemberNamed("entry-1", Incarnation{7});
  dead.status = MemberStatus::kDead;
  CHECK_FALSE(StopsFor(MemberNamed("entry-2", Incarnation{7}), dead));
}

}  // namespace
}  // namespace pomeloring::test
