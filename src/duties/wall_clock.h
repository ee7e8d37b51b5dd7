// Defines WallClock: the time of day by which usage is counted.

#ifndef POMELORING_DUTIES_WALL_CLOCK_H_
#define POMELORING_DUTIES_WALL_CLOCK_H_

#include <optional>

#include "core/ids.h"

namespace pomeloring {

// Anchored to the time of day at the first reading, then advanced by a clock
// that counts suspension.
struct WallClock {
  struct Anchor {
    Duration offset{0};  // Of the time of day from the boot time.
    Duration boottime{0};
  };
  std::optional<Anchor> anchor;
};

// Returns the time that applies at these readings of the time of day and of the
// time since boot. Jumps of the time of day are not followed.
Time AdvanceWallClock(WallClock& clock, Time time_of_day, Duration boottime);

}  // namespace pomeloring

#endif  // POMELORING_DUTIES_WALL_CLOCK_H_
