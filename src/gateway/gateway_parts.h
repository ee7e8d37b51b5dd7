// Defines GatewayContext: what the serving of one request uses of its gateway.

#ifndef POMELORING_GATEWAY_GATEWAY_PARTS_H_
#define POMELORING_GATEWAY_GATEWAY_PARTS_H_

#include <boost/asio/io_context.hpp>
#include <functional>

#include "daemon/log.h"
#include "gateway/gateway_metrics.h"
#include "gateway/upstream_connection.h"
#include "gateway/wire_codec.h"
#include "routing/router.h"

namespace pomeloring {

struct GatewayContext {
  boost::asio::io_context& context;
  Router& router;
  UpstreamPool& pool;
  const WireCodec& codec;
  Log& log;
  GatewayMetrics& metrics;
  // Set once a planned stop has begun; see Gateway.
  bool close_after_reply = false;  // After each reply.
  bool reject_requests = false;    // New requests are told to go elsewhere.
  size_t active_exchanges = 0;     // Being served.
  std::function<void()> on_load_change;  // Peers should hear of it soon.
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_GATEWAY_PARTS_H_
