#include "routing/peer_digest.h"

#include <algorithm>

namespace pomeloring {
namespace {

// At some 45 bytes each: a datagram of a few fragments.
constexpr size_t kMaxUsesPerDigest = 300;

}  // namespace

uint32_t ShortHash(const InstanceName& name) {
  return static_cast<uint32_t>(StableHash(name.value));
}

std::vector<PeerDigest> SplitDigest(PeerDigest digest) {
  std::vector<PeerDigest> pieces;
  const auto uses = std::move(digest.uses);
  for (size_t at = 0; at < uses.size() || at == 0; at += kMaxUsesPerDigest) {
    const size_t end = std::min(at + kMaxUsesPerDigest, uses.size());
    digest.uses.assign(uses.begin() + static_cast<long>(at),
                       uses.begin() + static_cast<long>(end));
    pieces.push_back(digest);
    digest.cached_parts.clear();
    digest.has_changed_uses_only = true;
    ++digest.sequence;
  }
  return pieces;
}

}  // namespace pomeloring
