// One of 24 client accounts sends six times its usual load, so that one and a
// half times what the engines can serve arrives for 10 s. Without fair shares,
// all accounts are refused alike.

#include <doctest/doctest.h>

#include <vector>

#include "support/few_slots_site.h"

namespace pomeloring {
namespace {

constexpr AccountId kAccounts = 24;
constexpr AccountId kBusy = 1;
// Of "tag" requests with 110 output tokens, by an engine of mean speed; measured
// with all slots in use.
constexpr double kServedPerEngine = 18;

struct SharesCase {
  const char* name;
  int instances;
  int engines;
  bool admits_by_slots;
  bool fair;
  double busy_usual;   // Part of the capacity.
  double busy_burst;   // Times the usual load.
  double others;       // Part of the capacity, all together.
};

struct SharesResult {
  AccountScore busy;
  AccountScore others;
  double least_served = 1;  // Part of the requests of another account.
};

SharesResult Offer(const SharesCase& each, bool has_busy) {
  const double capacity = kServedPerEngine * each.engines;
  std::vector<LoadClass> loads;
  for (AccountId account = 1; account <= kAccounts; ++account) {
    const bool is_busy = account == kBusy;
    if (is_busy && !has_busy) {
      continue;
    }
    const double part =
        is_busy ? each.busy_usual : each.others / (kAccounts - 1);
    loads.push_back({"tag", part * capacity, 600, 110,
                     is_busy ? each.busy_burst : 1, account});
  }
  RouterSettings settings;
  settings.admits_by_slots = each.admits_by_slots;
  settings.features.fair_accounts = each.fair;
  FewSlotsSite site(each.instances, each.engines, {}, settings);
  site.Run(loads, seconds(5), seconds(15), seconds(17));
  SharesResult result;
  result.busy = site.Score(kBusy);
  for (AccountId account = 2; account <= kAccounts; ++account) {
    const AccountScore& score = site.Score(account);
    result.others.arrived += score.arrived;
    result.others.started += score.started;
    result.others.refused += score.refused;
    result.others.over_share += score.over_share;
    result.others.waited += score.waited;
    result.least_served = std::min(
        result.least_served, score.started / static_cast<double>(score.arrived));
  }
  MESSAGE(each.name << (has_busy ? "" : " without it") << ": busy "
                    << result.busy.arrived << " arrived, "
                    << result.busy.started << " started, "
                    << result.busy.refused << " refused ("
                    << result.busy.over_share << " over share), others "
                    << result.others.arrived << " arrived, "
                    << result.others.started << " started, "
                    << result.others.refused << " refused ("
                    << result.others.over_share << " over share), mean wait "
                    << ToMillis(result.others.waited) / result.others.started
                    << " ms, least served " << result.least_served
                    << ", tag complete " << site.Result("tag").complete << " on time " << site.Result("tag").on_time);
  return result;
}

TEST_CASE("trial") {
  const SharesCase cases[] = {
      //{"6 off", 6, 8, false, false, 0.14, 6, 0.66},
      {"6 on", 6, 8, false, true, 0.14, 6, 0.66},
      //{"6 on slots", 6, 8, true, true, 0.14, 6, 0.66},
      //{"85 off", 85, 112, false, false, 0.14, 6, 0.66},
      {"85 on", 85, 112, false, true, 0.14, 6, 0.66},
      //{"85 on slots", 85, 112, true, true, 0.14, 6, 0.66},
      {"85 on dense", 85, 112, false, true, 0.1, 6, 0.9},
  };
  for (const SharesCase& each : cases) {
    //Offer(each, false);
    Offer(each, true);
  }
}

}  // namespace
}  // namespace pomeloring
