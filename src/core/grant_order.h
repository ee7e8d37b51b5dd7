// Defines GrantFreeSlots(): which waiting asks get the free slots of a cell,
// and on which replicas.

#ifndef POMELORING_CORE_GRANT_ORDER_H_
#define POMELORING_CORE_GRANT_ORDER_H_

#include "core/cell_state.h"

namespace pomeloring {

// Grants until no slot is free for an ask that may have it. Adds the grants to
// `replies`.
void GrantFreeSlots(CellState& cell, CellReplies& replies, Time now);

// True while an ask of a higher tier that was declined for want of capacity
// keeps lower ones from being granted.
bool IsBlockedByHigherTier(const CellState& cell, Tier tier, Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_GRANT_ORDER_H_
