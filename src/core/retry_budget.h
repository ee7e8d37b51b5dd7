// Defines RetryBudget: retries as a share of successes, so that a failing
// service is not loaded further by its own retries.

#ifndef POMELORING_CORE_RETRY_BUDGET_H_
#define POMELORING_CORE_RETRY_BUDGET_H_

#include <algorithm>

namespace pomeloring {

struct RetryBudget {
  double tokens = 3;
};

inline constexpr double kRetriesPerSuccess = 0.1;
inline constexpr double kMaxRetryTokens = 10;

inline void EarnRetry(RetryBudget& budget) {
  budget.tokens = std::min(kMaxRetryTokens, budget.tokens + kRetriesPerSuccess);
}

// Returns false where the budget is used up.
inline bool SpendRetry(RetryBudget& budget) {
  if (budget.tokens < 1) {
    return false;
  }
  budget.tokens -= 1;
  return true;
}

}  // namespace pomeloring

#endif  // POMELORING_CORE_RETRY_BUDGET_H_
