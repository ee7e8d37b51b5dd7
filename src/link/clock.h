// Defines Now(): the time that a process passes to the core. It is the wall
// time of the first call plus the steady clock's progress since then, so it
// never goes backwards. Defines ReadClocks() for what must hold across
// suspensions of the process and between instances.

#ifndef POMELORING_LINK_CLOCK_H_
#define POMELORING_LINK_CLOCK_H_

#include "core/ids.h"

namespace pomeloring {

Time Now();
// Since the machine started, suspensions included: for leases, whose other side
// counts them too. Not comparable with Now().
Time BootNow();

// Two clocks that were read at the same time.
struct ClockReadings {
  Time time_of_day;      // As set on this machine now: it may jump.
  Duration boottime{0};  // Since the machine started, suspensions included.
};

ClockReadings ReadClocks();

}  // namespace pomeloring

#endif  // POMELORING_LINK_CLOCK_H_
