#include "routing/crossing_cost.h"

namespace pomeloring {
namespace {

// A request without a free slot waits for others to end, which is less certain
// than the rest of its latency.
constexpr double kMaxLatencyFractionInQueue = 0.5;

bool StartsInTime(const PlacementRequest& request,
                  const UpstreamState& upstream,
                  const EngineForecast& forecast) {
  if (forecast.breaks_isolation ||
      (upstream.direct_path.is_lost && !upstream.has_peer_path)) {
    return false;
  }
  const double target_ms = ToMillis(request.route->latency_target);
  const bool has_slot = forecast.running < request.service->engine->batch_slots;
  if (target_ms <= 0) {
    return has_slot;
  }
  return forecast.latency_ms <=
         (has_slot ? target_ms : kMaxLatencyFractionInQueue * target_ms);
}

}  // namespace

bool MayUseParts(const PlacementRequest& request,
                 const UpstreamState& upstream,
                 bool is_worth_crossing) {
  const DomainCrossing& crossing = request.crossing;
  const FailureDomain& domain = upstream.record.failure_domain;
  return crossing.flows == nullptr || domain == request.failure_domain ||
         (crossing.target != nullptr && domain == *crossing.target) ||
         (is_worth_crossing && AcceptsInflow(*crossing.flows, domain));
}

CrossingOffer OfferOf(const PlacementRequest& request,
                      const UpstreamState& upstream,
                      const EngineForecast& forecast) {
  CrossingOffer offer;
  offer.is_home = forecast.is_home;
  offer.starts_in_time = StartsInTime(request, upstream, forecast);
  offer.has_worthy_parts =
      !offer.is_home && forecast.tokens_ahead_of_home > 0 &&
      IsCrossingCheaper(
          request.crossing.price_ms,
          forecast.tokens_ahead_of_home * forecast.prefill_ms_per_token) &&
      AcceptsInflow(*request.crossing.flows, upstream.record.failure_domain);
  return offer;
}

}  // namespace pomeloring
