// The public header of pomeloring_core: the decisions of an instance, without
// I/O, threads or clocks, so that a daemon or any harness can drive them.

#ifndef POMELORING_CORE_H_
#define POMELORING_CORE_H_

#include "core/instance.h"

#endif  // POMELORING_CORE_H_
