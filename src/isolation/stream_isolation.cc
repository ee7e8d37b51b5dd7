#include "isolation/stream_isolation.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace pomeloring {
namespace {

// Streams arrive at random: with this many standard deviations above their mean
// number, few find all isolated engines full.
constexpr double kStreamDeviations = 2;
// Above this, requests queue at some engines while others have free slots.
constexpr double kMaxSlotUse = 0.75;
constexpr double kMaxIsolatedFraction = 0.5;
// Without the loads of other instances. A wrong number costs little while few
// instances use it.
constexpr double kDefaultIsolatedFraction = 1.0 / 16;
// Longer than a stream runs: an engine that is given back to long prompts
// should have no sensitive stream left.
constexpr double kDecayTimeMs = 10000;
// Slower engines than this are isolated last: at the limit, decoding alone
// takes most of an event gap target.
constexpr double kMaxSpeedFactor = 1.3;
// Bounds of the ramp, in multiples of the target. Steps vary with the batch and
// with the position in the prompt, so that a forecast is off by a fifth.
constexpr double kRampBegin = 0.8;
constexpr double kRampEnd = 1.2;

double WantedEngines(const IsolationLoad& load) {
  const auto engines = static_cast<double>(load.engines);
  if (!load.knows_peers) {
    return engines * kDefaultIsolatedFraction;
  }
  const double streams = load.sensitive_streams +
                         kStreamDeviations * std::sqrt(load.sensitive_streams);
  return streams / (kMaxSlotUse * std::max(1U, load.slots_per_engine));
}

uint64_t OrderOf(uint64_t name_hash) {
  uint64_t seed = name_hash;
  return NextRandom(seed);
}

}  // namespace

void UpdateIsolatedEngines(IsolatedEngines& isolated,
                           const IsolationLoad& load,
                           Time now) {
  const double wanted = WantedEngines(load);
  const double elapsed_ms = ToMillis(now - isolated.updated_at);
  const double decayed = wanted + (isolated.wanted - wanted) *
                                      std::exp(-elapsed_ms / kDecayTimeMs);
  isolated.wanted = std::max(wanted, decayed);
  isolated.updated_at = now;
  isolated.load = load;
  const auto max = static_cast<size_t>(kMaxIsolatedFraction *
                                       static_cast<double>(load.engines));
  isolated.count =
      std::min(max, static_cast<size_t>(std::ceil(isolated.wanted)));
}

std::vector<bool> SelectIsolatedEngines(std::span<const RankedEngine> engines,
                                        size_t count) {
  std::vector<size_t> order(engines.size());
  std::iota(order.begin(), order.end(), size_t{0});
  std::sort(order.begin(), order.end(), [&](size_t a, size_t b) {
    const bool is_a_slow = engines[a].speed_factor > kMaxSpeedFactor;
    const bool is_b_slow = engines[b].speed_factor > kMaxSpeedFactor;
    return is_a_slow != is_b_slow
               ? is_b_slow
               : OrderOf(engines[a].name_hash) < OrderOf(engines[b].name_hash);
  });
  std::vector<bool> isolated(engines.size());
  for (size_t i = 0; i < std::min(count, order.size()); ++i) {
    isolated[order[i]] = true;
  }
  return isolated;
}

double ForecastMissedGap(const GapForecast& forecast, double target_ms) {
  const double ratio =
      (forecast.event_ms + forecast.pending_prefill_ms) / target_ms;
  return std::clamp((ratio - kRampBegin) / (kRampEnd - kRampBegin), 0.0, 1.0);
}

}  // namespace pomeloring
