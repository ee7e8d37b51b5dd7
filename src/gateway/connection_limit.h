// Defines how many connections clients may hold, so that descriptors are left
// for upstreams, peers and files, and which gives way to a new one.

#ifndef POMELORING_GATEWAY_CONNECTION_LIMIT_H_
#define POMELORING_GATEWAY_CONNECTION_LIMIT_H_

#include <cstddef>
#include <optional>

#include "gateway/gateway_context.h"

namespace pomeloring {

// The limit of a process that may open `max_descriptors`.
size_t MaxClientConnections(std::optional<size_t> max_descriptors);

// Closes a connection if clients hold `max_connections`: a refused one first,
// then an idle one, then one whose request is still arriving, and of these the
// one that has waited longest. Returns false if all are being served.
bool MakeRoomForConnection(GatewayContext& gateway, size_t max_connections);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_CONNECTION_LIMIT_H_
