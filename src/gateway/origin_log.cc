#include "gateway/origin_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <random>

#include "gateway/origin_record.h"
#include "link/clock.h"
#include "link/sleep.h"
#include "routing/version_history.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;

constexpr char kOriginsTopic[] = "pomeloring.stream-origins";
constexpr char kVersionsTopic[] = "pomeloring.service-versions";
// In larger fleets a few instances read the log for all.
constexpr size_t kSmallFleet = 16;
// An instance that has run for longer knows all versions itself.
constexpr Duration kYouth = seconds(60);
// Before the first read. Instances that all start at once learn by then that
// others read for them, and do not read at the same moment.
constexpr int kMaxReadDelayMs = 200;
constexpr milliseconds kRoleCheckInterval{50};
// A caller waits for the read.
constexpr milliseconds kReadPollInterval{10};
constexpr milliseconds kMinRetryDelay{250};
constexpr milliseconds kMaxRetryDelay{1000};
constexpr Duration kVersionsCheckInterval = milliseconds(200);
// A record of versions is appended for each step of a release.
constexpr uint64_t kMaxVersionRecords = 256;
// Of what this instance knows, while the history of the registrations is
// partial: less than the shortest retention of the log, so that one record is
// always there.
constexpr Duration kKnownVersionsInterval = seconds(5);
// The time of day may have jumped by some seconds since a record was written.
constexpr Duration kMaxClockJump = seconds(10);
// Of one read; a page has several hundred KB.
constexpr int kMaxPages = 256;
// Of the newest records that are kept of one read. Records may be as large as
// the platform permits.
constexpr size_t kMaxVersionBytes = size_t{1024} * 1024;
// One minute of 10,000 streams a second, at 8 bytes each, is 4.8 MB.
constexpr size_t kMaxOriginBytes = size_t{8} * 1024 * 1024;
// Sent to holders at once; each datagram has a hundred.
constexpr size_t kStreamsPerBurst = 1000;
constexpr milliseconds kBurstInterval{20};

int RandomDelayMs() {
  std::minstd_rand random{std::random_device{}()};
  return std::uniform_int_distribution<int>(0, kMaxReadDelayMs)(random);
}

}  // namespace

OriginLog::OriginLog(OriginLogContext context)
    : m_context(std::move(context)), m_started_at(Now()) {}

const std::map<ServiceName, Duration>& OriginLog::Lifetimes() {
  const auto config = m_context.router.Config();
  if (config && m_lifetimes_of != config->version) {
    m_lifetimes_of = config->version;
    m_lifetimes = StreamLifetimes(*config);
  }
  return m_lifetimes;
}

// --- Appending ---------------------------------------------------------------

void OriginLog::Append(std::span<const KeyedOrigin> streams) {
  std::vector<InstanceName> instances = m_context.live_peers();
  if (instances.size() + 1 <= kSmallFleet) {
    AppendForPeer(streams);
    return;
  }
  const InstanceName& self = m_context.router.Settings().name;
  instances.push_back(self);
  const auto appenders = ChooseAppenders(instances);
  if (std::find(appenders.begin(), appenders.end(), self) != appenders.end()) {
    AppendForPeer(streams);
    return;
  }
  m_context.send_to_appender(
      appenders[StableHash(self.value) % appenders.size()], streams);
}

void OriginLog::AppendForPeer(std::span<const KeyedOrigin> streams) {
  const uint64_t dropped_before = m_queue.dropped;
  QueueOrigins(m_queue, streams, Now());
  if (m_queue.dropped != dropped_before) {
    CountEvent(m_context.metrics, "stream_origins_dropped");
  }
}

// All instances that hold an origin append it: the one that recorded it may
// have ended, and a datagram to an appender may be lost.
void OriginLog::RepeatAfterRestore(Time now) {
  const StreamOrigins& origins = m_context.router.Origins();
  const uint64_t restores = RestoresBefore(m_context.router.Upstreams().as_of);
  if (restores <= m_restores) {
    return;
  }
  m_restores = restores;
  m_recorded_versions.clear();
  m_versions_due_at = now;
  m_known_versions_due_at = now;
  const auto streams = StreamsOf(origins, MixedServices(origins), false);
  m_context.log.Write(LogLevel::kInfo, "origins-repeated",
                      {{"streams", std::to_string(streams.size())},
                       {"restores", std::to_string(restores)}});
  Append(streams);
}

void OriginLog::Tick(Time now) {
  RepeatAfterRestore(now);
  if (!m_is_appending && IsBatchDue(m_queue, now)) {
    m_is_appending = true;
    asio::co_spawn(m_context.context, AppendBatch(), asio::detached);
  }
  if (m_is_appending_versions || now < m_versions_due_at) {
    return;
  }
  m_versions_due_at = now + kVersionsCheckInterval;
  if (!Lifetimes().empty() && m_context.should_read_store()) {
    AppendVersionsIfDue(now);
  }
}

void OriginLog::AppendVersionsIfDue(Time now) {
  VersionSets registered = m_context.router.RegisteredVersions();
  std::erase_if(registered, [this](const auto& entry) {
    return !m_lifetimes.contains(entry.first);
  });
  VersionSets changed = TakeChangedVersions(
      m_recorded_versions, m_context.router.Origins(), registered);
  if (!changed.empty()) {
    m_is_appending_versions = true;
    asio::co_spawn(m_context.context, AppendVersions(std::move(changed)),
                   asio::detached);
    return;
  }
  const bool is_partial =
      m_context.is_history_partial() ||
      RestoresBefore(m_context.router.Upstreams().as_of) > 0;
  if (!is_partial || now < m_known_versions_due_at) {
    return;
  }
  if (VersionSets known = KnownVersions(now); !known.empty()) {
    m_known_versions_due_at = now + kKnownVersionsInterval;
    m_is_appending_versions = true;
    asio::co_spawn(m_context.context, AppendKnownVersions(std::move(known)),
                   asio::detached);
  }
}

VersionSets OriginLog::KnownVersions(Time now) {
  const StreamOrigins& origins = m_context.router.Origins();
  VersionSets known;
  for (const auto& [service, unused] : Lifetimes()) {
    if (KnowsAllRecentVersions(origins, service, now)) {
      known[service] = RecentVersions(origins, service);
    }
  }
  return known;
}

// An instance that starts later continues from the position, so that it does
// not need the history before. A failed append is tried again with what is
// known then.
asio::awaitable<void> OriginLog::AppendKnownVersions(VersionSets versions) {
  const VersionRecord record{Now(), std::move(versions),
                             m_context.router.Upstreams().as_of};
  if (!co_await AppendRecord(kVersionsTopic, EncodeVersionRecord(record))) {
    m_known_versions_due_at = Now() + kMaxRetryDelay;
  }
  m_is_appending_versions = false;
}

asio::awaitable<void> OriginLog::AppendBatch() {
  std::vector<KeyedOrigin> batch = TakeBatch(m_queue, Now());
  const bool was_appended =
      co_await AppendRecord(kOriginsTopic, EncodeOriginBatch(batch, Now()));
  CompleteBatch(m_queue, std::move(batch), was_appended, Now());
  m_is_appending = false;
}

asio::awaitable<bool> OriginLog::AppendNow(
    std::span<const KeyedOrigin> streams) {
  return AppendRecord(kOriginsTopic, EncodeOriginBatch(streams, Now()));
}

// A set of versions that could not be appended is tried again as a new one.
asio::awaitable<void> OriginLog::AppendVersions(VersionSets versions) {
  const VersionRecord record{Now(), versions};
  if (!co_await AppendRecord(kVersionsTopic, EncodeVersionRecord(record))) {
    for (const auto& [service, unused] : versions) {
      m_recorded_versions.erase(service);
    }
    m_versions_due_at = Now() + kMaxRetryDelay;
  }
  m_is_appending_versions = false;
}

asio::awaitable<bool> OriginLog::AppendRecord(std::string topic,
                                              std::string record) {
  const size_t bytes = record.size();
  const auto result =
      co_await m_context.shared_log.Append(topic, std::move(record), {});
  const bool was_appended = std::holds_alternative<LogAppended>(result);
  CountEvent(m_context.metrics, was_appended ? "origin_log_appends"
                                             : "origin_log_append_failures");
  // One line when appends begin to fail and one when they succeed again.
  if (was_appended == m_append_failed) {
    m_append_failed = !was_appended;
    const auto* refused = std::get_if<LogCallRefused>(&result);
    m_context.log.Write(
        was_appended ? LogLevel::kInfo : LogLevel::kWarning,
        was_appended ? "origin-log-regained" : "origin-log-lost",
        {{"topic", topic},
         {"bytes", std::to_string(bytes)},
         {"status", std::to_string(refused ? refused->status : 0)},
         {"waiting", std::to_string(m_queue.waiting.size())}});
  }
  co_return was_appended;
}

// --- Reading -----------------------------------------------------------------

bool OriginLog::IsReadUseful(Time now) {
  return now - m_started_at < kYouth && !Lifetimes().empty();
}

bool OriginLog::ReadsForAll() const {
  return m_context.live_peers().size() + 1 <= kSmallFleet ||
         m_context.should_read_store();
}

asio::awaitable<void> OriginLog::ReadAfterStart() {
  co_await SleepFor(milliseconds(RandomDelayMs()));
  while (m_read_state == ReadState::kNotRead && Now() - m_started_at < kYouth) {
    if (m_context.router.IsReady() && !Lifetimes().empty() && ReadsForAll()) {
      StartReading();
    }
    co_await SleepFor(kRoleCheckInterval);
  }
}

asio::awaitable<void> OriginLog::AwaitRead(Duration max_wait) {
  if (m_read_state == ReadState::kNotRead) {
    StartReading();
  }
  const auto deadline = Now() + max_wait;
  while (m_read_state == ReadState::kReading && Now() < deadline) {
    co_await SleepFor(kReadPollInterval);
  }
}

void OriginLog::StartReading() {
  if (IsReadUseful(Now())) {
    m_read_state = ReadState::kReading;
    asio::co_spawn(m_context.context, Read(), asio::detached);
  }
}

asio::awaitable<void> OriginLog::Read() {
  milliseconds retry_delay = kMinRetryDelay;
  bool has_origins = false;
  bool has_versions = false;
  bool has_history = false;
  while (IsReadUseful(Now())) {
    if (!has_origins) {
      const auto origins = co_await ReadOrigins();
      has_origins = origins.has_value();
    }
    has_versions = has_versions || co_await ReadVersions();
    has_history = has_history || (has_versions && co_await ReadHistory());
    if (has_origins && has_versions && has_history) {
      break;
    }
    CountEvent(m_context.metrics, "origin_log_read_failures");
    co_await SleepFor(retry_delay);
    retry_delay = std::min(2 * retry_delay, kMaxRetryDelay);
  }
  m_read_state = ReadState::kRead;
  m_context.log.Write(
      LogLevel::kInfo, "origin-log-read",
      {{"origins", has_origins ? "true" : "false"},
       {"versions", has_versions ? "true" : "false"},
       {"history", has_history ? "true" : "false"},
       {"streams", std::to_string(m_context.router.Origins().streams.size())},
       {"after_ms", fmt::format("{:.0f}", ToMillis(Now() - m_started_at))}});
}

// Reads at least up to the table's position, from where on this instance has
// observed all changes itself.
asio::awaitable<bool> OriginLog::ReadHistory() {
  const auto& lifetimes = Lifetimes();
  const UpstreamTable& table = m_context.router.Upstreams();
  if (!table.is_complete || lifetimes.empty()) {
    co_return false;
  }
  Duration longest{0};
  for (const auto& [service, lifetime] : lifetimes) {
    longest = std::max(longest, lifetime);
  }
  const LogOffset target = table.as_of;
  const LogOffset begin_of_era{RestoresBefore(target) << kPositionOffsetBits};
  const uint64_t records = RecordsToRead(table.entries.size(), longest);
  LogOffset first{target.value - begin_of_era.value > records
                      ? target.value - records
                      : begin_of_era.value};
  LogOffset next = first;
  std::vector<UpstreamChange> changes;
  for (int pages = 0; pages < kMaxPages && next < target; ++pages) {
    const auto result = co_await m_context.store.Read(StoreTopic::kUpstreams,
                                                      next, milliseconds(0));
    if (const auto* expired = std::get_if<HistoryExpired>(&result);
        expired != nullptr && expired->first_retained &&
        *expired->first_retained > next) {
      changes.clear();
      first = next = *expired->first_retained;
      continue;
    }
    const auto* page = std::get_if<StorePage>(&result);
    if (page == nullptr || page->end <= next) {
      co_return false;
    }
    next = page->end;
    for (const StoreEntry& entry : page->entries) {
      UpstreamChange change{{entry.key}, entry.offset, std::nullopt, {}};
      if (entry.value) {
        auto read = m_context.codec.read_upstream(entry.key, *entry.value);
        if (auto* record = std::get_if<UpstreamRecord>(&read)) {
          change.record = std::move(*record);
        }
      }
      changes.push_back(std::move(change));
    }
  }
  if (next < target) {
    co_return false;
  }
  const auto assessed =
      AssessHistory(changes, first, Lifetimes(), m_known_up_to);
  for (const auto& [service, history] : assessed) {
    m_context.router.ApplyVersions(service, history.versions,
                                   history.is_complete, Now());
    m_context.log.Write(LogLevel::kInfo, "version-history-read",
                        {{"service", service.value},
                         {"versions", std::to_string(history.versions.size())},
                         {"complete", history.is_complete ? "true" : "false"},
                         {"records", std::to_string(changes.size())},
                         {"first", std::to_string(first.value)}});
  }
  co_return true;
}

asio::awaitable<bool> OriginLog::ReadVersions() {
  const auto tail =
      co_await ReadTail(kVersionsTopic, kMaxVersionRecords, kMaxVersionBytes);
  if (!tail) {
    co_return false;
  }
  const Time now = Now();
  for (const SharedLogRecord& record : tail->records) {
    const auto versions = DecodeVersionRecord(record.bytes);
    if (!versions) {
      CountEvent(m_context.metrics, "origin_records_ignored");
      continue;
    }
    if (now - versions->written_at >= kYouth + kMaxClockJump) {
      continue;
    }
    for (const auto& [service, served] : versions->services) {
      m_context.router.ApplyVersions(service, served, false, now);
      LogOffset& known_up_to = m_known_up_to[service];
      known_up_to = std::max(known_up_to, versions->complete_as_of);
    }
  }
  co_return true;
}

asio::awaitable<std::optional<LoggedOrigins>> OriginLog::ReadOrigins() {
  const auto tail =
      co_await ReadTail(kOriginsTopic, kMaxBatchesToRead, kMaxOriginBytes);
  if (!tail) {
    co_return std::nullopt;
  }
  LoggedOrigins logged;
  if (!tail->is_whole) {
    logged.complete_since = Now();
    CountEvent(m_context.metrics, "origin_log_reads_in_part");
  }
  const bool reads_for_all = m_context.live_peers().size() + 1 > kSmallFleet &&
                             m_context.should_read_store();
  std::vector<KeyedOrigin> streams;
  for (const SharedLogRecord& record : tail->records) {
    const auto batch = DecodeOriginBatch(record.bytes);
    if (!batch) {
      CountEvent(m_context.metrics, "origin_records_ignored");
      continue;
    }
    if (batch->written_at != Time{}) {
      logged.complete_since =
          std::min(logged.complete_since, batch->written_at);
    }
    if (batch->written_at != Time{} &&
        Now() - batch->written_at > kStreamRetention + kMaxClockJump) {
      continue;  // Nobody takes these up any more.
    }
    AddLogged(logged, batch->streams);
    m_context.router.ApplyLoggedOrigins(batch->streams, Now());
    if (reads_for_all) {
      streams.insert(streams.end(), batch->streams.begin(),
                     batch->streams.end());
    }
  }
  SortLogged(logged);
  if (reads_for_all) {
    asio::co_spawn(m_context.context, SendToHolders(std::move(streams)),
                   asio::detached);
  }
  co_return logged;
}

asio::awaitable<std::optional<OriginLog::Tail>>
OriginLog::ReadTail(std::string topic, uint64_t max_records, size_t max_bytes) {
  LogOffset next{0};
  Tail tail;
  std::deque<SharedLogRecord>& records = tail.records;
  size_t bytes = 0;
  bool at_tail = false;
  for (int pages = 0; pages < kMaxPages; ++pages) {
    auto result =
        co_await m_context.shared_log.Read(topic, next, milliseconds(0));
    if (const auto* expired = std::get_if<SharedLogExpired>(&result);
        expired != nullptr && expired->first_retained > next) {
      records.clear();
      bytes = 0;
      next = expired->first_retained;
      continue;
    }
    auto* page = std::get_if<SharedLogPage>(&result);
    if (page == nullptr) {
      co_return std::nullopt;
    }
    if (page->records.empty()) {
      co_return tail;
    }
    const LogOffset first = page->records.front().position;
    if (!at_tail && page->end.value - first.value > max_records) {
      at_tail = true;
      tail.is_whole = false;
      next = {page->end.value - max_records};
      continue;
    }
    next = {page->records.back().position.value + 1};
    for (SharedLogRecord& record : page->records) {
      bytes += record.bytes.size();
      records.push_back(std::move(record));
    }
    while (bytes > max_bytes) {
      bytes -= records.front().bytes.size();
      records.pop_front();
      tail.is_whole = false;
    }
    if (next >= page->end) {
      co_return tail;
    }
  }
  co_return std::nullopt;
}

asio::awaitable<void> OriginLog::SendToHolders(
    std::vector<KeyedOrigin> streams) {
  for (size_t at = 0; at < streams.size(); at += kStreamsPerBurst) {
    m_context.send_to_holders(std::span(streams).subspan(
        at, std::min(kStreamsPerBurst, streams.size() - at)));
    co_await SleepFor(kBurstInterval);
  }
}

}  // namespace pomeloring
