#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "fuzz/promise_run.h"

namespace rc {

template <>
struct Arbitrary<pomeloring::test::Step> {
  static Gen<pomeloring::test::Step> arbitrary() {
    using pomeloring::test::Step;
    using pomeloring::test::StepKind;
    const auto kind = gen::weightedOneOf<StepKind>(
        {{2, gen::just(StepKind::kSubmit)},
         {1, gen::just(StepKind::kWait)},
         {1, gen::map(gen::inRange(0, pomeloring::test::kStepKinds),
                      [](int n) { return static_cast<StepKind>(n); })}});
    return gen::build<Step>(gen::set(&Step::kind, kind),
                            gen::set(&Step::a, gen::arbitrary<uint32_t>()),
                            gen::set(&Step::b, gen::arbitrary<uint32_t>()));
  }
};

void showValue(const pomeloring::test::Step& step, std::ostream& out) {
  out << Describe(step);
}

}  // namespace rc

namespace pomeloring::test {
namespace {

TEST_CASE("the promises hold after random steps") {
  CHECK(rc::check("the promises hold",
                  [](uint16_t seed, const std::vector<Step>& steps) {
                    const auto violation = RunSteps(seed, steps);
                    if (violation) {
                      RC_FAIL(violation->promise + ": " + violation->detail);
                    }
                  }));
}

TEST_CASE("the promises hold after the steps of fixed seeds") {
  for (uint64_t seed = 1; seed <= 24; ++seed) {
    CAPTURE(seed);
    const auto violation = RunSteps(seed, MakeSteps(seed, 120));
    CHECK_MESSAGE(!violation, (violation ? violation->detail : ""));
  }
}

}  // namespace
}  // namespace pomeloring::test
