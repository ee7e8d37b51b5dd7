// Defines the counting of requests by window and account, and what the holder
// of the duty "usage" reports. See docs/design/usage.md.

#ifndef POMELORING_DUTIES_USAGE_WINDOWS_H_
#define POMELORING_DUTIES_USAGE_WINDOWS_H_

#include <map>
#include <optional>
#include <set>
#include <span>
#include <vector>

#include "core/ids.h"
#include "duties/duty_lease.h"

namespace pomeloring {

// Window k holds the time [k, k + 1) x length since 1970.
using UsageWindow = uint64_t;
using AccountCounts = std::map<AccountName, uint64_t>;

UsageWindow WindowAt(Time now, Duration length);
Time WindowStart(UsageWindow window, Duration length);
uint64_t TotalOf(const AccountCounts& counts);

// --- At each instance --------------------------------------------------------

// One process of an instance.
struct UsageSender {
  InstanceName name;
  Incarnation incarnation;
  auto operator<=>(const UsageSender&) const = default;
};

// What a process has counted in one window so far, of some or all accounts.
struct WindowReport {
  UsageWindow window = 0;
  uint64_t total = 0;  // Of all accounts.
  bool has_ended = false;
  AccountCounts counts;
  bool operator==(const WindowReport&) const = default;
};

// The counts of one window that are reported, and from how many instances.
struct UsageDecision {
  UsageWindow window = 0;
  AccountCounts counts;
  uint32_t senders_heard = 0;
  uint32_t senders_missing = 0;  // Alive, without final counts.
  bool operator==(const UsageDecision&) const = default;
};

struct UsageReport {
  UsageSender sender;
  Time counting_since;
  std::vector<WindowReport> windows;
  // All earlier windows were decided, as far as the sender knows. Nothing: its
  // version does not tell.
  std::optional<UsageWindow> decided_before;
  // Recorded by the sender, and not known to be accepted.
  std::vector<UsageDecision> unacknowledged;
  bool operator==(const UsageReport&) const = default;
};

struct UsageCounter {
  struct Window {
    AccountCounts counts;
    std::set<AccountName> unsent;  // Whose counts have changed.
    size_t final_reports = 0;      // Sent since the window's end.
  };
  UsageSender self;
  Duration window_length = seconds(5);
  Time counting_since;
  Time last_report_at;
  bool has_new_receiver = false;  // Which gets a report even without counts.
  std::map<UsageWindow, Window> windows;
};

// Counts a request that began to run at `began`.
void CountRequest(UsageCounter& counter,
                  const AccountName& account,
                  Time began);
// Returns the report that is due, if any: the changes, and all counts of
// windows that have ended.
std::optional<UsageReport> TakeReport(UsageCounter& counter, Time now);
// Makes the next report due now, with all counts that are kept, as for a new
// holder.
void ResendAll(UsageCounter& counter);

// --- At the holder and the first other candidate -----------------------------

struct UsageCollection {
  struct SenderCounts {
    AccountCounts counts;
    uint64_t total = 0;  // As stated by the sender.
    bool has_ended = false;
  };
  using Senders = std::map<UsageSender, SenderCounts>;

  Duration window_length = seconds(5);
  Duration deadline = seconds(10);  // After a window's end.
  std::map<UsageWindow, Senders> open;
  // Complete; later counts are ignored.
  std::map<UsageWindow, UsageDecision> closed;
  // In the log, and not known to be accepted.
  std::map<UsageWindow, UsageDecision> recorded;
  // Decided by this process, or reported by the one that decided. They stand if
  // the log is restored from an older copy, which does not hold them.
  std::map<UsageWindow, UsageDecision> decided;
  // The windows before it were decided, by this or another instance.
  UsageWindow decided_before = 0;
  // The windows before it have been closed, skipped or dropped.
  UsageWindow next = 0;
  // When this instance gained the duty; without it, it only collects.
  std::optional<Time> held_since;
  std::map<InstanceName, Time> counting_since;  // Of the present processes.
  // When they last reported up to which window they know of decisions.
  std::map<InstanceName, Time> reported_at;
  // Windows before it may have been decided without a record in the log.
  UsageWindow uncertain_before = 0;
  DutyTakeOver take_over;  // At `held_since`.
};

// Merges a report in any order, any number of times.
void MergeReport(UsageCollection& collection,
                 const UsageReport& report,
                 Time now);

struct ClosedWindows {
  std::vector<UsageWindow> skipped;  // Nothing was ever known of them.
  std::vector<UsageWindow> dropped;  // Too old to be sent.
  // Decided by another instance, whose decision is not known here.
  std::vector<UsageWindow> decided_elsewhere;
  // Nobody is left who could tell whether they were decided.
  std::vector<UsageWindow> uncertain;
};

// Closes the windows that are complete, and drops those that are too old.
ClosedWindows CloseWindows(UsageCollection& collection,
                           std::span<const InstanceName> live_members,
                           Time now);
// Returns what must be recorded next, if anything: windows are sent in their
// order, each once the one before is accepted.
const UsageDecision* NextToRecord(const UsageCollection& collection);
// Returns what must be sent next, if anything.
const UsageDecision* NextToSend(const UsageCollection& collection);
void RecordDecision(UsageCollection& collection, const UsageDecision& decision);
void RecordAccepted(UsageCollection& collection, UsageWindow window);
// Forgets what the log tells; the counts that were received are kept, and what
// is known of decisions.
void ResetToLog(UsageCollection& collection,
                const DutyTakeOver& take_over,
                Time now);
// Drops the counts and decisions of windows that are not reported any more.
void ExpireWindows(UsageCollection& collection, Time now);

}  // namespace pomeloring

#endif  // POMELORING_DUTIES_USAGE_WINDOWS_H_
