#include "core/grant_order.h"

#include <algorithm>
#include <cmath>

#include "core/cell_capacity.h"

namespace pomeloring {
namespace {

// An aged request may bypass higher tiers at most once in this many slot
// releases.
constexpr double kReleasesPerAgedGrant = 20;
// One overdue request is granted after this many that can still meet their
// target. Granted strictly in order of their targets, overdue requests would
// always go first and make all others late.
constexpr uint32_t kOnTimeGrantsPerOverdue = 16;
// Number of requests of a flow that are searched for a cached prefix.
constexpr size_t kPrefixLookAhead = 16;
// The next request must have this much time left until its latest start for
// another of its flow to go before it.
constexpr Duration kMinSlackForPrefix = milliseconds(150);

// Returns how many of `slots` the tier leaves free for the tiers above it.
uint32_t SlotsReservedAbove(const CellState& cell, Tier tier, uint32_t slots) {
  const auto rank = std::find(cell.tiers.begin(), cell.tiers.end(), tier) -
                    cell.tiers.begin();
  const double share =
      cell.settings.reserved_share_per_tier * static_cast<double>(rank);
  const auto reserved =
      static_cast<uint32_t>(std::ceil(share * static_cast<double>(slots)));
  // A small cell must stay open to its lowest tier.
  return slots < 8 ? 0 : std::min(reserved, slots / 4);
}

// Returns true if every request of a tier above `tier` still starts in time
// when one slot is granted to `tier` now.
bool HigherTiersHaveSlack(const CellState& cell, Tier tier, Time now) {
  size_t ahead = 1;
  for (const auto& [other, tier_queue] : cell.queue.tiers) {
    if (other >= tier) {
      break;
    }
    ahead += tier_queue.by_latest_start.size();
    const Time first = tier_queue.by_latest_start.begin()->first;
    // Twice the drain time, since the estimate may be off.
    if (now + 2 * TimeToDrain(cell, ahead, now) > first) {
      return false;
    }
  }
  return true;
}

// Returns the aged request to grant next, or null. It may bypass higher tiers,
// but only while that merely delays them and makes none of them late.
const QueuedSlotRequest* NextAgedRequest(const CellState& cell, Time now) {
  const double rate = SlotReleaseRate(cell.estimate);
  const auto min_interval =
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          kReleasesPerAgedGrant / std::max(rate, 0.1)));
  if (cell.queue.tiers.size() < 2 ||
      now - cell.last_aged_grant < min_interval) {
    return nullptr;
  }
  for (auto it = cell.queue.tiers.rbegin(); it != cell.queue.tiers.rend();
       ++it) {
    const QueuedSlotRequest& first =
        cell.queue.requests.at(it->second.by_latest_start.begin()->second);
    const bool may_bypass = now >= first.aged_at &&
                            !IsBlockedByHigherTier(cell, first.tier, now) &&
                            HigherTiersHaveSlack(cell, first.tier, now);
    if (may_bypass) {
      return &first;
    }
  }
  return nullptr;
}

CellReply MakeGrant(CellState& cell,
                    const QueuedSlotRequest& queued,
                    uint32_t replica,
                    Time now) {
  cell.grants[queued.request.attempt] = {queued.entry, replica,
                                         queued.request.request_class, now};
  ++cell.replicas[replica].granted;
  RecordPrefix(cell.replicas[replica], queued.request.prefix_hash);
  ChargeFlow(cell.queue, queued,
             MeanSlotTime(cell.estimate, queued.request.request_class), now);
  return {queued.entry, Granted{queued.request.attempt, cell.id,
                                cell.replicas[replica].upstream.name}};
}

bool TryGrant(CellState& cell,
              const QueuedSlotRequest& candidate,
              CellReplies& replies,
              Time now) {
  const std::optional<uint32_t> replica =
      ChooseReplica(cell.replicas, candidate.request.prefix_hash,
                    candidate.request.excluded, now);
  if (!replica) {
    return false;
  }
  const std::optional<QueuedSlotRequest> queued =
      RemoveSlotRequest(cell.queue, candidate.request.attempt);
  replies.push_back(MakeGrant(cell, *queued, *replica, now));
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

// In a full cell, slots are released one at a time, so that the first request
// has no choice of replica. Of the first few requests, one whose prefix is
// cached at the free replica goes before it, unless the first must start now.
const QueuedSlotRequest* PreferCachedPrefix(const CellState& cell,
                                            const TierQueue& tier_queue,
                                            const QueuedSlotRequest* next,
                                            Time now) {
  if (next->request.prefix_hash == 0 ||
      next->latest_start - now < kMinSlackForPrefix ||
      HasFreeReplicaWithPrefix(cell, next->request.prefix_hash, now)) {
    return next;
  }
  const Flow flow{next->request.account, next->request.request_class};
  size_t looked_at = 0;
  for (const StartOrderKey& key : tier_queue.flows.at(flow)) {
    const QueuedSlotRequest& candidate = cell.queue.requests.at(key.second);
    if (HasFreeReplicaWithPrefix(cell, candidate.request.prefix_hash, now)) {
      return &candidate;
    }
    if (++looked_at == kPrefixLookAhead) {
      break;
    }
  }
  return next;
}

bool GrantNext(CellState& cell, CellReplies& replies, Time now) {
  const uint32_t free = TotalFreeSlots(cell, now);
  if (free == 0 || cell.queue.tiers.empty()) {
    return false;
  }
  if (const QueuedSlotRequest* aged = NextAgedRequest(cell, now)) {
    if (TryGrant(cell, *aged, replies, now)) {
      cell.last_aged_grant = now;
      return true;
    }
  }
  const uint32_t slots = TotalSlots(cell, now);
  for (const auto& [tier, tier_queue] : cell.queue.tiers) {
    const bool may_grant = free > SlotsReservedAbove(cell, tier, slots) &&
                           !IsBlockedByHigherTier(cell, tier, now);
    if (!may_grant) {
      return false;
    }
    uint32_t& on_time_grants = cell.on_time_grants[tier];
    const bool overdue_first = on_time_grants >= kOnTimeGrantsPerOverdue;
    const QueuedSlotRequest* next = PreferCachedPrefix(
        cell, tier_queue, NextInTier(cell.queue, tier, overdue_first, now),
        now);
    const bool is_overdue = next->latest_start < now;
    if (TryGrant(cell, *next, replies, now)) {
      on_time_grants = is_overdue || overdue_first ? 0 : on_time_grants + 1;
      return true;
    }
    // Only requests that exclude the free replicas get here. A lower tier may
    // use the slots that they can't use.
  }
  return false;
}

}  // namespace

bool IsBlockedByHigherTier(const CellState& cell, Tier tier, Time now) {
  for (const auto& [higher, until] : cell.lower_tiers_blocked_until) {
    if (higher >= tier) {
      return false;
    }
    if (now < until) {
      return true;
    }
  }
  return false;
}

void GrantFreeSlots(CellState& cell, CellReplies& replies, Time now) {
  while (GrantNext(cell, replies, now)) {
  }
}

}  // namespace pomeloring
