// Defines OriginQueue: the origins of streams that wait to be appended to the
// platform's log in batches, and the versions of services likewise.

#ifndef POMELORING_ROUTING_ORIGIN_BATCH_H_
#define POMELORING_ROUTING_ORIGIN_BATCH_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "routing/stream_origins.h"

namespace pomeloring {

// Batches of one minute of a large fleet, 64 a second of its appenders and 200
// of streams that are held for their append; earlier ones are not read.
inline constexpr uint64_t kMaxBatchesToRead = 16'384;

// What one read of the log found, however much of it is kept in memory.
struct LoggedOrigins {
  std::vector<StreamOrigin> origins;  // Each once.
  // With the index of their origin; sorted by SortLogged().
  std::vector<std::pair<StreamKey, uint32_t>> streams;
  // What was appended earlier may be missing.
  Time complete_since;
};

void AddLogged(LoggedOrigins& logged, std::span<const KeyedOrigin> streams);
void SortLogged(LoggedOrigins& logged);
std::optional<StreamOrigin> FindLogged(const LoggedOrigins& logged,
                                       StreamKey key);
// Whether all streams are there that were appended up to `max_age` ago.
bool HasAllLogged(const LoggedOrigins& logged, Duration max_age, Time now);

struct OriginQueue {
  std::deque<KeyedOrigin> waiting;
  Time due_at;  // While any wait.
  Duration retry_delay{0};
  uint64_t dropped = 0;  // Beyond the limit on those that wait.
};

void QueueOrigins(OriginQueue& queue,
                  std::span<const KeyedOrigin> streams,
                  Time now);
bool IsBatchDue(const OriginQueue& queue, Time now);
// Removes a batch that fits into one record.
std::vector<KeyedOrigin> TakeBatch(OriginQueue& queue, Time now);
// Records the result of its append. A failed one is repeated: what it says of a
// stream is true however late it takes effect, and however often.
void CompleteBatch(OriginQueue& queue,
                   std::vector<KeyedOrigin> batch,
                   bool was_appended,
                   Time now);

// The instances that append for all. The choice changes little when instances
// come or go.
std::vector<InstanceName> ChooseAppenders(
    std::span<const InstanceName> instances);

// Returns the recent versions of the services of which there are several and
// whose registered versions have changed since the last call.
VersionSets TakeChangedVersions(VersionSets& recorded,
                                const StreamOrigins& origins,
                                const VersionSets& registered);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_ORIGIN_BATCH_H_
