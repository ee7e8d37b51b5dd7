// Defines SharedRetryBudget, which limits the retries that one instance sends
// to a service, so that all instances together stay within one budget.

#ifndef POMELORING_ROUTING_SHARED_RETRY_BUDGET_H_
#define POMELORING_ROUTING_SHARED_RETRY_BUDGET_H_

#include <deque>

#include "core/ids.h"

namespace pomeloring {

struct RetryPolicy {
  double retries_per_request = 0.2;  // Within the window.
  double fixed_retries = 50;         // Per window, over all instances.
  Duration window = seconds(10);
};

// Times of the requests and retries within the window.
struct SharedRetryBudget {
  std::deque<Time> requests;
  std::deque<Time> retries;
};

void CountRequest(SharedRetryBudget& budget,
                  const RetryPolicy& policy,
                  Time now);

// Consumes one retry; returns false if the budget is exhausted. The fixed part
// of the budget is divided among `instances`.
bool TryConsumeRetry(SharedRetryBudget& budget,
                     const RetryPolicy& policy,
                     size_t instances,
                     Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_SHARED_RETRY_BUDGET_H_
