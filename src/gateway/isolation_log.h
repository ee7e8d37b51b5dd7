// Defines IsolationLog, which logs how many engines are isolated when that
// changes.

#ifndef POMELORING_GATEWAY_ISOLATION_LOG_H_
#define POMELORING_GATEWAY_ISOLATION_LOG_H_

#include <map>

#include "daemon/log.h"
#include "routing/router.h"

namespace pomeloring {

struct LoggedIsolation {
  size_t count = 0;
  Time logged_at;
};

using IsolationLog = std::map<ServiceName, LoggedIsolation>;

// Writes a line for each service whose number of isolated engines has changed
// by a quarter since the last one, at most one a second.
void LogIsolationChanges(IsolationLog& logged,
                         const Router& router,
                         Log& log,
                         Time now);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_ISOLATION_LOG_H_
