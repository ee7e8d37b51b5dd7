#include "link/clock.h"

#include <ctime>

namespace pomeloring {
namespace {

struct Anchor {
  std::chrono::system_clock::time_point wall = std::chrono::system_clock::now();
  std::chrono::steady_clock::time_point steady =
      std::chrono::steady_clock::now();
};

}  // namespace

Time Now() {
  static const Anchor kAnchor;
  const auto elapsed = std::chrono::steady_clock::now() - kAnchor.steady;
  const auto wall = kAnchor.wall.time_since_epoch() + elapsed;
  return Time{std::chrono::duration_cast<Duration>(wall)};
}

Time BootNow() {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Time{std::chrono::duration_cast<Duration>(
      seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec))};
}

Time TimeOfDay() {
  return Time{std::chrono::duration_cast<Duration>(
      std::chrono::system_clock::now().time_since_epoch())};
}

}  // namespace pomeloring
