#include "flows/domain_flows.h"

#include <algorithm>
#include <cmath>
#include <vector>

namespace pomeloring {
namespace {

constexpr double kMaxRisePerS = 0.5;
constexpr double kMaxFallPerS = 0.25;
// Of the slots. Flows bring a domain no further, and none to it rises while it
// uses more: its own demand may rise by a sixth before it is short of slots.
constexpr double kMaxLoadForInflow = 0.85;
// Slots in use over demanded ones.
constexpr double kMaxUnexplainedUse = 1.2;
// Of the slots. A domain with more demand sends the excess out. Above the limit
// for inflow, so that no domain does both.
constexpr double kHomeLoad = 0.92;
// Time within which a shortage of slots makes requests wait. A shortage that
// costs less waiting in it than crossing domains stays.
constexpr double kHorizonMs = 2000;
// Requests that already wait at the engines are made up for within this time.
constexpr double kDrainMs = 2000;
constexpr Duration kDirectionChangeTime = seconds(2);
// Digests are sent every 40 to 100 ms; when the newest one is older than this,
// the load may have changed unseen.
constexpr Duration kMaxFreshAge = milliseconds(500);
constexpr Duration kHoldTime = seconds(2);
// Smaller flows move less than the error of the measured demand.
constexpr double kMinFlow = 0.02;
// Time constant at which the instances of a domain approach their mean. Longer
// than a digest takes over two relays, so that they don't overshoot.
constexpr double kAgreementS = 0.5;
// Time constant of the measured demand, whose relative error is
// 1 / sqrt(2 x rate x time constant). Flows must settle within 2 s.
constexpr double kDemandS = 0.7;
constexpr double kMeanWeight = 0.05;
// Below this rate, a domain has no demand.
constexpr double kMinRequestsPerS = 0.01;
// Two ways between domains of 0.9 to 1.4 ms each.
constexpr double kRoundTripMs = 2.4;
constexpr double kBytesPerMb = 1e6;
// Prefilling a part again takes engine time from all waiting requests;
// placement weighs it in the same way. Each later request with the part would
// pay for its bytes as well; this many are assumed to share a part while it is
// cached.
constexpr double kRedundantPrefillWeight = 8;
constexpr double kUsesOfSharedPart = 8;
// Keeps a request in its domain while an engine there can start it in time:
// above all other costs, also the random part of the choice among free slots.
constexpr double kKeepHomeCostMs = 1e6;

double ReportedFlow(const FlowInputs& inputs,
                    const FailureDomain& from,
                    const FailureDomain& to) {
  const auto found = inputs.reported.find({from, to});
  return found == inputs.reported.end() ? 0 : found->second;
}

double DemandedSlots(const DomainLoad& load) {
  return load.demand ? load.demand->slots : 0;
}

// Slots that the reported flows bring to `domain`.
double InflowSlots(const FlowInputs& inputs, const FailureDomain& domain) {
  double slots = 0;
  for (const auto& [pair, fraction] : inputs.reported) {
    const auto from = inputs.domains.find(pair.first);
    if (pair.second == domain && from != inputs.domains.end()) {
      slots += fraction * DemandedSlots(from->second);
    }
  }
  return slots;
}

// Whether the reported demand explains the slots in use. It does not while
// instances of an earlier version report none, or shortly after it has fallen.
bool IsDemandComplete(const FlowInputs& inputs) {
  double in_use = 0;
  double demanded = 0;
  for (const auto& [domain, load] : inputs.domains) {
    in_use += load.supply.in_use;
    demanded += DemandedSlots(load);
  }
  return in_use <= kMaxUnexplainedUse * demanded;
}

// Slots that `domain` can give to others. By its demand where that is known:
// requests that leave another domain as a last resort use slots as well, and
// would end the flow that makes them fewer.
double RoomOf(const FlowInputs& inputs,
              const FailureDomain& domain,
              const DomainLoad& load) {
  const double demanded = DemandedSlots(load);
  const double own_use =
      load.demand && IsDemandComplete(inputs)
          ? demanded
          : std::max(demanded,
                     load.supply.in_use - InflowSlots(inputs, domain));
  return std::max(0.0, kMaxLoadForInflow * load.supply.slots - own_use);
}

bool IsOverInflowLimit(const DomainSupply& supply) {
  return supply.in_use > kMaxLoadForInflow * supply.slots;
}

// Slots that a domain lacks for its own demand, beyond a shortage that costs
// less than crossing. `remote_ms` is the latency elsewhere.
double ExcessOf(const DomainLoad& load, double price_ms, double remote_ms) {
  if (!load.demand || load.demand->requests_per_s < kMinRequestsPerS) {
    return 0;
  }
  const DomainSupply& supply = load.supply;
  if (supply.slots <= 0) {
    return load.demand->slots;
  }
  const double slot_ms =
      1000 * load.demand->slots / load.demand->requests_per_s;
  const double queue_ms = supply.queued * slot_ms / supply.slots;
  const double gain_ms = queue_ms + supply.expected_ms - remote_ms;
  const double kept_load =
      kHomeLoad + std::max(0.0, price_ms - std::max(0.0, gain_ms)) / kHorizonMs;
  const double drain = supply.queued * slot_ms / kDrainMs;
  return std::clamp(load.demand->slots + drain - kept_load * supply.slots, 0.0,
                    load.demand->slots);
}

struct DomainRoom {
  FailureDomain domain;
  double slots = 0;
};

std::vector<DomainRoom> RoomsOf(const FlowInputs& inputs) {
  std::vector<DomainRoom> rooms;
  for (const auto& [domain, load] : inputs.domains) {
    if (const double room = RoomOf(inputs, domain, load); room > 0) {
      rooms.push_back({domain, room});
    }
  }
  return rooms;
}

// All requests of a domain without usable engines leave it, also to domains
// that accept no inflow: elsewhere none of them can run.
void SendAllOut(DomainFlows& flows, const FlowInputs& inputs) {
  std::map<FailureDomain, double> weights;
  double total = 0;
  for (const bool needs_room : {true, false}) {
    for (const auto& [domain, load] : inputs.domains) {
      if (domain != inputs.home && total >= 0) {
        const double weight =
            needs_room ? RoomOf(inputs, domain, load) : load.supply.slots;
        weights[domain] = weight;
        total += weight;
      }
    }
    if (total > 0) {
      break;
    }
  }
  for (auto& [domain, flow] : flows.out) {
    flow.fraction = total > 0 ? weights[domain] / total : 0;
  }
}

// Whether this domain gives way where both directions of a pair have a flow:
// that with less load for its slots needs its flow less.
bool MustYield(const FlowInputs& inputs, const FailureDomain& other) {
  const auto load = [&](const FailureDomain& domain) {
    const DomainLoad& known = inputs.domains.at(domain);
    return DemandedSlots(known) / std::max(1.0, known.supply.slots);
  };
  return std::pair(load(inputs.home), inputs.home) <
         std::pair(load(other), other);
}

void MoveFlow(OutFlow& flow,
              double wanted,
              std::optional<double> peers,
              double elapsed_s) {
  const double lowest = flow.fraction - kMaxFallPerS * elapsed_s;
  const double highest =
      flow.accepts ? flow.fraction + kMaxRisePerS * elapsed_s : flow.fraction;
  double next = std::clamp(wanted, lowest, highest);
  if (peers) {
    next += (*peers - next) * (1 - std::exp(-elapsed_s / kAgreementS));
  }
  next = std::clamp(next, std::max(0.0, lowest), std::min(1.0, highest));
  // The rest of a flow that has ended does not linger among the instances.
  const bool is_ending = wanted < kMinFlow && next < kMinFlow;
  flow.fraction = is_ending ? std::max(0.0, lowest) : next;
}

}  // namespace

void AddDemands(DemandRates& total, const DemandRates& demands) {
  for (const auto& [key, demand] : demands) {
    DemandRate& sum = total[key];
    sum.requests_per_s += demand.requests_per_s;
    sum.slots += demand.slots;
    sum.bytes_per_s += demand.bytes_per_s;
  }
}

void SubtractDemands(DemandRates& total, const DemandRates& demands) {
  for (const auto& [key, demand] : demands) {
    DemandRate& sum = total[key];
    sum.requests_per_s -= demand.requests_per_s;
    sum.slots = std::max(0.0, sum.slots - demand.slots);
    sum.bytes_per_s = std::max(0.0, sum.bytes_per_s - demand.bytes_per_s);
  }
  std::erase_if(total, [](const auto& entry) {
    return entry.second.requests_per_s < kMinRequestsPerS;
  });
}

void AddFlows(FlowSums& total, const FlowReports& reports) {
  for (const auto& [key, fraction] : reports) {
    total[key].fractions += fraction;
    ++total[key].reports;
  }
}

void SubtractFlows(FlowSums& total, const FlowReports& reports) {
  for (const auto& [key, fraction] : reports) {
    total[key].fractions -= fraction;
    --total[key].reports;
  }
}

FlowReports MeansOf(const FlowSums& total) {
  FlowReports means;
  for (const auto& [key, sum] : total) {
    if (sum.reports > 0) {
      means[key] = std::max(0.0, sum.fractions / sum.reports);
    }
  }
  return means;
}

FlowFractions PlanFlows(const FlowInputs& inputs) {
  FlowFractions planned;
  const std::vector<DomainRoom> rooms = RoomsOf(inputs);
  double total_room = 0;
  double remote_ms = 0;
  for (const DomainRoom& room : rooms) {
    total_room += room.slots;
    remote_ms += room.slots * inputs.domains.at(room.domain).supply.expected_ms;
  }
  if (total_room <= 0) {
    return planned;
  }
  remote_ms /= total_room;
  std::map<FailureDomain, double> excess;
  double total_excess = 0;
  for (const auto& [domain, load] : inputs.domains) {
    excess[domain] = ExcessOf(load, inputs.price_ms, remote_ms);
    total_excess += excess[domain];
  }
  const double served =
      std::min(1.0, total_room / std::max(1e-9, total_excess));
  for (const auto& [domain, slots] : excess) {
    for (const DomainRoom& room : rooms) {
      const double fraction =
          slots * served * room.slots / total_room /
          std::max(1e-9, DemandedSlots(inputs.domains.at(domain)));
      if (room.domain != domain && fraction >= kMinFlow) {
        planned[{domain, room.domain}] = fraction;
      }
    }
  }
  return planned;
}

void UpdateFlows(DomainFlows& flows, const FlowInputs& inputs, Time now) {
  const double elapsed_s =
      flows.updated_at ? std::min(1.0, ToMillis(now - *flows.updated_at) / 1000)
                       : 0;
  flows.updated_at = now;
  const auto home = inputs.domains.find(inputs.home);
  std::erase_if(flows.out, [&](const auto& entry) {
    return !inputs.domains.contains(entry.first);
  });
  bool is_known = false;
  for (const auto& [domain, load] : inputs.domains) {
    if (domain != inputs.home) {
      OutFlow& flow = flows.out[domain];
      flow.accepts = load.supply.slots > 0 && !IsOverInflowLimit(load.supply);
      if (ReportedFlow(inputs, domain, inputs.home) >= kMinFlow) {
        flow.reverse_seen_at = now;
      }
      is_known |= load.demand.has_value() || flow.fraction > 0;
    }
  }
  flows.is_known = is_known;
  if (home == inputs.domains.end() || home->second.supply.slots <= 0) {
    SendAllOut(flows, inputs);
    return;
  }
  if (inputs.digest_age > kMaxFreshAge && inputs.digest_age <= kHoldTime) {
    return;
  }
  const bool is_alone = inputs.digest_age > kHoldTime;
  const FlowFractions planned = PlanFlows(inputs);
  for (auto& [domain, flow] : flows.out) {
    const bool has_reverse = flow.reverse_seen_at &&
                             now - *flow.reverse_seen_at < kDirectionChangeTime;
    if (flow.fraction > 0 && flow.reverse_seen_at == now &&
        MustYield(inputs, domain)) {
      flow.fraction = 0;
    }
    const auto plan = planned.find({inputs.home, domain});
    // An instance that does not know the others' demand starts no flow.
    const bool may_flow = is_known && (!is_alone || flow.fraction > 0) &&
                          !(has_reverse && flow.fraction == 0);
    const double wanted = may_flow && plan != planned.end() ? plan->second : 0;
    const auto peers = inputs.reported.find({inputs.home, domain});
    MoveFlow(flow, wanted,
             may_flow && !is_alone && peers != inputs.reported.end()
                 ? std::optional(peers->second)
                 : std::nullopt,
             elapsed_s);
  }
}

const FailureDomain* FlowTargetOf(const DomainFlows& flows, uint64_t id) {
  if (id == 0) {
    return nullptr;
  }
  uint64_t seed = id;
  double place = static_cast<double>(NextRandom(seed) >> 11) * 0x1p-53;
  for (const auto& [domain, flow] : flows.out) {
    if (place < flow.fraction) {
      return &domain;
    }
    place -= flow.fraction;
  }
  return nullptr;
}

bool AcceptsInflow(const DomainFlows& flows, const FailureDomain& domain) {
  const auto found = flows.out.find(domain);
  return found != flows.out.end() && found->second.accepts;
}

double CrossingPriceMs(double ms_per_mb, double bytes) {
  return kRoundTripMs + ms_per_mb * bytes / kBytesPerMb;
}

std::string_view ToString(CrossingReason reason) {
  switch (reason) {
    case CrossingReason::kNone:
      return "";
    case CrossingReason::kFlow:
      return "flow";
    case CrossingReason::kSharedParts:
      return "shared-parts";
    case CrossingReason::kNotInTime:
      return "not-in-time";
    case CrossingReason::kNoUpstream:
      return "no-upstream";
    case CrossingReason::kLowerCost:
      return "lower-cost";
  }
  return "";
}

double CrossingCostMs(const DomainCrossing& crossing,
                      const FailureDomain& domain,
                      const CrossingOffer& offer) {
  const double late_ms = offer.starts_in_time ? 0 : kKeepHomeCostMs;
  if (offer.is_home) {
    return late_ms;
  }
  const bool may_leave =
      offer.has_worthy_parts ||
      (crossing.target != nullptr && domain == *crossing.target);
  return late_ms + crossing.price_ms + (may_leave ? 0 : kKeepHomeCostMs);
}

CrossingReason ReasonOf(const DomainCrossing& crossing,
                        const FailureDomain& domain,
                        const CrossingOffer& offer,
                        bool has_home_upstream) {
  if (offer.is_home) {
    return CrossingReason::kNone;
  }
  if (!has_home_upstream) {
    return CrossingReason::kNoUpstream;
  }
  if (crossing.flows == nullptr) {
    return CrossingReason::kLowerCost;
  }
  if (crossing.target != nullptr && domain == *crossing.target) {
    return CrossingReason::kFlow;
  }
  return offer.has_worthy_parts ? CrossingReason::kSharedParts
                                : CrossingReason::kNotInTime;
}

bool IsCrossingCheaper(double price_ms, double prefill_ms) {
  return kUsesOfSharedPart * price_ms < kRedundantPrefillWeight * prefill_ms;
}

void RecordArrivals(DemandMeter& meter, double count, Time now) {
  const double elapsed_s = ToMillis(now - meter.updated_at) / 1000;
  meter.requests_per_s =
      meter.requests_per_s * std::exp(-elapsed_s / kDemandS) + count / kDemandS;
  meter.updated_at = now;
}

void MoveMean(double& mean, double value) {
  mean = mean == 0 ? value : mean + kMeanWeight * (value - mean);
}

void RecordServed(DemandMeter& meter, Duration slot_time, double bytes) {
  MoveMean(meter.mean_slot_ms, ToMillis(slot_time));
  MoveMean(meter.mean_bytes, bytes);
}

DemandRate DemandOf(const DemandMeter& meter, Time now) {
  const double elapsed_s = ToMillis(now - meter.updated_at) / 1000;
  const double rate = meter.requests_per_s * std::exp(-elapsed_s / kDemandS);
  if (rate < kMinRequestsPerS) {
    return {};
  }
  return {rate, rate * meter.mean_slot_ms / 1000, rate * meter.mean_bytes};
}

}  // namespace pomeloring
