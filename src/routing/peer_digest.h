// Defines PeerDigest: what an instance tells its peers many times a second, so
// that each can place requests as if it saw the runs of all.

#ifndef POMELORING_ROUTING_PEER_DIGEST_H_
#define POMELORING_ROUTING_PEER_DIGEST_H_

#include <utility>
#include <vector>

#include "core/ids.h"
#include "routing/upstream_state.h"

namespace pomeloring {

// Whose runs the `uses` of a digest hold.
enum class DigestScope {
  kLocal,  // The sender's.
  kGroup,  // The sender's and those of the instances that it relays for.
  kAll,    // Of all instances but the receiver.
};

// Short for a name where many are listed.
uint32_t ShortHash(const InstanceName& name);

// Each digest holds the sender's whole state but for `cached_parts`, which has
// the parts that were added since the one before, and for `uses` if it says so.
struct PeerDigest {
  InstanceName sender;
  Incarnation incarnation;
  uint64_t sequence = 0;  // Later digests are higher; older ones are dropped.
  bool ready = false;
  bool leaving = false;
  uint64_t config_version = 0;
  LogOffset upstreams_as_of;
  uint64_t upstreams_hash = 0;  // See UpstreamTable.
  // The store itself answered the sender of late; of kAll: or an instance that
  // the sender hears of.
  bool reads_store = false;
  // Only those uses that have changed, with those that have ended as nothing.
  bool changed_loads_only = false;
  std::vector<std::pair<UpstreamName, UpstreamLoad>> loads;
  std::vector<std::pair<UpstreamName, uint64_t>> cached_parts;
  DigestScope scope = DigestScope::kLocal;
  InstanceName relayed_by;        // Of kLocal: who passes it on; empty: nobody.
  std::vector<uint32_t> serving;  // Others that serve, by ShortHash().
};

// Splits a digest with many uses into several that fit a datagram each: the
// first as it is, the others with the uses that are left.
std::vector<PeerDigest> SplitDigest(PeerDigest digest);
// Sequences that one digest takes up.
inline constexpr uint64_t kSequenceStep = 256;

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_PEER_DIGEST_H_
