// Defines the steps of the promise fuzzer, and a run that applies them to a
// simulated site. After each event, the run checks the system's promises to
// callers and operators against a simple oracle.

#ifndef POMELORING_TEST_FUZZ_PROMISE_RUN_H_
#define POMELORING_TEST_FUZZ_PROMISE_RUN_H_

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pomeloring::test {

enum class StepKind {
  kSubmit,
  kWait,
  kCrash,
  kRestart,
  kPause,
  kResume,
  kCut,
  kHeal,
  kLossy,
  kUpstreamDown,
  kUpstreamUp,
  kLoseReply,
  kRefuse,
  kSlow,
  kLogDown,
  kLogUp,
  kLoseAppendReply,
  kPublish,
  kPublishStale,
  kMark,
  kUnmark,
  kStop,
  kCallerDisconnected,
  kExpireRecords,
  kResetEngine,
};
inline constexpr int kStepKinds = static_cast<int>(StepKind::kResetEngine) + 1;

// The meaning of `a` and `b` depends on the kind; any value is valid.
struct Step {
  StepKind kind = StepKind::kWait;
  uint32_t a = 0;
  uint32_t b = 0;
};

std::string Describe(const Step& step);

// A promise that was broken, with the index of the step at which the run found
// it so.
struct Violation {
  std::string promise;
  std::string detail;
  size_t step = 0;
};

// Runs the steps, repairs every fault, and checks that the system converges.
// Returns the first violation.
std::optional<Violation> RunSteps(uint64_t seed,
                                  const std::vector<Step>& steps);

// Returns `count` random steps, the same for the same seed.
std::vector<Step> MakeSteps(uint64_t seed, size_t count);

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_FUZZ_PROMISE_RUN_H_
