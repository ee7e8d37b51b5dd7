// Defines ScalingTask: the duty to order upstreams by load, for all services
// with scaling limits. See docs/design/scaling.md.

#ifndef POMELORING_GATEWAY_SCALING_TASK_H_
#define POMELORING_GATEWAY_SCALING_TASK_H_

#include <deque>
#include <functional>
#include <map>
#include <optional>

#include "daemon/log.h"
#include "gateway/duty_task.h"
#include "gateway/gateway_metrics.h"
#include "gateway/scaling_records.h"
#include "routing/router.h"

namespace pomeloring {

struct ScalingTaskContext {
  const Router& router;
  Log& log;
  GatewayMetrics& metrics;
  std::function<Time()> now;
};

// Must outlive the task that Task() returns.
class ScalingTask {
 public:
  explicit ScalingTask(ScalingTaskContext context, ScalingPolicy policy = {});
  ScalingTask(const ScalingTask&) = delete;
  ScalingTask& operator=(const ScalingTask&) = delete;

  DutyTask Task();
  const ScalingStates& States() const { return m_states; }

 private:
  struct PlannedOrder {
    ScalingInputs inputs;
    ScalingTarget target;
    ScalingOrder order;
  };

  void Reset();
  void Restore(std::string_view snapshot);
  void Replay(std::string_view decision);
  boost::asio::awaitable<void> Run(DutySession& session);
  // Whether the loads of most instances are known.
  bool KnowsLoads(Time now);
  // Returns the valid limits of the service, or its last valid ones.
  std::optional<ScalingLimits> LimitsOf(const RoutedService& service);
  std::vector<PlannedOrder> Plan(Time now);
  // Returns false if no further order may be sent now.
  boost::asio::awaitable<bool> Send(DutySession& session,
                                    const PlannedOrder& planned);
  void LogOrder(const PlannedOrder& planned, const ApiCallResult& result);
  void SetGauges(const ScalingInputs& inputs, const ScalingPlan& plan);

  const ScalingTaskContext m_context;
  const ScalingPolicy m_policy;
  ScalingStates m_states;
  std::map<ServiceName, ScalingLimits> m_valid_limits;
  std::map<ServiceName, LimitsError> m_limits_errors;
  std::optional<Time> m_held_since;
  // Live peers at each run of the last minute.
  std::deque<std::pair<Time, size_t>> m_live_peers;
  std::deque<Time> m_sent_at;  // Orders of the last second.
};

// What the Router knows of a service, as inputs of a plan.
ScalingInputs GatherScalingInputs(const Router& router,
                                  const RoutedService& service,
                                  const ScalingLimits& limits,
                                  Time now);

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_SCALING_TASK_H_
