// Defines EngineTable: the desired state of the engines that an instance is
// responsible for, and the orders that bring them to it.

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
  bool draining = false;              // Finishes running requests only.
  bool operator==(const EngineState&) const = default;
};

// Carries the complete desired state, so that repeating an order is harmless.
// The fencing number is the log offset up to which the configuration was read;
// the desired state is a function of the log up to that offset.
struct EngineOrder {
  UpstreamName upstream;
  std::string address;  // IP:port.
  EngineState desired;
  LogOffset fencing;
};

struct OrderAccepted {};
// The engine rejected the order because it has seen a larger fencing number.
struct OrderRefused {
  LogOffset max_seen_fencing;
};
// No reply, or an unreadable one: the order may have taken effect.
struct OrderUnanswered {};
using OrderOutcome = std::variant<OrderAccepted, OrderRefused, OrderUnanswered>;

// The state that an engine reports.
struct EngineReading {
  EngineState state;
  LogOffset fencing;  // The largest number seen; zero if it tracks none.
};

// What an instance knows about an engine that it is responsible for.
struct EngineRecord {
  Upstream upstream;
  EngineState desired;
  LogOffset as_of;         // The log offset that `desired` follows from.
  bool confirmed = false;  // The engine is known to be in the desired state.
  bool needs_order = false;
  bool in_flight = false;      // A call to the engine has not ended yet.
  Time next_call;              // When to send an order or read the state next.
  LogOffset max_seen_fencing;  // The largest number that the engine reported.
  uint32_t consecutive_failures = 0;
};

struct EngineTable {
  std::map<UpstreamName, EngineRecord> engines;
};

// An order to send or, if there is none, a request to read the engine's state.
struct EngineCall {
  UpstreamName upstream;
  std::string address;
  std::optional<EngineOrder> order;
};

// Updates the set of engines to those of the cells that `view.self` schedules,
// and their desired states from the configuration.
void UpdateEngineTable(EngineTable& table, const ClusterView& view, Time now);

// Returns the calls to make now. The caller reports the end of each through one
// of the functions below; an engine has at most one call in flight.
std::vector<EngineCall> TickEngineTable(EngineTable& table, Time now);

// Records the outcome of an order, and when to retry it or to read the state.
void HandleOrderEnded(EngineTable& table,
                      const EngineOrder& order,
                      const OrderOutcome& outcome,
                      Time now);

// Compares the state that the engine reports with the desired one. `reading` is
// empty if the engine did not reply.
void HandleEngineRead(EngineTable& table,
                      const UpstreamName& upstream,
                      const std::optional<EngineReading>& reading,
                      Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_ENGINE_ORDER_H_
