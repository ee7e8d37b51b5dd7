// Between full digests only changed loads are sent. Peers must count the same
// requests as from full digests, and the next full one must correct a lost
// change.

#include <doctest/doctest.h>

#include "gateway/peer_codec.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};

uint32_t RunningAt(const Router& router, const UpstreamName& name) {
  for (const UpstreamState* upstream : router.AllUpstreams()) {
    if (upstream->record.id == name) {
      return TotalLoad(*upstream).running;
    }
  }
  return 0;
}

std::shared_ptr<PlacedAttempt> Start(Router& router, Time now) {
  return std::get<std::shared_ptr<PlacedAttempt>>(
      router.StartAttempt(RequestOn(router, "question", 500), now));
}

TEST_CASE("Attempts that start and end between full digests are counted") {
  const auto sender = ReadyRouter(4, kNow, {"b"});
  const auto receiver = ReadyRouter(4, kNow, {"a"});
  const auto running_attempt = Start(*sender, kNow);
  const auto ended_attempt = Start(*sender, kNow);
  REQUIRE(running_attempt->upstream != ended_attempt->upstream);
  const PeerDigest full_digest = sender->BuildDigest(false, false, kNow);
  CHECK_FALSE(full_digest.changed_loads_only);
  receiver->HandleDigest(full_digest, kNow);

  sender->EndAttempt(*ended_attempt, UpstreamOutcome::kServed,
                     kNow + seconds(1));
  sender->BuildDigest(false, false, kNow + seconds(1));
  const auto next = Start(*sender, kNow + milliseconds(1050));
  const PeerDigest changes =
      sender->BuildDigest(false, false, kNow + milliseconds(1050));
  CHECK(changes.changed_loads_only);
  CHECK(changes.loads.size() == 1);
  receiver->HandleDigest(changes, kNow + milliseconds(1050));
  CHECK(RunningAt(*receiver, running_attempt->upstream->record.id) ==
        RunningAt(*sender, running_attempt->upstream->record.id));
  CHECK(RunningAt(*receiver, next->upstream->record.id) ==
        RunningAt(*sender, next->upstream->record.id));

  // The digest with the ended attempt was lost; the next full one corrects it.
  const PeerDigest later =
      sender->BuildDigest(false, false, kNow + milliseconds(1500));
  CHECK_FALSE(later.changed_loads_only);
  receiver->HandleDigest(later, kNow + milliseconds(1500));
  for (const UpstreamState* upstream : sender->AllUpstreams()) {
    CHECK(RunningAt(*receiver, upstream->record.id) ==
          RunningAt(*sender, upstream->record.id));
  }
}

TEST_CASE("A digest with an ended attempt alone removes its load") {
  const auto sender = ReadyRouter(1, kNow, {"b"});
  const auto receiver = ReadyRouter(1, kNow, {"a"});
  const auto attempt = Start(*sender, kNow);
  receiver->HandleDigest(sender->BuildDigest(false, false, kNow), kNow);
  CHECK(RunningAt(*receiver, attempt->upstream->record.id) == 1);
  sender->EndAttempt(*attempt, UpstreamOutcome::kServed,
                     kNow + milliseconds(50));
  const auto digest =
      sender->BuildDigest(false, false, kNow + milliseconds(50));
  CHECK(digest.changed_loads_only);
  const auto decoded = DecodeDigest(EncodeDigest(digest));
  REQUIRE(decoded);
  receiver->HandleDigest(*decoded, kNow + milliseconds(50));
  CHECK(RunningAt(*receiver, attempt->upstream->record.id) == 0);
}

TEST_CASE(
    "A digest of thousands of upstreams is split into several datagrams") {
  constexpr int kUpstreams = 2000;
  const auto sender = ReadyRouter(kUpstreams, kNow, {"b"});
  const auto receiver = ReadyRouter(kUpstreams, kNow, {"a"});
  for (int i = 0; i < kUpstreams; ++i) {
    Start(*sender, kNow);
  }
  const auto pieces = SplitDigest(sender->BuildDigest(false, false, kNow));
  CHECK(pieces.size() > 1);
  for (const PeerDigest& piece : pieces) {
    const std::string bytes = EncodeDigest(piece);
    CHECK(bytes.size() < 60000);
    CHECK(receiver->HandleDigest(*DecodeDigest(bytes), kNow));
  }
  uint32_t running = 0;
  for (const UpstreamState* upstream : receiver->AllUpstreams()) {
    running += TotalLoad(*upstream).running;
  }
  CHECK(running == kUpstreams);
  // The next digest is newer than all pieces.
  CHECK(receiver->HandleDigest(sender->BuildDigest(false, false, kNow), kNow));
}

TEST_CASE("The first digest to another relay is a full one") {
  const auto sender = ReadyRouter(1, kNow, {"b"});
  const auto attempt = Start(*sender, kNow);
  sender->BuildDigest(false, false, kNow, {"r"});
  CHECK(sender->BuildDigest(false, false, kNow, {"r"}).changed_loads_only);
  const PeerDigest first = sender->BuildDigest(false, false, kNow, {"s"});
  CHECK_FALSE(first.changed_loads_only);
  CHECK(first.loads.size() == 1);
}

}  // namespace
}  // namespace pomeloring
