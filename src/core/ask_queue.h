// Defines SlotRequestQueue: the asks that wait for a slot of one cell, in the
// order in which they may be granted and given up.

#ifndef POMELORING_CORE_ASK_QUEUE_H_
#define POMELORING_CORE_ASK_QUEUE_H_

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
  Time deadline;      // The target.
  Time latest_start;  // To meet the target, by the estimate.
  Time renewed_at;
  Time aged_at;  // From then on it may overtake, see TakeNext().
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
  std::set<StartOrderKey>
      droppable;  // Of them, those that are dropped when late.
};

// Slot time that a flow has used, decayed.
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
// By value: the attempt often stands in the ask that is removed.
std::optional<QueuedSlotRequest> RemoveSlotRequest(SlotRequestQueue& queue,
                                                   AttemptId attempt);

// Returns how many asks would be granted before one of `tier` that must start
// by `latest_start`. Overdue asks of its own tier go after it.
size_t SlotRequestsAhead(const SlotRequestQueue& queue,
                         Tier tier,
                         Time latest_start,
                         Time now);

// Returns the ask of `tier` to grant next: of the flows that have not used more
// than their share, the one that must start first. Asks that can't meet their
// target any more go last, or first with `overdue_first`.
const QueuedSlotRequest* NextInTier(const SlotRequestQueue& queue,
                                    Tier tier,
                                    bool overdue_first,
                                    Time now);

// Charges an expected slot time to the ask's flow.
void ChargeFlow(SlotRequestQueue& queue,
                const QueuedSlotRequest& queued,
                Duration slot_time,
                Time now);

// Returns the ask to push out for a newcomer of `tier`: the last of the lowest
// tier, if that is lower than `tier`.
const QueuedSlotRequest* EvictionCandidate(const SlotRequestQueue& queue,
                                           Tier tier);

// Returns the asks that `entry` made.
std::vector<AttemptId> SlotRequestsOf(const SlotRequestQueue& queue,
                                      const InstanceName& entry);

}  // namespace pomeloring

#endif  // POMELORING_CORE_ASK_QUEUE_H_
