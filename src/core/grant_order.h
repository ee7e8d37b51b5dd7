// Defines GrantFreeSlots(): which queued slot requests get the free slots of a
// cell, and on which replicas.

#ifndef POMELORING_CORE_GRANT_ORDER_H_
#define POMELORING_CORE_GRANT_ORDER_H_

#include "core/cell_state.h"

namespace pomeloring {

// Grants slots until none is free for a request that may use it. Appends the
// grants to `replies`.
void GrantFreeSlots(CellState& cell, CellReplies& replies, Time now);

// Returns true while `tier` may not be granted because a slot request of a
// higher tier was declined for lack of capacity.
bool IsBlockedByHigherTier(const CellState& cell, Tier tier, Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_GRANT_ORDER_H_
