#include "support/resuming_fleet.h"

#include <fmt/format.h>

#include <algorithm>

#include "routing/version_history.h"

namespace pomeloring {
namespace {

const ServiceName kService{"engines"};
constexpr size_t kHolders = 3;
constexpr size_t kAskedHolders = 5;
constexpr size_t kSmallFleet = 16;
constexpr size_t kReaders = 2;
constexpr int kUpstreams = 3;  // Of each version.

}  // namespace

ResumingFleet::ResumingFleet(size_t instances) {
  for (size_t i = 0; i < instances; ++i) {
    m_names.push_back({fmt::format("i{}", i)});
    m_instances.push_back({m_names.back()});
    m_index[m_names.back()] = i;
  }
  m_appenders = ChooseAppenders(m_names);
}

// An upstream that leaves removes its registration.
void ResumingFleet::SetVersions(std::set<std::string> serving) {
  if (!m_log_available) {
    return;
  }
  for (const std::string& version : m_serving) {
    for (int i = 0; i < kUpstreams && !serving.contains(version); ++i) {
      m_registrations.records.push_back(
          {m_now, {{fmt::format("{}-{}", version, i)}, {}, std::nullopt, {}}});
    }
  }
  m_serving = std::move(serving);
  RenewRegistrations(true);
  for (Instance& instance : m_instances) {
    if (!instance.is_frozen) {
      Observe(instance);
    }
  }
}

void ResumingFleet::RenewRegistrations(bool all) {
  const auto step = m_now.time_since_epoch() / kFleetStep;
  for (const std::string& version : m_serving) {
    for (int i = 0; i < kUpstreams; ++i) {
      if (all || (step + i) % (seconds(1) / kFleetStep) == 0) {
        UpstreamRecord record{{fmt::format("{}-{}", version, i)}, kService};
        record.software_version = version;
        m_registrations.records.push_back({m_now, {record.id, {}, record, {}}});
      }
    }
  }
}

void ResumingFleet::Observe(Instance& instance) {
  if (!instance.has_table) {
    const bool has_peer =
        std::any_of(m_instances.begin(), m_instances.end(),
                    [](const Instance& each) { return each.has_table; });
    instance.has_table = m_log_available || has_peer;
    if (!instance.has_table) {
      return;
    }
  }
  std::vector<StreamOrigin> registered;
  for (const std::string& version : m_serving) {
    registered.push_back({kService, version});
  }
  const auto& [records, removed] = m_registrations;
  for (size_t i = std::max(instance.observed, removed) - removed;
       i < records.size(); ++i) {
    if (const auto& record = records[i].second.record) {
      registered.push_back({kService, record->software_version});
    }
  }
  instance.observed = removed + records.size();
  const auto mixed = RecordVersions(instance.origins, registered, m_now);
  Tell(instance, StreamsOf(instance.origins, mixed, true));
  ExpireOrigins(instance.origins, m_now);
}

// Tells the holders, and has the streams appended to the log.
void ResumingFleet::Tell(Instance& instance,
                         std::span<const KeyedOrigin> streams) {
  for (const KeyedOrigin& stream : streams) {
    for (const auto& holder : ChooseHolders(stream.first, m_names, kHolders)) {
      RecordOrigin(m_instances[m_index[holder]].origins, stream, false, m_now);
    }
  }
  Instance* appender = &instance;
  if (m_instances.size() > kSmallFleet) {
    appender =
        &m_instances[m_index[m_appenders[StableHash(instance.name.value) %
                                         m_appenders.size()]]];
  }
  QueueOrigins(appender->queue, streams, m_now);
}

// As OriginLog::RepeatAfterRestore().
void ResumingFleet::RepeatAfterRestore(Instance& instance) {
  if (instance.has_table && m_log_available && instance.era < m_era) {
    instance.era = m_era;
    QueueOrigins(
        instance.queue,
        StreamsOf(instance.origins, MixedServices(instance.origins), false),
        m_now);
  }
}

void ResumingFleet::AppendIfDue(Instance& instance) {
  if (!IsBatchDue(instance.queue, m_now)) {
    return;
  }
  auto batch = TakeBatch(instance.queue, m_now);
  const AppendFate fate = m_log_available ? m_next_append : AppendFate::kLost;
  m_next_append = AppendFate::kDone;
  ++m_append_count;
  if (fate == AppendFate::kDone) {
    m_batches.records.push_back({m_now, batch});
  } else if (fate == AppendFate::kLate) {
    m_late_batches.push_back({m_now + seconds(2), batch});
  }
  CompleteBatch(instance.queue, std::move(batch), fate == AppendFate::kDone,
                m_now);
}

bool ResumingFleet::ReadsAtStart(const Instance& instance) const {
  return m_instances.size() <= kSmallFleet ||
         m_index.at(instance.name) < kReaders;
}

// As OriginLog does.
void ResumingFleet::ReadLog(Instance& instance) {
  if (instance.has_read_log || !instance.has_table || !m_log_available) {
    return;
  }
  instance.has_read_log = true;
  for (const auto& [appended_at, batch] : m_batches.records) {
    for (const KeyedOrigin& stream : batch) {
      RecordLoggedOrigin(instance.origins, stream, m_now);
    }
  }
  std::vector<UpstreamChange> changes;
  for (const auto& [written_at, change] : m_registrations.records) {
    changes.push_back(change);
  }
  const LogOffset first{m_era << kPositionOffsetBits | m_registrations.removed};
  for (const auto& [service, history] :
       AssessHistory(changes, first, {{kService, kStreamLifetime}})) {
    AddVersions(instance.origins, service, history.versions,
                history.is_complete, m_now);
  }
}

void ResumingFleet::CompactLog() {
  m_registrations.removed += m_registrations.records.size();
  m_registrations.records.clear();
}

// As VersionInquiry does, of one peer each time.
void ResumingFleet::AskForVersions(Instance& instance) {
  if (!instance.has_table ||
      KnowsAllRecentVersions(instance.origins, kService, m_now)) {
    return;
  }
  const auto step = static_cast<size_t>(m_now.time_since_epoch() / kFleetStep);
  const Instance& peer =
      m_instances[(m_index.at(instance.name) + step) % m_instances.size()];
  if (!peer.is_frozen &&
      KnowsAllRecentVersions(peer.origins, kService, m_now)) {
    AdoptVersions(instance.origins, kService,
                  VersionAges(peer.origins, kService, m_now), m_now);
  }
}

void ResumingFleet::RestoreLog(Duration lost) {
  const auto truncate = [&](auto& topic) {
    std::erase_if(topic.records, [&](const auto& record) {
      return record.first > m_now - lost;
    });
  };
  truncate(m_registrations);
  truncate(m_batches);
  for (Instance& instance : m_instances) {
    instance.observed =
        std::min(instance.observed,
                 m_registrations.removed + m_registrations.records.size());
  }
  ++m_era;
}

void ResumingFleet::BeginStream(uint64_t random) {
  if (m_serving.empty()) {
    return;
  }
  auto version = m_serving.begin();
  std::advance(version, random % m_serving.size());
  Instance& instance = m_instances[random / 7 % m_instances.size()];
  if (!instance.has_table || instance.is_frozen) {
    return;
  }
  const Stream stream{StreamKeyOf(fmt::format("r{}", ++m_begun)), *version,
                      m_now};
  m_streams.push_back(stream);
  const KeyedOrigin origin{stream.key, {kService, stream.version}};
  RecordOrigin(instance.origins, origin, true, m_now);
  if (RecentVersions(instance.origins, kService).size() > 1) {
    Tell(instance, {&origin, 1});
  }
}

void ResumingFleet::EndOldest() {
  if (!m_streams.empty()) {
    m_streams.erase(m_streams.begin());
  }
}

void ResumingFleet::Freeze(size_t instance) {
  m_instances[instance].is_frozen = true;
}

void ResumingFleet::Wake(size_t instance) {
  m_instances[instance].is_frozen = false;
}

void ResumingFleet::Kill(size_t instance) {
  m_instances[instance] = {m_names[instance]};
  Observe(m_instances[instance]);
}

// No instance gets the table from another that is killed too.
void ResumingFleet::KillAll() {
  for (size_t i = 0; i < m_instances.size(); ++i) {
    m_instances[i] = {m_names[i]};
  }
}

void ResumingFleet::Resume(size_t stream, size_t instance) {
  const Stream& resumed = m_streams[stream];
  Instance& asked = m_instances[instance];
  const auto ask = [&](const Instance& each) {
    return ReportOrigin(each.origins, resumed.key, kService, m_now);
  };
  // It has not read anything yet when its caller's request is served.
  asked.is_frozen = false;
  StreamOriginReport report = ask(asked);
  if (!report.origin && report.recent_versions.size() <= 1 && m_log_available) {
    Observe(asked);
    report = ask(asked);
    report.is_current = true;
  }
  if (IsOpen(report)) {
    bool have_all_replied = true;
    for (const auto& holder :
         ChooseHolders(resumed.key, m_names, kAskedHolders)) {
      const Instance& peer = m_instances[m_index[holder]];
      have_all_replied &= !peer.is_frozen;
      if (!peer.is_frozen) {
        MergeReport(report, ask(peer));
      }
    }
    report.is_current |= have_all_replied;
  }
  if (IsOpen(report)) {
    ReadLog(asked);
    MergeReport(report, ask(asked));
  }
  const auto resolved = ResolveOrigin(report, kService);
  const auto* origin = std::get_if<StreamOrigin>(&resolved);
  if (asked.has_table && origin != nullptr &&
      m_serving.contains(origin->software_version)) {
    ++(origin->software_version == resumed.version ? m_counts.continued
                                                   : m_counts.joined);
  } else {
    ++(m_serving.contains(resumed.version) ? m_counts.refused
                                           : m_counts.unserved);
  }
}

void ResumingFleet::Step() {
  m_now += kFleetStep;
  if (m_log_available) {
    RenewRegistrations(false);
  }
  for (const auto& [at, batch] : m_late_batches) {
    if (at <= m_now) {
      m_batches.records.push_back({m_now, batch});
    }
  }
  const auto expire = [this](auto& topic) {
    topic.removed += std::erase_if(topic.records, [this](const auto& record) {
      return m_now - record.first > kLogRetention;
    });
  };
  std::erase_if(m_late_batches,
                [this](const auto& late) { return late.first <= m_now; });
  expire(m_registrations);
  expire(m_batches);
  std::erase_if(m_streams, [this](const Stream& stream) {
    return m_now - stream.began > kStreamLifetime;
  });
  for (Instance& instance : m_instances) {
    if (instance.is_frozen) {
      continue;
    }
    Observe(instance);
    AskForVersions(instance);
    if (ReadsAtStart(instance)) {
      ReadLog(instance);
    }
    RepeatAfterRestore(instance);
    AppendIfDue(instance);
  }
}

}  // namespace pomeloring
