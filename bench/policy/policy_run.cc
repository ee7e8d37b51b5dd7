#include "policy/policy_run.h"

#include <algorithm>
#include <deque>

namespace pomeloring::bench {
namespace {

constexpr size_t kInstances = 6;
// Time for instances to discover each other and read the configuration before
// the trace starts.
constexpr Duration kSettleTime = seconds(3);
// With a baseline policy, a caller of a class that is dropped when late
// disconnects after this many first-token targets without a first token.
constexpr int kAbandonAfterTargets = 2;

// The parts common to all policies: the engines, the injected faults and the
// results of the requests.
class Simulation {
 public:
  Simulation(const Workload& workload,
             const std::string& config_text,
             const Configuration& configuration,
             std::span<const TracedRequest> trace,
             uint64_t seed,
             size_t instances)
      : m_workload(workload),
        m_configuration(configuration),
        m_trace(trace),
        m_site(MakeOptions(config_text, seed, instances)),
        m_results(trace.size()) {
    for (const auto& [name, service] : configuration.services) {
      for (const Upstream& upstream : service.upstreams) {
        EngineSpeed speed = workload.speed;
        speed.max_running = upstream.slots;
        m_engines.emplace(
            upstream.name,
            EngineModel(m_site, speed, service.kind == ServiceKind::kPlain));
      }
    }
  }
  virtual ~Simulation() = default;

  Score Execute() {
    m_site.RunFor(kSettleTime);
    m_start = m_site.Now();
    for (const Fault& fault : m_workload.faults) {
      m_site.ScheduleAt(m_start + fault.at,
                        [this, &fault] { BeginFault(fault); });
      m_site.ScheduleAt(m_start + fault.at + fault.length,
                        [this, &fault] { EndFault(fault); });
    }
    for (size_t i = 0; i < m_trace.size(); ++i) {
      m_site.ScheduleAt(m_start + m_trace[i].at, [this, i] { Arrive(i); });
    }
    m_site.RunFor(m_workload.length + kDrainTime);
    Score score = ComputeScore(m_workload, m_trace, m_results);
    score.tier_violations = CountTierViolations();
    return score;
  }

 protected:
  virtual void Arrive(size_t request) = 0;
  virtual void BeginInstanceFault(const Fault&) {}
  virtual void EndInstanceFault(const Fault&) {}

  Duration SinceSent(size_t request) const {
    return m_site.Now() - (m_start + m_trace[request].at);
  }

  // Records the end of a request, unless it has ended already.
  void Finish(size_t request, ResultKind kind) {
    RequestResult& result = m_results[request];
    if (result.kind != ResultKind::kPending) {
      return;
    }
    result.kind = kind;
    result.total = SinceSent(request);
    if (kind == ResultKind::kDeclined) {
      RecordDecline(request);
    }
  }

  void RecordStart(size_t request) {
    m_results[request].started = SinceSent(request);
    const TracedRequest& traced = m_trace[request];
    m_starts.push_back(
        {m_site.Now(), traced.job.tier, traced.request_class->service});
  }

  EngineModel& Engine(const UpstreamName& name) { return m_engines.at(name); }

  const Workload& m_workload;
  const Configuration& m_configuration;
  const std::span<const TracedRequest> m_trace;
  test::VirtualSite m_site;
  Time m_start;
  std::map<UpstreamName, EngineModel> m_engines;
  std::vector<RequestResult> m_results;

 private:
  struct TierEvent {
    Time at;
    Tier tier;
    ServiceName service;
    Time latest_useful_start{};  // Of a declined request only.
  };

  static test::SiteOptions MakeOptions(const std::string& config_text,
                                       uint64_t seed,
                                       size_t instances) {
    test::SiteOptions options;
    options.instances = instances;
    options.seed = seed;
    options.config_text = config_text;
    options.timeline_capacity = 16;
    return options;
  }

  void BeginFault(const Fault& fault) {
    if (fault.kind == FaultKind::kStraggler) {
      Engine({fault.target}).SetSlowFactor(fault.factor);
    } else if (fault.kind == FaultKind::kEngineCrash) {
      Engine({fault.target}).Crash();
    } else {
      BeginInstanceFault(fault);
    }
  }

  void EndFault(const Fault& fault) {
    if (fault.kind == FaultKind::kStraggler) {
      Engine({fault.target}).SetSlowFactor(1);
    } else if (fault.kind == FaultKind::kEngineCrash) {
      Engine({fault.target}).Recover();
    } else {
      EndInstanceFault(fault);
    }
  }

  void RecordDecline(size_t request) {
    const TracedRequest& traced = m_trace[request];
    const RequestClass& request_class = *traced.request_class;
    if (request_class.first_token_target == Duration{0}) {
      return;
    }
    // A later start would have missed the target even on an idle engine.
    const Duration fastest =
        m_workload.speed.step +
        Duration{static_cast<int64_t>(
            m_workload.speed.prefill_us_per_token *
            (traced.job.prompt_tokens - traced.job.prefix_tokens))};
    m_declines.push_back(
        {m_site.Now(), traced.job.tier, request_class.service,
         m_start + traced.at + request_class.first_token_target - fastest});
  }

  // Counts declined requests after which a request of a lower tier was started
  // in the same service while the declined one could still have met its target.
  size_t CountTierViolations() const {
    size_t violations = 0;
    for (const TierEvent& decline : m_declines) {
      const auto first = std::upper_bound(
          m_starts.begin(), m_starts.end(), decline.at,
          [](Time at, const TierEvent& start) { return at < start.at; });
      for (auto it = first;
           it != m_starts.end() && it->at < decline.latest_useful_start; ++it) {
        if (it->tier > decline.tier && it->service == decline.service) {
          ++violations;
          break;
        }
      }
    }
    return violations;
  }

  std::vector<TierEvent> m_starts;
  std::vector<TierEvent> m_declines;
};

// Simulates the core's instances.
class PomeloringSimulation final : public Simulation {
 public:
  using Simulation::Simulation;

  void Connect() {
    m_site.on_start = [this](size_t host, const StartUpstreamAttempt& start) {
      Start(host, start);
    };
    m_site.on_cancel = [this](const CancelUpstreamAttempt& cancel) {
      const auto it = m_jobs.find(cancel.attempt);
      if (it != m_jobs.end()) {
        Engine(it->second.second).Cancel(it->second.first);
      }
    };
    m_site.on_answer = [this](size_t caller) { Answer(caller); };
  }

 private:
  void Arrive(size_t request) override {
    const TracedRequest& traced = m_trace[request];
    size_t host = m_next_host++ % kInstances;
    // Callers know several addresses, so they skip instances that are down.
    while (!m_site.hosts[host].is_up) {
      host = m_next_host++ % kInstances;
    }
    const std::string body =
        std::to_string(traced.job.prefix) + "|" + std::to_string(request);
    const size_t caller = m_site.Submit(host, traced.request_class->name.value,
                                        body, "", traced.account.value);
    m_request_of.resize(std::max(m_request_of.size(), caller + 1));
    m_request_of[caller] = request;
  }

  void Start(size_t host, const StartUpstreamAttempt& start) {
    const auto caller = m_site.CallerOf(start.attempt.request);
    const size_t request = m_request_of[*caller];
    if (start.attempt.number == 1) {
      RecordStart(request);
    }
    Job job = m_trace[request].job;
    job.output_tokens -= std::min(job.output_tokens - 1, start.resume_from);
    const uint64_t id = m_next_job++;
    m_jobs[start.attempt] = {id, start.upstream.name};
    JobEvents events;
    events.first_token = [this, host, request, attempt = start.attempt] {
      if (m_results[request].first_token == Duration{0}) {
        m_results[request].first_token = SinceSent(request);
      }
      m_site.ReportFirstToken(host, attempt);
    };
    events.done = [this, host, request, start](uint32_t tokens) {
      m_results[request].generated += tokens;
      m_results[request].tokens = start.resume_from + tokens;
      m_site.ReportAttemptEnded(host, start.attempt, start.resume_from + tokens,
                                AttemptAnswered{});
    };
    events.lost = [this, host, request, start](uint32_t tokens) {
      m_results[request].generated += tokens;
      m_site.ReportAttemptEnded(host, start.attempt, start.resume_from + tokens,
                                AttemptUnknown{});
    };
    if (!Engine(start.upstream.name).Start(id, job, std::move(events))) {
      m_site.ReportAttemptEnded(host, start.attempt, start.resume_from,
                                AttemptNotStarted{});
    }
  }

  void Answer(size_t caller) {
    const Outcome& outcome = *m_site.callers[caller].outcome;
    const size_t request = m_request_of[caller];
    if (std::holds_alternative<Answered>(outcome)) {
      Finish(request, ResultKind::kAnswered);
    } else if (std::holds_alternative<NotRun>(outcome)) {
      Finish(request, ResultKind::kDeclined);
    } else {
      Finish(request, ResultKind::kLost);
    }
  }

  void BeginInstanceFault(const Fault& fault) override {
    if (fault.kind == FaultKind::kPlatformOutage) {
      m_site.log.is_down = true;
      return;
    }
    const size_t host = std::stoul(fault.target) % kInstances;
    if (fault.kind == FaultKind::kInstancePause) {
      m_site.Pause(host);
    } else {
      m_site.Crash(host);
    }
  }

  void EndInstanceFault(const Fault& fault) override {
    if (fault.kind == FaultKind::kPlatformOutage) {
      m_site.log.is_down = false;
      return;
    }
    const size_t host = std::stoul(fault.target) % kInstances;
    if (fault.kind == FaultKind::kInstancePause) {
      m_site.Resume(host);
    } else {
      m_site.Restart(host);
    }
  }

  size_t m_next_host = 0;
  uint64_t m_next_job = 1;
  std::vector<size_t> m_request_of;  // By caller.
  std::map<AttemptId, std::pair<uint64_t, UpstreamName>> m_jobs;
};

// Simulates routers that know only the periodic load reports of the engines.
// Engines queue excess requests by tier; nothing is declined.
class BaselineSimulation final : public Simulation {
 public:
  BaselineSimulation(Policy policy,
                     const Workload& workload,
                     const std::string& config_text,
                     const Configuration& configuration,
                     std::span<const TracedRequest> trace,
                     uint64_t seed)
      : Simulation(workload, config_text, configuration, trace, seed, 0),
        m_policy(policy) {
    CollectLoadReports();
  }

 private:
  void CollectLoadReports() {
    constexpr Duration kReportInterval = milliseconds(500);
    for (auto& [name, engine] : m_engines) {
      if (m_site.Chance(m_workload.report_loss)) {
        continue;
      }
      m_site.ScheduleAt(m_site.Now() + m_workload.report_lag,
                        [this, name = name, load = engine.Load()] {
                          m_reported[name] = load;
                        });
    }
    m_site.ScheduleAt(m_site.Now() + kReportInterval,
                      [this] { CollectLoadReports(); });
  }

  const std::vector<Upstream>& UpstreamsOf(size_t request) const {
    return m_configuration.services.at(m_trace[request].request_class->service)
        .upstreams;
  }

  void Arrive(size_t request) override {
    ScheduleAbandonment(request);
    if (m_policy == Policy::kFifoShared) {
      const ServiceName& service = m_trace[request].request_class->service;
      m_fifo[service].push_back(request);
      DispatchQueued(service);
      return;
    }
    StartAt(request, ChooseUpstream(request));
  }

  const UpstreamName& ChooseUpstream(size_t request) {
    const auto& upstreams = UpstreamsOf(request);
    if (m_policy == Policy::kRoundRobin) {
      return upstreams[m_round_robin_index++ % upstreams.size()].name;
    }
    const size_t candidates =
        m_policy == Policy::kTwoChoices ? 2 : upstreams.size();
    const UpstreamName* best = nullptr;
    for (size_t i = 0; i < candidates; ++i) {
      const size_t at = m_policy == Policy::kTwoChoices
                            ? m_site.Random() % upstreams.size()
                            : i;
      const UpstreamName& name = upstreams[at].name;
      if (best == nullptr || m_reported[name] < m_reported[*best]) {
        best = &name;
      }
    }
    return *best;
  }

  // Starts requests of the service's FIFO queue on the least loaded upstreams,
  // as long as one has a free slot.
  void DispatchQueued(const ServiceName& service) {
    auto& queue = m_fifo[service];
    while (!queue.empty()) {
      const Upstream* free = nullptr;
      for (const Upstream& upstream : UpstreamsOf(queue.front())) {
        if (Engine(upstream.name).Load() < upstream.slots &&
            (free == nullptr ||
             Engine(upstream.name).Load() < Engine(free->name).Load())) {
          free = &upstream;
        }
      }
      if (free == nullptr) {
        return;
      }
      const size_t request = queue.front();
      queue.pop_front();
      if (m_results[request].kind == ResultKind::kPending) {
        StartAt(request, free->name);
      }
    }
  }

  void StartAt(size_t request, const UpstreamName& name) {
    RecordStart(request);
    m_started_at_upstream[request] = name;
    JobEvents events;
    events.first_token = [this, request] {
      m_results[request].first_token = SinceSent(request);
    };
    events.done = [this, request](uint32_t tokens) {
      m_results[request].generated += tokens;
      m_results[request].tokens = tokens;
      Finish(request, ResultKind::kAnswered);
      DispatchQueued(m_trace[request].request_class->service);
    };
    events.lost = [this, request](uint32_t tokens) {
      m_results[request].generated += tokens;
      Finish(request, ResultKind::kLost);
    };
    if (!Engine(name).Start(request, m_trace[request].job, events)) {
      Finish(request, ResultKind::kLost);
    }
  }

  void ScheduleAbandonment(size_t request) {
    const RequestClass& request_class = *m_trace[request].request_class;
    if (request_class.when_late != LatePolicy::kDrop ||
        request_class.first_token_target == Duration{0}) {
      return;
    }
    m_site.ScheduleAt(
        m_site.Now() + request_class.first_token_target * kAbandonAfterTargets,
        [this, request] { AbandonIfWaiting(request); });
  }

  void AbandonIfWaiting(size_t request) {
    RequestResult& result = m_results[request];
    if (result.kind != ResultKind::kPending ||
        result.first_token > Duration{0}) {
      return;
    }
    Finish(request, ResultKind::kAbandoned);
    const auto at = m_started_at_upstream.find(request);
    if (at != m_started_at_upstream.end()) {
      Engine(at->second).Cancel(request);
      DispatchQueued(m_trace[request].request_class->service);
    }
  }

  const Policy m_policy;
  size_t m_round_robin_index = 0;
  std::map<UpstreamName, size_t> m_reported;
  std::map<ServiceName, std::deque<size_t>> m_fifo;
  std::map<size_t, UpstreamName> m_started_at_upstream;
};

}  // namespace

std::optional<Policy> ParsePolicy(std::string_view name) {
  static const std::map<std::string_view, Policy> kPolicies = {
      {"pomeloring", Policy::kPomeloring},
      {"round-robin", Policy::kRoundRobin},
      {"least-reported-load", Policy::kLeastReportedLoad},
      {"two-choices", Policy::kTwoChoices},
      {"fifo-shared", Policy::kFifoShared}};
  const auto it = kPolicies.find(name);
  return it == kPolicies.end() ? std::nullopt : std::optional(it->second);
}

Score RunPolicy(Policy policy,
                const Workload& workload,
                const std::string& config_text,
                const Configuration& configuration,
                std::span<const TracedRequest> trace,
                uint64_t seed) {
  if (policy == Policy::kPomeloring) {
    PomeloringSimulation simulation(workload, config_text, configuration, trace,
                                    seed, kInstances);
    simulation.Connect();
    return simulation.Execute();
  }
  return BaselineSimulation(policy, workload, config_text, configuration, trace,
                            seed)
      .Execute();
}

}  // namespace pomeloring::bench
