// A request must not reach an upstream that has left because an older
// registration, which a peer still had, was taken for a new one, or because a
// peer was told a position without the removals before it.

#include <doctest/doctest.h>

#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};

std::unique_ptr<Router> Started(const std::string& name) {
  RouterSettings settings;
  settings.name.value = name;
  auto router = std::make_unique<Router>(settings);
  router->ApplyConfig(SmallRouting());
  return router;
}

std::unique_ptr<Router> Listed(const std::string& name,
                               const std::vector<UpstreamChange>& listed,
                               uint64_t as_of) {
  auto router = Started(name);
  router->ApplyUpstreamList(listed, {as_of}, kNow);
  return router;
}

bool IsRegistered(const Router& router, const std::string& id) {
  const auto& entries = router.Upstreams().entries;
  const auto found = entries.find({id});
  return found != entries.end() && found->second.record;
}

TEST_CASE("A list that arrives late brings no upstream back") {
  const auto peer = Listed("b", {ReadyUpstream("left", 3)}, 19);
  const auto router = Started("a");
  // Requested from the peer before the store replied.
  const UpstreamUpdate late = UpdateSince(
      peer->Upstreams(),
      router->UpstreamsKnownTo(peer->BuildDigest(false, true, kNow)));
  router->ApplyUpstreamList({ReadyUpstream("stays", 20)}, {22}, kNow);
  router->ApplyUpstreamList(late.changes, late.as_of, kNow);
  CHECK_FALSE(IsRegistered(*router, "left"));
  CHECK(IsRegistered(*router, "stays"));
}

TEST_CASE("Changes that arrive late bring no upstream back") {
  const auto router = Listed("a", {ReadyUpstream("stays", 20)}, 22);
  router->ApplyUpstreamChanges({ReadyUpstream("left", 3)}, {19}, kNow);
  CHECK_FALSE(IsRegistered(*router, "left"));
}

TEST_CASE("A peer is told of removals that the sender has not read itself") {
  const auto behind = Listed("a", {ReadyUpstream("left", 3)}, 19);
  const auto started_later = Listed("b", {ReadyUpstream("stays", 20)}, 22);
  CHECK(FetchUpstreams(*behind, *started_later, kNow));
  CHECK_FALSE(IsRegistered(*behind, "left"));
  CHECK(IsRegistered(*behind, "stays"));
}

TEST_CASE("A removal is passed on from peer to peer") {
  const auto first = Listed("a", {ReadyUpstream("left", 3)}, 19);
  const auto second = Listed("b", {ReadyUpstream("left", 3)}, 20);
  const auto started_later = Listed("c", {}, 22);
  CHECK(FetchUpstreams(*second, *started_later, kNow));
  CHECK(FetchUpstreams(*first, *second, kNow));
  CHECK_FALSE(IsRegistered(*first, "left"));
}

TEST_CASE(
    "Removals are forgotten after a while, and peers still told of them") {
  const auto behind = Listed("a", {ReadyUpstream("left", 3)}, 19);
  const auto router = Listed("b", {ReadyUpstream("left", 3)}, 19);
  router->ApplyUpstreamChanges({RemovedUpstream("left", 19)}, {20}, kNow);
  CHECK_FALSE(UpdateSince(router->Upstreams(), {19}).is_whole_list);
  router->Tick(kNow + seconds(3600));
  CHECK(router->Upstreams().entries.empty());
  CHECK(UpdateSince(router->Upstreams(), {19}).is_whole_list);
  CHECK(FetchUpstreams(*behind, *router, kNow));
  CHECK_FALSE(IsRegistered(*behind, "left"));
}

// An instance of an earlier version may be wrong about what its position
// covers. Its peers agree on the tables without the upstream: one that lives
// registers again.
TEST_CASE("Different tables of one position agree on who has left") {
  const auto has = Listed("a", {ReadyUpstream("left", 3)}, 22);
  const auto lacks = Listed("b", {}, 22);
  SUBCASE("one fetches first") {
    FetchUpstreams(*has, *lacks, kNow);
  }
  SUBCASE("the other fetches first") {
    FetchUpstreams(*lacks, *has, kNow);
  }
  FetchUpstreams(*has, *lacks, kNow);
  FetchUpstreams(*lacks, *has, kNow);
  CHECK_FALSE(IsRegistered(*has, "left"));
  CHECK_FALSE(IsRegistered(*lacks, "left"));
  has->ApplyUpstreamChanges({ReadyUpstream("left", 22)}, {23}, kNow);
  CHECK(FetchUpstreams(*lacks, *has, kNow));
  CHECK(IsRegistered(*lacks, "left"));
}

}  // namespace
}  // namespace pomeloring
