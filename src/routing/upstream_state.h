// Defines UpstreamState: what this instance knows of one upstream beyond its
// registration: load, health and the prompt parts that it keeps.

#ifndef POMELORING_ROUTING_UPSTREAM_STATE_H_
#define POMELORING_ROUTING_UPSTREAM_STATE_H_

#include <array>
#include <cstdint>
#include <map>
#include <set>
#include <span>
#include <unordered_map>

#include "core/ids.h"
#include "routing/upstream_table.h"

namespace pomeloring {

// A part of a prompt that several requests may share.
struct PromptPart {
  uint64_t id = 0;
  uint32_t tokens = 0;
};

// Engines read the prompts of more urgent requests first; ranks beyond the last
// count as the last.
inline constexpr size_t kUrgencyRanks = 4;

// What runs at an upstream, of one instance or of several together.
struct UpstreamLoad {
  uint32_t running = 0;
  // Prompt tokens of runs without a first event, by rank of urgency.
  std::array<uint64_t, kUrgencyRanks> pending_prefill_tokens{};
  uint32_t gap_sensitive = 0;  // Runs that a long prompt beside them delays.
  // Prompt tokens that were sent there to be read, fading with
  // kPrefillLoadTimeConstant.
  double prefill_load = 0;
};

// Over about this time, reading prompts takes turns with the running batch.
inline constexpr Duration kPrefillLoadTimeConstant = seconds(3);

struct UpstreamHealth {
  double failure_rate = 0;   // Moving average over the last runs.
  double latency_ratio = 1;  // Seen against expected, moving average.
  uint32_t samples = 0;
  uint32_t consecutive_failures = 0;
  Time ejected_until;
  bool is_trial = false;  // Back from an ejection; takes one run at a time.
  Time last_byte_at;      // From this upstream, over any connection.
};

struct UpstreamState {
  UpstreamRecord record;
  bool is_removed = false;
  Time first_seen;
  UpstreamLoad local_load;
  Time prefill_load_updated_at;  // Of `own.prefill_load` and those of peers.
  std::map<InstanceName, UpstreamLoad> peer_loads;
  UpstreamHealth health;
  std::unordered_map<uint64_t, Time> cached_parts;  // By id: last use.
};

// Unread tokens of rank `rank` and all more urgent ones.
uint64_t PendingPrefillUpTo(const UpstreamLoad& load, size_t rank);
uint64_t PendingPrefillTokens(const UpstreamLoad& load);

void AddLoad(UpstreamLoad& total, const UpstreamLoad& load);
// `use` is a part of `total`.
void SubtractLoad(UpstreamLoad& total, const UpstreamLoad& load);

// What all instances run there, as far as is known.
UpstreamLoad TotalLoad(const UpstreamState& upstream);

// Lets the read loads of all instances fade up to `now`.
void DecayPrefillLoads(UpstreamState& upstream, Time now);

// Returns how many tokens at the front of the prompt the upstream keeps.
uint32_t CachedTokens(const UpstreamState& upstream,
                      std::span<const PromptPart> parts);

// Remembers that the upstream has the parts; forgets the oldest beyond a bound.
void RecordCachedParts(UpstreamState& upstream,
                       std::span<const PromptPart> parts,
                       Time now);

enum class UpstreamOutcome {
  kServed,
  kFailed,       // The upstream failed it, or broke off.
  kUnreachable,  // No connection, or no sign of life.
  kRefused,      // The upstream was full or leaving.
  kCancelled,    // The client left, or its time was up.
};

// Takes in how one run ended. `latency_ratio` is seen over expected, or 0 where
// nothing was measured.
void RecordUpstreamOutcome(UpstreamHealth& health,
                           UpstreamOutcome outcome,
                           double latency_ratio,
                           Time now);

// Takes in when a run's first event came against when it was expected.
void RecordLatency(UpstreamHealth& health, Duration expected, Duration elapsed);

// Ejects upstreams of one service that fail or lag much more than their
// siblings, but never more than a third of them.
void EjectOutliers(std::span<UpstreamState* const> siblings, Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_UPSTREAM_STATE_H_
