// Defines StartEstimate: how long requests use a slot and how fast slots are
// released, from which the start of a queued request follows.

#ifndef POMELORING_CORE_START_ESTIMATE_H_
#define POMELORING_CORE_START_ESTIMATE_H_

#include <map>

#include "core/ids.h"

namespace pomeloring {

// A streaming quantile estimate that stores no samples. Each sample moves it up
// or down by a step that shrinks to a fixed fraction of the value.
struct RunningQuantile {
  double quantile = 0.5;
  double value = 0;  // Microseconds; 0 before the first sample.
  uint64_t samples = 0;
};

void AddSample(RunningQuantile& estimate, Duration sample);

struct ClassEstimate {
  RunningQuantile slot_time{.quantile = 0.9};
  RunningQuantile first_token{.quantile = 0.9};
  double mean_slot_micros = 0;  // Exponential moving average.
};

struct StartEstimate {
  std::map<ClassName, ClassEstimate> classes;
  // Slot releases, with exponential decay.
  double releases = 0;
  double mean_slot_micros = 0;  // Over the requests of all classes.
  double observed_seconds = 0;  // Decays at the same rate.
  Time last_release;
};

// Records one completed request. A zero `first_token` is not a sample.
void RecordCompletion(StartEstimate& estimate,
                      const ClassName& request_class,
                      Duration slot_time,
                      Duration first_token,
                      Time now);

// Returns the recent mean slot time over all classes in seconds; 0 if unknown.
double MeanSlotSeconds(const StartEstimate& estimate);

// Returns slot releases per second, or 0 while too little has been observed.
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
