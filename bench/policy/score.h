// Defines Score: attainment, goodput and wasted work of one run.

#ifndef POMELORING_BENCH_SCORE_H_
#define POMELORING_BENCH_SCORE_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "policy/workload.h"

namespace pomeloring::bench {

enum class ResultKind { kPending, kAnswered, kDeclined, kLost, kAbandoned };

// How one request of the trace went.
struct RequestResult {
  ResultKind kind = ResultKind::kPending;
  Duration first_token{0};  // Since it was sent; zero: none came.
  Duration total{0};
  uint32_t tokens = 0;     // Of the answer that was delivered.
  Duration started{0};     // Since it was sent.
  uint32_t generated = 0;  // Over all attempts.
};

struct ClassScore {
  size_t requests = 0;
  size_t attained = 0;
  size_t answered = 0;
  size_t declined = 0;
  uint64_t attained_tokens = 0;
  uint64_t generated_tokens = 0;
  uint64_t wasted_tokens = 0;
  Duration max_wait{0};
};

struct Score {
  std::map<ClassName, ClassScore> classes;
  double weighted_attainment = 0;
  double goodput = 0;        // Attained answers a second.
  double token_goodput = 0;  // Tokens of attained answers a second.
  double wasted_share = 0;   // Of all tokens generated.
  size_t tier_violations = 0;
};

bool MeetsTargets(const TracedRequest& request, const RequestResult& result);

Score ComputeScore(const Workload& workload,
                   std::span<const TracedRequest> trace,
                   std::span<const RequestResult> results);

// The most that the same engines could attain in tier order, with all lengths
// known: each tier's requests, the shortest first, get engine time before their
// deadlines as far as higher tiers leave any. Batching limits within a request
// are left out, so no policy can reach it quite.
Score ComputeUpperBound(const Workload& workload,
                        const Configuration& configuration,
                        std::span<const TracedRequest> trace);

}  // namespace pomeloring::bench

#endif  // POMELORING_BENCH_SCORE_H_
