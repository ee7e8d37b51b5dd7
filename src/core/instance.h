// Defines Instance: the core of a pomeloring instance, with its roles as entry,
// scheduler, member and log reader. It is driven by events and returns actions;
// it does no I/O and reads no clock.

#ifndef POMELORING_CORE_INSTANCE_H_
#define POMELORING_CORE_INSTANCE_H_

#include <array>
#include <atomic>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "core/action.h"
#include "core/cell.h"
#include "core/cluster_view.h"
#include "core/engine_order.h"

#include "core/config_history.h"
#include "core/entry.h"
#include "core/idempotency_key.h"
#include "core/key_claim.h"
#include "core/membership.h"
#include "core/timeline.h"

namespace pomeloring {

struct InstanceSettings {
  Member self;
  std::vector<std::string> seeds;  // UDP addresses of members to contact first.
  MembershipSettings membership;
  CellSettings cell;
  Duration log_retention = seconds(3600);  // Of the platform's log.
  Duration running_report_interval = seconds(1);
  Duration claim_timeout = seconds(2);  // From the claim to reading it back.
  size_t timeline_capacity = 65536;     // Events.
  uint64_t random_seed = 1;
};

struct MissingSetting {
  std::string field;
};
using InstanceError = std::variant<MissingSetting>;

// The status of a cell and its replicas, for operators.
struct ReplicaSummary {
  UpstreamName upstream;
  uint32_t running = 0;
  double limit = 0;       // Concurrent requests.
  Duration step_time{0};  // Average time between tokens; zero: unknown.
  bool leaving = false;
  bool ejected = false;
};
struct CellSummary {
  CellId id;
  bool is_scheduler = false;
  std::map<Tier, size_t> waiting;  // Queued slot requests.
  std::vector<ReplicaSummary> replicas;
};

// Thread-safe. The state is split into parts with a mutex each; to rule out
// deadlocks, no thread ever holds two of these mutexes at once.
class Instance {
 public:
  explicit Instance(InstanceSettings settings);
  Instance(const Instance&) = delete;
  Instance& operator=(const Instance&) = delete;

  // Events from callers and upstreams.
  RequestId NextRequestId();
  Actions HandleCallerRequest(const CallerRequest& request, Time now);
  Actions HandleCallerDisconnected(const RequestId& request, Time now);
  Actions HandleFirstToken(const AttemptId& attempt, Time now);
  // `tokens` counts those delivered to the caller over all attempts.
  Actions HandleAttemptEnded(const AttemptId& attempt,
                             const AttemptOutcome& outcome,
                             uint32_t tokens,
                             Time now);
  // A forwarded request has ended at its owner, and the daemon has replied to
  // the caller. `outcome` goes into the timeline.
  void HandleForwardEnded(const RequestId& request,
                          std::string_view outcome,
                          Time now);

  // Events from other instances.
  Actions HandleSlotMessage(const InstanceName& from,
                            const SlotMessage& message,
                            HybridTime stamp,
                            Time now);
  Actions HandleDatagram(std::string_view from_address,
                         const MembershipMessage& message,
                         Time now);
  Actions HandlePeerConfiguration(ConfigInForce peer_state, Time now);

  // Events from the platform.
  LogOffset NextOffset(LogStream stream) const;  // To read from next.
  // `is_end` says that the log held no further records. Until a reader has
  // reached the end once or adopted a peer's state, its configuration may be
  // outdated and is not put in force.
  Actions HandleLogRead(LogStream stream,
                        std::vector<LogRecord> records,
                        LogOffset first_retained,
                        bool is_end,
                        Time now);
  Actions HandleLogReadFailed(LogStream stream, Time now);
  Actions HandleAppendEnded(LogStream stream, bool succeeded, Time now);
  // `leaving` are the upstreams that the platform lists as leaving. Both lists
  // may be out of date.
  Actions HandleInstanceList(const std::vector<std::string>& probe_addresses,
                             const std::set<UpstreamName>& leaving,
                             Time now);

  // Events from engines.
  Actions HandleOrderEnded(const EngineOrder& order,
                           const OrderOutcome& outcome,
                           Time now);
  Actions HandleEngineRead(const UpstreamName& upstream,
                           const std::optional<EngineReading>& reading,
                           Time now);

  // The timer, and graceful shutdown.
  Actions HandleTick(Time now);
  Actions HandleStop(Time now);

  // Status.
  std::shared_ptr<const ClusterView> View() const;
  // Whether a configuration is in force and the instance is not shutting down.
  bool IsReady() const;
  // Requests without a final answer, including those that wait for a claim.
  size_t InFlight() const;
  std::optional<ConfigInForce> ConfigurationInForce() const;
  // Empty if this instance has not applied the record itself, or no longer
  // keeps its outcome.
  std::optional<PublishOutcome> FindPublishOutcome(
      const std::string& publish_id) const;
  // All known members, dead ones included, with this instance first.
  std::vector<Member> KnownMembers() const;
  std::vector<CellSummary> Cells(Time now) const;
  // The engines that this instance sends orders to.
  std::vector<EngineRecord> Engines() const;
  const Timeline& EventTimeline() const { return m_timeline; }
  const InstanceSettings& Settings() const { return m_settings; }

 private:
  struct GuardedEntryShard {
    mutable std::mutex mutex;
    EntryShard shard;
  };
  struct GuardedCell {
    mutable std::mutex mutex;
    CellState cell;
    uint64_t configured_generation = 0;  // Of the view it was configured from.
  };
  struct GuardedKeyTable {
    mutable std::mutex mutex;
    KeyTable table;
  };
  static constexpr size_t kShards = 8;  // Of entries and of keys, each.

  GuardedEntryShard& EntryShardFor(const RequestId& request);
  GuardedKeyTable& KeyTableFor(std::string_view key);
  std::shared_ptr<GuardedCell> FindOrCreateCell(const CellId& id,
                                                const ClusterView& view);

  // Starts, forwards or claims a request with an idempotency key.
  void StartWithKey(const CallerRequest& request, Time now, Actions& out);
  // Starts a request whose key this incarnation owns, unless the key was used.
  void StartOwnedKey(const CallerRequest& request, Time now, Actions& out);
  // Starts the request, or finishes it if it is not admitted.
  void AdmitAndStart(const CallerRequest& request,
                     Time received,
                     Time now,
                     Actions& out);
  void ForwardToOwner(const CallerRequest& request,
                      Incarnation owner,
                      Time now,
                      Actions& out);
  // Claims an opaque key, or starts or forwards the request if the owner of the
  // key is known.
  void ClaimKey(const CallerRequest& request, Time now, Actions& out);
  // Appends the claims that have not been sent yet, unless an append is in
  // flight.
  void AppendClaims(Actions& out);
  void FinishUnstarted(const CallerRequest& request,
                       const Outcome& outcome,
                       Time now,
                       Actions& out);
  // Counts the request against its account's limit, or returns why it is
  // refused.
  std::optional<NotRun> TryAdmit(const CallerRequest& request, Time now);

  void ApplyEntryOutput(EntryOutput output, Time now, Actions& out);
  void HandleRequestEnded(const RequestEnded& ended, Time now);
  void ApplyMembershipOutput(MembershipOutput output, Time now, Actions& out);
  void HandleMemberChange(const Member& member, Time now, Actions& out);
  void Deliver(const InstanceName& from,
               const SlotMessage& message,
               Time now,
               Actions& out);
  void DeliverToCell(const InstanceName& from,
                     const SlotMessage& message,
                     const CellId& cell,
                     Time now,
                     Actions& out);
  void DeliverToEntry(const InstanceName& from,
                      const SlotMessage& message,
                      Time now,
                      Actions& out);
  // Handles the messages in `out` that are addressed to this instance, and any
  // that result from them, and returns the remaining actions.
  Actions DeliverLocally(Actions out, Time now);
  void SendReplies(CellReplies replies,
                   const ClusterView& view,
                   Time now,
                   Actions& out);

  void RebuildView(Time now, Actions& out);
  void ReconfigureCells(const ClusterView& view, Time now, Actions& out);
  void TickCells(Time now, Actions& out);
  void TickEntries(Time now, Actions& out);
  void TickClaims(Time now, Actions& out);
  void TickSnapshots(Time now, Actions& out);
  void TickEngines(Time now, Actions& out);
  void ReportRunning(Time now, Actions& out);
  void ProbeSchedulers(Time now, Actions& out);
  // Resends the slot requests that are queued at `lost` to other schedulers.
  void ResendSlotRequests(const InstanceName& lost, Time now, Actions& out);
  // Records in the timeline that an attempt starts, or that a slot request is
  // sent or withdrawn.
  void RecordAction(const Action& action, Time now);

  const InstanceSettings m_settings;
  Timeline m_timeline;
  std::atomic<uint64_t> m_next_request{1};
  std::atomic<bool> m_stopping{false};

  std::array<GuardedEntryShard, kShards> m_entries;
  std::array<GuardedKeyTable, kShards> m_keys;

  mutable std::mutex m_cells_mutex;
  std::map<CellId, std::shared_ptr<GuardedCell>> m_cells;
  uint64_t m_cells_generation = 0;  // Of the view last applied to the cells.

  mutable std::mutex m_claims_mutex;
  ClaimLog m_claims;
  std::map<RequestId, CallerRequest> m_awaiting_claim;

  mutable std::mutex m_membership_mutex;
  MembershipState m_membership;

  mutable std::mutex m_config_mutex;
  ConfigHistory m_history;
  bool m_has_caught_up = false;
  Time m_next_snapshot;
  uint64_t m_random;

  std::atomic<uint64_t> m_last_view_generation{0};
  mutable std::mutex m_view_mutex;
  std::shared_ptr<const ClusterView> m_view;
  std::set<UpstreamName> m_leaving_by_platform;
  Time m_next_running_report;

  mutable std::mutex m_engines_mutex;
  EngineTable m_engines;
  uint64_t m_engines_generation = 0;  // Of the view last applied to it.

  struct SchedulerProbeState {
    Time sent;
    bool answered = true;
  };
  std::mutex m_scheduler_probes_mutex;
  std::map<InstanceName, SchedulerProbeState> m_scheduler_probes;

  mutable std::mutex m_limits_mutex;
  // Requests in flight. Counted by tier as well, so that an account's lower
  // tiers cannot exhaust the limit for its higher ones.
  std::map<std::pair<AccountName, Tier>, uint32_t> m_in_flight;
  std::map<ServiceName, Time> m_service_down_until;
  // Cells that had running requests in the last report.
  std::map<CellId, bool> m_reported_running;
};

// Builds an Instance; Build() fails if a required setting is missing.
class InstanceBuilder {
 public:
  InstanceBuilder& WithSelf(Member self);
  InstanceBuilder& WithSeeds(std::vector<std::string> seeds);
  InstanceBuilder& WithMembership(MembershipSettings membership);
  InstanceBuilder& WithCell(CellSettings cell);
  InstanceBuilder& WithLogRetention(Duration retention);
  InstanceBuilder& WithRandomSeed(uint64_t seed);
  std::variant<std::unique_ptr<Instance>, InstanceError> Build();

 private:
  InstanceSettings m_settings;
};

}  // namespace pomeloring

#endif  // POMELORING_CORE_INSTANCE_H_
