// Defines the operations of a cell: about 64 replicas of one service at most,
// whose slots one scheduler grants, and the queue of slot requests that wait
// for them. Operations return the messages to send to entries.

#ifndef POMELORING_CORE_CELL_H_
#define POMELORING_CORE_CELL_H_

#include <set>
#include <span>

#include "core/cell_state.h"

namespace pomeloring {

// Applies the replicas and classes of `configuration`. Replicas that remain
// keep their load, limit and health. Those in `leaving` get no new work.
void ConfigureCell(CellState& cell,
                   const Configuration& configuration,
                   std::span<const Upstream> replicas,
                   const std::set<UpstreamName>& leaving);

// Grants, queues or declines the request. For one that is known already, renews
// its place in the queue or repeats its grant.
CellReplies HandleSlotRequest(CellState& cell,
                              const InstanceName& entry,
                              const SlotRequest& request,
                              Time now);
// Removes the slot request from the queue, or releases the slot of its grant.
CellReplies HandleWithdraw(CellState& cell, const Withdraw& withdraw, Time now);
// Releases the slot, and updates the estimates, the health and the limit of the
// replica.
CellReplies HandleSlotReport(CellState& cell,
                             const InstanceName& entry,
                             const SlotReport& report,
                             Time now);
// Corrects the slots in use to those that `entry` reports; see
// ReconcileRunning().
CellReplies HandleRunningSlots(CellState& cell,
                               const InstanceName& entry,
                               const RunningSlots& running,
                               Time now);

// Removes the slot requests and releases the slots of an entry that is lost.
CellReplies RemoveEntry(CellState& cell, const InstanceName& entry, Time now);

// Declines every queued slot request, so that the entries resend it to the next
// scheduler.
CellReplies ReturnQueue(CellState& cell);

// Grants free slots, declines slot requests that are past their latest start
// and removes those that were not renewed.
CellReplies TickCell(CellState& cell, Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CELL_H_
