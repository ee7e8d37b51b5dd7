#include "routing/version_history.h"

#include <algorithm>
#include <unordered_map>

namespace pomeloring {
namespace {

// Records have no time. Upstreams write their registration about once a second;
// this is taken as the shortest time between two renewals, so that the age of a
// record is never overestimated.
constexpr Duration kMinRenewalInterval = milliseconds(750);
// The longest time between renewals, which bounds how many records are read.
constexpr double kMaxRenewalsPerS = 1.5;
// An upstream serves on for this long after its last record, until its
// registration expires everywhere.
constexpr Duration kRegistrationSlack = seconds(3);
// Records of an upstream beside its renewals: it starts to drain, and leaves.
constexpr uint64_t kOtherRecords = 2;

// Bounds from below the time that the records counted so far took to write.
// One upstream that writes more often than the others counts for nothing.
class RenewalCount {
 public:
  void Add(const UpstreamName& id) {
    const uint64_t count = ++m_counts[id];
    if (id == m_most_of) {
      m_most = count;
    } else if (count > m_most) {
      m_second = m_most;
      m_most = count;
      m_most_of = id;
    } else {
      m_second = std::max(m_second, count);
    }
  }

  Duration ElapsedAtLeast() const {
    const uint64_t records = m_counts.size() > 1 ? m_second : m_most;
    return records <= kOtherRecords + 1
               ? Duration{0}
               : static_cast<int64_t>(records - kOtherRecords - 1) *
                     kMinRenewalInterval;
  }

 private:
  std::unordered_map<UpstreamName, uint64_t> m_counts;
  UpstreamName m_most_of;
  uint64_t m_most = 0;
  uint64_t m_second = 0;
};

// Removals are of the service and version that the upstream had before.
std::vector<const UpstreamRecord*> RecordsInForce(
    std::span<const UpstreamChange> records) {
  std::vector<const UpstreamRecord*> in_force;
  std::unordered_map<UpstreamName, const UpstreamRecord*> last;
  for (const UpstreamChange& change : records) {
    const UpstreamRecord*& known = last[change.id];
    if (change.record) {
      known = &*change.record;
    }
    in_force.push_back(known);
  }
  return in_force;
}

}  // namespace

std::map<ServiceName, Duration> StreamLifetimes(const RoutingConfig& config) {
  std::map<ServiceName, Duration> lifetimes;
  for (const Route& route : config.routes) {
    if (!route.resumable || route.kind != RouteKind::kStreaming) {
      continue;
    }
    for (const WeightedService& weighted : route.services) {
      Duration& lifetime = lifetimes[weighted.service];
      lifetime =
          std::max(lifetime, route.timeout.count() > 0
                                 ? std::min(route.timeout, kMaxStreamLifetime)
                                 : kMaxStreamLifetime);
    }
  }
  return lifetimes;
}

uint64_t RecordsToRead(size_t upstreams, Duration lifetime) {
  const Duration covered =
      lifetime + kRegistrationSlack +
      static_cast<int64_t>(kOtherRecords + 2) * kMinRenewalInterval;
  // As many renewals as AssessHistory() asks for, each second of them with the
  // records of all upstreams.
  const double renewals = static_cast<double>(covered.count()) /
                          static_cast<double>(kMinRenewalInterval.count());
  return static_cast<uint64_t>(
      kMaxRenewalsPerS * renewals *
      static_cast<double>(std::max<size_t>(upstreams, 1)));
}

// A version counts until so many renewals follow its last record that all its
// streams have ended. After a restore of the store, records are missing
// somewhere in the history: it is complete only from a position on that an
// instance knew all versions at, and that is of the time after the restore.
std::map<ServiceName, ServiceHistory> AssessHistory(
    std::span<const UpstreamChange> records,
    LogOffset first,
    const std::map<ServiceName, Duration>& lifetimes,
    const std::map<ServiceName, LogOffset>& known_up_to) {
  std::map<ServiceName, ServiceHistory> assessed;
  const auto in_force = RecordsInForce(records);
  RenewalCount renewals;
  for (size_t i = records.size(); i-- > 0;) {
    const Duration age = renewals.ElapsedAtLeast();
    const UpstreamRecord* record = in_force[i];
    renewals.Add(records[i].id);
    if (record == nullptr) {
      continue;
    }
    const auto lifetime = lifetimes.find(record->service);
    if (lifetime != lifetimes.end() &&
        age < lifetime->second + kRegistrationSlack) {
      assessed[record->service].versions.insert(record->software_version);
    }
  }
  const bool has_all = first.value == 0;
  const bool was_restored = RestoresBefore(first) > 0;
  for (const auto& [service, lifetime] : lifetimes) {
    const auto known = known_up_to.find(service);
    const bool continues_known =
        known != known_up_to.end() && known->second >= first &&
        RestoresBefore(known->second) == RestoresBefore(first);
    const bool is_long_enough =
        has_all || renewals.ElapsedAtLeast() >= lifetime + kRegistrationSlack;
    assessed[service].is_complete =
        continues_known || (!was_restored && is_long_enough);
  }
  return assessed;
}

}  // namespace pomeloring
