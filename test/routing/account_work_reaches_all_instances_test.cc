// The work that accounts start at one instance counts at all others, also where
// relays add it up. Guards against work that is counted twice or not at all,
// against digests that grow with the accounts, and against any byte where the
// setting is off.

#include <doctest/doctest.h>
#include <fmt/format.h>

#include <array>
#include <memory>

#include "gateway/peer_codec.h"
#include "support/routing_site.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};
const ServiceName kService{kEngineService};

std::unique_ptr<Router> FairRouter(const std::string& name, bool is_fair) {
  RouterSettings settings;
  settings.name.value = name;
  settings.features.fair_accounts = is_fair;
  auto router = std::make_unique<Router>(settings);
  auto config = std::make_shared<RoutingConfig>(*SmallRouting());
  config->services.at(kService).engine->batch_slots = 12;
  router->ApplyConfig(config);
  router->ApplyUpstreamList({ReadyUpstream("e0", 0), ReadyUpstream("e1", 0)},
                            LogOffset{1}, kNow);
  return router;
}

void StartOne(Router& router, AccountId account, uint32_t tokens) {
  AttemptRequest request = RequestOn(router, "tag", tokens);
  request.account = account;
  REQUIRE(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(
      router.StartAttempt(request, kNow)));
}

PeerDigest OverWire(const PeerDigest& digest) {
  const auto decoded = DecodeDigest(EncodeDigest(digest));
  REQUIRE(decoded);
  return *decoded;
}

double WorkAt(Router& router, AccountId account, Time now) {
  router.Tick(now);
  const auto& total = router.Accounts().at(kService).total;
  const auto found = total.find(account);
  return found == total.end() ? 0 : found->second;
}

// Two relays with an instance each.
struct RelayedRouters {
  explicit RelayedRouters(bool is_fair) {
    for (size_t i = 0; i < all.size(); ++i) {
      all[i] = FairRouter(names[i], is_fair);
      StartOne(*all[i], 7, 1000);
      StartOne(*all[i], static_cast<AccountId>(100 + i), 500);
    }
    all[1]->SetRelaying(true);
    all[2]->SetRelaying(true);
  }

  void Exchange(Time now) {
    relay_1().HandleDigest(
        OverWire(all[0]->BuildDigest(false, false, now, {names[1]})), now);
    relay_2().HandleDigest(
        OverWire(all[3]->BuildDigest(false, false, now, {names[2]})), now);
    const PeerDigest group = relay_1().BuildGroupDigest(false, false, now);
    relay_1().HandleDigest(
        OverWire(relay_2().BuildGroupDigest(false, false, now)), now);
    relay_2().HandleDigest(OverWire(group), now);
    for (size_t i : {0, 3}) {
      for (const auto& [name, digest] :
           (i == 0 ? relay_1() : relay_2())
               .BuildRelayedDigests(false, false, now)) {
        all[i]->HandleDigest(OverWire(digest), now);
      }
    }
  }

  Router& relay_1() { return *all[1]; }
  Router& relay_2() { return *all[2]; }

  const std::array<std::string, 4> names{"a", "r1", "r2", "b"};
  std::array<std::unique_ptr<Router>, 4> all;
};

TEST_CASE("Each instance counts the work of all others once") {
  RelayedRouters routers(true);
  for (int round = 1; round <= 3; ++round) {
    routers.Exchange(kNow + milliseconds(40 * round));
  }
  for (const auto& router : routers.all) {
    CAPTURE(router->Settings().name.value);
    const Time now = kNow + milliseconds(120);
    const double decay = WorkDecay(milliseconds(120));
    CHECK(WorkAt(*router, 7, now) == doctest::Approx(4000 * decay));
    for (AccountId account = 100; account < 104; ++account) {
      CHECK(WorkAt(*router, account, now) == doctest::Approx(500 * decay));
    }
  }
  SUBCASE("A lost relay's part is dropped, the own work stays") {
    const Time later = kNow + seconds(2);
    CHECK(WorkAt(*routers.all[3], 7, later) ==
          doctest::Approx(1000 * WorkDecay(seconds(2))));
    CHECK(WorkAt(*routers.all[3], 100, later) == 0);
  }
  SUBCASE("A peer of the earlier version reports no work") {
    PeerDigest old =
        routers.relay_2().BuildGroupDigest(false, false, kNow + seconds(1));
    old.account_work.clear();
    routers.relay_1().HandleDigest(OverWire(old), kNow + seconds(1));
    CHECK(WorkAt(routers.relay_1(), 103, kNow + seconds(1)) == 0);
    CHECK(WorkAt(routers.relay_1(), 7, kNow + seconds(1)) ==
          doctest::Approx(2000 * WorkDecay(seconds(1))));
  }
}

TEST_CASE("Digests carry no work where the setting is off") {
  RelayedRouters routers(false);
  routers.Exchange(kNow + milliseconds(40));
  for (const auto& router : routers.all) {
    CHECK(router->Accounts().empty());
    CHECK(router->BuildDigest(false, false, kNow).account_work.empty());
  }
}

// A reply that says that a request has not run would let its caller send it to
// an upstream a second time.
TEST_CASE("A request that has run is not refused for its account's share") {
  const auto router = FairRouter("a", true);
  for (AccountId i = 0; i < 12; ++i) {
    StartOne(*router, 7, 1000);
    StartOne(*router, 100 + i, 1000);
  }
  const Time now = kNow + milliseconds(100);
  router->Tick(now);
  AttemptRequest request = RequestOn(*router, "tag", 1000);
  request.account = 7;
  request.ticket = 1;
  const auto held = router->StartAttempt(request, now);
  REQUIRE(std::holds_alternative<Deferred>(held));
  REQUIRE(std::get<Deferred>(held).share);
  CHECK(std::get<Deferred>(held).share->is_new);
  request.waited = seconds(1);
  const auto refused = router->StartAttempt(request, now);
  REQUIRE(std::holds_alternative<Unplaced>(refused));
  const auto& unplaced = std::get<Unplaced>(refused);
  CHECK(unplaced.reason == PlacementRefusal::kOverShare);
  CHECK(unplaced.retry_after > Duration{0});
  CHECK(unplaced.retry_after <= request.time_left / 3);
  request.has_run = true;
  const auto goes_on = router->StartAttempt(request, now);
  CHECK(std::holds_alternative<std::shared_ptr<PlacedAttempt>>(goes_on));
}

size_t BytesWith(AccountId accounts) {
  PeerDigest digest;
  digest.sender.value = "a";
  const size_t without = EncodeDigest(digest).size();
  AccountShares shares;
  shares.updated_at = kNow;
  for (AccountId account = 1; account <= accounts; ++account) {
    shares.own[account * 2654435761U] = 1000 + account;
  }
  digest.account_work[kService] = OwnWork(shares, kNow);
  return EncodeDigest(digest).size() - without;
}

TEST_CASE("The work of accounts takes few bytes of a digest") {
  MESSAGE(BytesWith(24) << " bytes with 24 accounts, " << BytesWith(11000)
                        << " with 11000");
  CHECK(BytesWith(24) < 400);
  CHECK(BytesWith(11000) < 700);
}

TEST_CASE("Work that no instance sends is not read") {
  PeerDigest digest;
  digest.sender.value = "a";
  digest.account_work[kService] = {{1, 5}, {2, -5}, {3, 0}, {4, 1e300}};
  digest.account_work[{"other"}] = {{1, 6}};
  const ServiceAccountWork read = OverWire(digest).account_work;
  CHECK(read.at(kService) == AccountWork{{1, 5}});
  CHECK(read.at({"other"}) == AccountWork{{1, 6}});
}

}  // namespace
}  // namespace pomeloring
