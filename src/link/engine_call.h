// Defines SendEngineOrder() and ReadEngineState(): orders to an engine and its
// state, over HTTP.

#ifndef POMELORING_LINK_ENGINE_CALL_H_
#define POMELORING_LINK_ENGINE_CALL_H_

#include <boost/asio/awaitable.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "core/engine_order.h"

namespace pomeloring {

// Posts `order` to /orders as JSON: `fencing`, `adapters` and `draining`. The
// engine replies with 200, or with 409 and the `fencing` number that it has
// seen.
boost::asio::awaitable<OrderOutcome> SendEngineOrder(
    EngineOrder order,
    std::chrono::milliseconds timeout);

// Gets the same fields from /orders.
boost::asio::awaitable<std::optional<EngineReading>> ReadEngineState(
    std::string address,
    std::chrono::milliseconds timeout);

}  // namespace pomeloring

#endif  // POMELORING_LINK_ENGINE_CALL_H_
