#include "routing/engine_estimate.h"

#include <algorithm>

namespace pomeloring {
namespace {

// The first observations are not clipped: the initial values may be far off.
constexpr uint64_t kInitialObservations = 30;
// After those, an observation moves the estimate as if it were at most this
// factor off, so that a single slow upstream barely changes the estimate of its
// service.
constexpr double kMaxDeviation = 1.6;
constexpr double kMaxInitialDeviation = 10;
// The regression remembers about this many observations.
constexpr double kRegressionMemory = 64;
// Shorter among the first ones, which replace the initial values.
constexpr double kInitialRegressionMemory = 8;
// The initial values count as one observation at each of these prompt lengths.
constexpr double kInitialTokens[] = {0, 4000};
constexpr double kMinDelayMs = 1;
constexpr double kMaxDelayMs = 2000;
constexpr double kMinPrefillMsPerToken = 0.001;
constexpr double kMaxPrefillMsPerToken = 0.5;
// The decode step is the token time that this fraction of observations is
// below: slower ones include prefill of other requests.
constexpr double kDecodeStepQuantile = 0.25;
constexpr double kDecodeStepGain = 0.02;
constexpr double kMinDecodeStepMs = 0.2;
constexpr double kMaxDecodeStepMs = 500;
// Queueing and other prompts only add to the time to the first event, so slower
// observations say less about the engine itself.
constexpr double kSlowObservationWeight = 0.25;
constexpr double kRunSmoothing = 0.05;
// Streams up to this multiple of the mean length should finish in time.
constexpr double kLongRunFactor = 2;
// Highest limit while no stream of some route has had the time to complete.
constexpr double kInitialPrefillLimit = 0.6;
// The lengths of a route's streams differ by several times. A mean of fewer may
// be so long that the route is refused and the mean never corrected.
constexpr uint32_t kMinCompleteStreams = 4;
constexpr double kLowestPrefillLimit = 0.2;

void AddObservation(FirstEventSums& sums,
                    double tokens,
                    double ms,
                    double confidence = 1) {
  // Makes the relative errors of short and long prompts count equally.
  const double weight = confidence / (ms * ms);
  sums.weight += weight;
  sums.tokens += weight * tokens;
  sums.tokens_squared += weight * tokens * tokens;
  sums.ms += weight * ms;
  sums.tokens_ms += weight * tokens * ms;
}

void Decay(FirstEventSums& sums, double memory) {
  const double factor = 1 - 1 / memory;
  sums.weight *= factor;
  sums.tokens *= factor;
  sums.tokens_squared *= factor;
  sums.ms *= factor;
  sums.tokens_ms *= factor;
}

void Smooth(double& mean, double value) {
  mean = mean == 0 ? value : mean + kRunSmoothing * (value - mean);
}

}  // namespace

double ExpectedFirstEventMs(const EngineEstimate& estimate,
                            double tokens_ahead,
                            double tokens) {
  return estimate.first_event_delay_ms +
         (tokens_ahead + tokens) * estimate.prefill_ms_per_token;
}

double DecodeStepMs(const EngineEstimate& estimate, double fraction) {
  return estimate.empty_step_ms + fraction * estimate.full_batch_step_ms;
}

double PrefillStepMs(const EngineEstimate& estimate, double fraction) {
  return kPrefillChunkTokens * estimate.prefill_ms_per_token +
         DecodeStepMs(estimate, fraction);
}

// With a prefill share of s, an engine does s / PrefillStepMs() + (1 - s) /
// DecodeStepMs() steps in a ms, each of which is a token of every stream.
double MaxPrefillShareForStreams(const EngineEstimate& estimate, Time now) {
  const double decode_rate = 1 / DecodeStepMs(estimate, 1);
  const double prefill_rate = 1 / PrefillStepMs(estimate, 1);
  double max_share = -1;
  bool is_unknown = false;
  for (const auto& [route, runs] : estimate.runs) {
    if (runs.complete_streams == 0) {
      is_unknown |= ToMillis(now - runs.first_attempt_at) < runs.available_ms;
      continue;
    }
    const double needed_rate =
        kLongRunFactor * runs.mean_tokens / runs.available_ms;
    double share = (decode_rate - needed_rate) / (decode_rate - prefill_rate);
    if (runs.complete_streams < kMinCompleteStreams) {
      share = std::max(share, kInitialPrefillLimit);
    }
    max_share = max_share < 0 ? share : std::min(max_share, share);
    max_share = std::max(max_share, kLowestPrefillLimit);
  }
  if (max_share < 0) {
    return kInitialPrefillLimit;
  }
  // Short streams complete first and allow more than the long ones would.
  return is_unknown ? std::min(max_share, kInitialPrefillLimit) : max_share;
}

void RecordFirstEvent(EngineEstimate& estimate,
                      double tokens,
                      Duration elapsed,
                      Time now) {
  FirstEventSums& sums = estimate.sums;
  if (estimate.observations == 0) {
    for (const double initial_tokens : kInitialTokens) {
      AddObservation(sums, initial_tokens,
                     ExpectedFirstEventMs(estimate, 0, initial_tokens));
    }
  }
  const double expected_ms = ExpectedFirstEventMs(estimate, 0, tokens);
  const bool is_initial = estimate.observations < kInitialObservations;
  Decay(sums, is_initial ? kInitialRegressionMemory : kRegressionMemory);
  const double max_deviation =
      is_initial ? kMaxInitialDeviation : kMaxDeviation;
  const double observed_ms =
      std::clamp(ToMillis(elapsed), expected_ms / max_deviation,
                 expected_ms * max_deviation);
  AddObservation(sums, tokens, observed_ms,
                 observed_ms > expected_ms ? kSlowObservationWeight : 1);
  ++estimate.observations;
  estimate.updated_at = now;
  const double determinant =
      sums.weight * sums.tokens_squared - sums.tokens * sums.tokens;
  if (determinant <= 0) {
    return;  // All prompts had the same length.
  }
  const double slope =
      (sums.weight * sums.tokens_ms - sums.tokens * sums.ms) / determinant;
  estimate.prefill_ms_per_token =
      std::clamp(slope, kMinPrefillMsPerToken, kMaxPrefillMsPerToken);
  estimate.first_event_delay_ms = std::clamp(
      (sums.ms - estimate.prefill_ms_per_token * sums.tokens) / sums.weight,
      kMinDelayMs, kMaxDelayMs);
}

void ScaleFirstEvents(EngineEstimate& estimate, double factor) {
  estimate.first_event_delay_ms = std::clamp(
      estimate.first_event_delay_ms * factor, kMinDelayMs, kMaxDelayMs);
  estimate.prefill_ms_per_token =
      std::clamp(estimate.prefill_ms_per_token * factor, kMinPrefillMsPerToken,
                 kMaxPrefillMsPerToken);
  // As if each observation had taken `factor` times as long; see
  // AddObservation().
  FirstEventSums& sums = estimate.sums;
  sums.weight /= factor * factor;
  sums.tokens /= factor * factor;
  sums.tokens_squared /= factor * factor;
  sums.ms /= factor;
  sums.tokens_ms /= factor;
}

// A step of quantile regression on the slots in use.
void RecordTokenTime(EngineEstimate& estimate,
                     double token_ms,
                     double fraction) {
  const double expected_ms = DecodeStepMs(estimate, fraction);
  const double change_ms =
      kDecodeStepGain * expected_ms *
      (kDecodeStepQuantile - (token_ms < expected_ms ? 1 : 0));
  estimate.empty_step_ms = std::clamp(estimate.empty_step_ms + change_ms,
                                      kMinDecodeStepMs, kMaxDecodeStepMs);
  estimate.full_batch_step_ms =
      std::clamp(estimate.full_batch_step_ms + fraction * change_ms, 0.0,
                 kMaxDecodeStepMs);
}

void RecordStreamStart(EngineEstimate& estimate,
                       const std::string& route,
                       Duration available,
                       Time now) {
  if (available <= Duration{0}) {
    return;
  }
  auto [runs, is_new] = estimate.runs.try_emplace(route);
  runs->second.available_ms = ToMillis(available);
  if (is_new) {
    runs->second.first_attempt_at = now;
  }
}

void RecordCompleteRun(EngineEstimate& estimate,
                       const std::string& route,
                       double tokens,
                       Duration elapsed) {
  Smooth(estimate.mean_attempt_ms, ToMillis(elapsed));
  const auto runs = estimate.runs.find(route);
  if (tokens > 0 && runs != estimate.runs.end()) {
    Smooth(runs->second.mean_tokens, tokens);
    ++runs->second.complete_streams;
  }
}

}  // namespace pomeloring
