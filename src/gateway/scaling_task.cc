#include "gateway/scaling_task.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
namespace {

namespace asio = boost::asio;

constexpr char kTaskName[] = "autoscaler";
// A new holder first gets a digest of every instance.
constexpr Duration kSettleTime = seconds(1);
constexpr milliseconds kCallTimeout{500};
// The API's calls are shared with the other duties.
constexpr size_t kMaxOrdersPerSecond = 5;
constexpr size_t kMaxOrdersPerRun = 2;
// Of the instances heard in the last minute, those whose loads must be known.
constexpr double kMinHeardFraction = 0.6;
constexpr Duration kPeerMemory = seconds(60);

std::string OneDecimal(double value) {
  return fmt::format("{:.1f}", value);
}

OrderResult ResultOf(ApiCallEnd end) {
  switch (end) {
    case ApiCallEnd::kAccepted:
      return OrderResult::kAccepted;
    case ApiCallEnd::kUnavailable:
      return OrderResult::kUnavailable;
    case ApiCallEnd::kRejected:
    case ApiCallEnd::kNotSent:
      return OrderResult::kRejected;
    case ApiCallEnd::kUnanswered:
      break;
  }
  return OrderResult::kUnanswered;
}

std::string_view ToString(ApiCallEnd end) {
  switch (end) {
    case ApiCallEnd::kAccepted:
      return "accepted";
    case ApiCallEnd::kUnavailable:
      return "unavailable";
    case ApiCallEnd::kRejected:
      return "rejected";
    case ApiCallEnd::kUnanswered:
      return "unanswered";
    case ApiCallEnd::kNotSent:
      return "not-sent";
  }
  return "unknown";
}

}  // namespace

ScalingInputs GatherScalingInputs(const Router& router,
                                  const RoutedService& service,
                                  const ScalingLimits& limits,
                                  Time now) {
  ScalingInputs inputs;
  inputs.service = service.name;
  inputs.limits = limits;
  double slots = 0;
  uint32_t upstreams = 0;
  for (const UpstreamState* upstream : router.AllUpstreams()) {
    const UpstreamRecord& record = upstream->record;
    if (record.service != service.name || upstream->is_removed) {
      continue;
    }
    UpstreamCount& count =
        inputs.domains[record.failure_domain][static_cast<size_t>(
            record.is_reclaimable ? UpstreamKind::kReclaimable
                                  : UpstreamKind::kRegular)];
    const UpstreamLoad load = TotalLoad(*upstream);
    inputs.load.running += load.running;
    inputs.load.pending_prefill_tokens += PendingPrefillTokens(load);
    inputs.load.prefill_tokens_per_s +=
        load.prefill_load / (ToMillis(kPrefillLoadTimeConstant) / 1000);
    slots += record.slots;
    ++upstreams;
    if (record.draining || upstream->backpressure.is_leaving) {
      ++count.draining;
      count.reclaimed += record.leaves_in ? 1 : 0;
      continue;
    }
    count.running += load.running;
    const bool is_in_use =
        now >= upstream->held_until && now >= upstream->health.ejected_until;
    ++(is_in_use ? count.serving : count.starting);
  }
  inputs.speed.slots = service.engine
                           ? service.engine->batch_slots
                           : std::max(1.0, slots / std::max(1U, upstreams));
  if (const auto engine = router.Engines().find(service.name);
      engine != router.Engines().end()) {
    inputs.speed.mean_run_ms = engine->second.mean_attempt_ms;
    inputs.speed.prefill_ms_per_token =
        service.engine ? engine->second.prefill_ms_per_token : 0;
  }
  const ServiceBacklogs backlogs = router.TotalBacklogs(now);
  if (const auto backlog = backlogs.find(service.name);
      backlog != backlogs.end()) {
    inputs.load.waiting = backlog->second.waiting;
    inputs.load.refused = backlog->second.refused;
  }
  for (const auto& [name, peer] : router.Peers()) {
    const Duration age = now - peer.last_received;
    if (age < router.Settings().digest_timeout) {
      inputs.load_age = std::max(inputs.load_age, age);
    }
  }
  return inputs;
}

ScalingTask::ScalingTask(ScalingTaskContext context, ScalingPolicy policy)
    : m_context(std::move(context)), m_policy(policy) {}

DutyTask ScalingTask::Task() {
  DutyTask task;
  task.name = kTaskName;
  task.reset = [this](const DutyTakeOver&) { Reset(); };
  task.restore = [this](std::string_view snapshot) { Restore(snapshot); };
  task.replay = [this](std::string_view decision) { Replay(decision); };
  task.snapshot = [this] {
    return EncodeScalingSnapshot(m_states, m_context.now());
  };
  task.run = [this](DutySession& session) { return Run(session); };
  return task;
}

void ScalingTask::Reset() {
  m_states.clear();
  m_live_peers.clear();
  m_held_since = m_context.now();
}

void ScalingTask::Restore(std::string_view snapshot) {
  auto states = DecodeScalingSnapshot(snapshot, m_context.now());
  if (!states) {
    CountEvent(m_context.metrics, "scaling_records_unreadable");
    return;
  }
  m_states = std::move(*states);
}

// The call may have been sent or not, and its age is unknown: it counts as sent
// just now and without an answer. It is repeated as it is if its effect does
// not show.
void ScalingTask::Replay(std::string_view decision) {
  const auto order = DecodeScalingDecision(decision);
  if (!order) {
    CountEvent(m_context.metrics, "scaling_records_unreadable");
    return;
  }
  ScalingState& state = m_states[order->service];
  RecordOrder(state, order->order, m_context.now());
  RecordOrderResult(state, order->order, OrderResult::kUnanswered, m_policy,
                    m_context.now());
}

// After the loss of many instances, their load may still be at the upstreams
// while nobody reports it. A minute later the smaller fleet is the usual one.
bool ScalingTask::KnowsLoads(Time now) {
  const size_t live = m_context.router.LivePeerCount(now);
  m_live_peers.emplace_back(now, live);
  while (now - m_live_peers.front().first > kPeerMemory) {
    m_live_peers.pop_front();
  }
  size_t known = m_context.router.Peers().size();
  for (const auto& [at, count] : m_live_peers) {
    known = std::max(known, count);
  }
  return live > 0 && static_cast<double>(live) >=
                         kMinHeardFraction * static_cast<double>(known);
}

std::optional<ScalingLimits> ScalingTask::LimitsOf(
    const RoutedService& service) {
  const LimitsError error = CheckLimits(*service.scaling);
  LimitsError& last_error = m_limits_errors[service.name];
  if (error != last_error && error != LimitsError::kNone) {
    m_context.log.Write(LogLevel::kError, "scaling-limits-invalid",
                        {{"service", service.name.value},
                         {"error", std::string(pomeloring::ToString(error))}});
  }
  last_error = error;
  if (error == LimitsError::kNone) {
    m_valid_limits[service.name] = *service.scaling;
  }
  const auto valid = m_valid_limits.find(service.name);
  return valid == m_valid_limits.end() ? std::nullopt
                                       : std::optional(valid->second);
}

std::vector<ScalingTask::PlannedOrder> ScalingTask::Plan(Time now) {
  std::vector<PlannedOrder> planned;
  const auto config = m_context.router.Config();
  for (const auto& [name, service] : config->services) {
    if (!service.scaling) {
      m_states.erase(name);
      continue;
    }
    const auto limits = LimitsOf(service);
    if (!limits) {
      continue;
    }
    const ScalingInputs inputs =
        GatherScalingInputs(m_context.router, service, *limits, now);
    const ScalingPlan plan = PlanOrders(inputs, m_states[name], m_policy, now);
    SetGauges(inputs, plan);
    for (const ScalingOrder& order : plan.orders) {
      planned.push_back({inputs, plan.target, order});
    }
  }
  // The reasons are listed by their urgency.
  std::stable_sort(planned.begin(), planned.end(),
                   [](const PlannedOrder& a, const PlannedOrder& b) {
                     return a.order.reason < b.order.reason;
                   });
  return planned;
}

asio::awaitable<void> ScalingTask::Run(DutySession& session) {
  const Time now = m_context.now();
  if (!m_context.router.IsReady() || !KnowsLoads(now)) {
    CountEvent(m_context.metrics, "scaling_runs_without_loads");
    co_return;
  }
  // Loads are observed from the start, orders sent later.
  std::vector<PlannedOrder> planned = Plan(now);
  if (!m_held_since || now - *m_held_since < kSettleTime) {
    co_return;
  }
  while (!m_sent_at.empty() && now - m_sent_at.front() >= seconds(1)) {
    m_sent_at.pop_front();
  }
  const size_t count = std::min(
      {planned.size(), kMaxOrdersPerRun,
       kMaxOrdersPerSecond - std::min(kMaxOrdersPerSecond, m_sent_at.size())});
  for (size_t i = 0; i < count; ++i) {
    if (!co_await Send(session, planned[i])) {
      co_return;
    }
  }
}

asio::awaitable<bool> ScalingTask::Send(DutySession& session,
                                        const PlannedOrder& planned) {
  if (!session.MayAct(kCallTimeout)) {
    co_return false;
  }
  const ServiceName service = planned.inputs.service;
  std::string decision = EncodeScalingDecision({service, planned.order});
  const bool is_recorded =
      co_await session.Record(kTaskName, std::move(decision));
  if (!is_recorded) {
    CountEvent(m_context.metrics, "scaling_orders_unrecorded");
    co_return false;
  }
  m_sent_at.push_back(m_context.now());
  RecordOrder(m_states[service], planned.order, m_context.now());
  UpstreamOrder order;
  order.service = service;
  order.failure_domain = planned.order.subject.domain;
  order.desired = planned.order.desired;
  order.is_reclaimable =
      planned.order.subject.kind == UpstreamKind::kReclaimable;
  DutyIdentity identity = session.Identity(kCallTimeout);
  const ApiCallResult result = co_await session.Api().OrderUpstreams(
      std::move(identity), std::move(order));
  RecordOrderResult(m_states[service], planned.order, ResultOf(result.end),
                    m_policy, m_context.now());
  LogOrder(planned, result);
  ++m_context.metrics.scaling_orders[std::string(ToString(result.end))];
  co_return result.end != ApiCallEnd::kNotSent;
}

void ScalingTask::LogOrder(const PlannedOrder& planned,
                           const ApiCallResult& result) {
  const auto& [inputs, target, order] = planned;
  const bool is_normal = result.end == ApiCallEnd::kAccepted ||
                         result.end == ApiCallEnd::kUnavailable;
  m_context.log.Write(
      is_normal ? LogLevel::kInfo : LogLevel::kWarning, "upstreams-ordered",
      {{"service", inputs.service.value},
       {"domain", order.subject.domain.value},
       {"kind", std::string(pomeloring::ToString(order.subject.kind))},
       {"desired", std::to_string(order.desired)},
       {"before", std::to_string(order.before)},
       {"reason", std::string(pomeloring::ToString(order.reason))},
       {"result", std::string(ToString(result.end))},
       {"status", std::to_string(result.status)},
       {"running", std::to_string(inputs.load.running)},
       {"waiting", std::to_string(inputs.load.waiting)},
       {"refused", std::to_string(inputs.load.refused)},
       {"pending_tokens", std::to_string(inputs.load.pending_prefill_tokens)},
       {"prefill_tokens_per_s", OneDecimal(inputs.load.prefill_tokens_per_s)},
       {"ms_per_token",
        fmt::format("{:.4f}", inputs.speed.prefill_ms_per_token)},
       {"need", OneDecimal(target.demand.need)},
       {"need_slots", OneDecimal(target.demand.for_slots)},
       {"need_prefill", OneDecimal(target.demand.for_prefill)},
       {"projected", OneDecimal(target.projected)},
       {"typical", OneDecimal(target.typical)},
       {"covered", OneDecimal(target.covered)},
       {"target", std::to_string(target.total)},
       {"target_regular", std::to_string(target.regular)},
       {"load_age_ms", fmt::format("{:.0f}", ToMillis(inputs.load_age))}});
}

void ScalingTask::SetGauges(const ScalingInputs& inputs,
                            const ScalingPlan& plan) {
  const ScalingState& state = m_states[inputs.service];
  const std::string prefix =
      fmt::format("service=\"{}\"", inputs.service.value);
  m_context.metrics.gauges[fmt::format("scaling_target{{{}}}", prefix)] =
      plan.target.total;
  m_context.metrics.gauges[fmt::format("scaling_need{{{}}}", prefix)] =
      plan.target.demand.need;
  for (const auto& [subject, known] : state.subjects) {
    const auto domain = inputs.domains.find(subject.domain);
    const UpstreamCount count =
        domain == inputs.domains.end()
            ? UpstreamCount{}
            : domain->second[static_cast<size_t>(subject.kind)];
    const std::string labels =
        fmt::format("{},domain=\"{}\",kind=\"{}\"", prefix,
                    subject.domain.value, pomeloring::ToString(subject.kind));
    m_context.metrics.gauges[fmt::format("scaling_serving{{{}}}", labels)] =
        count.serving;
    m_context.metrics.gauges[fmt::format("scaling_desired{{{}}}", labels)] =
        known.outstanding ? known.outstanding->desired
                          : count.serving + count.starting;
  }
}

}  // namespace pomeloring
