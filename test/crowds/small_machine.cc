// A library that is preloaded into a gateway: sysinfo() tells of a machine with
// SMALL_MACHINE_MB megabytes of memory.

#include <dlfcn.h>
#include <sys/sysinfo.h>

#include <cstdlib>

extern "C" int sysinfo(struct sysinfo* info) noexcept {
  using SysInfo = int (*)(struct sysinfo*);
  static const auto next =
      reinterpret_cast<SysInfo>(dlsym(RTLD_NEXT, "sysinfo"));
  const int result = next(info);
  if (const char* megabytes = std::getenv("SMALL_MACHINE_MB")) {
    info->mem_unit = 1;
    info->totalram = std::strtoul(megabytes, nullptr, 10) * 1024 * 1024;
  }
  return result;
}
