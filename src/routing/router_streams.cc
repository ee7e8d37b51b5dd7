#include <utility>

#include "routing/router.h"

namespace pomeloring {

bool Router::RecordStreamBegin(StreamKey key,
                               const PlacedAttempt& attempt,
                               Time now) {
  RecordOrigin(
      m_origins,
      {key, {attempt.service, attempt.upstream->record.software_version}}, true,
      now);
  return RecentVersions(m_origins, attempt.service).size() > 1;
}

void Router::ApplyOrigins(std::span<const KeyedOrigin> streams, Time now) {
  for (const KeyedOrigin& stream : streams) {
    RecordOrigin(m_origins, stream, false, now);
  }
}

void Router::ApplyLoggedOrigins(std::span<const KeyedOrigin> streams,
                                Time now) {
  for (const KeyedOrigin& stream : streams) {
    RecordLoggedOrigin(m_origins, stream, now);
  }
}

void Router::ApplyVersions(const ServiceName& service,
                           const std::set<std::string>& versions,
                           bool is_complete,
                           Time now) {
  const bool was_mixed = RecentVersions(m_origins, service).size() > 1;
  AddVersions(m_origins, service, versions, is_complete, now);
  SendOriginsIfNewlyMixed(service, was_mixed);
}

void Router::AdoptVersions(const ServiceName& service,
                           const std::map<std::string, Duration>& ages,
                           Time now) {
  const bool was_mixed = RecentVersions(m_origins, service).size() > 1;
  pomeloring::AdoptVersions(m_origins, service, ages, now);
  SendOriginsIfNewlyMixed(service, was_mixed);
}

void Router::SendOriginsIfNewlyMixed(const ServiceName& service,
                                     bool was_mixed) {
  if (!was_mixed && RecentVersions(m_origins, service).size() > 1) {
    const auto streams = StreamsOf(m_origins, {service}, true);
    m_origins_to_send.insert(m_origins_to_send.end(), streams.begin(),
                             streams.end());
  }
}

void Router::SetVersionShares(const ServiceName& service,
                              VersionShares shares) {
  m_version_shares[service] = std::move(shares);
}

bool Router::FollowsShares(StreamKey key,
                           const ServiceName& service,
                           const std::string& version,
                           Time now) const {
  const auto shares = m_version_shares.find(service);
  if (shares != m_version_shares.end() &&
      AssignedVersion(key, shares->second) == version) {
    return true;
  }
  return RecentVersions(m_origins, service).size() <= 1 &&
         KnowsAllRecentVersions(m_origins, service, now);
}

std::map<std::string, size_t> Router::VersionCounts(
    const ServiceName& service) const {
  std::map<std::string, size_t> counts;
  if (const auto found = m_by_service.find(service);
      found != m_by_service.end()) {
    for (const UpstreamState* state : found->second) {
      if (!state->record.draining) {
        ++counts[state->record.software_version];
      }
    }
  }
  return counts;
}

std::vector<UpstreamState*> Router::AssignedCandidates(
    const AttemptRequest& request,
    std::span<UpstreamState* const> candidates) const {
  std::vector<UpstreamState*> assigned(candidates.begin(), candidates.end());
  const auto shares = m_version_shares.find(request.service);
  if (request.stream_key && shares != m_version_shares.end()) {
    const std::string version =
        AssignedVersion(*request.stream_key, shares->second);
    std::erase_if(assigned, [&](const UpstreamState* candidate) {
      return candidate->record.software_version != version;
    });
  }
  return assigned;
}

VersionSets Router::RegisteredVersions() const {
  VersionSets registered;
  for (const auto& [name, state] : m_states) {
    registered[state->record.service].insert(state->record.software_version);
  }
  return registered;
}

std::vector<KeyedOrigin> Router::TakeOriginsToSend() {
  return std::exchange(m_origins_to_send, {});
}

void Router::UpdateVersions(Time now) {
  std::vector<StreamOrigin> registered;
  for (const auto& [name, state] : m_states) {
    registered.push_back(
        {state->record.service, state->record.software_version});
  }
  RecordVersionsOf(registered, now);
  ExpireOrigins(m_origins, now);
}

// One that came and went within a batch of changes, as after a suspension, is
// not among the registrations, but others may have begun streams at it.
void Router::RecordChangedVersions(std::span<const UpstreamChange> changes,
                                   Time now) {
  std::vector<StreamOrigin> registered;
  for (const UpstreamChange& change : changes) {
    if (change.record && change.offset >= m_table.as_of) {
      registered.push_back(
          {change.record->service, change.record->software_version});
    }
  }
  RecordVersionsOf(registered, now);
}

void Router::RecordVersionsOf(std::span<const StreamOrigin> registered,
                              Time now) {
  const auto mixed = RecordVersions(m_origins, registered, now);
  if (!mixed.empty()) {
    const auto streams = StreamsOf(m_origins, mixed, true);
    m_origins_to_send.insert(m_origins_to_send.end(), streams.begin(),
                             streams.end());
  }
}

}  // namespace pomeloring
