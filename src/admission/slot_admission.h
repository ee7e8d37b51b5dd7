// Defines SlotAdmission: which priorities may use the free slots of a service's
// engines, so that higher ones find a slot when they need it. Free functions
// over plain structs, without a clock.

#ifndef POMELORING_ADMISSION_SLOT_ADMISSION_H_
#define POMELORING_ADMISSION_SLOT_ADMISSION_H_

#include <cstddef>
#include <cstdint>
#include <map>

#include "core/ids.h"

namespace pomeloring {

// Engines with more slots are never short of free ones for long: as many end in
// the age of the known loads as higher priorities start.
inline constexpr uint32_t kMaxScarceSlots = 16;

// The requests of one priority at one service, as this instance sees them.
struct SlotClass {
  double starts_per_s = 0;  // Moving average.
  Time starts_updated_at;
  double mean_slot_ms = 0;  // From placement to end; 0 before the first end.
  // Starts that this instance may make now; see Refill().
  double tokens = 0;
  double tokens_per_s = 0;
  Time tokens_updated_at;
  // Totals, for metrics.
  uint64_t starts = 0;
  uint64_t waits = 0;  // Requests that had to wait.
  uint64_t refusals = 0;
  uint64_t refusals_after_wait = 0;
};

// A request that waits at this instance for a slot.
struct SlotWaiter {
  uint32_t priority = 0;
  bool is_late = false;  // Its latency target can no longer be met.
  Time arrived;
  Time last_asked;
};

// Slots of all engines that could be chosen, as far as known.
struct SlotSupply {
  uint32_t slots_per_engine = 0;
  size_t engines = 0;
  double free = 0;     // Sum over the engines.
  double running = 0;  // Requests, also those without a slot.
};

// Of one service.
struct SlotAdmission {
  std::map<uint32_t, SlotClass> classes;   // By priority; 0 is the highest.
  std::map<uint64_t, SlotWaiter> waiters;  // By ticket.
  bool is_scarce = false;                  // By the last supply.
  size_t instances = 1;                    // That place requests.
  Duration load_age{0};  // Of the known loads of other instances.
  // While the loads of all other instances are unknown, the part of all slots
  // that this instance may use; else 1.
  double own_share = 1;
};

struct SlotQuestion {
  uint32_t priority = 0;
  uint64_t ticket = 0;  // Identifies the request; 0: it has no place in order.
  Duration waited{0};
  Duration time_left{0};
  Duration latency_target{0};
  double expected_ms = 0;  // To the answer or first event, from a start now.
};

enum class SlotVerdict { kStart, kWait, kRefuse };

struct SlotDecision {
  SlotVerdict verdict = SlotVerdict::kStart;
  Duration retry_after{0};  // For kRefuse.
  double reserve = 0;       // Slots kept free for higher priorities.
  size_t backlog = 0;       // Requests that wait before this one.
  double expected_wait_ms = 0;
};

// Whether so few slots are free that which engine has one depends on what
// other instances have placed since the known loads.
bool AreSlotsScarce(const SlotSupply& supply);

// Returns the slots that must stay free for priorities above `priority`, over
// all engines.
double ReservedSlots(const SlotAdmission& admission,
                     uint32_t priority,
                     Time now);

// Whether requests of higher priorities have started lately.
bool HasHigherPriority(const SlotAdmission& admission,
                       uint32_t priority,
                       Time now);

// Whether a request that waits already must wait on, whatever the supply: too
// few starts are due to this instance. Spares placement the view of all
// engines.
bool MustWaitOn(SlotAdmission& admission,
                const SlotQuestion& question,
                Time now);

// Decides whether a request may use a slot now. `random` spreads the returns of
// refused callers.
SlotDecision DecideSlot(SlotAdmission& admission,
                        const SlotQuestion& question,
                        const SlotSupply& supply,
                        Time now,
                        uint64_t random);

// Records that a request starts, and that one has ended.
void RecordSlotStart(SlotAdmission& admission,
                     uint32_t priority,
                     uint64_t ticket,
                     Time now);
void RecordSlotEnd(SlotAdmission& admission,
                   uint32_t priority,
                   Duration slot_time);

}  // namespace pomeloring

#endif  // POMELORING_ADMISSION_SLOT_ADMISSION_H_
