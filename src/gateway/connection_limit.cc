#include "gateway/connection_limit.h"

#include <algorithm>
#include <limits>
#include <tuple>

#include "gateway/client_connection.h"

namespace pomeloring {
namespace {

// Of the descriptors, for all but clients.
constexpr size_t kReservedFraction = 4;
constexpr size_t kMaxReserved = 1024;

}  // namespace

size_t MaxClientConnections(std::optional<size_t> max_descriptors) {
  if (!max_descriptors) {
    return std::numeric_limits<size_t>::max();
  }
  return *max_descriptors -
         std::min(*max_descriptors / kReservedFraction, kMaxReserved);
}

bool MakeRoomForConnection(GatewayContext& gateway, size_t max_connections) {
  if (gateway.callers.size() < max_connections) {
    return true;
  }
  ClientConnection* first = nullptr;
  for (ClientConnection* caller : gateway.callers) {
    const auto rank = [](const ClientConnection& connection) {
      return std::tuple(connection.Use(), connection.WaitsSince());
    };
    if (caller->Use() != ConnectionUse::kServed &&
        (first == nullptr || rank(*caller) < rank(*first))) {
      first = caller;
    }
  }
  if (first == nullptr) {
    CountEvent(gateway.metrics, "connections_refused");
    return false;
  }
  CountEvent(gateway.metrics, "connections_closed_for_room");
  first->Close();
  return true;
}

}  // namespace pomeloring
