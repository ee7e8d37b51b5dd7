#include "core/start_estimate.h"

#include <algorithm>
#include <cmath>

namespace pomeloring {
namespace {

constexpr double kQuantileStep = 0.05;
constexpr double kMeanWeight = 0.05;
// Rates are averaged over about this many seconds.
constexpr double kRateMemorySeconds = 5;
constexpr double kLeastRateSeconds = 0.2;

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

void AddRun(StartEstimate& estimate,
            const ClassName& request_class,
            Duration hold,
            Duration first_token,
            Time now) {
  ClassEstimate& of_class = estimate.classes[request_class];
  AddSample(of_class.hold, hold);
  const auto micros = static_cast<double>(hold.count());
  of_class.mean_hold =
      of_class.hold.samples == 1
          ? micros
          : of_class.mean_hold + kMeanWeight * (micros - of_class.mean_hold);
  if (first_token.count() > 0) {
    AddSample(of_class.first_token, first_token);
  }
  estimate.mean_hold += estimate.mean_hold == 0
                            ? micros
                            : kMeanWeight / 5 * (micros - estimate.mean_hold);
  if (estimate.last_free == Time{}) {
    estimate.last_free = now;
  }
  const double gap =
      std::chrono::duration<double>(now - estimate.last_free).count();
  const double keep = std::exp(-gap / kRateMemorySeconds);
  estimate.frees = estimate.frees * keep + 1;
  estimate.seconds = estimate.seconds * keep + gap;
  estimate.last_free = now;
}

double FreeRate(const StartEstimate& estimate) {
  return estimate.seconds < kLeastRateSeconds
             ? 0
             : estimate.frees / estimate.seconds;
}

double MeanHold(const StartEstimate& estimate) {
  return estimate.mean_hold / 1e6;
}

Duration FirstTokenTime(const StartEstimate& estimate,
                        const ClassName& request_class) {
  const auto it = estimate.classes.find(request_class);
  return it == estimate.classes.end()
             ? Duration{0}
             : Duration{static_cast<int64_t>(it->second.first_token.value)};
}

Duration HoldTime(const StartEstimate& estimate,
                  const ClassName& request_class) {
  const auto it = estimate.classes.find(request_class);
  return it == estimate.classes.end()
             ? Duration{0}
             : Duration{static_cast<int64_t>(it->second.hold.value)};
}

Duration MeanHoldOf(const StartEstimate& estimate,
                    const ClassName& request_class) {
  const auto it = estimate.classes.find(request_class);
  return it == estimate.classes.end()
             ? Duration{0}
             : Duration{static_cast<int64_t>(it->second.mean_hold)};
}

}  // namespace pomeloring
