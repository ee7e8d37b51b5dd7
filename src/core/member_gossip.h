// Defines how members learn of each other's state and pass it on: which view of
// a member supersedes another, and what each message carries along.

#ifndef POMELORING_CORE_MEMBER_GOSSIP_H_
#define POMELORING_CORE_MEMBER_GOSSIP_H_

#include <string_view>

#include "core/membership.h"

namespace pomeloring {

// Whether `update` says something newer of a member than what is known.
bool Supersedes(const Member& update, const Member& known);
// Alive or suspect.
bool IsLive(const Member& member);
// With the member itself.
uint32_t CountLive(const MembershipState& state);

// Returns the member of that name, the own one as well, or null.
const Member* FindMember(const MembershipState& state,
                         const InstanceName& name);

// Has the member of that name told along with the next messages.
void QueueGossip(MembershipState& state, const InstanceName& name);

// Adds a message to `output`, with gossip.
void SendMessage(MembershipState& state,
                 MembershipOutput& output,
                 std::string_view address,
                 MembershipMessage message);

void AddToProbeOrder(MembershipState& state, const InstanceName& name);

// Takes in what another member says of a third, or of itself.
void ApplyMemberUpdate(MembershipState& state,
                       MembershipOutput& output,
                       const Member& update,
                       bool should_gossip,
                       Time now);

// Takes in what this member has found out about another.
void SetMemberStatus(MembershipState& state,
                     MembershipOutput& output,
                     const InstanceName& name,
                     MemberStatus status,
                     Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_MEMBER_GOSSIP_H_
