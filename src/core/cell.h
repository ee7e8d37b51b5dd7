// Defines Cell: up to 64 replicas of one service that one scheduler hands
// slots of, and the queue of the asks that wait for them.

#ifndef POMELORING_CORE_CELL_H_
#define POMELORING_CORE_CELL_H_

#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "core/ask_queue.h"
#include "core/configuration.h"
#include "core/messages.h"
#include "core/replica.h"
#include "core/start_estimate.h"

namespace pomeloring {

struct CellSettings {
  size_t most_waiting = 4096;
  // Of the cell's slots, kept free of each tier for every tier above it.
  double reserved_share_per_tier = 0.02;
  Duration ask_expiry = seconds(6);  // Without being renewed.
  Duration least_retry_after = seconds(1);
  Duration longest_retry_after = seconds(60);
};

struct Grant {
  InstanceName entry;
  uint32_t replica = 0;
  ClassName request_class;
  Time since;
};

struct CellState {
  CellId id;
  ServiceName service;
  CellSettings settings;
  std::map<ClassName, RequestClass> classes;  // Of this service.
  std::vector<Tier> tiers;                    // In use, the highest first.
  std::vector<Replica> replicas;
  AskQueue queue;
  std::unordered_map<AttemptId, Grant> grants;
  StartEstimate estimate;
  // After an ask of a tier was declined for want of capacity, no lower tier is
  // granted before that ask's target has passed, or 2 s have.
  std::map<Tier, Time> no_lower_until;
  // Grants of a tier since one of its overdue asks had its turn.
  std::map<Tier, uint32_t> on_time_grants;
  Time last_aged_grant;
  std::map<InstanceName, Time> last_report;  // Of what an entry runs here.
  Time next_sweep;
  uint64_t random = 1;
};

struct CellReply {
  InstanceName to;
  SlotMessage message;
};
using CellReplies = std::vector<CellReply>;

// Takes over the replicas and classes of `configuration`; replicas that stay
// keep what was learnt of them. `leaving` get no new work.
void ConfigureCell(CellState& cell,
                   const Configuration& configuration,
                   std::span<const Upstream> replicas,
                   const std::set<UpstreamName>& leaving);

CellReplies HandleAsk(CellState& cell,
                      const InstanceName& entry,
                      const Ask& ask,
                      Time now);
CellReplies HandleWithdraw(CellState& cell, const Withdraw& withdraw, Time now);
CellReplies HandleSlotReport(CellState& cell,
                             const InstanceName& entry,
                             const SlotReport& report,
                             Time now);
CellReplies HandleRunningSlots(CellState& cell,
                               const RunningSlots& running,
                               Time now);

// Forgets the asks and runs of an entry that has died.
CellReplies DropEntry(CellState& cell, const InstanceName& entry, Time now);

// Sends every waiting ask back, so that the entries ask the next scheduler.
CellReplies HandBackQueue(CellState& cell);

// Grants, gives up what is late and expires what was not renewed.
CellReplies TickCell(CellState& cell, Time now);

// Returns the name of the cell that `upstream` belongs to.
CellId CellOf(const Service& service, const Upstream& upstream);

// Returns the cells of a service with their replicas.
std::map<CellId, std::vector<Upstream>> CellsOf(const Service& service);

}  // namespace pomeloring

#endif  // POMELORING_CORE_CELL_H_
