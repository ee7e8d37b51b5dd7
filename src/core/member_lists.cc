#include "core/member_lists.h"

#include <algorithm>

#include "core/member_gossip.h"

namespace pomeloring {
namespace {

constexpr Duration kPauseBetweenPasses = milliseconds(500);
// Another member that knows this many more is asked for its list at once.
constexpr uint32_t kManyMissing = 8;
// One that knows a few more is, once gossip has brought nothing for this long.
constexpr Duration kGossipPatience = seconds(2);
constexpr Duration kPauseBetweenCatchUps = seconds(10);

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

}  // namespace

void SyncNext(MembershipState& state, MembershipOutput& output, Time now) {
  const bool is_joining = state.members.empty();
  // A pass whose reply was lost goes on where it stopped.
  state.next_sync = now + (is_joining      ? state.settings.probe_interval
                           : state.in_pass ? kPauseBetweenPasses
                                           : state.settings.sync_interval);
  if (is_joining) {
    for (const std::string& seed : state.seeds) {
      if (seed != state.self.probe_address) {
        SendMessage(state, output, seed, {.kind = ProbeKind::kSync});
      }
    }
    return;
  }
  const std::string address = AddressToSyncWith(state);
  if (!address.empty()) {
    SendMessage(state, output, address,
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
  SendMessage(state, output, address, std::move(reply));
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
    SendMessage(state, output, address,
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
  SendMessage(state, output, address,
              {.kind = ProbeKind::kSync, .target = state.sync_cursor});
}

}  // namespace pomeloring
