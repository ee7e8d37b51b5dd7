// The public header of pomeloring_core: the decision logic of an instance. It
// has no I/O, threads or clock of its own, so a daemon or a test harness can
// drive it.

#ifndef POMELORING_CORE_H_
#define POMELORING_CORE_H_

#include "core/instance.h"

#endif  // POMELORING_CORE_H_
