#include "core/start_estimate.h"

#include <algorithm>
#include <cmath>

namespace pomeloring {
namespace {

constexpr double kQuantileStep = 0.05;
constexpr double kMeanSmoothing = 0.05;
// Time constant of the exponential decay of rates.
constexpr double kRateTimeConstantSeconds = 5;
// No rate is reported before this much time has been observed.
constexpr double kMinRateSeconds = 0.2;

}  // namespace

void AddSample(RunningQuantile& estimate, Duration sample) {
  const auto micros = static_cast<double>(sample.count());
  ++estimate.samples;
  if (estimate.samples == 1) {
    estimate.value = micros;
    return;
  }
  // The first samples move the estimate further.
  const double step =
      std::max(kQuantileStep, 1.0 / static_cast<double>(estimate.samples)) *
      std::max(estimate.value, 1.0);
  estimate.value += micros > estimate.value ? step * estimate.quantile
                                            : -step * (1 - estimate.quantile);
}

void RecordCompletion(StartEstimate& estimate,
                      const ClassName& request_class,
                      Duration slot_time,
                      Duration first_token,
                      Time now) {
  ClassEstimate& class_estimate = estimate.classes[request_class];
  AddSample(class_estimate.slot_time, slot_time);
  const auto micros = static_cast<double>(slot_time.count());
  class_estimate.mean_slot_micros =
      class_estimate.slot_time.samples == 1
          ? micros
          : class_estimate.mean_slot_micros +
                kMeanSmoothing * (micros - class_estimate.mean_slot_micros);
  if (first_token.count() > 0) {
    AddSample(class_estimate.first_token, first_token);
  }
  estimate.mean_slot_micros +=
      estimate.mean_slot_micros == 0
          ? micros
          : kMeanSmoothing / 5 * (micros - estimate.mean_slot_micros);
  if (estimate.last_release == Time{}) {
    estimate.last_release = now;
  }
  const double gap =
      std::chrono::duration<double>(now - estimate.last_release).count();
  const double keep = std::exp(-gap / kRateTimeConstantSeconds);
  estimate.releases = estimate.releases * keep + 1;
  estimate.observed_seconds = estimate.observed_seconds * keep + gap;
  estimate.last_release = now;
}

double SlotReleaseRate(const StartEstimate& estimate) {
  return estimate.observed_seconds < kMinRateSeconds
             ? 0
             : estimate.releases / estimate.observed_seconds;
}

double MeanSlotSeconds(const StartEstimate& estimate) {
  return estimate.mean_slot_micros / 1e6;
}

Duration FirstTokenTime(const StartEstimate& estimate,
                        const ClassName& request_class) {
  const auto it = estimate.classes.find(request_class);
  return it == estimate.classes.end()
             ? Duration{0}
             : Duration{static_cast<int64_t>(it->second.first_token.value)};
}

Duration SlotTime(const StartEstimate& estimate,
                  const ClassName& request_class) {
  const auto it = estimate.classes.find(request_class);
  return it == estimate.classes.end()
             ? Duration{0}
             : Duration{static_cast<int64_t>(it->second.slot_time.value)};
}

Duration MeanSlotTime(const StartEstimate& estimate,
                      const ClassName& request_class) {
  const auto it = estimate.classes.find(request_class);
  return it == estimate.classes.end()
             ? Duration{0}
             : Duration{static_cast<int64_t>(it->second.mean_slot_micros)};
}

}  // namespace pomeloring
