#include "link/machine_memory.h"

#include <sys/sysinfo.h>

namespace pomeloring {

std::optional<uint64_t> MachineMemoryMb() {
  constexpr uint64_t kMegabyte = uint64_t{1024} * 1024;
  struct sysinfo info {};
  if (sysinfo(&info) != 0 || info.totalram == 0) {
    return std::nullopt;
  }
  return uint64_t{info.totalram} * info.mem_unit / kMegabyte;
}

}  // namespace pomeloring
