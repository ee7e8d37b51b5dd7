// Defines UsageReports: counts this instance's requests, sends the counts to
// the instances that collect them, and collects those of others.

#ifndef POMELORING_GATEWAY_USAGE_REPORTS_H_
#define POMELORING_GATEWAY_USAGE_REPORTS_H_

#include <functional>
#include <string_view>
#include <vector>

#include "gateway/usage_task.h"

namespace pomeloring {

struct UsageReportsContext {
  UsageTaskContext task;
  // The holder of the duty and the first other candidate, as far as known.
  std::function<std::vector<InstanceName>()> usage_receivers;
  std::function<void(const InstanceName&, std::string_view datagram)> send;
};

// Used from one thread.
class UsageReports {
 public:
  UsageReports(const DutySettings& settings,
               UsageSender self,
               UsageReportsContext context);

  // Counts a request that began to run `ago`.
  void Count(const AccountName& account, Duration ago);
  // Sends what is due. Called many times a second.
  void Tick();
  // Sends all counts, before the process ends.
  void SendAll();
  void HandleDatagram(std::string_view bytes);
  // What the holder of the duty does; valid as long as this object.
  DutyTask MakeTask() { return m_task.MakeTask(); }

 private:
  void Send(const UsageReport& report);

  const UsageReportsContext m_context;
  UsageCounter m_counter;
  UsageTask m_task;
  std::vector<InstanceName> m_receivers;  // Of the last report.
};

}  // namespace pomeloring

#endif  // POMELORING_GATEWAY_USAGE_REPORTS_H_
