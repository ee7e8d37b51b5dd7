// Defines CarriedRequests: the ids of the requests that a connection to an
// upstream has carried.

#ifndef POMELORING_GATEWAY_CARRIED_REQUESTS_H_
#define POMELORING_GATEWAY_CARRIED_REQUESTS_H_

#include <cstdint>
#include <string_view>
#include <vector>

namespace pomeloring {

struct CarriedRequests {
  std::vector<uint64_t> id_hashes;
};

// Returns whether a request with this id may be sent over the connection: each
// id once, and none without an id after another request.
bool MayCarry(const CarriedRequests& carried, std::string_view request_id);
void RecordCarried(CarriedRequests& carried, std::string_view request_id);
// Returns whether the connection has carried as many requests as are
// remembered, and must be closed.
bool IsWornOut(const CarriedRequests& carried);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_CARRIED_REQUESTS_H_
