#include "routing/backpressure.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace pomeloring {
namespace {

// An upstream that takes no requests is asked again now and then, or nobody
// would learn that its limit has ended.
constexpr double kMinLimit = 0.1;
// Requests that may start at once after a pause, in seconds of the share.
constexpr double kBurstSeconds = 0.25;

// After a rejection; those that are on their way may be turned away as well,
// and count against the same second.
constexpr Duration kFullTime = seconds(1);
// Room grows by one request in this time.
constexpr Duration kRoomGrowthInterval = seconds(1);
// Fraction of the room that is left to requests of other instances that no
// digest has told of yet.
constexpr uint32_t kRoomMarginDivisor = 8;
// Time constant of the rate of starts, so short that a burst is seen at once.
constexpr double kRequestRateSeconds = 0.25;
// Of the loads that are known, with relays between.
constexpr double kMaxDigestAgeSeconds = 0.1;
// Other instances may start more than this one.
constexpr double kBurstFactor = 2;

double RequestRateAt(const RequestRate& rate, Time now) {
  const std::chrono::duration<double> elapsed = now - rate.updated_at;
  return rate.per_s * std::exp(-elapsed.count() / kRequestRateSeconds);
}

double BurstOf(double share) {
  return std::max(1.0, kBurstSeconds * share);
}

double TokensAt(const Backpressure& backpressure, Time now) {
  const double elapsed_s = std::max(
      0.0, std::chrono::duration<double>(now - backpressure.tokens_updated_at)
               .count());
  return std::min(BurstOf(backpressure.share),
                  backpressure.tokens + backpressure.share * elapsed_s);
}

// A new limit begins without saved requests: those that were sent before it was
// named have only just arrived.
bool SetLimit(Backpressure& backpressure, std::optional<double> limit) {
  if (!backpressure.limit) {
    backpressure.share = 0;
    backpressure.tokens = 0;
  }
  return std::exchange(backpressure.limit, limit) != limit;
}

// An upstream that leaves never takes it back: neither a reply that was made
// before nor a peer that has not heard of it makes it usable again.
bool SetLeaving(Backpressure& backpressure, bool is_leaving) {
  const bool was_leaving = backpressure.is_leaving;
  backpressure.is_leaving |= is_leaving;
  return backpressure.is_leaving != was_leaving;
}

// Takes over a peer's rejection that this instance has not heard of.
void ApplyRoom(Backpressure& backpressure,
               const UpstreamNotice& notice,
               Time now) {
  const Time full_until = now + std::min(notice.full_for, kFullTime);
  if (!backpressure.max_rejections || notice.full_for <= Duration{0} ||
      full_until <= backpressure.full_until) {
    return;
  }
  backpressure.full_until = full_until;
  if (notice.room > 0 &&
      (backpressure.room == 0 || notice.room < backpressure.room)) {
    backpressure.room = notice.room;
    backpressure.room_changed_at = now;
  }
}

bool SetMaxRejections(Backpressure& backpressure,
                      std::optional<uint32_t> max_rejections) {
  if (!max_rejections) {
    backpressure.room = 0;
    backpressure.full_until = {};
  }
  return std::exchange(backpressure.max_rejections, max_rejections) !=
         max_rejections;
}

}  // namespace

BackpressureChange RecordReply(Backpressure& backpressure,
                               const ReplySignals& signals,
                               Time sent_at,
                               Time now) {
  BackpressureChange change;
  change.leaving = SetLeaving(backpressure, signals.is_leaving);
  if (signals.pause) {
    // Replies overtake each other: a shorter pause that arrives later may have
    // been asked for before.
    const Time until = now + *signals.pause;
    change.pause = until > backpressure.paused_until;
    backpressure.paused_until = std::max(backpressure.paused_until, until);
  }
  if (signals.request_limit) {
    backpressure.limit_heard_at = now;
  }
  const bool may_end_limit =
      backpressure.limit && sent_at > backpressure.limit_heard_at;
  if (signals.request_limit || may_end_limit) {
    change.limit = SetLimit(backpressure, signals.request_limit);
    backpressure.limit_revision += change.limit ? 1 : 0;
  }
  if (signals.max_rejections) {
    backpressure.room_heard_at = now;
  }
  const bool may_end_room = backpressure.max_rejections &&
                            !signals.has_unreadable_rejections &&
                            sent_at > backpressure.room_heard_at;
  if (signals.max_rejections || may_end_room) {
    change.room = SetMaxRejections(backpressure, signals.max_rejections);
    backpressure.room_revision += change.room ? 1 : 0;
  }
  return change;
}

// Two instances may observe different changes at the same time and give them
// the same revision. The lower limit wins then, so that all agree on one.
BackpressureChange ApplyNotice(Backpressure& backpressure,
                               const UpstreamNotice& notice,
                               Time now) {
  BackpressureChange change;
  change.leaving = SetLeaving(backpressure, notice.is_leaving);
  const bool is_lower =
      notice.request_limit &&
      (!backpressure.limit || *notice.request_limit < *backpressure.limit);
  if (notice.limit_revision > backpressure.limit_revision ||
      (notice.limit_revision == backpressure.limit_revision && is_lower)) {
    backpressure.limit_revision = notice.limit_revision;
    backpressure.limit_heard_at = now;
    change.limit = SetLimit(backpressure, notice.request_limit);
  }
  const bool is_stricter =
      notice.max_rejections &&
      (!backpressure.max_rejections ||
       *notice.max_rejections < *backpressure.max_rejections);
  if (notice.room_revision > backpressure.room_revision ||
      (notice.room_revision == backpressure.room_revision && is_stricter)) {
    backpressure.room_revision = notice.room_revision;
    backpressure.room_heard_at = now;
    change.room = SetMaxRejections(backpressure, notice.max_rejections);
  }
  ApplyRoom(backpressure, notice, now);
  return change;
}

bool NeedsNotice(const Backpressure& backpressure) {
  return backpressure.is_leaving || backpressure.limit_revision > 0 ||
         backpressure.room_revision > 0;
}

bool IsInForce(const Backpressure& backpressure, Time now) {
  return NeedsNotice(backpressure) || now < backpressure.paused_until;
}

size_t RankAmong(uint64_t upstream_hash,
                 uint32_t self,
                 const std::set<uint32_t>& others) {
  const auto weight = [&](uint32_t instance) {
    uint64_t seed = upstream_hash ^ (uint64_t{instance} << 32 | instance);
    return NextRandom(seed);
  };
  const uint64_t own_weight = weight(self);
  return static_cast<size_t>(std::count_if(
      others.begin(), others.end(),
      [&](uint32_t other) { return weight(other) > own_weight; }));
}

// The limit is divided among as many instances as requests a second, chosen by
// rendezvous hashing. Divided among all, each of hundreds of instances would
// start its one request at the same moment. While views of who is alive differ
// for a moment, the first in the order are still the same for most.
double ShareOfLimit(double limit,
                    uint64_t upstream_hash,
                    uint32_t self,
                    const std::set<uint32_t>& others) {
  const double total = std::max(limit, kMinLimit);
  const auto holders = static_cast<size_t>(std::clamp(
      std::floor(total), 1.0, static_cast<double>(others.size() + 1)));
  const size_t ahead = RankAmong(upstream_hash, self, others);
  return ahead < holders ? total / static_cast<double>(holders) : 0;
}

void SetShare(Backpressure& backpressure, double share, Time now) {
  backpressure.tokens = TokensAt(backpressure, now);
  backpressure.tokens_updated_at = now;
  backpressure.share = share;
  backpressure.tokens = std::min(backpressure.tokens, BurstOf(share));
}

std::optional<Duration> TimeUntilStart(const Backpressure& backpressure,
                                       Time now) {
  const Duration pause = std::max(Duration{0}, backpressure.paused_until - now);
  if (!backpressure.limit) {
    return pause;
  }
  if (backpressure.share <= 0) {
    return std::nullopt;
  }
  const double missing = 1 - TokensAt(backpressure, now);
  return std::max(pause,
                  Duration{static_cast<int64_t>(std::ceil(
                      std::max(0.0, missing) / backpressure.share * 1e6))});
}

void RecordRejection(Backpressure& backpressure, uint32_t running, Time now) {
  if (!backpressure.max_rejections) {
    return;
  }
  const uint32_t room = std::max(1U, running - std::min(running, 1U));
  backpressure.room =
      backpressure.room == 0 ? room : std::min(room, backpressure.room);
  backpressure.room_changed_at = now;
  backpressure.full_until = now + kFullTime;
}

void RecordRequest(RequestRate& rate, Time now) {
  rate.per_s = RequestRateAt(rate, now) + 1 / kRequestRateSeconds;
  rate.updated_at = now;
}

double UnseenStarts(const RequestRate& rate,
                    size_t instances,
                    size_t upstreams,
                    Time now) {
  return kBurstFactor * RequestRateAt(rate, now) *
         static_cast<double>(instances) /
         static_cast<double>(std::max<size_t>(1, upstreams)) *
         kMaxDigestAgeSeconds;
}

uint32_t ShareOfRoom(uint32_t room, size_t rank, size_t instances) {
  const auto whole = static_cast<uint32_t>(room / instances);
  return whole + (rank < room % instances ? 1 : 0);
}

// Requests that wait at the upstream are those that it may turn away: without
// a rejection to learn from, it gets what it can run at once. Short requests
// come and go between two digests. What other instances have started since the
// last one is estimated by what this one has; where that may fill the upstream,
// each instance keeps to its share.
bool HasRoom(const Backpressure& backpressure,
             uint32_t slots,
             KnownLoad running,
             Time now) {
  if (!backpressure.max_rejections) {
    return true;
  }
  if (now < backpressure.full_until) {
    return false;
  }
  const uint32_t most = std::max(1U, slots - slots / kRoomMarginDivisor);
  const auto grown = static_cast<uint32_t>(
      (now - backpressure.room_changed_at) / kRoomGrowthInterval);
  const uint32_t room =
      backpressure.room == 0 ? most : std::min(most, backpressure.room + grown);
  if (running.local <
      ShareOfRoom(room, backpressure.rank, backpressure.instances)) {
    return true;
  }
  return running.total + running.unseen + 1 <= room;
}

void RecordStart(Backpressure& backpressure, Time now) {
  backpressure.tokens = TokensAt(backpressure, now) - 1;
  backpressure.tokens_updated_at = now;
}

}  // namespace pomeloring
