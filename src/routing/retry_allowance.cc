#include "routing/retry_allowance.h"

#include <algorithm>

namespace pomeloring {
namespace {

// Instances that come and go share the fixed part unknown to each other, and a
// window seen here is not the one that is counted: this part is left unused.
constexpr double kUsedShare = 0.7;

void DropOld(std::deque<Time>& times, Time since) {
  while (!times.empty() && times.front() < since) {
    times.pop_front();
  }
}

}  // namespace

void CountRequest(RetryAllowance& allowance,
                  const RetryPolicy& policy,
                  Time now) {
  allowance.requests.push_back(now);
  DropOld(allowance.requests, now - policy.window);
}

bool TakeRepeat(RetryAllowance& allowance,
                const RetryPolicy& policy,
                size_t instances,
                Time now) {
  DropOld(allowance.requests, now - policy.window);
  DropOld(allowance.repeats, now - policy.window);
  const double fixed = policy.fixed_repeats /
                       static_cast<double>(std::max<size_t>(1, instances));
  const double allowed =
      kUsedShare * (fixed + policy.share_of_requests *
                                static_cast<double>(allowance.requests.size()));
  if (static_cast<double>(allowance.repeats.size()) + 1 > allowed) {
    return false;
  }
  allowance.repeats.push_back(now);
  return true;
}

}  // namespace pomeloring
