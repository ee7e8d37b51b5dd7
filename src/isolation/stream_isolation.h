// Defines stream isolation: which engines of a service are kept for streams
// whose event gap target a long prefill beside them would break. Free functions
// over plain structs, without a clock.

#ifndef POMELORING_ISOLATION_STREAM_ISOLATION_H_
#define POMELORING_ISOLATION_STREAM_ISOLATION_H_

#include <cstddef>
#include <cstdint>
#include <span>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// What is known of the streams and engines of one service.
struct IsolationLoad {
  size_t engines = 0;  // Registered ones.
  uint32_t slots_per_engine = 0;
  double sensitive_streams = 0;  // That run, over all instances.
  bool knows_peers = true;       // Whether loads of other instances are known.
};

// The isolated engines of one service.
struct IsolatedEngines {
  double wanted = 0;  // Rises at once and falls slowly, so that it is stable.
  Time updated_at;
  size_t count = 0;
  IsolationLoad load;  // That `count` was computed from.
};

// Updates how many engines are isolated. All instances arrive at nearly the
// same number, since it depends on the loads in the digests only.
void UpdateIsolatedEngines(IsolatedEngines& isolated,
                           const IsolationLoad& load,
                           Time now);

struct RankedEngine {
  uint64_t name_hash = 0;
  double speed_factor = 1;  // Duration of a step over the service's mean.
};

// Returns, for each of `engines`, whether it is one of the `count` that are
// isolated: those with the lowest hash, so that instances agree without a
// message and a change of `count` by one moves one engine. Engines that are
// slow enough to delay an event by themselves come last.
std::vector<bool> SelectIsolatedEngines(std::span<const RankedEngine> engines,
                                        size_t count);

// The longest event gap of a stream on an engine that decodes one event in
// `event_ms` and still has to prefill other prompts for `pending_prefill_ms`,
// which it does between the tokens of the stream.
struct GapForecast {
  double event_ms = 0;
  double pending_prefill_ms = 0;
};

// Probability that the event gap exceeds `target_ms`, which is positive.
double ForecastMissedGap(const GapForecast& forecast, double target_ms);

}  // namespace pomeloring

#endif  // POMELORING_ISOLATION_STREAM_ISOLATION_H_
