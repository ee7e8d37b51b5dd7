#include "duties/usage_windows.h"

#include <algorithm>
#include <array>

namespace pomeloring {
namespace {

// A report of the changes at an instance; those of the last one are lost if it
// is killed.
constexpr Duration kReportInterval = milliseconds(400);
// After a window's end, of its final reports. They repair lost datagrams: the
// counts of an account are few, so that one lost request can exceed the
// tolerance. The last ones reach a holder that was cut off for some seconds.
constexpr std::array<Duration, 5> kFinalReportDelays = {
    milliseconds(0), milliseconds(400), milliseconds(1400), milliseconds(3200),
    milliseconds(5400)};
// Of these, the last ones that a new holder gets at once.
constexpr size_t kRepeatedFinalReports = 2;
// Bounds the memory of an instance. A new holder asks for no older window.
constexpr uint64_t kCountedWindows = 6;
// After a window's end, counts of live members are awaited this long.
constexpr Duration kMaxWait = seconds(6);
// Senders that were heard in the window and are not alive any more may be
// leaving, frozen or cut off, and then send final counts; others are dead. The
// report stays in time even if the holder is lost and replaced meanwhile.
constexpr Duration kMaxWaitForGone = seconds(4);
// A new holder has been sent all counts again after this time: the holder's
// name reaches all within 0.5 s, and reports are sent every 0.4 s.
constexpr Duration kTakeOverWait = milliseconds(1500);
// After taking over, live members are awaited this long: they report whether
// windows were decided that the log may have lost: each repeats its report
// within that.
constexpr Duration kMaxReportWait = seconds(3);
// Left of the deadline, for recording and sending the report.
constexpr Duration kSendReserve = seconds(1);
// Older windows are not sent.
constexpr Duration kMaxReportAge = seconds(60);
// Older counts are forgotten by instances that do not report, also by one that
// has lost the duty.
constexpr Duration kMaxCountAge = 2 * kMaxReportAge;

UsageWindow OldestReported(Time now, Duration length) {
  return WindowAt(now - kMaxReportAge, length);
}

Time EndOf(UsageWindow window, Duration length) {
  return WindowStart(window + 1, length);
}

// A process that has begun to count within a window knows only a part of it.
bool IsCovered(const UsageCollection& collection, UsageWindow window) {
  const Time start = WindowStart(window, collection.window_length);
  return std::any_of(
      collection.counting_since.begin(), collection.counting_since.end(),
      [start](const auto& entry) { return entry.second <= start; });
}

bool HasFinalCounts(const UsageCollection::SenderCounts& sender) {
  return sender.has_ended && TotalOf(sender.counts) == sender.total;
}

struct SenderTally {
  uint32_t heard = 0;
  uint32_t missing = 0;
  bool awaits_gone = false;  // Heard in the window, neither final nor alive.
};

// A restarted instance is final once its present process is: nothing more comes
// from the earlier one.
SenderTally TallySenders(const UsageCollection::Senders& senders,
                         std::span<const InstanceName> live_members) {
  std::set<InstanceName> final_senders;
  std::set<InstanceName> partial_senders;
  for (const auto& [sender, counts] : senders) {
    (HasFinalCounts(counts) ? final_senders : partial_senders)
        .insert(sender.name);
  }
  SenderTally tally;
  for (const InstanceName& name : live_members) {
    ++(final_senders.contains(name) ? tally.heard : tally.missing);
    partial_senders.erase(name);
  }
  tally.awaits_gone = std::any_of(
      partial_senders.begin(), partial_senders.end(),
      [&](const InstanceName& name) { return !final_senders.contains(name); });
  return tally;
}

AccountCounts SumOf(const UsageCollection::Senders& senders) {
  AccountCounts sum;
  for (const auto& [sender, counted] : senders) {
    for (const auto& [account, count] : counted.counts) {
      sum[account] += count;
    }
  }
  return sum;
}

bool IsComplete(const UsageCollection& collection,
                const SenderTally& tally,
                Time end,
                Time now) {
  const Time taken_over = std::min(*collection.held_since + kTakeOverWait,
                                   end + collection.deadline - kSendReserve);
  if (now >= std::max(end + kMaxWait, taken_over)) {
    return true;
  }
  return tally.heard > 0 && tally.missing == 0 &&
         (!tally.awaits_gone || now >= end + kMaxWaitForGone);
}

enum class WindowState { kUndecided, kAwaitsReports, kDecided, kUncertain };

// Whether `name` has reported since this instance took over, and its present
// process has run since before `time`: then it knows of its own decisions.
bool HasReported(const UsageCollection& collection,
                 const InstanceName& name,
                 Time time) {
  const auto since = collection.counting_since.find(name);
  const auto reported = collection.reported_at.find(name);
  return since != collection.counting_since.end() && since->second <= time &&
         reported != collection.reported_at.end() &&
         reported->second >= *collection.held_since;
}

// A platform accepts one report of a window; a second one with other counts is
// worse than none. What the log may have lost is known to the process that
// decided: the last holder, or one that has reported to others since. The
// present process of this instance must have been there to know who that was.
WindowState StateOf(const UsageCollection& collection,
                    UsageWindow window,
                    std::span<const InstanceName> live_members,
                    Time now) {
  if (window < collection.decided_before) {
    return WindowState::kDecided;
  }
  if (window >= collection.uncertain_before) {
    return WindowState::kUndecided;
  }
  const Time end = EndOf(window, collection.window_length);
  const bool have_all_reported = std::all_of(
      live_members.begin(), live_members.end(), [&](const InstanceName& name) {
        const auto reported = collection.reported_at.find(name);
        return reported != collection.reported_at.end() &&
               reported->second >= *collection.held_since;
      });
  if (!have_all_reported) {
    return now < *collection.held_since + kMaxReportWait
               ? WindowState::kAwaitsReports
               : WindowState::kUncertain;
  }
  return HasReported(collection, collection.take_over.self, end) &&
                 HasReported(collection, collection.take_over.last_holder, end)
             ? WindowState::kUndecided
             : WindowState::kUncertain;
}

// Keeps the current and the last windows, also those without requests: their
// final counts are awaited.
void UpdateKeptWindows(UsageCounter& counter, Time now) {
  const UsageWindow current = WindowAt(now, counter.window_length);
  const UsageWindow oldest =
      current - std::min(current, kCountedWindows - uint64_t{1});
  counter.windows.erase(counter.windows.begin(),
                        counter.windows.lower_bound(oldest));
  const UsageWindow first =
      std::max(oldest, WindowAt(counter.counting_since, counter.window_length));
  for (UsageWindow window = first; window <= current; ++window) {
    counter.windows.try_emplace(window);
  }
}

}  // namespace

UsageWindow WindowAt(Time now, Duration length) {
  return static_cast<UsageWindow>(
      std::max<int64_t>(0, now.time_since_epoch() / length));
}

Time WindowStart(UsageWindow window, Duration length) {
  return Time{length * static_cast<int64_t>(window)};
}

uint64_t TotalOf(const AccountCounts& counts) {
  uint64_t total = 0;
  for (const auto& [account, count] : counts) {
    total += count;
  }
  return total;
}

// --- At each instance --------------------------------------------------------

void CountRequest(UsageCounter& counter,
                  const AccountName& account,
                  Time began) {
  UsageCounter::Window& window =
      counter.windows[WindowAt(began, counter.window_length)];
  ++window.counts[account];
  window.unsent.insert(account);
}

std::optional<UsageReport> TakeReport(UsageCounter& counter, Time now) {
  if (now - counter.last_report_at < kReportInterval) {
    return std::nullopt;
  }
  UpdateKeptWindows(counter, now);
  UsageReport report{counter.self, counter.counting_since, {}};
  for (auto& [id, window] : counter.windows) {
    const Time end = EndOf(id, counter.window_length);
    const bool has_ended = now >= end;
    const bool is_final = window.final_reports < kFinalReportDelays.size() &&
                          now >= end + kFinalReportDelays[window.final_reports];
    if (!is_final && window.unsent.empty()) {
      continue;
    }
    WindowReport entry{id, TotalOf(window.counts), has_ended, {}};
    if (has_ended) {
      ++window.final_reports;
      entry.counts = window.counts;
    } else {
      for (const AccountName& account : window.unsent) {
        entry.counts[account] = window.counts[account];
      }
    }
    window.unsent.clear();
    report.windows.push_back(std::move(entry));
  }
  if (report.windows.empty() && !counter.has_new_receiver) {
    return std::nullopt;
  }
  counter.has_new_receiver = false;
  counter.last_report_at = now;
  return report;
}

void ResendAll(UsageCounter& counter) {
  counter.last_report_at = Time{};
  counter.has_new_receiver = true;
  for (auto& [id, window] : counter.windows) {
    window.final_reports =
        std::min(window.final_reports,
                 kFinalReportDelays.size() - kRepeatedFinalReports);
    for (const auto& [account, count] : window.counts) {
      window.unsent.insert(account);
    }
  }
}

// --- At the holder and the first other candidate -----------------------------

// Counts of one process only grow, so the larger one is the newer one; lost,
// repeated and reordered reports need no sequence numbers.
void MergeReport(UsageCollection& collection,
                 const UsageReport& report,
                 Time now) {
  Time& since = collection.counting_since[report.sender.name];
  since = std::max(since, report.counting_since);
  if (report.decided_before) {
    collection.reported_at[report.sender.name] = now;
    collection.decided_before =
        std::max(collection.decided_before, *report.decided_before);
  }
  for (const UsageDecision& decision : report.unacknowledged) {
    collection.decided.try_emplace(decision.window, decision);
  }
  ExpireWindows(collection, now);
  const UsageWindow oldest =
      std::max(collection.next, OldestReported(now, collection.window_length));
  const UsageWindow newest = WindowAt(now, collection.window_length) + 1;
  for (const WindowReport& entry : report.windows) {
    if (entry.window < oldest || entry.window > newest) {
      continue;
    }
    auto& sender = collection.open[entry.window][report.sender];
    sender.total = std::max(sender.total, entry.total);
    sender.has_ended = sender.has_ended || entry.has_ended;
    for (const auto& [account, count] : entry.counts) {
      uint64_t& known = sender.counts[account];
      known = std::max(known, count);
    }
  }
}

ClosedWindows CloseWindows(UsageCollection& collection,
                           std::span<const InstanceName> live_members,
                           Time now) {
  ClosedWindows result;
  if (!collection.held_since) {
    return result;
  }
  const Duration length = collection.window_length;
  const std::set<InstanceName> live(live_members.begin(), live_members.end());
  const auto is_gone = [&](const auto& entry) {
    return !live.contains(entry.first);
  };
  std::erase_if(collection.counting_since, is_gone);
  std::erase_if(collection.reported_at, is_gone);
  const UsageWindow oldest = OldestReported(now, length);
  const auto drop_old = [&](auto& windows) {
    for (auto at = windows.begin();
         at != windows.end() && at->first < oldest;) {
      result.dropped.push_back(at->first);
      at = windows.erase(at);
    }
  };
  drop_old(collection.recorded);
  drop_old(collection.closed);
  drop_old(collection.open);
  collection.decided.erase(collection.decided.begin(),
                           collection.decided.lower_bound(oldest));
  collection.next = std::max(collection.next, oldest);
  for (UsageWindow& window = collection.next; EndOf(window, length) <= now;
       ++window) {
    if (const auto decided = collection.decided.find(window);
        decided != collection.decided.end()) {
      collection.closed.insert(*decided);
      collection.open.erase(window);
      continue;
    }
    const WindowState state = StateOf(collection, window, live_members, now);
    if (state == WindowState::kAwaitsReports) {
      break;
    }
    if (state != WindowState::kUndecided) {
      (state == WindowState::kDecided ? result.decided_elsewhere
                                      : result.uncertain)
          .push_back(window);
      collection.open.erase(window);
      continue;
    }
    const auto senders = collection.open.find(window);
    const SenderTally tally = TallySenders(senders == collection.open.end()
                                               ? UsageCollection::Senders()
                                               : senders->second,
                                           live_members);
    if (!IsComplete(collection, tally, EndOf(window, length), now)) {
      break;
    }
    UsageDecision decision{window, {}, tally.heard, tally.missing};
    if (senders != collection.open.end()) {
      decision.counts = SumOf(senders->second);
      collection.open.erase(senders);
    }
    if (decision.counts.empty() && !IsCovered(collection, window)) {
      result.skipped.push_back(window);
    } else {
      collection.closed.emplace(window, std::move(decision));
    }
  }
  return result;
}

const UsageDecision* NextToRecord(const UsageCollection& collection) {
  return collection.recorded.empty() && !collection.closed.empty()
             ? &collection.closed.begin()->second
             : nullptr;
}

const UsageDecision* NextToSend(const UsageCollection& collection) {
  return collection.recorded.empty() ? nullptr
                                     : &collection.recorded.begin()->second;
}

// The first decision of a window stands. Windows before it that are only closed
// were dropped by the holder that recorded it.
void RecordDecision(UsageCollection& collection,
                    const UsageDecision& decision) {
  const UsageWindow window = decision.window;
  collection.decided.try_emplace(window, decision);
  collection.decided_before = std::max(collection.decided_before, window + 1);
  collection.recorded.try_emplace(window, decision);
  collection.closed.erase(collection.closed.begin(),
                          collection.closed.upper_bound(window));
  collection.open.erase(collection.open.begin(),
                        collection.open.upper_bound(window));
  collection.next = std::max(collection.next, window + 1);
}

void RecordAccepted(UsageCollection& collection, UsageWindow window) {
  collection.recorded.erase(window);
}

// A window that has not ended yet can't have been decided.
void ResetToLog(UsageCollection& collection,
                const DutyTakeOver& take_over,
                Time now) {
  collection.closed.clear();
  collection.recorded.clear();
  collection.next = 0;
  collection.held_since = now;
  collection.take_over = take_over;
  collection.uncertain_before =
      take_over.may_lack_records ? WindowAt(now, collection.window_length) : 0;
}

void ExpireWindows(UsageCollection& collection, Time now) {
  const UsageWindow oldest =
      WindowAt(now - kMaxCountAge, collection.window_length);
  const auto expire = [oldest](auto& windows) {
    windows.erase(windows.begin(), windows.lower_bound(oldest));
  };
  expire(collection.open);
  expire(collection.recorded);
  expire(collection.decided);
}

}  // namespace pomeloring
