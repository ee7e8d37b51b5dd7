// Defines how many slots a cell has and how long it needs for its queue.

#ifndef POMELORING_CORE_CELL_CAPACITY_H_
#define POMELORING_CORE_CELL_CAPACITY_H_

#include "core/cell_state.h"

namespace pomeloring {

// Counts the slots of the replicas that take work.
uint32_t TotalSlots(const CellState& cell, Time now);
uint32_t TotalFreeSlots(const CellState& cell, Time now);

// Returns how long it takes until the last of `asks` is granted.
Duration TimeToDrain(const CellState& cell, size_t requests, Time now);

// Returns when a declined caller should come back.
Duration RetryAfter(CellState& cell, Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CELL_CAPACITY_H_
