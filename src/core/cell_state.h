// Defines CellState: the replicas of one cell, the slot requests that wait for
// them and the slots that are granted.

#ifndef POMELORING_CORE_CELL_STATE_H_
#define POMELORING_CORE_CELL_STATE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "core/configuration.h"
#include "core/messages.h"
#include "core/replica.h"
#include "core/slot_request_queue.h"
#include "core/start_estimate.h"

namespace pomeloring {

struct CellSettings {
  size_t max_queue_length = 4096;
  // Fraction of the cell's slots that each tier leaves free for every tier
  // above it.
  double reserved_share_per_tier = 0.02;
  // A slot request that is not renewed for this long is removed.
  Duration renewal_timeout = seconds(6);
  Duration min_retry_after = seconds(1);
  Duration max_retry_after = seconds(60);
};

struct Grant {
  InstanceName entry;
  uint32_t replica = 0;  // Index in CellState::replicas.
  ClassName request_class;
  Time granted_at;
};

struct CellState {
  CellId id;
  ServiceName service;
  CellSettings settings;
  std::map<ClassName, RequestClass> classes;  // Of this service.
  std::vector<Tier> tiers;                    // In use, the highest first.
  std::vector<Replica> replicas;
  uint32_t replicas_hash = 0;  // See HashReplicas().
  SlotRequestQueue queue;
  std::unordered_map<AttemptId, Grant> grants;
  StartEstimate estimate;
  // After a slot request of a tier was declined for lack of capacity, no lower
  // tier is granted until the deadline of that request, but for 2 s at most.
  std::map<Tier, Time> lower_tiers_blocked_until;
  // Grants of a tier since an overdue request was last granted or preferred. A
  // request is overdue after its latest start.
  std::map<Tier, uint32_t> on_time_grants;
  Time last_aged_grant;
  std::map<InstanceName, Time> last_report;  // Last RunningSlots by entry.
  Time next_sweep;
  uint64_t random = 1;  // State of the random number generator.
};

struct CellReply {
  InstanceName to;
  SlotMessage message;
};
using CellReplies = std::vector<CellReply>;

}  // namespace pomeloring

#endif  // POMELORING_CORE_CELL_STATE_H_
