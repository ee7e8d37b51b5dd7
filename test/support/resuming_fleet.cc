#include "support/resuming_fleet.h"

#include <fmt/format.h>

namespace pomeloring {
namespace {

const ServiceName kService{"engines"};
constexpr size_t kHolders = 3;
constexpr size_t kAskedHolders = 5;

}  // namespace

ResumingFleet::ResumingFleet(size_t instances) {
  for (size_t i = 0; i < instances; ++i) {
    m_instances.push_back({{fmt::format("i{}", i)}, {}});
    m_index[m_instances.back().name] = i;
  }
}

std::vector<InstanceName> ResumingFleet::Names() const {
  std::vector<InstanceName> names;
  for (const Instance& instance : m_instances) {
    names.push_back(instance.name);
  }
  return names;
}

void ResumingFleet::SetVersions(std::set<std::string> serving) {
  m_serving = std::move(serving);
  for (Instance& instance : m_instances) {
    Observe(instance);
  }
}

void ResumingFleet::Observe(Instance& instance) {
  std::vector<StreamOrigin> registered;
  for (const std::string& version : m_serving) {
    registered.push_back({kService, version});
  }
  RecordVersions(instance.origins, registered, m_now);
  ExpireOrigins(instance.origins, m_now);
}

void ResumingFleet::BeginStream(uint64_t random) {
  if (m_serving.empty()) {
    return;
  }
  auto version = m_serving.begin();
  std::advance(version, random % m_serving.size());
  Instance& instance = m_instances[random / 7 % m_instances.size()];
  const Stream stream{StreamKeyOf(fmt::format("r{}", ++m_begun)), *version};
  m_streams.push_back(stream);
  const KeyedOrigin origin{stream.key, {kService, stream.version}};
  RecordOrigin(instance.origins, origin, true, m_now);
  if (RecentVersions(instance.origins, kService).size() > 1) {
    for (const auto& holder : ChooseHolders(stream.key, Names(), kHolders)) {
      RecordOrigin(m_instances[m_index[holder]].origins, origin, false, m_now);
    }
  }
}

void ResumingFleet::EndOldest() {
  if (!m_streams.empty()) {
    m_streams.erase(m_streams.begin());
  }
}

void ResumingFleet::Kill(size_t instance) {
  m_instances[instance].origins = {};
  Observe(m_instances[instance]);
}

void ResumingFleet::KillAll() {
  for (size_t i = 0; i < m_instances.size(); ++i) {
    Kill(i);
  }
}

void ResumingFleet::Resume(size_t stream, size_t instance) {
  const Stream& resumed = m_streams[stream];
  const StreamOrigins& known = m_instances[instance].origins;
  StreamOriginReport report = ReportOrigin(known, resumed.key, kService);
  if (!report.origin && (report.recent_versions.size() > 1 ||
                         !KnowsAllRecentVersions(known, m_now))) {
    for (const auto& holder :
         ChooseHolders(resumed.key, Names(), kAskedHolders)) {
      MergeReport(report, ReportOrigin(m_instances[m_index[holder]].origins,
                                       resumed.key, kService));
    }
  }
  const auto resolved = ResolveOrigin(report, kService);
  const auto* origin = std::get_if<StreamOrigin>(&resolved);
  if (origin != nullptr && m_serving.contains(origin->software_version)) {
    ++(origin->software_version == resumed.version ? m_counts.continued
                                                   : m_counts.joined);
  } else {
    ++(m_serving.contains(resumed.version) ? m_counts.refused
                                           : m_counts.unserved);
  }
}

void ResumingFleet::Step() {
  m_now += kFleetStep;
  for (Instance& instance : m_instances) {
    Observe(instance);
  }
}

}  // namespace pomeloring
