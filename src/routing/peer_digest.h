// Defines PeerDigest: what an instance tells its peers many times a second, so
// that each can place requests as if it saw the runs of all.

#ifndef POMELORING_ROUTING_PEER_DIGEST_H_
#define POMELORING_ROUTING_PEER_DIGEST_H_

#include <utility>
#include <vector>

#include "core/ids.h"
#include "routing/upstream_state.h"

namespace pomeloring {

// Each digest holds the sender's whole state but for `cached_parts`, which has
// the parts that were added since the one before.
struct PeerDigest {
  InstanceName sender;
  Incarnation incarnation;
  uint64_t sequence = 0;  // Later digests are higher; older ones are dropped.
  bool ready = false;
  bool leaving = false;
  uint64_t config_version = 0;
  LogOffset upstreams_as_of;
  uint64_t upstreams_hash = 0;  // See UpstreamTable.
  bool reads_store = false;     // The store itself answered the sender of late.
  std::vector<std::pair<UpstreamName, UpstreamUse>> uses;
  std::vector<std::pair<UpstreamName, uint64_t>> cached_parts;
};

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_PEER_DIGEST_H_
