// Defines RetryBudget: allows retries as a fraction of successes, so that
// retries do not overload a failing service further.

#ifndef POMELORING_CORE_RETRY_BUDGET_H_
#define POMELORING_CORE_RETRY_BUDGET_H_

#include <algorithm>

namespace pomeloring {

struct RetryBudget {
  double tokens = 3;  // One per retry.
};

inline constexpr double kRetriesPerSuccess = 0.1;
inline constexpr double kMaxRetryTokens = 10;

// Adds to the budget after a success.
inline void EarnRetry(RetryBudget& budget) {
  budget.tokens = std::min(kMaxRetryTokens, budget.tokens + kRetriesPerSuccess);
}

// Takes one retry from the budget. Returns false if the budget is used up.
inline bool SpendRetry(RetryBudget& budget) {
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}

}  // namespace pomeloring

#endif  // POMELORING_CORE_RETRY_BUDGET_H_
