// Defines DutyLease: what an instance knows about the lease of the duties, and
// decides when to read the log, to claim and to renew the lease, and whether
// the instance may act as its holder. See docs/design/duties.md.

#ifndef POMELORING_DUTIES_DUTY_LEASE_H_
#define POMELORING_DUTIES_DUTY_LEASE_H_

#include <optional>
#include <span>
#include <variant>
#include <vector>

#include "duties/duty_notice.h"
#include "duties/duty_record.h"

namespace pomeloring {

// All times are of a clock that counts suspension.

struct DutyLeaseSettings {
  InstanceName self;
  Incarnation process;
  Duration lease = seconds(3);
};

// An append of this instance whose end is not known.
struct PendingAppend {
  uint64_t id = 0;
  DutyRecordKind kind = DutyRecordKind::kClaim;
  LogOffset at;
  LogOffset token;
  Time sent_at;
};

// Why an instance stopped to hold the lease.
enum class DutyLoss { kNone, kOtherClaim, kLogRestored, kReleased };

struct DutyLease {
  DutyLeaseSettings settings;
  Time started_at;

  // What is known of the log. Positions of restored records precede those of
  // records written after the restore, whatever their offset.
  LogOffset next;  // Position after the last record that was read.
  std::optional<LogOffset> newest;   // Of the newest record: its `at`.
  std::optional<LogOffset> noticed;  // The newest that peers have told of.
  InstanceName holder;    // Of the newest record or notice; empty: none known.
  Time learned_at;        // Of it, or of a restore or gap.
  bool has_read = false;  // Any page.
  Time at_end_at;         // When a read last found no record at `next`.
  // The newest record is a release, read in the era in which it was written.
  bool is_released = false;
  bool is_release_noticed = false;  // By a peer; to be confirmed by a read.

  // This instance's own.
  std::optional<LogOffset> token;  // While no later claim is known.
  Time lease_end;                  // May be past while `token` is set.
  Time renewed_at;                 // When its last append was sent.
  Time acted_until;                // Latest end of a lease that was lost.
  bool must_read = false;          // Whether an append's result has to be read.
  bool is_leaving = false;
  DutyLoss last_loss = DutyLoss::kNone;
  InstanceName last_holder;  // When it claimed last.
  std::vector<PendingAppend> pending;
  uint64_t next_append_id = 1;
  uint64_t acknowledged_id = 0;  // The last one known to be in the log.
};

// What an instance that gains the lease knows of the time before.
struct DutyTakeOver {
  InstanceName self;
  InstanceName last_holder;  // Empty: none is known.
  // Records may have been lost in a restore of the log, or expired.
  bool may_lack_records = false;
};

struct PositionedDutyRecord {
  LogOffset position;
  std::optional<DutyRecord> record;  // Nothing if it can't be read.
};

DutyLease MakeDutyLease(DutyLeaseSettings settings, Time now);

// --- Decisions ---------------------------------------------------------------

struct DutyCandidate {
  InstanceName name;
  uint32_t link_capacity = 0;
};

// The number of candidates before `self`; the known holder is none of them.
size_t RankCandidate(std::span<const DutyCandidate> live,
                     const InstanceName& self,
                     const InstanceName& holder);

// Returns the known holder, if there is any, and the first candidate to replace
// it.
std::vector<InstanceName> HolderAndStandby(std::span<const DutyCandidate> live,
                                           const InstanceName& holder);

enum class DutyStepKind { kWait, kRead, kClaim, kRenew };

struct DutyStep {
  DutyStepKind kind = DutyStepKind::kWait;
  Duration wait{0};  // Longest time to wait, or for a read to wait for records.
};

DutyStep NextDutyStep(const DutyLease& lease, size_t rank, Time now);

// Whether the lease outlasts a call that takes up to `call_timeout`.
bool MayAct(const DutyLease& lease, Duration call_timeout, Time now);

// Whether the instance would hold the lease at `time`, as known now.
bool HoldsLease(const DutyLease& lease, Time time);

// --- The log -----------------------------------------------------------------

// Where the next read begins. Skips records that peers have told of.
LogOffset NextDutyRead(const DutyLease& lease);

void ApplyDutyPage(DutyLease& lease,
                   LogOffset from,
                   std::span<const PositionedDutyRecord> records,
                   LogOffset end,
                   Time now);
// The records to be read have expired, or the log was restored.
void ApplyDutyGap(DutyLease& lease, LogOffset first_retained, Time now);
void ApplyDutyNotice(DutyLease& lease, const DutyNotice& notice, Time now);
DutyNotice MakeDutyNotice(const DutyLease& lease);

// Starts an append at the position `next`; the caller sends the record with
// that condition and reports the result. One append at a time.
DutyRecord BeginDutyAppend(DutyLease& lease, DutyRecordKind kind, Time now);

struct DutyAppended {
  LogOffset position;
};
struct DutyEndDiffers {};
struct DutyAppendRefused {};     // Nothing was appended.
struct DutyAppendUnanswered {};  // It may be appended later.
using DutyAppendResult = std::variant<DutyAppended,
                                      DutyEndDiffers,
                                      DutyAppendRefused,
                                      DutyAppendUnanswered>;

// Returns whether the record is known to be in the log.
bool EndDutyAppend(DutyLease& lease,
                   const DutyRecord& record,
                   const DutyAppendResult& result,
                   Time now);

// The instance stops: it does not act any more from now on. Its holder then
// appends a release.
void LeaveDuties(DutyLease& lease);

}  // namespace pomeloring

#endif  // POMELORING_DUTIES_DUTY_LEASE_H_
