// Defines CellState: the replicas of one cell, the asks that wait for them and
// the slots that are held.

#ifndef POMELORING_CORE_CELL_STATE_H_
#define POMELORING_CORE_CELL_STATE_H_

#include <map>
#include <unordered_map>
#include <vector>

#include "core/ask_queue.h"
#include "core/configuration.h"
#include "core/messages.h"
#include "core/replica.h"
#include "core/start_estimate.h"

namespace pomeloring {

struct CellSettings {
  size_t max_queue_length = 4096;
  // Of the cell's slots, kept free of each tier for every tier above it.
  double reserved_share_per_tier = 0.02;
  Duration renewal_timeout = seconds(6);  // Without being renewed.
  Duration min_retry_after = seconds(1);
  Duration max_retry_after = seconds(60);
};

struct Grant {
  InstanceName entry;
  uint32_t replica = 0;
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
  // After an ask of a tier was declined for want of capacity, no lower tier is
  // granted before that ask's target has passed, or 2 s have.
  std::map<Tier, Time> lower_tiers_blocked_until;
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

}  // namespace pomeloring

#endif  // POMELORING_CORE_CELL_STATE_H_
