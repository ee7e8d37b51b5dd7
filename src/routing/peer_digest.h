// Defines PeerDigest: the state that an instance sends to its peers many times
// a second, so that each can place requests with the load of all in view.

#ifndef POMELORING_ROUTING_PEER_DIGEST_H_
#define POMELORING_ROUTING_PEER_DIGEST_H_

#include <utility>
#include <vector>

#include "admission/account_shares.h"
#include "core/ids.h"
#include "duties/duty_notice.h"
#include "flows/domain_flows.h"
#include "routing/exit_notice.h"
#include "routing/request_quarantine.h"
#include "routing/service_backlog.h"
#include "routing/upstream_state.h"
#include "speeds/upstream_speed.h"

namespace pomeloring {

// The instances whose load the `loads` of a digest hold.
enum class DigestScope {
  kLocal,  // The sender.
  kGroup,  // The sender and the instances that it relays for.
  kAll,    // All instances except the receiver.
};

// A short hash of a name, for digests that list many.
uint32_t ShortHash(const InstanceName& name);
uint32_t ShortUpstreamHash(const UpstreamName& name);

// A digest holds the complete state of its sender except for `cached_parts` and
// `speeds`, which have only what was added since the previous digest, and for
// `loads` if
// `changed_loads_only` is set.
struct PeerDigest {
  InstanceName sender;
  Incarnation incarnation;
  // Increases with each digest; receivers drop digests that are out of order.
  uint64_t sequence = 0;
  bool ready = false;
  bool leaving = false;
  uint64_t config_version = 0;
  LogOffset upstreams_as_of;
  uint64_t upstreams_hash = 0;  // See UpstreamTable::hash.
  // Whether the store itself has recently answered the sender or, for kAll, any
  // peer of the sender other than the receiver.
  bool reads_store = false;
  // `loads` lists only the upstreams whose load has changed. Loads that have
  // ended are listed as zero.
  bool changed_loads_only = false;
  std::vector<std::pair<UpstreamName, UpstreamLoad>> loads;
  std::vector<std::pair<UpstreamName, uint64_t>> cached_parts;
  DigestScope scope = DigestScope::kLocal;
  // For kLocal: the relay that forwards this digest's content; empty if the
  // digest is sent to all peers directly.
  InstanceName relayed_by;
  // Other instances that serve callers, by ShortHash().
  std::vector<uint32_t> serving;
  // Upstreams to which the sender has lost its own path, by
  // ShortUpstreamHash().
  std::vector<uint32_t> lost_upstreams;
  // Whether the sender has lost most upstreams of a service that peers reach,
  // and the other instances that have, by ShortHash().
  bool is_cut_off = false;
  std::vector<uint32_t> cut_off;
  // What all upstreams with any Backpressure ask, as far as the sender knows.
  std::vector<UpstreamNotice> notices;
  // Of all upstreams that the sender takes for exited.
  std::vector<ExitNotice> exits;
  // What is known against traits of requests; not all of it each time.
  std::vector<TraitNotice> trait_notices;
  // The newest record of the duties that the sender knows of.
  DutyNotice duties;
  // Of the same instances as `loads`, always whole.
  ServiceBacklogs backlogs;
  // Only where speeds are shared.
  std::vector<SpeedObservation> speeds;
  // As `backlogs`; empty unless flows between failure domains are controlled.
  FlowDigest flows;
  // Of the same instances as `loads`, always whole: at most
  // kMaxReportedAccounts accounts, and the others together.
  ServiceAccountWork account_work;
};

// Splits a digest with many loads into several that fit into a datagram each.
// The first keeps the cached parts and all notices; the others list the
// remaining loads as changes.
std::vector<PeerDigest> SplitDigest(PeerDigest digest);
// Sequence numbers reserved for the pieces of one digest.
inline constexpr uint64_t kSequenceStep = 256;

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_PEER_DIGEST_H_
