// Defines UsageTask: reports the fleet's usage to the platform, window by
// window.

#ifndef POMELORING_GATEWAY_USAGE_TASK_H_
#define POMELORING_GATEWAY_USAGE_TASK_H_

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "daemon/log.h"
#include "duties/usage_windows.h"
#include "gateway/duty_task.h"
#include "gateway/gateway_metrics.h"
#include "gateway/gateway_settings.h"

namespace pomeloring {

struct UsageTaskContext {
  Log& log;
  GatewayMetrics& metrics;
  // The time by which usage is counted; see WallClock.
  std::function<Time()> now;
  // The instances whose final counts are awaited, this one included.
  std::function<std::vector<InstanceName>()> live_members;
};

// Used from one thread. Must outlive the task that MakeTask() returns.
class UsageTask {
 public:
  UsageTask(const DutySettings& settings, UsageTaskContext context);

  // Adds what an instance has counted; also while another one holds the duty.
  void Merge(const UsageReport& report);
  // Adds to a report what this instance knows of decisions.
  void AddDecisions(UsageReport& report) const;
  DutyTask MakeTask();

 private:
  void Restore(std::string_view snapshot);
  void Replay(std::string_view decision);
  std::string Snapshot() const;
  boost::asio::awaitable<void> Run(DutySession& session);
  // Closes windows and logs those that are not reported.
  void Close();
  boost::asio::awaitable<bool> Record(DutySession& session);
  // Returns whether the next window may be sent immediately.
  boost::asio::awaitable<bool> Send(DutySession& session);
  void LogAccepted(const UsageDecision& decision);
  void LogFailed(UsageWindow window, const ApiCallResult& result);

  const UsageTaskContext m_context;
  UsageCollection m_collection;
  Duration m_backoff{0};  // 0: the last call was accepted.
  Time m_retry_at;
  int m_calls = 0;  // For the window that is being sent.
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_USAGE_TASK_H_
