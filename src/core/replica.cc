#include "core/replica.h"

#include <algorithm>

namespace pomeloring {
namespace {

constexpr double kStepWeight = 0.2;
constexpr double kLimitRise = 0.25;
constexpr double kLimitFall = 0.93;
// The limit falls above this share of the target and rises below the other.
constexpr double kFallAbove = 0.92;
constexpr double kRiseBelow = 0.8;
constexpr Duration kLeastTimeBetweenFalls = milliseconds(250);
constexpr uint32_t kFailuresToEject = 3;
constexpr uint32_t kLeastStepSamples = 5;
constexpr double kStragglerFactor = 2;
constexpr Duration kFirstEjection = seconds(2);
constexpr uint32_t kMostEjectionDoublings = 5;
constexpr size_t kLeastReplicasPerEjected = 5;
constexpr double kAffinityLoadBound = 1.25;
constexpr size_t kMostPrefixes = 8192;

void LearnStep(Replica& replica, Duration between_tokens) {
  const auto micros = static_cast<double>(between_tokens.count());
  replica.step_micros =
      replica.step_samples == 0
          ? micros
          : replica.step_micros + kStepWeight * (micros - replica.step_micros);
  ++replica.step_samples;
}

void LearnLimit(Replica& replica, StepTarget target, Time now) {
  const auto goal = static_cast<double>(target.between_tokens.count());
  if (goal == 0 || replica.step_samples == 0) {
    return;
  }
  const bool may_fall = now - replica.limit_changed >= kLeastTimeBetweenFalls;
  if (replica.step_micros > goal * kFallAbove && may_fall) {
    replica.limit = std::max(1.0, replica.limit * kLimitFall);
    replica.limit_changed = now;
  }
  const bool is_full = Running(replica) + 1 >= replica.limit;
  if (replica.step_micros < goal * kRiseBelow && is_full) {
    const auto most = static_cast<double>(replica.upstream.slots);
    replica.limit = std::min(most, replica.limit + kLimitRise);
  }
}

double MedianStep(std::span<const Replica> replicas) {
  std::vector<double> steps;
  for (const Replica& replica : replicas) {
    if (replica.step_samples >= kLeastStepSamples) {
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
  const uint32_t doublings =
      std::min(replica.ejections, kMostEjectionDoublings);
  replica.ejected_until = now + kFirstEjection * (1 << doublings);
  ++replica.ejections;
  replica.failures = 0;
  replica.step_samples = 0;
  replica.probing = true;
}

bool IsOutlier(const Replica& replica, double median_step) {
  if (replica.failures >= kFailuresToEject) {
    return true;
  }
  return median_step > 0 && replica.step_samples >= kLeastStepSamples &&
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

void LearnFromRun(Replica& replica,
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
    LearnStep(replica,
              (report.total - report.first_token) / (report.tokens - 1));
  }
  LearnLimit(replica, target, now);
}

void EjectOutliers(std::span<Replica> replicas, Time now) {
  size_t ejected = 0;
  for (const Replica& replica : replicas) {
    ejected += now < replica.ejected_until ? 1 : 0;
  }
  const size_t most =
      replicas.size() < 2
          ? 0
          : std::max<size_t>(1, replicas.size() / kLeastReplicasPerEjected);
  const double median = MedianStep(replicas);
  for (Replica& replica : replicas) {
    const bool is_ejected = now < replica.ejected_until;
    if (ejected < most && !is_ejected && IsOutlier(replica, median)) {
      Eject(replica, now);
      ++ejected;
    }
  }
}

void RememberPrefix(PrefixMemory& memory, uint64_t prefix, uint32_t replica) {
  if (prefix == 0) {
    return;
  }
  const auto [it, is_new] =
      memory.last_replica.insert_or_assign(prefix, replica);
  if (!is_new) {
    return;
  }
  if (memory.order.size() < kMostPrefixes) {
    memory.order.push_back(prefix);
    return;
  }
  memory.last_replica.erase(memory.order[memory.next]);
  memory.order[memory.next] = prefix;
  memory.next = (memory.next + 1) % kMostPrefixes;
}

std::optional<uint32_t> ChooseReplica(std::span<const Replica> replicas,
                                      const PrefixMemory& memory,
                                      uint64_t prefix_hash,
                                      std::span<const UpstreamName> excluded,
                                      Time now) {
  const auto remembered = memory.last_replica.find(prefix_hash);
  if (prefix_hash != 0 && remembered != memory.last_replica.end() &&
      remembered->second < replicas.size()) {
    const Replica& replica = replicas[remembered->second];
    const double bound = MeanLoad(replicas, now) * kAffinityLoadBound +
                         1 / std::max(1.0, replica.limit);
    if (IsCandidate(replica, excluded, now) && LoadOf(replica) <= bound) {
      return remembered->second;
    }
  }
  std::optional<uint32_t> best;
  double best_load = 0;
  for (uint32_t i = 0; i < replicas.size(); ++i) {
    const double load = LoadOf(replicas[i]);
    const bool is_better = !best || load < best_load;
    if (is_better && IsCandidate(replicas[i], excluded, now)) {
      best = i;
      best_load = load;
    }
  }
  return best;
}

}  // namespace pomeloring
