#include "routing/shared_retry_budget.h"

#include <algorithm>

namespace pomeloring {
namespace {

// The rest is a safety margin: instances that join and leave divide the fixed
// part without knowing of each other, and their windows differ from the one in
// which the shared budget is counted.
constexpr double kUsableFraction = 0.7;

void RemoveBefore(std::deque<Time>& times, Time since) {
  while (!times.empty() && times.front() < since) {
    times.pop_front();
  }
}

}  // namespace

void CountRequest(SharedRetryBudget& budget,
                  const RetryPolicy& policy,
                  Time now) {
  budget.requests.push_back(now);
  RemoveBefore(budget.requests, now - policy.window);
}

bool TryConsumeRetry(SharedRetryBudget& budget,
                     const RetryPolicy& policy,
                     size_t instances,
                     Time now) {
  RemoveBefore(budget.requests, now - policy.window);
  RemoveBefore(budget.retries, now - policy.window);
  const double fixed = policy.fixed_retries /
                       static_cast<double>(std::max<size_t>(1, instances));
  const double allowed =
      kUsableFraction *
      (fixed + policy.retries_per_request *
                   static_cast<double>(budget.requests.size()));
  if (static_cast<double>(budget.retries.size()) + 1 > allowed) {
    return false;
  }
  budget.retries.push_back(now);
  return true;
}

}  // namespace pomeloring
