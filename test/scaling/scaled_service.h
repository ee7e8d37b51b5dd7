// Defines ScaledService: one service, its load and the platform that takes its
// orders, as a few lines of arithmetic in steps of 100 ms.

#ifndef POMELORING_TEST_SCALING_SCALED_SERVICE_H_
#define POMELORING_TEST_SCALING_SCALED_SERVICE_H_

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <vector>

#include "scaling/scaling_plan.h"

namespace pomeloring {

inline constexpr Duration kStep = milliseconds(100);
inline constexpr double kSlots = 12;

enum class Policy { kNoOrders, kProportional, kPlanned };

struct SentOrder {
  Time at;
  ScalingOrder order;
  OrderResult result;
};

struct ScaledService {
  // Requests that callers have in progress, by second.
  std::function<double(double)> demand;
  ScalingLimits limits{1, 20, seconds(4), 0.22, {}};
  ScalingPolicy policy;
  Policy mode = Policy::kPlanned;
  bool knows_loads = true;
  double prefill_error = 1;  // Of the speed estimate.

  Time now{seconds(1000)};
  ScalingState state;
  std::map<ScalingSubject, uint32_t> serving;
  struct Starting {
    ScalingSubject subject;
    Time ready_at;
  };
  std::vector<Starting> starting;
  std::map<FailureDomain, Time> reclaimed_until;  // Notice is given.
  Time dry_until;
  std::function<OrderResult(const ScalingOrder&)> answer;
  ScalingTarget target;

  std::vector<SentOrder> sent;
  double cost = 0;  // Upstream-seconds of a regular upstream.
  double lost = 0;  // Request-seconds beyond all slots.
  double late = 0;  // Request-seconds over the utilisation that is in time.
  bool over_max = false;
  bool under_min = false;

  explicit ScaledService(uint32_t each) {
    for (const char* name : {"d0", "d1", "d2"}) {
      serving[{{name}, UpstreamKind::kRegular}] = each;
    }
  }

  double Seconds() const { return ToMillis(now - Time{seconds(1000)}) / 1000; }

  uint32_t Count(UpstreamKind kind) const {
    uint32_t count = 0;
    for (const auto& [subject, upstreams] : serving) {
      count += subject.kind == kind ? upstreams : 0;
    }
    return count;
  }
  uint32_t Serving() const {
    return Count(UpstreamKind::kRegular) + Count(UpstreamKind::kReclaimable);
  }

  // All reclaimable upstreams of the domain leave, and none are to be had.
  void Reclaim(const FailureDomain& domain) {
    reclaimed_until[domain] = now + milliseconds(2500);
    dry_until = now + seconds(9);
    std::erase_if(starting, [&](const Starting& each) {
      return each.subject == ScalingSubject{domain, UpstreamKind::kReclaimable};
    });
  }

  OrderResult Take(const ScalingOrder& order) {
    if (answer) {
      return answer(order);
    }
    const auto [subject, desired] = std::pair(order.subject, order.desired);
    const auto is_same = [&](const Starting& each) {
      return each.subject == subject;
    };
    const auto there =
        serving[subject] + static_cast<uint32_t>(std::count_if(
                               starting.begin(), starting.end(), is_same));
    if (desired > there) {
      if (now < dry_until && subject.kind == UpstreamKind::kReclaimable) {
        return OrderResult::kUnavailable;
      }
      for (uint32_t i = there; i < desired; ++i) {
        starting.push_back({subject, now + limits.startup});
      }
    } else {
      for (uint32_t i = desired; i < there; ++i) {
        const auto last =
            std::find_if(starting.begin(), starting.end(), is_same);
        if (last != starting.end()) {
          starting.erase(last);
        } else {
          --serving[subject];
        }
      }
    }
    return OrderResult::kAccepted;
  }

  ScalingInputs Inputs(double load) const {
    ScalingInputs inputs{
        {"s"}, limits, {}, {kSlots, 0.025 * prefill_error, 2000}, {}, {}};
    const double slots = Serving() * kSlots;
    inputs.load.running = static_cast<uint32_t>(std::min(load, slots));
    inputs.load.waiting = static_cast<uint32_t>(std::max(0.0, load - slots));
    // Each request reads 4,000 tokens and runs for two seconds.
    inputs.load.prefill_tokens_per_s = load * 2000;
    for (const auto& [subject, count] : serving) {
      UpstreamCount& each =
          inputs.domains[subject.domain][static_cast<size_t>(subject.kind)];
      const auto notice = reclaimed_until.find(subject.domain);
      if (subject.kind == UpstreamKind::kReclaimable &&
          notice != reclaimed_until.end()) {
        each.draining = each.reclaimed = count;
      } else {
        each.serving = count;
        each.running =
            static_cast<uint32_t>(load * count / std::max(1U, Serving()));
      }
    }
    return inputs;
  }

  void CheckLimits() {
    std::map<FailureDomain, uint32_t> totals;
    for (const auto& [subject, count] : serving) {
      totals[subject.domain] += count;
    }
    for (const Starting& each : starting) {
      ++totals[each.subject.domain];
    }
    for (const auto& [domain, total] : totals) {
      over_max |= total > limits.max;
      under_min |= total < limits.min && !reclaimed_until.contains(domain);
    }
  }

  void Send(const std::vector<ScalingOrder>& orders) {
    for (size_t i = 0; i < std::min<size_t>(1, orders.size()); ++i) {
      RecordOrder(state, orders[i], now);
      const OrderResult result = Take(orders[i]);
      RecordOrderResult(state, orders[i], result, policy, now);
      sent.push_back({now, orders[i], result});
      if (result == OrderResult::kAccepted) {
        CheckLimits();
      }
    }
  }

  // What a scaler does that follows the load at a utilisation of 0.75.
  void SendProportional(double load) {
    const auto each = static_cast<uint32_t>(
        std::clamp(std::ceil(load / kSlots / 0.75 / 3), double(limits.min),
                   double(limits.max)));
    for (const char* name : {"d0", "d1", "d2"}) {
      Take({{{name}, UpstreamKind::kRegular}, each, 0, {}});
    }
  }

  void Step() {
    for (auto& each : starting) {
      if (now >= each.ready_at) {
        ++serving[each.subject];
      }
    }
    std::erase_if(starting,
                  [&](const auto& each) { return now >= each.ready_at; });
    double usable = 0;
    for (const auto& [domain, until] : reclaimed_until) {
      auto& count = serving[{domain, UpstreamKind::kReclaimable}];
      usable -= count;
      count = now >= until ? 0 : count;
    }
    std::erase_if(reclaimed_until,
                  [&](const auto& entry) { return now >= entry.second; });
    usable += Serving();
    usable = std::max(usable, 0.0);
    const double load = demand(Seconds());
    const double step_s = ToMillis(kStep) / 1000;
    lost += std::max(0.0, load - usable * kSlots) * step_s;
    late += std::max(0.0, load - usable * kSlots * 0.9) * step_s;
    const auto price = [&](UpstreamKind kind) {
      return kind == UpstreamKind::kRegular
                 ? 1
                 : limits.reclaimable_price.value_or(1);
    };
    for (const auto& [subject, count] : serving) {
      cost += count * price(subject.kind) * step_s;
    }
    for (const auto& each : starting) {
      cost += price(each.subject.kind) * step_s;
    }
    if (mode == Policy::kProportional) {
      SendProportional(load);
    } else if (mode == Policy::kPlanned && knows_loads) {
      ScalingPlan plan = PlanOrders(Inputs(load), state, policy, now);
      target = plan.target;
      Send(plan.orders);
    }
    now += kStep;
  }

  void RunUntil(double second) {
    while (Seconds() < second) {
      Step();
    }
  }
};

}  // namespace pomeloring

#endif  // POMELORING_TEST_SCALING_SCALED_SERVICE_H_
