// Defines the pooled speed and failure rate of upstreams: what all instances
// have observed of each, decaying over seconds. Free functions over plain
// structs, without a clock.

#ifndef POMELORING_SPEEDS_UPSTREAM_SPEED_H_
#define POMELORING_SPEEDS_UPSTREAM_SPEED_H_

#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Weights of one observation, relative to that of a first event.
inline constexpr double kFirstEventWeight = 1;
inline constexpr double kTokenTimeWeight = 0.25;

// An entry takes up to 16 bytes in a digest, and all entries up to 400.
inline constexpr size_t kMaxSpeedsPerDigest = 25;

// What instances have observed of one upstream, as sent to peers.
struct SpeedObservation {
  uint32_t upstream = 0;  // See SpeedKeyOf().
  uint32_t weight = 0;    // In tenths of a first event.
  // Mean logarithm of observed over expected durations, in thousandths.
  int32_t log_ratio = 0;
  uint32_t served = 0;  // Attempts that ended so.
  uint32_t failed = 0;
  bool operator==(const SpeedObservation&) const = default;
};

// Sums of observations of one upstream.
struct SpeedSums {
  double weight = 0;
  double weighted_log = 0;
  double served = 0;
  double failed = 0;
};

struct PooledSpeed {
  SpeedSums sums;
  // The newest observations, which tell when the speed has changed.
  SpeedSums recent;
  Time updated_at;    // Up to which the sums are decayed.
  Time last_seen_at;  // Of the newest observation of the speed.
};

// The upstreams of one service.
struct SpeedPool {
  std::unordered_map<uint32_t, PooledSpeed> upstreams;  // By SpeedKeyOf().
  // Logarithm of the mean ratio of the upstreams; see UpdateSpeedPool().
  double mean_log = 0;
};

// A short hash of a name, for digests that list many.
uint32_t SpeedKeyOf(const UpstreamName& upstream);

// Adds what this instance or a peer has observed. Values out of range, as of a
// faulty peer, are clamped.
void AddObservation(SpeedPool& pool,
                    const SpeedObservation& observation,
                    Time now);

// Recalculates the mean of all upstreams and drops those that have not been
// observed for a minute. To be called regularly.
void UpdateSpeedPool(SpeedPool& pool, Time now);

// Returns how many times as long as the mean upstream of the service this one
// takes, in [0.25, 8]. It is 1 while unknown and close to 1 while there are few
// observations.
double SpeedFactorOf(const SpeedPool& pool, uint32_t upstream, Time now);
double SpeedFactorOf(const SpeedPool& pool,
                     const UpstreamName& upstream,
                     Time now);

// The fraction of recent attempts that the upstream failed, in [0, 1), and on
// how many attempts it rests. Close to 0 while there are few.
struct PooledFailures {
  double rate = 0;
  double attempts = 0;
};
PooledFailures FailuresOf(const SpeedPool& pool, uint32_t upstream, Time now);

// Whether the observation differs so much from what is known of the upstream
// that peers should know of it first.
bool IsUnexpected(const SpeedPool& pool, const SpeedObservation& observation);

// By how much the observed durations of one kind differ from those that this
// instance expects, whatever the upstream: its estimate of the service differs
// from that of other instances.
struct EstimateBias {
  double log = 0;
  uint32_t observations = 0;
};

// Returns the logarithm of `observed_ms` over `expected_ms`, less the bias,
// which is updated; nothing while the bias is unknown. `factor` is what is
// known of the upstream's speed, and all arguments are positive.
std::optional<double> UnbiasedLogRatio(EstimateBias& bias,
                                       double observed_ms,
                                       double expected_ms,
                                       double factor);

// Builds an observation of one duration.
SpeedObservation MakeSpeedObservation(uint32_t upstream,
                                      double weight,
                                      double log_ratio);

// Observations that are still to be sent, summed by upstream.
struct QueuedSpeed {
  SpeedSums sums;
  // The parts of `sums` that peers have sent, which must not get them back.
  std::vector<std::pair<InstanceName, SpeedSums>> by_sender;
  Time queued_at;
  bool is_urgent = false;
};

struct SpeedQueue {
  std::map<uint32_t, QueuedSpeed> upstreams;  // By SpeedKeyOf().
};

// `sender` is empty for what need not be kept from any receiver.
void QueueObservation(SpeedQueue& queue,
                      const SpeedObservation& observation,
                      const InstanceName& sender,
                      bool is_urgent,
                      Time now);

// Takes at most kMaxSpeedsPerDigest upstreams off the queue: the urgent ones,
// then those queued first. Drops those that have waited for seconds.
std::map<uint32_t, QueuedSpeed> TakeQueued(SpeedQueue& queue, Time now);

// What of `taken` is to be sent to `receiver`.
std::vector<SpeedObservation> ObservationsFor(
    const std::map<uint32_t, QueuedSpeed>& taken,
    const InstanceName& receiver);

}  // namespace pomeloring

#endif  // POMELORING_SPEEDS_UPSTREAM_SPEED_H_
