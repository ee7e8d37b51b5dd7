#include "scaling/service_demand.h"

#include <algorithm>
#include <functional>
#include <vector>

namespace pomeloring {
namespace {

// Over which the trend is measured: shorter ones follow single arrivals.
constexpr Duration kTrendTime = seconds(2);
// Buckets of the last minute. A burst of 9 s stays in the minority.
constexpr size_t kRecentBuckets = 12;

double SecondsOf(Duration duration) {
  return ToMillis(duration) / 1000;
}

double MedianMean(const std::deque<DemandBucket>& buckets, size_t count) {
  std::vector<double> means;
  for (size_t i = buckets.size() - std::min(count, buckets.size());
       i < buckets.size(); ++i) {
    if (buckets[i].samples > 0) {
      means.push_back(buckets[i].sum / buckets[i].samples);
    }
  }
  if (means.empty()) {
    return 0;
  }
  const auto middle = means.begin() + static_cast<long>(means.size() / 2);
  std::nth_element(means.begin(), middle, means.end());
  return *middle;
}

}  // namespace

// A refused request would have occupied a slot for the time of a run.
ServiceDemand DemandOf(const ServiceLoad& load,
                       const UpstreamSpeed& speed,
                       const ScalingPolicy& policy) {
  ServiceDemand demand;
  const double in_slots =
      load.running + load.waiting +
      load.refused * std::max(0.0, speed.mean_run_ms) / 1000;
  demand.for_slots =
      in_slots / (std::max(1.0, speed.slots) * policy.slot_utilisation);
  const double tokens_per_s =
      std::max(load.prefill_tokens_per_s,
               static_cast<double>(load.pending_prefill_tokens) /
                   SecondsOf(policy.prefill_drain));
  demand.for_prefill = tokens_per_s *
                       std::max(0.0, speed.prefill_ms_per_token) / 1000 /
                       policy.prefill_utilisation;
  demand.need = std::max(demand.for_slots, demand.for_prefill);
  return demand;
}

void ObserveNeed(DemandWindow& window, double need, Time now) {
  if (window.buckets.empty()) {
    if (need <= 0) {
      return;
    }
    window.buckets.emplace_back();
  }
  if (!window.bucket_began_at) {
    window.bucket_began_at = now;
  }
  if (now - *window.bucket_began_at >= kDemandBucket) {
    window.bucket_began_at = now;
    window.buckets.emplace_back();
    if (window.buckets.size() > kMaxDemandBuckets) {
      window.buckets.pop_front();
    }
  }
  DemandBucket& bucket = window.buckets.back();
  bucket.peak = std::max(bucket.peak, need);
  bucket.sum += need;
  ++bucket.samples;
  window.recent.emplace_back(now, need);
  while (now - window.recent.front().first > kTrendTime) {
    window.recent.pop_front();
  }
}

Duration ObservedFor(const DemandWindow& window) {
  return window.buckets.empty()
             ? Duration{0}
             : kDemandBucket * static_cast<int64_t>(window.buckets.size() - 1);
}

double TypicalNeed(const DemandWindow& window) {
  return std::max(MedianMean(window.buckets, kMaxDemandBuckets),
                  MedianMean(window.buckets, kRecentBuckets));
}

double NeedWorthCovering(const DemandWindow& window,
                         const ScalingPolicy& policy,
                         double upstream_price) {
  const double typical = TypicalNeed(window);
  // The need in each bucket, and for how many buckets it counts.
  std::vector<std::pair<double, double>> needs = {
      {policy.unseen_burst_factor * typical, policy.unseen_burst_weight}};
  double total = policy.unseen_burst_weight;
  for (const DemandBucket& bucket : window.buckets) {
    needs.emplace_back(bucket.peak, 1);
    total += 1;
  }
  std::sort(needs.begin(), needs.end(), std::greater<>());
  double weight = 0;
  for (const auto& [need, buckets] : needs) {
    weight += buckets;
    if (weight / total * policy.shortage_price >= upstream_price) {
      return std::max(need, policy.min_burst_factor * typical);
    }
  }
  return policy.min_burst_factor * typical;
}

double ProjectedNeed(const DemandWindow& window,
                     Duration ahead,
                     const ScalingPolicy& policy) {
  if (window.recent.empty()) {
    return 0;
  }
  const auto& [began_at, before] = window.recent.front();
  const auto& [ended_at, need] = window.recent.back();
  const double elapsed_s = SecondsOf(ended_at - began_at);
  const double rise =
      elapsed_s > 0 ? (need - before) / elapsed_s * SecondsOf(ahead) : 0;
  return std::clamp(need + rise, need, need * policy.max_trend_factor);
}

}  // namespace pomeloring
