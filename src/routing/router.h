// Defines Router: the decisions of one instance that routes requests to
// registered upstreams. It does no I/O and reads no clock.

#ifndef POMELORING_ROUTING_ROUTER_H_
#define POMELORING_ROUTING_ROUTER_H_

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/account_shares.h"
#include "isolation/stream_isolation.h"
#include "routing/baseline_policies.h"
#include "routing/exit_watch.h"
#include "routing/load_features.h"
#include "routing/peer_digest.h"
#include "routing/peer_path.h"
#include "routing/placement.h"
#include "routing/routing_config.h"
#include "routing/send_block.h"
#include "routing/shared_retry_budget.h"
#include "routing/stream_origins.h"
#include "routing/upstream_state.h"
#include "routing/upstream_table.h"
#include "routing/version_shares.h"
#include "speeds/upstream_speed.h"

namespace pomeloring {

// An instance is listed to callers while its last digest is newer than this.
inline constexpr Duration kServingTimeout = milliseconds(1300);

struct RouterSettings {
  InstanceName name;
  Incarnation incarnation;
  FailureDomain failure_domain;
  RetryPolicy retries;
  PlacementPolicy placement = PlacementPolicy::kLowestCost;
  // The loads of a peer are dropped when its last digest is older than this.
  Duration digest_timeout = milliseconds(1500);
  // Upstreams whose registration expired in an outage of the store register
  // again within this time of its recovery; see docs/design/routing.md.
  Duration expiry_grace_period = milliseconds(2200);
  uint64_t random_seed = 1;
  // Whether requests are admitted to the slots of engines with few of them; see
  // slot_admission.h.
  bool admits_by_slots = false;
  LoadFeatures features;
};

// One attempt to serve a request at an upstream, from placement to end.
struct PlacedAttempt {
  std::shared_ptr<UpstreamState> upstream;
  Placement placement;
  ServiceName service;
  std::vector<PromptPart> parts;
  std::vector<RequestTrait> traits;
  uint32_t prompt_tokens = 0;
  Time started;
  // No prefill was pending at the upstream when the attempt started.
  bool no_prefill_ahead = false;
  // To the first event at the service's mean engine, behind the prefill that
  // was pending; 0 for a plain service, or behind requests for a slot.
  double mean_first_event_ms = 0;
  // Tells whether upstreams still exit under a trait; see AssessRequest().
  bool is_trial = false;
  bool has_first_event = false;
  std::string route;
  Duration latency_target{0};
  uint32_t tokens_per_event = 0;  // 0 for a plain service, as the next.
  uint32_t batch_slots = 0;
  uint32_t priority = 0;  // Of the route.
  uint64_t events = 0;
  Time last_event_at;
  uint64_t bytes = 0;  // Of the request and its answer, set by the caller.
  uint64_t held_tokens = 0;  // See UpstreamLoad.
};

struct AttemptRequest {
  const Route* route = nullptr;
  ServiceName service;
  uint32_t prompt_tokens = 0;
  std::vector<PromptPart> parts;
  TraitId whole_request = 0;  // See IdOfRequest(); 0 if unknown.
  Duration waited{0};
  Duration time_left{0};
  std::vector<UpstreamName> excluded;
  // For a stream that goes on: only upstreams of this version may serve it.
  std::optional<std::string> software_version;
  // For a new stream whose version must be known after a loss of all instances.
  std::optional<StreamKey> stream_key;
  // Identifies the request among those of this instance that wait; 0: none.
  uint64_t ticket = 0;
  AccountId account = kNoAccount;
  uint32_t account_priority = 0;  // 0 is the highest.
  // An upstream may have run it, or a part of its stream: it may not be refused
  // as if it had not run.
  bool has_run = false;
};

using StartAttemptResult =
    std::variant<std::shared_ptr<PlacedAttempt>, Deferred, Unplaced>;

// What is known of the availability of the store.
enum class StoreStatus { kUnknown, kAvailable, kUnavailable };

// Upstreams of one service, and those that this instance itself reaches.
struct ReachCount {
  size_t reached = 0;
  size_t known = 0;
};

using CachedPart = std::pair<UpstreamName, uint64_t>;

// An upstream has become slow, or is slow no more.
struct SpeedChange {
  UpstreamName upstream;
  double factor = 1;  // See SpeedFactorOf().
  double weight = 0;  // Of the observations that it rests on.
  double failure_rate = 0;
  Duration age{0};  // Of the newest observation.
};

struct SpeedChanges {
  std::vector<SpeedChange> noted;  // The first few.
  size_t count = 0;                // Of all.
};

// The flows of one service out of this instance's failure domain, and what they
// depend on.
struct ServiceFlows {
  DemandMeter demand;
  std::map<std::string, double> mean_bytes;  // By route.
  DomainFlows flows;
  FlowInputs inputs;  // Of the last update.
  // Totals, for metrics: requests and bytes that left, by domain.
  std::map<std::pair<FailureDomain, CrossingReason>, uint64_t> requests;
  std::map<FailureDomain, uint64_t> bytes;
  // Flows that were last reported as started, and when.
  std::map<FailureDomain, std::pair<bool, Time>> reported;
};

// What several instances report.
struct FlowTotals {
  DemandRates demands;
  FlowSums flows;
};

// A flow that has started or ended.
struct FlowChange {
  ServiceName service;
  FailureDomain to;
  bool has_started = false;
  FlowInputs inputs;
};

struct PeerState {
  PeerDigest digest;  // The last one, without loads, parts and limits.
  // Upstreams that have an entry for this peer in `peer_loads`.
  std::set<UpstreamName> counted_upstreams;
  Time last_received;
};

// Not thread-safe; used from one thread, see docs/design/routing.md for why.
class Router {
 public:
  explicit Router(RouterSettings settings);
  Router(const Router&) = delete;
  Router& operator=(const Router&) = delete;

  // Puts a configuration into force. Returns false and changes nothing if its
  // version is not newer.
  bool ApplyConfig(std::shared_ptr<const RoutingConfig> config);
  std::shared_ptr<const RoutingConfig> Config() const { return m_config; }
  // Apply changes, or a complete list, as read from the store up to `as_of`.
  // Return the upstreams whose routing has changed.
  std::vector<UpstreamName> ApplyUpstreamChanges(
      const std::vector<UpstreamChange>& changes,
      LogOffset as_of,
      Time now);
  std::vector<UpstreamName> ApplyUpstreamList(
      const std::vector<UpstreamChange>& listed,
      LogOffset as_of,
      Time now);
  const UpstreamTable& Upstreams() const { return m_table; }
  // Records whether the store answers.
  void UpdateStoreStatus(bool is_available, Time now);
  // Whether a configuration and a complete list of upstreams are in force.
  bool IsReady() const;
  void SetRetryPolicy(const RetryPolicy& retries) {
    m_settings.retries = retries;
  }

  // Requests.
  // Counts a new request of `service` for its retry budget.
  void CountRequest(const ServiceName& service, Time now);
  // Chooses an upstream and adds the attempt to its load. Each attempt that is
  // returned must be passed to EndAttempt() once.
  StartAttemptResult StartAttempt(const AttemptRequest& request, Time now);
  // Whether a request of `service` may be retried at another upstream. Consumes
  // one retry of the service's budget if so.
  bool AllowRetry(const ServiceName& service, Time now);
  // Records events of a stream. The first ones tell that the prefill has ended.
  void HandleEvents(PlacedAttempt& attempt, size_t count, Time now);
  void EndAttempt(PlacedAttempt& attempt, UpstreamOutcome outcome, Time now);
  // Records that the connection of an attempt broke before an answer had gone
  // on. Whether the upstream has exited is known after RecordProbe(), or once
  // its registration changes.
  void RecordBreak(const PlacedAttempt& attempt,
                   bool reply_had_begun,
                   Time now);
  void RecordProbe(const PlacedAttempt& attempt, ProbeResult result, Time now);
  bool HasExited(const PlacedAttempt& attempt) const;
  // Whether attempts have broken at the upstream and it is not known why.
  bool IsExitPossible(const PlacedAttempt& attempt) const;
  // Records that the upstream has replied, whatever the reply says, and that
  // its process is alive.
  void RecordAnswer(const PlacedAttempt& attempt, Time now);
  // Whether the attempt has a quarantined trait and is not a trial of it.
  bool IsQuarantined(const PlacedAttempt& attempt, Time now) const;
  const RequestQuarantine& Quarantine() const { return m_quarantine; }
  // Returns the traits quarantined since the last call.
  std::vector<TraitId> TakeNewQuarantines();
  // Records what the reply to an attempt asks of this instance.
  BackpressureChange RecordReply(PlacedAttempt& attempt,
                                 const ReplySignals& signals,
                                 Time now);
  // Records that the upstream has turned the attempt away for want of room.
  void RecordRejection(const PlacedAttempt& attempt, Time now);
  // Why the attempt may not be sent any more. What is known of its upstream may
  // have changed since it was placed.
  SendBlock FindSendBlock(const PlacedAttempt& attempt, Time now) const;
  // Records that the upstream has sent bytes and is alive.
  void RecordByte(const PlacedAttempt& attempt, Time now) {
    attempt.upstream->health.last_byte_at = now;
    RefuteExit(*attempt.upstream, now);
  }

  // Paths to upstreams; see DirectPath.
  // Records whether this instance could connect to the upstream.
  PathChange RecordConnect(UpstreamState& upstream,
                           ProbeResult result,
                           Time now);
  std::map<ServiceName, ReachCount> CountReached() const;
  // Whether this instance has lost most upstreams of a service that peers
  // reach.
  bool IsCutOff(Time now) const;
  // Other instances for which peers say so, by ShortHash().
  std::set<uint32_t> CutOffPeerHashes(Time now) const;
  // Returns the upstreams to which a connection must be opened to learn whether
  // this instance still reaches them.
  std::vector<std::shared_ptr<UpstreamState>> UpstreamsToCheck(Time now) const;
  // Sets `has_lost_path` of each candidate, as far as peers have told.
  void MarkLostPaths(std::span<PeerCandidate> candidates,
                     const UpstreamState& upstream,
                     Time now) const;
  // Returns the other upstream that has last sent a byte directly to this
  // instance: one of the same service, if it has any; null if there is none.
  std::shared_ptr<UpstreamState> LastHeardBeside(
      const UpstreamState& upstream) const;
  // Records which idle connections this instance has to the upstream at
  // `address`; does nothing unless they affect placement, or if no upstream of
  // this address is registered.
  void RecordIdleConnections(const std::string& address,
                             const IdleConnections& idle);
  // Returns null if no upstream of this name is registered.
  std::shared_ptr<UpstreamState> FindUpstream(const UpstreamName& name) const;

  // Streams.
  // Records where the stream of an attempt has begun. Returns whether peers
  // must be told, since more than one version of the service serves.
  bool RecordStreamBegin(StreamKey key, const PlacedAttempt& attempt, Time now);
  void ApplyOrigins(std::span<const KeyedOrigin> streams, Time now);
  // Applies what was read in the platform's log after a start.
  void ApplyLoggedOrigins(std::span<const KeyedOrigin> streams, Time now);
  void ApplyVersions(const ServiceName& service,
                     const std::set<std::string>& versions,
                     bool is_complete,
                     Time now);
  // The versions of the upstreams that are registered now.
  VersionSets RegisteredVersions() const;
  // Takes the versions that peers know; see AdoptVersions() of the origins.
  void AdoptVersions(const ServiceName& service,
                     const std::map<std::string, Duration>& ages,
                     Time now);
  const StreamOrigins& Origins() const { return m_origins; }
  // Returns the streams that peers have to be told of since the last call:
  // those that began here before another version of their service came.
  std::vector<KeyedOrigin> TakeOriginsToSend();

  // New streams of a service follow these shares.
  void SetVersionShares(const ServiceName& service, VersionShares shares);
  // Whether the log takes origins now, so that a new stream may begin at
  // another version than its assigned one.
  void SetLogTakesOrigins(bool takes) { m_log_takes_origins = takes; }
  // Whether the version of a new stream need not be logged before its first
  // event.
  bool FollowsShares(StreamKey key,
                     const ServiceName& service,
                     const std::string& version,
                     Time now) const;
  // The upstreams that accept new requests, by software version.
  std::map<std::string, size_t> VersionCounts(const ServiceName& service) const;

  // Backlogs, which are counted and sent to peers only once this was called.
  void EnableBacklogs() { m_backlog.emplace(); }
  void BeginWait(const ServiceName& service);
  void EndWait(const ServiceName& service);
  void RecordRefusal(const ServiceName& service, Time now);
  // Of all instances, as far as known.
  ServiceBacklogs TotalBacklogs(Time now) const;

  // Peers.
  // In a large fleet some instances relay the digests of others; see
  // digest_relay.h.
  void SetRelaying(bool is_relay) { m_is_relay = is_relay; }
  // Builds a digest of this instance's load and clears the pending changes. It
  // is sent to the relay `relayed_by` or, if that is empty, to all peers.
  PeerDigest BuildDigest(bool leaving,
                         bool reads_store,
                         Time now,
                         const InstanceName& relayed_by = {});
  // For a relay: the digest for the other relays, and those for each instance
  // that it relays for.
  PeerDigest BuildGroupDigest(bool leaving, bool reads_store, Time now);
  std::vector<std::pair<InstanceName, PeerDigest>>
  BuildRelayedDigests(bool leaving, bool reads_store, Time now);
  bool HasChangesToSend() const { return m_has_pending_changes; }
  bool HasChangesToRelay() const { return m_has_pending_relay_changes; }
  // Returns false for a digest that is not newer than the sender's last one,
  // unless the sender has been silent since.
  bool HandleDigest(const PeerDigest& digest, Time now);
  const std::map<InstanceName, PeerState>& Peers() const { return m_peers; }
  // The newest record of the duties that any digest, or this instance, has
  // told of.
  void MergeDutyNotice(const DutyNotice& notice);
  const DutyNotice& Duties() const { return m_duties; }
  // Other instances that serve callers according to peers, by ShortHash().
  std::set<uint32_t> ServingPeerHashes(Time now) const;
  size_t LivePeerCount(Time now) const;
  // Whether the sender of `digest` has a configuration, or registrations, that
  // this instance lacks.
  bool IsConfigBehind(const PeerDigest& digest) const;
  bool AreUpstreamsBehind(const PeerDigest& digest) const;
  // The position from which this instance lacks the sender's registrations; 0
  // if it needs all of them.
  LogOffset UpstreamsKnownTo(const PeerDigest& digest) const;
  // The newest version that this instance or a peer has in force; 0 if none.
  uint64_t NewestKnownConfigVersion() const;
  // Since when this instance has known of a newer version than its own without
  // getting one; nothing while it has the newest known one.
  std::optional<Time> ConfigBehindSince() const {
    return m_config_behind_since;
  }
  // When a peer that reads the store last reported the same state as this
  // instance's.
  Time LastReaderMatch() const { return m_last_reader_match; }

  // Drops expired upstreams and silent peers. To be called regularly.
  void Tick(Time now);
  const RouterSettings& Settings() const { return m_settings; }
  const std::map<ServiceName, EngineEstimate>& Engines() const {
    return m_engines;
  }
  std::vector<const UpstreamState*> AllUpstreams() const;
  // Of services whose engines have few slots.
  const std::map<ServiceName, SlotAdmission>& Slots() const { return m_slots; }
  // Of services whose streams are isolated.
  const std::map<ServiceName, IsolatedEngines>& Isolated() const {
    return m_isolated;
  }
  // Returns the upstreams that have become slow, or are no more, since the last
  // call.
  SpeedChanges TakeSpeedChanges();
  // Of services whose flows between failure domains are controlled.
  const std::map<ServiceName, ServiceFlows>& Flows() const { return m_flows; }
  // Returns the flows that have started or ended since the last call, at most
  // one a second for each service and domain.
  std::vector<FlowChange> TakeFlowChanges();
  // Of services that accounts share fairly.
  const std::map<ServiceName, AccountShares>& Accounts() const {
    return m_accounts;
  }

 private:
  struct DepartedUpstream {
    std::shared_ptr<UpstreamState> state;
    Time departed_at;
  };

  struct FirstEventSample {
    uint32_t upstream = 0;  // See SpeedKeyOf().
    double tokens = 0;
    double ms = 0;
  };

  // What instances share of the upstreams of one service.
  struct ServiceSpeeds {
    SpeedPool pool;
    std::vector<FirstEventSample> samples;  // See CalibrateEstimate().
    EstimateBias first_event_bias;
    EstimateBias token_time_bias;
  };

  // Returns the state of the process that the attempt was sent to.
  UpstreamState& CurrentState(const PlacedAttempt& attempt) const;
  // Notices from a position that the store was restored from an older copy.
  void NoteRestore(LogOffset as_of, Time now);
  // Returns the state of the process that `record` is of, or a new one.
  std::shared_ptr<UpstreamState> FindOrMakeState(const UpstreamRecord& record,
                                                 Time now);
  bool WasHigherPriorityRefused(const AttemptRequest& request, Time now) const;
  // Those of the version that the request's stream is assigned, if any is.
  std::vector<UpstreamState*> AssignedCandidates(
      const AttemptRequest& request,
      std::span<UpstreamState* const> candidates) const;
  std::vector<UpstreamState*> CollectCandidates(const ServiceName& service,
                                                Time now);
  // Returns 0 while no candidate's room matters.
  double UnseenStartsOf(const ServiceName& service,
                        std::span<UpstreamState* const> candidates,
                        Time now) const;
  RequestAssessment Assess(std::span<const RequestTrait> traits,
                           Time now) const;
  void RecordAnswerIfGoingOn(const PlacedAttempt& attempt,
                             uint64_t events_before,
                             Time now);
  void ProcessExits(Time now);
  void UpdateVersions(Time now);
  void RecordChangedVersions(std::span<const UpstreamChange> changes, Time now);
  void SendOriginsIfNewlyMixed(const ServiceName& service, bool was_mixed);
  void RecordVersionsOf(std::span<const StreamOrigin> registered, Time now);
  void AddQuarantines(const std::vector<TraitId>& traits);
  // Updates `m_states` and `m_by_service` from the records of `changed`.
  void SyncStates(std::span<const UpstreamName> changed, Time now);
  void DropPeerLoads(const InstanceName& peer);
  std::vector<uint32_t> LostUpstreamHashes() const;
  void UpdatePeerPaths(Time now);
  ServiceBacklogs LocalBacklogs(Time now) const;
  PeerDigest MakeDigestHeader(bool leaving, bool reads_store, Time now);
  void QueuePart(const UpstreamState& upstream, uint64_t part, Time now);
  // Marks the load at the attempt's upstream as changed, for the next digests.
  void MarkLoadChanged(const PlacedAttempt& attempt);
  // Whether this instance relays the digests of `peer`.
  bool IsRelayedHere(const PeerState& peer, Time now) const;
  bool HasOtherReader(const InstanceName& name, Time now) const;
  void ApplyLoads(PeerState& peer, const PeerDigest& digest, Time now);
  void ApplyParts(const PeerDigest& digest, Time now);
  void ApplyNotices(const PeerDigest& digest, Time now);
  void ApplyExitNotices(const PeerDigest& digest, Time now);
  std::vector<ExitNotice> BuildExitNotices(Time now) const;
  void ApplyTraitNotices(const PeerDigest& digest, Time now);
  std::vector<UpstreamNotice> BuildNotices(Time now) const;
  // Returns null unless the service's engines have few slots.
  SlotAdmission* SlotsOf(const RoutedService& service);
  void UpdateSlots(Time now);
  // Whether placement prefers upstreams with idle connections.
  bool PrefersIdleConnections(const RoutedService& service) const;
  void IndexAddresses();
  // Updates which engines are isolated.
  void UpdateIsolation(Time now);
  bool IsolatesStreams(const RoutedService& service) const;
  // Whether instances share the speeds of the service's upstreams. While they
  // do not, the functions below change nothing.
  bool SharesSpeeds(const ServiceName& name) const;
  // Record and queue the time to a first event without prefill ahead, and the
  // time of a token. Return what the mean upstream would have taken, for the
  // service's estimate.
  Duration ShareFirstEvent(const PlacedAttempt& attempt,
                           Duration elapsed,
                           Time now);
  double ShareTokenTime(const PlacedAttempt& attempt,
                        double token_ms,
                        double fraction,
                        Time now);
  void ShareOutcome(const PlacedAttempt& attempt,
                    UpstreamOutcome outcome,
                    Time now);
  void ShareDuration(const PlacedAttempt& attempt,
                     double weight,
                     EstimateBias& bias,
                     double observed_ms,
                     double expected_ms,
                     Time now);
  void ShareObservation(const PlacedAttempt& attempt,
                        const SpeedObservation& observation,
                        Time now);
  std::vector<SpeedObservation> TakeSpeedsToSend(Time now);
  void ApplySpeeds(const PeerDigest& digest, Time now);
  void IndexSpeeds();
  void CalibrateEstimate(const ServiceName& name,
                         const ServiceSpeeds& speeds,
                         Time now);
  // Discards what was observed of a process that has ended.
  void ForgetSpeed(const UpstreamState& ended);
  // Updates `shared_speed` of all upstreams, if that was not done just now.
  void RefreshSpeeds(Time now);
  void NoteSpeedChange(const UpstreamState& upstream,
                       const SharedSpeed& shared,
                       Time now);
  // Whether flows of the service between failure domains are controlled.
  bool ControlsFlows(const RoutedService& service) const;
  DomainCrossing CrossingOf(const AttemptRequest& request,
                            const RoutedService& service) const;
  void RecordArrival(const ServiceName& service, Time now);
  void RecordCrossing(const PlacedAttempt& attempt);
  void RecordBytes(const PlacedAttempt& attempt,
                   UpstreamOutcome outcome,
                   Time now);
  void UpdateFlows(Time now);
  // The inputs of all services but for what concerns one of them.
  FlowInputs MakeFlowInputs(const ServiceName& service,
                            const DemandRates& demands,
                            const FlowReports& reports,
                            Time now);
  void NoteFlowChanges(const ServiceName& service,
                       ServiceFlows& state,
                       Time now);
  FlowDigest LocalFlows(Time now) const;
  // What this instance and the peers that `includes` accepts report.
  FlowTotals SumFlows(const std::function<bool(const InstanceName&)>& includes,
                      Time now) const;
  FlowDigest MakeFlowDigest(const FlowTotals& totals) const;
  // Returns nothing unless requests of the service are placed by memory.
  std::optional<TokenDemand> TokensOf(const AttemptRequest& request,
                                      const RoutedService& service) const;
  void RecordSlotUse(const AttemptRequest& request, Time now);
  void RecordSlotTime(const PlacedAttempt& attempt, Time now);
  // Returns null unless accounts share the service fairly.
  AccountShares* SharesOf(const RoutedService& service);
  ShareQuestion ShareQuestionOf(const AttemptRequest& request,
                                uint32_t prefill_tokens);
  // Returns a result for a request that may not be placed now, since its
  // account is over its share.
  std::optional<StartAttemptResult> HoldForShare(const AttemptRequest& request,
                                                 const RoutedService& service,
                                                 Time now);
  void RecordWork(const AttemptRequest& request,
                  uint32_t prefill_tokens,
                  Time now);
  void NoteUnplaced(const AttemptRequest& request, Time now);
  void UpdateAccounts(Time now);
  // Work by account: started here; also by the instances that this one relays
  // for; by all instances, as far as known; and by all except `peer`.
  ServiceAccountWork LocalAccountWork(Time now) const;
  ServiceAccountWork GroupAccountWork(Time now) const;
  ServiceAccountWork TotalAccountWork(Time now) const;
  static ServiceAccountWork WorkOfOthers(const ServiceAccountWork& total,
                                         const PeerState& peer,
                                         Time now);
  // Divides the upstreams' limits among the instances that serve now.
  void DivideLimits(Time now);

  RouterSettings m_settings;
  std::shared_ptr<const RoutingConfig> m_config;
  UpstreamTable m_table;
  std::unordered_map<UpstreamName, std::shared_ptr<UpstreamState>> m_states;
  std::map<ServiceName, std::vector<UpstreamState*>> m_by_service;
  // Empty unless idle connections affect placement.
  std::unordered_map<std::string, UpstreamState*> m_by_address;
  // Upstreams that ask for anything and whose registration is gone: it may come
  // back for the same process.
  std::map<UpstreamName, DepartedUpstream> m_departed;
  // Upstreams whose registration has expired in an outage of the store, and
  // when they are dropped; see RouterSettings::expiry_grace_period.
  std::map<UpstreamName, Time> m_removal_deadlines;
  StoreStatus m_store_status = StoreStatus::kUnknown;
  Time m_store_recovered_at;
  // When the store was seen to be restored from an older copy.
  std::optional<Time> m_store_restored_at;
  std::map<ServiceName, SharedRetryBudget> m_retry_budgets;
  std::map<ServiceName, RequestRate> m_request_rates;
  ExitWatch m_exits;
  RequestQuarantine m_quarantine;
  std::vector<TraitId> m_new_quarantines;
  StreamOrigins m_origins;
  std::map<ServiceName, VersionShares> m_version_shares;
  bool m_log_takes_origins = false;
  std::vector<KeyedOrigin> m_origins_to_send;
  // Time of the last refusal for lack of capacity, by service and priority.
  std::map<ServiceName, std::map<uint32_t, Time>> m_last_refusals;
  std::optional<BacklogCount> m_backlog;
  std::map<ServiceName, EngineEstimate> m_engines;
  // Of services whose engines have few slots.
  std::map<ServiceName, SlotAdmission> m_slots;
  // Of services whose streams are isolated.
  std::map<ServiceName, IsolatedEngines> m_isolated;
  // Of services whose flows between failure domains are controlled.
  std::map<ServiceName, ServiceFlows> m_flows;
  std::vector<FlowChange> m_flow_changes;
  size_t m_flow_instances = 1;  // That served when digests last arrived.
  // Of services that accounts share fairly.
  std::map<ServiceName, AccountShares> m_accounts;
  // Of all accounts of this version of the configuration.
  std::unordered_map<AccountId, uint32_t> m_account_priorities;
  uint64_t m_account_priorities_version = 0;
  uint64_t m_round_robin_index = 0;  // For kRoundRobin.
  std::map<InstanceName, PeerState> m_peers;
  DutyNotice m_duties;
  // Recently cached parts that are still to be sent: to all peers or the other
  // relays, and to the instances that this one relays for.
  std::deque<CachedPart> m_parts_to_send;
  std::deque<CachedPart> m_parts_to_relay;
  // Of services whose speeds are shared.
  std::map<ServiceName, ServiceSpeeds> m_speeds;
  std::unordered_map<uint32_t, UpstreamState*> m_by_speed_key;
  // As for the parts.
  SpeedQueue m_speeds_to_send;
  SpeedQueue m_speeds_to_relay;
  Time m_speeds_refreshed_at;
  SpeedChanges m_speed_changes;
  // Upstreams whose local load has changed since the last digest.
  std::set<UpstreamName> m_changed_loads;
  Time m_last_full_digest;
  // The same for the loads of a relay's group.
  std::set<UpstreamName> m_changed_group_loads;
  Time m_last_full_group_digest;
  TraitNoticeSchedule m_sent_trait_notices;
  TraitNoticeSchedule m_relayed_trait_notices;
  InstanceName m_last_relayed_by;
  uint64_t m_digest_sequence = 0;
  std::vector<Time> m_recent_path_losses;
  bool m_has_pending_changes = false;
  bool m_has_pending_relay_changes = false;
  bool m_is_relay = false;
  Time m_last_reader_match;
  std::optional<Time> m_config_behind_since;
  uint64_t m_random;
};

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_ROUTER_H_
