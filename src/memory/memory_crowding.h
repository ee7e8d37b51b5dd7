// Defines MemoryCrowding(): how much an engine's memory speaks against another
// request there while it still fits.

#ifndef POMELORING_MEMORY_MEMORY_CROWDING_H_
#define POMELORING_MEMORY_MEMORY_CROWDING_H_

#include "memory/engine_memory.h"

namespace pomeloring {

// Returns 0 while most of the memory is free, and 1 from where the margin
// begins. Other instances may just have placed requests there that this one
// does not know of. `held` and `memory` as for FitOf().
double MemoryCrowding(const TokenDemand& demand,
                      uint64_t held,
                      uint64_t memory);

}  // namespace pomeloring

#endif  // POMELORING_MEMORY_MEMORY_CROWDING_H_
