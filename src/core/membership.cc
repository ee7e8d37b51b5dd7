#include "core/membership.h"

#include <algorithm>

#include "core/member_gossip.h"
#include "core/member_lists.h"

namespace pomeloring {
namespace {

constexpr size_t kMostRelayedProbes = 64;
constexpr Duration kExpiryInterval = milliseconds(200);

void ProbeIndirectly(MembershipState& state, MembershipOutput& output) {
  std::vector<const Member*> helpers;
  for (const auto& [name, known] : state.members) {
    if (name != state.pending->target && CountsAsLive(known.member)) {
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
                {.kind = ProbeKind::kProbeRequest,
                 .sequence = state.pending->sequence,
                 .target = state.pending->target});
  }
}

void CheckPending(MembershipState& state, MembershipOutput& output, Time now) {
  if (!state.pending) {
    return;
  }
  const Duration age = now - state.pending->sent;
  if (!state.pending->indirect && age >= state.settings.ack_timeout) {
    state.pending->indirect = true;
    ProbeIndirectly(state, output);
  }
  if (age >= state.settings.ack_timeout * 3) {
    const Member* target = FindMember(state, state.pending->target);
    if (target != nullptr && target->status == MemberStatus::kAlive) {
      SetStatus(state, output, state.pending->target, MemberStatus::kSuspect,
                now);
    }
    state.pending.reset();
  }
}

void ExpireSuspects(MembershipState& state,
                    MembershipOutput& output,
                    Time now) {
  // Looks at every member, so not at every tick.
  if (now < state.next_expiry) {
    return;
  }
  state.next_expiry = now + kExpiryInterval;
  std::vector<InstanceName> dead;
  for (const auto& [name, known] : state.members) {
    const bool is_suspect = known.member.status == MemberStatus::kSuspect;
    if (is_suspect && now - known.status_since >= state.settings.suspicion) {
      dead.push_back(name);
    }
  }
  for (const InstanceName& name : dead) {
    SetStatus(state, output, name, MemberStatus::kDead, now);
  }
  std::erase_if(state.members, [&](const auto& entry) {
    return !CountsAsLive(entry.second.member) &&
           now - entry.second.status_since >= state.settings.forget_dead;
  });
}

// Takes the next live member in a shuffled round, so that each is probed once
// a round whatever the size of the fleet.
const Member* NextProbeTarget(MembershipState& state) {
  while (!state.probe_order.empty()) {
    const InstanceName name = state.probe_order.back();
    state.probe_order.pop_back();
    const Member* member = FindMember(state, name);
    if (member != nullptr && CountsAsLive(*member)) {
      return member;
    }
  }
  for (const auto& [name, known] : state.members) {
    if (CountsAsLive(known.member)) {
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
  if (target == nullptr || state.pending) {
    return;
  }
  state.pending = PendingProbe{target->name, state.next_sequence++, now, false};
  const std::string address = target->probe_address;
  SendMessage(state, output, address,
              {.kind = ProbeKind::kProbe, .sequence = state.pending->sequence});
}

void RelayProbe(MembershipState& state,
                MembershipOutput& output,
                std::string_view from_address,
                const MembershipMessage& message,
                Time now) {
  const Member* target = FindMember(state, message.target);
  if (target == nullptr || state.relayed.size() >= kMostRelayedProbes) {
    return;
  }
  const uint64_t sequence = state.next_sequence++;
  state.relayed[sequence] = {std::string(from_address), message.sequence, now};
  const std::string address = target->probe_address;
  SendMessage(state, output, address,
              {.kind = ProbeKind::kProbe, .sequence = sequence});
}

void TakeAck(MembershipState& state,
             MembershipOutput& output,
             const MembershipMessage& message) {
  if (state.pending && state.pending->sequence == message.sequence) {
    state.pending.reset();
    return;
  }
  const auto relayed = state.relayed.find(message.sequence);
  if (relayed == state.relayed.end()) {
    return;
  }
  const RelayedProbe probe = relayed->second;
  state.relayed.erase(relayed);
  SendMessage(state, output, probe.origin_address,
              {.kind = ProbeKind::kAck, .sequence = probe.origin_sequence});
}

// A process that was frozen must not blame the others for the acks that it
// could not read: it starts afresh.
void ForgetAfterPause(MembershipState& state, Time now) {
  const bool was_paused = state.last_tick != Time{} &&
                          now - state.last_tick > state.settings.ack_timeout;
  state.last_tick = now;
  if (!was_paused) {
    return;
  }
  state.pending.reset();
  state.relayed.clear();
  for (auto& [name, known] : state.members) {
    if (known.member.status == MemberStatus::kSuspect) {
      known.status_since = now;
    }
  }
}

// Hearing a suspect's own voice in an unchanged version does not clear it:
// only the member itself may, by a higher version. Tell it of the suspicion.
void TellSuspect(MembershipState& state, const Member& sender) {
  const Member* known = FindMember(state, sender.name);
  if (known != nullptr && known->status != MemberStatus::kAlive &&
      Supersedes(*known, sender)) {
    Spread(state, sender.name);
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
  ForgetAfterPause(state, now);
  CheckPending(state, output, now);
  ExpireSuspects(state, output, now);
  std::erase_if(state.relayed, [&](const auto& relayed) {
    return now - relayed.second.sent >= state.settings.ack_timeout * 3;
  });
  if (now >= state.next_probe) {
    state.next_probe = now + state.settings.probe_interval;
    ProbeNext(state, output, now);
  }
  if (now >= state.next_sync) {
    SyncNext(state, output, now);
  }
  return output;
}

MembershipOutput HandleMembershipMessage(MembershipState& state,
                                         std::string_view from_address,
                                         const MembershipMessage& message,
                                         Time now) {
  MembershipOutput output;
  TakeUpdate(state, output, message.sender, true, now);
  const bool is_news = message.kind != ProbeKind::kSyncReply;
  for (const Member& update : message.updates) {
    TakeUpdate(state, output, update, is_news, now);
  }
  TellSuspect(state, message.sender);
  switch (message.kind) {
    case ProbeKind::kProbe:
      SendMessage(state, output, from_address,
                  {.kind = ProbeKind::kAck, .sequence = message.sequence});
      break;
    case ProbeKind::kProbeRequest:
      RelayProbe(state, output, from_address, message, now);
      break;
    case ProbeKind::kAck:
      TakeAck(state, output, message);
      break;
    case ProbeKind::kSync:
      ReplyToSync(state, output, from_address, message);
      break;
    case ProbeKind::kSyncReply:
      TakeSyncReply(state, output, from_address, message, output.changes.size(),
                    now);
      break;
  }
  if (message.kind != ProbeKind::kSyncReply) {
    CatchUpIfBehind(state, output, from_address, message, now);
  }
  if (message.config_as_of > state.config_as_of) {
    output.newer_config_at = message.sender;
  }
  return output;
}

MembershipOutput AnnounceLeaving(MembershipState& state, Time /*now*/) {
  MembershipOutput output;
  state.self.leaving = true;
  ++state.self.version;
  Spread(state, state.self.name);
  // Told to several members at once rather than at the next probe.
  std::vector<std::string> addresses;
  for (const auto& [name, known] : state.members) {
    if (CountsAsLive(known.member)) {
      addresses.push_back(known.member.probe_address);
    }
  }
  constexpr size_t kMostTold = 8;
  for (size_t i = 0; i < std::min(kMostTold, addresses.size()); ++i) {
    SendMessage(state, output, addresses[i],
                {.kind = ProbeKind::kProbe, .sequence = state.next_sequence++});
  }
  return output;
}

std::vector<Member> LiveMembers(const MembershipState& state) {
  std::vector<Member> live;
  if (!state.self.leaving) {
    live.push_back(state.self);
  }
  for (const auto& [name, known] : state.members) {
    if (CountsAsLive(known.member) && !known.member.leaving) {
      live.push_back(known.member);
    }
  }
  return live;
}

}  // namespace pomeloring
