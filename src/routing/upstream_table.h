// Defines UpstreamTable: the upstreams that are registered in the platform's
// store, as of one offset of its topic.

#ifndef POMELORING_ROUTING_UPSTREAM_TABLE_H_
#define POMELORING_ROUTING_UPSTREAM_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// One registration of an upstream.
struct UpstreamRecord {
  UpstreamName id;
  ServiceName service;
  std::string address;  // IP:port.
  FailureDomain failure_domain;
  uint32_t slots = 1;
  bool draining = false;
  // Of the upstream's process, in ms since 1970; 0: not known. A new value
  // under the same id means that it has lost all that it held.
  int64_t started_at_ms = 0;
  bool operator==(const UpstreamRecord&) const = default;
};

// A change as it was read: a record, or nothing where the upstream is gone or
// its entry can't be read.
struct UpstreamChange {
  UpstreamName id;
  LogOffset offset;
  std::optional<UpstreamRecord> record;
  std::string text;  // Of the record, as it stands in the store.
};

struct UpstreamEntry {
  LogOffset offset;  // Of the last change that matters to routing.
  std::optional<UpstreamRecord> record;
  // What peers are given. It stands here so that it is never of another change
  // than the record.
  std::string text;
  Time changed;
};

struct UpstreamTable {
  std::map<UpstreamName, UpstreamEntry> entries;
  LogOffset as_of;  // All changes before it are in.
  // Of all that matters to routing: two tables with one hash hold the same.
  uint64_t hash = 0;
  bool is_complete = false;
};

// Takes in changes; one older than what is known of the same upstream is passed
// over. Returns the ids whose routing has changed.
std::vector<UpstreamName> ApplyChanges(
    UpstreamTable& table,
    const std::vector<UpstreamChange>& changes,
    LogOffset as_of,
    Time now);

// Marks as gone all that `listed`, a whole list as of `as_of`, does not name.
std::vector<UpstreamName> DropUnlisted(
    UpstreamTable& table,
    const std::vector<UpstreamChange>& listed,
    LogOffset as_of,
    Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_UPSTREAM_TABLE_H_
