// Defines SharedRetryBudget: how many repeats of requests one instance may send
// to a service, so that all instances together stay within a shared budget.

#ifndef POMELORING_ROUTING_RETRY_ALLOWANCE_H_
#define POMELORING_ROUTING_RETRY_ALLOWANCE_H_

#include <deque>

#include "core/ids.h"

namespace pomeloring {

struct RetryPolicy {
  double retries_per_request = 0.2;  // Repeats a request, over the window.
  double fixed_retries = 50;         // A window, over all instances.
  Duration window = seconds(10);
};

struct SharedRetryBudget {
  std::deque<Time> requests;
  std::deque<Time> retries;
};

void CountRequest(SharedRetryBudget& budget,
                  const RetryPolicy& policy,
                  Time now);

// Takes one repeat out of the allowance; false where none is left. `instances`
// share the fixed part.
bool TryConsumeRetry(SharedRetryBudget& budget,
                     const RetryPolicy& policy,
                     size_t instances,
                     Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_RETRY_ALLOWANCE_H_
