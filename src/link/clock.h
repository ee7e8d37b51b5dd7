// Defines Now(): the one clock of a process, wall time at the start carried on
// by the steady clock, so that it never steps back.

#ifndef POMELORING_LINK_CLOCK_H_
#define POMELORING_LINK_CLOCK_H_

#include "core/ids.h"

namespace pomeloring {

Time Now();

}  // namespace pomeloring

#endif  // POMELORING_LINK_CLOCK_H_
