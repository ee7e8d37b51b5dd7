// Defines how members compare whole lists of members, part by part: how one
// that joins comes to know the fleet, and two sides of a partition each other.

#ifndef POMELORING_CORE_MEMBER_LISTS_H_
#define POMELORING_CORE_MEMBER_LISTS_H_

#include <string_view>

#include "core/membership.h"

namespace pomeloring {

// Asks another member for the next part of its list.
void SendSyncRequest(MembershipState& state,
                     MembershipOutput& output,
                     Time now);

// Sends the part of the own list that `message` asks for.
void SendSyncReply(MembershipState& state,
                   MembershipOutput& output,
                   std::string_view address,
                   const MembershipMessage& message);

// Goes on after a part that taught `learnt` members.
void HandleSyncReply(MembershipState& state,
                     MembershipOutput& output,
                     std::string_view address,
                     const MembershipMessage& message,
                     size_t changed_members,
                     Time now);

// Begins to walk the list of a sender that knows more members.
void SyncIfBehind(MembershipState& state,
                  MembershipOutput& output,
                  std::string_view address,
                  const MembershipMessage& message,
                  Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_MEMBER_LISTS_H_
