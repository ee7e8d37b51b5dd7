#include "core/cell.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

#include "core/rendezvous.h"

namespace pomeloring {
namespace {

constexpr size_t kMostReplicasPerCell = 64;
// An ask that would wait for more than this share of the time it has is
// declined at once. A longer queue serves no more; it only makes each start the
// last possible one, with no slack for prefixes or a slow first token.
constexpr double kLongestWaitShare = 0.45;
// An aged ask may overtake at most once in this many frees of a slot.
constexpr double kFreesPerAgedGrant = 20;
// A run that an entry no longer tells of is forgotten after this time.
// Lower tiers wait for this long at the most after a decline: slots that stay
// idle for callers that may not come back help nobody.
constexpr Duration kLongestBlock = seconds(2);
// Of what is served late, one is granted after this many that can still be on
// time: going in the order of their targets, all would be late.
constexpr uint32_t kOnTimePerOverdue = 16;
// How many asks of a flow are looked at for a prefix, and how soon the first
// must have to start for none to go before it.
constexpr size_t kLookAhead = 16;
constexpr Duration kLeastSlack = milliseconds(150);
constexpr Duration kUnreportedRun = seconds(3);
constexpr Duration kSweepInterval = milliseconds(500);
// The limit starts at this share of the configured slots and is learnt.
constexpr double kFirstLimitShare = 0.5;

uint32_t TotalSlots(const CellState& cell, Time now) {
  uint32_t slots = 0;
  for (const Replica& replica : cell.replicas) {
    if (TakesWork(replica, now)) {
      slots += static_cast<uint32_t>(replica.limit);
    }
  }
  return slots;
}

uint32_t TotalFree(const CellState& cell, Time now) {
  uint32_t free = 0;
  for (const Replica& replica : cell.replicas) {
    if (TakesWork(replica, now)) {
      free += FreeSlots(replica);
    }
  }
  return free;
}

bool HasReplica(const CellState& cell, const Ask& ask) {
  return std::any_of(
      cell.replicas.begin(), cell.replicas.end(), [&](const Replica& replica) {
        return !replica.leaving &&
               std::find(ask.excluded.begin(), ask.excluded.end(),
                         replica.upstream.name) == ask.excluded.end();
      });
}

uint32_t ReservedAbove(const CellState& cell, Tier tier, uint32_t slots) {
  const auto rank = std::find(cell.tiers.begin(), cell.tiers.end(), tier) -
                    cell.tiers.begin();
  const double share =
      cell.settings.reserved_share_per_tier * static_cast<double>(rank);
  const auto reserved =
      static_cast<uint32_t>(std::ceil(share * static_cast<double>(slots)));
  // A small cell must not be closed to its lowest tier.
  return slots < 8 ? 0 : std::min(reserved, slots / 4);
}

Duration TimeToDrain(const CellState& cell, size_t asks, Time now) {
  // While the cell is not full, slots come free only as fast as requests come
  // in; the slots and the mean hold time tell what it can do.
  const double mean_hold = MeanHold(cell.estimate);
  const double full_rate =
      mean_hold <= 0 ? 0 : TotalSlots(cell, now) / mean_hold;
  const double rate = std::max(FreeRate(cell.estimate), full_rate);
  const uint32_t free = TotalFree(cell, now);
  if (asks <= free || rate <= 0) {
    return Duration{0};
  }
  const double wait_seconds = static_cast<double>(asks - free) / rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(wait_seconds, 3600.0)));
}

// Spread over twice the time that the queue needs, so that callers do not come
// back in one wave.
Duration RetryAfter(CellState& cell, Time now) {
  const Duration drain = TimeToDrain(cell, cell.queue.asks.size() + 1, now);
  const Duration base = std::clamp(drain, cell.settings.least_retry_after,
                                   cell.settings.longest_retry_after);
  const auto spread = static_cast<int64_t>(NextRandom(cell.random) %
                                           static_cast<uint64_t>(base.count()));
  return base + Duration{spread};
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
  waiting.drop_when_late = of_class.when_late == WhenLate::kDrop;
  waiting.arrived = now - ask.waited;
  // A request that is served late is still due at its target, not at the end
  // of its longest wait: else it would always go after those that are dropped.
  waiting.due = waiting.drop_when_late ? now + ask.time_left
                                       : waiting.arrived + TargetOf(of_class);
  waiting.latest_start = waiting.due - NeededAfterStart(cell, of_class);
  waiting.renewed = now;
  waiting.aged_at = waiting.arrived + of_class.longest_wait / 2;
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

bool IsBlockedByHigher(const CellState& cell, Tier tier, Time now) {
  for (const auto& [higher, until] : cell.no_lower_until) {
    if (higher >= tier) {
      return false;
    }
    if (now < until) {
      return true;
    }
  }
  return false;
}

// True if every ask of a tier above `tier` still starts in time when one slot
// goes to `tier` now.
bool HigherTiersHaveSlack(const CellState& cell, Tier tier, Time now) {
  size_t ahead = 1;
  for (const auto& [other, waiting] : cell.queue.tiers) {
    if (other >= tier) {
      break;
    }
    ahead += waiting.by_start.size();
    const Time first = waiting.by_start.begin()->first;
    // Twice the time to serve them all: the estimate may be off.
    if (now + 2 * TimeToDrain(cell, ahead, now) > first) {
      return false;
    }
  }
  return true;
}

// An ask that has waited for long may overtake higher tiers, but only while
// that merely delays them: it never makes one of them late.
const WaitingAsk* NextAged(const CellState& cell, Time now) {
  const double rate = FreeRate(cell.estimate);
  const auto pause = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kFreesPerAgedGrant / std::max(rate, 0.1)));
  if (cell.queue.tiers.size() < 2 || now - cell.last_aged_grant < pause) {
    return nullptr;
  }
  for (auto it = cell.queue.tiers.rbegin(); it != cell.queue.tiers.rend();
       ++it) {
    const WaitingAsk& first =
        cell.queue.asks.at(it->second.by_start.begin()->second);
    const bool may_overtake = now >= first.aged_at &&
                              !IsBlockedByHigher(cell, first.tier, now) &&
                              HigherTiersHaveSlack(cell, first.tier, now);
    if (may_overtake) {
      return &first;
    }
  }
  return nullptr;
}

CellReply MakeGrant(CellState& cell,
                    const WaitingAsk& waiting,
                    uint32_t replica,
                    Time now) {
  cell.grants[waiting.ask.attempt] = {waiting.entry, replica,
                                      waiting.ask.request_class, now};
  ++cell.replicas[replica].granted;
  RememberPrefix(cell.replicas[replica], waiting.ask.prefix_hash);
  ChargeFlow(cell.queue, waiting,
             MeanHoldOf(cell.estimate, waiting.ask.request_class), now);
  return {waiting.entry, Granted{waiting.ask.attempt, cell.id,
                                 cell.replicas[replica].upstream.name}};
}

bool GrantIfPossible(CellState& cell,
                     const WaitingAsk& candidate,
                     CellReplies& replies,
                     Time now) {
  const std::optional<uint32_t> replica = ChooseReplica(
      cell.replicas, candidate.ask.prefix_hash, candidate.ask.excluded, now);
  if (!replica) {
    return false;
  }
  const std::optional<WaitingAsk> waiting =
      RemoveAsk(cell.queue, candidate.ask.attempt);
  replies.push_back(MakeGrant(cell, *waiting, *replica, now));
  return true;
}

bool HasFreeReplicaWithPrefix(const CellState& cell,
                              uint64_t prefix,
                              Time now) {
  return std::any_of(
      cell.replicas.begin(), cell.replicas.end(), [&](const Replica& replica) {
        return TakesWork(replica, now) && FreeSlots(replica) > 0 &&
               HasPrefix(replica, prefix);
      });
}

// In a full cell slots come free one at a time, so that the first ask has no
// choice of replica. Of the first few, one whose prefix the free replica keeps
// goes before it, unless the first must start now.
const WaitingAsk* NextWithPrefix(const CellState& cell,
                                 const TierQueue& waiting,
                                 const WaitingAsk* next,
                                 Time now) {
  if (next->ask.prefix_hash == 0 || next->latest_start - now < kLeastSlack ||
      HasFreeReplicaWithPrefix(cell, next->ask.prefix_hash, now)) {
    return next;
  }
  const Flow flow{next->ask.account, next->ask.request_class};
  size_t looked_at = 0;
  for (const AskKey& key : waiting.flows.at(flow)) {
    const WaitingAsk& candidate = cell.queue.asks.at(key.second);
    if (HasFreeReplicaWithPrefix(cell, candidate.ask.prefix_hash, now)) {
      return &candidate;
    }
    if (++looked_at == kLookAhead) {
      break;
    }
  }
  return next;
}

bool GrantNext(CellState& cell, CellReplies& replies, Time now) {
  const uint32_t free = TotalFree(cell, now);
  if (free == 0 || cell.queue.tiers.empty()) {
    return false;
  }
  if (const WaitingAsk* aged = NextAged(cell, now)) {
    if (GrantIfPossible(cell, *aged, replies, now)) {
      cell.last_aged_grant = now;
      return true;
    }
  }
  const uint32_t slots = TotalSlots(cell, now);
  for (const auto& [tier, waiting] : cell.queue.tiers) {
    const bool may_take = free > ReservedAbove(cell, tier, slots) &&
                          !IsBlockedByHigher(cell, tier, now);
    if (!may_take) {
      return false;
    }
    uint32_t& on_time_grants = cell.on_time_grants[tier];
    const bool overdue_first = on_time_grants >= kOnTimePerOverdue;
    const WaitingAsk* next = NextWithPrefix(
        cell, waiting, NextOfTier(cell.queue, tier, overdue_first, now), now);
    const bool is_overdue = next->latest_start < now;
    if (GrantIfPossible(cell, *next, replies, now)) {
      on_time_grants = is_overdue || overdue_first ? 0 : on_time_grants + 1;
      return true;
    }
    // Only asks that exclude the free replicas get here; a lower tier may use
    // what they can't.
  }
  return false;
}

void GrantAll(CellState& cell, CellReplies& replies, Time now) {
  while (GrantNext(cell, replies, now)) {
  }
}

void EndGrant(CellState& cell, const AttemptId& attempt) {
  const auto it = cell.grants.find(attempt);
  if (it == cell.grants.end()) {
    return;
  }
  uint32_t& granted = cell.replicas[it->second.replica].granted;
  granted -= granted > 0 ? 1 : 0;
  cell.grants.erase(it);
}

// Ends a run that another scheduler granted and `entry` told of.
void EndInherited(Replica& replica, const InstanceName& entry) {
  const auto it = replica.inherited.find(entry);
  if (it == replica.inherited.end()) {
    return;
  }
  --it->second;
  if (it->second == 0) {
    replica.inherited.erase(it);
  }
}

std::optional<uint32_t> IndexOf(const CellState& cell,
                                const UpstreamName& name) {
  for (uint32_t i = 0; i < cell.replicas.size(); ++i) {
    if (cell.replicas[i].upstream.name == name) {
      return i;
    }
  }
  return std::nullopt;
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

// An entry tells every second of what it runs in a cell, as long as it runs
// anything there. A grant that was lost on its way to an entry that runs
// nothing else would otherwise be held for ever.
void SweepUnreported(CellState& cell, Time now) {
  const auto is_silent = [&](const InstanceName& entry) {
    const auto it = cell.last_report.find(entry);
    return it == cell.last_report.end() || now - it->second > kUnreportedRun;
  };
  std::vector<AttemptId> lost;
  for (const auto& [attempt, grant] : cell.grants) {
    if (now - grant.since > kUnreportedRun && is_silent(grant.entry)) {
      lost.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : lost) {
    EndGrant(cell, attempt);
  }
  for (Replica& replica : cell.replicas) {
    std::erase_if(replica.inherited,
                  [&](const auto& entry) { return is_silent(entry.first); });
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

// Grants of one entry at one replica, the oldest first.
using KnownGrants = std::vector<std::pair<Time, AttemptId>>;

// Returns the grants of `entry` by replica, in one pass over all grants.
std::vector<KnownGrants> GrantsOf(const CellState& cell,
                                  const InstanceName& entry) {
  std::vector<KnownGrants> known(cell.replicas.size());
  for (const auto& [attempt, grant] : cell.grants) {
    if (grant.entry == entry) {
      known[grant.replica].emplace_back(grant.since, attempt);
    }
  }
  for (KnownGrants& grants : known) {
    std::sort(grants.begin(), grants.end());
  }
  return known;
}

// Grants that are old enough to have been told of, but were not, were lost on
// the way back: the oldest are forgotten.
void ForgetLost(CellState& cell,
                const KnownGrants& known,
                uint32_t reported,
                Time now) {
  for (size_t k = 0; k + reported < known.size(); ++k) {
    if (now - known[k].first > kUnreportedRun) {
      EndGrant(cell, known[k].second);
    }
  }
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
                               const RunningSlots& running,
                               Time now) {
  cell.last_report[running.entry] = now;
  const std::vector<KnownGrants> known = GrantsOf(cell, running.entry);
  std::vector<uint32_t> reported(cell.replicas.size(), 0);
  for (const RunningCount& count : running.counts) {
    if (const auto index = IndexOf(cell, count.upstream)) {
      reported[*index] = count.running;
    }
  }
  for (size_t i = 0; i < cell.replicas.size(); ++i) {
    ForgetLost(cell, known[i], reported[i], now);
    Replica& replica = cell.replicas[i];
    replica.inherited.erase(running.entry);
    if (reported[i] > known[i].size()) {
      replica.inherited[running.entry] =
          reported[i] - static_cast<uint32_t>(known[i].size());
    }
  }
  CellReplies replies;
  GrantAll(cell, replies, now);
  return replies;
}

CellReplies DropEntry(CellState& cell, const InstanceName& entry, Time now) {
  for (const AttemptId& attempt : AsksOf(cell.queue, entry)) {
    RemoveAsk(cell.queue, attempt);
  }
  std::vector<AttemptId> granted;
  for (const auto& [attempt, grant] : cell.grants) {
    if (grant.entry == entry) {
      granted.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : granted) {
    EndGrant(cell, attempt);
  }
  for (Replica& replica : cell.replicas) {
    replica.inherited.erase(entry);
  }
  cell.last_report.erase(entry);
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

CellId CellOf(const Service& service, const Upstream& upstream) {
  size_t in_region = 0;
  for (const Upstream& other : service.upstreams) {
    in_region += other.region == upstream.region ? 1 : 0;
  }
  const size_t cells =
      (in_region + kMostReplicasPerCell - 1) / kMostReplicasPerCell;
  const size_t bucket = RendezvousBucket(upstream.name.value, cells);
  return {fmt::format("{}/{}/{}", service.name.value, upstream.region.value,
                      bucket)};
}

std::map<CellId, std::vector<Upstream>> CellsOf(const Service& service) {
  std::map<CellId, std::vector<Upstream>> cells;
  for (const Upstream& upstream : service.upstreams) {
    cells[CellOf(service, upstream)].push_back(upstream);
  }
  return cells;
}

}  // namespace pomeloring
