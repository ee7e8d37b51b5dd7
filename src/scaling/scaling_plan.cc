#include "scaling/scaling_plan.h"

#include <algorithm>
#include <cmath>
#include <tuple>

namespace pomeloring {
namespace {

constexpr size_t kRegular = static_cast<size_t>(UpstreamKind::kRegular);
constexpr size_t kReclaimable = static_cast<size_t>(UpstreamKind::kReclaimable);

using KindCounts = std::array<uint32_t, kUpstreamKinds.size()>;

// A failure domain as the plan sees it.
struct PlannedDomain {
  const FailureDomain* name = nullptr;
  double price = 1;
  KindCounts count{};    // With what is ordered, without what is to leave.
  KindCounts wanted{};   // After the orders of this plan.
  KindCounts serving{};  // Of `count`.
  double load = 0;       // Requests for each upstream.
  // Those that an order without an answer may not have removed.
  uint32_t unconfirmed = 0;

  uint32_t Total() const { return wanted[kRegular] + wanted[kReclaimable]; }
};

struct Planner {
  const ScalingInputs& inputs;
  ScalingState& state;
  const ScalingPolicy& policy;
  Time now;
  Duration startup;
  std::map<FailureDomain, DomainUpstreams> upstreams;
  std::vector<PlannedDomain> domains;
  std::map<ScalingSubject, OrderReason> reasons;
};

bool IsWithin(const std::optional<Time>& since, Duration time, Time now) {
  return since && now - *since < time;
}

uint32_t RoundUp(double upstreams) {
  // Sums of floating-point shares exceed a whole number by rounding errors.
  return static_cast<uint32_t>(std::ceil(std::max(0.0, upstreams) - 1e-6));
}

uint32_t Visible(const UpstreamCount& count) {
  return count.serving + count.starting;
}

bool HasUsablePrice(const ScalingLimits& limits) {
  return limits.reclaimable_price && *limits.reclaimable_price < 1;
}

// Of an upstream that an order has removed.
constexpr Duration kMaxDrainTime = seconds(10);

// --- What is there -----------------------------------------------------------

// An accepted order whose upstreams have not appeared by then is given up: the
// platform has lost them, or the operator has stopped them.
Duration MaxEffectTime(Duration startup) {
  return 3 * startup + seconds(5);
}

bool HasTakenEffect(const OutstandingOrder& order, uint32_t visible) {
  return order.desired >= order.before ? visible >= order.desired
                                       : visible <= order.desired;
}

// Whether the platform takes upstreams away. Those that an order of ours has
// removed may drain in the same way, but the others stay.
bool IsReclaim(const Planner& planner,
               const ScalingSubject& subject,
               const UpstreamCount& count,
               const SubjectState& known) {
  if (count.reclaimed == 0 || subject.kind != UpstreamKind::kReclaimable) {
    return false;
  }
  const uint32_t wanted = known.outstanding ? known.outstanding->desired
                                            : known.settled.value_or(1);
  return !IsWithin(known.lowered_at, kMaxDrainTime, planner.now) ||
         (Visible(count) == 0 && wanted > 0);
}

void UpdateSubject(Planner& planner,
                   const ScalingSubject& subject,
                   const UpstreamCount& count) {
  SubjectState& known = planner.state.subjects[subject];
  const uint32_t visible = Visible(count);
  if (IsReclaim(planner, subject, count, known)) {
    planner.state.dry_until = planner.now + planner.policy.dry_time;
    known.outstanding.reset();  // Those that start are taken away as well.
    known.settled = visible;
  }
  if (known.outstanding) {
    const bool is_expired = planner.now - known.outstanding->sent_at >=
                            MaxEffectTime(planner.startup);
    if (HasTakenEffect(*known.outstanding, visible) || is_expired) {
      known.outstanding.reset();
      known.settled = visible;
    }
    return;
  }
  const int32_t change =
      known.settled
          ? static_cast<int32_t>(visible) - static_cast<int32_t>(*known.settled)
          : 0;
  // The rest of an order that another one has replaced is no change of the
  // operator's.
  const bool is_own =
      IsWithin(known.lowered_at, planner.startup, planner.now) ||
      IsWithin(known.raised_at, planner.startup, planner.now);
  if (change != 0 && !planner.state.is_fleet_complete) {
    planner.state.fleet_changed_at = planner.now;
  } else if (change != 0 && !is_own && subject.kind == UpstreamKind::kRegular) {
    planner.state.operator_changes[subject.domain] += change;
    planner.state.operator_changed_at[subject.domain] = planner.now;
  }
  known.settled = visible;
}

double PriceOf(const ScalingLimits& limits, const FailureDomain& domain) {
  double sum = 0;
  for (const auto& [name, price] : limits.domain_prices) {
    if (name == domain) {
      return price;
    }
    sum += price;
  }
  return limits.domain_prices.empty()
             ? 1
             : sum / static_cast<double>(limits.domain_prices.size());
}

// Whether the operator has emptied the domain: then it stays empty.
bool IsEmptied(const Planner& planner, const PlannedDomain& domain) {
  const auto change = planner.state.operator_changes.find(*domain.name);
  return domain.Total() == 0 &&
         change != planner.state.operator_changes.end() && change->second < 0;
}

// Instances and upstreams may start together, and a holder of the duty sees
// the fleet grow while it registers.
void CheckFleetComplete(Planner& planner) {
  ScalingState& state = planner.state;
  if (!state.fleet_changed_at) {
    state.fleet_changed_at = planner.now;
  }
  state.is_fleet_complete |=
      planner.now - *state.fleet_changed_at >= planner.startup;
}

void CollectDomains(Planner& planner) {
  CheckFleetComplete(planner);
  // All upstreams of a domain may have been taken away.
  for (const auto& [subject, known] : planner.state.subjects) {
    planner.upstreams.try_emplace(subject.domain);
  }
  for (const auto& [name, upstreams] : planner.upstreams) {
    PlannedDomain domain;
    domain.name = &name;
    domain.price = PriceOf(planner.inputs.limits, name);
    uint32_t running = 0;
    for (const UpstreamKind kind : kUpstreamKinds) {
      const auto index = static_cast<size_t>(kind);
      const UpstreamCount& count = upstreams[index];
      UpdateSubject(planner, {name, kind}, count);
      const SubjectState& known = planner.state.subjects[{name, kind}];
      domain.count[index] =
          known.outstanding ? known.outstanding->desired : Visible(count);
      if (known.outstanding && !known.outstanding->is_answered &&
          known.outstanding->before > known.outstanding->desired) {
        domain.unconfirmed +=
            known.outstanding->before - known.outstanding->desired;
      }
      domain.serving[index] = std::min(count.serving, domain.count[index]);
      running += count.running;
    }
    domain.wanted = domain.count;
    domain.load = running / std::max(1.0, static_cast<double>(domain.Total()));
    if (!IsEmptied(planner, domain)) {
      planner.domains.push_back(domain);
    }
  }
}

uint32_t Sum(const Planner& planner, KindCounts PlannedDomain::*counts) {
  uint32_t sum = 0;
  for (const PlannedDomain& domain : planner.domains) {
    sum += (domain.*counts)[kRegular] + (domain.*counts)[kReclaimable];
  }
  return sum;
}

uint32_t SumWanted(const Planner& planner, size_t kind) {
  uint32_t sum = 0;
  for (const PlannedDomain& domain : planner.domains) {
    sum += domain.wanted[kind];
  }
  return sum;
}

// --- What is wanted ----------------------------------------------------------

bool CanUseReclaimable(const Planner& planner) {
  return HasUsablePrice(planner.inputs.limits) &&
         !(planner.state.dry_until && planner.now < *planner.state.dry_until);
}

// How many of `total` must be regular so that the loss of all reclaimable
// upstreams of one domain leaves `typical`. The reclaimable ones are spread by
// price.
uint32_t RegularOf(const Planner& planner, uint32_t total, uint32_t typical) {
  if (!HasUsablePrice(planner.inputs.limits) || planner.domains.empty()) {
    return total;
  }
  const uint32_t base =
      std::min(total, RoundUp(planner.policy.regular_base * typical));
  std::vector<uint32_t> spread(planner.domains.size(), 0);
  uint32_t reclaimable = 0;
  while (reclaimable < total - base) {
    size_t best = 0;
    for (size_t i = 1; i < spread.size(); ++i) {
      if ((spread[i] + 1) * planner.domains[i].price <
          (spread[best] + 1) * planner.domains[best].price) {
        best = i;
      }
    }
    if (spread[best] + 1 + typical > total ||
        spread[best] >= planner.inputs.limits.max) {
      break;
    }
    ++spread[best];
    ++reclaimable;
  }
  return total - reclaimable;
}

ScalingTarget FindTarget(Planner& planner) {
  const ScalingLimits& limits = planner.inputs.limits;
  const ScalingPolicy& policy = planner.policy;
  ScalingState& state = planner.state;
  ScalingTarget target;
  target.demand = DemandOf(planner.inputs.load, planner.inputs.speed, policy);
  ObserveNeed(state.window, target.demand.need, planner.now);
  target.projected = ProjectedNeed(state.window, planner.startup, policy);
  target.typical = TypicalNeed(state.window);
  target.covered =
      NeedWorthCovering(state.window, policy,
                        HasUsablePrice(limits) ? *limits.reclaimable_price : 1);
  const uint32_t needed = RoundUp(std::max(
      {target.projected, policy.min_burst_factor * target.typical, 1.0}));
  int64_t changed = 0;
  for (const auto& [domain, change] : state.operator_changes) {
    changed += change;
  }
  const int64_t total = RoundUp(target.covered) + changed;
  const auto domain_count = static_cast<int64_t>(planner.domains.size());
  target.total = static_cast<uint32_t>(
      std::clamp(std::max<int64_t>(total, needed), limits.min * domain_count,
                 limits.max * domain_count));
  // Otherwise reclaimable ones would replace what the operator has added, and
  // regular ones what the operator has removed.
  target.regular = static_cast<uint32_t>(std::clamp<int64_t>(
      RegularOf(planner, target.total, RoundUp(target.typical)) + changed, 0,
      target.total));
  if (target.total >= state.held_target ||
      !IsWithin(state.held_at, policy.scale_in_hold, planner.now)) {
    state.held_target = target.total;
    state.held_at = planner.now;
  }
  return target;
}

// --- Orders ------------------------------------------------------------------

SubjectState& StateOf(Planner& planner,
                      const PlannedDomain& domain,
                      UpstreamKind kind) {
  return planner.state.subjects[{*domain.name, kind}];
}

// Whether the number may be changed now, upwards or downwards: no order is
// reversed before its upstreams had the time to start.
bool MayChange(Planner& planner,
               const PlannedDomain& domain,
               UpstreamKind kind,
               bool upwards) {
  const SubjectState& known = StateOf(planner, domain, kind);
  if (known.rejected_until && planner.now < *known.rejected_until) {
    return false;
  }
  if (!upwards) {
    return !IsWithin(known.raised_at, planner.startup, planner.now);
  }
  return !(known.unavailable_until && planner.now < *known.unavailable_until);
}

// Raises one domain at a time, so that the cheapest ones and those with the
// fewest upstreams come first. Returns how many found no room.
uint32_t Raise(Planner& planner,
               UpstreamKind kind,
               uint32_t count,
               OrderReason reason,
               bool is_urgent) {
  const auto index = static_cast<size_t>(kind);
  for (; count > 0; --count) {
    PlannedDomain* best = nullptr;
    double best_cost = 0;
    for (PlannedDomain& domain : planner.domains) {
      // What has just been removed is not ordered again, unless callers are at
      // risk.
      const bool is_reversal =
          !is_urgent && IsWithin(StateOf(planner, domain, kind).lowered_at,
                                 planner.startup, planner.now);
      if (domain.Total() + domain.unconfirmed >= planner.inputs.limits.max ||
          is_reversal || !MayChange(planner, domain, kind, true)) {
        continue;
      }
      const uint32_t upstreams = kind == UpstreamKind::kReclaimable
                                     ? domain.wanted[kReclaimable]
                                     : domain.Total();
      const double cost = (upstreams + 1) * domain.price;
      if (best == nullptr || cost < best_cost) {
        best = &domain;
        best_cost = cost;
      }
    }
    if (best == nullptr) {
      return count;
    }
    ++best->wanted[index];
    planner.reasons.try_emplace({*best->name, kind}, reason);
  }
  return 0;
}

// Limits bind at once: an order in between would itself be outside them.
void ApplyLimits(Planner& planner) {
  const ScalingLimits& limits = planner.inputs.limits;
  for (PlannedDomain& domain : planner.domains) {
    if (domain.Total() > limits.max) {
      const uint32_t excess = domain.Total() - limits.max;
      const uint32_t regular = std::min(excess, domain.wanted[kRegular]);
      domain.wanted[kRegular] -= regular;
      domain.wanted[kReclaimable] -= excess - regular;
      planner.reasons[{*domain.name, UpstreamKind::kRegular}] =
          OrderReason::kLimits;
      planner.reasons[{*domain.name, UpstreamKind::kReclaimable}] =
          OrderReason::kLimits;
    } else if (domain.Total() < limits.min &&
               MayChange(planner, domain, UpstreamKind::kRegular, true)) {
      domain.wanted[kRegular] += limits.min - domain.Total();
      planner.reasons[{*domain.name, UpstreamKind::kRegular}] =
          OrderReason::kLimits;
    }
  }
}

void CoverShortage(Planner& planner, const ScalingTarget& target) {
  const uint32_t total = Sum(planner, &PlannedDomain::wanted);
  const uint32_t regular = SumWanted(planner, kRegular);
  const bool may_reclaim = CanUseReclaimable(planner);
  const uint32_t short_of = target.total > total ? target.total - total : 0;
  const uint32_t reclaimable =
      may_reclaim && target.regular <= regular
          ? short_of
          : (may_reclaim
                 ? short_of - std::min(short_of, target.regular - regular)
                 : 0);
  const bool is_urgent = target.projected > total;
  const uint32_t unplaced =
      Raise(planner, UpstreamKind::kReclaimable, reclaimable,
            OrderReason::kShortage, is_urgent);
  Raise(planner, UpstreamKind::kRegular, short_of - reclaimable + unplaced,
        HasUsablePrice(planner.inputs.limits) && (!may_reclaim || unplaced > 0)
            ? OrderReason::kReclaim
            : OrderReason::kShortage,
        is_urgent);
  const uint32_t raised = SumWanted(planner, kRegular);
  if (target.regular > raised) {
    Raise(planner, UpstreamKind::kRegular, target.regular - raised,
          OrderReason::kRegularBase, false);
  }
}

void StartReplacement(Planner& planner, const ScalingTarget& target) {
  const uint32_t wanted = target.total - target.regular;
  const uint32_t reclaimable = SumWanted(planner, kReclaimable);
  const uint32_t regular = SumWanted(planner, kRegular);
  if (CanUseReclaimable(planner) && reclaimable < wanted &&
      regular > target.regular) {
    Raise(planner, UpstreamKind::kReclaimable,
          std::min(wanted - reclaimable, regular - target.regular),
          OrderReason::kReplace, false);
  }
}

// Whether the loss of all reclaimable upstreams of any one domain leaves
// `typical`.
bool OutlivesReclaim(const Planner& planner, uint32_t typical) {
  const uint32_t serving = Sum(planner, &PlannedDomain::serving);
  return std::all_of(planner.domains.begin(), planner.domains.end(),
                     [&](const PlannedDomain& domain) {
                       return serving - domain.serving[kReclaimable] >= typical;
                     });
}

// Removes one step in one domain of the service, by the same cost as Raise()
// adds: otherwise they would move upstreams to and fro.
void ScaleIn(Planner& planner, const ScalingTarget& target) {
  ScalingState& state = planner.state;
  const uint32_t kept = std::max(state.held_target, target.total);
  const uint32_t serving = Sum(planner, &PlannedDomain::serving);
  if (!planner.reasons.empty() || serving <= kept ||
      IsWithin(state.scaled_in_at, planner.startup, planner.now) ||
      (state.dry_until && planner.now < *state.dry_until) ||
      ObservedFor(state.window) < Duration{kDemandBucket}) {
    return;
  }
  const bool is_regular = SumWanted(planner, kRegular) > target.regular;
  const UpstreamKind kind =
      is_regular ? UpstreamKind::kRegular : UpstreamKind::kReclaimable;
  const auto index = static_cast<size_t>(kind);
  PlannedDomain* best = nullptr;
  for (PlannedDomain& domain : planner.domains) {
    const auto changed = state.operator_changed_at.find(*domain.name);
    const bool is_settled =
        changed == state.operator_changed_at.end() ||
        planner.now - changed->second >= planner.policy.operator_hold;
    if (domain.wanted[index] == 0 || domain.serving[index] == 0 ||
        domain.Total() <= planner.inputs.limits.min || !is_settled ||
        StateOf(planner, domain, kind).outstanding ||
        !MayChange(planner, domain, kind, false)) {
      continue;
    }
    const auto rank = [&](const PlannedDomain& each) {
      const uint32_t upstreams =
          is_regular ? each.Total() : each.wanted[kReclaimable];
      return std::tuple(upstreams * each.price, each.price, -each.load);
    };
    if (best == nullptr || rank(domain) > rank(*best)) {
      best = &domain;
    }
  }
  if (best == nullptr) {
    return;
  }
  const auto fraction =
      static_cast<uint32_t>(planner.policy.scale_in_step * best->Total());
  const uint32_t excess = is_regular
                              ? SumWanted(planner, kRegular) - target.regular
                              : serving - kept;
  const uint32_t step = std::min(
      {std::max(1U, fraction), serving - kept, excess, best->wanted[index],
       best->serving[index], best->Total() - planner.inputs.limits.min});
  best->wanted[index] -= step;
  best->serving[index] -= step;
  if (!OutlivesReclaim(planner, RoundUp(target.typical))) {
    best->wanted[index] += step;
    best->serving[index] += step;
    return;
  }
  planner.reasons[{*best->name, kind}] =
      is_regular && HasUsablePrice(planner.inputs.limits)
          ? OrderReason::kReplaced
          : OrderReason::kSurplus;
}

// An order without an answer is repeated while its effect is not visible.
bool NeedsRepeat(const SubjectState& known, Time now) {
  return known.outstanding && !known.outstanding->is_answered &&
         now - known.outstanding->sent_at >= known.outstanding->retry_delay;
}

}  // namespace

std::string_view ToString(UpstreamKind kind) {
  return kind == UpstreamKind::kRegular ? "regular" : "reclaimable";
}

std::string_view ToString(LimitsError error) {
  switch (error) {
    case LimitsError::kNone:
      return "none";
    case LimitsError::kNoMax:
      return "no-max";
    case LimitsError::kMinOverMax:
      return "min-over-max";
    case LimitsError::kBadPrice:
      return "bad-price";
    case LimitsError::kBadStartup:
      return "bad-startup";
  }
  return "unknown";
}

std::string_view ToString(OrderReason reason) {
  switch (reason) {
    case OrderReason::kLimits:
      return "limits";
    case OrderReason::kShortage:
      return "shortage";
    case OrderReason::kReclaim:
      return "reclaim";
    case OrderReason::kRegularBase:
      return "regular-base";
    case OrderReason::kReplace:
      return "replace";
    case OrderReason::kReplaced:
      return "replaced";
    case OrderReason::kSurplus:
      return "surplus";
  }
  return "unknown";
}

LimitsError CheckLimits(const ScalingLimits& limits) {
  const auto is_price = [](double price) {
    return std::isfinite(price) && price >= 0;
  };
  if (limits.max == 0) {
    return LimitsError::kNoMax;
  }
  if (limits.min > limits.max) {
    return LimitsError::kMinOverMax;
  }
  if (limits.startup < Duration{0}) {
    return LimitsError::kBadStartup;
  }
  const bool are_prices_valid =
      (!limits.reclaimable_price || is_price(*limits.reclaimable_price)) &&
      std::all_of(limits.domain_prices.begin(), limits.domain_prices.end(),
                  [&](const auto& domain) { return is_price(domain.second); });
  return are_prices_valid ? LimitsError::kNone : LimitsError::kBadPrice;
}

ScalingPlan PlanOrders(const ScalingInputs& inputs,
                       ScalingState& state,
                       const ScalingPolicy& policy,
                       Time now) {
  Planner planner{inputs,
                  state,
                  policy,
                  now,
                  inputs.limits.startup > Duration{0} ? inputs.limits.startup
                                                      : policy.default_startup,
                  inputs.domains,
                  {},
                  {}};
  CollectDomains(planner);
  ScalingPlan plan;
  plan.target = FindTarget(planner);
  ApplyLimits(planner);
  CoverShortage(planner, plan.target);
  StartReplacement(planner, plan.target);
  ScaleIn(planner, plan.target);
  for (const PlannedDomain& domain : planner.domains) {
    for (const UpstreamKind kind : kUpstreamKinds) {
      const auto index = static_cast<size_t>(kind);
      const ScalingSubject subject{*domain.name, kind};
      const SubjectState& known = state.subjects[subject];
      const bool is_change = domain.wanted[index] != domain.count[index];
      if (!is_change && !NeedsRepeat(known, now)) {
        continue;
      }
      const bool is_limit_blocked =
          known.rejected_until && now < *known.rejected_until;
      if (domain.Total() > inputs.limits.max || is_limit_blocked) {
        continue;
      }
      const auto reason = planner.reasons.find(subject);
      plan.orders.push_back({subject, domain.wanted[index],
                             Visible(planner.upstreams.at(*domain.name)[index]),
                             reason != planner.reasons.end() ? reason->second
                             : known.outstanding ? known.outstanding->reason
                                                 : OrderReason::kShortage});
    }
  }
  // Within a domain a lower number comes first: the sum of both kinds must
  // never be over the limit in between.
  std::stable_sort(plan.orders.begin(), plan.orders.end(),
                   [](const ScalingOrder& a, const ScalingOrder& b) {
                     const auto rank = [](const ScalingOrder& order) {
                       return std::pair(order.reason,
                                        order.desired >= order.before);
                     };
                     return rank(a) < rank(b);
                   });
  return plan;
}

void RecordOrder(ScalingState& state, const ScalingOrder& order, Time now) {
  SubjectState& known = state.subjects[order.subject];
  const bool is_repeat =
      known.outstanding && known.outstanding->desired == order.desired;
  const Duration delay =
      is_repeat ? known.outstanding->retry_delay : Duration{0};
  if (!is_repeat) {
    known.replaced = known.outstanding;
  }
  known.outstanding = {order.desired, order.before, now,
                       false,         delay,        order.reason};
  if (order.desired >= order.before) {
    known.raised_at = now;
  } else {
    known.lowered_at = now;
    state.scaled_in_at = now;
  }
}

void RecordOrderResult(ScalingState& state,
                       const ScalingOrder& order,
                       OrderResult result,
                       const ScalingPolicy& policy,
                       Time now) {
  SubjectState& known = state.subjects[order.subject];
  const auto doubled = [](Duration last, Duration min, Duration max) {
    return std::clamp(2 * last, min, max);
  };
  switch (result) {
    case OrderResult::kAccepted:
      known.unavailable_for = Duration{0};
      known.unavailable_until.reset();
      known.rejected_for = Duration{0};
      if (known.outstanding) {
        known.outstanding->is_answered = true;
      }
      break;
    case OrderResult::kUnavailable:
      known.unavailable_for =
          doubled(known.unavailable_for, policy.min_unavailable,
                  policy.max_unavailable);
      known.unavailable_until = now + known.unavailable_for;
      known.outstanding = known.replaced;
      break;
    case OrderResult::kRejected:
      known.outstanding = known.replaced;
      known.rejected_for =
          doubled(known.rejected_for, policy.min_retry, policy.max_retry);
      known.rejected_until = now + known.rejected_for;
      break;
    case OrderResult::kUnanswered:
      if (known.outstanding) {
        known.outstanding->retry_delay = doubled(
            known.outstanding->retry_delay, policy.min_retry, policy.max_retry);
      }
      break;
  }
}

}  // namespace pomeloring
