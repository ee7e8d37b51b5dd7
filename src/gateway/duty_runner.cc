#include "gateway/duty_runner.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <memory>
#include <utility>

#include "gateway/duty_codec.h"
#include "link/sleep.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;

constexpr std::string_view kDutyTopic = "pomeloring.duties";
// Between looks at the peers' digests while there is nothing else to do.
constexpr milliseconds kPollInterval{50};
constexpr milliseconds kTaskInterval{100};
constexpr milliseconds kTurnPollInterval{2};
// After a failed call to the log; doubled with each further failure of an
// instance that does not hold the lease.
constexpr milliseconds kMinRetryDelay{100};
constexpr milliseconds kMaxRetryDelay{1000};
// Of the release at a stop: hand-over should take less than a second, and the
// lease expires anyway.
constexpr int kReleaseAttempts = 3;
// Records before the claim in which the newest snapshot is searched for. The
// holder writes one in each renewal, so the first is enough in most cases.
constexpr std::array<uint64_t, 3> kLookBack = {16, 256, ~uint64_t{0}};
// Of all snapshots together; a record of the log has at most 256 KiB.
constexpr size_t kMaxSnapshotBytes = size_t{224} * 1024;

milliseconds CeilToMillis(Duration duration) {
  return std::chrono::ceil<milliseconds>(std::max(duration, Duration{0}));
}

// Never 0, which a receiver may take for no token: the first record of a log
// without eras is at position 0.
uint64_t FencingToken(LogOffset claim) {
  return claim.value + 1;
}

std::string_view ToString(DutyLoss loss) {
  switch (loss) {
    case DutyLoss::kNone:
      break;
    case DutyLoss::kOtherClaim:
      return "claimed by another";
    case DutyLoss::kLogRestored:
      return "log restored";
    case DutyLoss::kReleased:
      return "released";
  }
  return "not renewed";
}

}  // namespace

// The right to append and read. Ends when it goes out of scope, which may be
// after the runner.
class DutyRunner::LogTurn {
 public:
  explicit LogTurn(std::shared_ptr<bool> is_in_use)
      : m_is_in_use(std::move(is_in_use)) {
    *m_is_in_use = true;
  }
  LogTurn(LogTurn&&) noexcept = default;
  LogTurn& operator=(LogTurn&&) = delete;
  ~LogTurn() { End(); }
  void End() {
    if (m_is_in_use) {
      *m_is_in_use = false;
      m_is_in_use.reset();
    }
  }

 private:
  std::shared_ptr<bool> m_is_in_use;
};

class DutyRunner::Session final : public DutySession {
 public:
  Session(DutyRunner& runner, LogOffset token)
      : m_runner(runner), m_token(token) {}

  bool MayAct(Duration call_timeout) const override {
    return MayActUntil(m_runner, m_token,
                       m_runner.m_context.now() + call_timeout);
  }

  DutyIdentity Identity(milliseconds call_timeout) override {
    const Time deadline = m_runner.m_context.now() + call_timeout;
    DutyIdentity identity;
    identity.holder = m_runner.m_lease.settings.self;
    identity.fencing_token = FencingToken(m_token);
    identity.timeout = call_timeout;
    identity.may_send = [&runner = m_runner, token = m_token, deadline] {
      // Past its deadline only after a freeze: then it is not sent, however
      // long the lease.
      if (runner.m_context.now() > deadline ||
          !MayActUntil(runner, token, deadline)) {
        CountEvent(runner.m_context.metrics, "duty_calls_held_back");
        return false;
      }
      runner.m_calls_until = std::max(runner.m_calls_until, deadline);
      CountEvent(runner.m_context.metrics, "duty_calls");
      return true;
    };
    return identity;
  }

  asio::awaitable<bool> Record(std::string task,
                               std::string decision) override {
    const LogTurn turn = co_await m_runner.TakeTurn();
    if (!MayAct(Duration{0})) {
      co_return false;
    }
    const bool is_recorded = co_await m_runner.Append(
        DutyRecordKind::kDecision, [&](DutyRecord& record) {
          record.task = std::move(task);
          record.decision = std::move(decision);
        });
    const bool may_act = MayAct(Duration{0});
    co_return is_recorded&& may_act;
  }

  PlatformApi& Api() override { return m_runner.m_context.api; }

 private:
  static bool MayActUntil(const DutyRunner& runner,
                          LogOffset token,
                          Time deadline) {
    return runner.m_lease.token == token &&
           pomeloring::HoldsLease(runner.m_lease, deadline);
  }

  DutyRunner& m_runner;
  const LogOffset m_token;
};

DutyRunner::DutyRunner(DutyRunnerContext context,
                       DutyLeaseSettings settings,
                       std::vector<DutyTask> tasks)
    : m_context(std::move(context)),
      m_tasks(std::move(tasks)),
      m_lease(MakeDutyLease(std::move(settings), m_context.now())) {}

void DutyRunner::Start() {
  asio::co_spawn(m_context.context, FollowLease(), asio::detached);
  asio::co_spawn(m_context.context, RestoreTasks(), asio::detached);
  for (const DutyTask& task : m_tasks) {
    asio::co_spawn(m_context.context, RunTask(task), asio::detached);
  }
}

bool DutyRunner::HoldsLease() const {
  return pomeloring::HoldsLease(m_lease, m_context.now());
}

bool DutyRunner::IsRestored() const {
  return m_lease.token && m_restored_for == m_lease.token;
}

asio::awaitable<DutyRunner::LogTurn> DutyRunner::TakeTurn() {
  while (*m_is_log_in_use) {
    co_await SleepFor(kTurnPollInterval);
  }
  co_return LogTurn(m_is_log_in_use);
}

// --- Lease -------------------------------------------------------------------

asio::awaitable<void> DutyRunner::FollowLease() {
  milliseconds retry_delay = kMinRetryDelay;
  while (true) {
    const bool succeeded = co_await Step();
    ReportChanges();
    if (succeeded || m_lease.token) {
      retry_delay = kMinRetryDelay;
    }
    if (!succeeded) {
      co_await SleepFor(retry_delay);
      retry_delay = std::min(2 * retry_delay, kMaxRetryDelay);
    }
  }
}

asio::awaitable<bool> DutyRunner::Step() {
  LogTurn turn = co_await TakeTurn();
  const Time now = m_context.now();
  ApplyDutyNotice(m_lease, m_context.peer_notice(), now);
  const size_t rank = RankCandidate(m_context.candidates(),
                                    m_lease.settings.self, m_lease.holder);
  const DutyStep step = NextDutyStep(m_lease, rank, now);
  switch (step.kind) {
    case DutyStepKind::kRead:
      co_return co_await Read(CeilToMillis(step.wait));
    case DutyStepKind::kClaim:
      co_return co_await Append(DutyRecordKind::kClaim, {});
    case DutyStepKind::kRenew:
      co_return co_await Append(
          DutyRecordKind::kRenewal,
          [this](DutyRecord& record) { FillSnapshots(record); });
    case DutyStepKind::kWait:
      break;
  }
  // Without the turn: a task may have a decision to record.
  turn.End();
  co_await SleepFor(
      std::clamp(CeilToMillis(step.wait), milliseconds{1}, kPollInterval));
  co_return true;
}

asio::awaitable<bool> DutyRunner::Read(milliseconds wait) {
  const LogOffset from = NextDutyRead(m_lease);
  CountEvent(m_context.metrics, "duty_log_reads");
  const auto result =
      co_await m_context.shared_log.Read(std::string(kDutyTopic), from, wait);
  const Time now = m_context.now();
  if (const auto* expired = std::get_if<SharedLogExpired>(&result)) {
    ApplyDutyGap(m_lease, expired->first_retained, now);
    co_return true;
  }
  const auto* page = std::get_if<SharedLogPage>(&result);
  if (page == nullptr) {
    CountEvent(m_context.metrics, "duty_log_failures");
    co_return false;
  }
  std::vector<PositionedDutyRecord> records;
  for (const SharedLogRecord& record : page->records) {
    records.push_back({record.position, DecodeDutyRecord(record.bytes)});
    if (!records.back().record) {
      CountEvent(m_context.metrics, "duty_records_unreadable");
    }
  }
  ApplyDutyPage(m_lease, from, records, page->end, now);
  co_return true;
}

asio::awaitable<bool> DutyRunner::Append(
    DutyRecordKind kind,
    std::function<void(DutyRecord&)> fill) {
  DutyRecord record = BeginDutyAppend(m_lease, kind, m_context.now());
  if (fill) {
    fill(record);
  }
  CountEvent(m_context.metrics, "duty_log_appends");
  const auto result = co_await m_context.shared_log.Append(
      std::string(kDutyTopic), EncodeDutyRecord(record), record.at);
  DutyAppendResult outcome = DutyAppendUnanswered{};
  if (const auto* appended = std::get_if<LogAppended>(&result)) {
    outcome = DutyAppended{appended->position};
  } else if (std::holds_alternative<LogConditionFailed>(result)) {
    outcome = DutyEndDiffers{};
  } else if (std::holds_alternative<LogCallRefused>(result)) {
    outcome = DutyAppendRefused{};
  }
  if (EndDutyAppend(m_lease, record, outcome, m_context.now())) {
    co_return true;
  }
  if (!std::holds_alternative<DutyAppendRefused>(outcome)) {
    co_await Read(milliseconds{0});
    // It lost against another append, or its result is known now.
    co_return m_lease.acknowledged_id == record.append_id;
  }
  CountEvent(m_context.metrics, "duty_log_failures");
  co_return false;
}

asio::awaitable<void> DutyRunner::Release() {
  LeaveDuties(m_lease);
  // Calls that were sent may still reach the API.
  while (m_running_tasks > 0 && m_context.now() < m_calls_until) {
    co_await SleepFor(kTurnPollInterval);
  }
  for (int i = 0; i < kReleaseAttempts && m_lease.token; ++i) {
    const LogTurn turn = co_await TakeTurn();
    if (m_lease.token) {
      co_await Append(DutyRecordKind::kRelease, {});
    }
  }
  ReportChanges();
}

// --- Tasks -------------------------------------------------------------------

void DutyRunner::FillSnapshots(DutyRecord& record) const {
  if (!IsRestored()) {
    return;
  }
  size_t bytes = 0;
  for (const DutyTask& task : m_tasks) {
    std::string snapshot = task.snapshot();
    bytes += snapshot.size();
    if (bytes > kMaxSnapshotBytes) {
      CountEvent(m_context.metrics, "duty_snapshots_too_large");
      m_context.log.Write(
          LogLevel::kWarning, "duty-snapshots-too-large",
          {{"task", task.name}, {"bytes", std::to_string(bytes)}});
      record.snapshots.clear();
      return;
    }
    record.snapshots[task.name] = std::move(snapshot);
  }
}

// Rebuilds the tasks' state whenever the lease is gained.
asio::awaitable<void> DutyRunner::RestoreTasks() {
  while (true) {
    if (!HoldsLease() || IsRestored() || m_running_tasks > 0) {
      co_await SleepFor(kPollInterval);
      continue;
    }
    const LogOffset token = *m_lease.token;
    for (const uint64_t records : kLookBack) {
      if (co_await RestoreFrom({token.value - std::min(token.value, records)},
                               token)) {
        m_restored_for = token;
        break;
      }
      if (m_lease.token != token) {
        break;
      }
    }
    if (m_restored_for != token) {
      co_await SleepFor(kMinRetryDelay);
    }
  }
}

// Returns false if a call failed, or if neither a snapshot nor the beginning of
// the log is among the records from `from` on.
asio::awaitable<bool> DutyRunner::RestoreFrom(LogOffset from, LogOffset token) {
  std::vector<DutyRecord> records;
  bool is_complete = from.value == 0;
  bool has_first = from.value == 0;  // The first record that was ever written.
  LogOffset newest;
  size_t newest_snapshot = 0;
  bool has_snapshot = false;
  LogOffset at = from;
  while (at < token) {
    const auto result = co_await m_context.shared_log.Read(
        std::string(kDutyTopic), at, milliseconds{0});
    if (const auto* expired = std::get_if<SharedLogExpired>(&result)) {
      is_complete = true;
      has_first = false;
      records.clear();
      has_snapshot = false;
      at = expired->first_retained;
      continue;
    }
    const auto* page = std::get_if<SharedLogPage>(&result);
    if (page == nullptr) {
      co_return false;
    }
    if (page->records.empty()) {
      break;
    }
    is_complete |= page->records.front().position <= page->first_retained;
    for (const SharedLogRecord& entry : page->records) {
      auto record = DecodeDutyRecord(entry.bytes);
      // One that names an earlier position than those before it was appended by
      // an instance that did not know of a restore, and does not count.
      if (!record || entry.position >= token || record->at < newest) {
        continue;
      }
      newest = record->at;
      // Only renewals of a holder whose tasks are restored have snapshots.
      if (!record->snapshots.empty()) {
        has_snapshot = true;
        newest_snapshot = records.size();
      }
      records.push_back(std::move(*record));
    }
    at = {page->records.back().position.value + 1};
  }
  if ((!has_snapshot && !is_complete) || m_lease.token != token) {
    co_return false;
  }
  // A snapshot from before a restore does not have the decisions that were lost
  // with it.
  const bool may_lack_records =
      has_snapshot
          ? RestoresBefore(records[newest_snapshot].at) < RestoresBefore(token)
          : !has_first || RestoresBefore(token) > 0;
  const DutyTakeOver take_over{m_lease.settings.self, m_lease.last_holder,
                               may_lack_records};
  m_context.log.Write(LogLevel::kInfo, "duties-restored",
                      {{"token", std::to_string(FencingToken(token))},
                       {"last_holder", take_over.last_holder.value},
                       {"lacks_records", may_lack_records ? "true" : "false"},
                       {"records", std::to_string(records.size())}});
  for (const DutyTask& task : m_tasks) {
    task.reset(take_over);
    for (size_t i = has_snapshot ? newest_snapshot : 0; i < records.size();
         ++i) {
      const DutyRecord& record = records[i];
      if (const auto snapshot = record.snapshots.find(task.name);
          snapshot != record.snapshots.end()) {
        task.restore(snapshot->second);
      } else if (record.kind == DutyRecordKind::kDecision &&
                 record.task == task.name) {
        task.replay(record.decision);
      }
    }
  }
  co_return true;
}

asio::awaitable<void> DutyRunner::RunTask(const DutyTask& task) {
  while (true) {
    if (HoldsLease() && IsRestored()) {
      Session session(*this, *m_lease.token);
      ++m_running_tasks;
      try {
        co_await task.run(session);
      } catch (const std::exception& error) {
        m_context.log.Write(LogLevel::kError, "duty-task-failed",
                            {{"task", task.name}, {"error", error.what()}});
      }
      --m_running_tasks;
    }
    co_await SleepFor(kTaskInterval);
  }
}

// --- Reports -----------------------------------------------------------------

void DutyRunner::ReportChanges() {
  const bool is_holding = HoldsLease();
  const auto milliseconds_of = [](Duration duration) {
    return fmt::format("{:.0f}", ToMillis(duration));
  };
  if (m_was_holding && (!is_holding || m_lease.token != m_reported_token)) {
    // A lease that was not renewed may still be renewed while nobody claims it.
    const DutyLoss reason = m_lease.token ? DutyLoss::kNone : m_lease.last_loss;
    CountEvent(m_context.metrics, "duty_leases_lost");
    m_context.log.Write(
        m_lease.is_leaving ? LogLevel::kInfo : LogLevel::kWarning,
        "duties-lost",
        {{"token", std::to_string(FencingToken(*m_reported_token))},
         {"reason",
          m_lease.is_leaving ? "stopping" : std::string(ToString(reason))},
         {"holder", m_lease.holder.value}});
    m_was_holding = false;
  }
  if (is_holding && !m_was_holding) {
    CountEvent(m_context.metrics, "duty_leases_gained");
    m_context.log.Write(
        LogLevel::kInfo, "duties-gained",
        {{"token", std::to_string(FencingToken(*m_lease.token))},
         {"again", m_lease.token == m_reported_token ? "true" : "false"},
         {"lease_ms", milliseconds_of(m_lease.lease_end - m_context.now())}});
    m_was_holding = true;
    m_reported_token = m_lease.token;
  }
  const DutyNotice notice = MakeDutyNotice(m_lease);
  if (notice != m_published) {
    m_published = notice;
    m_context.publish(notice);
  }
}

}  // namespace pomeloring
