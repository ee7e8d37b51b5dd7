// Defines which slots of a cell are in use: those granted here, and those that
// entries report and another scheduler granted.

#ifndef POMELORING_CORE_SLOTS_IN_USE_H_
#define POMELORING_CORE_SLOTS_IN_USE_H_

#include <optional>

#include "core/cell_state.h"

namespace pomeloring {

// Returns the index of a replica in `cell.replicas`.
std::optional<uint32_t> ReplicaIndex(const CellState& cell,
                                     const UpstreamName& name);

// Releases the slot of a grant; does nothing if there is no such grant.
void ReleaseGrant(CellState& cell, const AttemptId& attempt);

// Releases a slot that another scheduler granted and `entry` reported.
void ReleaseInheritedSlot(Replica& replica, const InstanceName& entry);

// Compares the slots that `entry` reports with its grants. Releases grants that
// were lost, and counts slots that another scheduler granted.
void ReconcileRunning(CellState& cell,
                      const InstanceName& entry,
                      const RunningSlots& running,
                      Time now);

// Releases the slots of entries that no longer report them.
void ReleaseUnreportedSlots(CellState& cell, Time now);

// Releases all slots of `entry`.
void ReleaseSlotsOf(CellState& cell, const InstanceName& entry);

}  // namespace pomeloring

#endif  // POMELORING_CORE_SLOTS_IN_USE_H_
