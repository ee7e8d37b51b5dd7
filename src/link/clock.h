// Defines Now(): the time that a process passes to the core. It is the wall
// time of the first call plus the steady clock's progress since then, so it
// never goes backwards. Defines TimeOfDay() and Boottime() for what must hold
// across suspensions of the process and between instances.

#ifndef POMELORING_LINK_CLOCK_H_
#define POMELORING_LINK_CLOCK_H_

#include "core/ids.h"

namespace pomeloring {

Time Now();

// Since 1970, as set on this machine now: it may jump.
Time TimeOfDay();
// CLOCK_BOOTTIME: the time since the machine started, suspensions included.
Duration Boottime();

}  // namespace pomeloring

#endif  // POMELORING_LINK_CLOCK_H_
