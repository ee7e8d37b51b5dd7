// The public header of what a node asks of its platform: log and lists.

#ifndef POMELORING_PLATFORM_H_
#define POMELORING_PLATFORM_H_

#include "daemon/platform.h"

#endif  // POMELORING_PLATFORM_H_
