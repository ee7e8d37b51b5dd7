// Between whole digests only the uses that have changed are told. Peers count
// the same runs as from whole ones, and a lost digest is made good.

#include <doctest/doctest.h>

#include "gateway/peer_codec.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};

uint32_t RunsAt(const Router& router, const UpstreamName& name) {
  for (const UpstreamState* upstream : router.AllUpstreams()) {
    if (upstream->record.id == name) {
      return TotalUse(*upstream).running;
    }
  }
  return 0;
}

std::shared_ptr<Run> Start(Router& router, Time now) {
  return std::get<std::shared_ptr<Run>>(
      router.StartRun(RequestOn(router, "question", 500), now));
}

TEST_CASE("Runs that begin and end between whole digests are counted") {
  const auto teller = ReadyRouter(4, kNow, {"b"});
  const auto hearer = ReadyRouter(4, kNow, {"a"});
  const auto kept = Start(*teller, kNow);
  const auto ended = Start(*teller, kNow);
  REQUIRE(kept->upstream != ended->upstream);
  const PeerDigest whole = teller->TakeDigestToSend(false, false, kNow);
  CHECK_FALSE(whole.has_changed_uses_only);
  hearer->HandleDigest(whole, kNow);

  teller->EndRun(*ended, RunOutcome::kServed, kNow + seconds(1));
  teller->TakeDigestToSend(false, false, kNow + seconds(1));
  const auto next = Start(*teller, kNow + milliseconds(1050));
  const PeerDigest changes =
      teller->TakeDigestToSend(false, false, kNow + milliseconds(1050));
  CHECK(changes.has_changed_uses_only);
  CHECK(changes.uses.size() == 1);
  hearer->HandleDigest(changes, kNow + milliseconds(1050));
  CHECK(RunsAt(*hearer, kept->upstream->record.id) ==
        RunsAt(*teller, kept->upstream->record.id));
  CHECK(RunsAt(*hearer, next->upstream->record.id) ==
        RunsAt(*teller, next->upstream->record.id));

  // The digest that told of the end was lost; the next whole one tells again.
  const PeerDigest later =
      teller->TakeDigestToSend(false, false, kNow + milliseconds(1500));
  CHECK_FALSE(later.has_changed_uses_only);
  hearer->HandleDigest(later, kNow + milliseconds(1500));
  for (const UpstreamState* upstream : teller->AllUpstreams()) {
    CHECK(RunsAt(*hearer, upstream->record.id) ==
          RunsAt(*teller, upstream->record.id));
  }
}

TEST_CASE("An end that is told alone takes the run off") {
  const auto teller = ReadyRouter(1, kNow, {"b"});
  const auto hearer = ReadyRouter(1, kNow, {"a"});
  const auto run = Start(*teller, kNow);
  hearer->HandleDigest(teller->TakeDigestToSend(false, false, kNow), kNow);
  CHECK(RunsAt(*hearer, run->upstream->record.id) == 1);
  teller->EndRun(*run, RunOutcome::kServed, kNow + milliseconds(50));
  const auto digest =
      teller->TakeDigestToSend(false, false, kNow + milliseconds(50));
  CHECK(digest.has_changed_uses_only);
  const auto decoded = DecodeDigest(EncodeDigest(digest));
  REQUIRE(decoded);
  hearer->HandleDigest(*decoded, kNow + milliseconds(50));
  CHECK(RunsAt(*hearer, run->upstream->record.id) == 0);
}

TEST_CASE("A digest of thousands of upstreams goes in several datagrams") {
  constexpr int kUpstreams = 2000;
  const auto teller = ReadyRouter(kUpstreams, kNow, {"b"});
  const auto hearer = ReadyRouter(kUpstreams, kNow, {"a"});
  for (int i = 0; i < kUpstreams; ++i) {
    Start(*teller, kNow);
  }
  const auto pieces = SplitDigest(teller->TakeDigestToSend(false, false, kNow));
  CHECK(pieces.size() > 1);
  for (const PeerDigest& piece : pieces) {
    const std::string bytes = EncodeDigest(piece);
    CHECK(bytes.size() < 60000);
    CHECK(hearer->HandleDigest(*DecodeDigest(bytes), kNow));
  }
  uint32_t heard = 0;
  for (const UpstreamState* upstream : hearer->AllUpstreams()) {
    heard += TotalUse(*upstream).running;
  }
  CHECK(heard == kUpstreams);
  // The next one is newer than all pieces.
  CHECK(
      hearer->HandleDigest(teller->TakeDigestToSend(false, false, kNow), kNow));
}

TEST_CASE("Another relay is told everything at first") {
  const auto teller = ReadyRouter(1, kNow, {"b"});
  const auto run = Start(*teller, kNow);
  teller->TakeDigestToSend(false, false, kNow, {"r"});
  CHECK(teller->TakeDigestToSend(false, false, kNow, {"r"})
            .has_changed_uses_only);
  const PeerDigest first = teller->TakeDigestToSend(false, false, kNow, {"s"});
  CHECK_FALSE(first.has_changed_uses_only);
  CHECK(first.uses.size() == 1);
}

}  // namespace
}  // namespace pomeloring
