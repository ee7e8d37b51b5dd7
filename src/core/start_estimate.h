// Defines StartEstimate: how long requests hold a slot, how fast slots come
// free, and so when a request that waits would start.

#ifndef POMELORING_CORE_START_ESTIMATE_H_
#define POMELORING_CORE_START_ESTIMATE_H_

#include <map>

#include "core/ids.h"

namespace pomeloring {

// A running quantile: moves up or down by a step that shrinks towards the
// value's own scale. Needs no samples kept.
struct RunningQuantile {
  double quantile = 0.5;
  double value = 0;  // Microseconds; 0 before the first sample.
  uint64_t samples = 0;
};

void AddSample(RunningQuantile& estimate, Duration sample);

struct ClassEstimate {
  RunningQuantile hold{.quantile = 0.9};
  RunningQuantile first_token{.quantile = 0.9};
  double mean_hold = 0;  // Microseconds.
};

struct StartEstimate {
  std::map<ClassName, ClassEstimate> classes;
  // Slots that came free, decayed.
  double frees = 0;
  double mean_hold = 0;  // Microseconds, over all classes as they come.
  double seconds = 0;
  Time last_free;
};

// Takes in one ended run. A zero `first_token` is no sample of it.
void AddRun(StartEstimate& estimate,
            const ClassName& request_class,
            Duration hold,
            Duration first_token,
            Time now);

// Returns the mean time that runs of late held a slot, in seconds, or 0.
double MeanHold(const StartEstimate& estimate);

// Returns slots a second, or 0 while too little is known.
double FreeRate(const StartEstimate& estimate);

// Returns the time from the grant to the first token, at the 0.9 quantile.
Duration FirstTokenTime(const StartEstimate& estimate,
                        const ClassName& request_class);

// Returns the time from the grant to the end of the answer, at the 0.9
// quantile.
Duration HoldTime(const StartEstimate& estimate,
                  const ClassName& request_class);

// Returns the mean time from the grant to the end of the answer.
Duration MeanHoldOf(const StartEstimate& estimate,
                    const ClassName& request_class);

}  // namespace pomeloring

#endif  // POMELORING_CORE_START_ESTIMATE_H_
