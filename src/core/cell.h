// Defines Cell: up to 64 replicas of one service that one scheduler hands
// slots of, and the queue of the asks that wait for them.

#ifndef POMELORING_CORE_CELL_H_
#define POMELORING_CORE_CELL_H_

#include <set>
#include <span>

#include "core/cell_state.h"

namespace pomeloring {

// Takes over the replicas and classes of `configuration`; replicas that stay
// keep what was learnt of them. `leaving` get no new work.
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

// Forgets the asks and runs of an entry that has died.
CellReplies RemoveEntry(CellState& cell, const InstanceName& entry, Time now);

// Sends every waiting ask back, so that the entries ask the next scheduler.
CellReplies ReturnQueue(CellState& cell);

// Grants, gives up what is late and expires what was not renewed.
CellReplies TickCell(CellState& cell, Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CELL_H_
