#include "core/cell.h"

#include <algorithm>

#include "core/cell_capacity.h"
#include "core/cell_partition.h"
#include "core/grant_order.h"
#include "core/slots_in_use.h"

namespace pomeloring {
namespace {

// A slot request that would wait for more than this fraction of the time left
// until its latest start is declined at once. A longer queue does not serve
// more requests; it only makes each one start at the last possible moment, with
// no slack for cached prefixes or a slow first token.
constexpr double kMaxWaitFraction = 0.45;
// Maximum time for which a decline blocks lower tiers. Slots that stay idle for
// callers that may not retry benefit nobody.
constexpr Duration kMaxLowerTierBlock = seconds(2);
constexpr Duration kSweepInterval = milliseconds(500);
// The adaptive limit starts at this fraction of the configured slots.
constexpr double kInitialLimitFraction = 0.5;

bool HasEligibleReplica(const CellState& cell, const SlotRequest& request) {
  return std::any_of(
      cell.replicas.begin(), cell.replicas.end(), [&](const Replica& replica) {
        return !replica.leaving &&
               std::find(request.excluded.begin(), request.excluded.end(),
                         replica.upstream.name) == request.excluded.end();
      });
}

void BlockLowerTiers(CellState& cell, Tier tier, Time deadline, Time now) {
  Time& until = cell.lower_tiers_blocked_until[tier];
  until = std::max(until, std::min(deadline, now + kMaxLowerTierBlock));
}

CellReply Decline(CellState& cell,
                  const QueuedSlotRequest& queued,
                  DeclineReason reason,
                  Time now) {
  if (reason == DeclineReason::kTooLate ||
      reason == DeclineReason::kOverloaded) {
    BlockLowerTiers(cell, queued.tier, queued.deadline, now);
  }
  return {queued.entry,
          Declined{queued.request.attempt, reason, RetryAfter(cell, now)}};
}

// Estimated time from the grant until the target of a class is met.
Duration EstimatedTimeToTarget(const CellState& cell,
                               const RequestClass& class_config) {
  return class_config.first_token_target.count() > 0
             ? FirstTokenTime(cell.estimate, class_config.name)
             : SlotTime(cell.estimate, class_config.name);
}

Duration TargetOf(const RequestClass& class_config) {
  return class_config.first_token_target.count() > 0
             ? class_config.first_token_target
             : class_config.answer_target;
}

QueuedSlotRequest MakeQueuedRequest(const CellState& cell,
                                    const InstanceName& entry,
                                    const SlotRequest& request,
                                    const RequestClass& class_config,
                                    Time now) {
  QueuedSlotRequest queued;
  queued.request = request;
  queued.entry = entry;
  queued.tier = class_config.tier;
  queued.drop_when_late = class_config.when_late == LatePolicy::kDrop;
  queued.arrived_at = now - request.waited;
  // A request that is served late keeps its target as the deadline, instead of
  // the end of its maximum wait. Otherwise it would always be ordered after
  // requests that are dropped.
  queued.deadline = queued.drop_when_late
                        ? now + request.time_left
                        : queued.arrived_at + TargetOf(class_config);
  queued.latest_start =
      queued.deadline - EstimatedTimeToTarget(cell, class_config);
  queued.renewed_at = now;
  queued.aged_at = queued.arrived_at + class_config.max_wait / 2;
  return queued;
}

bool WouldWaitTooLong(const CellState& cell,
                      const QueuedSlotRequest& queued,
                      Time now) {
  if (!queued.drop_when_late) {
    return false;
  }
  const size_t ahead =
      SlotRequestsAhead(cell.queue, queued.tier, queued.latest_start, now);
  const Duration wait = TimeToDrain(cell, ahead + 1, now);
  const auto max_estimated_wait = std::chrono::duration_cast<Duration>(
      (queued.latest_start - now) * kMaxWaitFraction);
  return wait > max_estimated_wait;
}

void DeclineTooLate(CellState& cell, CellReplies& replies, Time now) {
  std::vector<AttemptId> too_late;
  for (const auto& [tier, tier_queue] : cell.queue.tiers) {
    for (const StartOrderKey& key : tier_queue.droppable) {
      if (key.first >= now) {
        break;
      }
      too_late.push_back(key.second);
    }
  }
  for (const AttemptId& attempt : too_late) {
    const auto queued = RemoveSlotRequest(cell.queue, attempt);
    replies.push_back(Decline(cell, *queued, DeclineReason::kTooLate, now));
  }
}

void ExpireUnrenewed(CellState& cell, Time now) {
  std::vector<AttemptId> expired;
  for (const auto& [attempt, queued] : cell.queue.requests) {
    if (now - queued.renewed_at > cell.settings.renewal_timeout) {
      expired.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : expired) {
    RemoveSlotRequest(cell.queue, attempt);
  }
}

// Declines slot requests whose last upstream has left while they were queued.
void DeclineWithoutUpstream(CellState& cell, CellReplies& replies, Time now) {
  std::vector<AttemptId> without_upstream;
  for (const auto& [attempt, queued] : cell.queue.requests) {
    if (!HasEligibleReplica(cell, queued.request)) {
      without_upstream.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : without_upstream) {
    const auto queued = RemoveSlotRequest(cell.queue, attempt);
    replies.push_back(Decline(cell, *queued, DeclineReason::kNoUpstream, now));
  }
}

bool HasSameReplicas(const CellState& cell,
                     std::span<const Upstream> upstreams) {
  return std::equal(cell.replicas.begin(), cell.replicas.end(),
                    upstreams.begin(), upstreams.end(),
                    [](const Replica& replica, const Upstream& upstream) {
                      return replica.upstream.name == upstream.name &&
                             replica.upstream.slots == upstream.slots;
                    });
}

Duration TightestStepTarget(const CellState& cell) {
  Duration tightest{0};
  for (const auto& [name, class_config] : cell.classes) {
    const Duration target = class_config.between_tokens_target;
    if (target.count() > 0 && (tightest.count() == 0 || target < tightest)) {
      tightest = target;
    }
  }
  return tightest;
}

// Without a step target there is nothing to adapt to, and the limit is the
// configured number of slots.
double InitialLimit(const CellState& cell, const Upstream& upstream) {
  const auto slots = static_cast<double>(upstream.slots);
  const bool is_adaptive = TightestStepTarget(cell) > Duration{0};
  return is_adaptive ? std::max(1.0, kInitialLimitFraction * slots) : slots;
}

void RebuildReplicas(CellState& cell, std::span<const Upstream> upstreams) {
  std::vector<Replica> replicas;
  std::map<uint32_t, uint32_t> moved;  // Old index to new.
  for (const Upstream& upstream : upstreams) {
    const std::optional<uint32_t> old = ReplicaIndex(cell, upstream.name);
    Replica replica;
    if (old) {
      moved[*old] = static_cast<uint32_t>(replicas.size());
      replica = std::move(cell.replicas[*old]);
      // Restores the moved name for the next look-ups.
      cell.replicas[*old].upstream.name = upstream.name;
      replica.limit =
          std::min(replica.limit, static_cast<double>(upstream.slots));
    } else {
      replica.limit = InitialLimit(cell, upstream);
    }
    replica.upstream = upstream;
    replicas.push_back(std::move(replica));
  }
  cell.replicas = std::move(replicas);
  std::erase_if(cell.grants, [&](const auto& entry) {
    return !moved.contains(entry.second.replica);
  });
  for (auto& [attempt, grant] : cell.grants) {
    grant.replica = moved.at(grant.replica);
  }
}

CellReplies QueueOrDecline(CellState& cell,
                           QueuedSlotRequest queued,
                           Time now) {
  CellReplies replies;
  if (!HasEligibleReplica(cell, queued.request)) {
    return {Decline(cell, queued, DeclineReason::kNoUpstream, now)};
  }
  if (WouldWaitTooLong(cell, queued, now)) {
    return {Decline(cell, queued, DeclineReason::kTooLate, now)};
  }
  if (cell.queue.requests.size() >= cell.settings.max_queue_length) {
    const QueuedSlotRequest* last = EvictionCandidate(cell.queue, queued.tier);
    if (last == nullptr) {
      return {Decline(cell, queued, DeclineReason::kOverloaded, now)};
    }
    const auto evicted = RemoveSlotRequest(cell.queue, last->request.attempt);
    replies.push_back(Decline(cell, *evicted, DeclineReason::kOverloaded, now));
  }
  const AttemptId attempt = queued.request.attempt;
  const InstanceName entry = queued.entry;
  AddSlotRequest(cell.queue, std::move(queued));
  GrantFreeSlots(cell, replies, now);
  if (cell.queue.requests.contains(attempt)) {
    replies.push_back({entry, Queued{attempt, cell.id}});
  }
  return replies;
}

}  // namespace

void ConfigureCell(CellState& cell,
                   const Configuration& configuration,
                   std::span<const Upstream> replicas,
                   const std::set<UpstreamName>& leaving) {
  cell.classes.clear();
  std::set<Tier> tiers;
  for (const auto& [name, class_config] : configuration.classes) {
    if (class_config.service == cell.service) {
      cell.classes[name] = class_config;
      tiers.insert(class_config.tier);
    }
  }
  cell.tiers.assign(tiers.begin(), tiers.end());
  if (!HasSameReplicas(cell, replicas)) {
    RebuildReplicas(cell, replicas);
  }
  cell.replicas_hash = HashReplicas(replicas);
  for (size_t i = 0; i < replicas.size(); ++i) {
    cell.replicas[i].upstream = replicas[i];
    cell.replicas[i].leaving = leaving.contains(replicas[i].name);
  }
}

CellReplies HandleSlotRequest(CellState& cell,
                              const InstanceName& entry,
                              const SlotRequest& request,
                              Time now) {
  const auto granted = cell.grants.find(request.attempt);
  if (granted != cell.grants.end()) {
    // The grant was lost or is in transit: repeat it.
    const UpstreamName& name =
        cell.replicas[granted->second.replica].upstream.name;
    return {{entry, Granted{request.attempt, cell.id, name}}};
  }
  const auto queued = cell.queue.requests.find(request.attempt);
  if (queued != cell.queue.requests.end()) {
    queued->second.renewed_at = now;
    return {{entry, Queued{request.attempt, cell.id}}};
  }
  const auto class_config = cell.classes.find(request.request_class);
  if (class_config == cell.classes.end()) {
    return {{entry, Declined{request.attempt, DeclineReason::kNotScheduler,
                             cell.settings.min_retry_after}}};
  }
  return QueueOrDecline(
      cell, MakeQueuedRequest(cell, entry, request, class_config->second, now),
      now);
}

CellReplies HandleWithdraw(CellState& cell,
                           const Withdraw& withdraw,
                           Time now) {
  CellReplies replies;
  RemoveSlotRequest(cell.queue, withdraw.attempt);
  ReleaseGrant(cell, withdraw.attempt);
  GrantFreeSlots(cell, replies, now);
  return replies;
}

CellReplies HandleSlotReport(CellState& cell,
                             const InstanceName& entry,
                             const SlotReport& report,
                             Time now) {
  CellReplies replies;
  const auto grant = cell.grants.find(report.attempt);
  if (grant != cell.grants.end() && report.outcome == SlotOutcome::kAnswered) {
    RecordCompletion(cell.estimate, grant->second.request_class, report.total,
                     report.first_token, now);
  }
  const bool was_granted_here = grant != cell.grants.end();
  ReleaseGrant(cell, report.attempt);
  if (const auto index = ReplicaIndex(cell, report.upstream)) {
    if (!was_granted_here) {
      ReleaseInheritedSlot(cell.replicas[*index], entry);
    }
    RecordSlotReport(cell.replicas[*index], report, {TightestStepTarget(cell)},
                     now);
    EjectOutliers(cell.replicas, now);
  }
  GrantFreeSlots(cell, replies, now);
  return replies;
}

CellReplies HandleRunningSlots(CellState& cell,
                               const InstanceName& entry,
                               const RunningSlots& running,
                               Time now) {
  CellReplies replies;
  ReconcileRunning(cell, entry, running, now);
  GrantFreeSlots(cell, replies, now);
  return replies;
}

CellReplies RemoveEntry(CellState& cell, const InstanceName& entry, Time now) {
  for (const AttemptId& attempt : SlotRequestsOf(cell.queue, entry)) {
    RemoveSlotRequest(cell.queue, attempt);
  }
  ReleaseSlotsOf(cell, entry);
  CellReplies replies;
  GrantFreeSlots(cell, replies, now);
  return replies;
}

CellReplies ReturnQueue(CellState& cell) {
  CellReplies replies;
  for (const auto& [attempt, queued] : cell.queue.requests) {
    replies.push_back(
        {queued.entry, Declined{attempt, DeclineReason::kNotScheduler,
                                cell.settings.min_retry_after}});
  }
  cell.queue = {};
  return replies;
}

CellReplies TickCell(CellState& cell, Time now) {
  CellReplies replies;
  if (now >= cell.next_sweep) {
    cell.next_sweep = now + kSweepInterval;
    ReleaseUnreportedSlots(cell, now);
    ExpireUnrenewed(cell, now);
    DeclineWithoutUpstream(cell, replies, now);
  }
  DeclineTooLate(cell, replies, now);
  GrantFreeSlots(cell, replies, now);
  return replies;
}

}  // namespace pomeloring
