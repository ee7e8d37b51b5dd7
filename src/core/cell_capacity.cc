#include "core/cell_capacity.h"

#include <algorithm>

namespace pomeloring {

uint32_t TotalSlots(const CellState& cell, Time now) {
  uint32_t slots = 0;
  for (const Replica& replica : cell.replicas) {
    if (TakesWork(replica, now)) {
      slots += static_cast<uint32_t>(replica.limit);
    }
  }
  return slots;
}

uint32_t TotalFreeSlots(const CellState& cell, Time now) {
  uint32_t free = 0;
  for (const Replica& replica : cell.replicas) {
    if (TakesWork(replica, now)) {
      free += FreeSlots(replica);
    }
  }
  return free;
}

Duration TimeToDrain(const CellState& cell, size_t requests, Time now) {
  // While the cell is not full, slots are released only as fast as requests
  // arrive. The slots and the mean slot time give its rate at full load.
  const double mean_slot_seconds = MeanSlotSeconds(cell.estimate);
  const double full_rate =
      mean_slot_seconds <= 0 ? 0 : TotalSlots(cell, now) / mean_slot_seconds;
  const double rate = std::max(SlotReleaseRate(cell.estimate), full_rate);
  const uint32_t free = TotalFreeSlots(cell, now);
  if (requests <= free || rate <= 0) {
    return Duration{0};
  }
  const double wait_seconds = static_cast<double>(requests - free) / rate;
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::min(wait_seconds, 3600.0)));
}

// Spreads retries over up to twice the drain time, so that callers do not all
// retry at the same time.
Duration RetryAfter(CellState& cell, Time now) {
  const Duration drain = TimeToDrain(cell, cell.queue.requests.size() + 1, now);
  const Duration base = std::clamp(drain, cell.settings.min_retry_after,
                                   cell.settings.max_retry_after);
  const auto spread = static_cast<int64_t>(NextRandom(cell.random) %
                                           static_cast<uint64_t>(base.count()));
  return base + Duration{spread};
}

}  // namespace pomeloring
