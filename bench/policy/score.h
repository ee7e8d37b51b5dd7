// Defines Score: target attainment, goodput and wasted work of one simulation.

#ifndef POMELORING_BENCH_SCORE_H_
#define POMELORING_BENCH_SCORE_H_

#include <map>
#include <span>
#include <string>
#include <vector>

#include "policy/workload.h"

namespace pomeloring::bench {

enum class ResultKind { kPending, kAnswered, kDeclined, kLost, kAbandoned };

// The result of one request of the trace.
struct RequestResult {
  ResultKind kind = ResultKind::kPending;
  Duration first_token{0};  // Since it was sent; zero: no token.
  Duration total{0};
  uint32_t tokens = 0;     // In the reply that was delivered.
  Duration started{0};     // First start at an upstream, since it was sent.
  uint32_t generated = 0;  // Tokens over all attempts.
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
  double goodput = 0;        // Requests within their targets, per second.
  double token_goodput = 0;  // Tokens of those requests, per second.
  double wasted_share = 0;   // Fraction of the generated tokens.
  // Declined requests after which a lower tier was started in the same service
  // while they could still have met their target.
  size_t tier_violations = 0;
};

// Whether the request was answered within all latency targets of its class.
bool MeetsTargets(const TracedRequest& request, const RequestResult& result);

Score ComputeScore(const Workload& workload,
                   std::span<const TracedRequest> trace,
                   std::span<const RequestResult> results);

// Returns an upper bound on what the same engines could attain in tier order if
// all lengths were known. Tier by tier, shortest requests first, each request
// reserves engine time before its deadline out of what higher tiers have left.
// Per-request limits of batching are ignored, so no policy fully reaches it.
Score ComputeUpperBound(const Workload& workload,
                        const Configuration& configuration,
                        std::span<const TracedRequest> trace);

}  // namespace pomeloring::bench

#endif  // POMELORING_BENCH_SCORE_H_
