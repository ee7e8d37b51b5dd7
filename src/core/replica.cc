#include "core/replica.h"

#include <algorithm>

namespace pomeloring {
namespace {

constexpr double kStepSmoothing = 0.2;
constexpr double kLimitIncrement = 0.25;
constexpr double kLimitDecreaseFactor = 0.93;
// The limit decreases above the first fraction of the target and increases
// below the second.
constexpr double kDecreaseAboveFraction = 0.92;
constexpr double kIncreaseBelowFraction = 0.8;
constexpr Duration kMinDecreaseInterval = milliseconds(250);
constexpr uint32_t kFailuresToEject = 3;
// A replica with fewer samples is not compared with the median step time.
constexpr uint32_t kMinStepSamples = 5;
// Multiple of the median step time above which a replica is ejected.
constexpr double kStragglerFactor = 2;
constexpr Duration kBaseEjectionTime = seconds(2);
constexpr uint32_t kMaxEjectionDoublings = 5;
constexpr size_t kMinReplicasPerEjected = 5;
// Multiple of the cell's mean load up to which a replica that has the prefix is
// preferred.
constexpr double kAffinityLoadBound = 1.25;
// About as many as an engine caches; more would refer to prefixes that it has
// evicted.
constexpr size_t kMaxTrackedPrefixes = 8;

void UpdateStepTime(Replica& replica, Duration between_tokens) {
  const auto micros = static_cast<double>(between_tokens.count());
  replica.step_micros =
      replica.step_samples == 0
          ? micros
          : replica.step_micros +
                kStepSmoothing * (micros - replica.step_micros);
  ++replica.step_samples;
}

void UpdateLimit(Replica& replica, StepTarget target, Time now) {
  const auto target_micros = static_cast<double>(target.between_tokens.count());
  if (target_micros == 0 || replica.step_samples == 0) {
    return;
  }
  const bool may_decrease =
      now - replica.limit_decreased_at >= kMinDecreaseInterval;
  if (replica.step_micros > target_micros * kDecreaseAboveFraction &&
      may_decrease) {
    replica.limit = std::max(1.0, replica.limit * kLimitDecreaseFactor);
    replica.limit_decreased_at = now;
  }
  // Includes the request that has just ended and rounds the limit down: with a
  // limit of 12.25, a replica that ran 12 requests was full.
  const bool is_full =
      Running(replica) + 1 >= static_cast<uint32_t>(replica.limit);
  if (replica.step_micros < target_micros * kIncreaseBelowFraction && is_full) {
    const auto max_limit = static_cast<double>(replica.upstream.slots);
    replica.limit = std::min(max_limit, replica.limit + kLimitIncrement);
  }
}

double MedianStep(std::span<const Replica> replicas) {
  std::vector<double> steps;
  for (const Replica& replica : replicas) {
    if (replica.step_samples >= kMinStepSamples) {
      steps.push_back(replica.step_micros);
    }
  }
  if (steps.size() < 3) {
    return 0;
  }
  const auto middle = steps.begin() + static_cast<ptrdiff_t>(steps.size() / 2);
  std::nth_element(steps.begin(), middle, steps.end());
  return *middle;
}

void Eject(Replica& replica, Time now) {
  const uint32_t doublings = std::min(replica.ejections, kMaxEjectionDoublings);
  replica.ejected_until = now + kBaseEjectionTime * (1 << doublings);
  ++replica.ejections;
  replica.failures = 0;
  replica.step_samples = 0;
  replica.probing = true;
}

bool IsOutlier(const Replica& replica, double median_step) {
  if (replica.failures >= kFailuresToEject) {
    return true;
  }
  return median_step > 0 && replica.step_samples >= kMinStepSamples &&
         replica.step_micros > median_step * kStragglerFactor;
}

double LoadOf(const Replica& replica) {
  return Running(replica) / std::max(1.0, replica.limit);
}

bool IsCandidate(const Replica& replica,
                 std::span<const UpstreamName> excluded,
                 Time now) {
  return TakesWork(replica, now) && FreeSlots(replica) > 0 &&
         std::find(excluded.begin(), excluded.end(), replica.upstream.name) ==
             excluded.end();
}

double MeanLoad(std::span<const Replica> replicas, Time now) {
  double load = 0;
  double count = 0;
  for (const Replica& replica : replicas) {
    if (TakesWork(replica, now)) {
      load += LoadOf(replica);
      ++count;
    }
  }
  return count == 0 ? 0 : load / count;
}

}  // namespace

uint32_t Running(const Replica& replica) {
  uint32_t running = replica.granted;
  for (const auto& [entry, count] : replica.inherited) {
    running += count;
  }
  return running;
}

uint32_t FreeSlots(const Replica& replica) {
  const uint32_t running = Running(replica);
  const auto limit =
      replica.probing ? 1U : static_cast<uint32_t>(replica.limit);
  return limit > running ? limit - running : 0;
}

bool TakesWork(const Replica& replica, Time now) {
  return !replica.leaving && now >= replica.ejected_until;
}

void RecordSlotReport(Replica& replica,
                      const SlotReport& report,
                      StepTarget target,
                      Time now) {
  if (report.outcome == SlotOutcome::kFailed ||
      report.outcome == SlotOutcome::kNotStarted) {
    ++replica.failures;
    return;
  }
  if (report.outcome == SlotOutcome::kCancelled) {
    return;
  }
  replica.failures = 0;
  replica.probing = false;
  if (report.tokens > 1) {
    UpdateStepTime(replica,
                   (report.total - report.first_token) / (report.tokens - 1));
  }
  UpdateLimit(replica, target, now);
}

void EjectOutliers(std::span<Replica> replicas, Time now) {
  size_t ejected = 0;
  for (const Replica& replica : replicas) {
    ejected += now < replica.ejected_until ? 1 : 0;
  }
  const size_t max_ejected =
      replicas.size() < 2
          ? 0
          : std::max<size_t>(1, replicas.size() / kMinReplicasPerEjected);
  const double median = MedianStep(replicas);
  for (Replica& replica : replicas) {
    const bool is_ejected = now < replica.ejected_until;
    if (ejected < max_ejected && !is_ejected && IsOutlier(replica, median)) {
      Eject(replica, now);
      ++ejected;
    }
  }
}

void RecordPrefix(Replica& replica, uint64_t prefix) {
  if (prefix == 0) {
    return;
  }
  std::erase(replica.prefixes, prefix);
  replica.prefixes.push_back(prefix);
  if (replica.prefixes.size() > kMaxTrackedPrefixes) {
    replica.prefixes.erase(replica.prefixes.begin());
  }
}

bool HasPrefix(const Replica& replica, uint64_t prefix) {
  return std::find(replica.prefixes.begin(), replica.prefixes.end(), prefix) !=
         replica.prefixes.end();
}

std::optional<uint32_t> ChooseReplica(std::span<const Replica> replicas,
                                      uint64_t prefix_hash,
                                      std::span<const UpstreamName> excluded,
                                      Time now) {
  const double mean = prefix_hash == 0 ? 0 : MeanLoad(replicas, now);
  std::optional<uint32_t> best;
  double best_load = 0;
  bool best_has_prefix = false;
  for (uint32_t i = 0; i < replicas.size(); ++i) {
    const Replica& replica = replicas[i];
    if (!IsCandidate(replica, excluded, now)) {
      continue;
    }
    const double load = LoadOf(replica);
    const double bound =
        mean * kAffinityLoadBound + 1 / std::max(1.0, replica.limit);
    const bool has_prefix =
        prefix_hash != 0 && load <= bound && HasPrefix(replica, prefix_hash);
    const bool is_better =
        !best ||
        (has_prefix != best_has_prefix ? has_prefix : load < best_load);
    if (is_better) {
      best = i;
      best_load = load;
      best_has_prefix = has_prefix;
    }
  }
  return best;
}

}  // namespace pomeloring
