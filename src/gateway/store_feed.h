// Defines StoreFeed: updates the router's configuration and registered
// upstreams from the store, or from peers that have read it.

#ifndef POMELORING_GATEWAY_STORE_FEED_H_
#define POMELORING_GATEWAY_STORE_FEED_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <deque>
#include <map>
#include <set>
#include <string>

#include "daemon/log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/peer_codec.h"
#include "gateway/store.h"
#include "gateway/wire_codec.h"
#include "routing/router.h"

namespace pomeloring {

struct StoreFeedSettings {
  // A change must be in force on all instances within this time.
  std::chrono::milliseconds change_deadline{2000};
  // How long this instance waits for a peer's state before it reads the store.
  std::chrono::milliseconds start_delay{0};
};

struct StoreFeedContext {
  boost::asio::io_context& context;
  Router& router;
  Store& store;
  const StoreCodec& codec;
  Log& log;
  GatewayMetrics& metrics;
  // Sends a change to peers.
  std::function<void()> on_change;
};

// Used from one thread.
class StoreFeed {
 public:
  explicit StoreFeed(StoreFeedContext context, StoreFeedSettings settings = {});

  // Apply changes of the store until the I/O context stops.
  boost::asio::awaitable<void> FollowConfiguration();
  boost::asio::awaitable<void> FollowUpstreams();

  // Whether the store has recently replied to this instance itself.
  bool IsReadingStore(Time now) const;
  // Reads the changes that the store had acknowledged by `since`, unless they
  // are known already. Returns false if the store did not tell within
  // `max_wait`.
  boost::asio::awaitable<bool> ConfirmUpstreams(Time since, Duration max_wait);
  // Whether the store has confirmed the registrations within the deadline for
  // changes, to this instance or to a reader that has the same ones.
  bool HasCurrentUpstreams(Time now);
  // Whether this instance's last call to the store failed.
  bool LastCallFailed() const { return !m_is_store_reachable; }
  // Whether this instance should read the store: a few instances read it for
  // all.
  bool ShouldRead(Time now) const;

  // Whether some of the history of the registrations is missing: deleted,
  // expired, or lost in a restore of the store.
  bool IsHistoryPartial() const { return m_is_history_partial; }

  // Returns the configuration if it is newer than `version`; its difference to
  // the text with the hash `text_hash` if that one is known, else all of it.
  StoreUpdate ConfigSince(uint64_t version, uint64_t text_hash = 0) const;
  // The hash of the text of the configuration in force; 0 without one.
  uint64_t ConfigTextHash() const { return m_config_texts.front().hash; }
  // Bytes of the configuration texts that are kept.
  size_t ConfigTextBytes() const;
  // Returns what a peer lacks whose configuration is `config_version` and whose
  // upstreams are as of `upstreams_as_of`; 0 for either: the peer has none.
  StoreUpdate UpdateSince(uint64_t config_version,
                          LogOffset upstreams_as_of) const;
  void ApplyPeerUpdate(const InstanceName& peer, const StoreUpdate& update);

 private:
  struct HashedText {
    std::string text;
    uint64_t hash = 0;
  };

  void ApplyConfigText(const std::string& text, std::string_view source);
  void ApplyUpstreams(const std::vector<StoredUpstream>& entries,
                      LogOffset as_of,
                      bool is_whole_list,
                      std::string_view source);
  // Logs each entry once.
  void LogUnreadable(const UpstreamName& id, const MalformedField& malformed);
  boost::asio::awaitable<bool> ListTopic(StoreTopic topic);
  boost::asio::awaitable<bool> ReadTopic(StoreTopic topic, bool may_wait);
  void ApplyEntries(StoreTopic topic,
                    const std::vector<StoreEntry>& entries,
                    LogOffset end,
                    bool is_whole_list);
  Time LastConfirmed(StoreTopic topic, Time now) const;
  boost::asio::awaitable<void> Follow(StoreTopic topic);
  // Reads to the end of the topic once, for all that wait for it.
  boost::asio::awaitable<void> ReadUpstreamsToEnd();
  // Notes that the process was suspended since the last call.
  void DetectSuspension(Time now);
  boost::asio::awaitable<void> AwaitPeerState() const;
  void RecordCall(bool answered, std::string_view call, unsigned status);

  StoreFeedContext m_context;
  const StoreFeedSettings m_settings;
  // Of the configuration in force, and of a few before it.
  std::deque<HashedText> m_config_texts{HashedText{}};
  std::set<std::string> m_logged_unreadable;  // Texts and upstream ids.
  std::map<StoreTopic, LogOffset> m_next_offset;
  std::map<StoreTopic, bool> m_needs_list;
  std::map<StoreTopic, Time> m_last_read_at;
  Time m_last_answer_at;
  // All changes that were acknowledged before are known.
  Time m_upstreams_confirmed_at;
  Time m_confirmation_failed_at;  // When the last call that failed began.
  bool m_is_history_partial = false;
  bool m_is_confirming = false;
  // BootNow() less Now(), as of the last call of DetectSuspension(): it grows
  // while the process is suspended.
  Duration m_boottime_offset{0};
  Time m_awake_since;
  bool m_last_call_succeeded = false;  // False before the first call.
  bool m_is_store_reachable = true;    // True before the first call.
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_STORE_FEED_H_
