#include "policy/score.h"

#include <algorithm>

namespace pomeloring::bench {
namespace {

constexpr Duration kBucketLength = milliseconds(50);

bool IsWithin(Duration measured, Duration target) {
  return target == Duration{0} || measured <= target;
}

Duration DeadlineOf(const TracedRequest& request) {
  const RequestClass& request_class = *request.request_class;
  if (request_class.answer_target > Duration{0}) {
    return request_class.answer_target;
  }
  return request_class.first_token_target +
         request_class.between_tokens_target *
             static_cast<int64_t>(request.job.output_tokens);
}

// The unreserved engine time of a service, in seconds per bucket.
class EngineTimeBudget {
 public:
  EngineTimeBudget(Duration length, double engines)
      : m_free(static_cast<size_t>(length / kBucketLength) + 1,
               engines * std::chrono::duration<double>(kBucketLength).count()) {
  }

  // Reserves `work` seconds in [from, to], latest buckets first. Returns false,
  // without effect, if less than that is left.
  bool Reserve(Duration from, Duration to, double work) {
    const auto first = static_cast<size_t>(from / kBucketLength);
    const size_t last =
        std::min(static_cast<size_t>(to / kBucketLength), m_free.size() - 1);
    double available = 0;
    for (size_t i = first; i <= last && available < work; ++i) {
      available += m_free[i];
    }
    if (available < work) {
      return false;
    }
    // Work whose deadline lies after the horizon is placed as early as
    // possible, so that it does not fill up the last buckets.
    const bool ends_after_horizon =
        static_cast<size_t>(to / kBucketLength) >= m_free.size();
    for (size_t i = first; i <= last && work > 0; ++i) {
      double& free = m_free[ends_after_horizon ? i : last - (i - first)];
      const double taken = std::min(work, free);
      free -= taken;
      work -= taken;
    }
    return true;
  }

 private:
  std::vector<double> m_free;
};

Duration MinBetweenTokensTarget(const Configuration& configuration,
                                const ServiceName& service) {
  Duration min_target{0};
  for (const auto& [name, request_class] : configuration.classes) {
    const Duration target = request_class.between_tokens_target;
    if (request_class.service == service && target > Duration{0} &&
        (min_target == Duration{0} || target < min_target)) {
      min_target = target;
    }
  }
  return min_target;
}

double EngineSecondsFor(const Workload& workload,
                        const Configuration& configuration,
                        const TracedRequest& request) {
  if (request.is_plain) {
    return std::chrono::duration<double>(request.job.plain_time).count();
  }
  const Service& service =
      configuration.services.at(request.request_class->service);
  EngineSpeed speed = workload.speed;
  speed.max_running = service.upstreams.front().slots;
  const double rate =
      TokenRate(speed, MinBetweenTokensTarget(configuration, service.name));
  // As if every prefix were cached.
  const uint32_t prompt = request.job.prompt_tokens - request.job.prefix_tokens;
  return request.job.output_tokens / rate +
         speed.prefill_us_per_token * prompt / 1e6;
}

void ComputeTotals(const Workload& workload,
                   Score& score,
                   double weighted,
                   double weights) {
  const double length =
      std::chrono::duration<double>(workload.length - workload.warm_up).count();
  uint64_t attained = 0;
  uint64_t tokens = 0;
  uint64_t generated = 0;
  uint64_t wasted = 0;
  for (const auto& [name, class_score] : score.classes) {
    attained += class_score.attained;
    tokens += class_score.attained_tokens;
    generated += class_score.generated_tokens;
    wasted += class_score.wasted_tokens;
  }
  score.weighted_attainment = weights == 0 ? 0 : weighted / weights;
  score.goodput = static_cast<double>(attained) / length;
  score.token_goodput = static_cast<double>(tokens) / length;
  score.wasted_share = generated == 0 ? 0
                                      : static_cast<double>(wasted) /
                                            static_cast<double>(generated);
}

// Averages the attainment of the classes by weight: a class's weight does not
// depend on its number of requests.
void ComputeWeightedAttainment(const Workload& workload, Score& score) {
  double weighted = 0;
  double weights = 0;
  for (const ClassWorkload& class_workload : workload.classes) {
    const auto it = score.classes.find(class_workload.name);
    if (it == score.classes.end() || it->second.requests == 0) {
      continue;
    }
    weighted += class_workload.weight *
                static_cast<double>(it->second.attained) /
                static_cast<double>(it->second.requests);
    weights += class_workload.weight;
  }
  ComputeTotals(workload, score, weighted, weights);
}

}  // namespace

bool MeetsTargets(const TracedRequest& request, const RequestResult& result) {
  if (result.kind != ResultKind::kAnswered) {
    return false;
  }
  const RequestClass& request_class = *request.request_class;
  const Duration gap = result.tokens > 1 ? (result.total - result.first_token) /
                                               (result.tokens - 1)
                                         : Duration{0};
  return IsWithin(result.first_token, request_class.first_token_target) &&
         IsWithin(gap, request_class.between_tokens_target) &&
         IsWithin(result.total, request_class.answer_target);
}

Score ComputeScore(const Workload& workload,
                   std::span<const TracedRequest> trace,
                   std::span<const RequestResult> results) {
  Score score;
  for (size_t i = 0; i < trace.size(); ++i) {
    if (!trace[i].is_scored) {
      continue;
    }
    const RequestResult& result = results[i];
    ClassScore& class_score = score.classes[trace[i].request_class->name];
    const bool answered = result.kind == ResultKind::kAnswered;
    const bool attained = MeetsTargets(trace[i], result);
    ++class_score.requests;
    class_score.answered += answered ? 1 : 0;
    class_score.attained += attained ? 1 : 0;
    class_score.declined += result.kind == ResultKind::kDeclined ? 1 : 0;
    class_score.attained_tokens += attained ? result.tokens : 0;
    class_score.generated_tokens += result.generated;
    class_score.wasted_tokens +=
        result.generated -
        (answered ? std::min(result.tokens, result.generated) : 0);
    class_score.max_wait = std::max(class_score.max_wait, result.started);
  }
  ComputeWeightedAttainment(workload, score);
  return score;
}

Score ComputeUpperBound(const Workload& workload,
                        const Configuration& configuration,
                        std::span<const TracedRequest> trace) {
  std::map<ServiceName, EngineTimeBudget> time;
  for (const auto& [name, service] : configuration.services) {
    double engines = 0;
    for (const Upstream& upstream : service.upstreams) {
      engines += service.kind == ServiceKind::kPlain ? upstream.slots : 1;
    }
    time.emplace(name, EngineTimeBudget(workload.length + kDrainTime, engines));
  }
  struct Entry {
    double work;
    size_t index;
  };
  std::map<Tier, std::vector<Entry>> by_tier;
  for (size_t i = 0; i < trace.size(); ++i) {
    by_tier[trace[i].job.tier].push_back(
        {EngineSecondsFor(workload, configuration, trace[i]), i});
  }
  Score score;
  for (auto& [tier, entries] : by_tier) {
    std::stable_sort(
        entries.begin(), entries.end(),
        [](const Entry& a, const Entry& b) { return a.work < b.work; });
    for (const Entry& entry : entries) {
      const TracedRequest& request = trace[entry.index];
      const bool attained =
          time.at(request.request_class->service)
              .Reserve(request.at, request.at + DeadlineOf(request),
                       entry.work);
      if (!request.is_scored) {
        continue;
      }
      ClassScore& class_score = score.classes[request.request_class->name];
      ++class_score.requests;
      class_score.attained += attained ? 1 : 0;
      class_score.attained_tokens += attained ? request.job.output_tokens : 0;
      class_score.generated_tokens += attained ? request.job.output_tokens : 0;
    }
  }
  ComputeWeightedAttainment(workload, score);
  return score;
}

}  // namespace pomeloring::bench
