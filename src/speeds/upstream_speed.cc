#include "speeds/upstream_speed.h"

#include <algorithm>
#include <cmath>

namespace pomeloring {
namespace {

constexpr double kDecayTimeMs = 6000;
// An upstream is observed several times in this time where speeds matter.
constexpr double kRecentTimeMs = 500;
// The recent observations replace all earlier ones if they differ by at least
// this much (1.6 times) and their weight times the square of the difference is
// at least this: for 3 times, one or two events of streams; for 1.6 times, six.
// Single events that waited for some prefill are off by that much.
constexpr double kChangeLog = 0.47;
constexpr double kMinChangeEvidence = 0.35;
// While nothing new is observed, the last value keeps up to this weight.
constexpr double kKeptWeight = 2;
constexpr Duration kRetention = seconds(60);
// The mean upstream counts as an observation of this weight: an upstream that
// has just changed rests on few observations, too.
constexpr double kPriorWeight = 0.3;
// As many attempts are taken to have been served.
constexpr double kPriorServed = 2;
constexpr double kMinFactor = 0.25;
constexpr double kMaxFactor = 8;
// A duration that is longer by more says that something else was waited for.
constexpr double kMaxLogRatio = 1.6;
// Bounds of an entry, so that one faulty peer cannot outweigh all others for
// long.
constexpr uint32_t kMaxObservationWeight = 1000;
constexpr uint32_t kMaxObservedAttempts = 1000;
constexpr double kWeightUnits = 10;
constexpr double kLogUnits = 1000;
// An entry that could not be sent for this long tells of the past.
constexpr Duration kMaxQueueTime = seconds(2);
// The bias rests on this many observations at most, and at least.
constexpr uint32_t kBiasMemory = 64;
constexpr uint32_t kMinBiasObservations = 3;
// An upstream whose speed has just changed moves the bias little.
constexpr double kMaxBiasDeviation = 0.3;

void Scale(SpeedSums& sums, double factor) {
  sums.weight *= factor;
  sums.weighted_log *= factor;
  sums.served *= factor;
  sums.failed *= factor;
}

void Add(SpeedSums& sums, const SpeedSums& added) {
  sums.weight += added.weight;
  sums.weighted_log += added.weighted_log;
  sums.served += added.served;
  sums.failed += added.failed;
}

void Subtract(SpeedSums& sums, const SpeedSums& part) {
  sums.weight -= part.weight;
  sums.weighted_log -= part.weighted_log;
  sums.served -= part.served;
  sums.failed -= part.failed;
}

double MeanLog(const SpeedSums& sums) {
  return sums.weight > 0 ? sums.weighted_log / sums.weight : 0;
}

SpeedSums SumsOf(const SpeedObservation& observation) {
  SpeedSums sums;
  sums.weight =
      std::min(observation.weight, kMaxObservationWeight) / kWeightUnits;
  sums.weighted_log =
      sums.weight * std::clamp(observation.log_ratio / kLogUnits,
                               -kMaxLogRatio - std::log(kMaxFactor),
                               kMaxLogRatio + std::log(kMaxFactor));
  sums.served = std::min(observation.served, kMaxObservedAttempts);
  sums.failed = std::min(observation.failed, kMaxObservedAttempts);
  return sums;
}

SpeedObservation ToObservation(uint32_t upstream, const SpeedSums& sums) {
  const auto rounded = [](double value) {
    return static_cast<uint32_t>(std::lround(std::max(0.0, value)));
  };
  SpeedObservation observation;
  observation.upstream = upstream;
  observation.weight = rounded(sums.weight * kWeightUnits);
  if (observation.weight > 0) {
    observation.log_ratio =
        static_cast<int32_t>(std::lround(MeanLog(sums) * kLogUnits));
  }
  observation.served = rounded(sums.served);
  observation.failed = rounded(sums.failed);
  return observation;
}

// The weight of the speed at `now`: a part of it outlasts the decay.
double WeightAt(const PooledSpeed& speed, Time now) {
  if (now - speed.last_seen_at >= kRetention) {
    return 0;
  }
  const double decayed =
      speed.sums.weight *
      std::exp(-ToMillis(std::max(Duration{0}, now - speed.updated_at)) /
               kDecayTimeMs);
  return std::max(decayed, std::min(speed.sums.weight, kKeptWeight));
}

void DecayTo(PooledSpeed& speed, Time now) {
  if (now <= speed.updated_at) {
    return;
  }
  const double elapsed_ms = ToMillis(now - speed.updated_at);
  const double weight = WeightAt(speed, now);
  const double mean_log = MeanLog(speed.sums);
  Scale(speed.sums, std::exp(-elapsed_ms / kDecayTimeMs));
  speed.sums.weight = weight;
  speed.sums.weighted_log = weight * mean_log;
  Scale(speed.recent, std::exp(-elapsed_ms / kRecentTimeMs));
  speed.updated_at = now;
}

}  // namespace

uint32_t SpeedKeyOf(const UpstreamName& upstream) {
  return static_cast<uint32_t>(StableHash(upstream.value));
}

void AddObservation(SpeedPool& pool,
                    const SpeedObservation& observation,
                    Time now) {
  PooledSpeed& speed = pool.upstreams[observation.upstream];
  DecayTo(speed, now);
  const SpeedSums added = SumsOf(observation);
  Add(speed.sums, added);
  Add(speed.recent, added);
  if (added.weight > 0) {
    speed.last_seen_at = now;
  }
  const double change = MeanLog(speed.recent) - MeanLog(speed.sums);
  if (std::abs(change) > kChangeLog &&
      speed.recent.weight * change * change > kMinChangeEvidence) {
    speed.sums.weight = speed.recent.weight;
    speed.sums.weighted_log = speed.recent.weighted_log;
  }
}

// The mean is that of the ratios, not of their logarithms: factors then have
// the mean 1, so that the expected durations of all upstreams together are
// those of the estimate.
void UpdateSpeedPool(SpeedPool& pool, Time now) {
  double total = 0;
  double weighted_ratios = 0;
  std::erase_if(pool.upstreams, [&](const auto& entry) {
    return now - std::max(entry.second.last_seen_at, entry.second.updated_at) >=
           kRetention;
  });
  for (const auto& [key, speed] : pool.upstreams) {
    const double weight = WeightAt(speed, now);
    const double confidence = weight / (weight + kPriorWeight);
    total += confidence;
    weighted_ratios += confidence * std::exp(MeanLog(speed.sums));
  }
  pool.mean_log = total > 0 ? std::log(weighted_ratios / total) : 0;
}

double SpeedFactorOf(const SpeedPool& pool, uint32_t upstream, Time now) {
  const auto found = pool.upstreams.find(upstream);
  if (found == pool.upstreams.end()) {
    return 1;
  }
  const double weight = WeightAt(found->second, now);
  const double confidence = weight / (weight + kPriorWeight);
  const double log = confidence * (MeanLog(found->second.sums) - pool.mean_log);
  return std::clamp(std::exp(log), kMinFactor, kMaxFactor);
}

double SpeedFactorOf(const SpeedPool& pool,
                     const UpstreamName& upstream,
                     Time now) {
  return SpeedFactorOf(pool, SpeedKeyOf(upstream), now);
}

PooledFailures FailuresOf(const SpeedPool& pool, uint32_t upstream, Time now) {
  const auto found = pool.upstreams.find(upstream);
  if (found == pool.upstreams.end()) {
    return {};
  }
  SpeedSums sums = found->second.sums;
  Scale(sums, std::exp(-ToMillis(std::max(Duration{0},
                                          now - found->second.updated_at)) /
                       kDecayTimeMs));
  const double attempts = sums.served + sums.failed;
  return {sums.failed / (attempts + kPriorServed), attempts};
}

bool IsUnexpected(const SpeedPool& pool, const SpeedObservation& observation) {
  if (observation.failed > 0) {
    return true;
  }
  const auto found = pool.upstreams.find(observation.upstream);
  return found != pool.upstreams.end() && observation.weight > 0 &&
         std::abs(observation.log_ratio / kLogUnits -
                  MeanLog(found->second.sums)) > kChangeLog;
}

std::optional<double> UnbiasedLogRatio(EstimateBias& bias,
                                       double observed_ms,
                                       double expected_ms,
                                       double factor) {
  const double log = std::log(observed_ms / expected_ms);
  // What is known of the upstream is no bias of the estimate.
  double deviation = std::clamp(log - std::log(factor) - bias.log,
                                -kMaxLogRatio, kMaxLogRatio);
  if (bias.observations >= kBiasMemory) {
    deviation = std::clamp(deviation, -kMaxBiasDeviation, kMaxBiasDeviation);
  } else {
    ++bias.observations;
  }
  bias.log += deviation / bias.observations;
  if (bias.observations < kMinBiasObservations) {
    return std::nullopt;
  }
  return std::clamp(log - bias.log, -kMaxLogRatio, kMaxLogRatio);
}

SpeedObservation MakeSpeedObservation(uint32_t upstream,
                                      double weight,
                                      double log_ratio) {
  return ToObservation(upstream, {weight, weight * log_ratio, 0, 0});
}

void QueueObservation(SpeedQueue& queue,
                      const SpeedObservation& observation,
                      const InstanceName& sender,
                      bool is_urgent,
                      Time now) {
  const auto [found, is_new] =
      queue.upstreams.try_emplace(observation.upstream);
  QueuedSpeed& queued = found->second;
  if (is_new) {
    queued.queued_at = now;
  }
  queued.is_urgent |= is_urgent;
  const SpeedSums added = SumsOf(observation);
  Add(queued.sums, added);
  if (sender.value.empty()) {
    return;
  }
  const auto known =
      std::find_if(queued.by_sender.begin(), queued.by_sender.end(),
                   [&](const auto& part) { return part.first == sender; });
  if (known != queued.by_sender.end()) {
    Add(known->second, added);
  } else {
    queued.by_sender.emplace_back(sender, added);
  }
}

std::map<uint32_t, QueuedSpeed> TakeQueued(SpeedQueue& queue, Time now) {
  std::erase_if(queue.upstreams, [&](const auto& entry) {
    return now - entry.second.queued_at >= kMaxQueueTime;
  });
  if (queue.upstreams.size() <= kMaxSpeedsPerDigest) {
    return std::exchange(queue.upstreams, {});
  }
  std::vector<std::pair<uint32_t, const QueuedSpeed*>> order;
  for (const auto& [key, queued] : queue.upstreams) {
    order.emplace_back(key, &queued);
  }
  std::stable_sort(
      order.begin(), order.end(), [](const auto& a, const auto& b) {
        return std::pair(!a.second->is_urgent, a.second->queued_at) <
               std::pair(!b.second->is_urgent, b.second->queued_at);
      });
  order.resize(kMaxSpeedsPerDigest);
  std::map<uint32_t, QueuedSpeed> taken;
  for (const auto& [key, queued] : order) {
    taken.insert(queue.upstreams.extract(key));
  }
  return taken;
}

std::vector<SpeedObservation> ObservationsFor(
    const std::map<uint32_t, QueuedSpeed>& taken,
    const InstanceName& receiver) {
  std::vector<SpeedObservation> observations;
  for (const auto& [key, queued] : taken) {
    SpeedSums sums = queued.sums;
    for (const auto& [sender, part] : queued.by_sender) {
      if (sender == receiver) {
        Subtract(sums, part);
      }
    }
    const SpeedObservation observation = ToObservation(key, sums);
    if (observation.weight > 0 || observation.served > 0 ||
        observation.failed > 0) {
      observations.push_back(observation);
    }
  }
  return observations;
}

}  // namespace pomeloring
