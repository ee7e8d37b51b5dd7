// Defines StreamOrigins: at which software version the streams began that
// callers may take up again, at any instance.

#ifndef POMELORING_ROUTING_STREAM_ORIGINS_H_
#define POMELORING_ROUTING_STREAM_ORIGINS_H_

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Identifies a stream: a hash of the id of the caller's attempt that brought
// its first event.
using StreamKey = uint64_t;

StreamKey StreamKeyOf(std::string_view request_id);

struct StreamOrigin {
  ServiceName service;
  std::string software_version;
  bool operator==(const StreamOrigin&) const = default;
};

using KeyedOrigin = std::pair<StreamKey, StreamOrigin>;

// How long the origin of a stream is known after its first event.
inline constexpr Duration kStreamRetention = seconds(60);
// A caller takes a stream up once more at the end of the route's timeout.
inline constexpr Duration kStreamAgeSlack = seconds(1);
inline constexpr Duration kMaxStreamLifetime =
    kStreamRetention - kStreamAgeSlack;
using VersionSets = std::map<ServiceName, std::set<std::string>>;

struct StreamOrigins {
  struct Stream {
    StreamOrigin origin;
    Time recorded_at;
    bool began_here = false;
    bool is_from_log = false;
  };
  // Limited in number and age; see the source.
  std::unordered_map<StreamKey, Stream> streams;
  size_t max_streams = 65'536;  // Some 10 MB.
  // When a stream that began here was last dropped to stay within the limit.
  std::optional<Time> dropped_at;
  std::deque<std::pair<Time, StreamKey>> by_age;
  // When each version of a service was last registered.
  std::map<ServiceName, std::map<std::string, Time>> versions;
  // Since when `versions` is kept.
  std::optional<Time> tracking_since;
  Time last_tracked_at;
  // Services whose `versions` before that are known from the store or a peer.
  std::set<ServiceName> completed;
};

// Records where a stream began, as observed here or told by a peer.
void RecordOrigin(StreamOrigins& origins,
                  const KeyedOrigin& stream,
                  bool began_here,
                  Time now);
std::optional<StreamOrigin> FindOrigin(const StreamOrigins& origins,
                                       StreamKey key);
// Records what was read in the platform's log, unless it is known already.
void RecordLoggedOrigin(StreamOrigins& origins,
                        const KeyedOrigin& stream,
                        Time now);
bool IsFromLog(const StreamOrigins& origins, StreamKey key);
// Whether a stream that began here less than `max_age` ago may have been
// dropped.
bool MayLackStreams(const StreamOrigins& origins, Duration max_age, Time now);

// Records the versions that are registered now. Returns the services of which
// there are several for the first time: their streams must be told to peers.
std::set<ServiceName> RecordVersions(StreamOrigins& origins,
                                     std::span<const StreamOrigin> registered,
                                     Time now);

// The versions of a service that streams still in progress may have begun at.
std::set<std::string> RecentVersions(const StreamOrigins& origins,
                                     const ServiceName& service);

// Since each of them was last registered.
std::map<std::string, Duration> VersionAges(const StreamOrigins& origins,
                                            const ServiceName& service,
                                            Time now);

// Whether RecentVersions() is known from before any such stream began.
bool KnowsAllRecentVersions(const StreamOrigins& origins,
                            const ServiceName& service,
                            Time now);
// Adds versions that have served lately, according to the store. `is_complete`:
// no others have, up to when this instance began to observe them itself.
void AddVersions(StreamOrigins& origins,
                 const ServiceName& service,
                 const std::set<std::string>& versions,
                 bool is_complete,
                 Time now);
// Adds the versions that a peer knows, which are all up to when this instance
// began to observe them itself. `ages`: since each was last registered.
void AdoptVersions(StreamOrigins& origins,
                   const ServiceName& service,
                   const std::map<std::string, Duration>& ages,
                   Time now);

// The services of which several versions have served lately.
std::set<ServiceName> MixedServices(const StreamOrigins& origins);

// Returns the streams that began here, or all, at one of `services`.
std::vector<KeyedOrigin> StreamsOf(const StreamOrigins& origins,
                                   const std::set<ServiceName>& services,
                                   bool began_here_only);

// Returns the `count` instances that hold a copy of the stream's origin, the
// most preferred first. The choice changes little when instances come or go.
std::vector<InstanceName> ChooseHolders(StreamKey key,
                                        std::span<const InstanceName> instances,
                                        size_t count);

// Drops what no caller will ask for any more.
void ExpireOrigins(StreamOrigins& origins, Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_STREAM_ORIGINS_H_
