// Defines Replica: one upstream as its cell's scheduler sees it, with its
// health and an adaptive limit on its concurrent requests.

#ifndef POMELORING_CORE_REPLICA_H_
#define POMELORING_CORE_REPLICA_H_

#include <map>
#include <optional>
#include <span>
#include <vector>

#include "core/configuration.h"
#include "core/messages.h"

namespace pomeloring {

struct Replica {
  Upstream upstream;
  bool leaving = false;
  uint32_t granted = 0;  // Grants of this scheduler that are in use.
  // Slots that entries report and another scheduler granted.
  std::map<InstanceName, uint32_t> inherited;
  double limit = 1;         // Of concurrent requests; rounded down.
  Time limit_decreased_at;  // When the limit last decreased.
  double step_micros = 0;   // Smoothed time between tokens; 0: unknown.
  uint32_t step_samples = 0;
  std::vector<uint64_t> prefixes;  // Recently granted, the newest last.
  uint32_t failures = 0;           // Consecutive.
  uint32_t ejections = 0;          // In total; each doubles the ejection time.
  Time ejected_until;
  bool probing = false;  // After an ejection; takes one request at a time.
};

// Returns the number of slots in use, whichever scheduler granted them.
uint32_t Running(const Replica& replica);
// Returns how many more slots may be granted under the limit or, while the
// replica is probed after an ejection, under a limit of one.
uint32_t FreeSlots(const Replica& replica);
// Returns true unless the replica is leaving or ejected.
bool TakesWork(const Replica& replica, Time now);

// The target of the time between tokens, which the limit adapts to.
struct StepTarget {
  Duration between_tokens{0};  // 0: the limit does not change.
};

// Updates the health, the step time and the limit from the report of one
// attempt.
void RecordSlotReport(Replica& replica,
                      const SlotReport& report,
                      StepTarget target,
                      Time now);

// Ejects replicas that fail repeatedly, or whose steps take much longer than
// the median of the cell. At most a fifth of the cell is ejected at a time, or
// one replica of two to four.
void EjectOutliers(std::span<Replica> replicas, Time now);

// Records that the replica was given a prompt prefix, which its engine will
// cache for a while.
void RecordPrefix(Replica& replica, uint64_t prefix);

bool HasPrefix(const Replica& replica, uint64_t prefix);

// Returns the index of the replica to run on, or nullopt if none has a free
// slot. Prefers the least loaded of those that have the prefix, if its load is
// within a bound of the cell's mean; otherwise the least loaded of all.
std::optional<uint32_t> ChooseReplica(std::span<const Replica> replicas,
                                      uint64_t prefix_hash,
                                      std::span<const UpstreamName> excluded,
                                      Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_REPLICA_H_
