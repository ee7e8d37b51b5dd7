#include "core/cell.h"

#include <algorithm>

#include "core/cell_capacity.h"
#include "core/cell_partition.h"
#include "core/grant_order.h"
#include "core/held_slots.h"

namespace pomeloring {
namespace {

// An ask that would wait for more than this share of the time it has is
// declined at once. A longer queue serves no more; it only makes each start the
// last possible one, with no slack for prefixes or a slow first token.
constexpr double kLongestWaitShare = 0.45;
// Lower tiers wait for this long at the most after a decline: slots that stay
// idle for callers that may not come back help nobody.
constexpr Duration kLongestBlock = seconds(2);
constexpr Duration kSweepInterval = milliseconds(500);
// The limit starts at this share of the configured slots and is learnt.
constexpr double kFirstLimitShare = 0.5;

bool HasReplica(const CellState& cell, const Ask& ask) {
  return std::any_of(
      cell.replicas.begin(), cell.replicas.end(), [&](const Replica& replica) {
        return !replica.leaving &&
               std::find(ask.excluded.begin(), ask.excluded.end(),
                         replica.upstream.name) == ask.excluded.end();
      });
}

void NoteCapacityDecline(CellState& cell, Tier tier, Time due, Time now) {
  Time& until = cell.no_lower_until[tier];
  until = std::max(until, std::min(due, now + kLongestBlock));
}

CellReply Decline(CellState& cell,
                  const WaitingAsk& waiting,
                  DeclineReason reason,
                  Time now) {
  if (reason == DeclineReason::kTooLate ||
      reason == DeclineReason::kOverloaded) {
    NoteCapacityDecline(cell, waiting.tier, waiting.due, now);
  }
  return {waiting.entry,
          Declined{waiting.ask.attempt, reason, RetryAfter(cell, now)}};
}

// The slot time that a class needs before its target counts as met.
Duration NeededAfterStart(const CellState& cell, const RequestClass& of_class) {
  return of_class.first_token_target.count() > 0
             ? FirstTokenTime(cell.estimate, of_class.name)
             : HoldTime(cell.estimate, of_class.name);
}

Duration TargetOf(const RequestClass& of_class) {
  return of_class.first_token_target.count() > 0 ? of_class.first_token_target
                                                 : of_class.answer_target;
}

WaitingAsk MakeWaiting(const CellState& cell,
                       const InstanceName& entry,
                       const Ask& ask,
                       const RequestClass& of_class,
                       Time now) {
  WaitingAsk waiting;
  waiting.ask = ask;
  waiting.entry = entry;
  waiting.tier = of_class.tier;
  waiting.drop_when_late = of_class.when_late == LatePolicy::kDrop;
  waiting.arrived = now - ask.waited;
  // A request that is served late is still due at its target, not at the end
  // of its longest wait: else it would always go after those that are dropped.
  waiting.due = waiting.drop_when_late ? now + ask.time_left
                                       : waiting.arrived + TargetOf(of_class);
  waiting.latest_start = waiting.due - NeededAfterStart(cell, of_class);
  waiting.renewed = now;
  waiting.aged_at = waiting.arrived + of_class.max_wait / 2;
  return waiting;
}

bool WouldBeLate(const CellState& cell, const WaitingAsk& waiting, Time now) {
  if (!waiting.drop_when_late) {
    return false;
  }
  const size_t ahead =
      AsksAhead(cell.queue, waiting.tier, waiting.latest_start, now);
  const Duration wait = TimeToDrain(cell, ahead + 1, now);
  const auto longest = std::chrono::duration_cast<Duration>(
      (waiting.latest_start - now) * kLongestWaitShare);
  return wait > longest;
}

void GiveUpLate(CellState& cell, CellReplies& replies, Time now) {
  std::vector<AttemptId> late;
  for (const auto& [tier, waiting] : cell.queue.tiers) {
    for (const AskKey& key : waiting.droppable) {
      if (key.first >= now) {
        break;
      }
      late.push_back(key.second);
    }
  }
  for (const AttemptId& attempt : late) {
    const auto waiting = RemoveAsk(cell.queue, attempt);
    replies.push_back(Decline(cell, *waiting, DeclineReason::kTooLate, now));
  }
}

void ExpireAsks(CellState& cell, Time now) {
  std::vector<AttemptId> expired;
  for (const auto& [attempt, waiting] : cell.queue.asks) {
    if (now - waiting.renewed > cell.settings.ask_expiry) {
      expired.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : expired) {
    RemoveAsk(cell.queue, attempt);
  }
}

// Asks whose last upstream has left while they waited are answered at once.
void GiveUpWithoutUpstream(CellState& cell, CellReplies& replies, Time now) {
  std::vector<AttemptId> hopeless;
  for (const auto& [attempt, waiting] : cell.queue.asks) {
    if (!HasReplica(cell, waiting.ask)) {
      hopeless.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : hopeless) {
    const auto waiting = RemoveAsk(cell.queue, attempt);
    replies.push_back(Decline(cell, *waiting, DeclineReason::kNoUpstream, now));
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

Duration TightestStep(const CellState& cell) {
  Duration tightest{0};
  for (const auto& [name, of_class] : cell.classes) {
    const Duration target = of_class.between_tokens_target;
    if (target.count() > 0 && (tightest.count() == 0 || target < tightest)) {
      tightest = target;
    }
  }
  return tightest;
}

// Where there is no step target to learn against, the configured slots hold.
double FirstLimit(const CellState& cell, const Upstream& upstream) {
  const auto slots = static_cast<double>(upstream.slots);
  const bool is_learnt = TightestStep(cell) > Duration{0};
  return is_learnt ? std::max(1.0, kFirstLimitShare * slots) : slots;
}

void RebuildReplicas(CellState& cell, std::span<const Upstream> upstreams) {
  std::vector<Replica> replicas;
  std::map<uint32_t, uint32_t> moved;  // Old index to new.
  for (const Upstream& upstream : upstreams) {
    const std::optional<uint32_t> old = IndexOf(cell, upstream.name);
    Replica replica;
    if (old) {
      moved[*old] = static_cast<uint32_t>(replicas.size());
      replica = std::move(cell.replicas[*old]);
      // The name is needed for the next look-ups.
      cell.replicas[*old].upstream.name = upstream.name;
      replica.limit =
          std::min(replica.limit, static_cast<double>(upstream.slots));
    } else {
      replica.limit = FirstLimit(cell, upstream);
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

CellReplies QueueOrDecline(CellState& cell, WaitingAsk waiting, Time now) {
  CellReplies replies;
  if (!HasReplica(cell, waiting.ask)) {
    return {Decline(cell, waiting, DeclineReason::kNoUpstream, now)};
  }
  if (WouldBeLate(cell, waiting, now)) {
    return {Decline(cell, waiting, DeclineReason::kTooLate, now)};
  }
  if (cell.queue.asks.size() >= cell.settings.most_waiting) {
    const WaitingAsk* last = PushOutCandidate(cell.queue, waiting.tier);
    if (last == nullptr) {
      return {Decline(cell, waiting, DeclineReason::kOverloaded, now)};
    }
    const auto pushed = RemoveAsk(cell.queue, last->ask.attempt);
    replies.push_back(Decline(cell, *pushed, DeclineReason::kOverloaded, now));
  }
  const AttemptId attempt = waiting.ask.attempt;
  const InstanceName entry = waiting.entry;
  AddAsk(cell.queue, std::move(waiting));
  GrantAll(cell, replies, now);
  if (cell.queue.asks.contains(attempt)) {
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
  for (const auto& [name, of_class] : configuration.classes) {
    if (of_class.service == cell.service) {
      cell.classes[name] = of_class;
      tiers.insert(of_class.tier);
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

CellReplies HandleAsk(CellState& cell,
                      const InstanceName& entry,
                      const Ask& ask,
                      Time now) {
  const auto granted = cell.grants.find(ask.attempt);
  if (granted != cell.grants.end()) {
    // The grant was lost or is on its way: the same one again.
    const UpstreamName& name =
        cell.replicas[granted->second.replica].upstream.name;
    return {{entry, Granted{ask.attempt, cell.id, name}}};
  }
  const auto waiting = cell.queue.asks.find(ask.attempt);
  if (waiting != cell.queue.asks.end()) {
    waiting->second.renewed = now;
    return {{entry, Queued{ask.attempt, cell.id}}};
  }
  const auto of_class = cell.classes.find(ask.request_class);
  if (of_class == cell.classes.end()) {
    return {{entry, Declined{ask.attempt, DeclineReason::kNotScheduler,
                             cell.settings.least_retry_after}}};
  }
  return QueueOrDecline(
      cell, MakeWaiting(cell, entry, ask, of_class->second, now), now);
}

CellReplies HandleWithdraw(CellState& cell,
                           const Withdraw& withdraw,
                           Time now) {
  CellReplies replies;
  RemoveAsk(cell.queue, withdraw.attempt);
  EndGrant(cell, withdraw.attempt);
  GrantAll(cell, replies, now);
  return replies;
}

CellReplies HandleSlotReport(CellState& cell,
                             const InstanceName& entry,
                             const SlotReport& report,
                             Time now) {
  CellReplies replies;
  const auto grant = cell.grants.find(report.attempt);
  if (grant != cell.grants.end() && report.outcome == SlotOutcome::kAnswered) {
    AddRun(cell.estimate, grant->second.request_class, report.total,
           report.first_token, now);
  }
  const bool was_granted_here = grant != cell.grants.end();
  EndGrant(cell, report.attempt);
  if (const auto index = IndexOf(cell, report.upstream)) {
    if (!was_granted_here) {
      EndInherited(cell.replicas[*index], entry);
    }
    LearnFromRun(cell.replicas[*index], report, {TightestStep(cell)}, now);
    EjectOutliers(cell.replicas, now);
  }
  GrantAll(cell, replies, now);
  return replies;
}

CellReplies HandleRunningSlots(CellState& cell,
                               const InstanceName& entry,
                               const RunningSlots& running,
                               Time now) {
  CellReplies replies;
  ReconcileRunning(cell, entry, running, now);
  GrantAll(cell, replies, now);
  return replies;
}

CellReplies DropEntry(CellState& cell, const InstanceName& entry, Time now) {
  for (const AttemptId& attempt : AsksOf(cell.queue, entry)) {
    RemoveAsk(cell.queue, attempt);
  }
  DropHeldBy(cell, entry);
  CellReplies replies;
  GrantAll(cell, replies, now);
  return replies;
}

CellReplies HandBackQueue(CellState& cell) {
  CellReplies replies;
  for (const auto& [attempt, waiting] : cell.queue.asks) {
    replies.push_back(
        {waiting.entry, Declined{attempt, DeclineReason::kNotScheduler,
                                 cell.settings.least_retry_after}});
  }
  cell.queue = {};
  return replies;
}

CellReplies TickCell(CellState& cell, Time now) {
  CellReplies replies;
  if (now >= cell.next_sweep) {
    cell.next_sweep = now + kSweepInterval;
    SweepUnreported(cell, now);
    ExpireAsks(cell, now);
    GiveUpWithoutUpstream(cell, replies, now);
  }
  GiveUpLate(cell, replies, now);
  GrantAll(cell, replies, now);
  return replies;
}

}  // namespace pomeloring
