// Defines PlanOrders(): how many upstreams of each kind a service should have
// in each failure domain, as orders to the platform. Public header of the
// library.

#ifndef POMELORING_SCALING_SCALING_PLAN_H_
#define POMELORING_SCALING_SCALING_PLAN_H_

#include <array>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "routing/routing_config.h"
#include "scaling/service_demand.h"

namespace pomeloring {

enum class UpstreamKind : size_t { kRegular, kReclaimable };
inline constexpr std::array kUpstreamKinds = {UpstreamKind::kRegular,
                                              UpstreamKind::kReclaimable};
std::string_view ToString(UpstreamKind kind);

// Registered upstreams of one kind in one failure domain.
struct UpstreamCount {
  uint32_t serving = 0;
  uint32_t starting = 0;  // Registered, but not in use yet or for a while.
  uint32_t draining = 0;
  uint32_t reclaimed = 0;  // Of the draining ones, those taken away.
  uint32_t running = 0;    // Requests at those that are not draining.
};

using DomainUpstreams = std::array<UpstreamCount, kUpstreamKinds.size()>;

struct ScalingInputs {
  ServiceName service;
  ScalingLimits limits;
  ServiceLoad load;
  UpstreamSpeed speed;
  std::map<FailureDomain, DomainUpstreams> domains;
  Duration load_age{0};  // Of the oldest load that is included.
};

enum class LimitsError { kNone, kNoMax, kMinOverMax, kBadPrice, kBadStartup };
std::string_view ToString(LimitsError error);
LimitsError CheckLimits(const ScalingLimits& limits);

struct ScalingSubject {
  FailureDomain domain;
  UpstreamKind kind = UpstreamKind::kRegular;
  auto operator<=>(const ScalingSubject&) const = default;
};

enum class OrderReason {
  kLimits,       // The number is outside `min` and `max`.
  kShortage,     // Need and headroom are not covered.
  kReclaim,      // The same, after a reclaim or while none are available.
  kRegularBase,  // Too few would be left after a reclaim.
  kReplace,      // Reclaimable ones that will replace regular ones.
  kReplaced,     // Regular ones that reclaimable ones have replaced.
  kSurplus,      // More than need and headroom.
};
std::string_view ToString(OrderReason reason);

struct ScalingOrder {
  ScalingSubject subject;
  uint32_t desired = 0;
  uint32_t before = 0;
  OrderReason reason = OrderReason::kShortage;
};

enum class OrderResult {
  kAccepted,
  kUnavailable,  // Had no effect: none are available there now.
  kRejected,     // Had no effect.
  kUnanswered,   // May have had an effect.
};

// An order whose effect has not been seen in full.
struct OutstandingOrder {
  uint32_t desired = 0;
  uint32_t before = 0;
  Time sent_at;
  bool is_answered = false;
  Duration retry_delay{0};
  OrderReason reason = OrderReason::kShortage;
};

struct SubjectState {
  std::optional<OutstandingOrder> outstanding;
  // What `outstanding` has replaced, in case it has no effect.
  std::optional<OutstandingOrder> replaced;
  // The number last seen while nothing was outstanding. A change of it was not
  // ordered here.
  std::optional<uint32_t> settled;
  std::optional<Time> raised_at;
  std::optional<Time> lowered_at;
  std::optional<Time> unavailable_until;
  Duration unavailable_for{0};
  std::optional<Time> rejected_until;
  Duration rejected_for{0};
};

// What is kept of a service between two plans. A new holder gets it from the
// log.
struct ScalingState {
  DemandWindow window;
  std::map<ScalingSubject, SubjectState> subjects;
  // Regular upstreams that the operator has added, less those removed, by
  // domain: they shift the target.
  std::map<FailureDomain, int32_t> operator_changes;
  std::map<FailureDomain, Time> operator_changed_at;
  // Whether the initial fleet has registered: its number had not changed for
  // a start-up time. Before, a change is not the operator's.
  bool is_fleet_complete = false;
  std::optional<Time> fleet_changed_at;  // While it is not complete.
  std::optional<Time> scaled_in_at;
  std::optional<Time> dry_until;
  // Highest target of the hold time.
  uint32_t held_target = 0;
  std::optional<Time> held_at;
};

// The numbers behind a plan, for the log and the metrics. In upstreams.
struct ScalingTarget {
  ServiceDemand demand;
  double projected = 0;
  double typical = 0;
  double covered = 0;    // See NeedWorthCovering().
  uint32_t total = 0;    // Need plus headroom, over all domains.
  uint32_t regular = 0;  // Of them at least; the others are reclaimable.
};

struct ScalingPlan {
  ScalingTarget target;
  std::vector<ScalingOrder> orders;  // The most urgent first.
};

// Records the present load and returns the orders to send. Requires valid
// limits. `inputs` must hold the loads of most instances.
ScalingPlan PlanOrders(const ScalingInputs& inputs,
                       ScalingState& state,
                       const ScalingPolicy& policy,
                       Time now);

// Records that an order is about to be sent, and how the call ended.
void RecordOrder(ScalingState& state, const ScalingOrder& order, Time now);
void RecordOrderResult(ScalingState& state,
                       const ScalingOrder& order,
                       OrderResult result,
                       const ScalingPolicy& policy,
                       Time now);

}  // namespace pomeloring

#endif  // POMELORING_SCALING_SCALING_PLAN_H_
