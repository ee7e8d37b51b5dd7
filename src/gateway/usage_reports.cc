#include "gateway/usage_reports.h"

#include <algorithm>

#include "duties/usage_codec.h"

namespace pomeloring {

UsageReports::UsageReports(const DutySettings& settings,
                           UsageSender self,
                           UsageReportsContext context)
    : m_context(std::move(context)), m_task(settings, m_context.task) {
  m_counter.self = std::move(self);
  m_counter.window_length = settings.usage_window;
  m_counter.counting_since = m_context.task.now();
}

void UsageReports::Count(const AccountName& account, Duration ago) {
  CountRequest(m_counter, account, m_context.task.now() - ago);
  CountEvent(m_context.task.metrics, "usage_requests");
}

// A receiver that is new in the list, or is listed again after a gap, may have
// lost what was sent before.
void UsageReports::Tick() {
  const Time now = m_context.task.now();
  std::vector<InstanceName> receivers = m_context.usage_receivers();
  const bool has_new_receiver = std::any_of(
      receivers.begin(), receivers.end(), [this](const InstanceName& name) {
        return std::find(m_receivers.begin(), m_receivers.end(), name) ==
               m_receivers.end();
      });
  m_receivers = std::move(receivers);
  if (has_new_receiver) {
    ResendAll(m_counter);
  }
  if (auto report = TakeReport(m_counter, now)) {
    m_task.AddDecisions(*report);
    Send(*report);
  }
}

void UsageReports::SendAll() {
  ResendAll(m_counter);
  Tick();
}

void UsageReports::Send(const UsageReport& report) {
  std::vector<std::string> datagrams;
  for (const InstanceName& receiver : m_receivers) {
    if (receiver == m_counter.self.name) {
      m_task.Merge(report);
      continue;
    }
    if (datagrams.empty()) {
      datagrams = EncodeUsageReport(report);
    }
    for (const std::string& datagram : datagrams) {
      m_context.send(receiver, datagram);
      CountEvent(m_context.task.metrics, "usage_datagrams_sent");
    }
  }
}

void UsageReports::HandleDatagram(std::string_view bytes) {
  if (const auto report = DecodeUsageReport(bytes)) {
    m_task.Merge(*report);
  } else {
    CountEvent(m_context.task.metrics, "usage_datagrams_unreadable");
  }
}

}  // namespace pomeloring
