#include "link/machine_limits.h"

#include <sys/resource.h>
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

std::optional<size_t> MaxDescriptors() {
  rlimit files{};
  if (getrlimit(RLIMIT_NOFILE, &files) != 0 ||
      files.rlim_cur == RLIM_INFINITY) {
    return std::nullopt;
  }
  return files.rlim_cur;
}

}  // namespace pomeloring
