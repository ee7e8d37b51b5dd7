#include "routing/stream_origins.h"

#include <algorithm>

namespace pomeloring {
namespace {

// An instance that has observed nothing for longer was suspended, and versions
// may have come and gone meanwhile.
constexpr Duration kMaxTrackingGap = seconds(5);

void DropOldest(StreamOrigins& origins) {
  origins.streams.erase(origins.by_age.front().second);
  origins.by_age.pop_front();
}

}  // namespace

StreamKey StreamKeyOf(std::string_view request_id) {
  return StableHash(request_id);
}

// What this instance has observed is not replaced by what peers say. A stream
// is not forgotten when its last event has been written: the client may not
// have read it, and may take the stream up again.
void RecordOrigin(StreamOrigins& origins,
                  const KeyedOrigin& stream,
                  bool began_here,
                  Time now) {
  const auto& [key, origin] = stream;
  const auto [entry, is_new] =
      origins.streams.try_emplace(key, StreamOrigins::Stream{origin, now});
  if (!is_new && (began_here || !entry->second.began_here)) {
    entry->second.origin = origin;
  }
  entry->second.began_here |= began_here;
  if (is_new) {
    origins.by_age.emplace_back(now, key);
  }
  if (origins.by_age.size() > origins.max_streams) {
    if (origins.streams.at(origins.by_age.front().second).began_here) {
      origins.dropped_at = now;
    }
    DropOldest(origins);
  }
}

std::optional<StreamOrigin> FindOrigin(const StreamOrigins& origins,
                                       StreamKey key) {
  const auto found = origins.streams.find(key);
  return found == origins.streams.end() ? std::nullopt
                                        : std::optional(found->second.origin);
}

void RecordLoggedOrigin(StreamOrigins& origins,
                        const KeyedOrigin& stream,
                        Time now) {
  if (!origins.streams.contains(stream.first)) {
    RecordOrigin(origins, stream, false, now);
    origins.streams.at(stream.first).is_from_log = true;
  }
}

bool IsFromLog(const StreamOrigins& origins, StreamKey key) {
  const auto found = origins.streams.find(key);
  return found != origins.streams.end() && found->second.is_from_log;
}

bool MayLackStreams(const StreamOrigins& origins, Duration max_age, Time now) {
  return origins.dropped_at && now - *origins.dropped_at <= max_age;
}

std::set<ServiceName> RecordVersions(StreamOrigins& origins,
                                     std::span<const StreamOrigin> registered,
                                     Time now) {
  if (!origins.tracking_since ||
      now - origins.last_tracked_at > kMaxTrackingGap) {
    origins.tracking_since = now;
    origins.completed.clear();
  }
  origins.last_tracked_at = now;
  std::set<ServiceName> mixed;
  for (const StreamOrigin& upstream : registered) {
    auto& versions = origins.versions[upstream.service];
    const bool is_new =
        versions.insert_or_assign(upstream.software_version, now).second;
    if (is_new && versions.size() == 2) {
      mixed.insert(upstream.service);
    }
  }
  return mixed;
}

std::set<std::string> RecentVersions(const StreamOrigins& origins,
                                     const ServiceName& service) {
  std::set<std::string> recent;
  if (const auto found = origins.versions.find(service);
      found != origins.versions.end()) {
    for (const auto& [version, last_seen] : found->second) {
      recent.insert(version);
    }
  }
  return recent;
}

std::map<std::string, Duration> VersionAges(const StreamOrigins& origins,
                                            const ServiceName& service,
                                            Time now) {
  std::map<std::string, Duration> ages;
  if (const auto found = origins.versions.find(service);
      found != origins.versions.end()) {
    for (const auto& [version, last_seen] : found->second) {
      ages[version] = now - last_seen;
    }
  }
  return ages;
}

bool KnowsAllRecentVersions(const StreamOrigins& origins,
                            const ServiceName& service,
                            Time now) {
  return origins.tracking_since &&
         (now - *origins.tracking_since >= kStreamRetention ||
          origins.completed.contains(service));
}

void AddVersions(StreamOrigins& origins,
                 const ServiceName& service,
                 const std::set<std::string>& versions,
                 bool is_complete,
                 Time now) {
  for (const std::string& version : versions) {
    origins.versions[service].insert_or_assign(version, now);
  }
  if (is_complete) {
    origins.completed.insert(service);
  }
}

// A version keeps its age: instances that restart one after the other would
// otherwise pass on a version that has left for good.
void AdoptVersions(StreamOrigins& origins,
                   const ServiceName& service,
                   const std::map<std::string, Duration>& ages,
                   Time now) {
  for (const auto& [version, age] : ages) {
    if (age < kStreamRetention) {
      Time& last_seen = origins.versions[service][version];
      last_seen = std::max(last_seen, now - age);
    }
  }
  origins.completed.insert(service);
}

std::set<ServiceName> MixedServices(const StreamOrigins& origins) {
  std::set<ServiceName> mixed;
  for (const auto& [service, versions] : origins.versions) {
    if (versions.size() > 1) {
      mixed.insert(service);
    }
  }
  return mixed;
}

std::vector<KeyedOrigin> StreamsOf(const StreamOrigins& origins,
                                   const std::set<ServiceName>& services,
                                   bool began_here_only) {
  std::vector<KeyedOrigin> streams;
  for (const auto& [key, stream] : origins.streams) {
    if (services.contains(stream.origin.service) &&
        (stream.began_here || !began_here_only)) {
      streams.emplace_back(key, stream.origin);
    }
  }
  return streams;
}

std::vector<InstanceName> ChooseHolders(StreamKey key,
                                        std::span<const InstanceName> instances,
                                        size_t count) {
  std::vector<std::pair<uint64_t, const InstanceName*>> weighted;
  for (const InstanceName& instance : instances) {
    weighted.emplace_back(StableHash(instance.value, key), &instance);
  }
  count = std::min(count, weighted.size());
  std::partial_sort(
      weighted.begin(), weighted.begin() + static_cast<long>(count),
      weighted.end(), [](const auto& a, const auto& b) {
        return std::pair(a.first, *a.second) > std::pair(b.first, *b.second);
      });
  std::vector<InstanceName> holders;
  for (size_t i = 0; i < count; ++i) {
    holders.push_back(*weighted[i].second);
  }
  return holders;
}

void ExpireOrigins(StreamOrigins& origins, Time now) {
  while (!origins.by_age.empty() &&
         now - origins.by_age.front().first >= kStreamRetention) {
    DropOldest(origins);
  }
  for (auto& [service, versions] : origins.versions) {
    std::erase_if(versions, [&](const auto& version) {
      return now - version.second >= kStreamRetention;
    });
  }
}

}  // namespace pomeloring
