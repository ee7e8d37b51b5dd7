// Defines PeerAttempt: a request that an instance sends to an upstream through
// a peer, and what the peer says where it has no reply of the upstream.

#ifndef POMELORING_GATEWAY_PEER_ATTEMPT_H_
#define POMELORING_GATEWAY_PEER_ATTEMPT_H_

#include <optional>
#include <string>
#include <string_view>

#include "core/ids.h"

namespace pomeloring {

inline constexpr std::string_view kPeerAttemptPath = "/v1/peer/attempt";
// The field of a peer's reply that has a PeerOutcome.
inline constexpr std::string_view kPeerOutcomeField = "Pomeloring-Outcome";
// Limits the encoded attempt; a larger request is not sent through peers.
inline constexpr size_t kMaxPeerAttemptBytes = size_t{16} * 1024 * 1024;

struct PeerAttempt {
  // The instance that asks. A peer takes requests from members of the fleet
  // only, which know each other's incarnation: they carry the account that the
  // sender has found, in place of a key.
  InstanceName sender;
  Incarnation incarnation;
  UpstreamName upstream;
  std::string request_id;
  bool is_retryable = false;
  bool is_head = false;
  // Head and body, as the upstream gets them. Empty: the peer only connects to
  // the upstream, and tells whether it is accepted.
  std::string bytes;
};

enum class PeerOutcome {
  kReplied,    // The rest of the reply is the upstream's.
  kConnected,  // To an attempt without bytes: the upstream accepts connections.
  // The request has not been sent:
  kRefused,       // The upstream refuses connections.
  kUpstreamLost,  // The peer cannot connect to the upstream.
  // The peer is starting or stopping, has no connection to spare, or does not
  // know the sender.
  kBusy,
  kUpstreamBlock,  // The upstream may not get requests; see SendBlock.
  // The request has been sent and may have run:
  kBroken,
  kSilent,
};

std::string_view ToString(PeerOutcome outcome);
std::optional<PeerOutcome> ParsePeerOutcome(std::string_view text);

// Returns the HTTP request for the peer at `address`, and its body alone.
std::string WritePeerAttempt(const PeerAttempt& attempt,
                             std::string_view address);
std::string EncodePeerAttempt(const PeerAttempt& attempt);
// Returns nothing if the body is malformed.
std::optional<PeerAttempt> DecodePeerAttempt(std::string_view body);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_PEER_ATTEMPT_H_
