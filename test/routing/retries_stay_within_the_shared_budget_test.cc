// All instances together may retry a fraction of the requests plus a fixed
// number in each window. Each uses its part without asking the others.

#include <doctest/doctest.h>

#include "routing/shared_retry_budget.h"

namespace pomeloring {
namespace {

TEST_CASE(
    "Instances that all retry as often as they may stay within the budget") {
  const RetryPolicy policy{0.2, 50, seconds(10)};
  constexpr size_t kInstances = 6;
  std::vector<SharedRetryBudget> budgets(kInstances);
  std::deque<Time> requests;
  std::deque<Time> retries;
  for (int ms = 0; ms < 60000; ms += 20) {
    const Time now{milliseconds(ms)};
    SharedRetryBudget& budget =
        budgets[static_cast<size_t>(ms / 20) % kInstances];
    CountRequest(budget, policy, now);
    requests.push_back(now);
    for (int i = 0; i < 3; ++i) {
      if (TryConsumeRetry(budget, policy, kInstances, now)) {
        retries.push_back(now);
      }
    }
    while (!requests.empty() && requests.front() < now - policy.window) {
      requests.pop_front();
    }
    while (!retries.empty() && retries.front() < now - policy.window) {
      retries.pop_front();
    }
    CHECK(static_cast<double>(retries.size()) <=
          0.2 * static_cast<double>(requests.size()) + 50);
  }
  CHECK(!retries.empty());
}

TEST_CASE("Retries are allowed again after the window") {
  const RetryPolicy policy{0, 2, seconds(10)};
  SharedRetryBudget budget;
  CHECK(TryConsumeRetry(budget, policy, 1, Time{seconds(1)}));
  CHECK_FALSE(TryConsumeRetry(budget, policy, 1, Time{seconds(2)}));
  CHECK(TryConsumeRetry(budget, policy, 1, Time{seconds(12)}));
}

}  // namespace
}  // namespace pomeloring
