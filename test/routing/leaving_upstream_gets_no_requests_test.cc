// An upstream that says in a reply that it leaves must get no more requests,
// whatever the store and peers say, until a new process takes its name. Neither
// must one whose registration ends its use after a request was placed there.

#include <doctest/doctest.h>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

const Time kNow{seconds(100)};

UpstreamChange StartedAt(int64_t started_at_ms, uint64_t offset) {
  UpstreamChange change = ReadyUpstream("u1", offset, kPlainService);
  change.record->started_at_ms = started_at_ms;
  return change;
}

std::unique_ptr<Router> RouterOf(const std::string& name) {
  auto router = ReadyRouter(0, kNow, {name});
  router->ApplyUpstreamList({StartedAt(1000, 1)}, {2}, kNow);
  return router;
}

std::shared_ptr<PlacedAttempt> Place(Router& router) {
  auto result = router.StartAttempt(RequestOn(router, "stamp", 0), kNow);
  auto* attempt = std::get_if<std::shared_ptr<PlacedAttempt>>(&result);
  return attempt == nullptr ? nullptr : *attempt;
}

bool IsUsed(Router& router) {
  const auto attempt = Place(router);
  if (attempt) {
    router.EndAttempt(*attempt, UpstreamOutcome::kServed, kNow);
  }
  return attempt != nullptr;
}

TEST_CASE("A reply that says so ends the use of its upstream") {
  const auto router = RouterOf("a");
  const auto first = Place(*router);
  const auto placed_before = Place(*router);
  CHECK(router->RecordReply(*first, {.is_leaving = true}, kNow).leaving);
  CHECK_FALSE(IsUsed(*router));
  CHECK(router->FindSendBlock(*placed_before, kNow) == SendBlock::kLeaving);

  // Its other replies and registrations do not bring it back.
  CHECK_FALSE(router->RecordReply(*placed_before, {}, kNow).leaving);
  router->ApplyUpstreamChanges({StartedAt(1000, 3)}, {4}, kNow);
  CHECK_FALSE(IsUsed(*router));
  router->ApplyUpstreamChanges({RemovedUpstream("u1", 4)}, {5}, kNow);
  router->Tick(kNow);
  router->ApplyUpstreamChanges({StartedAt(1000, 5)}, {6}, kNow);
  CHECK_FALSE(IsUsed(*router));
}

TEST_CASE(
    "A reply counts for the process, whatever became of its registration") {
  const auto router = RouterOf("a");
  const auto running = Place(*router);
  const auto also_running = Place(*router);
  router->ApplyUpstreamChanges({RemovedUpstream("u1", 3)}, {4}, kNow);
  SUBCASE("it is back") {
    router->ApplyUpstreamChanges({StartedAt(1000, 4)}, {5}, kNow);
    CHECK(IsUsed(*router));
    router->RecordReply(*running, {.is_leaving = true}, kNow);
  }
  SUBCASE("it comes back later") {
    router->RecordReply(*running, {.is_leaving = true}, kNow);
    router->ApplyUpstreamChanges({StartedAt(1000, 4)}, {5}, kNow);
  }
  CHECK_FALSE(IsUsed(*router));
  CHECK(router->FindSendBlock(*also_running, kNow) == SendBlock::kLeaving);
}

TEST_CASE("A new process under the name is used, whatever the old one says") {
  const auto router = RouterOf("a");
  const auto old_attempt = Place(*router);
  router->RecordReply(*old_attempt, {.is_leaving = true}, kNow);
  router->ApplyUpstreamChanges({StartedAt(2000, 3)}, {4}, kNow);
  CHECK(IsUsed(*router));
  router->RecordReply(*old_attempt, {.is_leaving = true}, kNow);
  CHECK(IsUsed(*router));
}

TEST_CASE("A registration that ends the use counts for what is not sent yet") {
  const auto router = RouterOf("a");
  const auto placed = Place(*router);
  REQUIRE(router->FindSendBlock(*placed, kNow) == SendBlock::kNone);
  UpstreamChange change = StartedAt(1000, 2);
  SendBlock expected = SendBlock::kGone;
  SUBCASE("it drains") {
    change.record->draining = true;
    expected = SendBlock::kDraining;
  }
  SUBCASE("it is removed") {
    change.record.reset();
  }
  SUBCASE("another process has its name") {
    change = StartedAt(2000, 2);
  }
  router->ApplyUpstreamChanges({change}, {3}, kNow);
  CHECK(router->FindSendBlock(*placed, kNow) == expected);
}

TEST_CASE(
    "A registration of a restored store holds back what is not sent yet") {
  constexpr uint64_t kRestored = uint64_t{1} << 40;
  const auto router = RouterOf("a");
  const auto placed = Place(*router);
  UpstreamChange draining = StartedAt(1000, 2);
  draining.record->draining = true;
  router->ApplyUpstreamChanges({draining}, {3}, kNow);
  router->ApplyUpstreamList({StartedAt(1000, kRestored + 1)}, {kRestored + 2},
                            kNow);
  CHECK(router->FindSendBlock(*placed, kNow + seconds(1)) == SendBlock::kHeld);
  CHECK(router->FindSendBlock(*placed, kNow + seconds(3)) == SendBlock::kNone);
}

TEST_CASE(
    "A registration without a start time is of the process known before") {
  const auto router = RouterOf("a");
  const auto told = RouterOf("b");
  router->RecordReply(*Place(*router), {.is_leaving = true}, kNow);
  UpstreamChange incomplete = StartedAt(0, 2);
  incomplete.record->software_version.clear();
  router->ApplyUpstreamChanges({incomplete}, {3}, kNow);
  CHECK_FALSE(IsUsed(*router));
  SUBCASE("peers are told that it leaves") {
    told->ApplyUpstreamChanges({incomplete}, {3}, kNow);
    told->HandleDigest(router->BuildDigest(false, true, kNow), kNow);
    CHECK_FALSE(IsUsed(*told));
  }
  SUBCASE("a later start time is of another process") {
    router->ApplyUpstreamChanges({StartedAt(2000, 3)}, {4}, kNow);
    CHECK(IsUsed(*router));
  }
  SUBCASE("it was removed between") {
    router->ApplyUpstreamChanges({RemovedUpstream("u1", 3)}, {4}, kNow);
    incomplete.offset = {4};
    router->ApplyUpstreamChanges({incomplete}, {5}, kNow);
    CHECK_FALSE(IsUsed(*router));
  }
}

TEST_CASE("Peers move work away, and do not bring it back") {
  const auto told = RouterOf("a");
  const auto peer = RouterOf("b");
  const auto unaware = RouterOf("c");
  told->RecordReply(*Place(*told), {.is_leaving = true}, kNow);
  CHECK(told->HasChangesToSend());
  peer->HandleDigest(told->BuildDigest(false, true, kNow), kNow);
  CHECK_FALSE(IsUsed(*peer));
  peer->HandleDigest(unaware->BuildDigest(false, true, kNow), kNow);
  told->HandleDigest(unaware->BuildDigest(false, true, kNow), kNow);
  CHECK_FALSE(IsUsed(*peer));
  CHECK_FALSE(IsUsed(*told));

  // A notice of the old process is void for the new one.
  unaware->ApplyUpstreamChanges({StartedAt(2000, 3)}, {4}, kNow);
  unaware->HandleDigest(told->BuildDigest(false, true, kNow), kNow);
  CHECK(IsUsed(*unaware));
}

}  // namespace
}  // namespace pomeloring
