// An engine that holds more tokens than its memory crashes, and all that runs
// there is lost. A rule that is too strict refuses what an idle engine can run.

#include <doctest/doctest.h>

#include <initializer_list>

#include "memory/engine_memory.h"

namespace pomeloring {
namespace {

struct FitCase {
  uint64_t prompt = 0;
  uint64_t output = 0;
  uint64_t held = 0;
  TokenFit fit = TokenFit::kFits;
};

TEST_CASE("A request fits up to the margin, and alone up to the memory") {
  constexpr uint64_t kMemory = 1000;
  for (const FitCase& each : {
           FitCase{100, 50, 0, TokenFit::kFits},
           FitCase{100, 50, 800, TokenFit::kFits},
           FitCase{100, 50, 801, TokenFit::kTight},
           FitCase{100, 50, 850, TokenFit::kTight},
           FitCase{100, 50, 851, TokenFit::kExceeds},
           FitCase{1000, 50, 0, TokenFit::kFits},
       }) {
    CAPTURE(each.held);
    const TokenDemand demand{each.prompt, each.output};
    CHECK(FitOf(demand, each.held, kMemory) == each.fit);
    CHECK((MemoryExcess(demand, each.held, kMemory) == 0) ==
          (each.fit == TokenFit::kFits));
    CHECK_FALSE(IsTooLarge(demand, kMemory));
  }
  CHECK(IsTooLarge({1001, 0}, kMemory));
  CHECK(MemoryCrowding({100, 0}, 600, kMemory) == 0);
  CHECK(MemoryCrowding({100, 0}, 725, kMemory) == doctest::Approx(0.5));
  CHECK(MemoryCrowding({100, 0}, 2000, kMemory) == 1);
  CHECK(MemoryExcess({100, 0}, 950, kMemory) >
        MemoryExcess({100, 0}, 900, kMemory));
}

}  // namespace
}  // namespace pomeloring
