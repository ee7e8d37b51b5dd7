// Defines SendBlock: why an upstream may not get a request. Placement and the
// last check before a request is sent ask the same function.

#ifndef POMELORING_ROUTING_SEND_BLOCK_H_
#define POMELORING_ROUTING_SEND_BLOCK_H_

#include <string_view>

#include "routing/upstream_state.h"

namespace pomeloring {

enum class SendBlock {
  kNone,
  // Its registration is gone, or is of another process by now.
  kGone,
  kDraining,     // According to its registration.
  kLeaving,      // According to a reply, to this instance or a peer.
  kExited,       // See UpstreamState::exited_until.
  kHeld,         // See UpstreamState::held_until.
  kPaused,       // It has asked for a pause.
  kFull,         // It has turned a request away; see HasRoom().
  kQuarantined,  // Upstreams exit under the request.
};

// Returns why no request at all may start at the upstream, as far as it has a
// registration and has told that it leaves.
SendBlock FindUseBlock(const UpstreamState& upstream, Time now);

std::string_view ToString(SendBlock block);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_SEND_BLOCK_H_
