#include <algorithm>

#include "routing/router.h"

namespace pomeloring {
namespace {

// Of prompt parts in one digest, so that it fits a datagram with room for
// loads.
constexpr size_t kMaxPartsPerDigest = 100;
// While peers can't be told; the oldest are dropped.
constexpr size_t kMaxPartsToTell = 2000;
// A part that all know is told again this often, for peers that have started
// since or lost the datagram.
constexpr Duration kTellPartAgain = seconds(2);
// In between only uses that have changed are told: whole digests were most of
// the bytes between failure domains. A lost one is made good this much later.
constexpr Duration kTellAllInterval = milliseconds(400);
// Less says nothing of an upstream's next seconds.
constexpr double kMinToldReadLoad = 500;

std::vector<ToldPart> TakeFront(std::deque<ToldPart>& parts) {
  const size_t count = std::min(parts.size(), kMaxPartsPerDigest);
  const auto end = parts.begin() + static_cast<long>(count);
  std::vector<ToldPart> front(parts.begin(), end);
  parts.erase(parts.begin(), end);
  return front;
}

void Append(std::deque<ToldPart>& parts, ToldPart part) {
  parts.push_back(std::move(part));
  if (parts.size() > kMaxPartsToTell) {
    parts.pop_front();
  }
}

bool IsWorthTelling(const UpstreamUse& use) {
  return use.running > 0 || use.read_load > kMinToldReadLoad;
}

}  // namespace

// --- Told --------------------------------------------------------------------

void Router::TellPart(const UpstreamState& upstream, uint64_t part, Time now) {
  const auto known = upstream.cached_parts.find(part);
  if (known != upstream.cached_parts.end() &&
      now - known->second < kTellPartAgain) {
    return;
  }
  Append(m_parts_to_tell, {upstream.record.id, part});
  if (m_relays) {
    Append(m_parts_to_relay, {upstream.record.id, part});
  }
}

void Router::NoteUse(const Run& run) {
  m_uses_to_tell.insert(run.upstream->record.id);
  m_group_uses_to_tell.insert(run.upstream->record.id);
  m_has_news = true;
}

PeerDigest Router::DigestHead(bool leaving, bool reads_store) {
  PeerDigest digest;
  digest.sender = m_settings.name;
  digest.incarnation = m_settings.incarnation;
  digest.sequence = m_digest_sequence += kSequenceStep;
  digest.ready = IsReady() && !leaving;
  digest.leaving = leaving;
  digest.config_version = m_config ? m_config->version : 0;
  digest.upstreams_as_of = m_table.as_of;
  digest.upstreams_hash = m_table.hash;
  digest.reads_store = reads_store;
  return digest;
}

PeerDigest Router::TakeDigestToSend(bool leaving,
                                    bool reads_store,
                                    Time now,
                                    const InstanceName& relayed_by) {
  PeerDigest digest = DigestHead(leaving, reads_store);
  digest.relayed_by = relayed_by;
  m_told_group = {};  // Other relays are told the group's uses no more.
  digest.has_changed_uses_only =
      relayed_by == m_told_to && now - m_told_all < kTellAllInterval;
  m_told_to = relayed_by;
  m_told_all = digest.has_changed_uses_only ? m_told_all : now;
  for (const auto& [name, state] : m_states) {
    FadeReadLoads(*state, now);
    if (digest.has_changed_uses_only ? m_uses_to_tell.contains(name)
                                     : IsWorthTelling(state->own)) {
      digest.uses.emplace_back(name, state->own);
    }
  }
  m_uses_to_tell.clear();
  digest.cached_parts = TakeFront(m_parts_to_tell);
  m_has_news = !m_parts_to_tell.empty();
  return digest;
}

bool Router::IsRelayedHere(const PeerState& peer, Time now) const {
  return peer.digest.relayed_by == m_settings.name &&
         now - peer.heard < m_settings.digest_lifetime;
}

// Whether a peer other than `name` has had an answer of the store of late.
bool Router::HearsOfReaderBut(const InstanceName& name, Time now) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
    return peer.first != name && peer.second.digest.reads_store &&
           now - peer.second.heard < m_settings.digest_lifetime;
  });
}

PeerDigest Router::TakeGroupDigest(bool leaving, bool reads_store, Time now) {
  PeerDigest digest = DigestHead(leaving, reads_store);
  digest.scope = DigestScope::kGroup;
  m_told_all = {};  // Nobody has been told the own uses alone.
  digest.has_changed_uses_only = now - m_told_group < kTellAllInterval;
  m_told_group = digest.has_changed_uses_only ? m_told_group : now;
  std::set<InstanceName> group;
  for (const auto& [name, peer] : m_peers) {
    if (IsRelayedHere(peer, now)) {
      group.insert(name);
      if (peer.digest.ready) {
        digest.serving.push_back(ShortHash(name));
      }
    }
  }
  for (const auto& [name, state] : m_states) {
    FadeReadLoads(*state, now);
    UpstreamUse use = state->own;
    for (const auto& [peer, of_peer] : state->of_peers) {
      if (group.contains(peer)) {
        AddUse(use, of_peer);
      }
    }
    if (digest.has_changed_uses_only ? m_group_uses_to_tell.contains(name)
                                     : IsWorthTelling(use)) {
      digest.uses.emplace_back(name, use);
    }
  }
  m_group_uses_to_tell.clear();
  digest.cached_parts = TakeFront(m_parts_to_tell);
  m_has_news = !m_parts_to_tell.empty();
  return digest;
}

std::vector<std::pair<InstanceName, PeerDigest>>
Router::TakeRelayedDigests(bool leaving, bool reads_store, Time now) {
  const auto parts = TakeFront(m_parts_to_relay);
  const std::set<uint32_t> serving = ServingElsewhere(now);
  std::vector<std::pair<UpstreamState*, UpstreamUse>> totals;
  for (const auto& [name, state] : m_states) {
    FadeReadLoads(*state, now);
    totals.emplace_back(state.get(), TotalUse(*state));
  }
  std::vector<std::pair<InstanceName, PeerDigest>> digests;
  for (const auto& [name, peer] : m_peers) {
    if (!IsRelayedHere(peer, now)) {
      continue;
    }
    PeerDigest digest = DigestHead(leaving, reads_store);
    digest.scope = DigestScope::kAll;
    digest.reads_store = reads_store || HearsOfReaderBut(name, now);
    digest.serving.assign(serving.begin(), serving.end());
    digest.cached_parts = parts;
    for (const auto& [state, total] : totals) {
      UpstreamUse use = total;
      if (const auto own = state->of_peers.find(name);
          own != state->of_peers.end()) {
        SubtractUse(use, own->second);
      }
      if (IsWorthTelling(use)) {
        digest.uses.emplace_back(state->record.id, use);
      }
    }
    digests.emplace_back(name, std::move(digest));
  }
  m_has_relayed_news = !m_parts_to_relay.empty();
  return digests;
}

// --- Heard -------------------------------------------------------------------

bool Router::HandleDigest(const PeerDigest& digest, Time now) {
  auto [found, is_new] = m_peers.try_emplace(digest.sender);
  PeerState& peer = found->second;
  const auto order = [](const PeerDigest& d) {
    return std::pair(d.incarnation, d.sequence);
  };
  // An incarnation comes from the time of day, which may have stepped back
  // before the peer started again: one that was silent is believed.
  const bool was_silent = now - peer.heard >= m_settings.digest_lifetime;
  if (!is_new && !was_silent && order(digest) <= order(peer.digest)) {
    return false;
  }
  if (!digest.has_changed_uses_only) {
    DropPeerUses(digest.sender);
  }
  peer.digest = digest;
  peer.digest.uses.clear();
  peer.digest.cached_parts.clear();
  peer.heard = now;
  if (digest.scope == DigestScope::kAll) {
    // It counts what others have told before.
    for (const auto& [name, other] : m_peers) {
      if (name != digest.sender) {
        DropPeerUses(name);
      }
    }
  }
  // Another relay counts what it relays.
  const bool is_counted_elsewhere =
      !digest.relayed_by.value.empty() && digest.relayed_by != m_settings.name;
  if (is_counted_elsewhere) {
    DropPeerUses(digest.sender);
  } else {
    TakeUses(peer, digest, now);
  }
  TakeParts(digest, now);
  m_has_relayed_news |= m_relays;
  m_has_news |= m_relays && IsRelayedHere(peer, now);
  if (digest.reads_store && digest.upstreams_hash == m_table.hash && m_config &&
      digest.config_version == m_config->version) {
    m_agreed_at = now;
  }
  return true;
}

void Router::TakeUses(PeerState& peer, const PeerDigest& digest, Time now) {
  for (const auto& [name, use] : digest.uses) {
    const auto state = m_states.find(name);
    if (state == m_states.end()) {
      continue;
    }
    FadeReadLoads(*state->second, now);
    if (m_relays && digest.relayed_by == m_settings.name) {
      m_group_uses_to_tell.insert(name);
    }
    if (IsWorthTelling(use)) {
      state->second->of_peers[digest.sender] = use;
      peer.used.insert(name);
    } else {
      state->second->of_peers.erase(digest.sender);
      peer.used.erase(name);
    }
  }
}

void Router::TakeParts(const PeerDigest& digest, Time now) {
  const bool is_relayed_here = digest.relayed_by == m_settings.name;
  for (const auto& [name, part] : digest.cached_parts) {
    const auto state = m_states.find(name);
    if (state == m_states.end()) {
      continue;
    }
    const PromptPart known[] = {{part, 0}};
    RememberParts(*state->second, known, now);
    if (m_relays && is_relayed_here) {
      Append(m_parts_to_tell, {name, part});
    }
    if (m_relays && (is_relayed_here || digest.scope == DigestScope::kGroup)) {
      Append(m_parts_to_relay, {name, part});
    }
  }
}

void Router::DropPeerUses(const InstanceName& peer) {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return;
  }
  for (const UpstreamName& name : found->second.used) {
    m_group_uses_to_tell.insert(name);
    if (const auto state = m_states.find(name); state != m_states.end()) {
      state->second->of_peers.erase(peer);
    }
  }
  found->second.used.clear();
}

// Not by the offset of the newest change: an instance that knows of a change by
// a whole list gives it another offset than one that has read the change, and
// would take the next one for known.
bool Router::IsBehind(const PeerDigest& digest) const {
  return digest.config_version > (m_config ? m_config->version : 0) ||
         (digest.upstreams_as_of.value > 0 &&
          digest.upstreams_as_of >= m_table.as_of &&
          digest.upstreams_hash != m_table.hash) ||
         (digest.upstreams_as_of.value > 0 && !m_table.is_complete);
}

std::set<uint32_t> Router::ServingElsewhere(Time now) const {
  std::set<uint32_t> serving;
  for (const auto& [name, peer] : m_peers) {
    if (now - peer.heard >= kServingWithin) {
      continue;
    }
    if (peer.digest.ready) {
      serving.insert(ShortHash(name));
    }
    serving.insert(peer.digest.serving.begin(), peer.digest.serving.end());
  }
  serving.erase(ShortHash(m_settings.name));
  return serving;
}

size_t Router::LivePeers(Time now) const {
  size_t heard = 0;
  bool hears_relays = false;
  for (const auto& [name, peer] : m_peers) {
    const bool is_live = now - peer.heard < m_settings.digest_lifetime;
    heard += is_live ? 1 : 0;
    hears_relays |= is_live && peer.digest.scope != DigestScope::kOwn;
  }
  return hears_relays ? std::max(heard, ServingElsewhere(now).size()) : heard;
}

}  // namespace pomeloring
