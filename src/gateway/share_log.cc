#include "gateway/share_log.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "gateway/origin_record.h"
#include "link/clock.h"
#include "link/sleep.h"
#include "routing/version_history.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;

constexpr char kSharesTopic[] = "pomeloring.version-shares";
constexpr Duration kCheckInterval = milliseconds(200);
constexpr Duration kRetryDelay = milliseconds(250);
// Between changes, at least; an instance adds kPerInstance for each other one,
// so that all of them together stay far below the calls that the store permits.
constexpr Duration kChangeInterval = seconds(1);
constexpr Duration kPerInstance = milliseconds(10);
constexpr Duration kReadInterval = milliseconds(100);
constexpr milliseconds kAppendInterval{20};
constexpr milliseconds kAppendIntervalPerInstance{5};
constexpr milliseconds kAppendRetryDelay{250};
constexpr milliseconds kPollInterval{5};
constexpr size_t kMaxBatchStreams = 16'384;
// Of one service; an instance with more does not change its shares.
constexpr size_t kMaxRetained = 8;

std::string KeyPrefix(const InstanceName& instance) {
  return instance.value + "/";
}

}  // namespace

ShareLog::ShareLog(ShareLogContext context)
    : m_context(std::move(context)), m_started_at(Now()) {
  m_shares.instance = m_context.router.Settings().name;
}

// --- Recording ---------------------------------------------------------------

// Each process has keys of its own: a late write of an earlier one replaces
// nothing.
std::string ShareLog::Key() const {
  const RouterSettings& self = m_context.router.Settings();
  return fmt::format("{}{}/{}", KeyPrefix(self.name), self.incarnation.value,
                     m_key_sequence);
}

SharesByService ShareLog::DueShares() const {
  SharesByService due;
  for (const auto& [service, unused] :
       StreamLifetimes(*m_context.router.Config())) {
    VersionShares shares = SharesOf(m_context.router.VersionCounts(service));
    const auto active = m_shares.active.find(service);
    const auto retained = m_shares.retained.find(service);
    const bool is_full = retained != m_shares.retained.end() &&
                         retained->second.size() >= kMaxRetained;
    if (active != m_shares.active.end() && (shares.empty() || is_full)) {
      shares = active->second;
    }
    if (!shares.empty()) {
      due[service] = std::move(shares);
    }
  }
  return due;
}

Duration ShareLog::MaxStreamAge() const {
  Duration longest{0};
  for (const auto& [unused, lifetime] :
       StreamLifetimes(*m_context.router.Config())) {
    longest = std::max(longest, lifetime);
  }
  return longest + kStreamAgeSlack;
}

// While records of earlier processes count, the uptime in this one's tells how
// long they do.
bool ShareLog::IsRecordDue(const SharesByService& due) const {
  if (!m_was_recorded || m_is_open || !m_earlier_keys.empty() ||
      (!m_shares.retained.empty() && Now() >= m_shares.retained_until) ||
      m_recorded_restores !=
          RestoresBefore(m_context.router.Upstreams().as_of)) {
    return true;
  }
  return std::any_of(due.begin(), due.end(), [this](const auto& entry) {
    const auto active = m_shares.active.find(entry.first);
    return active == m_shares.active.end() || active->second != entry.second;
  });
}

void ShareLog::Tick(Time now) {
  if (m_is_updating || now < m_due_at || !m_context.router.IsReady()) {
    return;
  }
  m_due_at = now + kCheckInterval;
  auto due = DueShares();
  if (!due.empty() && IsRecordDue(due)) {
    m_is_updating = true;
    asio::co_spawn(m_context.context, Update(std::move(due)), asio::detached);
  }
}

// New shares are used only when a record of them stands beside the old ones,
// and the old ones are dropped from it only when the streams that began by them
// are in the log. After a restore of the log, those that it has lost are there
// again before the record says that it is of the time after it.
asio::awaitable<void> ShareLog::Update(SharesByService due) {
  const StreamOrigins& origins = m_context.router.Origins();
  const bool is_restored =
      m_recorded_restores != RestoresBefore(m_context.router.Upstreams().as_of);
  bool needs_all_streams = is_restored;
  bool was_put = co_await FindEarlierProcesses();
  for (const auto& [service, shares] : due) {
    if (!m_shares.active.contains(service)) {
      RetainVersions(m_shares, StreamsOf(origins, {service}, true), shares);
      needs_all_streams = true;
    }
  }
  if (needs_all_streams && MayLackStreams(origins, MaxStreamAge(), Now())) {
    m_open_until = std::max(m_open_until, *origins.dropped_at + MaxStreamAge());
  }
  if (was_put && is_restored) {
    was_put = co_await AppendStreamsOf(MixedServices(origins));
  }
  if (was_put) {
    was_put = co_await Put(CurrentRecord(due));
  }
  m_context.router.SetLogTakesOrigins(was_put);
  bool is_done = was_put;
  if (was_put) {
    ActivateShares(m_shares, due);
    for (auto& [service, shares] : due) {
      m_context.router.SetVersionShares(service, std::move(shares));
    }
    if (!m_shares.retained.empty()) {
      is_done = co_await AppendRetained();
    }
    co_await RemoveEarlierRecords();
  }
  const auto others = static_cast<int64_t>(m_context.live_peers().size());
  m_due_at =
      Now() + (is_done ? kChangeInterval + others * kPerInstance : kRetryDelay);
  m_is_updating = false;
}

// A process that finds no record of an earlier one may follow one of a version
// without such records.
asio::awaitable<bool> ShareLog::FindEarlierProcesses() {
  if (m_has_found_earlier) {
    co_return true;
  }
  const auto result = co_await m_context.shared_log.List(kSharesTopic);
  const auto* list = std::get_if<SharedLogList>(&result);
  if (list == nullptr) {
    co_return false;
  }
  const std::string prefix = KeyPrefix(m_context.router.Settings().name);
  for (const auto& [key, value] : list->values) {
    if (key.starts_with(prefix)) {
      m_earlier_keys.push_back(key);
      const auto record = DecodeShareRecord(value);
      m_shares.generation =
          std::max(m_shares.generation, record ? record->generation + 1 : 1);
    }
  }
  m_is_open = m_earlier_keys.empty() && !m_context.is_first_start;
  m_open_until = m_is_open ? m_started_at + MaxStreamAge() : Time{};
  m_has_found_earlier = true;
  co_return true;
}

ShareRecord ShareLog::CurrentRecord(const SharesByService& due) const {
  ShareRecord record = RecordOf(m_shares, due);
  record.restores = RestoresBefore(m_context.router.Upstreams().as_of);
  record.uptime = Now() - m_started_at;
  record.is_open = Now() <= m_open_until;
  return record;
}

// A write without a reply may take effect after later ones: those go to another
// key.
asio::awaitable<bool> ShareLog::Put(const ShareRecord& record) {
  const auto result = co_await m_context.shared_log.Put(
      kSharesTopic, Key(), EncodeShareRecord(record));
  if (std::holds_alternative<LogCallUnanswered>(result)) {
    m_earlier_keys.push_back(Key());
    ++m_key_sequence;
  }
  const bool was_put = std::holds_alternative<LogAppended>(result);
  CountEvent(m_context.metrics,
             was_put ? "version_share_records" : "version_share_failures");
  if (was_put) {
    m_was_recorded = true;
    m_recorded_restores = record.restores;
    m_is_open = record.is_open;
  }
  co_return was_put;
}

asio::awaitable<bool> ShareLog::AppendStreamsOf(
    std::set<ServiceName> services) {
  const auto streams = StreamsOf(m_context.router.Origins(), services, true);
  for (size_t at = 0; at < streams.size(); at += kMaxBatchStreams) {
    const std::span<const KeyedOrigin> batch(
        streams.data() + at, std::min(kMaxBatchStreams, streams.size() - at));
    const bool was_appended = co_await m_context.append_origins(batch);
    if (!was_appended) {
      co_return false;
    }
  }
  m_context.log.Write(LogLevel::kInfo, "share-streams-logged",
                      {{"services", std::to_string(services.size())},
                       {"streams", std::to_string(streams.size())}});
  co_return true;
}

// The shares leave the record once the streams that began by them are logged.
asio::awaitable<bool> ShareLog::AppendRetained() {
  std::set<ServiceName> changed;
  for (const auto& [service, unused] : m_shares.retained) {
    changed.insert(service);
  }
  const bool were_appended = co_await AppendStreamsOf(std::move(changed));
  if (!were_appended) {
    co_return false;
  }
  const bool were_dropped = DropRetainedShares(
      m_shares, m_context.router.Origins(), MaxStreamAge(), Now());
  if (!were_dropped) {
    CountEvent(m_context.metrics, "version_shares_kept_for_dropped_streams");
    co_return true;
  }
  m_was_recorded = false;
  co_return co_await Put(CurrentRecord({}));
}

asio::awaitable<void> ShareLog::RemoveEarlierRecords() {
  if (Now() - m_started_at <= MaxStreamAge()) {
    co_return;
  }
  while (!m_earlier_keys.empty()) {
    const auto result = co_await m_context.shared_log.Put(
        kSharesTopic, m_earlier_keys.back(), {});
    if (!std::holds_alternative<LogAppended>(result)) {
      co_return;
    }
    m_earlier_keys.pop_back();
  }
}

// --- Streams at other versions -----------------------------------------------

// Origins that arrive during an append share the next one. With one version,
// the shares are recorded soon, and nothing else need be.
asio::awaitable<bool> ShareLog::AppendOrigin(KeyedOrigin stream,
                                             Duration max_wait) {
  const Time until = Now() + max_wait;
  const Router& router = m_context.router;
  const auto& [key, origin] = stream;
  std::shared_ptr<bool> appended;
  while (Now() < until) {
    if ((appended && *appended) ||
        router.FollowsShares(key, origin.service, origin.software_version,
                             Now())) {
      co_return true;
    }
    const auto versions = RecentVersions(router.Origins(), origin.service);
    if (!appended && versions.size() > 1) {
      m_waiting.push_back(stream);
      appended = m_waiting_appended;
    }
    if (!appended) {
      const bool is_only_one = co_await HasOnlyVersion(stream);
      if (is_only_one) {
        co_return true;
      }
    }
    if (!m_waiting.empty() && !m_is_appending) {
      m_is_appending = true;
      asio::co_spawn(m_context.context, AppendWaiting(), asio::detached);
    }
    co_await SleepFor(kPollInterval);
  }
  co_return false;
}

// Peers may know it while the store is away, however old their registrations:
// what only others have registered is in the records of those.
asio::awaitable<bool> ShareLog::HasOnlyVersion(const KeyedOrigin& stream) {
  const auto& [key, origin] = stream;
  StreamOriginReport report =
      ReportOrigin(m_context.router.Origins(), key, origin.service, Now());
  if (report.recent_versions.size() <= 1 && !report.knows_all_versions) {
    MergeReport(report, co_await m_context.ask_peers(key, origin.service));
  }
  co_return report.recent_versions.size() <= 1 && report.knows_all_versions;
}

asio::awaitable<void> ShareLog::AppendWaiting() {
  while (!m_waiting.empty()) {
    const std::vector<KeyedOrigin> batch = std::exchange(m_waiting, {});
    const auto appended =
        std::exchange(m_waiting_appended, std::make_shared<bool>(false));
    const Time until = Now() + MaxStreamAge();
    while (!*appended && Now() < until) {
      const bool was_appended = co_await m_context.append_origins(batch);
      *appended = was_appended;
      m_context.router.SetLogTakesOrigins(was_appended);
      if (!was_appended) {
        co_await SleepFor(kAppendRetryDelay);
      }
    }
    const auto others = static_cast<int64_t>(m_context.live_peers().size());
    co_await SleepFor(kAppendInterval + others * kAppendIntervalPerInstance);
  }
  m_is_appending = false;
}

// --- Resolving ---------------------------------------------------------------

asio::awaitable<ShareLog::Resolution> ShareLog::Resolve(StreamKey key,
                                                        ServiceName service,
                                                        Time since,
                                                        Duration max_wait) {
  ++m_resolving;
  auto resolved =
      co_await ResolveByLog(key, std::move(service), since, Now() + max_wait);
  --m_resolving;
  FreeUnlessInUse();
  co_return resolved;
}

// What was read before the caller took the stream up may lack its origin, or
// shares by which it began. An origin that was read may have been dropped from
// memory since.
asio::awaitable<ShareLog::Resolution> ShareLog::ResolveByLog(
    StreamKey key,
    ServiceName service,
    Time since,
    Time until) {
  while (!m_read_since || *m_read_since < since) {
    if (!m_is_reading && Now() >= m_next_read_at) {
      m_is_reading = true;
      asio::co_spawn(m_context.context, ReadAll(), asio::detached);
    }
    if (Now() >= until) {
      co_return ShareRefusal::kLogUnavailable;
    }
    co_await SleepFor(kPollInterval);
  }
  const bool is_current =
      co_await m_context.confirm_upstreams(since, until - Now());
  const StreamOrigins& origins = m_context.router.Origins();
  if (auto known = FindOrigin(origins, key)) {
    co_return *known;
  }
  if (auto logged = FindLogged(m_logged, key)) {
    co_return *logged;
  }
  if (const auto gap = FindGap()) {
    co_return *gap;
  }
  const bool knows_served =
      is_current && KnowsAllRecentVersions(origins, service, Now());
  UnloggedStream stream{key, service, MaxStreamAge(), {}};
  if (knows_served) {
    stream.served = RecentVersions(origins, service);
  }
  co_return ResolveByShares(stream, AllRecords(), m_recorded.restores);
}

std::optional<ShareRefusal> ShareLog::FindGap() const {
  if (!HasRecordsOfLivePeers()) {
    return ShareRefusal::kInstanceWithoutRecord;
  }
  if (!HasAllLogged(m_logged, MaxStreamAge(), Now())) {
    return ShareRefusal::kLogReadInPart;
  }
  return std::nullopt;
}

std::vector<ShareRecord> ShareLog::AllRecords() const {
  std::vector<ShareRecord> records{CurrentRecord({})};
  for (const auto& [unused, record] : m_recorded.by_key) {
    records.push_back(record);
  }
  return records;
}

void ShareLog::FreeUnlessInUse() {
  if (m_resolving == 0 && !m_is_reading) {
    m_logged = {};
    m_read_since.reset();
  }
}

// Streams that began before this instance began to observe the versions are in
// the log, or began by recorded shares.
asio::awaitable<void> ShareLog::LearnVersions() {
  if (m_is_reading || Now() < m_next_read_at) {
    co_return;
  }
  m_is_reading = true;
  const Time began_at = Now();
  co_await ReadAll();
  const auto tracking_since = m_context.router.Origins().tracking_since;
  if (m_read_since && *m_read_since >= began_at && tracking_since &&
      *tracking_since <= began_at) {
    for (const auto& [service, unused] :
         StreamLifetimes(*m_context.router.Config())) {
      LearnVersionsOf(service);
    }
  }
  FreeUnlessInUse();
}

void ShareLog::LearnVersionsOf(const ServiceName& service) {
  std::optional<ShareRefusal> refusal = FindGap();
  std::set<std::string> versions;
  if (!refusal) {
    auto recorded = RecordedVersions(service, MaxStreamAge(), AllRecords(),
                                     m_recorded.restores);
    if (auto* known = std::get_if<std::set<std::string>>(&recorded)) {
      versions = std::move(*known);
    } else {
      refusal = std::get<ShareRefusal>(recorded);
    }
  }
  if (!refusal) {
    for (const StreamOrigin& origin : m_logged.origins) {
      if (origin.service == service) {
        versions.insert(origin.software_version);
      }
    }
    m_context.router.ApplyVersions(service, versions, true, Now());
  }
  CountEvent(m_context.metrics,
             refusal ? "versions_not_learned" : "versions_learned");
  m_context.log.Write(
      LogLevel::kInfo, "versions-learned",
      {{"service", service.value},
       {"versions", std::to_string(versions.size())},
       {"refused", refusal ? std::string(ToString(*refusal)) : ""},
       {"records", std::to_string(m_recorded.by_key.size())}});
}

// The origins are read last: a stream that is missing there began by the shares
// that were read, or by later ones that were recorded beside them.
asio::awaitable<void> ShareLog::ReadAll() {
  const Time began_at = Now();
  auto result = co_await m_context.shared_log.List(kSharesTopic);
  bool was_read = false;
  if (auto* list = std::get_if<SharedLogList>(&result)) {
    auto logged = co_await m_context.read_origins();
    was_read = logged.has_value();
    m_logged = std::move(logged).value_or(LoggedOrigins{});
    m_recorded = {};
    m_recorded.restores = list->restores;
    for (const auto& [key, value] : list->values) {
      // What cannot be read may say anything.
      m_recorded.by_key[key] = DecodeShareRecord(value).value_or(
          ShareRecord{.is_open = true, .restores = list->restores});
    }
  }
  if (was_read) {
    m_read_since = began_at;
  }
  const auto others = static_cast<int64_t>(m_context.live_peers().size());
  m_next_read_at = Now() + kReadInterval + others * kPerInstance;
  m_is_reading = false;
}

bool ShareLog::HasRecordsOfLivePeers() const {
  const auto peers = m_context.live_peers();
  return std::all_of(peers.begin(), peers.end(), [this](const auto& peer) {
    const std::string prefix = KeyPrefix(peer);
    const auto at = m_recorded.by_key.lower_bound(prefix);
    return at != m_recorded.by_key.end() && at->first.starts_with(prefix);
  });
}

}  // namespace pomeloring
