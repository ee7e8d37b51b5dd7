#include "routing/peer_path.h"

#include <algorithm>

namespace pomeloring {
namespace {

// For as long, a peer that has refused is not asked again.
constexpr Duration kRefusalTime = milliseconds(500);
// A peer of an older version may be replaced at any time.
constexpr Duration kUnsupportedTime = seconds(10);
// Traffic between failure domains has a cost: a peer in this instance's own is
// chosen while it carries at most this many requests more than another.
constexpr uint32_t kOwnDomainAdvantage = 4;

uint32_t RequestsThrough(const PeerPaths& paths, const InstanceName& peer) {
  const auto found = paths.peers.find(peer);
  return found == paths.peers.end() ? 0 : found->second.in_flight;
}

bool MayReach(const PeerPaths& paths,
              const PeerCandidate& candidate,
              const UpstreamName& upstream,
              Time now) {
  const auto peer = paths.peers.find(candidate.name);
  if (candidate.has_lost_path ||
      (peer != paths.peers.end() && now < peer->second.refuses_until)) {
    return false;
  }
  const auto lost = paths.lost_until.find({candidate.name, upstream});
  return lost == paths.lost_until.end() || now >= lost->second;
}

}  // namespace

std::optional<PeerCandidate> ChoosePeer(
    const PeerPaths& paths,
    std::span<const PeerCandidate> candidates,
    const FailureDomain& failure_domain,
    const UpstreamName& upstream,
    uint64_t random,
    Time now) {
  const PeerCandidate* chosen = nullptr;
  uint32_t lowest = 0;
  const size_t offset = candidates.empty() ? 0 : random % candidates.size();
  for (size_t i = 0; i < candidates.size(); ++i) {
    const PeerCandidate& candidate =
        candidates[(i + offset) % candidates.size()];
    if (!MayReach(paths, candidate, upstream, now)) {
      continue;
    }
    const bool is_near = candidate.failure_domain == failure_domain;
    const uint32_t cost = RequestsThrough(paths, candidate.name) +
                          (is_near ? 0 : kOwnDomainAdvantage);
    if (chosen == nullptr || cost < lowest) {
      chosen = &candidate;
      lowest = cost;
    }
  }
  return chosen == nullptr ? std::nullopt : std::optional(*chosen);
}

void RecordRefusal(PeerPaths& paths,
                   const InstanceName& peer,
                   const UpstreamName& upstream,
                   PeerRefusal refusal,
                   Time now) {
  if (refusal == PeerRefusal::kUpstreamLost) {
    paths.lost_until[{peer, upstream}] = now + kRefusalTime;
    return;
  }
  paths.peers[peer].refuses_until =
      now +
      (refusal == PeerRefusal::kUnsupported ? kUnsupportedTime : kRefusalTime);
}

void ForgetRefusals(PeerPaths& paths, Time now) {
  std::erase_if(paths.lost_until,
                [&](const auto& entry) { return now >= entry.second; });
  std::erase_if(paths.peers, [&](const auto& entry) {
    return entry.second.in_flight == 0 && now >= entry.second.refuses_until;
  });
}

}  // namespace pomeloring
