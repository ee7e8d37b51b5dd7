// The members of Router for the speeds and outcomes of upstreams that all
// instances share.

#include <algorithm>
#include <cmath>

#include "routing/router.h"

namespace pomeloring {
namespace {

// Placements read the factors far more often than observations change them.
constexpr Duration kRefreshInterval = milliseconds(20);
// A factor over the first limit is logged, and again once it is under the
// second one.
constexpr double kSlowFactor = 2;
constexpr double kNoLongerSlowFactor = 1.6;
// The estimate is calibrated until it rests on this many observations.
constexpr size_t kCalibrationSamples = 30;
constexpr size_t kMinCalibrationSamples = 3;
// A first event behind other prefill counts only if it is late by this factor
// (1.6, as a logarithm), however fast the prefill went that peers have told of:
// an engine that becomes slow has prefill pending all the time. Prefill that
// nobody has told of yet is the other reason, hence the lower weight.
constexpr double kLateLog = 0.47;
constexpr double kLateEventWeight = 0.5;
// More changes at once are counted only.
constexpr size_t kMaxSpeedChanges = 8;
// Preferred engines for shared prompt parts follow the factor in steps of this
// ratio, and only when it is clearly off: a preferred engine that changes loses
// what it has cached, and instances with slightly different factors have to
// choose the same one.
constexpr double kHomeStep = 1.4142;
constexpr double kHomeTolerance = 1.3;

double HomeFactor(double current, double factor) {
  const double off = std::max(factor / current, current / factor);
  return off < kHomeTolerance
             ? current
             : std::pow(kHomeStep,
                        std::round(std::log(factor) / std::log(kHomeStep)));
}

uint32_t KeyOf(const UpstreamState& upstream) {
  return static_cast<uint32_t>(upstream.name_hash);
}

double SharedFactorOf(const UpstreamState& upstream) {
  return upstream.shared_speed ? upstream.shared_speed->factor : 1;
}

}  // namespace

bool Router::SharesSpeeds(const ServiceName& name) const {
  if (!m_settings.features.shares_speeds || !m_config) {
    return false;
  }
  const auto service = m_config->services.find(name);
  return service != m_config->services.end() && service->second.engine &&
         service->second.engine->batch_slots <= kMaxScarceSlots;
}

Duration Router::ShareFirstEvent(const PlacedAttempt& attempt,
                                 Duration elapsed,
                                 Time now) {
  if (!SharesSpeeds(attempt.service) || elapsed <= Duration{0}) {
    return elapsed;
  }
  const double factor = SharedFactorOf(*attempt.upstream);
  if (attempt.mean_first_event_ms > 0) {
    ServiceSpeeds& speeds = m_speeds[attempt.service];
    EstimateBias& bias = speeds.first_event_bias;
    const double elapsed_ms = ToMillis(elapsed);
    if (attempt.no_prefill_ahead) {
      if (speeds.samples.size() < kCalibrationSamples) {
        const double tokens = attempt.placement.pending_prefill_tokens;
        speeds.samples.push_back(
            {KeyOf(*attempt.upstream), tokens, elapsed_ms});
      }
      ShareDuration(attempt, kFirstEventWeight, bias, elapsed_ms,
                    attempt.mean_first_event_ms, now);
    } else if (const double log =
                   std::log(elapsed_ms / attempt.mean_first_event_ms) -
                   bias.log;
               log > std::log(factor) + kLateLog) {
      ShareObservation(
          attempt,
          MakeSpeedObservation(KeyOf(*attempt.upstream), kLateEventWeight, log),
          now);
    }
  }
  return Duration{
      static_cast<int64_t>(static_cast<double>(elapsed.count()) / factor)};
}

double Router::ShareTokenTime(const PlacedAttempt& attempt,
                              double token_ms,
                              double fraction,
                              Time now) {
  if (!SharesSpeeds(attempt.service) || token_ms <= 0) {
    return token_ms;
  }
  const double factor = SharedFactorOf(*attempt.upstream);
  // Prefill between the tokens says how much there is to prefill, not how fast
  // the engine is.
  if (PendingPrefillTokens(TotalLoad(*attempt.upstream)) == 0) {
    ShareDuration(attempt, kTokenTimeWeight,
                  m_speeds[attempt.service].token_time_bias, token_ms,
                  DecodeStepMs(m_engines[attempt.service], fraction), now);
  }
  return token_ms / factor;
}

void Router::ShareDuration(const PlacedAttempt& attempt,
                           double weight,
                           EstimateBias& bias,
                           double observed_ms,
                           double expected_ms,
                           Time now) {
  const uint32_t key = KeyOf(*attempt.upstream);
  const double factor = SpeedFactorOf(m_speeds[attempt.service].pool, key, now);
  if (const auto log =
          UnbiasedLogRatio(bias, observed_ms, expected_ms, factor)) {
    ShareObservation(attempt, MakeSpeedObservation(key, weight, *log), now);
  }
}

void Router::ShareOutcome(const PlacedAttempt& attempt,
                          UpstreamOutcome outcome,
                          Time now) {
  const bool is_served = outcome == UpstreamOutcome::kServed;
  if ((is_served || outcome == UpstreamOutcome::kFailed) &&
      SharesSpeeds(attempt.service)) {
    SpeedObservation observation;
    observation.upstream = KeyOf(*attempt.upstream);
    ++(is_served ? observation.served : observation.failed);
    ShareObservation(attempt, observation, now);
  }
}

// An ordinary observation is sent along with the next digest. One that differs
// from what peers know makes a digest due.
void Router::ShareObservation(const PlacedAttempt& attempt,
                              const SpeedObservation& observation,
                              Time now) {
  const auto current = m_states.find(attempt.upstream->record.id);
  if (current == m_states.end() ||
      !IsSameProcess(attempt.upstream->record, current->second->record)) {
    return;  // It says nothing about the process that runs now.
  }
  SpeedPool& pool = m_speeds[attempt.service].pool;
  const bool is_urgent = IsUnexpected(pool, observation);
  AddObservation(pool, observation, now);
  QueueObservation(m_speeds_to_send, observation, {}, is_urgent, now);
  if (m_is_relay) {
    QueueObservation(m_speeds_to_relay, observation, {}, is_urgent, now);
  }
  m_has_pending_changes |= is_urgent;
  RefreshSpeeds(now);
}

std::vector<SpeedObservation> Router::TakeSpeedsToSend(Time now) {
  return ObservationsFor(TakeQueued(m_speeds_to_send, now), {});
}

// What another relay forwards comes with that relay's digests.
void Router::ApplySpeeds(const PeerDigest& digest, Time now) {
  const bool is_relayed_here = digest.relayed_by == m_settings.name;
  if (!m_settings.features.shares_speeds ||
      (!digest.relayed_by.value.empty() && !is_relayed_here)) {
    return;
  }
  for (const SpeedObservation& observation : digest.speeds) {
    const auto state = m_by_speed_key.find(observation.upstream);
    if (state == m_by_speed_key.end() ||
        !SharesSpeeds(state->second->record.service)) {
      continue;
    }
    SpeedPool& pool = m_speeds[state->second->record.service].pool;
    const bool is_urgent = IsUnexpected(pool, observation);
    AddObservation(pool, observation, now);
    if (m_is_relay && is_relayed_here) {
      QueueObservation(m_speeds_to_send, observation, {}, is_urgent, now);
    }
    if (m_is_relay &&
        (is_relayed_here || digest.scope == DigestScope::kGroup)) {
      QueueObservation(m_speeds_to_relay, observation, digest.sender, is_urgent,
                       now);
    }
  }
  if (!digest.speeds.empty()) {
    RefreshSpeeds(now);
  }
}

void Router::IndexSpeeds() {
  if (!m_settings.features.shares_speeds) {
    return;
  }
  m_by_speed_key.clear();
  for (const auto& [name, state] : m_states) {
    m_by_speed_key[KeyOf(*state)] = state.get();
  }
}

// Peers that do not know of the new process yet may send some observations of
// the old one after this; they decay.
void Router::ForgetSpeed(const UpstreamState& ended) {
  const uint32_t key = KeyOf(ended);
  if (const auto speeds = m_speeds.find(ended.record.service);
      speeds != m_speeds.end()) {
    speeds->second.pool.upstreams.erase(key);
  }
  m_speeds_to_send.upstreams.erase(key);
  m_speeds_to_relay.upstreams.erase(key);
}

void Router::RefreshSpeeds(Time now) {
  if (!m_settings.features.shares_speeds || !m_config ||
      now - m_speeds_refreshed_at < kRefreshInterval) {
    return;
  }
  m_speeds_refreshed_at = now;
  for (auto& [name, speeds] : m_speeds) {
    UpdateSpeedPool(speeds.pool, now);
    const bool is_shared = SharesSpeeds(name);
    if (is_shared) {
      CalibrateEstimate(name, speeds, now);
    }
    for (UpstreamState* state : m_by_service[name]) {
      const uint32_t key = KeyOf(*state);
      if (!is_shared || !speeds.pool.upstreams.contains(key)) {
        state->shared_speed.reset();
        continue;
      }
      SharedSpeed shared = state->shared_speed.value_or(SharedSpeed{});
      shared.factor = SpeedFactorOf(speeds.pool, key, now);
      shared.home_factor = HomeFactor(shared.home_factor, shared.factor);
      const PooledFailures failures = FailuresOf(speeds.pool, key, now);
      shared.failure_rate = failures.rate;
      shared.attempts = failures.attempts;
      const bool is_slow =
          shared.factor > (shared.is_slow ? kNoLongerSlowFactor : kSlowFactor);
      if (is_slow != std::exchange(shared.is_slow, is_slow)) {
        NoteSpeedChange(*state, shared, now);
      }
      state->shared_speed = shared;
    }
  }
}

// An instance makes its first observations before it knows the speeds of the
// upstreams, and takes the estimate for that of the mean one. While there are
// few, the estimate is corrected for what has become known of their upstreams
// since: by the median, which prefill that nobody has told of yet barely moves.
void Router::CalibrateEstimate(const ServiceName& name,
                               const ServiceSpeeds& speeds,
                               Time now) {
  EngineEstimate& estimate = m_engines[name];
  if (speeds.samples.size() < kMinCalibrationSamples ||
      estimate.observations > kCalibrationSamples) {
    return;
  }
  std::vector<double> ratios;
  for (const FirstEventSample& sample : speeds.samples) {
    const double expected_ms =
        SpeedFactorOf(speeds.pool, sample.upstream, now) *
        ExpectedFirstEventMs(estimate, 0, sample.tokens);
    ratios.push_back(sample.ms / expected_ms);
  }
  const auto middle = ratios.begin() + static_cast<long>(ratios.size() / 2);
  std::nth_element(ratios.begin(), middle, ratios.end());
  ScaleFirstEvents(estimate, *middle);
}

void Router::NoteSpeedChange(const UpstreamState& upstream,
                             const SharedSpeed& shared,
                             Time now) {
  ++m_speed_changes.count;
  if (m_speed_changes.noted.size() < kMaxSpeedChanges) {
    const SpeedPool& pool = m_speeds[upstream.record.service].pool;
    const PooledSpeed& speed = pool.upstreams.at(KeyOf(upstream));
    m_speed_changes.noted.push_back({upstream.record.id, shared.factor,
                                     speed.sums.weight, shared.failure_rate,
                                     now - speed.last_seen_at});
  }
}

SpeedChanges Router::TakeSpeedChanges() {
  return std::exchange(m_speed_changes, {});
}

}  // namespace pomeloring
