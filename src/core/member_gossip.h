// Defines the gossip part of the membership protocol: which update of a member
// supersedes another, and which updates each message carries.

#ifndef POMELORING_CORE_MEMBER_GOSSIP_H_
#define POMELORING_CORE_MEMBER_GOSSIP_H_

#include <string_view>

#include "core/membership.h"

namespace pomeloring {

// Whether `update` is newer than the known state of the same member.
bool Supersedes(const Member& update, const Member& known);
// Whether the member is alive or suspect.
bool IsLive(const Member& member);
// Counts the live members, including `state.self`.
uint32_t CountLive(const MembershipState& state);

// Returns the member with that name, which may be `state.self`, or null.
const Member* FindMember(const MembershipState& state,
                         const InstanceName& name);

// Queues the state of the member with that name to be sent with the next
// messages.
void QueueGossip(MembershipState& state, const InstanceName& name);

// Completes the message with the sender's state and queued updates, and adds it
// to `output`.
void SendMessage(MembershipState& state,
                 MembershipOutput& output,
                 std::string_view address,
                 MembershipMessage message);

// Inserts the member at a random position of the probe order.
void AddToProbeOrder(MembershipState& state, const InstanceName& name);

// Applies an update received from another member, about itself or a third one.
// `should_gossip` says whether to send the update on.
void ApplyMemberUpdate(MembershipState& state,
                       MembershipOutput& output,
                       const Member& update,
                       bool should_gossip,
                       Time now);

// Records a status that this member detected for another, and gossips it.
void SetMemberStatus(MembershipState& state,
                     MembershipOutput& output,
                     const InstanceName& name,
                     MemberStatus status,
                     Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_MEMBER_GOSSIP_H_
