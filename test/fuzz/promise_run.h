// Defines the promise fuzzer's steps, and a run that checks the promises after
// each event against a simple oracle.

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

// What `a` and `b` choose depends on the kind; any value is good.
struct Step {
  StepKind kind = StepKind::kWait;
  uint32_t a = 0;
  uint32_t b = 0;
};

std::string Describe(const Step& step);

struct Violation {
  std::string promise;
  std::string detail;
  size_t step = 0;
};

// Runs the steps, heals every fault, and checks what must be so at rest.
std::optional<Violation> RunSteps(uint64_t seed,
                                  const std::vector<Step>& steps);

std::vector<Step> MakeSteps(uint64_t seed, size_t count);

}  // namespace pomeloring::test

#endif  // POMELORING_TEST_FUZZ_PROMISE_RUN_H_
