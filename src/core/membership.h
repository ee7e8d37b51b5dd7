// Defines Membership: which instances live, found out by random probes and
// spread by gossip (after SWIM), at a cost that does not grow with the fleet.

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

// One instance as others know it.
struct Member {
  InstanceName name;
  Incarnation incarnation;
  uint32_t version = 0;  // Raised by the member itself to refute a suspicion.
  MemberStatus status = MemberStatus::kAlive;
  bool leaving = false;
  std::string probe_address;   // UDP, IP:port.
  std::string link_address;    // gRPC, IP:port.
  std::string caller_address;  // HTTP, IP:port.
  FailureDomain failure_domain;
  RegionName region;
  // What it can carry for others, against others; in Mbit/s of its link.
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
  InstanceName target;  // Of kProbeRequest: whom to probe. Of kSync and
                        // kSyncReply: the last name of the list seen so far.
  bool more = false;    // Of kSyncReply: the list goes on after `target`.
  std::vector<Member> updates;
  uint32_t live_count = 0;  // Of the members that the sender takes for live.
  LogOffset config_as_of;
};

struct MembershipSettings {
  Duration probe_interval = milliseconds(500);
  Duration ack_timeout = milliseconds(150);
  Duration suspicion_timeout = seconds(2);
  Duration sync_interval = seconds(10);
  Duration dead_member_retention = seconds(3600);
  size_t indirect_probes = 3;
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

// A probe that this member makes for another.
struct RelayedProbe {
  std::string origin_address;
  uint64_t origin_sequence = 0;
  Time sent;
};

struct GossipUpdate {
  InstanceName name;
  uint32_t times_sent = 0;
};

struct MembershipState {
  MembershipSettings settings;
  Member self;
  std::vector<std::string> seeds;               // UDP addresses to start from.
  std::map<InstanceName, KnownMember> members;  // Without `self`.
  std::vector<InstanceName> probe_order;
  std::vector<GossipUpdate> gossip;
  std::optional<PendingProbe> pending_probe;
  std::map<uint64_t, RelayedProbe> relayed_probes;  // By our own sequence.
  uint64_t next_sequence = 1;
  Time next_probe;
  Time next_sync;
  Time next_expiry;
  Time last_tick;
  InstanceName sync_cursor;
  // A pass over a whole list is under way, and what it has taught so far.
  bool in_full_sync = true;
  size_t changed_in_full_sync = 0;
  Time last_change;
  Time last_catch_up;

  // Another process has this name and a later incarnation, or this
  // incarnation and another name.
  bool superseded = false;
  LogOffset config_as_of;
  uint64_t random = 1;
};

struct Datagram {
  std::string address;
  MembershipMessage message;
};

struct MembershipOutput {
  std::vector<Datagram> datagrams;
  std::vector<Member> changes;
  // Set when the sender's configuration is newer than ours.
  std::optional<Member> newer_config_source;
};

MembershipOutput TickMembership(MembershipState& state, Time now);

MembershipOutput HandleMembershipMessage(MembershipState& state,
                                         std::string_view from_address,
                                         const MembershipMessage& message,
                                         Time now);

// Tells the others that this instance takes no new duties.
MembershipOutput AdvertiseLeaving(MembershipState& state, Time now);

// Returns the members that may be given duties, `self` among them unless it is
// leaving: alive or suspect, and not leaving.
std::vector<Member> LiveMembers(const MembershipState& state);

}  // namespace pomeloring

#endif  // POMELORING_CORE_MEMBERSHIP_H_
