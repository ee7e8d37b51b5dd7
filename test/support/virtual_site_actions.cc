#include <fmt/format.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

constexpr Duration kLogDelay = milliseconds(2);
constexpr Duration kLogRetry = milliseconds(500);
constexpr Duration kOrderDeadline = seconds(2);

}  // namespace

void VirtualSite::PerformAll(size_t host, Actions actions) {
  for (const Action& action : actions) {
    std::visit([&](const auto& typed) { Perform(host, typed); }, action);
  }
}

Duration VirtualSite::Delay() {
  const auto extra = static_cast<uint64_t>(extra_delay.count());
  return m_options.link_delay +
         Duration{static_cast<int64_t>(extra == 0 ? 0 : Random() % extra)};
}

void VirtualSite::Transmit(size_t from,
                           size_t to,
                           std::function<void()> deliver) {
  if (m_cut_links.contains({from, to})) {
    return;
  }
  const int copies = Chance(drop_rate) ? 0 : Chance(duplicate_rate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    ScheduleOnHost(to, m_now + Delay(), deliver);
  }
}

std::optional<size_t> VirtualSite::HostAt(const std::string& address) const {
  for (size_t i = 0; i < hosts.size(); ++i) {
    const std::string ip = fmt::format("10.0.0.{}:", i + 1);
    if (address.starts_with(ip)) {
      return i;
    }
  }
  return std::nullopt;
}

void VirtualSite::Perform(size_t host, const SendSlotMessage& action) {
  const auto to = HostAt(action.link_address);
  if (!to) {
    return;
  }
  const HybridTime event_time = hosts[host].instance->EventTimeline().Last();
  Transmit(host, *to, [this, host, to, action, event_time] {
    PerformAll(*to, hosts[*to].instance->HandleSlotMessage(
                        hosts[host].name, action.message, event_time, m_now));
  });
}

void VirtualSite::Perform(size_t host, const SendDatagram& action) {
  const auto to = HostAt(action.address);
  if (!to) {
    return;
  }
  const std::string from = hosts[host].instance->Settings().self.probe_address;
  Transmit(host, *to, [this, from, to, action] {
    PerformAll(
        *to, hosts[*to].instance->HandleDatagram(from, action.message, m_now));
  });
}

std::optional<size_t> VirtualSite::CallerOf(const RequestId& id) const {
  const auto it = m_record_index.find(id);
  return it == m_record_index.end() ? std::nullopt : std::optional(it->second);
}

void VirtualSite::ReportFirstToken(size_t host, const AttemptId& attempt) {
  ScheduleOnHost(host, m_now, [this, host, attempt] {
    PerformAll(host, hosts[host].instance->HandleFirstToken(attempt, m_now));
  });
}

void VirtualSite::ReportAttemptEnded(size_t host,
                                     const AttemptId& attempt,
                                     uint32_t tokens,
                                     const AttemptOutcome& outcome) {
  ScheduleOnHost(host, m_now, [this, host, attempt, tokens, outcome] {
    PerformAll(host, hosts[host].instance->HandleAttemptEnded(attempt, outcome,
                                                              tokens, m_now));
  });
}

CallerRecord* VirtualSite::FindRecord(const RequestId& id) {
  const auto it = m_record_index.find(id);
  return it == m_record_index.end() ? nullptr : &callers[it->second];
}

void VirtualSite::ReportFakeAttemptEnd(size_t host,
                                       const StartUpstreamAttempt& start,
                                       uint32_t tokens,
                                       AttemptOutcome outcome) {
  m_delivered_tokens[start.attempt.request] = tokens;
  PerformAll(host, hosts[host].instance->HandleAttemptEnded(
                       start.attempt, outcome, tokens, m_now));
}

void VirtualSite::Perform(size_t host, const StartUpstreamAttempt& start) {
  starts.push_back({start.attempt, start.upstream.name, m_now,
                    start.resume_from,
                    m_delivered_tokens[start.attempt.request]});
  if (on_start) {
    on_start(host, start);
    return;
  }
  FakeUpstream& upstream = upstreams[start.upstream.name];
  const Time arrives = m_now + m_options.link_delay;
  CallerRecord* record = FindRecord(start.attempt.request);
  const bool is_refused = upstream.is_down || upstream.refuse > 0;
  upstream.refuse -= upstream.refuse > 0 ? 1 : 0;
  if (record == nullptr || is_refused) {
    ScheduleOnHost(host, arrives + m_options.link_delay, [this, host, start] {
      ReportFakeAttemptEnd(host, start, start.resume_from, AttemptNotStarted{});
    });
    return;
  }
  ++record->executions;
  ++upstream.executions[record->body];
  ++upstream.running;
  upstream.max_running = std::max(upstream.max_running, upstream.running);
  const bool loses_reply = upstream.lose_replies > 0;
  upstream.lose_replies -= loses_reply ? 1 : 0;
  const auto service_time = std::chrono::duration_cast<Duration>(
      m_options.service_time * upstream.slow_factor);
  const UpstreamName name = start.upstream.name;
  ScheduleAt(arrives + service_time,
             [this, name] { --upstreams[name].running; });
  ScheduleOnHost(host, arrives + service_time / 10, [this, host, start] {
    PerformAll(host,
               hosts[host].instance->HandleFirstToken(start.attempt, m_now));
  });
  const uint32_t total_tokens = m_options.tokens_per_reply;
  const uint32_t partial_tokens = std::max(start.resume_from, total_tokens / 2);
  ScheduleOnHost(
      host, arrives + service_time,
      [this, host, start, loses_reply, total_tokens, partial_tokens] {
        auto kept = std::make_shared<const KeptAnswer>(
            KeptAnswer{200, "text/plain", ToString(start.attempt.request)});
        ReportFakeAttemptEnd(
            host, start, loses_reply ? partial_tokens : total_tokens,
            loses_reply ? AttemptOutcome{AttemptUnknown{}}
                        : AttemptOutcome{AttemptAnswered{kept}});
      });
}

void VirtualSite::Perform(size_t, const CancelUpstreamAttempt& action) {
  if (on_cancel) {
    on_cancel(action);
  }
  cancelled.insert({action.attempt.request, action.attempt.number});
}

void VirtualSite::RecordOutcome(CallerRecord& record, const Outcome& outcome) {
  ++record.answers;
  record.outcome = outcome;
  record.answered = m_now;
}

void VirtualSite::Perform(size_t, const FinishRequest& action) {
  const auto it = m_record_index.find(action.request);
  if (it == m_record_index.end()) {
    return;
  }
  RecordOutcome(callers[it->second], action.outcome);
  const auto [begin, end] = m_origin_records.equal_range(it->second);
  for (auto origin = begin; origin != end; ++origin) {
    ReturnOutcome(it->second, origin->second);
  }
  if (on_answer) {
    on_answer(it->second);
  }
}

void VirtualSite::ReturnOutcome(size_t owner_record, size_t origin_record) {
  const Outcome outcome = *callers[owner_record].outcome;
  ScheduleOnHost(callers[origin_record].host, m_now + m_options.link_delay,
                 [this, origin_record, outcome] {
                   if (!callers[origin_record].outcome) {
                     RecordOutcome(callers[origin_record], outcome);
                   }
                 });
}

void VirtualSite::Perform(size_t host, const ForwardRequest& action) {
  const auto to = HostAt(action.caller_address);
  CallerRecord* record = FindRecord(action.request);
  if (!to || record == nullptr) {
    return;
  }
  const size_t origin = m_record_index[action.request];
  const bool is_reachable =
      hosts[*to].is_up && !m_cut_links.contains({host, *to});
  if (!is_reachable) {
    RecordOutcome(*record, OutcomeUnknown{UnknownReason::kOwnerUnreachable});
    return;
  }
  // The daemon stops waiting for an owner that does not reply.
  ScheduleOnHost(host, m_now + seconds(30), [this, origin] {
    if (!callers[origin].outcome) {
      RecordOutcome(callers[origin],
                    OutcomeUnknown{UnknownReason::kOwnerUnreachable});
    }
  });
  ScheduleOnHost(*to, m_now + m_options.link_delay, [this, to, origin] {
    CallerRecord forwarded;
    forwarded.id = hosts[*to].instance->NextRequestId();
    forwarded.host = *to;
    forwarded.request_class = callers[origin].request_class;
    forwarded.key = callers[origin].key;
    forwarded.body = callers[origin].body;
    forwarded.sent = callers[origin].sent;
    callers.push_back(forwarded);
    const size_t index = callers.size() - 1;
    callers[origin].forwarded_as = index;
    m_origin_records.emplace(index, origin);
    m_record_index[forwarded.id] = index;
    CallerRequest request;
    request.id = forwarded.id;
    request.request_class = forwarded.request_class;
    request.account.value = "one";
    request.body_hash = StableHash(forwarded.body);
    request.key = forwarded.key;
    request.forwarded = true;
    PerformAll(*to, hosts[*to].instance->HandleCallerRequest(request, m_now));
  });
}

void VirtualSite::Perform(size_t host, const AppendRecord& action) {
  const bool reply_lost = log.lose_replies > 0;
  const bool down = log.is_down;
  if (!down) {
    log.records[action.stream].push_back(action.payload);
    log.lose_replies -= reply_lost ? 1 : 0;
  }
  ScheduleOnHost(host, m_now + (down || reply_lost ? kLogRetry : kLogDelay),
                 [this, host, action, succeeded = !down && !reply_lost] {
                   PerformAll(host, hosts[host].instance->HandleAppendEnded(
                                        action.stream, succeeded, m_now));
                 });
}

void VirtualSite::Perform(size_t host, const FetchConfiguration& action) {
  const auto from = HostAt(action.link_address);
  if (!from) {
    return;
  }
  Transmit(host, *from, [this, host, from] {
    const auto state = hosts[*from].instance->ConfigurationInForce();
    if (state) {
      Transmit(*from, host, [this, host, state] {
        PerformAll(
            host, hosts[host].instance->HandlePeerConfiguration(*state, m_now));
      });
    }
  });
}

void VirtualSite::Perform(size_t host, const CallEngine& action) {
  const EngineCall& call = action.call;
  if (call.order) {
    const EngineOrder order = *call.order;
    if (hold_orders) {
      m_held_orders.push_back([this, order] { ApplyOrder(order); });
      ReportOrderEnded(host, m_now + kOrderDeadline, order, OrderUnanswered{});
      return;
    }
    ScheduleAt(m_now + Delay(), [this, host, order] {
      ReportOrderEnded(host, m_now + Delay(), order, ApplyOrder(order));
    });
    return;
  }
  const FakeUpstream& engine = upstreams[call.upstream];
  std::optional<EngineReading> reading;
  if (!engine.is_down) {
    reading = EngineReading{engine.state, engine.fencing};
  }
  ScheduleOnHost(
      host, m_now + Delay(), [this, host, name = call.upstream, reading] {
        PerformAll(
            host, hosts[host].instance->HandleEngineRead(name, reading, m_now));
      });
}

void VirtualSite::ReportOrderEnded(size_t host,
                                   Time at,
                                   const EngineOrder& order,
                                   const OrderOutcome& outcome) {
  ScheduleOnHost(host, at, [this, host, order, outcome] {
    PerformAll(host,
               hosts[host].instance->HandleOrderEnded(order, outcome, m_now));
  });
}

OrderOutcome VirtualSite::ApplyOrder(const EngineOrder& order) {
  FakeUpstream& engine = upstreams[order.upstream];
  const auto [state_of_number, is_first] =
      engine.state_by_fencing.emplace(order.fencing, order.desired);
  engine.has_conflicting_orders |=
      !is_first && state_of_number->second != order.desired;
  if (engine.is_down) {
    return OrderUnanswered{};
  }
  const bool checks = engine.upstream.checks_fencing;
  if (checks && order.fencing < engine.fencing) {
    return OrderRefused{engine.fencing};
  }
  ++engine.orders;
  engine.state = order.desired;
  engine.fencing = checks ? order.fencing : LogOffset{};
  if (engine.lose_replies > 0) {
    --engine.lose_replies;
    return OrderUnanswered{};
  }
  return OrderAccepted{};
}

void VirtualSite::ReleaseOrders() {
  hold_orders = false;
  for (const auto& arrive : m_held_orders) {
    ScheduleAt(m_now + Delay(), arrive);
  }
  m_held_orders.clear();
}

void VirtualSite::ResetEngine(const std::string& upstream) {
  FakeUpstream& engine = upstreams[UpstreamName{upstream}];
  engine.state = {};
  engine.fencing = {};
}

void VirtualSite::Perform(size_t host, const StopSuperseded&) {
  Crash(host);
}

}  // namespace pomeloring::test
