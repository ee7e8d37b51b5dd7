// Defines EngineEstimate: the speed of a service's engines, learned from the
// attempts of this instance.

#ifndef POMELORING_ROUTING_ENGINE_ESTIMATE_H_
#define POMELORING_ROUTING_ENGINE_ESTIMATE_H_

#include <map>
#include <string>

#include "routing/routing_config.h"

namespace pomeloring {

// Prompt tokens that an engine prefills in one step of the batch.
inline constexpr double kPrefillChunkTokens = 2048;

// Weighted sums of a linear regression of time to first event on prompt tokens.
struct FirstEventSums {
  double weight = 0;
  double tokens = 0;
  double tokens_squared = 0;
  double ms = 0;
  double tokens_ms = 0;
};

// How long the streams of a route run.
struct RouteRuns {
  double mean_tokens = 0;  // Of a complete stream; 0 before the first one.
  uint32_t complete_streams = 0;
  // From the latest first event that is on time to the route's timeout.
  double available_ms = 0;
  Time first_attempt_at;
};

// The initial values are those of an engine of medium speed.
struct EngineEstimate {
  // An engine without other prompts sends the first event after
  // `first_event_delay_ms` + tokens * `prefill_ms_per_token`.
  double first_event_delay_ms = 40;
  double prefill_ms_per_token = 0.025;
  // Step of the batch without prefill: with a few running streams, and what all
  // slots in use add to it.
  double empty_step_ms = 4;
  double full_batch_step_ms = 6;
  double mean_attempt_ms = 2000;  // Duration of a complete attempt.
  FirstEventSums sums;
  // By route name, for all streaming routes with attempts.
  std::map<std::string, RouteRuns> runs;
  uint64_t observations = 0;  // Of first events.
  Time updated_at;
};

// Expected time to the first event of a prompt of `tokens` behind other prompts
// of `tokens_ahead`.
double ExpectedFirstEventMs(const EngineEstimate& estimate,
                            double tokens_ahead,
                            double tokens);

// Duration of a step of the batch without prefill while `fraction` of the slots
// are in use.
double DecodeStepMs(const EngineEstimate& estimate, double fraction);

// Duration of a step that also prefills a chunk of a prompt.
double PrefillStepMs(const EngineEstimate& estimate, double fraction);

// Fraction of an engine's time that may be spent on prefill so that a stream of
// twice the mean length still finishes within its route's timeout while all
// slots are in use. Over 1 if continuous prefill allows that.
double MaxPrefillShareForStreams(const EngineEstimate& estimate, Time now);

// Records that an attempt of a streaming route starts. `available` is the time
// from its latency target to its timeout.
void RecordStreamStart(EngineEstimate& estimate,
                       const std::string& route,
                       Duration available,
                       Time now);

// Records the time to the first event of an attempt that had no other prefill
// ahead of it.
void RecordFirstEvent(EngineEstimate& estimate,
                      double tokens,
                      Duration elapsed,
                      Time now);

// Multiplies the expected times to a first event, and what they rest on, by
// `factor`, which is positive.
void ScaleFirstEvents(EngineEstimate& estimate, double factor);

// Records the time between two events of a stream, divided by the tokens of the
// second, while `fraction` of the engine's slots were in use.
void RecordTokenTime(EngineEstimate& estimate,
                     double token_ms,
                     double fraction);

// Records a complete attempt. `tokens` is 0 for anything but a stream.
void RecordCompleteRun(EngineEstimate& estimate,
                       const std::string& route,
                       double tokens,
                       Duration elapsed);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_ENGINE_ESTIMATE_H_
