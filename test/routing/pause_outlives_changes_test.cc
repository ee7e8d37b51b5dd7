// A pause that an upstream asks for must hold through changes of the
// configuration and of its registration, and end with its process.

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

StartAttemptResult Start(Router& router, Time now, Duration waited) {
  AttemptRequest request = RequestOn(router, "stamp", 0);
  request.waited = waited;
  return router.StartAttempt(request, now);
}

bool IsUsed(Router& router, Time now) {
  return std::holds_alternative<std::shared_ptr<PlacedAttempt>>(
      Start(router, now, seconds(1)));
}

TEST_CASE("A pause holds until its end, or until the process is replaced") {
  const auto router = ReadyRouter(0, kNow, {"a"});
  router->ApplyUpstreamList({StartedAt(1000, 1)}, {2}, kNow);
  const auto first =
      std::get<std::shared_ptr<PlacedAttempt>>(Start(*router, kNow, {}));
  const auto pause = [&](Duration length, Time now) {
    return router->RecordReply(*first, {.pause = length}, now).pause;
  };
  CHECK(pause(seconds(10), kNow));
  // The reply to a request that was sent before may arrive later.
  CHECK_FALSE(pause(seconds(1), kNow + seconds(1)));
  CHECK(router->FindSendBlock(*first, kNow + milliseconds(9999)) ==
        SendBlock::kPaused);
  CHECK(router->FindSendBlock(*first, kNow + seconds(10)) == SendBlock::kNone);

  router->ApplyConfig(SmallRouting(2));
  CHECK_FALSE(IsUsed(*router, kNow + seconds(2)));
  router->ApplyUpstreamChanges({RemovedUpstream("u1", 3)}, {4}, kNow);
  router->Tick(kNow);
  router->ApplyUpstreamChanges({StartedAt(1000, 5)}, {6}, kNow);
  CHECK_FALSE(IsUsed(*router, kNow + seconds(2)));
  CHECK(IsUsed(*router, kNow + seconds(10)));

  CHECK(pause(seconds(60), kNow + seconds(20)));
  router->ApplyUpstreamChanges({StartedAt(2000, 7)}, {8}, kNow);
  CHECK(IsUsed(*router, kNow + seconds(21)));
}

TEST_CASE("A caller is told when the first pause ends, or waits for it") {
  const auto router = ReadyRouter(0, kNow, {"a"});
  router->ApplyUpstreamList({StartedAt(1000, 1)}, {2}, kNow);
  const auto first =
      std::get<std::shared_ptr<PlacedAttempt>>(Start(*router, kNow, {}));
  router->RecordReply(*first, {.pause = seconds(4)}, kNow);
  for (int i = 0; i < 50; ++i) {
    const auto result = Start(*router, kNow + seconds(1), {});
    const auto* refusal = std::get_if<Unplaced>(&result);
    REQUIRE(refusal != nullptr);
    CHECK(refusal->reason == PlacementRefusal::kLimited);
    CHECK(refusal->limited == 1);
    CHECK(refusal->retry_after >= seconds(3));
    CHECK(refusal->retry_after <= seconds(4));
  }
  // A short rest of the pause is worth waiting for.
  CHECK(std::holds_alternative<Deferred>(
      Start(*router, kNow + milliseconds(3990), {})));
}

}  // namespace
}  // namespace pomeloring
