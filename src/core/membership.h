// Defines the membership protocol, after SWIM: failure detection by randomized
// probes, and dissemination by gossip. The load per member does not grow with
// the size of the fleet.

#ifndef POMELORING_CORE_MEMBERSHIP_H_
#define POMELORING_CORE_MEMBERSHIP_H_

#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

enum class MemberStatus { kAlive, kSuspect, kDead, kLeft };

std::string_view ToString(MemberStatus status);

// An instance as known to others.
struct Member {
  InstanceName name;
  Incarnation incarnation;
  // Incremented by the member itself to supersede older updates, such as a
  // suspicion that it refutes.
  uint32_t version = 0;
  MemberStatus status = MemberStatus::kAlive;
  bool leaving = false;        // Takes no new duties; see AdvertiseLeaving().
  std::string probe_address;   // UDP, IP:port.
  std::string link_address;    // gRPC, IP:port.
  std::string caller_address;  // HTTP, IP:port.
  FailureDomain failure_domain;
  RegionName region;
  // Relative capacity to relay for others: its link bandwidth in Mbit/s.
  uint32_t relay_capacity = 0;
  auto operator<=>(const Member&) const = default;
};

enum class MembershipMessageKind {
  kProbe,
  kProbeRequest,
  kAck,
  kSync,
  kSyncReply
};

// One datagram between members.
struct MembershipMessage {
  MembershipMessageKind kind = MembershipMessageKind::kProbe;
  uint64_t sequence = 0;
  Member sender;
  // kProbeRequest: the member to probe. kSync: the last name already received,
  // empty to start. kSyncReply: the last name sent so far.
  InstanceName target;
  bool more = false;  // kSyncReply: the list continues after `target`.
  std::vector<Member> updates;
  uint32_t live_count = 0;  // Members that the sender considers live.
  LogOffset config_as_of;   // Of the sender's configuration in force.
};

struct MembershipSettings {
  Duration probe_interval = milliseconds(500);
  Duration ack_timeout = milliseconds(150);
  Duration suspicion_timeout = seconds(2);  // From suspect to dead.
  Duration sync_interval = seconds(10);
  Duration dead_member_retention = seconds(3600);
  size_t indirect_probes = 3;  // Members asked to probe one that did not ack.
  size_t updates_per_message = 6;
  size_t members_per_sync = 10;
};

struct KnownMember {
  Member member;
  Time status_since;
};

struct PendingProbe {
  InstanceName target;
  uint64_t sequence = 0;
  Time sent;
  bool indirect = false;
};

// A probe sent on behalf of another member.
struct RelayedProbe {
  std::string origin_address;
  uint64_t origin_sequence = 0;
  Time sent;
};

// A queued update; the member's state is looked up when it is sent.
struct GossipUpdate {
  InstanceName name;
  uint32_t times_sent = 0;
};

struct MembershipState {
  MembershipSettings settings;
  Member self;
  std::vector<std::string> seeds;               // UDP addresses for joining.
  std::map<InstanceName, KnownMember> members;  // Without `self`.
  std::vector<InstanceName> probe_order;  // Rest of the round, from the back.
  std::vector<GossipUpdate> gossip;
  std::optional<PendingProbe> pending_probe;
  std::map<uint64_t, RelayedProbe> relayed_probes;  // By local sequence.
  uint64_t next_sequence = 1;
  Time next_probe;
  Time next_sync;
  Time next_expiry;
  Time last_tick;
  InstanceName sync_cursor;  // The last name received; empty at the start.
  // Whether a full sync is in progress, and how many members it has changed.
  bool in_full_sync = true;
  size_t changed_in_full_sync = 0;
  Time last_change;    // When an update was last applied.
  Time last_catch_up;  // When SyncIfBehind() last requested a page.

  // Another process has the same name and a later incarnation, or the same
  // incarnation and a smaller name. This one must stop.
  bool superseded = false;
  LogOffset config_as_of;
  uint64_t random = 1;  // State of the random number generator.
};

struct Datagram {
  std::string address;
  MembershipMessage message;
};

struct MembershipOutput {
  std::vector<Datagram> datagrams;
  std::vector<Member> changes;  // Members whose known state changed.
  // The sender, if its configuration is newer than this member's.
  std::optional<Member> newer_config_source;
};

// Sends probes and sync requests when they are due, and updates the status of
// members whose timeouts have passed.
MembershipOutput TickMembership(MembershipState& state, Time now);

// Applies the updates in the message and replies to it.
MembershipOutput HandleMembershipMessage(MembershipState& state,
                                         std::string_view from_address,
                                         const MembershipMessage& message,
                                         Time now);

// Marks `self` as leaving and advertises it: this instance takes no new duties.
MembershipOutput AdvertiseLeaving(MembershipState& state, Time now);

// Returns the members that may be given duties: those that are alive or suspect
// and not leaving, `self` included.
std::vector<Member> LiveMembers(const MembershipState& state);

}  // namespace pomeloring

#endif  // POMELORING_CORE_MEMBERSHIP_H_
