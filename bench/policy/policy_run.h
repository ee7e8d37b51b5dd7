// Defines RunPolicy: simulates one policy on one trace with simulated engines.

#ifndef POMELORING_BENCH_POLICY_RUN_H_
#define POMELORING_BENCH_POLICY_RUN_H_

#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "policy/score.h"
#include "policy/workload.h"

namespace pomeloring::bench {

enum class Policy {
  kPomeloring,
  kRoundRobin,
  kLeastReportedLoad,
  kTwoChoices,
  kFifoShared,
};

std::optional<Policy> ParsePolicy(std::string_view name);

// Simulates `trace` in virtual time. `config_text` is the text from which
// `configuration` was parsed.
Score RunPolicy(Policy policy,
                const Workload& workload,
                const std::string& config_text,
                const Configuration& configuration,
                std::span<const TracedRequest> trace,
                uint64_t seed);

}  // namespace pomeloring::bench

#endif  // POMELORING_BENCH_POLICY_RUN_H_
