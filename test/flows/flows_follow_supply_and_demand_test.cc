// One decision after another in virtual time: a wrong flow overloads a domain,
// sends traffic both ways between two, or swings with each digest.

#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include "flows/domain_flows.h"

namespace pomeloring {
namespace {

constexpr Time kStart{seconds(1000)};
constexpr milliseconds kStep{100};
constexpr double kSlots = 448;
const FailureDomain kNames[] = {{"d0"}, {"d1"}, {"d2"}};

DomainLoad Load(double demand, double in_use, double slots = kSlots) {
  const double used = std::min(in_use, 1.0) * slots;
  // Slot time of a second: as many requests a second as slots in use.
  return {{slots, used, std::max(0.0, in_use - 1) * slots, 50},
          DemandRate{demand * kSlots, demand * kSlots, demand * kSlots * 5e4}};
}

// Loads as fractions of a domain's slots.
FlowInputs Inputs(double demand0, double demand1, double demand2) {
  FlowInputs inputs{kNames[0], {}, {}, 5, milliseconds(50)};
  inputs.domains[kNames[0]] = Load(demand0, demand0);
  inputs.domains[kNames[1]] = Load(demand1, demand1);
  inputs.domains[kNames[2]] = Load(demand2, demand2);
  return inputs;
}

double Update(DomainFlows& flows,
              const FlowInputs& inputs,
              Time& now,
              Duration duration) {
  for (const Time end = now + duration; now < end; now += kStep) {
    UpdateFlows(flows, inputs, now);
  }
  double total = 0;
  for (const auto& [domain, flow] : flows.out) {
    total += flow.fraction;
  }
  return total;
}

TEST_CASE("The excess leaves as far as others have room below 0.85") {
  struct Case {
    double demand[3];
    double leaves;  // Of the demand of d0.
  };
  // Room of a domain at 0.6: 0.25 of its slots.
  const Case cases[] = {
      {{0.6, 0.6, 0.6}, 0},           {{0.9, 0.6, 0.6}, 0},
      {{1.3, 0.6, 0.6}, 0.38 / 1.3},  {{2.0, 0.6, 0.6}, 0.5 / 2},
      {{1.3, 1.3, 0.6}, 0.125 / 1.3},  // Two domains share the room of one.
      {{1.3, 0.9, 0.9}, 0},            // Nobody accepts.
      {{0.6, 1.3, 0.6}, 0},
  };
  for (const Case& each : cases) {
    CAPTURE(each.demand[0]);
    CAPTURE(each.demand[1]);
    FlowInputs inputs = Inputs(each.demand[0], each.demand[1], each.demand[2]);
    inputs.domains[kNames[0]].supply.queued = 0;
    double total = 0;
    for (const auto& [pair, fraction] : PlanFlows(inputs)) {
      total += pair.first == kNames[0] ? fraction : 0;
    }
    CHECK(total == doctest::Approx(each.leaves).epsilon(0.03));
    DomainFlows flows;
    Time now = kStart;
    const double settled = Update(flows, inputs, now, seconds(2));
    CHECK(std::abs(settled - each.leaves) <= 0.02);
  }
}

TEST_CASE("A price above the wait that it saves keeps requests at home") {
  FlowInputs inputs = Inputs(1.05, 0.6, 0.6);
  inputs.domains[kNames[0]].supply.queued = 0;
  inputs.price_ms = 100;
  CHECK(PlanFlows(inputs).size() == 2);
  inputs.price_ms = 400;
  CHECK(PlanFlows(inputs).empty());
  // Requests that wait a second for a slot already.
  inputs.domains[kNames[0]].supply.queued = kSlots;
  CHECK(PlanFlows(inputs).size() == 2);
}

TEST_CASE("Rates of change are bounded") {
  DomainFlows flows;
  Time now = kStart;
  double before = 0;
  for (const double demand : {2.0, 0.5, 1.5, 0.2}) {
    for (int i = 0; i < 30; ++i) {
      Update(flows, Inputs(demand, 0.2, 0.9), now, kStep);
      const double after = flows.out[kNames[1]].fraction;
      CHECK(after - before <= 0.05 + 1e-9);
      CHECK(before - after <= 0.025 + 1e-9);
      before = after;
    }
  }
}

TEST_CASE("A domain without usable engines sends all requests out at once") {
  DomainFlows flows;
  Time now = kStart;
  FlowInputs inputs = Inputs(0.6, 0.6, 0.6);
  inputs.domains[kNames[0]].supply = {};
  CHECK(Update(flows, inputs, now, kStep) == doctest::Approx(1));
  // Also while no domain accepts more, and without digests.
  DomainFlows full;
  inputs.domains[kNames[1]] = Load(1.2, 1);
  inputs.domains[kNames[2]] = Load(1.2, 1);
  inputs.digest_age = seconds(5);
  CHECK(Update(full, inputs, now, kStep) == doctest::Approx(1));
  CHECK(FlowTargetOf(full, 7) != nullptr);
}

TEST_CASE("Lost digests: the flow holds for 2 s, then falls") {
  DomainFlows flows;
  Time now = kStart;
  FlowInputs inputs = Inputs(2.0, 0.6, 0.6);
  const double before = Update(flows, inputs, now, seconds(2));
  inputs.domains[kNames[1]] = Load(0.1, 0.1);
  for (Duration age{0}; age <= seconds(2); age += kStep) {
    inputs.digest_age = age + milliseconds(600);
    if (inputs.digest_age <= seconds(2)) {
      CHECK(Update(flows, inputs, now, kStep) == doctest::Approx(before));
    }
  }
  // Alone, the instance sees only its own requests, here few.
  FlowInputs own = inputs;
  own.digest_age = seconds(3);
  own.domains[kNames[0]] = Load(0.1, 0.1);
  own.domains[kNames[1]].demand.reset();
  own.domains[kNames[2]].demand.reset();
  CHECK(Update(flows, own, now, milliseconds(300)) > 0);
  CHECK(Update(flows, own, now, seconds(2)) == 0);
  CHECK(!flows.is_known);
}

TEST_CASE("An instance that knows only its own domain starts no flow") {
  FlowInputs inputs = Inputs(2.0, 0.6, 0.6);
  inputs.domains[kNames[1]].demand.reset();
  inputs.domains[kNames[2]].demand.reset();
  DomainFlows flows;
  Time now = kStart;
  CHECK(Update(flows, inputs, now, seconds(3)) == 0);
  CHECK(!flows.is_known);
  FlowInputs single{kNames[0], {{kNames[0], Load(2, 1)}}};
  CHECK(Update(flows, single, now, seconds(3)) == 0);
  CHECK(!flows.is_known);
}

TEST_CASE("A flow changes direction only after 2 s at zero") {
  DomainFlows flows;
  Time now = kStart;
  FlowInputs inputs = Inputs(1.5, 0.3, 0.9);
  inputs.reported[{kNames[1], kNames[0]}] = 0.1;
  CHECK(Update(flows, inputs, now, seconds(1)) == 0);
  inputs.reported.clear();
  CHECK(Update(flows, inputs, now, milliseconds(1900)) == 0);
  CHECK(Update(flows, inputs, now, milliseconds(500)) > 0);
  // Both directions at once, after a lost digest: the domain with less load
  // gives way.
  inputs.reported[{kNames[1], kNames[0]}] = 0.1;
  CHECK(Update(flows, inputs, now, kStep) > 0);
  inputs.domains[kNames[1]] = Load(1.9, 1);
  CHECK(Update(flows, inputs, now, kStep) == 0);
}

TEST_CASE("Instances of one domain agree in spite of different observations") {
  constexpr size_t kInstances = 28;
  std::vector<DomainFlows> flows(kInstances);
  uint64_t random = 5;
  Time now = kStart;
  FlowFractions reported;
  for (; now < kStart + seconds(3); now += kStep) {
    double sum = 0;
    for (DomainFlows& each : flows) {
      // An observation that is 5 % off, as after digests of different age.
      const double error =
          0.95 + 0.1 * static_cast<double>(NextRandom(random) % 100) / 100;
      FlowInputs inputs = Inputs(1.5 * error, 0.6, 0.8);
      inputs.reported = reported;
      UpdateFlows(each, inputs, now);
      sum += each.out[kNames[1]].fraction;
    }
    reported[{kNames[0], kNames[1]}] = sum / kInstances;
  }
  std::vector<double> fractions;
  for (DomainFlows& each : flows) {
    fractions.push_back(each.out[kNames[1]].fraction);
  }
  const auto [low, high] =
      std::minmax_element(fractions.begin(), fractions.end());
  CHECK(*low > 0.1);
  CHECK(*high - *low <= 0.03);
}

TEST_CASE("The hash of a request chooses as many as the flow says") {
  DomainFlows flows;
  flows.out[kNames[1]].fraction = 0.2;
  flows.out[kNames[2]].fraction = 0.1;
  int leave[2] = {0, 0};
  for (uint64_t id = 1; id <= 10000; ++id) {
    if (const FailureDomain* to = FlowTargetOf(flows, id)) {
      ++leave[*to == kNames[1] ? 0 : 1];
    }
  }
  CHECK(std::abs(leave[0] - 2000) < 150);
  CHECK(std::abs(leave[1] - 1000) < 120);
  CHECK(FlowTargetOf(flows, 0) == nullptr);
}

TEST_CASE("Digests: sums and means of several instances") {
  const DemandKey key{{"engines"}, kNames[0]};
  DemandRates total;
  const DemandRates one{{key, {10, 12, 1000}}};
  const DemandRates two{{key, {30, 20, 3000}}};
  AddDemands(total, one);
  AddDemands(total, two);
  CHECK(total.at(key) == DemandRate{40, 32, 4000});
  SubtractDemands(total, one);
  CHECK(total == two);
  SubtractDemands(total, two);
  CHECK(total.empty());
  const std::pair<ServiceName, DomainPair> pair{{"engines"},
                                                {kNames[0], kNames[1]}};
  const FlowReports first{{pair, 0.2}};
  const FlowReports second{{pair, 0.4}};
  FlowSums sums;
  AddFlows(sums, first);
  AddFlows(sums, second);
  CHECK(MeansOf(sums).at(pair) == doctest::Approx(0.3));
  SubtractFlows(sums, first);
  CHECK(MeansOf(sums).at(pair) == doctest::Approx(0.4));
  SubtractFlows(sums, second);
  CHECK(MeansOf(sums).empty());
}

}  // namespace
}  // namespace pomeloring
