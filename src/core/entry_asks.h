// Defines how an entry asks schedulers for a slot: whom, when again, and how it
// takes an ask back.

#ifndef POMELORING_CORE_ENTRY_ASKS_H_
#define POMELORING_CORE_ENTRY_ASKS_H_

#include "core/entry.h"

namespace pomeloring {

AttemptId CurrentAttempt(const EntryRequest& request);

// Whether a start is of no more use to the caller.
bool IsPastDeadline(const EntryRequest& request, Time now);

// Has TickEntry() look at the request at `at`.
void SetTimer(EntryShard& shard, EntryRequest& request, Time at);

// To an instance that lives; others lose what they hold with their lives.
void SendToPeer(EntryOutput& output,
                const ClusterView& view,
                const InstanceName& to,
                SlotMessage message);

// Takes the ask back from all schedulers that have it, but for `except`.
void WithdrawSlotRequest(EntryOutput& output,
                         const ClusterView& view,
                         const EntryRequest& request,
                         const InstanceName* except);

void SendSlotRequest(EntryShard& shard,
                     EntryOutput& output,
                     const ClusterView& view,
                     EntryRequest& request,
                     Time now);

void RequestSlotForNextAttempt(EntryShard& shard,
                               EntryOutput& output,
                               const ClusterView& view,
                               EntryRequest& request,
                               Time now);

// Tells the scheduler that holds the ask that it still stands, or asks another
// one where the holder is gone or has not answered.
void RenewOrResend(EntryShard& shard,
                   EntryOutput& output,
                   const ClusterView& view,
                   EntryRequest& request,
                   Time now);

// Returns the turn at which a scheduler other than `lost` is asked.
uint32_t FirstOtherScheduler(const ClusterView& view,
                             const EntryRequest& request,
                             const InstanceName& lost);

// Asks for another upstream than `failed` while there is one.
void ExcludeUpstream(const ClusterView& view,
                     EntryRequest& request,
                     const UpstreamName& failed);

}  // namespace pomeloring

#endif  // POMELORING_CORE_ENTRY_ASKS_H_
