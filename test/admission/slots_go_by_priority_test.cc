// Decides who may use a slot from given numbers alone. Guards against lower
// priorities that take the last free slots, against requests that wait although
// they cannot end in time, and against any effect where slots are not scarce.

#include <doctest/doctest.h>

#include <set>

#include "admission/slot_admission.h"

namespace pomeloring {
namespace {

constexpr Time kNow{seconds(1000)};

// 100 engines of 12 slots. Of priority 0, 300 requests a second use 300 slots.
SlotAdmission BusyAdmission(size_t instances) {
  SlotAdmission admission;
  admission.instances = instances;
  SlotClass& urgent = admission.classes[0];
  urgent.starts_per_s = 300.0 / static_cast<double>(instances);
  urgent.starts_updated_at = kNow;
  urgent.mean_slot_ms = 1000;
  urgent.starts = 1;
  admission.classes[2] = urgent;
  admission.classes[2].mean_slot_ms = 2000;
  return admission;
}

SlotSupply SupplyOf(uint32_t slots_per_engine, double free) {
  return {slots_per_engine, 100, free, slots_per_engine * 100.0 - free};
}

struct SupplyCase {
  uint32_t priority;
  SlotSupply supply;
  SlotVerdict verdict;
};

TEST_CASE("Lower priorities wait for slots that higher ones need") {
  // The reserve is 300/s x 0.1 s + 3 x sqrt(300) = 82.
  const SupplyCase cases[] = {
      {0, SupplyOf(12, 0), SlotVerdict::kStart},
      {2, SupplyOf(12, 0), SlotVerdict::kWait},
      {2, SupplyOf(12, 80), SlotVerdict::kWait},
      {2, SupplyOf(12, 84), SlotVerdict::kStart},
      {2, SupplyOf(12, 900), SlotVerdict::kStart},
      {2, SupplyOf(48, 0), SlotVerdict::kStart},
  };
  for (const SupplyCase& each : cases) {
    CAPTURE(each.priority);
    CAPTURE(each.supply.slots_per_engine);
    CAPTURE(each.supply.free);
    SlotAdmission admission = BusyAdmission(1);
    const SlotQuestion question{each.priority, 1, {}, seconds(12), seconds(2)};
    CHECK(DecideSlot(admission, question, each.supply, kNow, 0).verdict ==
          each.verdict);
  }
}

TEST_CASE("An instance without digests uses its own part of all slots") {
  SlotAdmission admission = BusyAdmission(1);
  admission.classes[0].starts_per_s = 1;
  admission.own_share = 1.0 / 50;  // 24 slots.
  const SlotQuestion question{2, 1, {}, seconds(12), seconds(2)};
  CHECK(DecideSlot(admission, question, SupplyOf(12, 1190), kNow, 0).verdict ==
        SlotVerdict::kStart);
  CHECK(DecideSlot(admission, question, SupplyOf(12, 1176), kNow, 0).verdict ==
        SlotVerdict::kWait);
}

TEST_CASE("Instances start no more together than becomes free") {
  int started = 0;
  for (uint64_t instance = 0; instance < 100; ++instance) {
    SlotAdmission admission = BusyAdmission(100);
    // Ten requests ask every 20 ms until they start. 200 slots above the
    // reserve are free, as all instances see for 0.1 s.
    std::set<uint64_t> waiting{1, 2, 3, 4, 5, 6, 7, 8, 9, 10};
    for (Duration waited{0}; waited < milliseconds(100);
         waited += milliseconds(20)) {
      std::erase_if(waiting, [&](uint64_t ticket) {
        const SlotQuestion question{2, ticket, waited, seconds(12), seconds(2)};
        const Time now = kNow + waited;
        const bool starts = DecideSlot(admission, question, SupplyOf(12, 282),
                                       now, instance * 10)
                                .verdict == SlotVerdict::kStart;
        if (starts) {
          RecordSlotStart(admission, 2, ticket, now);
          ++started;
        }
        return starts;
      });
    }
  }
  CHECK(started > 100);
  CHECK(started <= 200);
}

TEST_CASE("What cannot end in time is refused, with a time to return") {
  for (uint64_t random = 0; random < 100000; random += 999) {
    SlotAdmission admission = BusyAdmission(1);
    // Shorter than 1.5 slot times.
    const SlotQuestion question{2, 1, {}, milliseconds(2900), seconds(2)};
    const SlotDecision decision =
        DecideSlot(admission, question, SupplyOf(12, 0), kNow, random);
    REQUIRE(decision.verdict == SlotVerdict::kRefuse);
    CHECK(decision.retry_after > Duration{0});
    CHECK(decision.retry_after <= question.time_left / 3);
    CHECK(admission.waiters.empty());
  }
}

TEST_CASE("A known backlog refuses new requests but none that wait") {
  SlotAdmission admission = BusyAdmission(1);
  admission.classes[2].starts_per_s = 5;
  int waiting = 0;
  const auto ask = [&](uint64_t ticket) {
    const SlotQuestion question{2, ticket, {}, seconds(12), seconds(2)};
    return DecideSlot(admission, question, SupplyOf(12, 0), kNow, 0).verdict;
  };
  while (ask(static_cast<uint64_t>(waiting) + 1) == SlotVerdict::kWait) {
    REQUIRE(++waiting < 1000);
  }
  // 9 s at 5 starts a second, over 1.3.
  CHECK(waiting >= 30);
  CHECK(waiting <= 40);
  CHECK(ask(1) == SlotVerdict::kWait);
  CHECK(admission.classes[2].refusals == 1);
}

TEST_CASE("Requests that can still be on time start before late ones") {
  SlotAdmission admission = BusyAdmission(1);
  const SlotQuestion late{2, 1, seconds(3), seconds(9), seconds(2)};
  const SlotQuestion on_time{2, 2, seconds(1), seconds(9), seconds(2)};
  const SlotSupply full = SupplyOf(12, 0);
  DecideSlot(admission, late, full, kNow, 0);
  DecideSlot(admission, on_time, full, kNow, 0);
  const SlotSupply one = SupplyOf(12, 83.5);
  CHECK(DecideSlot(admission, late, one, kNow, 0).verdict ==
        SlotVerdict::kWait);
  CHECK(DecideSlot(admission, on_time, one, kNow, 0).verdict ==
        SlotVerdict::kStart);
}

}  // namespace
}  // namespace pomeloring
