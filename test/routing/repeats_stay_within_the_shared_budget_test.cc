// All instances together may repeat a share of the requests and a fixed number
// in each window. Each takes its part without asking the others.

#include <doctest/doctest.h>

#include "routing/retry_allowance.h"

namespace pomeloring {
namespace {

TEST_CASE("Instances that all repeat as much as they may keep the budget") {
  const RetryPolicy policy{0.2, 50, seconds(10)};
  constexpr size_t kInstances = 6;
  std::vector<RetryAllowance> allowances(kInstances);
  std::deque<Time> requests;
  std::deque<Time> repeats;
  for (int ms = 0; ms < 60000; ms += 20) {
    const Time now{milliseconds(ms)};
    RetryAllowance& allowance =
        allowances[static_cast<size_t>(ms / 20) % kInstances];
    CountRequest(allowance, policy, now);
    requests.push_back(now);
    for (int tries = 0; tries < 3; ++tries) {
      if (TakeRepeat(allowance, policy, kInstances, now)) {
        repeats.push_back(now);
      }
    }
    while (!requests.empty() && requests.front() < now - policy.window) {
      requests.pop_front();
    }
    while (!repeats.empty() && repeats.front() < now - policy.window) {
      repeats.pop_front();
    }
    CHECK(static_cast<double>(repeats.size()) <=
          0.2 * static_cast<double>(requests.size()) + 50);
  }
  CHECK(!repeats.empty());
}

TEST_CASE("What was repeated is allowed again after the window") {
  const RetryPolicy policy{0, 2, seconds(10)};
  RetryAllowance allowance;
  CHECK(TakeRepeat(allowance, policy, 1, Time{seconds(1)}));
  CHECK_FALSE(TakeRepeat(allowance, policy, 1, Time{seconds(2)}));
  CHECK(TakeRepeat(allowance, policy, 1, Time{seconds(12)}));
}

}  // namespace
}  // namespace pomeloring
