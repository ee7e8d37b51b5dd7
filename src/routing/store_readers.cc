#include "routing/store_readers.h"

namespace pomeloring {
namespace {

bool IsReader(const PeerState& peer, Time now) {
  return peer.digest.reads_store && !peer.digest.leaving &&
         now - peer.last_received < kReaderTimeout;
}

}  // namespace

bool ShouldReadStore(const InstanceName& self,
                     const std::map<InstanceName, PeerState>& peers,
                     Time now) {
  size_t readers_before = 0;
  for (const auto& [name, peer] : peers) {
    if (peer.digest.scope == DigestScope::kAll && IsReader(peer, now)) {
      return false;  // The relay knows of a reader other than this instance.
    }
    // A relay does not count the instances that it relays for as readers.
    const bool is_relayed = !peer.digest.relayed_by.value.empty();
    readers_before += name < self && !is_relayed && IsReader(peer, now) ? 1 : 0;
  }
  return readers_before < kStoreReaderCount;
}

StoreObservation ObserveStore(bool call_succeeded,
                              bool call_failed,
                              const std::map<InstanceName, PeerState>& peers,
                              Time now) {
  if (call_succeeded || AnyPeerReadsStore(peers, now)) {
    return StoreObservation::kAvailable;
  }
  return call_failed ? StoreObservation::kUnavailable
                     : StoreObservation::kUnknown;
}

bool AnyPeerReadsStore(const std::map<InstanceName, PeerState>& peers,
                       Time now) {
  for (const auto& [name, peer] : peers) {
    if (IsReader(peer, now)) {
      return true;
    }
  }
  return false;
}

}  // namespace pomeloring
