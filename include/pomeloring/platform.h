// The public header of the interface from a node to its platform: an
// append-only log and a list of instances and upstreams.

#ifndef POMELORING_PLATFORM_H_
#define POMELORING_PLATFORM_H_

#include "daemon/platform.h"

#endif  // POMELORING_PLATFORM_H_
