// Defines EngineTable: the orders by which one instance brings the engines it
// is responsible for to the state that the configuration wants.

#ifndef POMELORING_CORE_ENGINE_ORDER_H_
#define POMELORING_CORE_ENGINE_ORDER_H_

#include <map>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "core/cluster_view.h"

namespace pomeloring {

struct EngineState {
  std::vector<std::string> adapters;  // Loaded; sorted by name.
  bool draining = false;              // Finishes what runs, starts nothing.
  bool operator==(const EngineState&) const = default;
};

// States the whole wanted state, so that a repeated order is harmless. The
// fencing number is the log offset up to which the configuration was read: the
// wanted state follows from it alone.
struct EngineOrder {
  UpstreamName upstream;
  std::string address;  // IP:port.
  EngineState desired;
  LogOffset fencing;
};

struct OrderAccepted {};
// The engine has seen a larger fencing number.
struct OrderRefused {
  LogOffset max_seen_fencing;
};
// No reply, or one that could not be read: it may have taken effect.
struct OrderUnanswered {};
using OrderOutcome = std::variant<OrderAccepted, OrderRefused, OrderUnanswered>;

// What an engine says of itself.
struct EngineReading {
  EngineState state;
  LogOffset fencing;  // The largest number seen; zero if it keeps none.
};

struct EngineRecord {
  Upstream upstream;
  EngineState desired;
  LogOffset as_of;         // Of `wanted`.
  bool confirmed = false;  // The engine has had `wanted` from this instance.
  bool needs_order = false;
  bool in_flight = false;
  Time next_call;                     // When to order or read again.
  LogOffset max_seen_fencing;         // The largest fencing number heard of.
  uint32_t consecutive_failures = 0;  // In a row.
};

struct EngineTable {
  std::map<UpstreamName, EngineRecord> engines;
};

// An order to send or, without one, an engine to read.
struct EngineCall {
  UpstreamName upstream;
  std::string address;
  std::optional<EngineOrder> order;
};

// Takes in the engines whose cells `view.self` schedules, and what is wanted of
// them.
void UpdateEngineTable(EngineTable& table, const ClusterView& view, Time now);

// Returns the calls that are due. Each is ended by one of the functions below;
// an engine has at most one under way.
std::vector<EngineCall> TickEngineTable(EngineTable& table, Time now);

void HandleOrderEnded(EngineTable& table,
                      const EngineOrder& order,
                      const OrderOutcome& outcome,
                      Time now);

// `reading` is empty where the engine did not answer.
void HandleEngineRead(EngineTable& table,
                      const UpstreamName& upstream,
                      const std::optional<EngineReading>& reading,
                      Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_ENGINE_ORDER_H_
