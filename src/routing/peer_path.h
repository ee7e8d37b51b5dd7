// Defines PeerPaths: the choice of a peer that sends a request to an upstream
// to which this instance has lost its own path.

#ifndef POMELORING_ROUTING_PEER_PATH_H_
#define POMELORING_ROUTING_PEER_PATH_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <utility>

#include "core/ids.h"

namespace pomeloring {

// Why a peer has not sent a request on.
enum class PeerRefusal {
  kUpstreamLost,  // It has lost its path to that upstream as well.
  kBusy,          // It is stopping, or carries too many requests of peers.
  kUnreachable,   // No connection to the peer.
  kUnsupported,   // The peer does not know the protocol.
};

struct PeerPathState {
  uint32_t in_flight = 0;  // Requests sent through the peer.
  Time refuses_until;      // All requests.
};

struct PeerPaths {
  std::map<InstanceName, PeerPathState> peers;
  // Until when a peer is taken to have lost its path to an upstream.
  std::map<std::pair<InstanceName, UpstreamName>, Time> lost_until;
};

// A peer that is alive and stays.
struct PeerCandidate {
  InstanceName name;
  std::string address;  // Of its server for peers, IP:port.
  FailureDomain failure_domain;
  // Whether it is known to have lost its path to the upstream in question.
  bool has_lost_path = false;
};

// Chooses the peer that carries the fewest requests of this instance, with an
// advantage for those in `failure_domain`. `random` breaks ties. Returns
// nothing if no peer may reach the upstream.
std::optional<PeerCandidate> ChoosePeer(
    const PeerPaths& paths,
    std::span<const PeerCandidate> candidates,
    const FailureDomain& failure_domain,
    const UpstreamName& upstream,
    uint64_t random,
    Time now);

// Records that a peer has not sent a request to `upstream`.
void RecordRefusal(PeerPaths& paths,
                   const InstanceName& peer,
                   const UpstreamName& upstream,
                   PeerRefusal refusal,
                   Time now);

// Forgets refusals that are over.
void ForgetRefusals(PeerPaths& paths, Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_PEER_PATH_H_
