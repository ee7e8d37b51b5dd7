// Defines ServePeerAttempt: sends a peer's request to an upstream that the peer
// cannot reach, and the upstream's reply back.

#ifndef POMELORING_GATEWAY_SERVE_PEER_ATTEMPT_H_
#define POMELORING_GATEWAY_SERVE_PEER_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>

#include "gateway/gateway_context.h"
#include "link/http_server.h"

namespace pomeloring {

// Serves a request for kPeerAttemptPath. The peer chooses the upstream, retries
// and counts the load; this instance sends the request at most once, and only
// if it would send the upstream one of its own.
boost::asio::awaitable<void> ServePeerAttempt(GatewayContext& gateway,
                                              HttpExchange& exchange);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_SERVE_PEER_ATTEMPT_H_
