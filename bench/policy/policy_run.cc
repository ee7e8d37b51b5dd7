#include "policy/policy_run.h"

#include <algorithm>
#include <deque>

namespace pomeloring::bench {
namespace {

constexpr size_t kInstances = 6;
// Instances find each other and read the configuration before the trace.
constexpr Duration kSettle = seconds(3);
// A caller of a class that is dropped when late goes away after this many
// targets without a first token.
constexpr int kPatienceInTargets = 2;

// What all policies share: the engines, the faults and the record of ends.
class Run {
 public:
  Run(const Workload& workload,
      const std::string& config_text,
      const Configuration& configuration,
      std::span<const TracedRequest> trace,
      uint64_t seed,
      size_t instances)
      : m_workload(workload),
        m_configuration(configuration),
        m_trace(trace),
        m_site(MakeOptions(config_text, seed, instances)),
        m_ends(trace.size()) {
    for (const auto& [name, service] : configuration.services) {
      for (const Upstream& upstream : service.upstreams) {
        EngineSpeed speed = workload.speed;
        speed.most_running = upstream.slots;
        m_engines.emplace(
            upstream.name,
            EngineModel(m_site, speed, service.kind == ServiceKind::kPlain));
      }
    }
  }
  virtual ~Run() = default;

  Score Go() {
    m_site.RunFor(kSettle);
    m_begin = m_site.Now();
    for (const Fault& fault : m_workload.faults) {
      m_site.At(m_begin + fault.at, [this, &fault] { Begin(fault); });
      m_site.At(m_begin + fault.at + fault.length,
                [this, &fault] { End(fault); });
    }
    for (size_t i = 0; i < m_trace.size(); ++i) {
      m_site.At(m_begin + m_trace[i].at, [this, i] { Arrive(i); });
    }
    m_site.RunFor(m_workload.length + kAfter);
    Score score = MakeScore(m_workload, m_trace, m_ends);
    score.tier_violations = CountViolations();
    return score;
  }

 protected:
  virtual void Arrive(size_t request) = 0;
  virtual void BeginInstanceFault(const Fault&) {}
  virtual void EndInstanceFault(const Fault&) {}

  Duration SinceSent(size_t request) const {
    return m_site.Now() - (m_begin + m_trace[request].at);
  }

  // Ends a request, unless it has ended.
  void Finish(size_t request, EndKind kind) {
    RequestEnd& end = m_ends[request];
    if (end.kind != EndKind::kPending) {
      return;
    }
    end.kind = kind;
    end.total = SinceSent(request);
    if (kind == EndKind::kDeclined) {
      NoteDecline(request);
    }
  }

  void NoteStart(size_t request) {
    m_ends[request].started = SinceSent(request);
    const TracedRequest& traced = m_trace[request];
    m_starts.push_back(
        {m_site.Now(), traced.job.tier, traced.of_class->service});
  }

  EngineModel& Engine(const UpstreamName& name) { return m_engines.at(name); }

  const Workload& m_workload;
  const Configuration& m_configuration;
  const std::span<const TracedRequest> m_trace;
  test::VirtualSite m_site;
  Time m_begin;
  std::map<UpstreamName, EngineModel> m_engines;
  std::vector<RequestEnd> m_ends;

 private:
  struct TierEvent {
    Time at;
    Tier tier;
    ServiceName service;
    Time until{};  // Of a decline: the latest useful start.
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

  void Begin(const Fault& fault) {
    if (fault.kind == FaultKind::kStraggler) {
      Engine({fault.target}).SetSlow(fault.factor);
    } else if (fault.kind == FaultKind::kEngineCrash) {
      Engine({fault.target}).Crash();
    } else {
      BeginInstanceFault(fault);
    }
  }

  void End(const Fault& fault) {
    if (fault.kind == FaultKind::kStraggler) {
      Engine({fault.target}).SetSlow(1);
    } else if (fault.kind == FaultKind::kEngineCrash) {
      Engine({fault.target}).Recover();
    } else {
      EndInstanceFault(fault);
    }
  }

  void NoteDecline(size_t request) {
    const TracedRequest& traced = m_trace[request];
    const RequestClass& of_class = *traced.of_class;
    if (of_class.first_token_target == Duration{0}) {
      return;
    }
    // A start later than this could not have met the target even on an idle
    // engine.
    const Duration fastest =
        m_workload.speed.step +
        Duration{static_cast<int64_t>(
            m_workload.speed.prefill_us_per_token *
            (traced.job.prompt_tokens - traced.job.prefix_tokens))};
    m_declines.push_back(
        {m_site.Now(), traced.job.tier, of_class.service,
         m_begin + traced.at + of_class.first_token_target - fastest});
  }

  // Declines of a tier after which a lower tier was started in the same
  // service while a start was still of use.
  size_t CountViolations() const {
    size_t violations = 0;
    for (const TierEvent& decline : m_declines) {
      const auto first = std::upper_bound(
          m_starts.begin(), m_starts.end(), decline.at,
          [](Time at, const TierEvent& start) { return at < start.at; });
      for (auto it = first; it != m_starts.end() && it->at < decline.until;
           ++it) {
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

// The core's instances decide.
class PomeloringRun final : public Run {
 public:
  using Run::Run;

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
    // Callers know of more than one address.
    while (!m_site.hosts[host].is_up) {
      host = m_next_host++ % kInstances;
    }
    const std::string body =
        std::to_string(traced.job.prefix) + "|" + std::to_string(request);
    const size_t caller = m_site.Submit(host, traced.of_class->name.value, body,
                                        "", traced.account.value);
    m_request_of.resize(std::max(m_request_of.size(), caller + 1));
    m_request_of[caller] = request;
  }

  void Start(size_t host, const StartUpstreamAttempt& start) {
    const auto caller = m_site.CallerOf(start.attempt.request);
    const size_t request = m_request_of[*caller];
    if (start.attempt.number == 1) {
      NoteStart(request);
    }
    Job job = m_trace[request].job;
    job.output_tokens -= std::min(job.output_tokens - 1, start.resume_from);
    const uint64_t id = m_next_job++;
    m_jobs[start.attempt] = {id, start.upstream.name};
    JobEvents events;
    events.first_token = [this, host, request, attempt = start.attempt] {
      if (m_ends[request].first_token == Duration{0}) {
        m_ends[request].first_token = SinceSent(request);
      }
      m_site.TellFirstToken(host, attempt);
    };
    events.done = [this, host, request, start](uint32_t tokens) {
      m_ends[request].generated += tokens;
      m_ends[request].tokens = start.resume_from + tokens;
      m_site.TellEnded(host, start.attempt, start.resume_from + tokens,
                       AttemptAnswered{});
    };
    events.lost = [this, host, request, start](uint32_t tokens) {
      m_ends[request].generated += tokens;
      m_site.TellEnded(host, start.attempt, start.resume_from + tokens,
                       AttemptUnknown{});
    };
    if (!Engine(start.upstream.name).Start(id, job, std::move(events))) {
      m_site.TellEnded(host, start.attempt, start.resume_from,
                       AttemptNotStarted{});
    }
  }

  void Answer(size_t caller) {
    const Outcome& outcome = *m_site.callers[caller].outcome;
    const size_t request = m_request_of[caller];
    if (std::holds_alternative<Answered>(outcome)) {
      Finish(request, EndKind::kAnswered);
    } else if (std::holds_alternative<NotRun>(outcome)) {
      Finish(request, EndKind::kDeclined);
    } else {
      Finish(request, EndKind::kLost);
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

// Routers that know what load reports say and no more. The engines queue what
// they can't run yet, by priority; nothing is declined.
class BaselineRun final : public Run {
 public:
  BaselineRun(Policy policy,
              const Workload& workload,
              const std::string& config_text,
              const Configuration& configuration,
              std::span<const TracedRequest> trace,
              uint64_t seed)
      : Run(workload, config_text, configuration, trace, seed, 0),
        m_policy(policy) {
    TakeReports();
  }

 private:
  void TakeReports() {
    constexpr Duration kReportInterval = milliseconds(500);
    for (auto& [name, engine] : m_engines) {
      if (m_site.Chance(m_workload.report_loss)) {
        continue;
      }
      m_site.At(m_site.Now() + m_workload.report_lag,
                [this, name = name, load = engine.Load()] {
                  m_reported[name] = load;
                });
    }
    m_site.At(m_site.Now() + kReportInterval, [this] { TakeReports(); });
  }

  const std::vector<Upstream>& UpstreamsOf(size_t request) const {
    return m_configuration.services.at(m_trace[request].of_class->service)
        .upstreams;
  }

  void Arrive(size_t request) override {
    WatchPatience(request);
    if (m_policy == Policy::kFifoShared) {
      const ServiceName& service = m_trace[request].of_class->service;
      m_fifo[service].push_back(request);
      Drain(service);
      return;
    }
    StartAt(request, Choose(request));
  }

  const UpstreamName& Choose(size_t request) {
    const auto& upstreams = UpstreamsOf(request);
    if (m_policy == Policy::kRoundRobin) {
      return upstreams[m_turn++ % upstreams.size()].name;
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

  // One queue a service, first come first served, into fixed slots.
  void Drain(const ServiceName& service) {
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
      if (m_ends[request].kind == EndKind::kPending) {
        StartAt(request, free->name);
      }
    }
  }

  void StartAt(size_t request, const UpstreamName& name) {
    NoteStart(request);
    m_at[request] = name;
    JobEvents events;
    events.first_token = [this, request] {
      m_ends[request].first_token = SinceSent(request);
    };
    events.done = [this, request](uint32_t tokens) {
      m_ends[request].generated += tokens;
      m_ends[request].tokens = tokens;
      Finish(request, EndKind::kAnswered);
      Drain(m_trace[request].of_class->service);
    };
    events.lost = [this, request](uint32_t tokens) {
      m_ends[request].generated += tokens;
      Finish(request, EndKind::kLost);
    };
    if (!Engine(name).Start(request, m_trace[request].job, events)) {
      Finish(request, EndKind::kLost);
    }
  }

  void WatchPatience(size_t request) {
    const RequestClass& of_class = *m_trace[request].of_class;
    if (of_class.when_late != LatePolicy::kDrop ||
        of_class.first_token_target == Duration{0}) {
      return;
    }
    m_site.At(m_site.Now() + of_class.first_token_target * kPatienceInTargets,
              [this, request] { LosePatience(request); });
  }

  void LosePatience(size_t request) {
    RequestEnd& end = m_ends[request];
    if (end.kind != EndKind::kPending || end.first_token > Duration{0}) {
      return;
    }
    Finish(request, EndKind::kAbandoned);
    const auto at = m_at.find(request);
    if (at != m_at.end()) {
      Engine(at->second).Cancel(request);
      Drain(m_trace[request].of_class->service);
    }
  }

  const Policy m_policy;
  size_t m_turn = 0;
  std::map<UpstreamName, size_t> m_reported;
  std::map<ServiceName, std::deque<size_t>> m_fifo;
  std::map<size_t, UpstreamName> m_at;
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
    PomeloringRun run(workload, config_text, configuration, trace, seed,
                      kInstances);
    run.Connect();
    return run.Go();
  }
  return BaselineRun(policy, workload, config_text, configuration, trace, seed)
      .Go();
}

}  // namespace pomeloring::bench
