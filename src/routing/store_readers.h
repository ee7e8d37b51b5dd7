// Defines which instances read the platform's store: a few read it for all, and
// the others receive its state from them.

#ifndef POMELORING_ROUTING_STORE_READERS_H_
#define POMELORING_ROUTING_STORE_READERS_H_

#include <map>

#include "routing/router.h"

namespace pomeloring {

// Two, so that losing one causes no delay; not more, since each call to the
// store has a cost.
inline constexpr size_t kStoreReaderCount = 2;
// A reader counts as lost after two missed digests.
inline constexpr Duration kReaderTimeout = milliseconds(900);

// Whether the instance `self` should read the store, by the digests of its
// peers: it need not if enough readers come before it by name.
bool ShouldReadStore(const InstanceName& self,
                     const std::map<InstanceName, PeerState>& peers,
                     Time now);

// Whether the store has recently answered any peer.
bool AnyPeerReadsStore(const std::map<InstanceName, PeerState>& peers,
                       Time now);

// Whether the store answers, as far as an instance can tell from its own calls
// and the digests of its peers.
enum class StoreObservation { kUnknown, kAvailable, kUnavailable };

// `call_succeeded`: the last call of this instance was answered, and recently.
// `call_failed`: it failed. Lost readers are no evidence of an outage: only a
// failed call of this instance itself is.
StoreObservation ObserveStore(bool call_succeeded,
                              bool call_failed,
                              const std::map<InstanceName, PeerState>& peers,
                              Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_STORE_READERS_H_
