// Defines Now(): the time that a process passes to the core. It is the wall
// time of the first call plus the steady clock's progress since then, so it
// never goes backwards. BootNow() also counts the time that the machine was
// suspended, for leases: others count it too. TimeOfDay() is for what must hold
// between instances.

#ifndef POMELORING_LINK_CLOCK_H_
#define POMELORING_LINK_CLOCK_H_

#include "core/ids.h"

namespace pomeloring {

Time Now();
// Since the machine started. Not comparable with Now().
Time BootNow();

// Since 1970, as set on this machine now: it may jump.
Time TimeOfDay();

}  // namespace pomeloring

#endif  // POMELORING_LINK_CLOCK_H_
