#include "routing/upstream_state.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pomeloring {
namespace {

// A bound on memory: 4,096 parts are about 200 KB an upstream.
constexpr size_t kMaxCachedParts = 4096;
// One run in five moves the averages by half in about three runs.
constexpr double kHealthWeight = 0.2;
// Fewer runs say little of an upstream.
constexpr uint32_t kMinSamples = 5;
constexpr double kFailureMargin = 0.3;  // Over the siblings' median.
constexpr double kLagFactor = 3.0;      // Over the siblings' median.
constexpr uint32_t kMaxConsecutiveFailures = 3;
// Shorter starts are mostly the way to the upstream and back.
constexpr Duration kMinStartToLearn = milliseconds(40);
constexpr double kStartWeight = 0.1;
constexpr double kMinLatencyRatio = 0.4;
constexpr double kMaxLatencyRatio = 10;
constexpr Duration kEjection = seconds(2);
constexpr size_t kMaxEjectedShare = 3;  // One in three.

double MedianOf(std::vector<double> values) {
  if (values.empty()) {
    return 0;
  }
  const auto middle = values.begin() + static_cast<long>(values.size() / 2);
  std::nth_element(values.begin(), middle, values.end());
  return *middle;
}

}  // namespace

void AddUse(UpstreamUse& total, const UpstreamUse& use) {
  total.running += use.running;
  for (size_t rank = 0; rank < kUrgencyRanks; ++rank) {
    total.unread_tokens[rank] += use.unread_tokens[rank];
  }
  total.pause_sensitive += use.pause_sensitive;
  total.read_load += use.read_load;
}

void SubtractUse(UpstreamUse& total, const UpstreamUse& use) {
  total.running -= use.running;
  for (size_t rank = 0; rank < kUrgencyRanks; ++rank) {
    total.unread_tokens[rank] -= use.unread_tokens[rank];
  }
  total.pause_sensitive -= use.pause_sensitive;
  total.read_load = std::max(0.0, total.read_load - use.read_load);
}

UpstreamUse TotalUse(const UpstreamState& upstream) {
  UpstreamUse total = upstream.own;
  for (const auto& [peer, use] : upstream.of_peers) {
    AddUse(total, use);
  }
  return total;
}

uint64_t UnreadUpTo(const UpstreamUse& use, size_t rank) {
  uint64_t tokens = 0;
  for (size_t i = 0; i <= std::min(rank, kUrgencyRanks - 1); ++i) {
    tokens += use.unread_tokens[i];
  }
  return tokens;
}

uint64_t UnreadTokens(const UpstreamUse& use) {
  return UnreadUpTo(use, kUrgencyRanks - 1);
}

void FadeReadLoads(UpstreamState& upstream, Time now) {
  if (now <= upstream.read_load_at) {
    return;
  }
  const auto elapsed =
      static_cast<double>((now - upstream.read_load_at).count());
  const double kept =
      std::exp(-elapsed / static_cast<double>(kReadLoadTime.count()));
  upstream.own.read_load *= kept;
  for (auto& [peer, use] : upstream.of_peers) {
    use.read_load *= kept;
  }
  upstream.read_load_at = now;
}

uint32_t CachedTokens(const UpstreamState& upstream,
                      std::span<const PromptPart> parts) {
  uint32_t cached = 0;
  for (const PromptPart& part : parts) {
    if (!upstream.cached_parts.contains(part.id)) {
      break;  // A part counts only if all before it are there too.
    }
    cached += part.tokens;
  }
  return cached;
}

void RememberParts(UpstreamState& upstream,
                   std::span<const PromptPart> parts,
                   Time now) {
  for (const PromptPart& part : parts) {
    upstream.cached_parts[part.id] = now;
  }
  if (upstream.cached_parts.size() <= kMaxCachedParts) {
    return;
  }
  std::vector<Time> uses;
  for (const auto& [id, used] : upstream.cached_parts) {
    uses.push_back(used);
  }
  const auto middle = uses.begin() + static_cast<long>(uses.size() / 2);
  std::nth_element(uses.begin(), middle, uses.end());
  std::erase_if(upstream.cached_parts,
                [&](const auto& part) { return part.second < *middle; });
}

void LearnOutcome(UpstreamHealth& health,
                  RunOutcome outcome,
                  double latency_ratio,
                  Time now) {
  if (outcome == RunOutcome::kRefused || outcome == RunOutcome::kCancelled) {
    health.is_trial = false;
    return;
  }
  const bool failed = outcome != RunOutcome::kServed;
  health.failure_share +=
      kHealthWeight * ((failed ? 1.0 : 0.0) - health.failure_share);
  health.consecutive_failures = failed ? health.consecutive_failures + 1 : 0;
  ++health.samples;
  if (latency_ratio > 0) {
    health.latency_ratio +=
        kHealthWeight * (latency_ratio - health.latency_ratio);
  }
  if (health.is_trial) {
    health.is_trial = false;
    if (failed) {
      health.ejected_until = now + kEjection;
      health.is_trial = true;
    } else {
      health.failure_share = 0;
    }
  }
}

void LearnStart(UpstreamHealth& health, Duration expected, Duration elapsed) {
  if (expected < kMinStartToLearn) {
    return;
  }
  const double ratio = std::clamp(static_cast<double>(elapsed.count()) /
                                      static_cast<double>(expected.count()),
                                  kMinLatencyRatio, kMaxLatencyRatio);
  // The expectation holds the ratio learnt so far.
  health.latency_ratio =
      std::clamp(health.latency_ratio * (1 + kStartWeight * (ratio - 1)),
                 kMinLatencyRatio, kMaxLatencyRatio);
}

void EjectOutliers(std::span<UpstreamState* const> siblings, Time now) {
  std::vector<double> failures;
  std::vector<double> ratios;
  size_t ejected = 0;
  for (const UpstreamState* sibling : siblings) {
    failures.push_back(sibling->health.failure_share);
    ratios.push_back(sibling->health.latency_ratio);
    ejected += now < sibling->health.ejected_until ? 1 : 0;
  }
  const double median_failures = MedianOf(failures);
  const double median_ratio = MedianOf(ratios);
  for (UpstreamState* sibling : siblings) {
    UpstreamHealth& health = sibling->health;
    if (now < health.ejected_until || health.is_trial ||
        health.samples < kMinSamples ||
        (ejected + 1) * kMaxEjectedShare > siblings.size()) {
      continue;
    }
    const bool fails =
        health.failure_share > median_failures + kFailureMargin ||
        health.consecutive_failures >= kMaxConsecutiveFailures;
    const bool lags =
        health.latency_ratio > kLagFactor * std::max(1.0, median_ratio);
    if (fails || lags) {
      health.ejected_until = now + kEjection;
      health.is_trial = true;
      health.latency_ratio = 1;
      health.consecutive_failures = 0;
      ++ejected;
    }
  }
}

}  // namespace pomeloring
