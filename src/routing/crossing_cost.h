// Defines the cost of placing a request in another failure domain, as a part of
// its cost at an upstream.

#ifndef POMELORING_ROUTING_CROSSING_COST_H_
#define POMELORING_ROUTING_CROSSING_COST_H_

#include "flows/domain_flows.h"
#include "routing/placement.h"

namespace pomeloring {

// Whether the request may be sent to the upstream for prompt parts. Where it
// may not, what is cached there saves nothing. `is_worth_crossing`: whether all
// shared parts together are worth the request's bytes.
bool MayUseParts(const PlacementRequest& request,
                 const UpstreamState& upstream,
                 bool is_worth_crossing);

// What is known of a request at an engine.
struct EngineForecast {
  bool is_home = false;  // Whether it is in the failure domain of the instance.
  double latency_ms = 0;
  uint32_t running = 0;  // Requests there.
  // Isolated engines are kept from this request, or this one from the others.
  bool breaks_isolation = false;
  // Prompt tokens that the engine has cached, or is preferred for, beyond those
  // of the own domain; 0 if the shared parts are not worth crossing.
  uint32_t tokens_ahead_of_home = 0;
  double prefill_ms_per_token = 0;
};

// Returns what an engine offers the request. Only where flows between failure
// domains are controlled.
CrossingOffer OfferOf(const PlacementRequest& request,
                      const UpstreamState& upstream,
                      const EngineForecast& forecast);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_CROSSING_COST_H_
