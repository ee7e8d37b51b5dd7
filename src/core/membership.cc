#include "core/membership.h"

#include <algorithm>

#include "core/member_gossip.h"
#include "core/member_sync.h"

namespace pomeloring {
namespace {

constexpr size_t kMaxRelayedProbes = 64;
constexpr Duration kExpiryInterval = milliseconds(200);

void ProbeIndirectly(MembershipState& state, MembershipOutput& output) {
  std::vector<const Member*> helpers;
  for (const auto& [name, known] : state.members) {
    if (name != state.pending_probe->target && IsLive(known.member)) {
      helpers.push_back(&known.member);
    }
  }
  const size_t wanted =
      std::min(state.settings.indirect_probes, helpers.size());
  for (size_t i = 0; i < wanted; ++i) {
    const size_t at = i + NextRandom(state.random) % (helpers.size() - i);
    std::swap(helpers[i], helpers[at]);
    const std::string address = helpers[i]->probe_address;
    SendMessage(state, output, address,
                {.kind = MembershipMessageKind::kProbeRequest,
                 .sequence = state.pending_probe->sequence,
                 .target = state.pending_probe->target});
  }
}

void CheckPendingProbe(MembershipState& state,
                       MembershipOutput& output,
                       Time now) {
  if (!state.pending_probe) {
    return;
  }
  const Duration age = now - state.pending_probe->sent;
  if (!state.pending_probe->indirect && age >= state.settings.ack_timeout) {
    state.pending_probe->indirect = true;
    ProbeIndirectly(state, output);
  }
  // One timeout for the direct probe and two for the indirect ones, whose acks
  // travel over a helper.
  if (age >= state.settings.ack_timeout * 3) {
    const Member* target = FindMember(state, state.pending_probe->target);
    if (target != nullptr && target->status == MemberStatus::kAlive) {
      SetMemberStatus(state, output, state.pending_probe->target,
                      MemberStatus::kSuspect, now);
    }
    state.pending_probe.reset();
  }
}

void ExpireMembers(MembershipState& state, MembershipOutput& output, Time now) {
  // Scans all members, so it does not run at every tick.
  if (now < state.next_expiry) {
    return;
  }
  state.next_expiry = now + kExpiryInterval;
  std::vector<InstanceName> dead;
  for (const auto& [name, known] : state.members) {
    const bool is_suspect = known.member.status == MemberStatus::kSuspect;
    if (is_suspect &&
        now - known.status_since >= state.settings.suspicion_timeout) {
      dead.push_back(name);
    }
  }
  for (const InstanceName& name : dead) {
    SetMemberStatus(state, output, name, MemberStatus::kDead, now);
  }
  std::erase_if(state.members, [&](const auto& entry) {
    return !IsLive(entry.second.member) &&
           now - entry.second.status_since >=
               state.settings.dead_member_retention;
  });
}

// Returns the next live member of a shuffled round, so that every member is
// probed once per round, or null if there is none.
const Member* NextProbeTarget(MembershipState& state) {
  while (!state.probe_order.empty()) {
    const InstanceName name = state.probe_order.back();
    state.probe_order.pop_back();
    const Member* member = FindMember(state, name);
    if (member != nullptr && IsLive(*member)) {
      return member;
    }
  }
  for (const auto& [name, known] : state.members) {
    if (IsLive(known.member)) {
      AddToProbeOrder(state, name);
    }
  }
  if (state.probe_order.empty()) {
    return nullptr;
  }
  const InstanceName name = state.probe_order.back();
  state.probe_order.pop_back();
  return FindMember(state, name);
}

void ProbeNext(MembershipState& state, MembershipOutput& output, Time now) {
  const Member* target = NextProbeTarget(state);
  if (target == nullptr || state.pending_probe) {
    return;
  }
  state.pending_probe =
      PendingProbe{target->name, state.next_sequence++, now, false};
  const std::string address = target->probe_address;
  SendMessage(state, output, address,
              {.kind = MembershipMessageKind::kProbe,
               .sequence = state.pending_probe->sequence});
}

void RelayProbe(MembershipState& state,
                MembershipOutput& output,
                std::string_view from_address,
                const MembershipMessage& message,
                Time now) {
  const Member* target = FindMember(state, message.target);
  if (target == nullptr || state.relayed_probes.size() >= kMaxRelayedProbes) {
    return;
  }
  const uint64_t sequence = state.next_sequence++;
  state.relayed_probes[sequence] = {std::string(from_address), message.sequence,
                                    now};
  const std::string address = target->probe_address;
  SendMessage(state, output, address,
              {.kind = MembershipMessageKind::kProbe, .sequence = sequence});
}

void HandleAck(MembershipState& state,
               MembershipOutput& output,
               const MembershipMessage& message) {
  if (state.pending_probe &&
      state.pending_probe->sequence == message.sequence) {
    state.pending_probe.reset();
    return;
  }
  const auto relayed = state.relayed_probes.find(message.sequence);
  if (relayed == state.relayed_probes.end()) {
    return;
  }
  const RelayedProbe probe = relayed->second;
  state.relayed_probes.erase(relayed);
  SendMessage(
      state, output, probe.origin_address,
      {.kind = MembershipMessageKind::kAck, .sequence = probe.origin_sequence});
}

// Discards probes in flight and restarts suspicion timeouts after this process
// was paused: it could not receive acks, so their absence proves nothing.
void ResetAfterPause(MembershipState& state, Time now) {
  const bool was_paused = state.last_tick != Time{} &&
                          now - state.last_tick > state.settings.ack_timeout;
  state.last_tick = now;
  if (!was_paused) {
    return;
  }
  state.pending_probe.reset();
  state.relayed_probes.clear();
  for (auto& [name, known] : state.members) {
    if (known.member.status == MemberStatus::kSuspect) {
      known.status_since = now;
    }
  }
}

// A message from a suspected member does not clear the suspicion; only a higher
// version, set by the member itself, does. Gossip the suspicion so that the
// member receives and refutes it.
void NotifySuspect(MembershipState& state, const Member& sender) {
  const Member* known = FindMember(state, sender.name);
  if (known != nullptr && known->status != MemberStatus::kAlive &&
      Supersedes(*known, sender)) {
    QueueGossip(state, sender.name);
  }
}

}  // namespace

std::string_view ToString(MemberStatus status) {
  static constexpr std::string_view kNames[] = {"alive", "suspect", "dead",
                                                "left"};
  return kNames[static_cast<size_t>(status)];
}

MembershipOutput TickMembership(MembershipState& state, Time now) {
  MembershipOutput output;
  ResetAfterPause(state, now);
  CheckPendingProbe(state, output, now);
  ExpireMembers(state, output, now);
  std::erase_if(state.relayed_probes, [&](const auto& relayed) {
    return now - relayed.second.sent >= state.settings.ack_timeout * 3;
  });
  if (now >= state.next_probe) {
    state.next_probe = now + state.settings.probe_interval;
    ProbeNext(state, output, now);
  }
  if (now >= state.next_sync) {
    SendSyncRequest(state, output, now);
  }
  return output;
}

MembershipOutput HandleMembershipMessage(MembershipState& state,
                                         std::string_view from_address,
                                         const MembershipMessage& message,
                                         Time now) {
  MembershipOutput output;
  ApplyMemberUpdate(state, output, message.sender, true, now);
  const bool should_gossip = message.kind != MembershipMessageKind::kSyncReply;
  for (const Member& update : message.updates) {
    ApplyMemberUpdate(state, output, update, should_gossip, now);
  }
  NotifySuspect(state, message.sender);
  switch (message.kind) {
    case MembershipMessageKind::kProbe:
      SendMessage(
          state, output, from_address,
          {.kind = MembershipMessageKind::kAck, .sequence = message.sequence});
      break;
    case MembershipMessageKind::kProbeRequest:
      RelayProbe(state, output, from_address, message, now);
      break;
    case MembershipMessageKind::kAck:
      HandleAck(state, output, message);
      break;
    case MembershipMessageKind::kSync:
      SendSyncReply(state, output, from_address, message);
      break;
    case MembershipMessageKind::kSyncReply:
      HandleSyncReply(state, output, from_address, message,
                      output.changes.size(), now);
      break;
  }
  if (message.kind != MembershipMessageKind::kSyncReply) {
    SyncIfBehind(state, output, from_address, message, now);
  }
  if (message.config_as_of > state.config_as_of) {
    output.newer_config_source = message.sender;
  }
  return output;
}

MembershipOutput AdvertiseLeaving(MembershipState& state, Time /*now*/) {
  MembershipOutput output;
  state.self.leaving = true;
  ++state.self.version;
  QueueGossip(state, state.self.name);
  // Sent to several members at once instead of waiting for the next probe.
  std::vector<std::string> addresses;
  for (const auto& [name, known] : state.members) {
    if (IsLive(known.member)) {
      addresses.push_back(known.member.probe_address);
    }
  }
  constexpr size_t kMaxRecipients = 8;
  for (size_t i = 0; i < std::min(kMaxRecipients, addresses.size()); ++i) {
    SendMessage(state, output, addresses[i],
                {.kind = MembershipMessageKind::kProbe,
                 .sequence = state.next_sequence++});
  }
  return output;
}

std::vector<Member> LiveMembers(const MembershipState& state) {
  std::vector<Member> live;
  if (!state.self.leaving) {
    live.push_back(state.self);
  }
  for (const auto& [name, known] : state.members) {
    if (IsLive(known.member) && !known.member.leaving) {
      live.push_back(known.member);
    }
  }
  return live;
}

}  // namespace pomeloring
