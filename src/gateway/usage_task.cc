#include "gateway/usage_task.h"

#include <fmt/format.h>

#include <algorithm>

#include "duties/usage_codec.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kTaskName = "usage";
// Of one report, from connecting to the reply.
constexpr milliseconds kCallTimeout{500};
constexpr Duration kMinBackoff = milliseconds(250);
constexpr Duration kMaxBackoff = seconds(2);
// A record of the log holds 262,144 bytes, the snapshots of all tasks together.
constexpr size_t kMaxSnapshotBytes = 180'000;
// Leaves room for what the lease adds to the record.
constexpr size_t kMaxDecisionBytes = 260'000;

std::string_view ToString(ApiCallEnd end) {
  switch (end) {
    case ApiCallEnd::kAccepted:
      return "accepted";
    case ApiCallEnd::kUnavailable:
      return "unavailable";
    case ApiCallEnd::kRejected:
      return "rejected";
    case ApiCallEnd::kUnanswered:
      return "unanswered";
    case ApiCallEnd::kNotSent:
      return "not-sent";
  }
  return "unknown";
}

}  // namespace

UsageTask::UsageTask(const DutySettings& settings, UsageTaskContext context)
    : m_context(std::move(context)) {
  m_collection.window_length = settings.usage_window;
  m_collection.deadline = settings.usage_deadline;
}

void UsageTask::Merge(const UsageReport& report) {
  MergeReport(m_collection, report, m_context.now());
}

void UsageTask::AddDecisions(UsageReport& report) const {
  report.decided_before = m_collection.decided_before;
  for (const auto& [window, decision] : m_collection.recorded) {
    report.unacknowledged.push_back(decision);
  }
}

DutyTask UsageTask::MakeTask() {
  DutyTask task;
  task.name = kTaskName;
  task.reset = [this](const DutyTakeOver& take_over) {
    ResetToLog(m_collection, take_over, m_context.now());
    m_backoff = Duration{0};
    m_retry_at = Time{};
    m_calls = 0;
  };
  task.restore = [this](std::string_view snapshot) { Restore(snapshot); };
  task.replay = [this](std::string_view decision) { Replay(decision); };
  task.snapshot = [this] { return Snapshot(); };
  task.run = [this](DutySession& session) { return Run(session); };
  return task;
}

void UsageTask::Restore(std::string_view snapshot) {
  if (!RestoreUsageSnapshot(m_collection, snapshot, m_context.now())) {
    CountEvent(m_context.metrics, "usage_records_unreadable");
    m_context.log.Write(
        LogLevel::kError, "usage-record-unreadable",
        {{"record", "snapshot"}, {"bytes", std::to_string(snapshot.size())}});
  }
}

void UsageTask::Replay(std::string_view decision) {
  if (const auto decoded = DecodeUsageDecision(decision)) {
    RecordDecision(m_collection, *decoded);
    return;
  }
  CountEvent(m_context.metrics, "usage_records_unreadable");
  m_context.log.Write(
      LogLevel::kError, "usage-record-unreadable",
      {{"record", "decision"}, {"bytes", std::to_string(decision.size())}});
}

std::string UsageTask::Snapshot() const {
  return EncodeUsageSnapshot(m_collection, m_context.live_members(),
                             kMaxSnapshotBytes);
}

void UsageTask::Close() {
  const ClosedWindows closed =
      CloseWindows(m_collection, m_context.live_members(), m_context.now());
  for (const UsageWindow window : closed.skipped) {
    CountEvent(m_context.metrics, "usage_windows_skipped");
    m_context.log.Write(LogLevel::kInfo, "usage-window-skipped",
                        {{"window", std::to_string(window)}});
  }
  for (const UsageWindow window : closed.dropped) {
    CountEvent(m_context.metrics, "usage_windows_dropped");
    m_context.log.Write(LogLevel::kWarning, "usage-window-dropped",
                        {{"window", std::to_string(window)}});
  }
  for (const UsageWindow window : closed.decided_elsewhere) {
    CountEvent(m_context.metrics, "usage_windows_decided_elsewhere");
    m_context.log.Write(LogLevel::kInfo, "usage-window-decided-elsewhere",
                        {{"window", std::to_string(window)}});
  }
  for (const UsageWindow window : closed.uncertain) {
    CountEvent(m_context.metrics, "usage_windows_uncertain");
    m_context.log.Write(
        LogLevel::kWarning, "usage-window-uncertain",
        {{"window", std::to_string(window)},
         {"last_holder", m_collection.take_over.last_holder.value}});
  }
}

// GCC 12 destroys a braced temporary in a co_await expression twice, so
// arguments are named variables.
asio::awaitable<void> UsageTask::Run(DutySession& session) {
  bool may_continue = true;
  while (may_continue) {
    Close();
    may_continue =
        (NextToSend(m_collection) != nullptr || co_await Record(session)) &&
        co_await Send(session);
  }
}

asio::awaitable<bool> UsageTask::Record(DutySession& session) {
  const UsageDecision* next = NextToRecord(m_collection);
  if (next == nullptr) {
    co_return false;
  }
  const UsageDecision decision = *next;
  std::string record = EncodeUsageDecision(decision);
  if (record.size() > kMaxDecisionBytes) {
    m_collection.closed.erase(decision.window);
    CountEvent(m_context.metrics, "usage_windows_dropped");
    m_context.log.Write(LogLevel::kError, "usage-window-dropped",
                        {{"window", std::to_string(decision.window)},
                         {"accounts", std::to_string(decision.counts.size())}});
    co_return false;
  }
  // If the append has an unknown result, the closed window stays as it is and
  // the same decision is recorded again.
  if (!co_await session.Record(std::string(kTaskName), std::move(record))) {
    CountEvent(m_context.metrics, "usage_records_failed");
    co_return false;
  }
  RecordDecision(m_collection, decision);
  m_calls = 0;
  co_return true;
}

asio::awaitable<bool> UsageTask::Send(DutySession& session) {
  const UsageDecision* next = NextToSend(m_collection);
  if (next == nullptr || m_context.now() < m_retry_at ||
      !session.MayAct(kCallTimeout)) {
    co_return false;
  }
  const UsageDecision decision = *next;
  DutyIdentity identity = session.Identity(kCallTimeout);
  ++m_calls;
  const ApiCallResult result = co_await session.Api().ReportUsage(
      std::move(identity), decision.window, decision.counts);
  if (result.end == ApiCallEnd::kNotSent) {
    co_return false;
  }
  if (result.end != ApiCallEnd::kAccepted) {
    m_backoff = std::clamp(2 * m_backoff, kMinBackoff, kMaxBackoff);
    m_retry_at = m_context.now() + m_backoff;
    LogFailed(decision.window, result);
    co_return false;
  }
  m_backoff = Duration{0};
  RecordAccepted(m_collection, decision.window);
  LogAccepted(decision);
  m_calls = 0;
  co_return true;
}

void UsageTask::LogAccepted(const UsageDecision& decision) {
  const Duration late =
      m_context.now() -
      WindowStart(decision.window + 1, m_collection.window_length);
  const bool is_overdue = late > m_collection.deadline;
  CountEvent(m_context.metrics, "usage_reports");
  if (is_overdue) {
    CountEvent(m_context.metrics, "usage_reports_overdue");
  }
  if (decision.senders_missing > 0) {
    CountEvent(m_context.metrics, "usage_reports_incomplete");
  }
  m_context.log.Write(is_overdue ? LogLevel::kWarning : LogLevel::kInfo,
                      "usage-reported",
                      {{"window", std::to_string(decision.window)},
                       {"accounts", std::to_string(decision.counts.size())},
                       {"total", std::to_string(TotalOf(decision.counts))},
                       {"heard", std::to_string(decision.senders_heard)},
                       {"missing", std::to_string(decision.senders_missing)},
                       {"late_ms", fmt::format("{:.0f}", ToMillis(late))},
                       {"calls", std::to_string(m_calls)}});
}

void UsageTask::LogFailed(UsageWindow window, const ApiCallResult& result) {
  CountEvent(m_context.metrics, "usage_report_failures");
  m_context.log.Write(
      LogLevel::kWarning, "usage-report-failed",
      {{"window", std::to_string(window)},
       {"end", std::string(ToString(result.end))},
       {"status", std::to_string(result.status)},
       {"calls", std::to_string(m_calls)},
       {"retry_ms", fmt::format("{:.0f}", ToMillis(m_backoff))}});
}

}  // namespace pomeloring
