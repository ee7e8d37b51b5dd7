#include "core/engine_order.h"

#include <algorithm>

namespace pomeloring {
namespace {

// How often the state of a converged engine is read again. The engine may have
// lost its adapters in a restart or, if it ignores fencing numbers, may have
// applied a stale order.
constexpr Duration kReadInterval = seconds(10);
// How long after an order the state of an engine that ignores fencing numbers
// is read back.
constexpr Duration kReadBackDelay = milliseconds(500);
// How long a new sender waits before its first call to an engine that ignores
// fencing numbers, so that orders in flight from its predecessor arrive first.
constexpr Duration kPredecessorGracePeriod = seconds(2);
constexpr Duration kInitialBackoff = seconds(1);
constexpr Duration kMaxBackoff = seconds(30);

Duration Backoff(uint32_t consecutive_failures) {
  const Duration backoff =
      kInitialBackoff * (1 << std::min(consecutive_failures, 5U));
  return std::min(backoff, kMaxBackoff);
}

// Uses only the marks on the log. The platform's list of leaving upstreams has
// no log offset: instances that read it at different times would derive
// different states for the same fencing number.
EngineState DesiredStateOf(const Service& service,
                           const Upstream& upstream,
                           const ConfigInForce& config) {
  EngineState desired;
  desired.adapters = service.adapters;
  std::sort(desired.adapters.begin(), desired.adapters.end());
  const auto mark = config.marks.find(upstream.name.value);
  desired.draining =
      mark != config.marks.end() && mark->second != MarkState::kInService;
  return desired;
}

void SetDesiredState(EngineRecord& record,
                     const Upstream& upstream,
                     EngineState desired,
                     LogOffset as_of,
                     Time now) {
  const bool config_was_stale = record.as_of < record.max_seen_fencing;
  record.upstream = upstream;
  record.as_of = as_of;
  if (desired != record.desired) {
    record.desired = std::move(desired);
    record.confirmed = false;
    record.needs_order = true;
    record.next_call = now;
  } else if (config_was_stale && as_of >= record.max_seen_fencing) {
    record.next_call = now;
  }
}

EngineRecord MakeEngineRecord(const Upstream& upstream,
                              EngineState desired,
                              LogOffset as_of,
                              Time now) {
  EngineRecord record;
  record.upstream = upstream;
  record.desired = std::move(desired);
  record.as_of = as_of;
  // Sent even if the engine is already in the desired state: once it has seen
  // this sender's larger number, it rejects the predecessor's late orders.
  record.needs_order = upstream.checks_fencing;
  record.next_call =
      upstream.checks_fencing ? now : now + kPredecessorGracePeriod;
  return record;
}

// Marks the engine's call as ended and returns its record, or null if the
// engine has been removed.
EngineRecord* EndCall(EngineTable& table, const UpstreamName& upstream) {
  const auto it = table.engines.find(upstream);
  if (it == table.engines.end()) {
    return nullptr;
  }
  it->second.in_flight = false;
  return &it->second;
}

void ScheduleRetry(EngineRecord& record, Time now) {
  record.next_call = now + Backoff(record.consecutive_failures);
  ++record.consecutive_failures;
}

}  // namespace

void UpdateEngineTable(EngineTable& table, const ClusterView& view, Time now) {
  std::map<UpstreamName, EngineRecord> engines;
  for (const auto& [id, cell] : view.cells) {
    const Service& service =
        view.config.configuration->services.at(cell.service);
    const bool is_responsible = !view.stopping && !cell.schedulers.empty() &&
                                cell.schedulers.front() == view.self.name;
    if (!service.takes_orders || !is_responsible) {
      continue;
    }
    for (const Upstream& upstream : cell.upstreams) {
      EngineState desired = DesiredStateOf(service, upstream, view.config);
      const auto known = table.engines.find(upstream.name);
      if (known == table.engines.end()) {
        engines[upstream.name] = MakeEngineRecord(upstream, std::move(desired),
                                                  view.config.as_of, now);
        continue;
      }
      EngineRecord record = std::move(known->second);
      SetDesiredState(record, upstream, std::move(desired), view.config.as_of,
                      now);
      engines[upstream.name] = std::move(record);
    }
  }
  table.engines = std::move(engines);
}

std::vector<EngineCall> TickEngineTable(EngineTable& table, Time now) {
  std::vector<EngineCall> calls;
  for (auto& [name, record] : table.engines) {
    // Another sender has read further into the log and set a newer state.
    const bool config_is_stale = record.as_of < record.max_seen_fencing;
    if (record.in_flight || config_is_stale || now < record.next_call) {
      continue;
    }
    record.in_flight = true;
    EngineCall call{name, record.upstream.address, std::nullopt};
    if (record.needs_order) {
      call.order = EngineOrder{name, record.upstream.address, record.desired,
                               record.as_of};
    }
    calls.push_back(std::move(call));
  }
  return calls;
}

void HandleOrderEnded(EngineTable& table,
                      const EngineOrder& order,
                      const OrderOutcome& outcome,
                      Time now) {
  EngineRecord* record = EndCall(table, order.upstream);
  if (record == nullptr) {
    return;
  }
  if (const auto* refused = std::get_if<OrderRefused>(&outcome)) {
    record->max_seen_fencing =
        std::max(record->max_seen_fencing, refused->max_seen_fencing);
    record->next_call = now + kInitialBackoff;
    return;
  }
  if (std::holds_alternative<OrderUnanswered>(outcome)) {
    ScheduleRetry(*record, now);
    return;
  }
  record->consecutive_failures = 0;
  if (order.desired != record->desired) {
    return;  // The desired state has changed; its order is sent next.
  }
  record->needs_order = false;
  record->confirmed = record->upstream.checks_fencing;
  record->next_call =
      now + (record->confirmed ? kReadInterval : kReadBackDelay);
}

void HandleEngineRead(EngineTable& table,
                      const UpstreamName& upstream,
                      const std::optional<EngineReading>& reading,
                      Time now) {
  EngineRecord* record = EndCall(table, upstream);
  if (record == nullptr) {
    return;
  }
  if (!reading) {
    ScheduleRetry(*record, now);
    return;
  }
  record->consecutive_failures = 0;
  if (record->upstream.checks_fencing) {
    record->max_seen_fencing =
        std::max(record->max_seen_fencing, reading->fencing);
  }
  if (record->needs_order) {
    return;  // The desired state has changed since the read began.
  }
  record->confirmed = reading->state == record->desired;
  record->needs_order = !record->confirmed;
  record->next_call = record->confirmed ? now + kReadInterval : now;
}

}  // namespace pomeloring
