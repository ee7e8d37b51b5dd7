// Defines ServiceDemand and DemandWindow: how many upstreams the load of a
// service needs, now and at its peaks over the last minutes.

#ifndef POMELORING_SCALING_SERVICE_DEMAND_H_
#define POMELORING_SCALING_SERVICE_DEMAND_H_

#include <cstdint>
#include <deque>
#include <optional>

#include "core/ids.h"

namespace pomeloring {

// All parameters of the policy. Prices are those of one upstream for a second;
// a regular upstream of a mean failure domain has price 1.
struct ScalingPolicy {
  // Fraction of the slots in use at which first events are still in time.
  double slot_utilisation = 0.75;
  // Fraction of its time that an engine may spend on prefill.
  double prefill_utilisation = 0.6;
  // Time within which pending prefill must be worked off.
  Duration prefill_drain = seconds(1);
  // Cost of one upstream too few for a second, in late and refused callers.
  double shortage_price = 100;
  // Capacity kept over the typical need, as a factor: for a burst that has not
  // been seen yet, while that is worth its price, and in any case.
  double unseen_burst_factor = 2.2;
  double min_burst_factor = 1.5;
  // How many buckets an unseen burst counts as, among those observed.
  double unseen_burst_weight = 0.5;
  // Bound of the growth that is projected from the trend. The first tenths of
  // a burst would otherwise be extrapolated to many times its size.
  double max_trend_factor = 1.3;
  // Part of the typical need that regular upstreams cover whatever the spread:
  // a second domain may be reclaimed before the first one is replaced.
  double regular_base = 0.5;
  // Part of a domain's upstreams that one step removes, at least one.
  double scale_in_step = 0.1;
  // Scale-in uses the highest target of this time.
  Duration scale_in_hold = seconds(30);
  // After a reclaim, no reclaimable upstream is ordered for this time.
  Duration dry_time = seconds(9);
  // How long a 409 is remembered, doubling; and how long until an order
  // without an answer is repeated.
  Duration min_unavailable = seconds(2);
  Duration max_unavailable = seconds(16);
  Duration min_retry = milliseconds(250);
  Duration max_retry = seconds(2);
  // No scale-in in a domain this long after the operator changed it: an
  // upstream that is restarted comes back.
  Duration operator_hold = seconds(10);
  // For a service whose limits name no start-up time.
  Duration default_startup = seconds(4);
};

// What the upstreams of a service do, over all domains.
struct ServiceLoad {
  uint32_t running = 0;
  uint32_t waiting = 0;  // At instances.
  uint32_t refused = 0;  // By instances, in the last second.
  uint64_t pending_prefill_tokens = 0;
  double prefill_tokens_per_s = 0;
};

struct UpstreamSpeed {
  double slots = 1;                 // Of one upstream.
  double prefill_ms_per_token = 0;  // 0 for a service without prefill.
  double mean_run_ms = 0;           // Of a complete request.
};

// In upstreams.
struct ServiceDemand {
  double for_slots = 0;
  double for_prefill = 0;
  double need = 0;  // The larger one.
};

ServiceDemand DemandOf(const ServiceLoad& load,
                       const UpstreamSpeed& speed,
                       const ScalingPolicy& policy);

// About the longest start-up time: a burst in a bucket cannot be met by an
// upstream that is ordered in it.
inline constexpr Duration kDemandBucket = seconds(5);
// Together five minutes.
inline constexpr size_t kMaxDemandBuckets = 60;

struct DemandBucket {
  double peak = 0;
  double sum = 0;
  uint32_t samples = 0;
};

struct DemandWindow {
  std::deque<DemandBucket> buckets;  // The last one is in progress.
  std::optional<Time> bucket_began_at;
  // The need some two seconds ago, for the trend.
  std::deque<std::pair<Time, double>> recent;
};

// Begins with the first load: an idle service at the start says nothing of
// what it will need.
void ObserveNeed(DemandWindow& window, double need, Time now);
Duration ObservedFor(const DemandWindow& window);
// The median over the window or over its last minute, whichever is larger.
double TypicalNeed(const DemandWindow& window);
// Need and headroom: the largest need worth its price. An upstream is kept
// while the fraction of buckets in which it is needed, times `shortage_price`,
// is at least `upstream_price`. A burst that has not been seen counts as a part
// of a bucket.
double NeedWorthCovering(const DemandWindow& window,
                         const ScalingPolicy& policy,
                         double upstream_price);
// The need in `ahead`, from the trend; never less than the present one.
double ProjectedNeed(const DemandWindow& window,
                     Duration ahead,
                     const ScalingPolicy& policy);

}  // namespace pomeloring

#endif  // POMELORING_SCALING_SERVICE_DEMAND_H_
