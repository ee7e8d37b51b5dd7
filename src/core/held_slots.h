// Defines which slots of a cell are held: those granted here, and those that
// entries tell of and another scheduler granted.

#ifndef POMELORING_CORE_HELD_SLOTS_H_
#define POMELORING_CORE_HELD_SLOTS_H_

#include <optional>

#include "core/cell_state.h"

namespace pomeloring {

// Returns the place of a replica in `cell.replicas`.
std::optional<uint32_t> ReplicaIndex(const CellState& cell,
                                     const UpstreamName& name);

// Frees the slot of a grant; does nothing if there is none.
void ReleaseGrant(CellState& cell, const AttemptId& attempt);

// Ends a run that another scheduler granted and `entry` told of.
void ReleaseInheritedSlot(Replica& replica, const InstanceName& entry);

// Compares what `entry` runs with what it was granted: grants that were lost
// end, runs that another scheduler granted are counted.
void ReconcileRunning(CellState& cell,
                      const InstanceName& entry,
                      const RunningSlots& running,
                      Time now);

// Ends what is held by entries that no longer tell of it.
void ReleaseUnreportedSlots(CellState& cell, Time now);

// Ends all that `entry` holds.
void ReleaseSlotsOf(CellState& cell, const InstanceName& entry);

}  // namespace pomeloring

#endif  // POMELORING_CORE_HELD_SLOTS_H_
