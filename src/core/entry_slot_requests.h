// Defines how an entry requests slots from schedulers: where it sends a
// request, when it renews or resends it, and how it withdraws it.

#ifndef POMELORING_CORE_ENTRY_SLOT_REQUESTS_H_
#define POMELORING_CORE_ENTRY_SLOT_REQUESTS_H_

#include "core/entry.h"

namespace pomeloring {

AttemptId CurrentAttempt(const EntryRequest& request);

// Returns true if a start is of no more use to the caller.
bool IsPastDeadline(const EntryRequest& request, Time now);

// Makes TickEntry() process the request at `at`, or at its deadline if that is
// earlier.
void SetTimer(EntryShard& shard, EntryRequest& request, Time at);

// Sends `message` if `to` is live. An instance that is lost has lost its queue
// and its grants, so that it needs no message.
void SendToPeer(EntryOutput& output,
                const ClusterView& view,
                const InstanceName& to,
                SlotMessage message);

// Withdraws the slot request from all schedulers that have received it, except
// `except` if that is not null.
void WithdrawSlotRequest(EntryOutput& output,
                         const ClusterView& view,
                         const EntryRequest& request,
                         const InstanceName* except);

// Sends the slot request to the next scheduler of its cell and sets the timer
// for the reply.
void SendSlotRequest(EntryShard& shard,
                     EntryOutput& output,
                     const ClusterView& view,
                     EntryRequest& request,
                     Time now);

// Begins the next attempt of the request by requesting a slot for it.
void RequestSlotForNextAttempt(EntryShard& shard,
                               EntryOutput& output,
                               const ClusterView& view,
                               EntryRequest& request,
                               Time now);

// Renews the slot request at its scheduler, or sends it to another one if that
// scheduler is lost or has not answered.
void RenewOrResend(EntryShard& shard,
                   EntryOutput& output,
                   const ClusterView& view,
                   EntryRequest& request,
                   Time now);

// Returns the index of the first scheduler in the cell's list that is not
// `lost`.
uint32_t FirstOtherScheduler(const ClusterView& view,
                             const EntryRequest& request,
                             const InstanceName& lost);

// Excludes the upstream `failed` from later attempts while there is another
// one.
void ExcludeUpstream(const ClusterView& view,
                     EntryRequest& request,
                     const UpstreamName& failed);

}  // namespace pomeloring

#endif  // POMELORING_CORE_ENTRY_SLOT_REQUESTS_H_
