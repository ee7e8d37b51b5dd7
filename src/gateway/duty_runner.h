// Defines DutyRunner: drives the lease of the duties over the platform's log,
// and runs the tasks while this instance holds it.

#ifndef POMELORING_GATEWAY_DUTY_RUNNER_H_
#define POMELORING_GATEWAY_DUTY_RUNNER_H_

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "daemon/log.h"
#include "gateway/duty_task.h"
#include "gateway/gateway_metrics.h"
#include "gateway/shared_log.h"
#include "pomeloring/duties.h"

namespace pomeloring {

struct DutyRunnerContext {
  boost::asio::io_context& context;
  SharedLog& shared_log;
  PlatformApi& api;
  Log& log;
  GatewayMetrics& metrics;
  // The instances that are alive and not leaving, this one included.
  std::function<std::vector<DutyCandidate>()> candidates;
  // The newest record that peers have told of, and what to tell them.
  std::function<DutyNotice()> peer_notice;
  std::function<void(const DutyNotice&)> publish;
  // A clock that counts suspension.
  std::function<Time()> now;
};

// Used from one thread. Must outlive its coroutines.
class DutyRunner {
 public:
  DutyRunner(DutyRunnerContext context,
             DutyLeaseSettings settings,
             std::vector<DutyTask> tasks);

  // Starts to follow the lease and to run the tasks, until the I/O context
  // stops.
  void Start();
  // Stops acting and lets the next instance take over at once.
  boost::asio::awaitable<void> Release();

  const DutyLease& Lease() const { return m_lease; }
  bool HoldsLease() const;

 private:
  class Session;
  class LogTurn;

  boost::asio::awaitable<void> FollowLease();
  boost::asio::awaitable<bool> Step();
  boost::asio::awaitable<void> RestoreTasks();
  boost::asio::awaitable<bool> RestoreFrom(LogOffset from, LogOffset token);
  boost::asio::awaitable<void> RunTask(const DutyTask& task);
  boost::asio::awaitable<bool> Read(std::chrono::milliseconds wait);
  // Appends a record of `kind` that `fill` completes. Returns whether it is
  // known to be in the log.
  boost::asio::awaitable<bool> Append(DutyRecordKind kind,
                                      std::function<void(DutyRecord&)> fill);
  boost::asio::awaitable<LogTurn> TakeTurn();
  void FillSnapshots(DutyRecord& record) const;
  bool IsRestored() const;
  void ReportChanges();

  DutyRunnerContext m_context;
  const std::vector<DutyTask> m_tasks;
  DutyLease m_lease;
  // Appends and reads of one instance follow each other.
  const std::shared_ptr<bool> m_is_log_in_use = std::make_shared<bool>(false);
  std::optional<LogOffset> m_restored_for;  // The token of the tasks' state.
  size_t m_running_tasks = 0;
  Time m_calls_until;  // When the last call that was sent has timed out.
  // As last reported.
  bool m_was_holding = false;
  std::optional<LogOffset> m_reported_token;
  DutyNotice m_published;
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_DUTY_RUNNER_H_
