// Defines the records by which the state of scaling outlives its holder.

#ifndef POMELORING_GATEWAY_SCALING_RECORDS_H_
#define POMELORING_GATEWAY_SCALING_RECORDS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "scaling/scaling_plan.h"

namespace pomeloring {

using ScalingStates = std::map<ServiceName, ScalingState>;

struct ScalingDecision {
  ServiceName service;
  ScalingOrder order;
};

std::string EncodeScalingDecision(const ScalingDecision& decision);
// Return nothing for bytes that are malformed or of a later format.
std::optional<ScalingDecision> DecodeScalingDecision(std::string_view bytes);

// Clocks differ between instances: times are written as ages.
std::string EncodeScalingSnapshot(const ScalingStates& states, Time now);
std::optional<ScalingStates> DecodeScalingSnapshot(std::string_view bytes,
                                                   Time now);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_SCALING_RECORDS_H_
