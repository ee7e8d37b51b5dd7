// Defines the slot capacity of a cell and the estimated time to drain its
// queue.

#ifndef POMELORING_CORE_CELL_CAPACITY_H_
#define POMELORING_CORE_CELL_CAPACITY_H_

#include "core/cell_state.h"

namespace pomeloring {

// Counts the slots, or the free slots, of the replicas that accept work.
uint32_t TotalSlots(const CellState& cell, Time now);
uint32_t TotalFreeSlots(const CellState& cell, Time now);

// Returns the estimated time until the last of `requests` is granted, at most
// one hour.
Duration TimeToDrain(const CellState& cell, size_t requests, Time now);

// Returns how long a declined caller should wait before it retries.
Duration RetryAfter(CellState& cell, Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CELL_CAPACITY_H_
