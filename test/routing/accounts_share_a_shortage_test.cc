// One of 24 client accounts sends six times its usual load, so that one and a
// half times what the engines can serve arrives for 10 s. Without fair shares,
// all accounts are refused alike.

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "support/few_slots_site.h"

namespace pomeloring {
namespace {

constexpr AccountId kAccounts = 24;
constexpr AccountId kBusy = 1;
// "tag" requests a second with 110 output tokens, by an engine of mean speed
// with all slots in use.
constexpr double kServedPerEngine = 18;

struct Site {
  int instances = 6;
  int engines = 8;
  bool admits_by_slots = false;
  bool has_fair_accounts = true;
  bool loses_digests = false;  // During the burst.
};

// Parts of the capacity.
struct Load {
  double others = 0.66;  // All 23 together.
  double busy = 0.14;    // Usual load of the busy account.
  double burst = 6;
};

struct Outcome {
  AccountScore busy;
  AccountScore others;
  double least_served = 1;  // Part of the requests of another account.
};

double PartServed(const AccountScore& score) {
  return score.started / std::max(1.0, static_cast<double>(score.arrived));
}

Outcome Offer(const Site& kind, const Load& load) {
  const double capacity = kServedPerEngine * kind.engines;
  std::vector<LoadClass> loads;
  for (AccountId account = 1; account <= kAccounts; ++account) {
    const double part =
        account == kBusy ? load.busy : load.others / (kAccounts - 1);
    loads.push_back({"tag", part * capacity, 600, 110,
                     account == kBusy ? load.burst : 1, account});
  }
  RouterSettings settings;
  settings.admits_by_slots = kind.admits_by_slots;
  settings.features.fair_accounts = kind.has_fair_accounts;
  FewSlotsSite site(kind.instances, kind.engines, {}, settings);
  if (kind.loses_digests) {
    site.LoseDigests(seconds(4), seconds(16));
  }
  site.Run(loads, seconds(4), seconds(14), seconds(16));
  Outcome outcome;
  outcome.busy = site.Score(kBusy);
  for (AccountId account = 2; account <= kAccounts; ++account) {
    const AccountScore& score = site.Score(account);
    outcome.others.arrived += score.arrived;
    outcome.others.started += score.started;
    outcome.others.refused += score.refused;
    outcome.others.over_share += score.over_share;
    outcome.others.waited += score.waited;
    outcome.least_served = std::min(outcome.least_served, PartServed(score));
  }
  MESSAGE(kind.instances << " instances: busy " << outcome.busy.arrived
                         << " arrived, " << outcome.busy.started << " started, "
                         << outcome.busy.refused << " refused; others "
                         << outcome.others.arrived << " arrived, "
                         << outcome.others.started << " started, "
                         << outcome.others.refused << " refused ("
                         << outcome.others.over_share
                         << " over share), least served "
                         << outcome.least_served);
  return outcome;
}

TEST_CASE("An account that sends too much bears the refusals") {
  const Site sites[] = {{}, {85, 112}, {85, 112, true}};
  const Load loads[] = {{}, {0.9, 0.1, 6}};
  for (const Site& site : sites) {
    for (const Load& load : loads) {
      CAPTURE(site.instances);
      CAPTURE(site.admits_by_slots);
      CAPTURE(load.others);
      const Outcome without = Offer(site, {load.others, 0, 1});
      const Outcome with = Offer(site, load);
      REQUIRE(with.busy.refused > 0.25 * with.busy.arrived);
      CHECK(with.busy.refused >=
            0.9 * (with.busy.refused + with.others.refused));
      CHECK(with.others.over_share == 0);
      CHECK(with.least_served >= 0.9 * without.least_served);
      // Half of its fair share, what the others leave.
      CHECK(with.busy.started >=
            0.5 * (1 - load.others) * 10 * kServedPerEngine * site.engines);
    }
  }
}

// Guards against a test load under which nobody would be refused anyway.
TEST_CASE("Without fair shares all accounts are refused alike") {
  Site site;
  site.has_fair_accounts = false;
  CHECK(Offer(site, {}).least_served < 0.8);
}

TEST_CASE("Without a shortage no request is delayed") {
  const Site sites[] = {{}, {85, 112}, {6, 8, true}};
  for (const Site& site : sites) {
    const Outcome usual = Offer(site, {0.5, 0.1, 1});
    for (const AccountScore& score : {usual.busy, usual.others}) {
      CHECK(score.arrived > 0);
      CHECK(score.started == score.arrived);
      CHECK(score.waited == Duration{0});
    }
  }
}

// Instances that know only their own load start what arrives, as without fair
// shares, and refuse no account for what they cannot know.
TEST_CASE("Lost digests make no account worse off than without shares") {
  Site site;
  site.loses_digests = true;
  const Outcome fair = Offer(site, {});
  site.has_fair_accounts = false;
  const Outcome unfair = Offer(site, {});
  CHECK(PartServed(fair.others) >= PartServed(unfair.others) - 0.02);
  CHECK(fair.others.over_share == 0);
}

}  // namespace
}  // namespace pomeloring
