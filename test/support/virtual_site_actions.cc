#include <fmt/format.h>

#include "support/virtual_site.h"

namespace pomeloring::test {
namespace {

constexpr Duration kLogDelay = milliseconds(2);
constexpr Duration kLogRetry = milliseconds(500);
constexpr Duration kOrderDeadline = seconds(2);

}  // namespace

void VirtualSite::Carry(size_t host, Actions actions) {
  for (const Action& action : actions) {
    std::visit([&](const auto& typed) { Do(host, typed); }, action);
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
  if (m_cut.contains({from, to})) {
    return;
  }
  const int copies = Chance(drop_rate) ? 0 : Chance(double_rate) ? 2 : 1;
  for (int i = 0; i < copies; ++i) {
    AtHost(to, m_now + Delay(), deliver);
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

void VirtualSite::Do(size_t host, const SendSlotMessage& action) {
  const auto to = HostAt(action.link_address);
  if (!to) {
    return;
  }
  const HybridTime stamp = hosts[host].instance->EventTimeline().Last();
  Transmit(host, *to, [this, host, to, action, stamp] {
    Carry(*to, hosts[*to].instance->HandleSlotMessage(
                   hosts[host].name, action.message, stamp, m_now));
  });
}

void VirtualSite::Do(size_t host, const SendDatagram& action) {
  const auto to = HostAt(action.address);
  if (!to) {
    return;
  }
  const std::string from = hosts[host].instance->Settings().self.probe_address;
  Transmit(host, *to, [this, from, to, action] {
    Carry(*to,
          hosts[*to].instance->HandleDatagram(from, action.message, m_now));
  });
}

std::optional<size_t> VirtualSite::CallerOf(const RequestId& id) const {
  const auto it = m_record_of.find(id);
  return it == m_record_of.end() ? std::nullopt : std::optional(it->second);
}

void VirtualSite::TellFirstToken(size_t host, const AttemptId& attempt) {
  AtHost(host, m_now, [this, host, attempt] {
    Carry(host, hosts[host].instance->HandleFirstToken(attempt, m_now));
  });
}

void VirtualSite::TellEnded(size_t host,
                            const AttemptId& attempt,
                            uint32_t tokens,
                            const AttemptOutcome& outcome) {
  AtHost(host, m_now, [this, host, attempt, tokens, outcome] {
    Carry(host, hosts[host].instance->HandleAttemptEnded(attempt, outcome,
                                                         tokens, m_now));
  });
}

CallerRecord* VirtualSite::RecordOf(const RequestId& id) {
  const auto it = m_record_of.find(id);
  return it == m_record_of.end() ? nullptr : &callers[it->second];
}

void VirtualSite::EndRun(size_t host,
                         const StartUpstreamAttempt& start,
                         uint32_t tokens,
                         AttemptOutcome outcome) {
  m_delivered[start.attempt.request] = tokens;
  Carry(host, hosts[host].instance->HandleAttemptEnded(start.attempt, outcome,
                                                       tokens, m_now));
}

void VirtualSite::Do(size_t host, const StartUpstreamAttempt& start) {
  starts.push_back({start.attempt, start.upstream.name, m_now,
                    start.resume_from, m_delivered[start.attempt.request]});
  if (on_start) {
    on_start(host, start);
    return;
  }
  FakeUpstream& upstream = upstreams[start.upstream.name];
  const Time arrives = m_now + m_options.link_delay;
  CallerRecord* record = RecordOf(start.attempt.request);
  const bool refused = upstream.is_down || upstream.refuse > 0;
  upstream.refuse -= upstream.refuse > 0 ? 1 : 0;
  if (record == nullptr || refused) {
    AtHost(host, arrives + m_options.link_delay, [this, host, start] {
      EndRun(host, start, start.resume_from, AttemptNotStarted{});
    });
    return;
  }
  ++record->runs;
  ++upstream.runs[record->body];
  ++upstream.running;
  upstream.most_running = std::max(upstream.most_running, upstream.running);
  const bool loses = upstream.lose_replies > 0;
  upstream.lose_replies -= loses ? 1 : 0;
  const auto run_time = std::chrono::duration_cast<Duration>(
      m_options.run_time * upstream.slow_factor);
  const UpstreamName name = start.upstream.name;
  At(arrives + run_time, [this, name] { --upstreams[name].running; });
  AtHost(host, arrives + run_time / 10, [this, host, start] {
    Carry(host, hosts[host].instance->HandleFirstToken(start.attempt, m_now));
  });
  const uint32_t whole = m_options.tokens_per_run;
  const uint32_t half = std::max(start.resume_from, whole / 2);
  AtHost(host, arrives + run_time, [this, host, start, loses, whole, half] {
    auto kept = std::make_shared<const KeptAnswer>(
        KeptAnswer{200, "text/plain", ToString(start.attempt.request)});
    EndRun(host, start, loses ? half : whole,
           loses ? AttemptOutcome{AttemptUnknown{}}
                 : AttemptOutcome{AttemptAnswered{kept}});
  });
}

void VirtualSite::Do(size_t, const CancelUpstreamAttempt& action) {
  if (on_cancel) {
    on_cancel(action);
  }
  cancelled.insert({action.attempt.request, action.attempt.number});
}

void VirtualSite::Answer(CallerRecord& record, const Outcome& outcome) {
  ++record.answers;
  record.outcome = outcome;
  record.answered = m_now;
}

void VirtualSite::Do(size_t, const FinishRequest& action) {
  const auto it = m_record_of.find(action.request);
  if (it == m_record_of.end()) {
    return;
  }
  Answer(callers[it->second], action.outcome);
  const auto [begin, end] = m_origins_of.equal_range(it->second);
  for (auto origin = begin; origin != end; ++origin) {
    PassBack(it->second, origin->second);
  }
  if (on_answer) {
    on_answer(it->second);
  }
}

void VirtualSite::PassBack(size_t owner_record, size_t origin_record) {
  const Outcome outcome = *callers[owner_record].outcome;
  AtHost(callers[origin_record].host, m_now + m_options.link_delay,
         [this, origin_record, outcome] {
           if (!callers[origin_record].outcome) {
             Answer(callers[origin_record], outcome);
           }
         });
}

void VirtualSite::Do(size_t host, const ForwardRequest& action) {
  const auto to = HostAt(action.caller_address);
  CallerRecord* record = RecordOf(action.request);
  if (!to || record == nullptr) {
    return;
  }
  const size_t origin = m_record_of[action.request];
  const bool reachable = hosts[*to].is_up && !m_cut.contains({host, *to});
  if (!reachable) {
    Answer(*record, OutcomeUnknown{UnknownReason::kOwnerUnreachable});
    return;
  }
  // The daemon gives up on an owner that does not answer.
  AtHost(host, m_now + seconds(30), [this, origin] {
    if (!callers[origin].outcome) {
      Answer(callers[origin], OutcomeUnknown{UnknownReason::kOwnerUnreachable});
    }
  });
  AtHost(*to, m_now + m_options.link_delay, [this, to, origin] {
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
    m_origins_of.emplace(index, origin);
    m_record_of[forwarded.id] = index;
    CallerRequest request;
    request.id = forwarded.id;
    request.request_class = forwarded.request_class;
    request.account.value = "one";
    request.body_hash = StableHash(forwarded.body);
    request.key = forwarded.key;
    request.forwarded = true;
    Carry(*to, hosts[*to].instance->HandleCallerRequest(request, m_now));
  });
}

void VirtualSite::Do(size_t host, const AppendRecord& action) {
  const bool lost = log.lose_replies > 0;
  const bool down = log.is_down;
  if (!down) {
    log.records[action.stream].push_back(action.payload);
    log.lose_replies -= lost ? 1 : 0;
  }
  AtHost(host, m_now + (down || lost ? kLogRetry : kLogDelay),
         [this, host, action, succeeded = !down && !lost] {
           Carry(host, hosts[host].instance->HandleAppendEnded(
                           action.stream, succeeded, m_now));
         });
}

void VirtualSite::Do(size_t host, const FetchConfiguration& action) {
  const auto from = HostAt(action.link_address);
  if (!from) {
    return;
  }
  Transmit(host, *from, [this, host, from] {
    const auto state = hosts[*from].instance->ConfigurationInForce();
    if (state) {
      Transmit(*from, host, [this, host, state] {
        Carry(host,
              hosts[host].instance->HandlePeerConfiguration(*state, m_now));
      });
    }
  });
}

void VirtualSite::Do(size_t host, const CallEngine& action) {
  const EngineCall& call = action.call;
  if (call.order) {
    const EngineOrder order = *call.order;
    if (hold_orders) {
      m_held_orders.push_back([this, order] { TakeOrder(order); });
      TellOrderEnded(host, m_now + kOrderDeadline, order, OrderUnanswered{});
      return;
    }
    At(m_now + Delay(), [this, host, order] {
      TellOrderEnded(host, m_now + Delay(), order, TakeOrder(order));
    });
    return;
  }
  const FakeUpstream& engine = upstreams[call.upstream];
  std::optional<EngineReading> reading;
  if (!engine.is_down) {
    reading = EngineReading{engine.state, engine.fencing};
  }
  AtHost(host, m_now + Delay(), [this, host, name = call.upstream, reading] {
    Carry(host, hosts[host].instance->HandleEngineRead(name, reading, m_now));
  });
}

void VirtualSite::TellOrderEnded(size_t host,
                                 Time at,
                                 const EngineOrder& order,
                                 const OrderOutcome& outcome) {
  AtHost(host, at, [this, host, order, outcome] {
    Carry(host, hosts[host].instance->HandleOrderEnded(order, outcome, m_now));
  });
}

OrderOutcome VirtualSite::TakeOrder(const EngineOrder& order) {
  FakeUpstream& engine = upstreams[order.upstream];
  const auto [of_number, is_first] =
      engine.state_by_fencing.emplace(order.fencing, order.desired);
  engine.has_conflicting_orders |=
      !is_first && of_number->second != order.desired;
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
    At(m_now + Delay(), arrive);
  }
  m_held_orders.clear();
}

void VirtualSite::ResetEngine(const std::string& upstream) {
  FakeUpstream& engine = upstreams[UpstreamName{upstream}];
  engine.state = {};
  engine.fencing = {};
}

void VirtualSite::Do(size_t host, const StopSuperseded&) {
  Crash(host);
}

}  // namespace pomeloring::test
