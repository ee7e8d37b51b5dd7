// Defines ServeConnection: serves the requests of one client connection in
// order.

#ifndef POMELORING_GATEWAY_SERVE_CONNECTION_H_
#define POMELORING_GATEWAY_SERVE_CONNECTION_H_

#include <boost/asio/awaitable.hpp>
#include <memory>

#include "gateway/client_connection.h"
#include "gateway/gateway_context.h"

namespace pomeloring {

// Serves until the client or the gateway closes the connection.
boost::asio::awaitable<void> ServeConnection(
    GatewayContext& gateway,
    std::shared_ptr<ClientConnection> client);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_SERVE_CONNECTION_H_
