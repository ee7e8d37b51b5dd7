// Defines Workload: the requests that callers send over time and the faults
// that are injected, read from a JSON file (format: bench/workloads/README.md).

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

// From `at` on, the class sends this fraction of the load that its service can
// just carry.
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
  Duration warm_up{0};  // Earlier requests are not scored.
  Duration report_lag{milliseconds(500)};
  double report_loss = 0;
  EngineSpeed speed;
  std::vector<ClassWorkload> classes;
  std::vector<Fault> faults;
};

// Time after the end of a workload for unfinished requests.
inline constexpr Duration kDrainTime = seconds(30);

// Parses the JSON text of a workload, or returns its first error.
std::variant<Workload, ConfigurationError> ParseWorkload(std::string_view text);

// Returns an error if the workload refers to a class or account that the
// configuration does not define.
std::optional<ConfigurationError> CheckWorkload(
    const Workload& workload,
    const Configuration& configuration);

// One request of a trace.
struct TracedRequest {
  Duration at{0};
  const RequestClass* request_class = nullptr;
  double weight = 1;
  AccountName account;
  Job job;
  bool is_plain = false;
  bool is_scored = true;
};

// The highest rate of output tokens per second of one engine, over all batch
// sizes whose step time is within `target`. A zero target allows all sizes.
double TokenRate(const EngineSpeed& speed, Duration target);

// Generates the requests of a workload, ordered by time. The same seed gives
// the same trace.
std::vector<TracedRequest> MakeTrace(const Workload& workload,
                                     const Configuration& configuration,
                                     uint64_t seed);

}  // namespace pomeloring::bench

#endif  // POMELORING_BENCH_WORKLOAD_H_
