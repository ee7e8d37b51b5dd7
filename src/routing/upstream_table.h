// Defines UpstreamTable: the upstreams registered in the platform's store, as
// of one offset of its topic.

#ifndef POMELORING_ROUTING_UPSTREAM_TABLE_H_
#define POMELORING_ROUTING_UPSTREAM_TABLE_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// The registration of an upstream.
struct UpstreamRecord {
  UpstreamName id;
  ServiceName service;
  std::string address;  // IP:port.
  FailureDomain failure_domain;
  uint32_t slots = 1;
  bool draining = false;
  // Start of the upstream's process, in ms since 1970; 0 if unknown. A new
  // value under the same id means that the upstream has lost all its state.
  int64_t started_at_ms = 0;
  // Empty if unknown. A stream can go on only at the version that began it.
  std::string software_version;
  // The platform may take it away at short notice.
  bool is_reclaimable = false;
  // Until a draining upstream leaves; nothing if unknown.
  std::optional<Duration> leaves_in;
  bool operator==(const UpstreamRecord&) const = default;
};

// Whether an upstream can be registered as `id`, which becomes part of header
// lines and of messages between instances.
bool IsUpstreamId(std::string_view id);

// Whether `record` is of the process of `known`, an earlier registration of the
// same name. A start time or version that it lacks contradicts none.
bool IsSameProcess(const UpstreamRecord& known, const UpstreamRecord& record);

// A change read from the store. Without a record, the upstream was removed or
// its entry is malformed.
struct UpstreamChange {
  UpstreamName id;
  LogOffset offset;
  std::optional<UpstreamRecord> record;
  std::string text;  // The record as stored.
};

// Positions rise across restores of the store from an older copy: the lower 40
// bits are the offset, the others tell how often it was restored.
inline constexpr int kPositionOffsetBits = 40;
inline uint64_t RestoresBefore(LogOffset position) {
  return position.value >> kPositionOffsetBits;
}

struct UpstreamEntry {
  LogOffset offset;  // Of the last change that affects routing.
  std::optional<UpstreamRecord> record;
  // The record as stored, which is sent to peers. It is kept here so that it
  // always belongs to the same change as the record.
  std::string text;
  Time changed;
  // The change before this one ended the use of the upstream: it was removed,
  // or began to drain.
  bool had_ended = false;
};

struct UpstreamTable {
  std::map<UpstreamName, UpstreamEntry> entries;
  // All changes before this offset are applied; 0 until the table is complete.
  LogOffset as_of;
  // All removals from this offset on have an entry. Earlier ones may be known
  // only from a complete list that lacks the upstream.
  LogOffset removals_since;
  // Covers all that affects routing: tables with the same hash are equivalent.
  uint64_t hash = 0;
  bool is_complete = false;
};

// Applies changes, ignoring those that are older than the table or than the
// last known one of the same upstream. Returns the ids whose routing has
// changed.
std::vector<UpstreamName> ApplyChanges(
    UpstreamTable& table,
    const std::vector<UpstreamChange>& changes,
    LogOffset as_of,
    Time now);

// What an instance sends to a peer that lacks registrations.
struct UpstreamUpdate {
  LogOffset as_of;
  // Whether `changes` are the complete table and not only what has changed.
  bool is_whole_list = false;
  std::vector<UpstreamChange> changes;
};

// Returns what a peer lacks whose table is as of `known`; 0 if it has none.
UpstreamUpdate UpdateSince(const UpstreamTable& table, LogOffset known);

// Forgets removals from before `before`. Peers that have not heard of them get
// the whole list.
void ForgetRemovals(UpstreamTable& table, Time before);

// Applies a complete list as of `as_of`, ignoring one that is older than the
// table. Returns the ids whose routing has changed.
std::vector<UpstreamName> ApplyList(UpstreamTable& table,
                                    const std::vector<UpstreamChange>& listed,
                                    LogOffset as_of,
                                    Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_UPSTREAM_TABLE_H_
