#include "core/membership.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace pomeloring {
namespace {

constexpr uint32_t kSendsPerDoubling = 3;
constexpr size_t kMostRelayedProbes = 64;
constexpr Duration kPauseBetweenPasses = milliseconds(500);
// Another member that knows this many more is asked for its list at once.
constexpr uint32_t kManyMissing = 8;
// One that knows a few more is, once gossip has brought nothing for this long.
constexpr Duration kGossipPatience = seconds(2);
constexpr Duration kPauseBetweenCatchUps = seconds(10);
constexpr Duration kExpiryInterval = milliseconds(200);

// The order in which one view of a member replaces another.
auto Precedence(const Member& member) {
  return std::tuple(member.incarnation, member.version, member.status,
                    member.leaving);
}

bool CountsAsLive(const Member& member) {
  return member.status == MemberStatus::kAlive ||
         member.status == MemberStatus::kSuspect;
}

uint32_t CountLive(const MembershipState& state) {
  uint32_t live = 1;
  for (const auto& [name, known] : state.members) {
    live += CountsAsLive(known.member) ? 1 : 0;
  }
  return live;
}

uint32_t MostSends(const MembershipState& state) {
  return kSendsPerDoubling *
         static_cast<uint32_t>(std::bit_width(state.members.size() + 1));
}

void Spread(MembershipState& state, const InstanceName& name) {
  std::erase_if(state.gossip, [&](const GossipUpdate& update) {
    return update.name == name;
  });
  state.gossip.push_back({name, 0});
}

const Member* Find(const MembershipState& state, const InstanceName& name) {
  if (name == state.self.name) {
    return &state.self;
  }
  const auto it = state.members.find(name);
  return it == state.members.end() ? nullptr : &it->second.member;
}

// The updates sent the fewest times go first.
std::vector<Member> TakeGossip(MembershipState& state) {
  std::stable_sort(state.gossip.begin(), state.gossip.end(),
                   [](const GossipUpdate& a, const GossipUpdate& b) {
                     return a.times_sent < b.times_sent;
                   });
  std::vector<Member> updates;
  for (GossipUpdate& update : state.gossip) {
    if (updates.size() >= state.settings.updates_per_message) {
      break;
    }
    const Member* member = Find(state, update.name);
    ++update.times_sent;
    if (member != nullptr) {
      updates.push_back(*member);
    }
  }
  const uint32_t most = MostSends(state);
  std::erase_if(state.gossip, [&](const GossipUpdate& update) {
    return update.times_sent >= most;
  });
  return updates;
}

void Send(MembershipState& state,
          MembershipOutput& output,
          std::string_view address,
          MembershipMessage message) {
  message.sender = state.self;
  message.config_as_of = state.config_as_of;
  message.live_count = CountLive(state);
  if (message.kind != ProbeKind::kSyncReply) {
    message.updates = TakeGossip(state);
  }
  output.datagrams.push_back({std::string(address), std::move(message)});
}

void AddToProbeOrder(MembershipState& state, const InstanceName& name) {
  const size_t at = NextRandom(state.random) % (state.probe_order.size() + 1);
  state.probe_order.insert(
      state.probe_order.begin() + static_cast<ptrdiff_t>(at), name);
}

void Refute(MembershipState& state, const Member& update) {
  if (update.incarnation > state.self.incarnation) {
    state.superseded = true;
    return;
  }
  const bool is_ours = update.incarnation == state.self.incarnation;
  const bool is_wrong = update.status != MemberStatus::kAlive;
  if (is_ours && is_wrong && update.version >= state.self.version) {
    state.self.version = update.version + 1;
    Spread(state, state.self.name);
  }
}

// `is_news` says that others may not have heard of it. What stands in a list
// that was asked for is known elsewhere: spreading it again kept the gossip of
// 320 members that joined together busy for minutes.
void TakeUpdate(MembershipState& state,
                MembershipOutput& output,
                const Member& update,
                bool is_news,
                Time now) {
  if (update.name == state.self.name) {
    Refute(state, update);
    return;
  }
  // Both would own the same keys. One goes, and comes back as a new life.
  if (update.incarnation == state.self.incarnation && CountsAsLive(update) &&
      update.name < state.self.name) {
    state.superseded = true;
  }
  auto it = state.members.find(update.name);
  if (it == state.members.end()) {
    // Hearing of a death alone is no reason to know a stranger.
    if (!CountsAsLive(update)) {
      return;
    }
    state.members[update.name] = {update, now};
    AddToProbeOrder(state, update.name);
  } else {
    if (Precedence(update) <= Precedence(it->second.member)) {
      return;
    }
    const bool was_live = CountsAsLive(it->second.member);
    it->second = {update, now};
    if (!was_live && CountsAsLive(update)) {
      AddToProbeOrder(state, update.name);
    }
  }
  if (is_news) {
    Spread(state, update.name);
  }
  state.last_change = now;
  output.changes.push_back(update);
}

void SetStatus(MembershipState& state,
               MembershipOutput& output,
               const InstanceName& name,
               MemberStatus status,
               Time now) {
  const auto it = state.members.find(name);
  if (it == state.members.end() || it->second.member.status == status) {
    return;
  }
  it->second.member.status = status;
  it->second.status_since = now;
  Spread(state, name);
  output.changes.push_back(it->second.member);
}

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
    Send(state, output, address,
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
    const Member* target = Find(state, state.pending->target);
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
    const Member* member = Find(state, name);
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
  return Find(state, name);
}

void ProbeNext(MembershipState& state, MembershipOutput& output, Time now) {
  const Member* target = NextProbeTarget(state);
  if (target == nullptr || state.pending) {
    return;
  }
  state.pending = PendingProbe{target->name, state.next_sequence++, now, false};
  const std::string address = target->probe_address;
  Send(state, output, address,
       {.kind = ProbeKind::kProbe, .sequence = state.pending->sequence});
}

std::string AddressToSyncWith(MembershipState& state) {
  std::vector<std::string> addresses;
  for (const auto& [name, known] : state.members) {
    if (CountsAsLive(known.member)) {
      addresses.push_back(known.member.probe_address);
    }
  }
  // Members that were given up and the seeds are asked now and then: that is
  // how two sides of a healed partition find each other again.
  constexpr uint64_t kSyncsPerOutsider = 3;
  if (addresses.empty() || NextRandom(state.random) % kSyncsPerOutsider == 0) {
    addresses = state.seeds;
    for (const auto& [name, known] : state.members) {
      if (known.member.status == MemberStatus::kDead) {
        addresses.push_back(known.member.probe_address);
      }
    }
    std::erase(addresses, state.self.probe_address);
  }
  if (addresses.empty()) {
    return {};
  }
  return addresses[NextRandom(state.random) % addresses.size()];
}

void SyncNext(MembershipState& state, MembershipOutput& output, Time now) {
  const bool is_joining = state.members.empty();
  // A pass whose reply was lost goes on where it stopped.
  state.next_sync = now + (is_joining      ? state.settings.probe_interval
                           : state.in_pass ? kPauseBetweenPasses
                                           : state.settings.sync_interval);
  if (is_joining) {
    for (const std::string& seed : state.seeds) {
      if (seed != state.self.probe_address) {
        Send(state, output, seed, {.kind = ProbeKind::kSync});
      }
    }
    return;
  }
  const std::string address = AddressToSyncWith(state);
  if (!address.empty()) {
    Send(state, output, address,
         {.kind = ProbeKind::kSync, .target = state.sync_cursor});
  }
}

void ReplyToSync(MembershipState& state,
                 MembershipOutput& output,
                 std::string_view address,
                 const MembershipMessage& message) {
  MembershipMessage reply{.kind = ProbeKind::kSyncReply,
                          .sequence = message.sequence,
                          .target = message.target};
  auto it = state.members.upper_bound(message.target);
  while (it != state.members.end() &&
         reply.updates.size() < state.settings.members_per_sync) {
    reply.updates.push_back(it->second.member);
    reply.target = it->first;
    ++it;
  }
  reply.more = it != state.members.end();
  Send(state, output, address, std::move(reply));
}

// Whoever joins or learns something new walks a whole list, pass after pass,
// until one teaches nothing: when many join together, gossip alone would take
// minutes. At rest one part of a list is compared at each sync.
void TakeSyncReply(MembershipState& state,
                   MembershipOutput& output,
                   std::string_view address,
                   const MembershipMessage& message,
                   size_t learnt,
                   Time now) {
  state.sync_cursor = message.more ? message.target : InstanceName{};
  state.in_pass |= learnt > 0;
  state.learnt_in_pass += learnt;
  if (!state.in_pass) {
    return;
  }
  if (message.more) {
    Send(state, output, address,
         {.kind = ProbeKind::kSync, .target = message.target});
    return;
  }
  state.in_pass = state.learnt_in_pass > 0;
  state.learnt_in_pass = 0;
  if (state.in_pass) {
    state.next_sync = std::min(state.next_sync, now + kPauseBetweenPasses);
  }
}

// When many join at once, the lists that they walk are themselves incomplete,
// and a pass ends that taught nothing. A few that are missing are first left to
// gossip: a crash must not make all others walk a list.
void CatchUpIfBehind(MembershipState& state,
                     MembershipOutput& output,
                     std::string_view address,
                     const MembershipMessage& message,
                     Time now) {
  const uint32_t live = CountLive(state);
  const bool is_far_behind = message.live_count >= live + kManyMissing;
  const bool is_behind =
      message.live_count > live && now - state.last_change >= kGossipPatience;
  const Duration pause =
      is_far_behind ? kPauseBetweenPasses : kPauseBetweenCatchUps;
  if ((!is_far_behind && !is_behind) || now - state.last_catch_up < pause) {
    return;
  }
  state.last_catch_up = now;
  if (!state.in_pass) {
    state.in_pass = true;
    state.sync_cursor = {};
  }
  Send(state, output, address,
       {.kind = ProbeKind::kSync, .target = state.sync_cursor});
}

void RelayProbe(MembershipState& state,
                MembershipOutput& output,
                std::string_view from_address,
                const MembershipMessage& message,
                Time now) {
  const Member* target = Find(state, message.target);
  if (target == nullptr || state.relayed.size() >= kMostRelayedProbes) {
    return;
  }
  const uint64_t sequence = state.next_sequence++;
  state.relayed[sequence] = {std::string(from_address), message.sequence, now};
  const std::string address = target->probe_address;
  Send(state, output, address,
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
  Send(state, output, probe.origin_address,
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
  const Member* known = Find(state, sender.name);
  if (known != nullptr && known->status != MemberStatus::kAlive &&
      Precedence(*known) > Precedence(sender)) {
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
      Send(state, output, from_address,
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
    Send(state, output, addresses[i],
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
