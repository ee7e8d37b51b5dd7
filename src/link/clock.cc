#include "link/clock.h"

#include <ctime>

namespace pomeloring {
namespace {

struct Anchor {
  std::chrono::system_clock::time_point wall = std::chrono::system_clock::now();
  std::chrono::steady_clock::time_point steady =
      std::chrono::steady_clock::now();
};

// Between two readings of clocks that are taken for simultaneous.
constexpr Duration kMaxReadingTime = milliseconds(1);
constexpr int kMaxReadings = 4;

Duration Boottime() {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return seconds(reading.tv_sec) +
         std::chrono::duration_cast<Duration>(
             std::chrono::nanoseconds(reading.tv_nsec));
}

}  // namespace

Time Now() {
  static const Anchor kAnchor;
  const auto elapsed = std::chrono::steady_clock::now() - kAnchor.steady;
  const auto wall = kAnchor.wall.time_since_epoch() + elapsed;
  return Time{std::chrono::duration_cast<Duration>(wall)};
}

Time BootNow() {
  return Time{Boottime()};
}

// Reads again if the process was suspended between the two. On a machine that
// is always slower than that, the last reading counts.
ClockReadings ReadClocks() {
  ClockReadings readings;
  for (int i = 0; i < kMaxReadings; ++i) {
    const Duration before = Boottime();
    readings.time_of_day = Time{std::chrono::duration_cast<Duration>(
        std::chrono::system_clock::now().time_since_epoch())};
    readings.boottime = Boottime();
    if (readings.boottime - before <= kMaxReadingTime) {
      break;
    }
  }
  return readings;
}

}  // namespace pomeloring
