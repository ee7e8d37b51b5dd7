// Defines which instances read the platform's store: a few read it for all, and
// the others hear from them.

#ifndef POMELORING_ROUTING_STORE_READERS_H_
#define POMELORING_ROUTING_STORE_READERS_H_

#include <map>

#include "routing/router.h"

namespace pomeloring {

// Two, so that the loss of one costs no time; each call has its price.
inline constexpr size_t kStoreReaderCount = 2;
// A reader is taken for lost after two digests did not come.
inline constexpr Duration kReaderTimeout = milliseconds(900);

// Whether the instance `self` should read the store, by what its peers told:
// those that read it and come first by name are enough.
bool ShouldReadStore(const InstanceName& self,
                     const std::map<InstanceName, PeerState>& peers,
                     Time now);

// Whether any peer has had an answer of the store of late.
bool AnyPeerReadsStore(const std::map<InstanceName, PeerState>& peers,
                       Time now);

// What an instance hears of the store, from its own calls and its peers.
enum class StoreObservation { kUnknown, kAvailable, kUnavailable };

// Readers that are not heard of any more are no sign of an outage: only a call
// of its own that failed tells an instance of one.
StoreObservation ObserveStore(bool call_succeeded,
                              bool call_failed,
                              const std::map<InstanceName, PeerState>& peers,
                              Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_STORE_READERS_H_
