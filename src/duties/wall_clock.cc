#include "duties/wall_clock.h"

#include <algorithm>

namespace pomeloring {
namespace {

// A larger difference of the time of day is a jump, which is ignored.
constexpr Duration kMaxFollowedDifference = seconds(1);
// A smaller difference is followed by at most this fraction of the elapsed
// time. Crystals drift by less than 1/10,000; a jump of 0.9 s that lasts 10 s
// moves the clock by 10 ms only.
constexpr int64_t kSlewDivisor = 1000;

}  // namespace

Time AdvanceWallClock(WallClock& clock, Time time_of_day, Duration boottime) {
  const Duration read_offset = time_of_day.time_since_epoch() - boottime;
  if (!clock.anchor) {
    clock.anchor = {read_offset, boottime};
  }
  WallClock::Anchor& anchor = *clock.anchor;
  const Duration difference = read_offset - anchor.offset;
  const Duration max_step = (boottime - anchor.boottime) / kSlewDivisor;
  // Steps below the resolution would be lost at frequent readings.
  if (max_step >= milliseconds(1)) {
    if (std::chrono::abs(difference) <= kMaxFollowedDifference) {
      anchor.offset += std::clamp(difference, -max_step, max_step);
    }
    anchor.boottime = boottime;
  }
  return Time{anchor.offset + boottime};
}

}  // namespace pomeloring
