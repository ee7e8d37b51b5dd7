#include "fuzz/promise_run.h"

#include <fmt/format.h>

#include <algorithm>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

constexpr size_t kHosts = 4;
constexpr size_t kEngines = 3;
constexpr size_t kLedgers = 2;

std::string ConfigText(uint32_t slots) {
  return WithOrders(SmallConfig(kEngines, kLedgers, slots), kEngines,
                    fmt::format("adapter-{}", slots));
}

SiteOptions Options(uint64_t seed) {
  SiteOptions options;
  options.instances = kHosts;
  options.seed = seed;
  options.config_text = ConfigText(3);
  options.tick = milliseconds(20);
  return options;
}

// A model of the configuration stream: the revision in force after each offset.
// Independent of the code under test.
struct ConfigOracle {
  std::vector<uint64_t> revision_after{0};  // By offset.

  void Publish(uint64_t base) {
    const uint64_t offset = revision_after.size();
    const uint64_t before = revision_after.back();
    revision_after.push_back(base == before ? offset : before);
  }
  void AppendOther() { revision_after.push_back(revision_after.back()); }
};

class PromiseRun {
 public:
  explicit PromiseRun(uint64_t seed) : m_site(Options(seed)) {
    m_oracle.Publish(0);
    m_site.after_step = [this] { CheckAfterEvent(); };
    m_site.RunFor(seconds(3));
  }

  std::optional<Violation> Run(const std::vector<Step>& steps) {
    for (m_step = 0; m_step < steps.size() && !m_violation; ++m_step) {
      SyncOracle();
      ApplyStep(steps[m_step]);
    }
    if (!m_violation) {
      Heal();
      m_site.RunFor(seconds(90));
      CheckConverged();
    }
    return m_violation;
  }

 private:
  void Fail(std::string promise, std::string detail) {
    if (!m_violation) {
      m_violation = Violation{std::move(promise), std::move(detail), m_step};
    }
  }

  // Adds the records that instances appended themselves, which are snapshots.
  void SyncOracle() {
    const auto& records = m_site.log.records[LogStream::kConfiguration];
    while (m_oracle.revision_after.size() <= records.size()) {
      m_oracle.AppendOther();
    }
  }

  size_t ChooseHost(uint32_t choice) const { return choice % kHosts; }

  FakeUpstream& ChooseUpstream(uint32_t choice) {
    auto it = m_site.upstreams.begin();
    std::advance(it, choice % m_site.upstreams.size());
    return it->second;
  }

  void ApplyStep(const Step& step) {
    switch (step.kind) {
      case StepKind::kSubmit:
        return Submit(step);
      case StepKind::kWait:
        return m_site.RunFor(milliseconds(1 + step.a % 2000));
      case StepKind::kCrash:
        return m_site.Crash(ChooseHost(step.a));
      case StepKind::kRestart:
        m_last_as_of[ChooseHost(step.a)] = 0;
        return m_site.Restart(ChooseHost(step.a));
      case StepKind::kPause:
        return m_site.Pause(ChooseHost(step.a));
      case StepKind::kResume:
        return m_site.Resume(ChooseHost(step.a));
      case StepKind::kCut:
        return m_site.CutLink(ChooseHost(step.a), ChooseHost(step.b), true);
      case StepKind::kHeal:
        return HealLinks();
      case StepKind::kLossy:
        return MakeLossy(step);
      case StepKind::kUpstreamDown:
        ChooseUpstream(step.a).is_down = true;
        return;
      case StepKind::kUpstreamUp:
        ChooseUpstream(step.a).is_down = false;
        return;
      case StepKind::kLoseReply:
        ChooseUpstream(step.a).lose_replies += 1;
        return;
      case StepKind::kRefuse:
        ChooseUpstream(step.a).refuse += 1;
        return;
      case StepKind::kSlow:
        ChooseUpstream(step.a).slow_factor = 1 + step.b % 20;
        return;
      case StepKind::kLogDown:
        m_site.log.is_down = true;
        return;
      case StepKind::kLogUp:
        m_site.log.is_down = false;
        return;
      case StepKind::kLoseAppendReply:
        m_site.log.lose_replies += 1;
        return;
      case StepKind::kPublish:
        return Publish(m_oracle.revision_after.back(), step);
      case StepKind::kPublishStale:
        return Publish(step.b % (m_oracle.revision_after.back() + 1), step);
      case StepKind::kMark:
        return Mark(step, MarkState::kLeaving);
      case StepKind::kUnmark:
        return Mark(step, MarkState::kInService);
      case StepKind::kStop:
        if (m_site.hosts[ChooseHost(step.a)].is_up) {
          m_site.Stop(ChooseHost(step.a));
        }
        return;
      case StepKind::kCallerDisconnected:
        return CallerDisconnected(step);
      case StepKind::kResetEngine:
        return m_site.ResetEngine(ChooseUpstream(step.a).upstream.name.value);
      case StepKind::kExpireRecords:
        return ExpireRecords(step);
    }
  }

  void Submit(const Step& step) {
    static constexpr std::string_view kClasses[] = {"stamp", "question", "tag",
                                                    "history"};
    const std::string name(kClasses[step.b % 4]);
    const size_t host = ChooseHost(step.a);
    const uint32_t key_choice = (step.a / 16) % 3;
    const bool is_keyed = (name == "stamp" || name == "tag") && key_choice > 0;
    if (!is_keyed) {
      const std::string body = fmt::format("u{}", m_next_body++);
      m_site.Submit(host, name, body);
      return;
    }
    // Few distinct keys, so that many requests repeat one.
    const uint32_t number = (step.a / 64) % 6;
    const std::string name_of_key = fmt::format("{}{}", name, number);
    std::string key =
        key_choice == 1 ? "opaque-" + name_of_key : m_bound_keys[name_of_key];
    if (key.empty()) {
      if (!m_site.hosts[host].is_up) {
        return;
      }
      key = m_site.BoundKey(host, name_of_key);
      m_bound_keys[name_of_key] = key;
    }
    m_site.Submit(host, name, "k" + key, key);
  }

  void MakeLossy(const Step& step) {
    m_site.drop_rate = static_cast<double>(step.a % 30) / 100;
    m_site.duplicate_rate = static_cast<double>(step.b % 20) / 100;
    m_site.extra_delay = milliseconds((step.a / 32) % 120);
  }

  void Publish(uint64_t base, const Step& step) {
    SyncOracle();
    m_site.Publish(Revision{base}, ConfigText(2 + step.a % 4));
    m_oracle.Publish(base);
  }

  void Mark(const Step& step, MarkState state) {
    const FakeUpstream& upstream = ChooseUpstream(step.a);
    SyncOracle();
    m_site.Mark(upstream.upstream.name.value, state);
    m_oracle.AppendOther();
    const size_t offset = m_oracle.revision_after.size() - 1;
    if (state == MarkState::kLeaving) {
      m_marked[upstream.upstream.name].push_back({offset, SIZE_MAX});
      return;
    }
    for (auto& [from, to] : m_marked[upstream.upstream.name]) {
      to = std::min(to, offset);
    }
  }

  // Expires only records that the snapshot of a live instance covers. The
  // platform retains records for longer than instances take to append one.
  void ExpireRecords(const Step& step) {
    const Host& host = m_site.hosts[ChooseHost(step.a)];
    const auto in_force =
        host.is_up ? host.instance->ConfigurationInForce() : std::nullopt;
    if (!in_force || m_site.log.is_down) {
      return;
    }
    SyncOracle();
    m_site.log.records[LogStream::kConfiguration].push_back(
        EncodeConfigRecord(SnapshotRecord{in_force->as_of, in_force->revision,
                                          in_force->text, in_force->marks}));
    SyncOracle();
    m_site.DropRecordsBefore(LogStream::kConfiguration,
                             step.b % (in_force->as_of.value + 1) + 1);
  }

  void CallerDisconnected(const Step& step) {
    if (!m_site.callers.empty()) {
      m_site.CallerDisconnected(step.a % m_site.callers.size());
    }
  }

  void HealLinks() {
    for (size_t a = 0; a < kHosts; ++a) {
      for (size_t b = 0; b < kHosts; ++b) {
        m_site.CutLink(a, b, false);
      }
    }
    m_site.drop_rate = 0;
    m_site.duplicate_rate = 0;
    m_site.extra_delay = Duration{0};
  }

  void Heal() {
    HealLinks();
    m_site.log.is_down = false;
    for (auto& [name, upstream] : m_site.upstreams) {
      upstream.is_down = false;
      upstream.lose_replies = 0;
      upstream.refuse = 0;
      upstream.slow_factor = 1;
    }
    for (size_t host = 0; host < kHosts; ++host) {
      if (m_site.hosts[host].is_paused) {
        m_site.Resume(host);
      }
      if (!m_site.hosts[host].is_up) {
        m_last_as_of[host] = 0;
        m_site.Restart(host);
      }
    }
  }

  // --- Promises ------------------------------------------------------------

  void CheckAfterEvent() {
    if (m_violation) {
      return;
    }
    CheckStarts();
    CheckConfiguration();
    CheckOrders();
    if (m_site.callers.size() > 0) {
      // Each event affects few requests. With the newest and one other in
      // rotation, each of them is still checked many times.
      CheckCaller(m_site.callers[m_event_count++ % m_site.callers.size()]);
      CheckCaller(m_site.callers.back());
    }
  }

  void CheckStarts() {
    for (; m_checked_starts < m_site.starts.size(); ++m_checked_starts) {
      const VirtualSite::Start& start = m_site.starts[m_checked_starts];
      const CallerRecord* record = FindRecord(start.attempt.request);
      if (record == nullptr) {
        continue;
      }
      CheckAtMostOnce(*record);
      CheckNotLeaving(start, *record);
      if (start.resume_from != start.delivered) {
        Fail("answers are complete",
             fmt::format("{} resumed at {} after {}", record->body,
                         start.resume_from, start.delivered));
      }
    }
  }

  const CallerRecord* FindRecord(const RequestId& id) const {
    for (const CallerRecord& record : m_site.callers) {
      if (record.id == id) {
        return &record;
      }
    }
    return nullptr;
  }

  void CheckAtMostOnce(const CallerRecord& record) {
    const bool may_repeat = record.request_class.value == "question" ||
                            record.request_class.value == "history";
    int executions = 0;
    for (const auto& [name, upstream] : m_site.upstreams) {
      const auto it = upstream.executions.find(record.body);
      executions += it == upstream.executions.end() ? 0 : it->second;
    }
    if (!may_repeat && executions > 1) {
      Fail("at most once",
           fmt::format("{} ran {} times", record.body, executions));
    }
  }

  // An instance that has applied a mark starts nothing at the marked upstream.
  void CheckNotLeaving(const VirtualSite::Start& start,
                       const CallerRecord& record) {
    const auto& host = m_site.hosts[record.host];
    if (!host.is_up) {
      return;
    }
    const uint64_t as_of = host.instance->View()->config.as_of.value;
    for (const auto& [from, to] : m_marked[start.upstream]) {
      if (as_of >= from && as_of < to) {
        Fail("leaving upstreams get no new work",
             fmt::format("{} was started at {} at offset {}", record.body,
                         start.upstream.value, as_of));
      }
    }
  }

  void CheckConfiguration() {
    const size_t host = m_event_count % kHosts;
    if (!m_site.hosts[host].is_up) {
      return;
    }
    const auto view = m_site.hosts[host].instance->View();
    const uint64_t as_of = view->config.as_of.value;
    if (as_of < m_last_as_of[host]) {
      Fail("configuration never reverts",
           fmt::format("host {} went from offset {} to {}", host,
                       m_last_as_of[host], as_of));
    }
    m_last_as_of[host] = as_of;
    if (as_of < m_oracle.revision_after.size() &&
        view->config.revision.value != m_oracle.revision_after[as_of]) {
      Fail("the log's order decides",
           fmt::format("host {} has revision {} at offset {}, not {}", host,
                       view->config.revision.value, as_of,
                       m_oracle.revision_after[as_of]));
    }
  }

  // Orders with the same fencing number carry the same state, whatever their
  // sender.
  void CheckOrders() {
    for (const auto& [name, engine] : m_site.upstreams) {
      if (engine.has_conflicting_orders) {
        Fail("orders follow the log", name.value);
      }
    }
  }

  void CheckEnginesConverged() {
    const bool all_stopping =
        std::all_of(m_site.hosts.begin(), m_site.hosts.end(),
                    [](const Host& host) { return host.is_stopping; });
    if (all_stopping) {
      return;  // No instance is left to send orders.
    }

    const auto view = m_site.hosts[0].instance->View();
    const Service& service =
        view->config.configuration->services.at(ServiceName{"model"});
    for (const Upstream& upstream : service.upstreams) {
      const EngineState& state = m_site.upstreams[upstream.name].state;
      if (state.adapters != service.adapters) {
        Fail("engines reach their desired state", upstream.name.value);
      }
    }
  }

  void CheckCaller(const CallerRecord& record) {
    if (record.answers > 1) {
      Fail("one final answer",
           fmt::format("{} got {}", record.body, record.answers));
    }
    const bool not_run =
        record.outcome && std::holds_alternative<NotRun>(*record.outcome);
    if (not_run && record.executions > 0) {
      Fail("not run means not run",
           fmt::format("{} ran {} times", record.body, record.executions));
    }
    if (not_run &&
        std::get<NotRun>(*record.outcome).retry_after <= Duration{0}) {
      Fail("not run comes with retry after", record.body);
    }
  }

  void CheckConverged() {
    for (const CallerRecord& record : m_site.callers) {
      CheckCaller(record);
      if (!record.outcome && !record.host_lost) {
        Fail("every request is answered",
             fmt::format("{} at host {}", record.body, record.host));
      }
    }
    const uint64_t last = m_oracle.revision_after.back();
    for (size_t host = 0; host < kHosts; ++host) {
      const Instance& instance = *m_site.hosts[host].instance;
      if (instance.View()->config.revision.value != last) {
        Fail("the last revision is in force everywhere",
             fmt::format("host {} has {}, not {}", host,
                         instance.View()->config.revision.value, last));
      }
      if (instance.InFlight() > 0) {
        Fail("no request stays in flight",
             fmt::format("in flight at {}", host));
      }
      CheckCellsIdle(host);
    }
    CheckEnginesConverged();
  }

  void CheckCellsIdle(size_t host) {
    for (const CellSummary& cell :
         m_site.hosts[host].instance->Cells(m_site.Now())) {
      for (const ReplicaSummary& replica : cell.replicas) {
        if (replica.running > 0) {
          Fail("no slot is lost",
               fmt::format("{} of {} at host {}", replica.running,
                           replica.upstream.value, host));
        }
      }
      if (!cell.waiting.empty()) {
        Fail("no slot request is lost",
             fmt::format("{} at {}", cell.id.value, host));
      }
    }
  }

  VirtualSite m_site;
  ConfigOracle m_oracle;
  std::optional<Violation> m_violation;
  size_t m_step = 0;
  size_t m_event_count = 0;
  size_t m_checked_starts = 0;
  uint64_t m_next_body = 0;
  uint64_t m_last_as_of[kHosts] = {};
  std::map<std::string, std::string> m_bound_keys;
  // Ranges of offsets in which an upstream was marked as leaving.
  std::map<UpstreamName, std::vector<std::pair<size_t, size_t>>> m_marked;
};

}  // namespace

std::string Describe(const Step& step) {
  static constexpr std::string_view kNames[] = {
      "submit",       "wait",          "crash",         "restart",
      "pause",        "resume",        "cut",           "heal",
      "lossy",        "upstream-down", "upstream-up",   "lose-reply",
      "refuse",       "slow",          "log-down",      "log-up",
      "lose-append",  "publish",       "publish-stale", "mark",
      "unmark",       "stop",          "caller-gone",   "expire-records",
      "reset-engine",
  };
  static_assert(std::size(kNames) == kStepKinds);
  return fmt::format("{} {} {}", kNames[static_cast<size_t>(step.kind)], step.a,
                     step.b);
}

std::optional<Violation> RunSteps(uint64_t seed,
                                  const std::vector<Step>& steps) {
  return PromiseRun(seed).Run(steps);
}

std::vector<Step> MakeSteps(uint64_t seed, size_t count) {
  uint64_t random = seed * 2 + 1;
  std::vector<Step> steps;
  for (size_t i = 0; i < count; ++i) {
    Step step;
    // Half of the steps are requests, a quarter waits, a quarter of any kind.
    const uint64_t choice = NextRandom(random) % 4;
    step.kind = choice < 2 ? StepKind::kSubmit
                : choice == 2
                    ? StepKind::kWait
                    : static_cast<StepKind>(NextRandom(random) % kStepKinds);
    step.a = static_cast<uint32_t>(NextRandom(random));
    step.b = static_cast<uint32_t>(NextRandom(random));
    steps.push_back(step);
  }
  return steps;
}

}  // namespace pomeloring::test
