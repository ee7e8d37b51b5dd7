#include "gateway/carried_requests.h"

#include <algorithm>

#include "core/ids.h"

namespace pomeloring {
namespace {

// 8 KB of hashes a connection.
constexpr size_t kMaxCarriedRequests = 1024;

}  // namespace

// An upstream may write a reply again when a later request is due, and only the
// id tells it from the reply to that request. If the same id were sent again
// over the connection, nothing would: a repeated refusal would be taken for the
// refusal of a request that is being executed. Two ids with the same hash cost
// a connection, no more.
bool MayCarry(const CarriedRequests& carried, std::string_view request_id) {
  if (carried.id_hashes.empty()) {
    return true;
  }
  return !request_id.empty() &&
         std::find(carried.id_hashes.begin(), carried.id_hashes.end(),
                   StableHash(request_id)) == carried.id_hashes.end();
}

void RecordCarried(CarriedRequests& carried, std::string_view request_id) {
  carried.id_hashes.push_back(StableHash(request_id));
}

bool IsWornOut(const CarriedRequests& carried) {
  return carried.id_hashes.size() >= kMaxCarriedRequests;
}

}  // namespace pomeloring
