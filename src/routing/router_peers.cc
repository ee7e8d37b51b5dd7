#include <algorithm>

#include "routing/router.h"

namespace pomeloring {
namespace {

// Limits the prompt parts in a digest, so that it fits into a datagram together
// with the loads.
constexpr size_t kMaxPartsPerDigest = 100;
// Limits the parts queued while no peer can be reached; the oldest are dropped.
constexpr size_t kMaxQueuedParts = 2000;
// A known part is sent again at this interval, for peers that have started
// since or lost the datagram.
constexpr Duration kPartResendInterval = seconds(2);
// Between full digests only changed loads are sent: full ones were most of the
// traffic between failure domains. A lost change is corrected by the next full
// digest.
constexpr Duration kFullDigestInterval = milliseconds(400);
// In tokens. A smaller load says nothing about an upstream's next seconds.
constexpr double kMinReportedPrefillLoad = 500;

std::vector<CachedPart> TakeFront(std::deque<CachedPart>& parts) {
  const size_t count = std::min(parts.size(), kMaxPartsPerDigest);
  const auto end = parts.begin() + static_cast<long>(count);
  std::vector<CachedPart> front(parts.begin(), end);
  parts.erase(parts.begin(), end);
  return front;
}

void Append(std::deque<CachedPart>& parts, CachedPart part) {
  parts.push_back(std::move(part));
  if (parts.size() > kMaxQueuedParts) {
    parts.pop_front();
  }
}

bool IsSignificant(const UpstreamLoad& load) {
  return load.running > 0 || load.prefill_load > kMinReportedPrefillLoad;
}

}  // namespace

// --- Sending -----------------------------------------------------------------

void Router::QueuePart(const UpstreamState& upstream, uint64_t part, Time now) {
  const auto known = upstream.cached_parts.find(part);
  if (known != upstream.cached_parts.end() &&
      now - known->second < kPartResendInterval) {
    return;
  }
  Append(m_parts_to_send, {upstream.record.id, part});
  if (m_is_relay) {
    Append(m_parts_to_relay, {upstream.record.id, part});
  }
}

void Router::MarkLoadChanged(const PlacedAttempt& attempt) {
  m_changed_loads.insert(attempt.upstream->record.id);
  m_changed_group_loads.insert(attempt.upstream->record.id);
  m_has_pending_changes = true;
}

PeerDigest Router::MakeDigestHeader(bool leaving, bool reads_store, Time now) {
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
  digest.lost_upstreams = LostUpstreamHashes();
  digest.is_cut_off = IsCutOff(now);
  digest.notices = BuildNotices(now);
  digest.exits = BuildExitNotices(now);
  digest.duties = m_duties;
  return digest;
}

ServiceBacklogs Router::LocalBacklogs(Time now) const {
  return m_backlog ? BacklogsOf(*m_backlog, now) : ServiceBacklogs{};
}

// A backlog that is counted elsewhere is not kept; see DropPeerLoads().
ServiceBacklogs Router::TotalBacklogs(Time now) const {
  ServiceBacklogs total = LocalBacklogs(now);
  for (const auto& [name, peer] : m_peers) {
    AddBacklogs(total, peer.digest.backlogs);
  }
  return total;
}

PeerDigest Router::BuildDigest(bool leaving,
                               bool reads_store,
                               Time now,
                               const InstanceName& relayed_by) {
  PeerDigest digest = MakeDigestHeader(leaving, reads_store, now);
  digest.trait_notices =
      TakeTraitNotices(m_sent_trait_notices, m_quarantine, now);
  digest.relayed_by = relayed_by;
  // This digest does not contain the group's loads, so that other relays miss
  // their changes: the next group digest has to be a full one.
  m_last_full_group_digest = {};
  digest.changed_loads_only = relayed_by == m_last_relayed_by &&
                              now - m_last_full_digest < kFullDigestInterval;
  m_last_relayed_by = relayed_by;
  m_last_full_digest = digest.changed_loads_only ? m_last_full_digest : now;
  for (const auto& [name, state] : m_states) {
    DecayPrefillLoads(*state, now);
    if (digest.changed_loads_only ? m_changed_loads.contains(name)
                                  : IsSignificant(state->local_load)) {
      digest.loads.emplace_back(name, state->local_load);
    }
  }
  m_changed_loads.clear();
  digest.backlogs = LocalBacklogs(now);
  digest.flows = LocalFlows(now);
  digest.account_work = LocalAccountWork(now);
  digest.cached_parts = TakeFront(m_parts_to_send);
  digest.speeds = TakeSpeedsToSend(now);
  m_has_pending_changes =
      !m_parts_to_send.empty() || !m_speeds_to_send.upstreams.empty();
  return digest;
}

// Passed on with the next digest that is due: a candidate that learns of it
// later only waits longer.
void Router::MergeDutyNotice(const DutyNotice& notice) {
  if (notice.position > m_duties.position) {
    m_duties = notice;
  }
}

bool Router::IsRelayedHere(const PeerState& peer, Time now) const {
  return peer.digest.relayed_by == m_settings.name &&
         now - peer.last_received < m_settings.digest_timeout;
}

// Whether the store has recently answered a peer other than `name`.
bool Router::HasOtherReader(const InstanceName& name, Time now) const {
  return std::any_of(m_peers.begin(), m_peers.end(), [&](const auto& peer) {
    return peer.first != name && peer.second.digest.reads_store &&
           now - peer.second.last_received < m_settings.digest_timeout;
  });
}

PeerDigest Router::BuildGroupDigest(bool leaving, bool reads_store, Time now) {
  PeerDigest digest = MakeDigestHeader(leaving, reads_store, now);
  digest.trait_notices =
      TakeTraitNotices(m_sent_trait_notices, m_quarantine, now);
  digest.scope = DigestScope::kGroup;
  // This digest contains the local loads only as a part of the group's: the
  // next digest of local loads alone has to be a full one.
  m_last_full_digest = {};
  digest.changed_loads_only =
      now - m_last_full_group_digest < kFullDigestInterval;
  m_last_full_group_digest =
      digest.changed_loads_only ? m_last_full_group_digest : now;
  std::set<InstanceName> group;
  digest.backlogs = LocalBacklogs(now);
  digest.account_work = GroupAccountWork(now);
  for (const auto& [name, peer] : m_peers) {
    if (IsRelayedHere(peer, now)) {
      group.insert(name);
      AddBacklogs(digest.backlogs, peer.digest.backlogs);
      if (peer.digest.ready) {
        digest.serving.push_back(ShortHash(name));
      }
      if (peer.digest.is_cut_off) {
        digest.cut_off.push_back(ShortHash(name));
      }
    }
  }
  digest.flows = MakeFlowDigest(SumFlows(
      [&](const InstanceName& name) { return group.contains(name); }, now));
  for (const auto& [name, state] : m_states) {
    DecayPrefillLoads(*state, now);
    UpstreamLoad load = state->local_load;
    for (const auto& [peer, peer_load] : state->peer_loads) {
      if (group.contains(peer)) {
        AddLoad(load, peer_load);
      }
    }
    if (digest.changed_loads_only ? m_changed_group_loads.contains(name)
                                  : IsSignificant(load)) {
      digest.loads.emplace_back(name, load);
    }
  }
  m_changed_group_loads.clear();
  digest.cached_parts = TakeFront(m_parts_to_send);
  digest.speeds = TakeSpeedsToSend(now);
  m_has_pending_changes =
      !m_parts_to_send.empty() || !m_speeds_to_send.upstreams.empty();
  return digest;
}

std::vector<std::pair<InstanceName, PeerDigest>>
Router::BuildRelayedDigests(bool leaving, bool reads_store, Time now) {
  const auto parts = TakeFront(m_parts_to_relay);
  const auto speeds = TakeQueued(m_speeds_to_relay, now);
  const auto notices =
      TakeTraitNotices(m_relayed_trait_notices, m_quarantine, now);
  const std::set<uint32_t> serving = ServingPeerHashes(now);
  const std::set<uint32_t> cut_off = CutOffPeerHashes(now);
  const ServiceBacklogs backlogs = TotalBacklogs(now);
  const FlowTotals flow_totals =
      SumFlows([](const InstanceName&) { return true; }, now);
  const ServiceAccountWork account_work = TotalAccountWork(now);
  std::vector<std::pair<UpstreamState*, UpstreamLoad>> totals;
  for (const auto& [name, state] : m_states) {
    DecayPrefillLoads(*state, now);
    totals.emplace_back(state.get(), TotalLoad(*state));
  }
  std::vector<std::pair<InstanceName, PeerDigest>> digests;
  for (const auto& [name, peer] : m_peers) {
    if (!IsRelayedHere(peer, now)) {
      continue;
    }
    PeerDigest digest = MakeDigestHeader(leaving, reads_store, now);
    digest.trait_notices = notices;
    digest.scope = DigestScope::kAll;
    digest.reads_store = reads_store || HasOtherReader(name, now);
    digest.serving.assign(serving.begin(), serving.end());
    digest.cut_off.assign(cut_off.begin(), cut_off.end());
    digest.cached_parts = parts;
    digest.speeds = ObservationsFor(speeds, name);
    digest.backlogs = backlogs;
    SubtractBacklogs(digest.backlogs, peer.digest.backlogs);
    FlowTotals others = flow_totals;
    SubtractDemands(others.demands, peer.digest.flows.demands);
    SubtractFlows(others.flows, peer.digest.flows.flows);
    digest.flows = MakeFlowDigest(others);
    digest.account_work = WorkOfOthers(account_work, peer, now);
    for (const auto& [state, total] : totals) {
      UpstreamLoad load = total;
      if (const auto peer_load = state->peer_loads.find(name);
          peer_load != state->peer_loads.end()) {
        SubtractLoad(load, peer_load->second);
      }
      if (IsSignificant(load)) {
        digest.loads.emplace_back(state->record.id, load);
      }
    }
    digests.emplace_back(name, std::move(digest));
  }
  m_has_pending_relay_changes =
      !m_parts_to_relay.empty() || !m_speeds_to_relay.upstreams.empty();
  return digests;
}

// --- Receiving ---------------------------------------------------------------

bool Router::HandleDigest(const PeerDigest& digest, Time now) {
  auto [found, is_new] = m_peers.try_emplace(digest.sender);
  PeerState& peer = found->second;
  const auto order = [](const PeerDigest& d) {
    return std::pair(d.incarnation, d.sequence);
  };
  // An incarnation is derived from the time of day, which may have been set
  // back before the peer restarted: after a silence, a lower one is accepted.
  const bool was_silent = now - peer.last_received >= m_settings.digest_timeout;
  if (!is_new && !was_silent && order(digest) <= order(peer.digest)) {
    return false;
  }
  if (!digest.changed_loads_only) {
    DropPeerLoads(digest.sender);
  }
  const bool has_reach_changed =
      peer.digest.lost_upstreams != digest.lost_upstreams ||
      peer.digest.is_cut_off != digest.is_cut_off ||
      peer.digest.cut_off != digest.cut_off;
  peer.digest = digest;
  peer.digest.loads.clear();
  peer.digest.cached_parts.clear();
  peer.digest.speeds.clear();
  peer.digest.notices.clear();
  peer.digest.exits.clear();
  peer.last_received = now;
  if (digest.scope == DigestScope::kAll) {
    // The digest includes the loads that other peers have reported before.
    for (const auto& [name, other] : m_peers) {
      if (name != digest.sender) {
        DropPeerLoads(name);
      }
    }
  }
  // A load that another relay forwards is counted with that relay's digests.
  const bool is_counted_elsewhere =
      !digest.relayed_by.value.empty() && digest.relayed_by != m_settings.name;
  if (is_counted_elsewhere) {
    DropPeerLoads(digest.sender);
  } else {
    ApplyLoads(peer, digest, now);
  }
  ApplyParts(digest, now);
  ApplySpeeds(digest, now);
  ApplyNotices(digest, now);
  ApplyExitNotices(digest, now);
  ApplyTraitNotices(digest, now);
  MergeDutyNotice(digest.duties);
  if (has_reach_changed) {
    UpdatePeerPaths(now);
  }
  m_has_pending_relay_changes |= m_is_relay;
  m_has_pending_changes |= m_is_relay && IsRelayedHere(peer, now);
  if (!m_config_behind_since && IsConfigBehind(digest)) {
    m_config_behind_since = now;
  }
  if (digest.reads_store && digest.upstreams_hash == m_table.hash && m_config &&
      digest.config_version == m_config->version) {
    m_last_reader_match = now;
  }
  return true;
}

void Router::ApplyLoads(PeerState& peer, const PeerDigest& digest, Time now) {
  for (const auto& [name, load] : digest.loads) {
    const auto state = m_states.find(name);
    if (state == m_states.end()) {
      continue;
    }
    DecayPrefillLoads(*state->second, now);
    if (m_is_relay && digest.relayed_by == m_settings.name) {
      m_changed_group_loads.insert(name);
    }
    if (IsSignificant(load)) {
      state->second->peer_loads[digest.sender] = load;
      peer.counted_upstreams.insert(name);
    } else {
      state->second->peer_loads.erase(digest.sender);
      peer.counted_upstreams.erase(name);
    }
  }
}

void Router::ApplyParts(const PeerDigest& digest, Time now) {
  const bool is_relayed_here = digest.relayed_by == m_settings.name;
  for (const auto& [name, part] : digest.cached_parts) {
    const auto state = m_states.find(name);
    if (state == m_states.end()) {
      continue;
    }
    const PromptPart known[] = {{part, 0, 0}};
    RecordCachedParts(*state->second, known, now);
    if (m_is_relay && is_relayed_here) {
      Append(m_parts_to_send, {name, part});
    }
    if (m_is_relay &&
        (is_relayed_here || digest.scope == DigestScope::kGroup)) {
      Append(m_parts_to_relay, {name, part});
    }
  }
}

std::vector<UpstreamNotice> Router::BuildNotices(Time now) const {
  std::vector<UpstreamNotice> notices;
  for (const auto& [name, state] : m_states) {
    const Backpressure& backpressure = state->backpressure;
    if (NeedsNotice(backpressure)) {
      notices.push_back({name, state->record.started_at_ms,
                         backpressure.is_leaving, backpressure.limit_revision,
                         backpressure.limit, backpressure.room_revision,
                         backpressure.max_rejections, backpressure.room,
                         backpressure.full_until - now});
    }
  }
  return notices;
}

void Router::ApplyNotices(const PeerDigest& digest, Time now) {
  bool limit_has_changed = false;
  for (const UpstreamNotice& notice : digest.notices) {
    const auto state = m_states.find(notice.upstream);
    if (state == m_states.end()) {
      continue;
    }
    // A notice on an earlier process under the same name is void.
    const int64_t started_at_ms = state->second->record.started_at_ms;
    if (started_at_ms == notice.started_at_ms || started_at_ms == 0) {
      const BackpressureChange change =
          ApplyNotice(state->second->backpressure, notice, now);
      limit_has_changed |= change.limit || change.room;
      m_has_pending_changes |= change.leaving || change.room;
    }
  }
  if (limit_has_changed) {
    DivideLimits(now);
  }
}

std::vector<ExitNotice> Router::BuildExitNotices(Time now) const {
  std::vector<ExitNotice> notices;
  for (const auto& [name, state] : m_states) {
    if (now < state->exited_until) {
      notices.push_back(
          {ProcessIdOf(state->record), state->exited_until - now});
    }
  }
  return notices;
}

void Router::ApplyExitNotices(const PeerDigest& digest, Time now) {
  if (digest.exits.empty()) {
    return;
  }
  std::unordered_map<ProcessId, const ExitNotice*> by_process;
  for (const ExitNotice& notice : digest.exits) {
    by_process[notice.process] = &notice;
  }
  for (const auto& [name, state] : m_states) {
    if (const auto found = by_process.find(ProcessIdOf(state->record));
        found != by_process.end()) {
      m_has_pending_changes |= ApplyExitNotice(*state, *found->second, now);
    }
  }
}

void Router::ApplyTraitNotices(const PeerDigest& digest, Time now) {
  const TraitNoticeResult result =
      pomeloring::ApplyTraitNotices(m_quarantine, digest.trait_notices, now);
  m_has_pending_changes |= result.has_changes;
  AddQuarantines(result.quarantined);
}

void Router::DivideLimits(Time now) {
  std::set<uint32_t> others;
  for (const auto& [name, state] : m_states) {
    Backpressure& backpressure = state->backpressure;
    if (!backpressure.limit && !backpressure.max_rejections) {
      continue;
    }
    if (others.empty()) {
      others = ServingPeerHashes(now);
    }
    backpressure.rank =
        RankAmong(state->name_hash, ShortHash(m_settings.name), others);
    backpressure.instances = others.size() + 1;
    if (!backpressure.limit) {
      continue;
    }
    SetShare(state->backpressure,
             ShareOfLimit(*state->backpressure.limit, state->name_hash,
                          ShortHash(m_settings.name), others),
             now);
  }
}

void Router::DropPeerLoads(const InstanceName& peer) {
  const auto found = m_peers.find(peer);
  if (found == m_peers.end()) {
    return;
  }
  for (const UpstreamName& name : found->second.counted_upstreams) {
    m_changed_group_loads.insert(name);
    if (const auto state = m_states.find(name); state != m_states.end()) {
      state->second->peer_loads.erase(peer);
    }
  }
  found->second.counted_upstreams.clear();
  found->second.digest.backlogs.clear();
  found->second.digest.flows = {};
  found->second.digest.account_work.clear();
}

bool Router::IsConfigBehind(const PeerDigest& digest) const {
  return digest.config_version > (m_config ? m_config->version : 0);
}

// Does not compare the offset of the newest change: an instance that knows of a
// change from a complete list records another offset for it than one that has
// read the change, and would mistake the next one for a known one.
bool Router::AreUpstreamsBehind(const PeerDigest& digest) const {
  return digest.upstreams_as_of.value > 0 &&
         (!m_table.is_complete || (digest.upstreams_as_of >= m_table.as_of &&
                                   digest.upstreams_hash != m_table.hash));
}

// A table that differs but is equally new is fetched whole.
LogOffset Router::UpstreamsKnownTo(const PeerDigest& digest) const {
  const bool is_newer = digest.upstreams_as_of > m_table.as_of;
  return is_newer && m_table.is_complete ? m_table.as_of : LogOffset{};
}

uint64_t Router::NewestKnownConfigVersion() const {
  uint64_t newest = m_config ? m_config->version : 0;
  for (const auto& [name, peer] : m_peers) {
    newest = std::max(newest, peer.digest.config_version);
  }
  return newest;
}

std::set<uint32_t> Router::ServingPeerHashes(Time now) const {
  std::set<uint32_t> serving;
  for (const auto& [name, peer] : m_peers) {
    if (now - peer.last_received >= kServingTimeout) {
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

size_t Router::LivePeerCount(Time now) const {
  size_t live_peers = 0;
  bool has_relay = false;
  for (const auto& [name, peer] : m_peers) {
    const bool is_live = now - peer.last_received < m_settings.digest_timeout;
    live_peers += is_live ? 1 : 0;
    has_relay |= is_live && peer.digest.scope != DigestScope::kLocal;
  }
  return has_relay ? std::max(live_peers, ServingPeerHashes(now).size())
                   : live_peers;
}

}  // namespace pomeloring
