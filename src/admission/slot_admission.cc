#include "admission/slot_admission.h"

#include <algorithm>
#include <cmath>

namespace pomeloring {
namespace {

// Slots are scarce while fewer than this many standard deviations of an
// engine's running requests are free at the mean engine: then some have none.
constexpr double kScarceDeviations = 3;
// The same of the slots that higher priorities use: their reserve for bursts.
constexpr double kReserveDeviations = 3;
// Time constant of the start rates: some ten starts of an instance of a large
// fleet, and shorter than the load changes that matter.
constexpr double kRateTimeConstantMs = 4000;
// A priority without a start for this long no longer holds lower ones back. An
// instance of a large fleet sees one start of a rare class in some seconds.
constexpr Duration kHigherPriorityMemory = seconds(60);
constexpr double kSlotTimeSmoothing = 0.1;
// All instances together use this fraction of the slots above the reserve in
// the age of the known loads. With all of them, what they place in that time
// would make the number of free slots oscillate.
constexpr double kUseOfFreeSlots = 0.7;
// The known loads are at least this old: digests are sent as often.
constexpr Duration kMinLoadAge = milliseconds(100);
// Loads are relayed within 400 ms; older ones are dropped soon.
constexpr Duration kMaxLoadAge = milliseconds(500);
// A waiting request is decided without a view of the engines for this long.
constexpr Duration kSupplyInterval = milliseconds(100);
// Starts that may be saved up beyond those of the age of the known loads:
// waiting requests ask every 20 ms.
constexpr double kMaxSavedStarts = 1.5;
// A start is made for each waiting request that has asked within this time.
constexpr Duration kWaiterTimeout = milliseconds(100);
// The slowest engines take this much longer than the mean.
constexpr double kSlotTimeMargin = 1.5;
// A request that is let in to wait should not be refused later when its wait
// is this much longer than expected.
constexpr double kWaitMargin = 1.3;
// Fraction of the latency target by which a request must be able to answer to
// go before those that are late anyway.
constexpr double kOnTimeFraction = 0.9;
constexpr Duration kMinRetryAfter = milliseconds(100);
// A caller that is told to return gets a second and a third chance.
constexpr int kMaxRetryAfterFraction = 3;

double StartsPerSecond(const SlotClass& slot_class, Time now) {
  return slot_class.starts_per_s *
         std::exp(-ToMillis(now - slot_class.starts_updated_at) /
                  kRateTimeConstantMs);
}

double AgeSeconds(const SlotAdmission& admission) {
  return ToMillis(std::clamp(admission.load_age, kMinLoadAge, kMaxLoadAge)) /
         1000;
}

// Divides the slots above the reserve evenly among the instances.
void Refill(SlotClass& slot_class,
            const SlotAdmission& admission,
            double slots,
            Time now,
            uint64_t random) {
  const double age_s = AgeSeconds(admission);
  const double per_age = kUseOfFreeSlots * std::max(0.0, slots) /
                         static_cast<double>(admission.instances);
  const double elapsed_s =
      std::min(age_s, ToMillis(now - slot_class.tokens_updated_at) / 1000);
  if (slot_class.tokens_updated_at == Time{}) {
    // So that not all instances start their first requests at once.
    slot_class.tokens = static_cast<double>(random % 1024) / 1024;
  } else {
    slot_class.tokens += per_age / age_s * elapsed_s;
  }
  slot_class.tokens_per_s = per_age / age_s;
  slot_class.tokens =
      std::min(slot_class.tokens, std::max(kMaxSavedStarts, per_age));
  slot_class.tokens_updated_at = now;
}

// Returns the starts that are due, without those that a new supply would add.
double DueStarts(const SlotClass& slot_class, Time now) {
  const double elapsed_s = ToMillis(now - slot_class.tokens_updated_at) / 1000;
  return slot_class.tokens + slot_class.tokens_per_s * elapsed_s;
}

bool IsLate(const SlotQuestion& question) {
  return question.latency_target.count() > 0 &&
         ToMillis(question.waited) + question.expected_ms >
             kOnTimeFraction * ToMillis(question.latency_target);
}

double SlackMs(const SlotQuestion& question, const SlotClass& slot_class) {
  return ToMillis(question.time_left) -
         kSlotTimeMargin * slot_class.mean_slot_ms;
}

// Without the loads of others, the known ones are those of this instance.
double OwnFreeSlots(const SlotAdmission& admission, const SlotSupply& supply) {
  const double all =
      supply.slots_per_engine * static_cast<double>(supply.engines);
  return std::min(supply.free, admission.own_share * all - supply.running);
}

struct Backlog {
  size_t ahead = 0;  // Before this request.
  size_t total = 0;  // Of its priority and higher ones.
};

Backlog CountBacklog(SlotAdmission& admission,
                     const SlotQuestion& question,
                     bool is_late,
                     Time now) {
  std::erase_if(admission.waiters, [&](const auto& entry) {
    return now - entry.second.last_asked > kWaiterTimeout;
  });
  const Time arrived = now - question.waited;
  Backlog backlog;
  for (const auto& [ticket, waiter] : admission.waiters) {
    if (ticket == question.ticket || waiter.priority > question.priority) {
      continue;
    }
    ++backlog.total;
    const bool is_first = waiter.priority != question.priority ? true
                          : waiter.is_late != is_late          ? is_late
                          : waiter.arrived != arrived
                              ? waiter.arrived < arrived
                              : ticket < question.ticket;
    backlog.ahead += is_first ? 1 : 0;
  }
  return backlog;
}

Duration RetryAfter(double wait_ms, Duration time_left, uint64_t random) {
  const Duration latest = time_left / kMaxRetryAfterFraction;
  const Duration expected{static_cast<int64_t>(wait_ms * 1000)};
  const Duration longest =
      std::clamp(expected, std::min(kMinRetryAfter, latest),
                 std::max(latest, Duration{0}));
  // Over the second half of the time, in which capacity becomes free as well.
  const Duration spread{static_cast<int64_t>(
      random % static_cast<uint64_t>(longest.count() / 2 + 1))};
  return longest - spread;
}

}  // namespace

// The number of running requests of an engine varies about as in a Poisson
// process.
bool AreSlotsScarce(const SlotSupply& supply) {
  if (supply.slots_per_engine > kMaxScarceSlots || supply.engines == 0) {
    return false;
  }
  const auto engines = static_cast<double>(supply.engines);
  return supply.free / engines <
         kScarceDeviations * std::sqrt(supply.running / engines);
}

// What higher priorities use now is among the running requests. More is needed
// for those that other instances start before the next digest, and for bursts:
// the slots in use of Poisson arrivals vary by the square root of their mean.
double ReservedSlots(const SlotAdmission& admission,
                     uint32_t priority,
                     Time now) {
  double starts_per_s = 0;
  double slots_in_use = 0;
  for (const auto& [other, slot_class] : admission.classes) {
    if (other >= priority) {
      break;
    }
    const double rate = StartsPerSecond(slot_class, now) *
                        static_cast<double>(admission.instances);
    starts_per_s += rate;
    slots_in_use += rate * slot_class.mean_slot_ms / 1000;
  }
  return starts_per_s * AgeSeconds(admission) +
         kReserveDeviations * std::sqrt(slots_in_use);
}

bool HasHigherPriority(const SlotAdmission& admission,
                       uint32_t priority,
                       Time now) {
  const auto end = admission.classes.lower_bound(priority);
  return std::any_of(admission.classes.begin(), end, [&](const auto& entry) {
    return entry.second.starts > 0 &&
           now - entry.second.starts_updated_at < kHigherPriorityMemory;
  });
}

bool MustWaitOn(SlotAdmission& admission,
                const SlotQuestion& question,
                Time now) {
  const auto waiter = admission.waiters.find(question.ticket);
  const auto own = admission.classes.find(question.priority);
  if (waiter == admission.waiters.end() || own == admission.classes.end() ||
      !admission.is_scarce || admission.instances == 1 ||
      now - own->second.tokens_updated_at > kSupplyInterval ||
      SlackMs(question, own->second) <= 0) {
    return false;
  }
  waiter->second.is_late = IsLate(question);
  waiter->second.last_asked = now;
  const Backlog backlog =
      CountBacklog(admission, question, waiter->second.is_late, now);
  return DueStarts(own->second, now) < static_cast<double>(backlog.ahead) + 1;
}

SlotDecision DecideSlot(SlotAdmission& admission,
                        const SlotQuestion& question,
                        const SlotSupply& supply,
                        Time now,
                        uint64_t random) {
  admission.is_scarce =
      AreSlotsScarce(supply) ||
      (admission.own_share < 1 && supply.slots_per_engine <= kMaxScarceSlots);
  SlotDecision decision;
  if (!admission.is_scarce ||
      !HasHigherPriority(admission, question.priority, now)) {
    return decision;
  }
  SlotClass& own = admission.classes[question.priority];
  decision.reserve = ReservedSlots(admission, question.priority, now);
  const double slots = OwnFreeSlots(admission, supply) - decision.reserve;
  Refill(own, admission, slots, now, random);
  const bool is_late = IsLate(question);
  const Backlog backlog = CountBacklog(admission, question, is_late, now);
  decision.backlog = backlog.ahead;
  const bool has_turn = admission.instances == 1 ||
                        own.tokens >= static_cast<double>(backlog.ahead) + 1;
  if (has_turn && slots >= static_cast<double>(backlog.ahead) + 1) {
    return decision;
  }
  const double rate = std::max(StartsPerSecond(own, now), own.tokens_per_s);
  decision.expected_wait_ms =
      static_cast<double>(backlog.total + 1) / std::max(rate, 0.1) * 1000;
  const double slack_ms = SlackMs(question, own);
  const bool is_new = !admission.waiters.contains(question.ticket);
  const bool is_hopeless = is_new && backlog.total > 0 &&
                           kWaitMargin * decision.expected_wait_ms > slack_ms;
  if (slack_ms > 0 && !is_hopeless) {
    decision.verdict = SlotVerdict::kWait;
    own.waits += is_new ? 1 : 0;
    if (question.ticket != 0) {
      admission.waiters[question.ticket] = {question.priority, is_late,
                                            now - question.waited, now};
    }
    return decision;
  }
  ++own.refusals;
  own.refusals_after_wait += is_new ? 0 : 1;
  admission.waiters.erase(question.ticket);
  decision.verdict = SlotVerdict::kRefuse;
  decision.retry_after =
      RetryAfter(decision.expected_wait_ms, question.time_left, random);
  return decision;
}

void RecordSlotStart(SlotAdmission& admission,
                     uint32_t priority,
                     uint64_t ticket,
                     Time now) {
  SlotClass& slot_class = admission.classes[priority];
  slot_class.starts_per_s =
      StartsPerSecond(slot_class, now) + 1000 / kRateTimeConstantMs;
  slot_class.starts_updated_at = now;
  ++slot_class.starts;
  slot_class.tokens = std::max(0.0, slot_class.tokens - 1);
  admission.waiters.erase(ticket);
}

void RecordSlotEnd(SlotAdmission& admission,
                   uint32_t priority,
                   Duration slot_time) {
  double& mean = admission.classes[priority].mean_slot_ms;
  mean = mean == 0 ? ToMillis(slot_time)
                   : mean + kSlotTimeSmoothing * (ToMillis(slot_time) - mean);
}

}  // namespace pomeloring
