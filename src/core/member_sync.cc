#include "core/member_sync.h"

#include <algorithm>

#include "core/member_gossip.h"

namespace pomeloring {
namespace {

// Interval between the sync requests of a full sync, and between full syncs.
constexpr Duration kFullSyncInterval = milliseconds(500);
// A sender that knows this many more live members is sent a sync request at
// once.
constexpr uint32_t kFarBehindMembers = 8;
// A sender that knows more, but not that many more, is sent one only after this
// long without changes, and at most once per kCatchUpInterval.
constexpr Duration kGossipIdleTimeout = seconds(2);
constexpr Duration kCatchUpInterval = seconds(10);

std::string PickSyncAddress(MembershipState& state) {
  std::vector<std::string> addresses;
  for (const auto& [name, known] : state.members) {
    if (IsLive(known.member)) {
      addresses.push_back(known.member.probe_address);
    }
  }
  // Now and then, sync with a dead member or a seed instead, so that the two
  // sides of a healed partition find each other again.
  constexpr uint64_t kSyncsPerRejoinAttempt = 3;
  if (addresses.empty() ||
      NextRandom(state.random) % kSyncsPerRejoinAttempt == 0) {
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

}  // namespace

void SendSyncRequest(MembershipState& state,
                     MembershipOutput& output,
                     Time now) {
  const bool is_joining = state.members.empty();
  // A full sync whose reply was lost continues from the cursor.
  state.next_sync = now + (is_joining           ? state.settings.probe_interval
                           : state.in_full_sync ? kFullSyncInterval
                                                : state.settings.sync_interval);
  if (is_joining) {
    for (const std::string& seed : state.seeds) {
      if (seed != state.self.probe_address) {
        SendMessage(state, output, seed,
                    {.kind = MembershipMessageKind::kSync});
      }
    }
    return;
  }
  const std::string address = PickSyncAddress(state);
  if (!address.empty()) {
    SendMessage(
        state, output, address,
        {.kind = MembershipMessageKind::kSync, .target = state.sync_cursor});
  }
}

void SendSyncReply(MembershipState& state,
                   MembershipOutput& output,
                   std::string_view address,
                   const MembershipMessage& message) {
  MembershipMessage reply{.kind = MembershipMessageKind::kSyncReply,
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
  SendMessage(state, output, address, std::move(reply));
}

// A member that joins, or for which a page holds something new, fetches whole
// lists until one brings nothing new. When many members join together, gossip
// alone would take minutes. In the steady state, a sync fetches a single page.
void HandleSyncReply(MembershipState& state,
                     MembershipOutput& output,
                     std::string_view address,
                     const MembershipMessage& message,
                     size_t changed_members,
                     Time now) {
  state.sync_cursor = message.more ? message.target : InstanceName{};
  state.in_full_sync |= changed_members > 0;
  state.changed_in_full_sync += changed_members;
  if (!state.in_full_sync) {
    return;
  }
  if (message.more) {
    SendMessage(
        state, output, address,
        {.kind = MembershipMessageKind::kSync, .target = message.target});
    return;
  }
  state.in_full_sync = state.changed_in_full_sync > 0;
  state.changed_in_full_sync = 0;
  if (state.in_full_sync) {
    state.next_sync = std::min(state.next_sync, now + kFullSyncInterval);
  }
}

// When many members join at once, the lists that they fetch are incomplete
// themselves, so a full sync may end too early. A small difference is left to
// gossip at first: a single crash must not make all others fetch a list.
void SyncIfBehind(MembershipState& state,
                  MembershipOutput& output,
                  std::string_view address,
                  const MembershipMessage& message,
                  Time now) {
  const uint32_t live = CountLive(state);
  const bool is_far_behind = message.live_count >= live + kFarBehindMembers;
  const bool is_behind = message.live_count > live &&
                         now - state.last_change >= kGossipIdleTimeout;
  const Duration interval =
      is_far_behind ? kFullSyncInterval : kCatchUpInterval;
  if ((!is_far_behind && !is_behind) || now - state.last_catch_up < interval) {
    return;
  }
  state.last_catch_up = now;
  if (!state.in_full_sync) {
    state.in_full_sync = true;
    state.sync_cursor = {};
  }
  SendMessage(
      state, output, address,
      {.kind = MembershipMessageKind::kSync, .target = state.sync_cursor});
}

}  // namespace pomeloring
