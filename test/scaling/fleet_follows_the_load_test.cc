// A fleet that saves upstream-seconds at the cost of callers is worse than one
// of a fixed size: each case names a load and what may be lost under it.

#include <doctest/doctest.h>

#include "scaling/scaled_service.h"

namespace pomeloring {
namespace {

constexpr UpstreamKind kRegular = UpstreamKind::kRegular;
constexpr UpstreamKind kReclaimable = UpstreamKind::kReclaimable;

// Some 60 requests at a time need five of the twelve upstreams at the start;
// under `burst` times as many for `burst_s` from 100 s on.
std::function<double(double)> Load(double burst, double burst_s = 9) {
  return [=](double at) {
    const bool in_burst = at >= 100 && at < 100 + burst_s;
    return (in_burst ? burst : 1) * (60 + 5 * std::sin(at));
  };
}

ScaledService Run(Policy mode, const std::function<double(double)>& demand) {
  ScaledService service(4);
  service.mode = mode;
  service.demand = demand;
  service.RunUntil(180);
  return service;
}

// No order is reversed within the start-up time, except in a shortage.
void CheckOrders(const ScaledService& service) {
  CHECK_FALSE(service.over_max);
  CHECK_FALSE(service.under_min);
  std::map<ScalingSubject, Time> raised;
  for (const SentOrder& sent : service.sent) {
    const ScalingOrder& order = sent.order;
    CHECK(order.desired <= service.limits.max);
    if (order.desired >= order.before) {
      raised[order.subject] = sent.at;
    } else if (raised.contains(order.subject)) {
      CHECK(sent.at - raised[order.subject] >= service.limits.startup);
    }
  }
}

TEST_CASE("A calm day costs a quarter less and no caller waits") {
  const ScaledService fixed = Run(Policy::kNoOrders, Load(1));
  const ScaledService planned = Run(Policy::kPlanned, Load(1));
  MESSAGE("cost: fixed " << fixed.cost << ", planned " << planned.cost);
  CHECK(planned.cost <= 0.75 * fixed.cost);
  CHECK(planned.lost == 0);
  CHECK(planned.late == 0);
  CHECK(planned.Count(kReclaimable) > planned.Count(kRegular));
  CHECK(planned.sent.size() < 25);
  CheckOrders(planned);
}

TEST_CASE("Bursts lose less than with no orders and with proportional ones") {
  for (const auto& [burst, burst_s] :
       {std::pair{1.5, 3.0}, {2.0, 9.0}, {2.5, 9.0}, {2.8, 9.0}}) {
    CAPTURE(burst);
    const auto load = Load(burst, burst_s);
    const ScaledService fixed = Run(Policy::kNoOrders, load);
    const ScaledService proportional = Run(Policy::kProportional, load);
    const ScaledService planned = Run(Policy::kPlanned, load);
    MESSAGE("late: fixed " << fixed.late << ", proportional "
                           << proportional.late << ", planned " << planned.late
                           << "; cost: " << fixed.cost << ", "
                           << proportional.cost << ", " << planned.cost);
    CHECK(planned.lost <= fixed.lost);
    CHECK(planned.late <= fixed.late);
    CHECK(planned.late < proportional.late);
    CHECK((burst < 2.5 || planned.late < fixed.late / 4));
    CheckOrders(planned);
  }
}

TEST_CASE("A burst that was seen is met by the headroom") {
  ScaledService service(4);
  service.demand = [](double at) {
    const bool in_burst = (at >= 100 && at < 109) || (at >= 250 && at < 259);
    return in_burst ? 180.0 : 60.0;
  };
  service.RunUntil(240);
  const double late_before = service.late;
  service.RunUntil(280);
  CHECK(service.late == late_before);
}

TEST_CASE("The loss of all reclaimable upstreams of a domain is made up") {
  for (const double burst : {1.0, 2.5}) {
    CAPTURE(burst);
    ScaledService service(4);
    service.demand = Load(burst);
    service.RunUntil(101);
    const uint32_t before = service.Serving();
    const size_t orders = service.sent.size();
    service.Reclaim({"d1"});
    service.RunUntil(102);
    uint32_t regular_ordered = 0;
    for (size_t i = orders; i < service.sent.size(); ++i) {
      const ScalingOrder& order = service.sent[i].order;
      CHECK(order.subject.kind == kRegular);
      regular_ordered += order.desired - order.before;
    }
    CHECK(regular_ordered > 0);
    service.RunUntil(106);
    CHECK(service.Serving() >= std::min(before, service.target.total));
    CHECK((burst > 1 || service.lost == 0));
    CHECK((burst > 1 || service.late == 0));
    const uint32_t regular = service.Count(kRegular);
    service.RunUntil(220);
    CHECK(service.Count(kRegular) < regular);  // Replaced again.
    CHECK(service.Count(kReclaimable) > service.Count(kRegular));
    CheckOrders(service);
  }
}

TEST_CASE("While no domain has reclaimable upstreams, regular ones are kept") {
  ScaledService service(4);
  service.demand = Load(1.0);
  service.dry_until = service.now + seconds(9);
  service.RunUntil(9);
  size_t unavailable = 0;
  for (const SentOrder& sent : service.sent) {
    unavailable += sent.result == OrderResult::kUnavailable ? 1 : 0;
  }
  // At 0, 2 and 6 s in each of the three domains.
  CHECK(unavailable <= 9);
  CHECK(service.Count(kReclaimable) == 0);
  CHECK(service.Count(kRegular) >= 12);
  service.RunUntil(120);
  CHECK(service.Count(kReclaimable) > service.Count(kRegular));
  CHECK(service.lost == 0);
  CheckOrders(service);
}

TEST_CASE("What the operator adds or removes stays so") {
  for (const int change : {3, -1}) {
    CAPTURE(change);
    ScaledService service(4);
    service.demand = Load(1);
    service.RunUntil(95);
    ScaledService unchanged = service;
    const bool has_regular = service.serving[{{"d2"}, kRegular}] > 0;
    REQUIRE(has_regular);
    service.serving[{{"d2"}, kRegular}] += static_cast<uint32_t>(change);
    for (const double at : {96, 110, 140, 180}) {
      CAPTURE(at);
      service.RunUntil(at);
      unchanged.RunUntil(at);
      CHECK(static_cast<int>(service.Serving()) ==
            static_cast<int>(unchanged.Serving()) + change);
      CHECK(static_cast<int>(service.Count(kRegular)) ==
            static_cast<int>(unchanged.Count(kRegular)) + change);
    }
  }
}

// Instances and upstreams that start together: the holder of the duty sees the
// initial fleet register over some seconds.
TEST_CASE("Upstreams that register after the first plan are no additions") {
  ScaledService complete(8);
  complete.demand = Load(1);
  ScaledService growing(3);
  growing.demand = Load(1);
  for (int i = 1; i <= 5; ++i) {
    growing.RunUntil(0.6 * i);
    for (const char* name : {"d0", "d1", "d2"}) {
      ++growing.serving[{{name}, kRegular}];
    }
  }
  complete.RunUntil(90);
  growing.RunUntil(90);
  CHECK(growing.Serving() <= complete.Serving());
  CHECK(growing.target.total == complete.target.total);
}

TEST_CASE("A new holder without the state harms nothing") {
  for (const double at : {2.0, 6.5, 15.0, 30.0}) {
    CAPTURE(at);
    ScaledService service(4);
    service.demand = Load(1);
    service.RunUntil(at);
    service.state = {};
    service.RunUntil(180);
    CHECK(service.late == 0);
    CheckOrders(service);
  }
}

TEST_CASE("A speed estimate that is wrong by a half loses nobody") {
  const ScaledService fixed = Run(Policy::kNoOrders, Load(1));
  for (const double error : {0.5, 1.5}) {
    CAPTURE(error);
    ScaledService service(4);
    service.prefill_error = error;
    service.demand = Load(1);
    service.RunUntil(180);
    CHECK(service.late == 0);
    CHECK(service.cost < fixed.cost);
    CheckOrders(service);
  }
}

TEST_CASE("Limits that change while an order is out bind at once") {
  for (const double at : {0.5, 20.0, 101.0}) {
    CAPTURE(at);
    ScaledService service(4);
    service.demand = Load(2.5);
    service.RunUntil(at);
    service.limits.max = 3;
    service.RunUntil(at + 1);
    service.over_max = false;
    service.sent.clear();
    service.RunUntil(180);
    CheckOrders(service);
    CHECK(service.Serving() <= 9);
    service.limits.min = 3;
    service.RunUntil(190);
    CHECK(service.Serving() == 9);
  }
}

TEST_CASE("Invalid limits are named") {
  const ScalingLimits good{1, 8, seconds(4), 0.22, {{{"d0"}, 1.1}}};
  ScalingLimits no_max = good, inverted = good, no_time = good, negative = good,
                not_finite = good;
  no_max.max = 0;
  inverted.min = 9;
  no_time.startup = seconds(-1);
  negative.domain_prices[{"d1"}] = -1;
  not_finite.reclaimable_price = NAN;
  CHECK(CheckLimits(good) == LimitsError::kNone);
  CHECK(CheckLimits(no_max) == LimitsError::kNoMax);
  CHECK(CheckLimits(inverted) == LimitsError::kMinOverMax);
  CHECK(CheckLimits(no_time) == LimitsError::kBadStartup);
  CHECK(CheckLimits(negative) == LimitsError::kBadPrice);
  CHECK(CheckLimits(not_finite) == LimitsError::kBadPrice);
}

TEST_CASE("Prices decide on kinds and domains") {
  ScaledService unpriced(6);
  unpriced.limits.reclaimable_price.reset();
  unpriced.demand = Load(1);
  unpriced.RunUntil(180);
  CHECK(unpriced.Count(kReclaimable) == 0);
  CHECK(unpriced.Count(kRegular) < 18);
  CHECK(unpriced.late == 0);
  ScaledService priced(4);
  priced.limits.domain_prices = {{{"d0"}, 1}, {{"d2"}, 1.6}};  // d1: mean.
  priced.demand = Load(1);
  priced.RunUntil(180);
  CHECK(priced.serving[{{"d0"}, kReclaimable}] >
        priced.serving[{{"d2"}, kReclaimable}]);
  CHECK(priced.late == 0);
  CheckOrders(priced);
}

TEST_CASE(
    "A call without an answer is repeated, one without effect is not counted") {
  ScaledService service(4);
  service.demand = Load(1);
  service.answer = [](const ScalingOrder&) { return OrderResult::kUnanswered; };
  service.RunUntil(4);
  std::map<ScalingSubject, uint32_t> desired;
  for (const SentOrder& sent : service.sent) {
    const auto [found, is_new] =
        desired.try_emplace(sent.order.subject, sent.order.desired);
    CHECK((is_new || sent.order.desired + 1 >= found->second));
  }
  CHECK(service.sent.size() > desired.size());
  CHECK(service.sent.size() <= 6 * desired.size());
  service.answer = [](const ScalingOrder&) { return OrderResult::kRejected; };
  service.RunUntil(60);
  service.answer = nullptr;
  service.RunUntil(150);
  CHECK(service.Count(kReclaimable) > service.Count(kRegular));
  CHECK(service.late == 0);
}

}  // namespace
}  // namespace pomeloring
