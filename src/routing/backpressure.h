// Defines Backpressure: what an upstream asks of all instances in its replies,
// and what this instance may send it then.

#ifndef POMELORING_ROUTING_BACKPRESSURE_H_
#define POMELORING_ROUTING_BACKPRESSURE_H_

#include <cstdint>
#include <optional>
#include <set>

#include "core/ids.h"

namespace pomeloring {

// What one reply of an upstream says.
struct ReplySignals {
  // Requests a second that it takes from all instances together.
  std::optional<double> request_limit;
  bool is_leaving = false;
  // It has turned the request away and wants nothing from this instance for so
  // long.
  std::optional<Duration> pause;
  // It fails if it has to turn away more requests than this in a second for
  // want of room. Its room may shrink meanwhile.
  std::optional<uint32_t> max_rejections;
  // It says so, but not readably: what it has said before still holds.
  bool has_unreadable_rejections = false;
  bool is_rejection = false;  // It has turned the request away.
};

// What instances tell each other of an upstream.
struct UpstreamNotice {
  UpstreamName upstream;
  int64_t started_at_ms = 0;  // Of the process; see UpstreamRecord.
  bool is_leaving = false;
  // A higher revision is newer.
  uint64_t limit_revision = 0;
  std::optional<double> request_limit;  // Nothing: the limit has ended.
  uint64_t room_revision = 0;
  std::optional<uint32_t> max_rejections;  // Nothing: room no longer matters.
  uint32_t room = 0;
  Duration full_for{0};  // The rest of Backpressure::full_until.
};

// Which parts have changed.
struct BackpressureChange {
  bool limit = false;
  bool leaving = false;
  bool pause = false;
  bool room = false;
};

// Belongs to one process of the upstream: a new one under the same name starts
// without.
struct Backpressure {
  // The upstream accepts no new requests; set for good.
  bool is_leaving = false;
  Time paused_until;            // For this instance alone.
  std::optional<double> limit;  // In requests a second, for all instances.
  uint64_t limit_revision = 0;  // 0: the upstream has never named a limit.
  Time limit_heard_at;          // From the upstream or a peer.
  double share = 0;             // Of `limit`, for this instance.
  double tokens = 0;            // Requests that may start now.
  Time tokens_updated_at;
  // Set while rejections may make the upstream fail; see ReplySignals.
  std::optional<uint32_t> max_rejections;
  uint64_t room_revision = 0;  // As `limit_revision`.
  Time room_heard_at;
  // Requests of all instances that it was last known to have room for; 0: as
  // many as it runs at the same time.
  uint32_t room = 0;
  Time room_changed_at;
  Time full_until;  // It has turned a request away.
  // This instance's place among all that serve, and their number; see
  // ShareOfRoom().
  size_t rank = 0;
  size_t instances = 1;
};

// Requests a second that have come to this instance lately, of one service.
struct RequestRate {
  double per_s = 0;
  Time updated_at;
};

// The load of an upstream, as far as this instance knows it.
struct KnownLoad {
  uint32_t local = 0;
  uint32_t total = 0;  // By digests for other instances.
  double unseen = 0;   // See UnseenStarts().
};

// Records what a reply says. `sent_at` is when its request was placed: replies
// overtake each other, and one to a request from before the limit was named
// does not end it.
BackpressureChange RecordReply(Backpressure& backpressure,
                               const ReplySignals& signals,
                               Time sent_at,
                               Time now);

// Applies a peer's notice, as far as it is newer.
BackpressureChange ApplyNotice(Backpressure& backpressure,
                               const UpstreamNotice& notice,
                               Time now);

// Returns whether peers need a notice of this upstream.
bool NeedsNotice(const Backpressure& backpressure);

// Returns whether the upstream asks for anything at `now`.
bool IsInForce(const Backpressure& backpressure, Time now);

// Returns the requests a second that the instance `self` may send to an
// upstream with the limit `limit`. `self` and `others` are the ShortHash() of
// instances.
double ShareOfLimit(double limit,
                    uint64_t upstream_hash,
                    uint32_t self,
                    const std::set<uint32_t>& others);

// Sets this instance's share, which applies from now on.
void SetShare(Backpressure& backpressure, double share, Time now);

// Returns how long the upstream must not get a request; 0 if it may get one
// now, and nothing if this instance has no share of its limit.
std::optional<Duration> TimeUntilStart(const Backpressure& backpressure,
                                       Time now);

// Records that the upstream has turned away a request when `running` requests
// of all instances were there.
void RecordRejection(Backpressure& backpressure, uint32_t running, Time now);

// Returns whether an upstream that runs `slots` requests at the same time, of
// which `running` are known, may get another one. Always so unless rejections
// matter.
bool HasRoom(const Backpressure& backpressure,
             uint32_t slots,
             KnownLoad running,
             Time now);

void RecordRequest(RequestRate& rate, Time now);

// Returns how many requests other instances have started at each of `upstreams`
// since the digests that are known, if as many come to each as to this one.
double UnseenStarts(const RequestRate& rate,
                    size_t instances,
                    size_t upstreams,
                    Time now);

// Returns how many requests the instance that comes at `rank` of `instances` by
// rendezvous hashing may have at an upstream with room for `room`, whatever the
// others do.
uint32_t ShareOfRoom(uint32_t room, size_t rank, size_t instances);

// Returns the place of `self` among `others` by rendezvous hashing.
size_t RankAmong(uint64_t upstream_hash,
                 uint32_t self,
                 const std::set<uint32_t>& others);

// Records the start of a request.
void RecordStart(Backpressure& backpressure, Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_BACKPRESSURE_H_
