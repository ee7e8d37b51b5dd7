// Defines MachineMemoryMb(): the memory of the machine that this process runs
// on.

#ifndef POMELORING_LINK_MACHINE_MEMORY_H_
#define POMELORING_LINK_MACHINE_MEMORY_H_

#include <cstdint>
#include <optional>

namespace pomeloring {

// In MB, as the kernel tells it; nothing if it does not.
std::optional<uint64_t> MachineMemoryMb();

}  // namespace pomeloring

#endif  // POMELORING_LINK_MACHINE_MEMORY_H_
