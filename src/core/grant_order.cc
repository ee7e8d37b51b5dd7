#include "core/grant_order.h"

#include <algorithm>
#include <cmath>

#include "core/cell_capacity.h"

namespace pomeloring {
namespace {

// An aged ask may overtake at most once in this many frees of a slot.
constexpr double kFreesPerAgedGrant = 20;
// Of what is served late, one is granted after this many that can still be on
// time: going in the order of their targets, all would be late.
constexpr uint32_t kOnTimePerOverdue = 16;
// How many asks of a flow are looked at for a prefix, and how soon the first
// must have to start for none to go before it.
constexpr size_t kLookAhead = 16;
constexpr Duration kLeastSlack = milliseconds(150);

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

}  // namespace

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

void GrantAll(CellState& cell, CellReplies& replies, Time now) {
  while (GrantNext(cell, replies, now)) {
  }
}

}  // namespace pomeloring
