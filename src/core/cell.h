// Defines the operations of a cell: up to 64 replicas of one service whose
// slots one scheduler grants, and the queue of slot requests that wait for
// them.

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

CellReplies HandleSlotRequest(CellState& cell,
                              const InstanceName& entry,
                              const SlotRequest& request,
                              Time now);
CellReplies HandleWithdraw(CellState& cell, const Withdraw& withdraw, Time now);
CellReplies HandleSlotReport(CellState& cell,
                             const InstanceName& entry,
                             const SlotReport& report,
                             Time now);
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
