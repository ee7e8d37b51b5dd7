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
  RunningQuantile slot_time{.quantile = 0.9};
  RunningQuantile first_token{.quantile = 0.9};
  double mean_slot_micros = 0;  // Microseconds.
};

struct StartEstimate {
  std::map<ClassName, ClassEstimate> classes;
  // Slots that came free, decayed.
  double releases = 0;
  double mean_slot_micros = 0;  // Microseconds, over all classes as they come.
  double observed_seconds = 0;
  Time last_release;
};

// Takes in one ended run. A zero `first_token` is no sample of it.
void RecordCompletion(StartEstimate& estimate,
                      const ClassName& request_class,
                      Duration slot_time,
                      Duration first_token,
                      Time now);

// Returns the mean time that runs of late held a slot, in seconds, or 0.
double MeanSlotSeconds(const StartEstimate& estimate);

// Returns slots a second, or 0 while too little is known.
double SlotReleaseRate(const StartEstimate& estimate);

// Returns the time from the grant to the first token, at the 0.9 quantile.
Duration FirstTokenTime(const StartEstimate& estimate,
                        const ClassName& request_class);

// Returns the time from the grant to the end of the answer, at the 0.9
// quantile.
Duration SlotTime(const StartEstimate& estimate,
                  const ClassName& request_class);

// Returns the mean time from the grant to the end of the answer.
Duration MeanSlotTime(const StartEstimate& estimate,
                      const ClassName& request_class);

}  // namespace pomeloring

#endif  // POMELORING_CORE_START_ESTIMATE_H_
