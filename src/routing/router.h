// Defines Router: the decisions of one instance that routes requests through to
// registered upstreams. It does no I/O and reads no clock.

#ifndef POMELORING_ROUTING_ROUTER_H_
#define POMELORING_ROUTING_ROUTER_H_

#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "routing/baseline_policies.h"
#include "routing/peer_digest.h"
#include "routing/placement.h"
#include "routing/retry_allowance.h"
#include "routing/routing_config.h"
#include "routing/upstream_state.h"
#include "routing/upstream_table.h"

namespace pomeloring {

// An instance is given to callers while its digests come.
inline constexpr Duration kServingTimeout = milliseconds(1300);

struct RouterSettings {
  InstanceName name;
  Incarnation incarnation;
  FailureDomain failure_domain;
  RetryPolicy retries;
  PlacementPolicy placement = PlacementPolicy::kLowestCost;
  // A digest older than this says nothing of what its sender runs.
  Duration digest_timeout = milliseconds(1500);
  // Entries that lapsed while the store was out are written again within this
  // time of its return; see docs/design/routing.md.
  Duration expiry_grace_period = milliseconds(2200);
  uint64_t random_seed = 1;
};

// One try of a request at an upstream, from its placement to its end.
struct PlacedAttempt {
  std::shared_ptr<UpstreamState> upstream;
  Placement placement;
  ServiceName service;
  std::vector<PromptPart> parts;
  uint32_t prompt_tokens = 0;
  Time started;
  bool no_prefill_ahead = false;  // Nothing was unread there when it began.
  bool has_first_event = false;
};

struct AttemptRequest {
  const Route* route = nullptr;
  ServiceName service;
  uint32_t prompt_tokens = 0;
  std::vector<PromptPart> parts;
  Duration waited{0};
  Duration time_left{0};
  std::vector<UpstreamName> excluded;
};

using StartAttemptResult =
    std::variant<std::shared_ptr<PlacedAttempt>, Deferred, Unplaced>;

// What is known of the store itself.
enum class StoreStatus { kUnknown, kAvailable, kUnavailable };

using CachedPart = std::pair<UpstreamName, uint64_t>;

struct PeerState {
  PeerDigest digest;  // The last one, without its uses and parts.
  std::set<UpstreamName> counted_upstreams;  // Where its uses are counted.
  Time last_received;
};

// Used from one thread; see docs/design/routing.md for why.
class Router {
 public:
  explicit Router(RouterSettings settings);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // What is in force. A version that is not newer changes nothing; returns
  // whether it was taken.
  bool ApplyConfig(std::shared_ptr<const RoutingConfig> config);
  std::shared_ptr<const RoutingConfig> Config() const { return m_config; }
  std::vector<UpstreamName> ApplyUpstreamChanges(
      const std::vector<UpstreamChange>& changes,
      LogOffset as_of,
      Time now);
  std::vector<UpstreamName> ApplyUpstreamList(
      const std::vector<UpstreamChange>& listed,
      LogOffset as_of,
      Time now);
  const UpstreamTable& Upstreams() const { return m_table; }
  // The store did not answer, or answers again.
  void UpdateStoreStatus(bool is_available, Time now);
  bool IsReady() const;
  void SetRetryPolicy(const RetryPolicy& retries) {
    m_settings.retries = retries;
  }

  // Requests.
  void CountRequest(const ServiceName& service, Time now);
  StartAttemptResult StartAttempt(const AttemptRequest& request, Time now);
  // Whether one more upstream may be tried for a request of `service`.
  bool AllowRetry(const ServiceName& service, Time now);
  void HandleFirstEvent(PlacedAttempt& attempt, Time now);
  void EndAttempt(PlacedAttempt& attempt, UpstreamOutcome outcome, Time now);
  void RecordByte(PlacedAttempt& attempt, Time now) {
    attempt.upstream->health.last_byte_at = now;
  }

  // Peers.
  // In a large fleet some relay what the others tell; see digest_relay.h.
  void SetRelaying(bool is_relay) { m_is_relay = is_relay; }
  // What this instance runs, for `relayed_by` or, where it is empty, for all.
  PeerDigest BuildDigest(bool leaving,
                         bool reads_store,
                         Time now,
                         const InstanceName& relayed_by = {});
  // Of a relay: for the other relays, and for each instance that it relays for.
  PeerDigest BuildGroupDigest(bool leaving, bool reads_store, Time now);
  std::vector<std::pair<InstanceName, PeerDigest>>
  BuildRelayedDigests(bool leaving, bool reads_store, Time now);
  bool HasChangesToSend() const { return m_has_pending_changes; }
  bool HasChangesToRelay() const { return m_has_pending_relay_changes; }
  // Returns false for a digest that is older than one seen.
  bool HandleDigest(const PeerDigest& digest, Time now);
  const std::map<InstanceName, PeerState>& Peers() const { return m_peers; }
  // By ShortHash(): those that peers say serve callers.
  std::set<uint32_t> ServingPeerHashes(Time now) const;
  size_t LivePeerCount(Time now) const;
  // Whether the sender of `digest` has what this instance lacks.
  bool IsBehind(const PeerDigest& digest) const;
  // When a peer that reads the store last told of the same state as this one's.
  Time LastReaderMatch() const { return m_last_reader_match; }

  void Tick(Time now);
  const RouterSettings& Settings() const { return m_settings; }
  const EngineSpeed& Speed(const ServiceName& service);
  std::vector<const UpstreamState*> AllUpstreams() const;

 private:
  bool WasHigherPriorityRefused(const AttemptRequest& request, Time now) const;
  std::vector<UpstreamState*> CollectCandidates(const ServiceName& service,
                                                Time now);
  void SyncStates(std::span<const UpstreamName> changed, Time now);
  void DropPeerLoads(const InstanceName& peer);
  PeerDigest MakeDigestHeader(bool leaving, bool reads_store);
  void QueuePart(const UpstreamState& upstream, uint64_t part, Time now);
  // What this instance runs at an upstream has changed.
  void MarkLoadChanged(const PlacedAttempt& attempt);
  bool IsRelayedHere(const PeerState& peer, Time now) const;
  bool HasOtherReader(const InstanceName& name, Time now) const;
  void ApplyLoads(PeerState& peer, const PeerDigest& digest, Time now);
  void ApplyParts(const PeerDigest& digest, Time now);

  RouterSettings m_settings;
  std::shared_ptr<const RoutingConfig> m_config;
  UpstreamTable m_table;
  std::unordered_map<UpstreamName, std::shared_ptr<UpstreamState>> m_states;
  std::map<ServiceName, std::vector<UpstreamState*>> m_by_service;
  // Gone by the table, but kept in use for the lapse grace.
  std::map<UpstreamName, Time> m_removal_deadlines;
  StoreStatus m_store_status = StoreStatus::kUnknown;
  Time m_store_recovered_at;
  std::map<ServiceName, SharedRetryBudget> m_retry_budgets;
  // By service and priority: the last refusal for want of capacity.
  std::map<ServiceName, std::map<uint32_t, Time>> m_last_refusals;
  std::map<ServiceName, EngineSpeed> m_speeds;
  uint64_t m_round_robin_index = 0;  // Of kRoundRobin.
  std::map<InstanceName, PeerState> m_peers;
  // Parts that were read of late: for all peers or the other relays, and for
  // the instances that this one relays for.
  std::deque<CachedPart> m_parts_to_send;
  std::deque<CachedPart> m_parts_to_relay;
  // Where the own use has changed since it was told last.
  std::set<UpstreamName> m_changed_loads;
  Time m_last_full_digest;
  // The same for a relay's group.
  std::set<UpstreamName> m_changed_group_loads;
  Time m_last_full_group_digest;
  InstanceName m_last_relayed_by;
  uint64_t m_digest_sequence = 0;
  bool m_has_pending_changes = false;
  bool m_has_pending_relay_changes = false;
  bool m_is_relay = false;
  Time m_last_reader_match;
  uint64_t m_random;
};

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_ROUTER_H_
