// Defines Replica: one upstream as its cell's scheduler sees it, with the
// learnt limit on what runs there and its health.

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
  uint32_t granted = 0;  // Grants of this scheduler that have not ended.
  // Runs that entries told of and this scheduler did not grant.
  std::map<InstanceName, uint32_t> inherited;
  double limit = 1;
  Time limit_changed;
  double step_micros = 0;  // Between tokens, averaged; 0: not known.
  uint32_t step_samples = 0;
  std::vector<uint64_t> prefixes;  // Granted of late, the newest last.
  uint32_t failures = 0;           // One after the other.
  uint32_t ejections = 0;          // Since it was last healthy for long.
  Time ejected_until;
  bool probing = false;  // Back from an ejection; takes one run at a time.
};

uint32_t Running(const Replica& replica);
uint32_t FreeSlots(const Replica& replica);
bool TakesWork(const Replica& replica, Time now);

// What the limit is learnt against.
struct StepTarget {
  Duration between_tokens{0};  // Zero: the limit stays as it is.
};

// Takes in what an entry saw of one run.
void RecordSlotReport(Replica& replica,
                      const SlotReport& report,
                      StepTarget target,
                      Time now);

// Ejects the replicas that fail, or whose steps take much longer than the
// median of the cell, but never more than a share of the cell.
void EjectOutliers(std::span<Replica> replicas, Time now);

// Remembers that the replica was given a prompt prefix, which its engine will
// keep for a while.
void RecordPrefix(Replica& replica, uint64_t prefix);

bool HasPrefix(const Replica& replica, uint64_t prefix);

// Returns the index of the replica to run on, or nothing where none has a free
// slot. Prefers the least loaded of those that have the prefix, while its load
// is within a bound of the cell's mean; otherwise the least loaded of all.
std::optional<uint32_t> ChooseReplica(std::span<const Replica> replicas,
                                      uint64_t prefix_hash,
                                      std::span<const UpstreamName> excluded,
                                      Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_REPLICA_H_
