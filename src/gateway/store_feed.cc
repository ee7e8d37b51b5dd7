#include "gateway/store_feed.h"

#include <fmt/format.h>

#include "link/clock.h"
#include "link/sleep.h"
#include "routing/store_readers.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;

// Upstreams write about once a second each: a read that returned at once would
// be followed by the next one a few milliseconds later. A change is to be known
// everywhere within two seconds.
constexpr milliseconds kUpstreamReadInterval{600};
constexpr milliseconds kUpstreamWait{300};
constexpr milliseconds kConfigWait{1500};
constexpr milliseconds kRoleCheckInterval{100};
// An instance that has not heard for so long from a reader that knows the same
// as it does looks for itself, so that no fault in what it hears of peers can
// keep a leaving upstream in use for the two seconds allowed.
constexpr Duration kOwnReadInterval = milliseconds(1200);
// After a failed call; doubled with each further one. Calls that fail are
// counted as well, and in an outage all instances try.
constexpr milliseconds kFailurePause{250};
constexpr milliseconds kMaxFailurePause{1000};
// A reader without an answer for this long no longer counts as one.
constexpr Duration kAnswerLifetime = milliseconds(2200);

}  // namespace

StoreFeed::StoreFeed(StoreFeedParts parts) : m_parts(std::move(parts)) {
  m_needs_list[StoreTopic::kConfiguration] = true;
  m_needs_list[StoreTopic::kUpstreams] = true;
}

bool StoreFeed::ReadsStore(Time now) const {
  return m_answers && now - m_last_answer < kAnswerLifetime;
}

bool StoreFeed::ShouldRead(Time now) const {
  return ShouldReadStore(m_parts.router.Settings().name, m_parts.router.Peers(),
                         now);
}

void StoreFeed::NoteAnswer(bool answered,
                           std::string_view call,
                           unsigned status) {
  CountEvent(m_parts.metrics, answered ? "store_answers" : "store_failures");
  const Time now = Now();
  if (answered) {
    m_last_answer = now;
  }
  // One failure is enough for others to read in this instance's place.
  m_answers = answered;
  // A lost dependency is one line, as is its return.
  if (answered != m_was_answering) {
    m_was_answering = answered;
    m_parts.log.Write(
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

asio::awaitable<void> StoreFeed::Follow(StoreTopic topic) {
  milliseconds pause = kFailurePause;
  while (true) {
    const Time begun = Now();
    const bool is_reader = ShouldRead(begun);
    const Time last_sure =
        std::max(m_last_read[topic], m_parts.router.LastReaderMatch());
    const bool is_due = topic == StoreTopic::kUpstreams &&
                        begun - last_sure >= kOwnReadInterval;
    if (!is_reader && !is_due) {
      co_await SleepFor(kRoleCheckInterval);
      continue;
    }
    m_last_read[topic] = begun;
    const bool succeeded = m_needs_list[topic]
                               ? co_await ListTopic(topic)
                               : co_await ReadTopic(topic, is_reader);
    if (!succeeded) {
      co_await SleepFor(pause);
      pause = std::min(2 * pause, kMaxFailurePause);
      continue;
    }
    pause = kFailurePause;
    const auto spent = std::chrono::duration_cast<milliseconds>(Now() - begun);
    if (topic == StoreTopic::kUpstreams && spent < kUpstreamReadInterval) {
      co_await SleepFor(kUpstreamReadInterval - spent);
    }
  }
}

asio::awaitable<bool> StoreFeed::ListTopic(StoreTopic topic) {
  const auto result = co_await m_parts.store.List(topic);
  const auto* refused = std::get_if<StoreRefused>(&result);
  const auto* list = std::get_if<StoreList>(&result);
  NoteAnswer(list != nullptr, "list", refused ? refused->status : 0);
  if (list == nullptr) {
    co_return false;
  }
  m_needs_list[topic] = false;
  m_next[topic] = list->end;
  TakeEntries(topic, list->entries, list->end, true);
  co_return true;
}

asio::awaitable<bool> StoreFeed::ReadTopic(StoreTopic topic, bool may_wait) {
  const milliseconds longest =
      topic == StoreTopic::kUpstreams ? kUpstreamWait : kConfigWait;
  const milliseconds wait = may_wait ? longest : milliseconds(0);
  const auto result = co_await m_parts.store.Read(topic, m_next[topic], wait);
  if (std::holds_alternative<HistoryExpired>(result)) {
    NoteAnswer(true, "read", 0);
    m_needs_list[topic] = true;
    co_return true;
  }
  const auto* refused = std::get_if<StoreRefused>(&result);
  const auto* page = std::get_if<StorePage>(&result);
  NoteAnswer(page != nullptr, "read", refused ? refused->status : 0);
  if (page == nullptr) {
    co_return false;
  }
  m_next[topic] = page->end;
  TakeEntries(topic, page->entries, page->end, false);
  co_return true;
}

void StoreFeed::TakeEntries(StoreTopic topic,
                            const std::vector<StoreEntry>& entries,
                            LogOffset end,
                            bool is_whole_list) {
  if (topic == StoreTopic::kConfiguration) {
    for (const StoreEntry& entry : entries) {
      if (entry.value) {
        TakeConfigText(*entry.value, "store");
      }
    }
    return;
  }
  std::vector<StoredUpstream> upstreams;
  upstreams.reserve(entries.size());
  for (const StoreEntry& entry : entries) {
    upstreams.push_back({{entry.key}, entry.offset, entry.value});
  }
  TakeUpstreams(upstreams, end, is_whole_list, "store");
}

void StoreFeed::TakeConfigText(const std::string& text,
                               std::string_view source) {
  auto read = m_parts.codec.read_config(text);
  if (auto* malformed = std::get_if<MalformedField>(&read)) {
    if (m_unreadable.insert(text.substr(0, 64)).second) {
      m_parts.log.Write(LogLevel::kWarning, "configuration-unreadable",
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
  if (m_parts.router.ApplyConfig(std::move(config))) {
    m_config_text = text;
    m_parts.log.Write(LogLevel::kInfo, "configuration-taken",
                      {{"version", std::to_string(version)},
                       {"routes", std::to_string(routes)},
                       {"source", std::string(source)}});
    m_parts.on_change();
  }
}

void StoreFeed::TakeUpstreams(const std::vector<StoredUpstream>& entries,
                              LogOffset as_of,
                              bool is_whole_list,
                              std::string_view source) {
  std::vector<UpstreamChange> changes;
  for (const StoredUpstream& entry : entries) {
    UpstreamChange change{entry.id, entry.offset, std::nullopt, {}};
    if (entry.value) {
      auto read = m_parts.codec.read_upstream(entry.id.value, *entry.value);
      if (auto* record = std::get_if<UpstreamRecord>(&read)) {
        change.record = std::move(*record);
        change.text = *entry.value;
      } else if (m_unreadable.insert(entry.id.value).second) {
        // It names no upstream to use; the others hold.
        const auto& malformed = std::get<MalformedField>(read);
        m_parts.log.Write(LogLevel::kWarning, "upstream-unreadable",
                          {{"upstream", entry.id.value},
                           {"field", malformed.name},
                           {"expected", malformed.expected}});
      }
    }
    changes.push_back(std::move(change));
  }
  const Time now = Now();
  const auto changed =
      is_whole_list ? m_parts.router.ApplyUpstreamList(changes, as_of, now)
                    : m_parts.router.ApplyUpstreamChanges(changes, as_of, now);
  for (const UpstreamName& name : changed) {
    const auto& record = m_parts.router.Upstreams().entries.at(name).record;
    m_parts.log.Write(LogLevel::kInfo, "upstream-changed",
                      {{"upstream", name.value},
                       {"state", !record            ? "gone"
                                 : record->draining ? "draining"
                                                    : "ready"},
                       {"address", record ? record->address : ""},
                       {"as_of", std::to_string(as_of.value)},
                       {"source", std::string(source)}});
  }
  if (!changed.empty()) {
    m_parts.on_change();
  }
}

// --- Peers -------------------------------------------------------------------

PeerStore StoreFeed::StateSince(uint64_t config_version,
                                LogOffset upstreams_as_of) const {
  PeerStore state;
  const auto config = m_parts.router.Config();
  const UpstreamTable& table = m_parts.router.Upstreams();
  state.config_version = config ? config->version : 0;
  if (state.config_version > config_version) {
    state.config = m_config_text;
  }
  state.upstreams_as_of = table.as_of;
  state.is_whole_list = upstreams_as_of.value == 0 && table.is_complete;
  for (const auto& [name, entry] : table.entries) {
    if (entry.offset < upstreams_as_of) {
      continue;
    }
    StoredUpstream stored{name, entry.offset, std::nullopt};
    if (entry.record) {
      stored.value = entry.text;
    }
    state.upstreams.push_back(std::move(stored));
  }
  return state;
}

void StoreFeed::TakeFromPeer(const InstanceName& peer, const PeerStore& state) {
  if (state.config) {
    TakeConfigText(*state.config, peer.value);
  }
  if (state.upstreams_as_of.value > 0) {
    TakeUpstreams(state.upstreams, state.upstreams_as_of, state.is_whole_list,
                  peer.value);
  }
}

}  // namespace pomeloring
