#include "gateway/store_feed.h"

#include <fmt/format.h>

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "link/clock.h"
#include "link/sleep.h"
#include "routing/store_readers.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;

// Minimum between reads, as a fraction of the deadline for changes. Each
// upstream writes about once a second, so reads that wait for the next entry
// would follow each other within milliseconds.
constexpr double kUpstreamReadIntervalFraction = 0.3;
constexpr milliseconds kUpstreamReadWait{300};
constexpr milliseconds kConfigReadWait{1500};
constexpr milliseconds kRoleCheckInterval{100};
// After this fraction of the deadline for changes without a reader that
// confirms its upstreams, or with a configuration that is known to be old, an
// instance reads the store itself: no fault between peers can then keep a
// change from it beyond the deadline.
constexpr double kMaxUnconfirmedFraction = 0.6;
// After a failed call; doubled with each further failure. Failed calls have a
// cost too, and all instances retry during an outage.
constexpr milliseconds kMinRetryDelay{250};
constexpr milliseconds kMaxRetryDelay{1000};
// Peers that are further behind get the whole text.
constexpr size_t kMaxKeptConfigs = 3;
// A caller waits for it.
constexpr milliseconds kConfirmPollInterval{5};
// Entries that are remembered as logged; those beyond are not logged.
constexpr size_t kMaxLoggedUnreadable = 1000;
// Pages of one confirmation; each has up to a MB.
constexpr int kMaxConfirmPages = 64;
// Two clocks that are read one after the other differ by less.
constexpr Duration kMinSuspension = milliseconds(100);
// An instance without a reply for this long does not count as a reader.
constexpr Duration kAnswerLifetime = milliseconds(2200);

template <typename T>
T Fraction(double fraction, T whole) {
  return T{static_cast<typename T::rep>(fraction *
                                        static_cast<double>(whole.count()))};
}

}  // namespace

StoreFeed::StoreFeed(StoreFeedContext context, StoreFeedSettings settings)
    : m_context(std::move(context)), m_settings(settings) {
  m_needs_list[StoreTopic::kConfiguration] = true;
  m_needs_list[StoreTopic::kUpstreams] = true;
}

bool StoreFeed::IsReadingStore(Time now) const {
  return m_last_call_succeeded && now - m_last_answer_at < kAnswerLifetime;
}

bool StoreFeed::ShouldRead(Time now) const {
  return ShouldReadStore(m_context.router.Settings().name,
                         m_context.router.Peers(), now);
}

void StoreFeed::RecordCall(bool answered,
                           std::string_view call,
                           unsigned status) {
  CountEvent(m_context.metrics, answered ? "store_answers" : "store_failures");
  const Time now = Now();
  if (answered) {
    m_last_answer_at = now;
  }
  // A single failure lets another instance read in this one's place.
  m_last_call_succeeded = answered;
  // Logs one line when the store is lost and one when it is back.
  if (answered != m_is_store_reachable) {
    m_is_store_reachable = answered;
    m_context.log.Write(
        answered ? LogLevel::kInfo : LogLevel::kWarning,
        answered ? "store-regained" : "store-lost",
        {{"call", std::string(call)}, {"status", std::to_string(status)}});
  }
}

asio::awaitable<void> StoreFeed::FollowConfiguration() {
  return Follow(StoreTopic::kConfiguration);
}

asio::awaitable<void> StoreFeed::FollowUpstreams() {
  return Follow(StoreTopic::kUpstreams);
}

asio::awaitable<void> StoreFeed::AwaitPeerState() const {
  const Time deadline = Now() + m_settings.start_delay;
  while (!m_context.router.IsReady() && Now() < deadline) {
    co_await SleepFor(kRoleCheckInterval);
  }
}

// When the instance could last take its state of `topic` for the newest.
Time StoreFeed::LastConfirmed(StoreTopic topic, Time now) const {
  return topic == StoreTopic::kUpstreams
             ? m_context.router.LastReaderMatch()
             : m_context.router.ConfigBehindSince().value_or(now);
}

asio::awaitable<void> StoreFeed::Follow(StoreTopic topic) {
  co_await AwaitPeerState();
  const milliseconds read_interval =
      Fraction(kUpstreamReadIntervalFraction, m_settings.change_deadline);
  const Duration max_unconfirmed_time =
      Fraction(kMaxUnconfirmedFraction, Duration(m_settings.change_deadline));
  milliseconds retry_delay = kMinRetryDelay;
  while (true) {
    const Time started_at = Now();
    DetectSuspension(started_at);
    const bool is_reader = ShouldRead(started_at);
    const Time last_confirmed =
        std::max(m_last_read_at[topic], LastConfirmed(topic, started_at));
    const bool must_confirm =
        started_at - last_confirmed >= max_unconfirmed_time;
    if (!is_reader && !must_confirm) {
      co_await SleepFor(kRoleCheckInterval);
      continue;
    }
    m_last_read_at[topic] = started_at;
    const bool succeeded = m_needs_list[topic]
                               ? co_await ListTopic(topic)
                               : co_await ReadTopic(topic, is_reader);
    if (!succeeded) {
      co_await SleepFor(retry_delay);
      retry_delay = std::min(2 * retry_delay, kMaxRetryDelay);
      continue;
    }
    retry_delay = kMinRetryDelay;
    const auto spent =
        std::chrono::duration_cast<milliseconds>(Now() - started_at);
    if (topic == StoreTopic::kUpstreams && spent < read_interval) {
      co_await SleepFor(read_interval - spent);
    }
  }
}

// Only a call that began later can tell what the store had acknowledged by
// then: replies and digests may have waited in this process's own sockets while
// it was suspended.
asio::awaitable<bool> StoreFeed::ConfirmUpstreams(Time since,
                                                  Duration max_wait) {
  const Time deadline = Now() + max_wait;
  while (m_upstreams_confirmed_at < since && m_confirmation_failed_at < since &&
         Now() < deadline) {
    if (!m_is_confirming) {
      m_is_confirming = true;
      asio::co_spawn(m_context.context, ReadUpstreamsToEnd(), asio::detached);
    }
    co_await SleepFor(kConfirmPollInterval);
  }
  co_return m_upstreams_confirmed_at >= since;
}

asio::awaitable<void> StoreFeed::ReadUpstreamsToEnd() {
  constexpr StoreTopic kTopic = StoreTopic::kUpstreams;
  const Time started_at = Now();
  bool is_confirmed = false;
  for (int pages = 0; pages < kMaxConfirmPages; ++pages) {
    const auto result = co_await m_context.store.Read(
        kTopic, m_context.router.Upstreams().as_of, milliseconds(0));
    const auto* page = std::get_if<StorePage>(&result);
    const auto* refused = std::get_if<StoreRefused>(&result);
    const bool has_expired = std::holds_alternative<HistoryExpired>(result);
    RecordCall(page != nullptr || has_expired, "confirm",
               refused ? refused->status : 0);
    if (page != nullptr) {
      ApplyEntries(kTopic, page->entries, page->end, false);
    }
    if (has_expired) {
      is_confirmed = co_await ListTopic(kTopic);
    } else {
      is_confirmed = page != nullptr && !page->has_more;
    }
    if (page == nullptr || is_confirmed) {
      break;
    }
  }
  CountEvent(m_context.metrics, is_confirmed
                                    ? "upstream_confirmations"
                                    : "upstream_confirmation_failures");
  Time& last =
      is_confirmed ? m_upstreams_confirmed_at : m_confirmation_failed_at;
  last = std::max(last, started_at);
  m_is_confirming = false;
}

void StoreFeed::DetectSuspension(Time now) {
  const Duration offset = BootNow() - now;
  if (offset - m_boottime_offset >= kMinSuspension) {
    m_awake_since = now;
  }
  m_boottime_offset = offset;
}

bool StoreFeed::HasCurrentUpstreams(Time now) {
  DetectSuspension(now);
  const Time confirmed_at =
      std::max(m_upstreams_confirmed_at, m_context.router.LastReaderMatch());
  return confirmed_at >= m_awake_since &&
         now - confirmed_at < m_settings.change_deadline;
}

asio::awaitable<bool> StoreFeed::ListTopic(StoreTopic topic) {
  const Time started_at = Now();
  const auto result = co_await m_context.store.List(topic);
  const auto* refused = std::get_if<StoreRefused>(&result);
  const auto* list = std::get_if<StoreList>(&result);
  RecordCall(list != nullptr, "list", refused ? refused->status : 0);
  if (list == nullptr) {
    co_return false;
  }
  m_needs_list[topic] = false;
  m_next_offset[topic] = list->end;
  ApplyEntries(topic, list->entries, list->end, true);
  if (topic == StoreTopic::kUpstreams) {
    m_upstreams_confirmed_at = std::max(m_upstreams_confirmed_at, started_at);
  }
  co_return true;
}

asio::awaitable<bool> StoreFeed::ReadTopic(StoreTopic topic, bool may_wait) {
  const milliseconds max_wait =
      topic == StoreTopic::kUpstreams ? kUpstreamReadWait : kConfigReadWait;
  const milliseconds wait = may_wait ? max_wait : milliseconds(0);
  const Time started_at = Now();
  const auto result =
      co_await m_context.store.Read(topic, m_next_offset[topic], wait);
  if (std::holds_alternative<HistoryExpired>(result)) {
    RecordCall(true, "read", 0);
    m_needs_list[topic] = true;
    co_return true;
  }
  const auto* refused = std::get_if<StoreRefused>(&result);
  const auto* page = std::get_if<StorePage>(&result);
  RecordCall(page != nullptr, "read", refused ? refused->status : 0);
  if (page == nullptr) {
    co_return false;
  }
  m_next_offset[topic] = page->end;
  ApplyEntries(topic, page->entries, page->end, false);
  m_is_history_partial |=
      topic == StoreTopic::kUpstreams && page->first_retained.value > 0;
  if (topic == StoreTopic::kUpstreams && !page->has_more) {
    m_upstreams_confirmed_at = std::max(m_upstreams_confirmed_at, started_at);
  }
  co_return true;
}

void StoreFeed::ApplyEntries(StoreTopic topic,
                             const std::vector<StoreEntry>& entries,
                             LogOffset end,
                             bool is_whole_list) {
  if (topic == StoreTopic::kConfiguration) {
    for (const StoreEntry& entry : entries) {
      if (entry.value) {
        ApplyConfigText(*entry.value, "store");
      }
    }
    return;
  }
  std::vector<StoredUpstream> upstreams;
  upstreams.reserve(entries.size());
  for (const StoreEntry& entry : entries) {
    upstreams.push_back({{entry.key}, entry.offset, entry.value});
  }
  ApplyUpstreams(upstreams, end, is_whole_list, "store");
}

void StoreFeed::ApplyConfigText(const std::string& text,
                                std::string_view source) {
  auto read = m_context.codec.read_config(text);
  if (auto* malformed = std::get_if<MalformedField>(&read)) {
    if (m_logged_unreadable.insert(text.substr(0, 64)).second) {
      m_context.log.Write(LogLevel::kWarning, "configuration-unreadable",
                          {{"field", malformed->name},
                           {"expected", malformed->expected},
                           {"source", std::string(source)}});
    }
    return;
  }
  auto config =
      std::make_shared<RoutingConfig>(std::get<RoutingConfig>(std::move(read)));
  const uint64_t version = config->version;
  const size_t routes = config->routes.size();
  if (m_context.router.ApplyConfig(std::move(config))) {
    m_config_texts.push_front({text, TextHash(text)});
    if (m_config_texts.size() > kMaxKeptConfigs) {
      m_config_texts.pop_back();
    }
    m_context.log.Write(LogLevel::kInfo, "configuration-taken",
                        {{"version", std::to_string(version)},
                         {"routes", std::to_string(routes)},
                         {"source", std::string(source)}});
    m_context.on_change();
  }
}

void StoreFeed::ApplyUpstreams(const std::vector<StoredUpstream>& entries,
                               LogOffset as_of,
                               bool is_whole_list,
                               std::string_view source) {
  std::vector<UpstreamChange> changes;
  for (const StoredUpstream& entry : entries) {
    if (!IsUpstreamId(entry.id.value)) {
      LogUnreadable(entry.id, {"(the key)", "1 to 255 visible characters"});
      continue;
    }
    UpstreamChange change{entry.id, entry.offset, std::nullopt, {}};
    if (entry.value) {
      auto read = m_context.codec.read_upstream(entry.id.value, *entry.value);
      if (auto* record = std::get_if<UpstreamRecord>(&read)) {
        change.record = std::move(*record);
        change.text = *entry.value;
      } else {
        // Skips this upstream only.
        LogUnreadable(entry.id, std::get<MalformedField>(read));
      }
    }
    changes.push_back(std::move(change));
  }
  const Time now = Now();
  const auto changed =
      is_whole_list
          ? m_context.router.ApplyUpstreamList(changes, as_of, now)
          : m_context.router.ApplyUpstreamChanges(changes, as_of, now);
  for (const UpstreamName& name : changed) {
    const auto& record = m_context.router.Upstreams().entries.at(name).record;
    m_context.log.Write(LogLevel::kInfo, "upstream-changed",
                        {{"upstream", name.value},
                         {"state", !record            ? "gone"
                                   : record->draining ? "draining"
                                                      : "ready"},
                         {"address", record ? record->address : ""},
                         {"as_of", std::to_string(as_of.value)},
                         {"source", std::string(source)}});
  }
  if (!changed.empty()) {
    m_context.on_change();
  }
}

void StoreFeed::LogUnreadable(const UpstreamName& id,
                              const MalformedField& malformed) {
  if (m_logged_unreadable.size() < kMaxLoggedUnreadable &&
      m_logged_unreadable.insert(id.value).second) {
    m_context.log.Write(LogLevel::kWarning, "upstream-unreadable",
                        {{"upstream", id.value},
                         {"field", malformed.name},
                         {"expected", malformed.expected}});
  }
}

size_t StoreFeed::ConfigTextBytes() const {
  size_t bytes = 0;
  for (const HashedText& kept : m_config_texts) {
    bytes += kept.text.capacity();
  }
  return bytes;
}

// --- Peers -------------------------------------------------------------------

StoreUpdate StoreFeed::ConfigSince(uint64_t version, uint64_t text_hash) const {
  StoreUpdate update;
  const auto config = m_context.router.Config();
  update.config_version = config ? config->version : 0;
  if (update.config_version <= version) {
    return update;
  }
  const HashedText& newest = m_config_texts.front();
  const auto base =
      std::find_if(m_config_texts.begin(), m_config_texts.end(),
                   [&](const auto& kept) { return kept.hash == text_hash; });
  if (text_hash != 0 && base != m_config_texts.end()) {
    update.config_delta = MakeDelta(base->text, newest.text);
  } else {
    update.config = newest.text;
  }
  return update;
}

StoreUpdate StoreFeed::UpdateSince(uint64_t config_version,
                                   LogOffset upstreams_as_of) const {
  StoreUpdate update = ConfigSince(config_version);
  const UpstreamUpdate upstreams =
      pomeloring::UpdateSince(m_context.router.Upstreams(), upstreams_as_of);
  update.upstreams_as_of = upstreams.as_of;
  update.is_whole_list = upstreams.is_whole_list;
  for (const UpstreamChange& change : upstreams.changes) {
    StoredUpstream stored{change.id, change.offset, std::nullopt};
    if (change.record) {
      stored.value = change.text;
    }
    update.upstreams.push_back(std::move(stored));
  }
  return update;
}

void StoreFeed::ApplyPeerUpdate(const InstanceName& peer,
                                const StoreUpdate& update) {
  if (update.config) {
    ApplyConfigText(*update.config, peer.value);
  } else if (update.config_delta) {
    // The configuration may have changed since the difference was requested;
    // the peer's next digest then starts another fetch.
    const auto text =
        ApplyDelta(m_config_texts.front().text, *update.config_delta);
    CountEvent(m_context.metrics,
               text ? "config_deltas_applied" : "config_deltas_unusable");
    if (text) {
      ApplyConfigText(*text, peer.value);
    }
  }
  if (update.upstreams_as_of.value > 0) {
    ApplyUpstreams(update.upstreams, update.upstreams_as_of,
                   update.is_whole_list, peer.value);
  }
}

}  // namespace pomeloring
