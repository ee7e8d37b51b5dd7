#include <algorithm>

#include "routing/router.h"

namespace pomeloring {
namespace {

// This many connections without a reply within this time are not the fault of
// one upstream: all other paths are checked at once. A refusal is known at once
// by the request that meets it.
constexpr size_t kLossesToCheckAll = 2;
constexpr Duration kLossWindow = milliseconds(500);
// Peers have noticed the failure of an upstream, and told, within this time.
constexpr Duration kPeersLearnTime = milliseconds(500);

bool Contains(const std::vector<uint32_t>& hashes, uint32_t hash) {
  return std::find(hashes.begin(), hashes.end(), hash) != hashes.end();
}

}  // namespace

// What the cut has done to the upstream's record says nothing about it.
PathChange Router::RecordConnect(UpstreamState& upstream,
                                 ProbeResult result,
                                 Time now) {
  const PathChange change = pomeloring::RecordConnect(
      upstream.direct_path, result == ProbeResult::kAccepted, now);
  if (change == PathChange::kLost && result == ProbeResult::kUnknown) {
    std::erase_if(m_recent_path_losses,
                  [&](Time lost_at) { return now - lost_at >= kLossWindow; });
    m_recent_path_losses.push_back(now);
  }
  if (result == ProbeResult::kAccepted) {
    RefuteExit(upstream, now);
  } else if (result == ProbeResult::kRefused && now < upstream.exited_until &&
             pomeloring::HasExited(m_exits, ProcessIdOf(upstream.record))) {
    HoldExited(upstream, now);
  }
  if (change == PathChange::kRegained) {
    upstream.health.failure_rate = 0;
    upstream.health.consecutive_failures = 0;
    upstream.health.ejected_until = {};
    upstream.health.is_trial = false;
  }
  if (change != PathChange::kNone) {
    m_has_pending_changes = true;
    UpdatePeerPaths(now);
  }
  return change;
}

std::map<ServiceName, ReachCount> Router::CountReached() const {
  std::map<ServiceName, ReachCount> counts;
  for (const auto& [service, states] : m_by_service) {
    ReachCount& count = counts[service];
    for (const UpstreamState* state : states) {
      ++count.known;
      count.reached += state->direct_path.is_lost ? 0 : 1;
    }
  }
  return counts;
}

// An upstream that no instance reaches has failed by itself.
bool Router::IsCutOff(Time now) const {
  return std::any_of(
      m_by_service.begin(), m_by_service.end(), [&](const auto& entry) {
        const auto lost = std::count_if(
            entry.second.begin(), entry.second.end(), [&](const auto* state) {
              const DirectPath& path = state->direct_path;
              return path.is_lost && state->has_peer_path &&
                     now - path.lost_at >= kPeersLearnTime;
            });
        return 2 * static_cast<size_t>(lost) > entry.second.size();
      });
}

std::set<uint32_t> Router::CutOffPeerHashes(Time now) const {
  std::set<uint32_t> cut_off;
  for (const auto& [name, peer] : m_peers) {
    if (now - peer.last_received >= kServingTimeout) {
      continue;
    }
    if (peer.digest.is_cut_off) {
      cut_off.insert(ShortHash(name));
    }
    cut_off.insert(peer.digest.cut_off.begin(), peer.digest.cut_off.end());
  }
  cut_off.erase(ShortHash(m_settings.name));
  return cut_off;
}

// Of an upstream that has exited, only the instances that have seen that try
// whether it is back: connections of hundreds of instances every 250 ms would
// hit a process that has just started.
std::vector<std::shared_ptr<UpstreamState>> Router::UpstreamsToCheck(
    Time now) const {
  const auto recent =
      std::count_if(m_recent_path_losses.begin(), m_recent_path_losses.end(),
                    [&](Time lost_at) { return now - lost_at < kLossWindow; });
  const bool checks_all = static_cast<size_t>(recent) >= kLossesToCheckAll;
  std::vector<std::shared_ptr<UpstreamState>> due;
  for (const auto& [name, state] : m_states) {
    const SendBlock block = FindUseBlock(*state, now);
    const bool may_be_used =
        block == SendBlock::kNone ||
        (block == SendBlock::kExited &&
         pomeloring::HasExited(m_exits, ProcessIdOf(state->record)));
    if (may_be_used && IsCheckDue(state->direct_path, checks_all, now)) {
      due.push_back(state);
    }
  }
  return due;
}

void Router::MarkLostPaths(std::span<PeerCandidate> candidates,
                           const UpstreamState& upstream,
                           Time now) const {
  const uint32_t hash = ShortUpstreamHash(upstream.record.id);
  const std::set<uint32_t> serving = ServingPeerHashes(now);
  const std::set<uint32_t> cut_off = CutOffPeerHashes(now);
  for (PeerCandidate& candidate : candidates) {
    const auto peer = m_peers.find(candidate.name);
    const bool is_heard =
        peer != m_peers.end() &&
        now - peer->second.last_received < m_settings.digest_timeout;
    // In a large fleet, most peers are known from relays only.
    candidate.has_lost_path =
        is_heard ? Contains(peer->second.digest.lost_upstreams, hash)
                 : cut_off.contains(ShortHash(candidate.name));
    candidate.has_lost_path |= !serving.contains(ShortHash(candidate.name));
  }
}

std::shared_ptr<UpstreamState> Router::FindUpstream(
    const UpstreamName& name) const {
  const auto found = m_states.find(name);
  return found == m_states.end() ? nullptr : found->second;
}

// A partition may take one service only.
std::shared_ptr<UpstreamState> Router::LastHeardBeside(
    const UpstreamState& upstream) const {
  std::shared_ptr<UpstreamState> last;
  const auto rank = [&](const UpstreamState& state) {
    return std::pair(state.record.service == upstream.record.service,
                     state.direct_path.last_byte_at);
  };
  for (const auto& [name, state] : m_states) {
    if (name != upstream.record.id && (!last || rank(*state) > rank(*last))) {
      last = state;
    }
  }
  return last;
}

std::vector<uint32_t> Router::LostUpstreamHashes() const {
  std::vector<uint32_t> lost;
  for (const auto& [name, state] : m_states) {
    if (state->direct_path.is_lost) {
      lost.push_back(ShortUpstreamHash(name));
    }
  }
  return lost;
}

void Router::UpdatePeerPaths(Time now) {
  const std::set<uint32_t> cut_off = CutOffPeerHashes(now);
  const std::set<uint32_t> serving = ServingPeerHashes(now);
  std::set<uint32_t> heard;
  std::vector<const PeerDigest*> digests;
  for (const auto& [name, peer] : m_peers) {
    if (now - peer.last_received < kServingTimeout && peer.digest.ready) {
      heard.insert(ShortHash(name));
      digests.push_back(&peer.digest);
    }
  }
  const bool may_unheard_reach =
      std::any_of(serving.begin(), serving.end(), [&](uint32_t hash) {
        return !heard.contains(hash) && !cut_off.contains(hash);
      });
  for (const auto& [name, state] : m_states) {
    if (state->direct_path.is_lost) {
      const uint32_t hash = ShortUpstreamHash(name);
      state->has_peer_path =
          may_unheard_reach ||
          std::any_of(digests.begin(), digests.end(), [&](const auto* digest) {
            return !Contains(digest->lost_upstreams, hash);
          });
    }
  }
}

}  // namespace pomeloring
