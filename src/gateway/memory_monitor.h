// Defines MemoryMonitor: drops callers that take nothing while the memory
// budget is exceeded, and reports the budget in the log and the metrics.

#ifndef POMELORING_GATEWAY_MEMORY_MONITOR_H_
#define POMELORING_GATEWAY_MEMORY_MONITOR_H_

#include "gateway/gateway_context.h"

namespace pomeloring {

// Refuses unfinished requests to make room for the body of `asker`, which is to
// have `bytes`. Returns false, and refuses none, if `asker` is to be refused.
bool EndUploadsFor(GatewayContext& gateway,
                   const ClientConnection& asker,
                   uint64_t bytes);

// Does nothing without a memory limit. Used from one thread.
class MemoryMonitor {
 public:
  explicit MemoryMonitor(GatewayContext& gateway);

  // To be called several times a second. `config_bytes` are those of the
  // configuration texts that are kept.
  void Tick(size_t config_bytes, Time now);
  void UpdateGauges();

 private:
  void LogLevelChange();
  void DropCallers(Time now);

  GatewayContext& m_gateway;
  MemoryHold m_config_hold;
  MemoryHold m_log_hold;
  MemoryLevel m_level = MemoryLevel::kNormal;  // As logged last.
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_MEMORY_MONITOR_H_
