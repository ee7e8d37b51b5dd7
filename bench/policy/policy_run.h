// Defines RunPolicy: one policy against one trace on fakes of the engines.

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

Score RunPolicy(Policy policy,
                const Workload& workload,
                const std::string& config_text,
                const Configuration& configuration,
                std::span<const TracedRequest> trace,
                uint64_t seed);

}  // namespace pomeloring::bench

#endif  // POMELORING_BENCH_POLICY_RUN_H_
