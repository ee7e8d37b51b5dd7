#include "duties/duty_lease.h"

#include <algorithm>

namespace pomeloring {
namespace {

// The fraction of the lease by which its holder stops before others may count
// it as expired, and by which they wait longer. Clocks of two machines differ
// by far less within one lease; it also covers the way of a call to the API.
constexpr int64_t kMarginDivisor = 20;
// Renewals in a lease, so that two may fail.
constexpr int64_t kRenewalsPerLease = 3;
// More than an append and its way to the next candidate take, so that
// candidates rarely claim at once.
constexpr Duration kRankDelay = milliseconds(250);
// Candidates that follow the log: one could be lost together with the holder.
// The others learn from digests alone and cost no calls.
constexpr size_t kFollowers = 2;
// Of one read by a follower.
constexpr Duration kFollowWait = milliseconds(1000);
// Of the holder, until it repeats an append that was refused.
constexpr Duration kRefusedRetryDelay = milliseconds(200);
// A claim needs a read to the end that is not older than this, or it would
// most likely fail.
constexpr Duration kMaxEndAge = milliseconds(500);

Duration Margin(const DutyLease& lease) {
  return lease.settings.lease / kMarginDivisor;
}

Duration RenewalInterval(const DutyLease& lease) {
  return lease.settings.lease / kRenewalsPerLease;
}

LogOffset After(LogOffset position) {
  return {position.value + 1};
}

void Lose(DutyLease& lease, DutyLoss reason) {
  if (lease.token) {
    lease.token.reset();
    lease.acted_until = std::max(lease.acted_until, lease.lease_end);
    lease.last_loss = reason;
  }
}

// Whoever holds the lease may have renewed it in the records that are missing.
void RecordGap(DutyLease& lease, Time now) {
  lease.learned_at = now;
  lease.is_released = false;
  Lose(lease, DutyLoss::kLogRestored);
}

// The lease runs from the time before the append was sent: others cannot have
// learned of the record earlier.
void Acknowledge(DutyLease& lease, const PendingAppend& append) {
  lease.acknowledged_id = append.id;
  switch (append.kind) {
    case DutyRecordKind::kClaim:
      lease.token = append.at;
      lease.lease_end = append.sent_at + lease.settings.lease - Margin(lease);
      break;
    case DutyRecordKind::kRelease:
      Lose(lease, DutyLoss::kReleased);
      break;
    case DutyRecordKind::kRenewal:
    case DutyRecordKind::kDecision:
      if (lease.token == append.token) {
        lease.lease_end =
            std::max(lease.lease_end,
                     append.sent_at + lease.settings.lease - Margin(lease));
      }
      break;
  }
}

// Appends that required an earlier end can no longer be executed.
void DropSettledAppends(DutyLease& lease) {
  std::erase_if(lease.pending, [&](const PendingAppend& append) {
    return append.at < lease.next;
  });
}

void LearnRecord(DutyLease& lease, const DutyRecord& record, Time now) {
  lease.newest = record.at;
  lease.holder = record.holder;
  if (!lease.noticed || record.at > *lease.noticed) {
    lease.learned_at = now;
  }
  lease.is_release_noticed = false;
}

void ApplyRecord(DutyLease& lease,
                 const PositionedDutyRecord& entry,
                 Time now) {
  lease.next = After(entry.position);
  if (!entry.record) {
    // Possibly a later format, of a holder that runs a later version.
    lease.learned_at = now;
    lease.is_released = false;
    return;
  }
  const DutyRecord& record = *entry.record;
  // A record of an earlier era, restored with the log or appended since by an
  // instance that did not know of the restore: its append does not count, and
  // its sender rejects it as well.
  if (record.at > entry.position ||
      (lease.newest && record.at <= *lease.newest)) {
    return;
  }
  const bool is_exact = record.at == entry.position;
  LearnRecord(lease, record, now);
  lease.is_released = is_exact && record.kind == DutyRecordKind::kRelease;
  if (record.holder != lease.settings.self ||
      record.process != lease.settings.process) {
    Lose(lease, DutyLoss::kOtherClaim);
    return;
  }
  const auto append = std::find_if(
      lease.pending.begin(), lease.pending.end(),
      [&](const PendingAppend& sent) { return sent.id == record.append_id; });
  if (append != lease.pending.end() && is_exact) {
    Acknowledge(lease, *append);
  }
}

Time ClaimDueAt(const DutyLease& lease, size_t rank) {
  const Duration wait = lease.is_released || lease.is_release_noticed
                            ? Duration{0}
                            : lease.settings.lease + Margin(lease);
  // Calls of this instance's last process, and its own as an earlier holder,
  // must be older than a lease when it acts again: another may have held the
  // duties in between.
  return std::max({lease.learned_at + wait,
                   lease.started_at + lease.settings.lease,
                   lease.acted_until + lease.settings.lease}) +
         static_cast<int64_t>(rank) * kRankDelay;
}

DutyStep NextCandidateStep(const DutyLease& lease, size_t rank, Time now) {
  if (lease.is_leaving) {
    return {DutyStepKind::kWait, RenewalInterval(lease)};
  }
  const bool is_follower = rank < kFollowers;
  if (lease.must_read || (is_follower && !lease.has_read)) {
    return {DutyStepKind::kRead, Duration{0}};
  }
  const Time due_at = ClaimDueAt(lease, rank);
  if (now < due_at) {
    return {is_follower ? DutyStepKind::kRead : DutyStepKind::kWait,
            std::min(kFollowWait, due_at - now)};
  }
  const bool is_end_known = lease.has_read &&
                            lease.at_end_at >= lease.learned_at &&
                            now - lease.at_end_at <= kMaxEndAge;
  return {is_end_known ? DutyStepKind::kClaim : DutyStepKind::kRead,
          Duration{0}};
}

}  // namespace

DutyLease MakeDutyLease(DutyLeaseSettings settings, Time now) {
  DutyLease lease;
  lease.settings = std::move(settings);
  lease.started_at = now;
  lease.learned_at = now;
  return lease;
}

namespace {

bool ComesBefore(const DutyCandidate& a, const DutyCandidate& b) {
  return a.link_capacity != b.link_capacity ? a.link_capacity > b.link_capacity
                                            : a.name < b.name;
}

}  // namespace

std::vector<InstanceName> HolderAndStandby(std::span<const DutyCandidate> live,
                                           const InstanceName& holder) {
  std::vector<InstanceName> receivers;
  if (!holder.value.empty()) {
    receivers.push_back(holder);
  }
  const DutyCandidate* standby = nullptr;
  for (const DutyCandidate& candidate : live) {
    if (candidate.name != holder &&
        (standby == nullptr || ComesBefore(candidate, *standby))) {
      standby = &candidate;
    }
  }
  if (standby != nullptr) {
    receivers.push_back(standby->name);
  }
  return receivers;
}

size_t RankCandidate(std::span<const DutyCandidate> live,
                     const InstanceName& self,
                     const InstanceName& holder) {
  const auto own =
      std::find_if(live.begin(), live.end(),
                   [&](const auto& other) { return other.name == self; });
  const DutyCandidate self_candidate =
      own == live.end() ? DutyCandidate{self, 0} : *own;
  return static_cast<size_t>(
      std::count_if(live.begin(), live.end(), [&](const auto& other) {
        return other.name != self && other.name != holder &&
               ComesBefore(other, self_candidate);
      }));
}

DutyStep NextDutyStep(const DutyLease& lease, size_t rank, Time now) {
  if (!lease.token) {
    return NextCandidateStep(lease, rank, now);
  }
  if (lease.must_read) {
    return {DutyStepKind::kRead, Duration{0}};
  }
  const Time due_at = lease.renewed_at + RenewalInterval(lease);
  return now < due_at ? DutyStep{DutyStepKind::kWait, due_at - now}
                      : DutyStep{DutyStepKind::kRenew, Duration{0}};
}

bool HoldsLease(const DutyLease& lease, Time time) {
  return lease.token && time <= lease.lease_end && !lease.is_leaving;
}

bool MayAct(const DutyLease& lease, Duration call_timeout, Time now) {
  return HoldsLease(lease, now + call_timeout);
}

LogOffset NextDutyRead(const DutyLease& lease) {
  return std::max(lease.next, lease.noticed.value_or(LogOffset{}));
}

void ApplyDutyPage(DutyLease& lease,
                   LogOffset from,
                   std::span<const PositionedDutyRecord> records,
                   LogOffset end,
                   Time now) {
  const LogOffset first = records.empty() ? end : records.front().position;
  const bool is_noticed = from == lease.noticed;
  if (first != from || (!lease.has_read && !is_noticed)) {
    RecordGap(lease, now);
    // A position from a peer that the log does not have must not be read again.
    lease.noticed.reset();
    lease.next = records.empty() ? end : lease.next;
  }
  lease.has_read = true;
  for (const PositionedDutyRecord& entry : records) {
    ApplyRecord(lease, entry, now);
  }
  if (lease.next == end) {
    lease.at_end_at = now;
    lease.must_read = false;
    lease.is_release_noticed = false;
  }
  DropSettledAppends(lease);
}

void ApplyDutyGap(DutyLease& lease, LogOffset first_retained, Time now) {
  RecordGap(lease, now);
  lease.noticed.reset();
  lease.next = first_retained;
  lease.has_read = true;
  DropSettledAppends(lease);
}

void ApplyDutyNotice(DutyLease& lease, const DutyNotice& notice, Time now) {
  if (notice.position.value == 0 ||
      (lease.noticed && notice.position <= *lease.noticed) ||
      (lease.newest && notice.position <= *lease.newest)) {
    return;
  }
  lease.noticed = notice.position;
  lease.holder = notice.holder;
  lease.learned_at = now;
  lease.is_released = false;
  lease.is_release_noticed = notice.is_released;
}

DutyNotice MakeDutyNotice(const DutyLease& lease) {
  if (!lease.newest) {
    return {};
  }
  return {*lease.newest, lease.holder, lease.is_released};
}

DutyRecord BeginDutyAppend(DutyLease& lease, DutyRecordKind kind, Time now) {
  if (kind == DutyRecordKind::kClaim) {
    lease.last_holder = lease.holder;
  }
  DutyRecord record;
  record.kind = kind;
  record.holder = lease.settings.self;
  record.process = lease.settings.process;
  record.at = lease.next;
  record.token = lease.token.value_or(lease.next);
  record.append_id = lease.next_append_id++;
  lease.renewed_at = now;
  lease.pending.push_back(
      {record.append_id, kind, record.at, record.token, now});
  return record;
}

bool EndDutyAppend(DutyLease& lease,
                   const DutyRecord& record,
                   const DutyAppendResult& result,
                   Time now) {
  const auto append = std::find_if(
      lease.pending.begin(), lease.pending.end(),
      [&](const PendingAppend& sent) { return sent.id == record.append_id; });
  if (append == lease.pending.end()) {
    return false;
  }
  if (const auto* appended = std::get_if<DutyAppended>(&result)) {
    if (appended->position != record.at || lease.next != record.at) {
      // The condition held in a log that was restored from another copy.
      lease.pending.erase(append);
      RecordGap(lease, now);
      lease.must_read = true;
      return false;
    }
    const PendingAppend acknowledged = *append;
    lease.next = After(record.at);
    lease.at_end_at = now;
    LearnRecord(lease, record, now);
    lease.is_released = record.kind == DutyRecordKind::kRelease;
    Acknowledge(lease, acknowledged);
    DropSettledAppends(lease);
    return true;
  }
  if (std::holds_alternative<DutyAppendUnanswered>(result)) {
    lease.must_read = true;
    return false;
  }
  lease.pending.erase(append);
  if (std::holds_alternative<DutyEndDiffers>(result)) {
    lease.must_read = true;
  } else if (now <= lease.lease_end) {
    lease.renewed_at = now - RenewalInterval(lease) + kRefusedRetryDelay;
  }
  return false;
}

void LeaveDuties(DutyLease& lease) {
  lease.is_leaving = true;
}

}  // namespace pomeloring
