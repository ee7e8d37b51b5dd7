// Two instances read the store for all. When one of them is lost, is stopping
// or is rejected by the store, the next one reads in its place.

#include <doctest/doctest.h>

#include "routing/store_readers.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};

PeerState Reader() {
  PeerState peer;
  peer.digest.reads_store = true;
  peer.last_received = kNow;
  return peer;
}

using Peers = std::map<InstanceName, PeerState>;

TEST_CASE(
    "An instance whose name follows two readers does not read the store") {
  const Peers peers = {{{"a"}, Reader()}, {{"b"}, Reader()}};
  CHECK_FALSE(ShouldReadStore({"c"}, peers, kNow));
  CHECK(ShouldReadStore({"aa"}, peers, kNow));
}

TEST_CASE("A reader that the store rejects is replaced") {
  Peers peers = {{{"a"}, Reader()}, {{"b"}, Reader()}};
  peers[{"a"}].digest.reads_store = false;
  CHECK(ShouldReadStore({"c"}, peers, kNow));
}

TEST_CASE("A silent reader is replaced within a second") {
  Peers peers = {{{"a"}, Reader()}, {{"b"}, Reader()}};
  peers[{"b"}].last_received = kNow - milliseconds(1000);
  CHECK(ShouldReadStore({"c"}, peers, kNow));
}

TEST_CASE("A stopping reader is replaced at once") {
  Peers peers = {{{"a"}, Reader()}, {{"b"}, Reader()}};
  peers[{"b"}].digest.leaving = true;
  CHECK(ShouldReadStore({"c"}, peers, kNow));
  CHECK(AnyPeerReadsStore(peers, kNow));
  peers[{"a"}].digest.leaving = true;
  CHECK_FALSE(AnyPeerReadsStore(peers, kNow));
}

}  // namespace
}  // namespace pomeloring
