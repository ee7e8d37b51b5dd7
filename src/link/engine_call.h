// Defines SendEngineOrder() and ReadEngineState(): the HTTP calls that send an
// order to an engine and read its state.

#ifndef POMELORING_LINK_ENGINE_CALL_H_
#define POMELORING_LINK_ENGINE_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "core/engine_order.h"

namespace pomeloring {

// Posts `order` to /orders as JSON with the fields `fencing`, `adapters` and
// `draining`. An engine that accepts the order replies 200; one that has seen a
// larger fencing number replies 409 with that number in `fencing`. Any other
// reply, or none, counts as unanswered. `timeout` applies as in
// SendHttpRequest().
boost::asio::awaitable<OrderOutcome> SendEngineOrder(
    EngineOrder order,
    std::chrono::milliseconds timeout);

// Reads the same fields with GET /orders. Returns nothing if the call fails or
// the reply can't be parsed.
boost::asio::awaitable<std::optional<EngineReading>> ReadEngineState(
    std::string address,
    std::chrono::milliseconds timeout);

}  // namespace pomeloring

#endif  // POMELORING_LINK_ENGINE_CALL_H_
