// Defines SlotRequestQueue: the slot requests that wait in one cell, in the
// order in which they may be granted and dropped.

#ifndef POMELORING_CORE_SLOT_REQUEST_QUEUE_H_
#define POMELORING_CORE_SLOT_REQUEST_QUEUE_H_

#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "core/messages.h"

namespace pomeloring {

struct QueuedSlotRequest {
  SlotRequest request;
  InstanceName entry;
  Tier tier;
  bool drop_when_late = true;
  Time arrived_at;    // At the entry.
  Time deadline;      // When the target must be met.
  Time latest_start;  // To meet the target, by the estimate; overdue after it.
  Time renewed_at;
  // May bypass higher tiers from then on, see GrantFreeSlots().
  Time aged_at;
};

// The requests of one account in one class: the unit of fair sharing.
struct Flow {
  AccountName account;
  ClassName request_class;
  auto operator<=>(const Flow&) const = default;
};

using StartOrderKey = std::pair<Time, AttemptId>;  // By latest start.

struct TierQueue {
  std::map<Flow, std::set<StartOrderKey>> flows;
  std::set<StartOrderKey> by_latest_start;  // All flows of the tier.
  std::set<StartOrderKey> droppable;        // Those that are dropped when late.
};

// Slot time that a flow has used, with exponential decay.
struct FlowUsage {
  double micros = 0;
  Time updated;
};

struct SlotRequestQueue {
  std::map<Tier, TierQueue> tiers;
  std::unordered_map<AttemptId, QueuedSlotRequest> requests;
  std::map<Flow, FlowUsage> usage;
};

void AddSlotRequest(SlotRequestQueue& queue, QueuedSlotRequest queued);
// Takes the attempt by value, since it is often a member of the request that is
// removed.
std::optional<QueuedSlotRequest> RemoveSlotRequest(SlotRequestQueue& queue,
                                                   AttemptId attempt);

// Returns how many requests would be granted before one of `tier` that must
// start by `latest_start`. Overdue requests of the same tier go after it.
size_t SlotRequestsAhead(const SlotRequestQueue& queue,
                         Tier tier,
                         Time latest_start,
                         Time now);

// Returns the request of `tier` to grant next, or null if there is none: of the
// flows that have not exceeded their fair share, the one with the earliest
// latest start. Requests that can no longer meet their target go last, or first
// with `overdue_first`.
const QueuedSlotRequest* NextInTier(const SlotRequestQueue& queue,
                                    Tier tier,
                                    bool overdue_first,
                                    Time now);

// Adds an expected slot time to the usage of the request's flow.
void ChargeFlow(SlotRequestQueue& queue,
                const QueuedSlotRequest& queued,
                Duration slot_time,
                Time now);

// Returns the request to evict for a new one of `tier`: the last one of the
// lowest tier. Null if that tier is not lower than `tier`.
const QueuedSlotRequest* EvictionCandidate(const SlotRequestQueue& queue,
                                           Tier tier);

// Returns the attempts whose requests `entry` sent.
std::vector<AttemptId> SlotRequestsOf(const SlotRequestQueue& queue,
                                      const InstanceName& entry);

}  // namespace pomeloring

#endif  // POMELORING_CORE_SLOT_REQUEST_QUEUE_H_
