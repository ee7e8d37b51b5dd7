#include "policy/score.h"

#include <algorithm>

namespace pomeloring::bench {
namespace {

constexpr Duration kBucket = milliseconds(50);

bool IsWithin(Duration seen, Duration target) {
  return target == Duration{0} || seen <= target;
}

Duration DeadlineOf(const TracedRequest& request) {
  const RequestClass& of_class = *request.of_class;
  if (of_class.answer_target > Duration{0}) {
    return of_class.answer_target;
  }
  return of_class.first_token_target +
         of_class.between_tokens_target *
             static_cast<int64_t>(request.job.output_tokens);
}

// Engine time of a service, in buckets, that is not yet given away.
class EngineTime {
 public:
  EngineTime(Duration length, double engines)
      : m_free(static_cast<size_t>(length / kBucket) + 1,
               engines * std::chrono::duration<double>(kBucket).count()) {}

  // Takes `work` seconds in [from, to], the latest first, or nothing.
  bool Take(Duration from, Duration to, double work) {
    const auto first = static_cast<size_t>(from / kBucket);
    const size_t last =
        std::min(static_cast<size_t>(to / kBucket), m_free.size() - 1);
    double available = 0;
    for (size_t i = first; i <= last && available < work; ++i) {
      available += m_free[i];
    }
    if (available < work) {
      return false;
    }
    // Work that may end after the horizon is taken as early as possible, so
    // that it does not crowd the last buckets.
    const bool is_open = static_cast<size_t>(to / kBucket) >= m_free.size();
    for (size_t i = first; i <= last && work > 0; ++i) {
      double& free = m_free[is_open ? i : last - (i - first)];
      const double taken = std::min(work, free);
      free -= taken;
      work -= taken;
    }
    return true;
  }

 private:
  std::vector<double> m_free;
};

Duration TightestStep(const Configuration& configuration,
                      const ServiceName& service) {
  Duration tightest{0};
  for (const auto& [name, of_class] : configuration.classes) {
    const Duration target = of_class.between_tokens_target;
    if (of_class.service == service && target > Duration{0} &&
        (tightest == Duration{0} || target < tightest)) {
      tightest = target;
    }
  }
  return tightest;
}

double WorkOf(const Workload& workload,
              const Configuration& configuration,
              const TracedRequest& request) {
  if (request.is_plain) {
    return std::chrono::duration<double>(request.job.plain_time).count();
  }
  const Service& service = configuration.services.at(request.of_class->service);
  EngineSpeed speed = workload.speed;
  speed.most_running = service.upstreams.front().slots;
  const double rate =
      TokenRate(speed, TightestStep(configuration, service.name));
  // As if every prefix were cached.
  const uint32_t prompt = request.job.prompt_tokens - request.job.prefix_tokens;
  return request.job.output_tokens / rate +
         speed.prefill_us_per_token * prompt / 1e6;
}

void Finish(const Workload& workload,
            Score& score,
            double weighted,
            double weights) {
  const double length =
      std::chrono::duration<double>(workload.length - workload.warm_up).count();
  uint64_t attained = 0;
  uint64_t tokens = 0;
  uint64_t generated = 0;
  uint64_t wasted = 0;
  for (const auto& [name, of_class] : score.classes) {
    attained += of_class.attained;
    tokens += of_class.attained_tokens;
    generated += of_class.generated_tokens;
    wasted += of_class.wasted_tokens;
  }
  score.weighted_attainment = weights == 0 ? 0 : weighted / weights;
  score.goodput = static_cast<double>(attained) / length;
  score.token_goodput = static_cast<double>(tokens) / length;
  score.wasted_share = generated == 0 ? 0
                                      : static_cast<double>(wasted) /
                                            static_cast<double>(generated);
}

// The weight of a class counts once, however many requests it has.
void Weigh(const Workload& workload, Score& score) {
  double weighted = 0;
  double weights = 0;
  for (const ClassWorkload& of_class : workload.classes) {
    const auto it = score.classes.find(of_class.name);
    if (it == score.classes.end() || it->second.requests == 0) {
      continue;
    }
    weighted += of_class.weight * static_cast<double>(it->second.attained) /
                static_cast<double>(it->second.requests);
    weights += of_class.weight;
  }
  Finish(workload, score, weighted, weights);
}

}  // namespace

bool Attains(const TracedRequest& request, const RequestEnd& end) {
  if (end.kind != EndKind::kAnswered) {
    return false;
  }
  const RequestClass& of_class = *request.of_class;
  const Duration gap = end.tokens > 1
                           ? (end.total - end.first_token) / (end.tokens - 1)
                           : Duration{0};
  return IsWithin(end.first_token, of_class.first_token_target) &&
         IsWithin(gap, of_class.between_tokens_target) &&
         IsWithin(end.total, of_class.answer_target);
}

Score MakeScore(const Workload& workload,
                std::span<const TracedRequest> trace,
                std::span<const RequestEnd> ends) {
  Score score;
  for (size_t i = 0; i < trace.size(); ++i) {
    if (!trace[i].is_scored) {
      continue;
    }
    const RequestEnd& end = ends[i];
    ClassScore& of_class = score.classes[trace[i].of_class->name];
    const bool answered = end.kind == EndKind::kAnswered;
    const bool attained = Attains(trace[i], end);
    ++of_class.requests;
    of_class.answered += answered ? 1 : 0;
    of_class.attained += attained ? 1 : 0;
    of_class.declined += end.kind == EndKind::kDeclined ? 1 : 0;
    of_class.attained_tokens += attained ? end.tokens : 0;
    of_class.generated_tokens += end.generated;
    of_class.wasted_tokens +=
        end.generated - (answered ? std::min(end.tokens, end.generated) : 0);
    of_class.longest_wait = std::max(of_class.longest_wait, end.started);
  }
  Weigh(workload, score);
  return score;
}

Score MakeBound(const Workload& workload,
                const Configuration& configuration,
                std::span<const TracedRequest> trace) {
  std::map<ServiceName, EngineTime> time;
  for (const auto& [name, service] : configuration.services) {
    double engines = 0;
    for (const Upstream& upstream : service.upstreams) {
      engines += service.kind == ServiceKind::kPlain ? upstream.slots : 1;
    }
    time.emplace(name, EngineTime(workload.length + kAfter, engines));
  }
  struct Entry {
    double work;
    size_t index;
  };
  std::map<Tier, std::vector<Entry>> by_tier;
  for (size_t i = 0; i < trace.size(); ++i) {
    by_tier[trace[i].job.tier].push_back(
        {WorkOf(workload, configuration, trace[i]), i});
  }
  Score score;
  for (auto& [tier, entries] : by_tier) {
    std::stable_sort(
        entries.begin(), entries.end(),
        [](const Entry& a, const Entry& b) { return a.work < b.work; });
    for (const Entry& entry : entries) {
      const TracedRequest& request = trace[entry.index];
      const bool attained =
          time.at(request.of_class->service)
              .Take(request.at, request.at + DeadlineOf(request), entry.work);
      if (!request.is_scored) {
        continue;
      }
      ClassScore& of_class = score.classes[request.of_class->name];
      ++of_class.requests;
      of_class.attained += attained ? 1 : 0;
      of_class.attained_tokens += attained ? request.job.output_tokens : 0;
      of_class.generated_tokens += attained ? request.job.output_tokens : 0;
    }
  }
  Weigh(workload, score);
  return score;
}

}  // namespace pomeloring::bench
