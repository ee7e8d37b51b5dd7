// Defines placement: the choice of an upstream for a request by its expected
// latency there and its cost to the requests that already run there.

#ifndef POMELORING_ROUTING_PLACEMENT_H_
#define POMELORING_ROUTING_PLACEMENT_H_

#include <optional>
#include <set>
#include <span>
#include <variant>
#include <vector>

#include "admission/account_shares.h"
#include "admission/slot_admission.h"
#include "flows/domain_flows.h"
#include "isolation/stream_isolation.h"
#include "memory/engine_memory.h"
#include "routing/engine_estimate.h"
#include "routing/request_traits.h"
#include "routing/routing_config.h"
#include "routing/upstream_state.h"

namespace pomeloring {

// The properties of a request that placement depends on.
struct PlacementRequest {
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  FailureDomain failure_domain;  // Of this instance.
  uint32_t prompt_tokens = 0;
  std::span<const PromptPart> parts;
  Duration waited{0};
  Duration time_left{0};
  // Whether a higher priority of the service was refused recently.
  bool higher_priority_refused = false;
  std::span<const UpstreamName> excluded;
  // For a stream that only some upstreams can go on with: an ejected one is
  // better than none.
  bool may_use_ejected = false;
  // At each upstream; see UnseenStarts().
  double unseen_starts = 0;
  // Of the service; null if slots are not its bottleneck.
  SlotAdmission* slots = nullptr;
  uint64_t ticket = 0;  // See SlotQuestion.
  // Whether some engines are kept for streams that long prefills would delay.
  bool isolates_streams = false;
  // Whether a usable idle connection decides among upstreams of nearly equal
  // cost.
  bool prefers_idle_connections = false;
  DomainCrossing crossing;
  // Set where requests are placed by the memory of engines.
  std::optional<TokenDemand> tokens;
};

struct Placement {
  UpstreamState* upstream = nullptr;
  // Prompt tokens that are not cached at the upstream.
  uint32_t pending_prefill_tokens = 0;
  size_t rank = 0;  // Urgency, below kUrgencyRanks.
  bool gap_sensitive = false;
  // To the answer or, for a stream, to the first event.
  Duration expected_latency{0};
  // Only where flows between failure domains are controlled.
  CrossingReason left_domain = CrossingReason::kNone;
};

enum class PlacementRefusal {
  kNoUpstream,  // No upstream is usable.
  // No upstream can start it in time, the load limit of its priority is
  // reached, or a higher priority was refused recently.
  kOverloaded,
  // The only usable upstreams have asked for a pause, or named limits of which
  // this instance has used its share.
  kLimited,
  kQuarantined,  // Upstreams exit under one of its traits.
  // Higher priorities need the free slots, and none will be left in time.
  kNoSlot,
  // Its account is over its fair share, which others need.
  kOverShare,
  kNoMemory,  // No engine has memory for its tokens.
  kTooLarge,  // Its prompt is larger than the memory of any engine.
};

struct Unplaced {
  PlacementRefusal reason = PlacementRefusal::kNoUpstream;
  Duration retry_after{0};
  // Details of the decision, for the log:
  size_t usable = 0;   // Upstreams that could have been chosen.
  size_t limited = 0;  // Those held back by a pause or limit.
  // Fraction of an engine's time that is spent on prefill, mean over the usable
  // upstreams.
  double prefill_share = 0;
  double max_prefill_share = 0;     // Limit for the request's priority.
  double expected_ms = 0;           // Shortest expected latency of an upstream.
  double max_ms = 0;                // Longest one that leaves time to finish.
  double prefill_ms_per_token = 0;  // See EngineEstimate.
  Duration estimate_age{0};
  RequestTrait quarantined_trait;  // For kQuarantined.
  SlotDecision slots;              // For kNoSlot.
  ShareDecision share;             // For kOverShare.
  uint64_t held_tokens = 0;        // For kNoMemory: at the best upstream.
};

// The request should wait and be placed later: all upstreams are full, a higher
// priority was refused recently, its prefill would cost the streams that run
// there more than waiting costs the request, or its account is over its share.
struct Deferred {
  std::optional<ShareDecision> share;  // For the last reason only.
};

using PlacementResult = std::variant<Placement, Deferred, Unplaced>;

// Returns the urgency rank of a route's requests at the engines; 0 is the most
// urgent.
size_t UrgencyRankOf(const Route& route);

// Whether the request may be sent to the upstream: the upstream is not ejected,
// is not busy with a trial request, is not excluded by the request, has not
// asked for a pause, has room as far as that matters, and this instance has not
// used its share of a limit that the upstream has named.
bool IsUsable(const UpstreamState& upstream,
              const PlacementRequest& request,
              Time now);

// The result for a request without any usable upstream: it waits for the end of
// a pause or for its turn within a limit, or is refused. `random` spreads the
// returns of refused callers.
PlacementResult DeferOrRefuse(const PlacementRequest& request,
                              std::span<UpstreamState* const> candidates,
                              Time now,
                              uint64_t random);

// Chooses among `candidates`, upstreams of one service that accept new
// requests. `random` breaks ties.
PlacementResult ChooseUpstream(const PlacementRequest& request,
                               std::span<UpstreamState* const> candidates,
                               const EngineEstimate& estimate,
                               Time now,
                               uint64_t random);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_PLACEMENT_H_
