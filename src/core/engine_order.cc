#include "core/engine_order.h"

#include <algorithm>

namespace pomeloring {
namespace {

// How often an engine that is as wanted is read again. One that has restarted
// has forgotten its adapters; one that ignores fencing numbers may have taken a
// late order.
constexpr Duration kReadInterval = seconds(10);
// An engine that ignores fencing numbers is read this long after an order.
constexpr Duration kReadBackDelay = milliseconds(500);
// What an earlier sender has under way to an engine that ignores fencing
// numbers should have arrived by then.
constexpr Duration kPredecessorPatience = seconds(2);
constexpr Duration kFirstBackoff = seconds(1);
constexpr Duration kLongestBackoff = seconds(30);

Duration Backoff(uint32_t failures) {
  const Duration backoff = kFirstBackoff * (1 << std::min(failures, 5U));
  return std::min(backoff, kLongestBackoff);
}

// Only marks on the log count: the platform's own list of leaving upstreams has
// no order, and two instances that read it at different times would want
// different states under one fencing number.
EngineState WantedOf(const Service& service,
                     const Upstream& upstream,
                     const ConfigInForce& config) {
  EngineState wanted;
  wanted.adapters = service.adapters;
  std::sort(wanted.adapters.begin(), wanted.adapters.end());
  const auto mark = config.marks.find(upstream.name.value);
  wanted.draining =
      mark != config.marks.end() && mark->second != MarkState::kInService;
  return wanted;
}

void Want(EngineRecord& record,
          const Upstream& upstream,
          EngineState wanted,
          LogOffset as_of,
          Time now) {
  const bool was_behind = record.as_of < record.seen;
  record.upstream = upstream;
  record.as_of = as_of;
  if (wanted != record.wanted) {
    record.wanted = std::move(wanted);
    record.confirmed = false;
    record.must_order = true;
    record.next = now;
  } else if (was_behind && as_of >= record.seen) {
    record.next = now;
  }
}

EngineRecord NewRecord(const Upstream& upstream,
                       EngineState wanted,
                       LogOffset as_of,
                       Time now) {
  EngineRecord record;
  record.upstream = upstream;
  record.wanted = std::move(wanted);
  record.as_of = as_of;
  // A number larger than all that an earlier sender used goes out even if the
  // engine is as wanted: what that one still has under way is then refused.
  record.must_order = upstream.checks_fencing;
  record.next = upstream.checks_fencing ? now : now + kPredecessorPatience;
  return record;
}

EngineRecord* FindInFlight(OrderBook& book, const UpstreamName& upstream) {
  const auto it = book.engines.find(upstream);
  if (it == book.engines.end()) {
    return nullptr;
  }
  it->second.in_flight = false;
  return &it->second;
}

void Retry(EngineRecord& record, Time now) {
  record.next = now + Backoff(record.failures);
  ++record.failures;
}

}  // namespace

void UpdateOrderBook(OrderBook& book, const ClusterView& view, Time now) {
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
      EngineState wanted = WantedOf(service, upstream, view.config);
      const auto known = book.engines.find(upstream.name);
      if (known == book.engines.end()) {
        engines[upstream.name] =
            NewRecord(upstream, std::move(wanted), view.config.as_of, now);
        continue;
      }
      EngineRecord record = std::move(known->second);
      Want(record, upstream, std::move(wanted), view.config.as_of, now);
      engines[upstream.name] = std::move(record);
    }
  }
  book.engines = std::move(engines);
}

std::vector<EngineCall> TickOrders(OrderBook& book, Time now) {
  std::vector<EngineCall> calls;
  for (auto& [name, record] : book.engines) {
    // Another sender has read further; what it wants is newer.
    const bool is_behind = record.as_of < record.seen;
    if (record.in_flight || is_behind || now < record.next) {
      continue;
    }
    record.in_flight = true;
    EngineCall call{name, record.upstream.address, std::nullopt};
    if (record.must_order) {
      call.order = EngineOrder{name, record.upstream.address, record.wanted,
                               record.as_of};
    }
    calls.push_back(std::move(call));
  }
  return calls;
}

void HandleOrderEnded(OrderBook& book,
                      const EngineOrder& order,
                      const OrderOutcome& outcome,
                      Time now) {
  EngineRecord* record = FindInFlight(book, order.upstream);
  if (record == nullptr) {
    return;
  }
  if (const auto* refused = std::get_if<OrderRefused>(&outcome)) {
    record->seen = std::max(record->seen, refused->seen);
    record->next = now + kFirstBackoff;
    return;
  }
  if (std::holds_alternative<OrderUnanswered>(outcome)) {
    Retry(*record, now);
    return;
  }
  record->failures = 0;
  if (order.wanted != record->wanted) {
    return;  // Something newer is wanted; that order is due.
  }
  record->must_order = false;
  record->confirmed = record->upstream.checks_fencing;
  record->next = now + (record->confirmed ? kReadInterval : kReadBackDelay);
}

void HandleEngineRead(OrderBook& book,
                      const UpstreamName& upstream,
                      const std::optional<EngineReading>& reading,
                      Time now) {
  EngineRecord* record = FindInFlight(book, upstream);
  if (record == nullptr) {
    return;
  }
  if (!reading) {
    Retry(*record, now);
    return;
  }
  record->failures = 0;
  if (record->upstream.checks_fencing) {
    record->seen = std::max(record->seen, reading->fencing);
  }
  if (record->must_order) {
    return;  // Something newer is wanted since the reading began.
  }
  record->confirmed = reading->state == record->wanted;
  record->must_order = !record->confirmed;
  record->next = record->confirmed ? now + kReadInterval : now;
}

}  // namespace pomeloring
