// Defines ServiceBacklog: requests that instances hold back or have turned away
// for want of capacity, which no upstream's load shows.

#ifndef POMELORING_ROUTING_SERVICE_BACKLOG_H_
#define POMELORING_ROUTING_SERVICE_BACKLOG_H_

#include <deque>
#include <map>

#include "core/ids.h"

namespace pomeloring {

struct ServiceBacklog {
  uint32_t waiting = 0;
  uint32_t refused = 0;  // In the last second.
  bool operator==(const ServiceBacklog&) const = default;
};

using ServiceBacklogs = std::map<ServiceName, ServiceBacklog>;

// Of this instance.
struct BacklogCount {
  std::map<ServiceName, uint32_t> waiting;
  std::map<ServiceName, std::deque<Time>> refusals;
};

void CountRefusal(BacklogCount& count, const ServiceName& service, Time now);
// Returns the services with a backlog.
ServiceBacklogs BacklogsOf(const BacklogCount& count, Time now);

void AddBacklogs(ServiceBacklogs& total, const ServiceBacklogs& backlogs);
// `backlogs` must be a part of `total`. Drops services without a backlog.
void SubtractBacklogs(ServiceBacklogs& total, const ServiceBacklogs& backlogs);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_SERVICE_BACKLOG_H_
