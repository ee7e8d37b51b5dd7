#include "routing/upstream_state.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pomeloring {
namespace {

// Limits memory: 4,096 parts take about 200 KB per upstream.
constexpr size_t kMaxCachedParts = 4096;
// About three attempts move the averages by half.
constexpr double kHealthSmoothing = 0.2;
// Fewer attempts say little about an upstream.
constexpr uint32_t kMinSamples = 5;
constexpr double kFailureMargin = 0.3;       // Above the siblings' median.
constexpr double kMaxRelativeLatency = 3.0;  // Times the siblings' median.
constexpr uint32_t kMaxConsecutiveFailures = 3;
// A shorter latency is mostly network latency.
constexpr Duration kMinLatencyToRecord = milliseconds(40);
constexpr double kLatencySmoothing = 0.1;
constexpr double kMinLatencyRatio = 0.4;
constexpr double kMaxLatencyRatio = 10;
constexpr Duration kEjectionTime = seconds(2);
// At most one upstream in three is ejected.
constexpr size_t kMinUpstreamsPerEjection = 3;

double MedianOf(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<long>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void AddLoad(UpstreamLoad& total, const UpstreamLoad& load) {
  total.running += load.running;
  for (size_t rank = 0; rank < kUrgencyRanks; ++rank) {
    total.pending_prefill_tokens[rank] += load.pending_prefill_tokens[rank];
  }
  total.gap_sensitive += load.gap_sensitive;
  total.prefill_load += load.prefill_load;
  total.held_tokens += load.held_tokens;
}

void SubtractLoad(UpstreamLoad& total, const UpstreamLoad& load) {
  total.running -= load.running;
  for (size_t rank = 0; rank < kUrgencyRanks; ++rank) {
    total.pending_prefill_tokens[rank] -= load.pending_prefill_tokens[rank];
  }
  total.gap_sensitive -= load.gap_sensitive;
  total.prefill_load = std::max(0.0, total.prefill_load - load.prefill_load);
  total.held_tokens -= load.held_tokens;
}

UpstreamLoad TotalLoad(const UpstreamState& upstream) {
  UpstreamLoad total = upstream.local_load;
  for (const auto& [peer, load] : upstream.peer_loads) {
    AddLoad(total, load);
  }
  return total;
}

double SpeedOf(const UpstreamState& upstream) {
  return upstream.shared_speed ? upstream.shared_speed->factor
                               : upstream.health.latency_ratio;
}

uint64_t PendingPrefillUpTo(const UpstreamLoad& load, size_t rank) {
  uint64_t tokens = 0;
  for (size_t i = 0; i <= std::min(rank, kUrgencyRanks - 1); ++i) {
    tokens += load.pending_prefill_tokens[i];
  }
  return tokens;
}

uint64_t PendingPrefillTokens(const UpstreamLoad& load) {
  return PendingPrefillUpTo(load, kUrgencyRanks - 1);
}

void DecayPrefillLoads(UpstreamState& upstream, Time now) {
  if (now <= upstream.prefill_load_updated_at) {
    return;
  }
  const auto elapsed =
      static_cast<double>((now - upstream.prefill_load_updated_at).count());
  const double decay_factor = std::exp(
      -elapsed / static_cast<double>(kPrefillLoadTimeConstant.count()));
  upstream.local_load.prefill_load *= decay_factor;
  for (auto& [peer, load] : upstream.peer_loads) {
    load.prefill_load *= decay_factor;
  }
  upstream.prefill_load_updated_at = now;
}

uint32_t CachedTokens(const UpstreamState& upstream,
                      std::span<const PromptPart> parts) {
  uint32_t cached = 0;
  for (const PromptPart& part : parts) {
    if (!upstream.cached_parts.contains(part.id)) {
      // A part counts only if all parts before it are cached too.
      break;
    }
    cached += part.tokens;
  }
  return cached;
}

void RecordCachedParts(UpstreamState& upstream,
                       std::span<const PromptPart> parts,
                       Time now) {
  for (const PromptPart& part : parts) {
    upstream.cached_parts[part.id] = now;
  }
  if (upstream.cached_parts.size() <= kMaxCachedParts) {
    return;
  }
  std::vector<Time> last_uses;
  for (const auto& [id, last_use] : upstream.cached_parts) {
    last_uses.push_back(last_use);
  }
  const auto middle =
      last_uses.begin() + static_cast<long>(last_uses.size() / 2);
  std::nth_element(last_uses.begin(), middle, last_uses.end());
  std::erase_if(upstream.cached_parts,
                [&](const auto& part) { return part.second < *middle; });
}

void RecordUpstreamOutcome(UpstreamHealth& health,
                           UpstreamOutcome outcome,
                           double latency_ratio,
                           Time now) {
  if (outcome == UpstreamOutcome::kRefused ||
      outcome == UpstreamOutcome::kCancelled) {
    health.is_trial = false;
    return;
  }
  const bool failed = outcome != UpstreamOutcome::kServed;
  health.failure_rate +=
      kHealthSmoothing * ((failed ? 1.0 : 0.0) - health.failure_rate);
  health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
  ++health.samples;
  if (latency_ratio > 0) {
    health.latency_ratio +=
        kHealthSmoothing * (latency_ratio - health.latency_ratio);
  }
  if (health.is_trial) {
    health.is_trial = false;
    if (failed) {
      health.ejected_until = now + kEjectionTime;
      health.is_trial = true;
    } else {
      health.failure_rate = 0;
    }
  }
}

void RecordLatency(UpstreamHealth& health,
                   Duration expected,
                   Duration elapsed) {
  if (expected < kMinLatencyToRecord) {
    return;
  }
  const double ratio = std::clamp(static_cast<double>(elapsed.count()) /
                                      static_cast<double>(expected.count()),
                                  kMinLatencyRatio, kMaxLatencyRatio);
  // The expected latency includes the ratio estimated so far.
  health.latency_ratio =
      std::clamp(health.latency_ratio * (1 + kLatencySmoothing * (ratio - 1)),
                 kMinLatencyRatio, kMaxLatencyRatio);
}

void EjectOutliers(std::span<UpstreamState* const> siblings, Time now) {
  std::vector<double> failures;
  std::vector<double> ratios;
  std::vector<double> shared_failures;
  size_t ejected = 0;
  for (const UpstreamState* sibling : siblings) {
    failures.push_back(sibling->health.failure_rate);
    ratios.push_back(SpeedOf(*sibling));
    if (sibling->shared_speed) {
      shared_failures.push_back(sibling->shared_speed->failure_rate);
    }
    ejected += now < sibling->health.ejected_until ? 1 : 0;
  }
  const double median_failures = MedianOf(failures);
  const double median_ratio = MedianOf(ratios);
  const double median_shared_failures = MedianOf(shared_failures);
  for (UpstreamState* sibling : siblings) {
    UpstreamHealth& health = sibling->health;
    const bool is_failing_elsewhere =
        sibling->shared_speed &&
        sibling->shared_speed->attempts >= kMinSamples &&
        sibling->shared_speed->failure_rate >
            median_shared_failures + kFailureMargin;
    if (now < health.ejected_until || health.is_trial ||
        (health.samples < kMinSamples && !is_failing_elsewhere) ||
        (ejected + 1) * kMinUpstreamsPerEjection > siblings.size()) {
      continue;
    }
    const bool is_failing =
        is_failing_elsewhere ||
        health.failure_rate > median_failures + kFailureMargin ||
        health.consecutive_failures >= kMaxConsecutiveFailures;
    const bool is_slow =
        SpeedOf(*sibling) > kMaxRelativeLatency * std::max(1.0, median_ratio);
    if (is_failing || is_slow) {
      health.ejected_until = now + kEjectionTime;
      health.is_trial = true;
      health.latency_ratio = 1;
      health.consecutive_failures = 0;
      ++ejected;
    }
  }
}

}  // namespace pomeloring
