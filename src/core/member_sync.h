// Defines the anti-entropy part of the membership protocol: members fetch each
// other's whole member lists, page by page. A joining member learns the fleet
// this way, and the two sides of a healed partition find each other.

#ifndef POMELORING_CORE_MEMBER_SYNC_H_
#define POMELORING_CORE_MEMBER_SYNC_H_

#include <string_view>

#include "core/membership.h"

namespace pomeloring {

// Requests the next page of another member's list.
void SendSyncRequest(MembershipState& state,
                     MembershipOutput& output,
                     Time now);

// Sends the page of this member's list that `message` asks for.
void SendSyncReply(MembershipState& state,
                   MembershipOutput& output,
                   std::string_view address,
                   const MembershipMessage& message);

// Continues after a page that was new or newer for `changed_members` members.
void HandleSyncReply(MembershipState& state,
                     MembershipOutput& output,
                     std::string_view address,
                     const MembershipMessage& message,
                     size_t changed_members,
                     Time now);

// Starts a full sync with the sender of `message` if it knows more live members
// than this one.
void SyncIfBehind(MembershipState& state,
                  MembershipOutput& output,
                  std::string_view address,
                  const MembershipMessage& message,
                  Time now);

}  // namespace pomeloring

#endif  // POMELORING_CORE_MEMBER_SYNC_H_
