// Runs the promise fuzzer for many seeds and steps:
//   promise_fuzz [--seed S] [--runs N] [--steps N] [--first]
// Prints the seed and the last steps of each run that broke a promise. Exits
// with 1 if there was one. --first stops at the first one.

#include <fmt/format.h>
#include <getopt.h>

#include <cstdlib>

#include "fuzz/promise_run.h"

namespace {

constexpr option kOptions[] = {
    {"seed", required_argument, nullptr, 's'},
    {"runs", required_argument, nullptr, 'r'},
    {"steps", required_argument, nullptr, 'n'},
    {"first", no_argument, nullptr, 'f'},
    {nullptr, 0, nullptr, 0},
};

void PrintFailure(uint64_t seed,
                  const std::vector<pomeloring::test::Step>& steps,
                  const pomeloring::test::Violation& violation) {
  constexpr size_t kTrace = 12;
  fmt::print("seed {} broke '{}' at step {}: {}\n", seed, violation.promise,
             violation.step, violation.detail);
  const size_t end = std::min(violation.step + 1, steps.size());
  for (size_t i = end > kTrace ? end - kTrace : 0; i < end; ++i) {
    fmt::print("  {} {}\n", i, Describe(steps[i]));
  }
}

}  // namespace

int main(int argc, char** argv) {
  uint64_t seed = 1;
  uint64_t runs = 1;
  size_t count = 200;
  bool first_only = false;
  int choice = 0;
  while ((choice = getopt_long(argc, argv, "s:r:n:f", kOptions, nullptr)) !=
         -1) {
    const uint64_t number =
        optarg == nullptr ? 0 : std::strtoull(optarg, nullptr, 10);
    switch (choice) {
      case 's':
        seed = number;
        break;
      case 'r':
        runs = number;
        break;
      case 'f':
        first_only = true;
        break;
      case 'n':
        count = number;
        break;
      default:
        fmt::print(stderr,
                   "usage: promise_fuzz [--seed S] [--runs N] "
                   "[--steps N] [--first]\n");
        return 2;
    }
  }
  uint64_t failed = 0;
  for (uint64_t run = 0; run < runs && (failed == 0 || !first_only); ++run) {
    const auto steps = pomeloring::test::MakeSteps(seed + run, count);
    const auto violation = pomeloring::test::RunSteps(seed + run, steps);
    if (violation) {
      PrintFailure(seed + run, steps, *violation);
      ++failed;
    }
  }
  fmt::print("{} runs of {} steps from seed {}: {} broke a promise\n", runs,
             count, seed, failed);
  return failed == 0 ? 0 : 1;
}
