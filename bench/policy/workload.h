// Defines Workload: what callers ask for over time, and the faults meanwhile,
// read from a JSON file (its format: bench/workloads/README.md).

#ifndef POMELORING_BENCH_WORKLOAD_H_
#define POMELORING_BENCH_WORKLOAD_H_

#include <string>
#include <variant>
#include <vector>

#include "policy/engine_model.h"
#include "pomeloring/core.h"

namespace pomeloring::bench {

struct LogNormal {
  double median = 1;
  double sigma = 0;
  double max_value = 1e9;
};

// From `at` on, this share of its service's capacity is asked for.
struct LoadPoint {
  Duration at{0};
  double share = 0;
};

struct ClassWorkload {
  ClassName name;
  std::vector<LoadPoint> load;
  LogNormal output_tokens;
  LogNormal prompt_tokens;
  LogNormal plain_ms;
  uint32_t prefix_tokens = 0;
  uint32_t prefixes = 0;
  std::vector<AccountName> accounts;
  double weight = 1;  // In the weighted attainment.
};

enum class FaultKind {
  kStraggler,
  kEngineCrash,
  kInstanceCrash,
  kInstancePause,
  kPlatformOutage,
};

struct Fault {
  FaultKind kind = FaultKind::kStraggler;
  Duration at{0};
  Duration length{0};
  std::string target;  // An upstream's name, or an instance's number.
  double factor = 1;
};

struct Workload {
  std::string name;
  Duration length{0};
  Duration warm_up{0};  // Requests before it are not scored.
  Duration report_lag{milliseconds(500)};
  double report_loss = 0;
  EngineSpeed speed;
  std::vector<ClassWorkload> classes;
  std::vector<Fault> faults;
};

// What is still running at a workload's end may finish.
inline constexpr Duration kDrainTime = seconds(30);

std::variant<Workload, ConfigurationError> ParseWorkload(std::string_view text);

// Says what a workload names that the deployment lacks.
std::optional<ConfigurationError> CheckWorkload(
    const Workload& workload,
    const Configuration& configuration);

// One request of the trace that a workload and a seed give.
struct TracedRequest {
  Duration at{0};
  const RequestClass* request_class = nullptr;
  double weight = 1;
  AccountName account;
  Job job;
  bool is_plain = false;
  bool is_scored = true;
};

// Tokens a second that one engine gives at the largest batch whose step stays
// within `target`; with no target at its largest batch.
double TokenRate(const EngineSpeed& speed, Duration target);

std::vector<TracedRequest> MakeTrace(const Workload& workload,
                                     const Configuration& configuration,
                                     uint64_t seed);

}  // namespace pomeloring::bench

#endif  // POMELORING_BENCH_WORKLOAD_H_
