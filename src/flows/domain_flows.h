// Defines DomainFlows: which fraction of a service's requests leaves this
// instance's failure domain for each other one. Free functions over plain
// structs, without a clock. Reasons: docs/design/flows.md.

#ifndef POMELORING_FLOWS_DOMAIN_FLOWS_H_
#define POMELORING_FLOWS_DOMAIN_FLOWS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <utility>

#include "core/ids.h"

namespace pomeloring {

// The usable engines of one failure domain.
struct DomainSupply {
  double slots = 0;
  double in_use = 0;       // Slots, at most `slots`.
  double queued = 0;       // Requests that wait at the engines for a slot.
  double expected_ms = 0;  // To the first event, mean of the engines.
};

// Requests of the callers of one failure domain, wherever they run.
struct DemandRate {
  double requests_per_s = 0;
  double slots = 0;        // That they keep in use: rate x mean slot time.
  double bytes_per_s = 0;  // Of requests and answers.
  bool operator==(const DemandRate&) const = default;
};

using DemandKey = std::pair<ServiceName, FailureDomain>;
using DemandRates = std::map<DemandKey, DemandRate>;
using DomainPair = std::pair<FailureDomain, FailureDomain>;  // From, to.
using FlowFractions = std::map<DomainPair, double>;
using FlowReports = std::map<std::pair<ServiceName, DomainPair>, double>;

// What instances tell each other for the flows. Relays add up the demands and
// average the flows, in both cases without those of the receiver.
struct FlowDigest {
  FailureDomain failure_domain;  // Of the sender.
  DemandRates demands;
  // Of the instances of `from`; with more than one, their mean.
  FlowReports flows;
  bool operator==(const FlowDigest&) const = default;
};

void AddDemands(DemandRates& total, const DemandRates& demands);
// `demands` must be a part of `total`. Drops what is left of rounding.
void SubtractDemands(DemandRates& total, const DemandRates& demands);

// Reports of several instances or groups of them, each of which counts once.
struct FlowSum {
  double fractions = 0;
  int reports = 0;
};
using FlowSums = std::map<std::pair<ServiceName, DomainPair>, FlowSum>;

void AddFlows(FlowSums& total, const FlowReports& reports);
// `reports` must be a part of `total`.
void SubtractFlows(FlowSums& total, const FlowReports& reports);
FlowReports MeansOf(const FlowSums& total);

struct DomainLoad {
  DomainSupply supply;
  std::optional<DemandRate> demand;  // Nothing if no instance there reports.
};

struct FlowInputs {
  FailureDomain home;  // Of this instance.
  std::map<FailureDomain, DomainLoad> domains;
  FlowFractions reported;  // By other instances.
  double price_ms = 0;     // Of sending a request to another domain.
  Duration digest_age{0};  // Of the newest digest.
};

struct OutFlow {
  double fraction = 0;
  std::optional<Time> reverse_seen_at;  // Last report of the opposite flow.
  bool accepts = false;  // Whether the other domain may get more.
};

// Of one service.
struct DomainFlows {
  std::map<FailureDomain, OutFlow> out;  // By the domain that it leads to.
  // Whether anything is known of the demand of other domains. While not,
  // placement is that without flows.
  bool is_known = false;
  std::optional<Time> updated_at;
};

// The flows that fit supply and demand: the excess of domains that have too
// few slots, spread over the others in proportion to their room.
FlowFractions PlanFlows(const FlowInputs& inputs);

// Moves the flows towards the planned ones and those that instances of the same
// domain report, at bounded rates. To be called several times a second.
void UpdateFlows(DomainFlows& flows, const FlowInputs& inputs, Time now);

// Returns the domain that the request `id` may leave for; null if none, also
// for 0.
const FailureDomain* FlowTargetOf(const DomainFlows& flows, uint64_t id);

// Whether requests may be sent to `domain` for the prompt parts cached there.
bool AcceptsInflow(const DomainFlows& flows, const FailureDomain& domain);

// Price of sending a request and its answer, of `bytes` together, to another
// domain, in ms of waiting.
double CrossingPriceMs(double ms_per_mb, double bytes);

// Why a request was placed in another failure domain.
enum class CrossingReason {
  kNone,         // It was not.
  kFlow,         // The flow of its own domain allows it.
  kSharedParts,  // The other domain has cached parts of its prompt.
  kNotInTime,    // No engine of its own domain could start it in time.
  kNoUpstream,   // No upstream of its own domain was usable.
  kLowerCost,    // No flow is known; a constant stands for the crossing.
};

std::string_view ToString(CrossingReason reason);

// What the placement of one request needs of the flows.
struct DomainCrossing {
  bool is_controlled = false;  // Whether the setting is on.
  // Null where a constant stands for the crossing.
  const DomainFlows* flows = nullptr;
  const FailureDomain* target = nullptr;  // See FlowTargetOf().
  double price_ms = 0;                    // See CrossingPriceMs().
};

// An engine that a request could be placed at.
struct CrossingOffer {
  bool is_home = false;
  bool starts_in_time = true;
  // It has cached more of the prompt than any engine of the own domain, and the
  // parts are worth their bytes.
  bool has_worthy_parts = false;
};

// Cost of the crossing to an engine in `domain`, in ms of waiting.
double CrossingCostMs(const DomainCrossing& crossing,
                      const FailureDomain& domain,
                      const CrossingOffer& offer);

// Why a request leaves for `domain`.
CrossingReason ReasonOf(const DomainCrossing& crossing,
                        const FailureDomain& domain,
                        const CrossingOffer& offer,
                        bool has_home_upstream);

// Whether sending a request with its bytes, and later ones with the same parts,
// is cheaper than prefilling the parts in the own domain too.
bool IsCrossingCheaper(double price_ms, double prefill_ms);

// Demand that an instance measures.
struct DemandMeter {
  double requests_per_s = 0;  // Moving average.
  Time updated_at;
  double mean_slot_ms = 0;  // 0 before the first request has ended.
  double mean_bytes = 0;
};

void RecordArrivals(DemandMeter& meter, double count, Time now);
void RecordServed(DemandMeter& meter, Duration slot_time, double bytes);
DemandRate DemandOf(const DemandMeter& meter, Time now);

// Moves a mean of the last some 20 values; the first value sets it.
void MoveMean(double& mean, double value);

}  // namespace pomeloring

#endif  // POMELORING_FLOWS_DOMAIN_FLOWS_H_
