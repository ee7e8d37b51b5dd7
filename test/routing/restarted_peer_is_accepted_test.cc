// The incarnation of an instance is derived from its time of day. If that is
// set back before the instance restarts, the digests after the restart must
// still be accepted.

#include <doctest/doctest.h>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

PeerDigest From(uint64_t incarnation, uint64_t sequence, uint32_t running) {
  PeerDigest digest;
  digest.sender = {"b"};
  digest.incarnation.value = incarnation;
  digest.sequence = sequence;
  UpstreamLoad load;
  load.running = running;
  digest.loads.emplace_back(UpstreamName{"e0"}, load);
  return digest;
}

TEST_CASE("A lower incarnation is accepted once the peer has been silent") {
  constexpr Time kNow{seconds(1000)};
  const auto router = ReadyRouter(1, kNow);
  CHECK(router->HandleDigest(From(9, 50, 3), kNow));
  // A late datagram of an older incarnation or sequence is dropped.
  CHECK_FALSE(router->HandleDigest(From(8, 99, 5), kNow + milliseconds(100)));
  CHECK_FALSE(router->HandleDigest(From(9, 49, 5), kNow + milliseconds(100)));
  CHECK(router->HandleDigest(From(7, 1, 1), kNow + seconds(3)));
  CHECK(router->HandleDigest(From(7, 2, 2), kNow + seconds(3)));
  CHECK(TotalLoad(*router->AllUpstreams().front()).running == 2);
}

}  // namespace
}  // namespace pomeloring
