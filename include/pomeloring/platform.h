// The public header of pomeloring_platform: the platform's log and lists.

#ifndef POMELORING_PLATFORM_H_
#define POMELORING_PLATFORM_H_

#include "platform/platform.h"

#endif  // POMELORING_PLATFORM_H_
