#include "core/member_gossip.h"

#include <algorithm>
#include <bit>
#include <tuple>

namespace pomeloring {
namespace {

// How often an update is sent, per doubling of the number of members.
constexpr uint32_t kSendsPerDoubling = 3;

uint32_t MaxSends(const MembershipState& state) {
  return kSendsPerDoubling *
         static_cast<uint32_t>(std::bit_width(state.members.size() + 1));
}

// Returns the updates for one message, those sent the fewest times first.
std::vector<Member> SelectGossip(MembershipState& state) {
  std::stable_sort(state.gossip.begin(), state.gossip.end(),
                   [](const GossipUpdate& a, const GossipUpdate& b) {
                     return a.times_sent < b.times_sent;
                   });
  std::vector<Member> updates;
  for (GossipUpdate& update : state.gossip) {
    if (updates.size() >= state.settings.updates_per_message) {
      break;
    }
    const Member* member = FindMember(state, update.name);
    ++update.times_sent;
    if (member != nullptr) {
      updates.push_back(*member);
    }
  }
  const uint32_t max_sends = MaxSends(state);
  std::erase_if(state.gossip, [&](const GossipUpdate& update) {
    return update.times_sent >= max_sends;
  });
  return updates;
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
    QueueGossip(state, state.self.name);
  }
}

}  // namespace

bool Supersedes(const Member& update, const Member& known) {
  const auto order = [](const Member& member) {
    return std::tuple(member.incarnation, member.version, member.status,
                      member.leaving);
  };
  return order(update) > order(known);
}

bool IsLive(const Member& member) {
  return member.status == MemberStatus::kAlive ||
         member.status == MemberStatus::kSuspect;
}

uint32_t CountLive(const MembershipState& state) {
  uint32_t live = 1;
  for (const auto& [name, known] : state.members) {
    live += IsLive(known.member) ? 1 : 0;
  }
  return live;
}

void QueueGossip(MembershipState& state, const InstanceName& name) {
  std::erase_if(state.gossip, [&](const GossipUpdate& update) {
    return update.name == name;
  });
  state.gossip.push_back({name, 0});
}

const Member* FindMember(const MembershipState& state,
                         const InstanceName& name) {
  if (name == state.self.name) {
    return &state.self;
  }
  const auto it = state.members.find(name);
  return it == state.members.end() ? nullptr : &it->second.member;
}

void SendMessage(MembershipState& state,
                 MembershipOutput& output,
                 std::string_view address,
                 MembershipMessage message) {
  message.sender = state.self;
  message.config_as_of = state.config_as_of;
  message.live_count = CountLive(state);
  if (message.kind != MembershipMessageKind::kSyncReply) {
    message.updates = SelectGossip(state);
  }
  output.datagrams.push_back({std::string(address), std::move(message)});
}

void AddToProbeOrder(MembershipState& state, const InstanceName& name) {
  const size_t at = NextRandom(state.random) % (state.probe_order.size() + 1);
  state.probe_order.insert(
      state.probe_order.begin() + static_cast<ptrdiff_t>(at), name);
}

// `should_gossip` is false for updates from a member list that was requested:
// others know them already. Sending them on kept gossip congested for minutes
// when 320 members joined together.
void ApplyMemberUpdate(MembershipState& state,
                       MembershipOutput& output,
                       const Member& update,
                       bool should_gossip,
                       Time now) {
  if (update.name == state.self.name) {
    Refute(state, update);
    return;
  }
  // Two processes with one incarnation would own the same idempotency keys. The
  // one with the larger name stops and restarts with a new incarnation.
  if (update.incarnation == state.self.incarnation && IsLive(update) &&
      update.name < state.self.name) {
    state.superseded = true;
  }
  auto it = state.members.find(update.name);
  if (it == state.members.end()) {
    // A member that is first reported as dead or left is not tracked.
    if (!IsLive(update)) {
      return;
    }
    state.members[update.name] = {update, now};
    AddToProbeOrder(state, update.name);
  } else {
    if (!Supersedes(update, it->second.member)) {
      return;
    }
    const bool was_live = IsLive(it->second.member);
    it->second = {update, now};
    if (!was_live && IsLive(update)) {
      AddToProbeOrder(state, update.name);
    }
  }
  if (should_gossip) {
    QueueGossip(state, update.name);
  }
  state.last_change = now;
  output.changes.push_back(update);
}

void SetMemberStatus(MembershipState& state,
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
  QueueGossip(state, name);
  output.changes.push_back(it->second.member);
}

}  // namespace pomeloring
