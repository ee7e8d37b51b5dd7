#include "routing/peer_digest.h"

#include <algorithm>

namespace pomeloring {
namespace {

// At about 45 bytes each, these fit into a datagram of a few fragments.
constexpr size_t kMaxLoadsPerDigest = 300;

}  // namespace

uint32_t ShortHash(const InstanceName& name) {
  return static_cast<uint32_t>(StableHash(name.value));
}

uint32_t ShortUpstreamHash(const UpstreamName& name) {
  return static_cast<uint32_t>(StableHash(name.value));
}

std::vector<PeerDigest> SplitDigest(PeerDigest digest) {
  std::vector<PeerDigest> pieces;
  const auto loads = std::move(digest.loads);
  for (size_t at = 0; at < loads.size() || at == 0; at += kMaxLoadsPerDigest) {
    const size_t end = std::min(at + kMaxLoadsPerDigest, loads.size());
    digest.loads.assign(loads.begin() + static_cast<long>(at),
                        loads.begin() + static_cast<long>(end));
    pieces.push_back(digest);
    digest.cached_parts.clear();
    digest.speeds.clear();
    digest.notices.clear();
    digest.trait_notices.clear();
    digest.changed_loads_only = true;
    ++digest.sequence;
  }
  return pieces;
}

}  // namespace pomeloring
