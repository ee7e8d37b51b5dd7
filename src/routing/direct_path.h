// Defines DirectPath: whether this instance itself can connect to an upstream.
// A network partition may take the path from some instances and leave it to
// others, so a lost path says nothing about the upstream.

#ifndef POMELORING_ROUTING_DIRECT_PATH_H_
#define POMELORING_ROUTING_DIRECT_PATH_H_

#include <cstdint>

#include "core/ids.h"

namespace pomeloring {

struct DirectPath {
  bool is_lost = false;
  Time lost_at;
  Time regained_at;
  // Connections that have to be established in a row before a lost path is
  // used again, and those established so far.
  uint32_t required_connects = 0;
  uint32_t connects = 0;
  uint32_t failures = 0;  // Connections that have failed in a row.
  bool is_being_checked = false;
  Time next_check_at;  // While the path is lost.
  Time last_check_at;
  // Requests sent over the path that have not ended, and since when there has
  // been one all the time.
  uint32_t in_flight = 0;
  Time busy_since;
  Time last_byte_at;  // Received over the path.
};

enum class PathChange { kNone, kLost, kRegained };

// Records whether a connection was established or failed to be.
PathChange RecordConnect(DirectPath& path, bool is_connected, Time now);

// Whether a connection would most likely fail as well: not only one has.
bool IsDown(const DirectPath& path);

// Record the start and the end of a request that is sent over the path.
void RecordSent(DirectPath& path, Time now);
void RecordEnded(DirectPath& path);

// Whether the path has to be checked by a new connection: it is lost, or its
// requests have gone unanswered, or `was_another_lost` and nothing shows that
// this one works.
bool IsCheckDue(const DirectPath& path, bool was_another_lost, Time now);

// Record the start and the end of a check. Its result goes to RecordConnect().
void BeginCheck(DirectPath& path, Time now);
void EndCheck(DirectPath& path);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_DIRECT_PATH_H_
