// Defines placement: which upstream a request is sent to, by what it would wait
// there and what it would cost the runs beside it.

#ifndef POMELORING_ROUTING_PLACEMENT_H_
#define POMELORING_ROUTING_PLACEMENT_H_

#include <optional>
#include <set>
#include <span>
#include <variant>
#include <vector>

#include "routing/routing_config.h"
#include "routing/upstream_state.h"

namespace pomeloring {

// How fast engines are. Learnt from runs; see UpdatePrefillRate().
struct EngineSpeed {
  double prefill_tokens_per_ms = 40;  // Of a prompt, read alone.
};

// What placement needs to know of a request.
struct PlacementRequest {
  const Route* route = nullptr;
  const RoutedService* service = nullptr;
  FailureDomain failure_domain;  // Of this instance.
  uint32_t prompt_tokens = 0;
  std::span<const PromptPart> parts;
  Duration waited{0};
  Duration time_left{0};
  // A higher priority of the service was refused a moment ago.
  bool higher_priority_refused = false;
  std::span<const UpstreamName> excluded;
};

struct Placement {
  UpstreamState* upstream = nullptr;
  uint32_t pending_prefill_tokens =
      0;            // Of the prompt, less what is cached there.
  size_t rank = 0;  // Of urgency, below kUrgencyRanks.
  bool gap_sensitive = false;
  Duration expected_latency{0};  // Of the answer or the first event.
};

enum class PlacementRefusal {
  kNoUpstream,  // None is in service.
  kOverloaded,  // All would start it too late.
};

struct Unplaced {
  PlacementRefusal reason = PlacementRefusal::kNoUpstream;
  Duration retry_after{0};
  // What decided it, for the log:
  size_t usable = 0;             // Upstreams that might have been chosen.
  double prefill_share = 0;      // Of their time, on the mean, reading prompts.
  double max_prefill_share = 0;  // For the request's priority.
};

// Placing it now would cost the runs beside it more than waiting costs it.
struct Deferred {};

using PlacementResult = std::variant<Placement, Deferred, Unplaced>;

// Of the engines' ranks, the one that a route's requests have.
size_t UrgencyRankOf(const Route& route);

// Whether the upstream may be given the request: it is not ejected, and was not
// tried already.
bool IsUsable(const UpstreamState& upstream,
              const PlacementRequest& request,
              Time now);

// Chooses among `candidates`, which are of one service and take new work.
// `random` breaks ties.
PlacementResult ChooseUpstream(const PlacementRequest& request,
                               std::span<UpstreamState* const> candidates,
                               const EngineSpeed& speed,
                               Time now,
                               uint64_t random);

// Takes in the time to the first event of a run that found nothing unread
// before it.
void UpdatePrefillRate(EngineSpeed& speed,
                       uint32_t tokens,
                       Duration first_event);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_PLACEMENT_H_
