// Defines what the kernel tells about the limits of this process.

#ifndef POMELORING_LINK_MACHINE_LIMITS_H_
#define POMELORING_LINK_MACHINE_LIMITS_H_

#include <cstddef>
#include <cstdint>
#include <optional>

namespace pomeloring {

// The memory of the machine in MB; nothing if the kernel does not tell it.
std::optional<uint64_t> MachineMemoryMb();

// The descriptors that this process may open; nothing if there is no limit.
std::optional<size_t> MaxDescriptors();

}  // namespace pomeloring

#endif  // POMELORING_LINK_MACHINE_LIMITS_H_
