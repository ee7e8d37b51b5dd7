// The public header of pomeloring_duties: which instance makes the calls to the
// platform that one instance makes for all. It has no I/O and no clock of its
// own.

#ifndef POMELORING_DUTIES_H_
#define POMELORING_DUTIES_H_

#include "duties/duty_lease.h"

#endif  // POMELORING_DUTIES_H_
