// Defines UpstreamState: what this instance knows of an upstream beyond its
// registration: its load, its health and the prompt parts it has cached.

#ifndef POMELORING_ROUTING_UPSTREAM_STATE_H_
#define POMELORING_ROUTING_UPSTREAM_STATE_H_

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <unordered_map>

#include "core/ids.h"
#include "routing/backpressure.h"
#include "routing/direct_path.h"
#include "routing/upstream_table.h"

namespace pomeloring {

// A part of a prompt that several requests may share.
struct PromptPart {
  uint64_t id = 0;  // Differs between models.
  uint32_t tokens = 0;
  uint64_t caller_id = 0;  // As callers name it, for logs.
};

// Engines prefill the prompts of more urgent requests first; ranks beyond the
// last count as the last.
inline constexpr size_t kUrgencyRanks = 4;

// Load at an upstream, of one instance or of several together.
struct UpstreamLoad {
  uint32_t running = 0;
  // Prompt tokens of attempts without a first event, by urgency rank.
  std::array<uint64_t, kUrgencyRanks> pending_prefill_tokens{};
  // Running streams whose event gap target a long prefill beside them would
  // break.
  uint32_t gap_sensitive = 0;
  // Prompt tokens sent there for prefill, decaying with
  // kPrefillLoadTimeConstant.
  double prefill_load = 0;
  // Prompt and expected output of the running attempts. Counted only where
  // requests are placed by memory.
  uint64_t held_tokens = 0;
};

// Time constant of the decay of `prefill_load`: the time over which the prefill
// of a prompt alternates with steps of the running batch.
inline constexpr Duration kPrefillLoadTimeConstant = seconds(3);

struct UpstreamHealth {
  double failure_rate = 0;   // Moving average over recent attempts.
  double latency_ratio = 1;  // Observed over expected, moving average.
  uint32_t samples = 0;
  uint32_t consecutive_failures = 0;
  Time ejected_until;
  // Set on ejection. Once the ejection is over, the upstream gets one request
  // at a time until one ends without a failure.
  bool is_trial = false;
  Time last_byte_at;  // From this upstream, over any connection.
};

// What all instances have observed of an upstream; see speeds/upstream_speed.h.
struct SharedSpeed {
  double factor = 1;       // See SpeedFactorOf().
  double home_factor = 1;  // The same, for the choice of preferred engines.
  double failure_rate = 0;
  double attempts = 0;  // That `failure_rate` rests on.
  bool is_slow = false;
};

// Until when a request could reuse an idle connection of this instance to an
// upstream. Not after now: there is none.
struct IdleConnections {
  Time usable_until;            // By a request that may be retried.
  Time usable_until_if_unsafe;  // By any request.
};

struct UpstreamState {
  UpstreamRecord record;
  uint64_t name_hash = 0;  // Of `record.id`.
  bool is_removed = false;
  Time first_seen;
  // Gets no requests before; see Router::SyncStates().
  Time held_until;
  // Its process is known to have exited, by this instance or a peer.
  Time exited_until;
  Time last_alive_at;  // Last proof against an exit; see RefuteExit().
  UpstreamLoad local_load;
  // Time up to which `prefill_load` is decayed, in all loads.
  Time prefill_load_updated_at;
  std::map<InstanceName, UpstreamLoad> peer_loads;
  UpstreamHealth health;
  // Only where speeds are shared; unknown until the first observation.
  std::optional<SharedSpeed> shared_speed;
  DirectPath direct_path;
  // While `direct_path` is lost: whether a peer may reach the upstream.
  bool has_peer_path = false;
  Backpressure backpressure;
  IdleConnections idle_connections;
  // Kept for streams that long prefills would delay; see stream_isolation.h.
  bool is_isolated = false;
  // Time of the last use by part id.
  std::unordered_map<uint64_t, Time> cached_parts;
};

// Returns how many times as long as expected the upstream takes, from what all
// instances have observed or, while that is unknown, this instance alone.
double SpeedOf(const UpstreamState& upstream);

// Returns the pending prefill tokens of `rank` and all more urgent ranks.
uint64_t PendingPrefillUpTo(const UpstreamLoad& load, size_t rank);
// Returns the pending prefill tokens of all ranks.
uint64_t PendingPrefillTokens(const UpstreamLoad& load);

void AddLoad(UpstreamLoad& total, const UpstreamLoad& load);
// `load` must be a part of `total`.
void SubtractLoad(UpstreamLoad& total, const UpstreamLoad& load);

// Returns the load of all instances, as far as known.
UpstreamLoad TotalLoad(const UpstreamState& upstream);

// Decays the prefill loads of all instances up to `now`.
void DecayPrefillLoads(UpstreamState& upstream, Time now);

// Returns how many tokens at the start of the prompt the upstream has cached.
uint32_t CachedTokens(const UpstreamState& upstream,
                      std::span<const PromptPart> parts);

// Records that the upstream has cached the parts; drops the least recently used
// half above a size limit.
void RecordCachedParts(UpstreamState& upstream,
                       std::span<const PromptPart> parts,
                       Time now);

enum class UpstreamOutcome {
  kServed,
  kFailed,       // The upstream failed the request or broke off.
  kUnreachable,  // No connection, or no sign of life.
  kRefused,      // The upstream was full or draining.
  kCancelled,    // The client disconnected, or its deadline passed.
};

// Records how an attempt ended. `latency_ratio` is observed over expected, or 0
// if not measured.
void RecordUpstreamOutcome(UpstreamHealth& health,
                           UpstreamOutcome outcome,
                           double latency_ratio,
                           Time now);

// Records the time to an attempt's first event against the expected time.
void RecordLatency(UpstreamHealth& health, Duration expected, Duration elapsed);

// Ejects upstreams of one service that fail more often or are slower than their
// siblings by a wide margin, but never more than a third of them.
void EjectOutliers(std::span<UpstreamState* const> siblings, Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_UPSTREAM_STATE_H_
