#include <fmt/format.h>

#include "core/instance.h"

namespace pomeloring {
namespace {

// An order that is not sent within this time is dropped: a process that was
// paused must not send a stale order when it resumes.
constexpr Duration kOrderSendTimeout = milliseconds(500);

std::string Describe(const EngineState& state) {
  return fmt::format("{}{} adapters", state.draining ? "draining, " : "",
                     state.adapters.size());
}

std::string Describe(const OrderOutcome& outcome) {
  if (const auto* refused = std::get_if<OrderRefused>(&outcome)) {
    return fmt::format("refused, fencing number {} was seen",
                       refused->max_seen_fencing.value);
  }
  return std::holds_alternative<OrderAccepted>(outcome) ? "taken"
                                                        : "unanswered";
}

}  // namespace

void Instance::TickEngines(Time now, Actions& out) {
  std::vector<EngineCall> calls;
  {
    const std::lock_guard lock(m_engines_mutex);
    calls = TickEngineTable(m_engines, now);
  }
  for (EngineCall& call : calls) {
    if (call.order) {
      m_timeline.Record(
          EventKind::kOrderSent, {}, call.upstream.value,
          fmt::format("{}, fencing number {}", Describe(call.order->desired),
                      call.order->fencing.value),
          now);
    }
    out.push_back(CallEngine{std::move(call), now + kOrderSendTimeout});
  }
}

Actions Instance::HandleOrderEnded(const EngineOrder& order,
                                   const OrderOutcome& outcome,
                                   Time now) {
  m_timeline.Record(EventKind::kOrderEnded, {}, order.upstream.value,
                    Describe(outcome), now);
  const std::lock_guard lock(m_engines_mutex);
  pomeloring::HandleOrderEnded(m_engines, order, outcome, now);
  return {};
}

Actions Instance::HandleEngineRead(const UpstreamName& upstream,
                                   const std::optional<EngineReading>& reading,
                                   Time now) {
  const std::lock_guard lock(m_engines_mutex);
  pomeloring::HandleEngineRead(m_engines, upstream, reading, now);
  return {};
}

std::vector<EngineRecord> Instance::Engines() const {
  const std::lock_guard lock(m_engines_mutex);
  std::vector<EngineRecord> engines;
  for (const auto& [name, record] : m_engines.engines) {
    engines.push_back(record);
  }
  return engines;
}

}  // namespace pomeloring
