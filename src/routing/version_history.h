// Defines AssessHistory(): which software versions have served lately, by the
// retained registrations in the store. An instance that has just started reads
// them once.

#ifndef POMELORING_ROUTING_VERSION_HISTORY_H_
#define POMELORING_ROUTING_VERSION_HISTORY_H_

#include <map>
#include <set>
#include <span>
#include <string>

#include "routing/routing_config.h"
#include "routing/stream_origins.h"
#include "routing/upstream_table.h"

namespace pomeloring {

// How far back streams of each service with a resumable route may have begun.
std::map<ServiceName, Duration> StreamLifetimes(const RoutingConfig& config);

// The number of records that a history of `lifetime` has, if `upstreams`
// register. More are not needed.
uint64_t RecordsToRead(size_t upstreams, Duration lifetime);

struct ServiceHistory {
  // The versions that streams in progress may have begun at.
  std::set<std::string> versions;
  // No stream in progress began before the history does.
  bool is_complete = false;
};

// `records` are all changes of the topic from `first` up to now, oldest first.
// Up to the positions in `known_up_to`, all versions of a service are known
// otherwise; `versions` need not have them.
std::map<ServiceName, ServiceHistory> AssessHistory(
    std::span<const UpstreamChange> records,
    LogOffset first,
    const std::map<ServiceName, Duration>& lifetimes,
    const std::map<ServiceName, LogOffset>& known_up_to = {});

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_VERSION_HISTORY_H_
