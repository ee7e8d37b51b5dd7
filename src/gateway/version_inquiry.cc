#include "gateway/version_inquiry.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "link/clock.h"
#include "routing/version_history.h"

namespace pomeloring {
namespace {

namespace asio = boost::asio;

// Also before the first question: by then instances that read the history of
// the registrations after their start have done so.
constexpr Duration kAskInterval = seconds(1);

}  // namespace

VersionInquiry::VersionInquiry(VersionInquiryContext context)
    : m_context(std::move(context)),
      m_random(StableHash(m_context.router.Settings().name.value)) {}

void VersionInquiry::Tick(Time now) {
  const Router& router = m_context.router;
  if (m_is_asking || now < m_due_at || !router.IsReady()) {
    return;
  }
  m_due_at = now + kAskInterval;
  if (m_tracking_since != router.Origins().tracking_since) {
    const bool is_first = !m_tracking_since;
    m_tracking_since = router.Origins().tracking_since;
    m_tracked_from = router.Upstreams().as_of;
    if (is_first) {
      return;
    }
  }
  auto services = UnknownServices(now);
  if (!services.empty()) {
    m_is_asking = true;
    asio::co_spawn(m_context.context, Ask(std::move(services)), asio::detached);
  }
}

std::vector<ServiceName> VersionInquiry::UnknownServices(Time now) const {
  std::vector<ServiceName> unknown;
  for (const auto& [service, unused] :
       StreamLifetimes(*m_context.router.Config())) {
    if (!KnowsAllRecentVersions(m_context.router.Origins(), service, now)) {
      unknown.push_back(service);
    }
  }
  return unknown;
}

// A peer that has not yet read as far as this instance had when it began may
// lack a version that came and went between the two.
asio::awaitable<void> VersionInquiry::Ask(std::vector<ServiceName> services) {
  for (const ServiceName& service : services) {
    const StreamOriginReport report =
        co_await m_context.ask_peers(NextRandom(m_random), service);
    const bool is_complete =
        report.complete_as_of.value > 0 &&
        report.complete_as_of >= m_tracked_from &&
        m_tracking_since == m_context.router.Origins().tracking_since;
    if (!is_complete) {
      continue;
    }
    m_context.router.AdoptVersions(service, report.version_ages, Now());
    CountEvent(m_context.metrics, "versions_adopted");
    m_context.log.Write(
        LogLevel::kInfo, "versions-adopted",
        {{"service", service.value},
         {"versions", std::to_string(report.version_ages.size())},
         {"complete_as_of", std::to_string(report.complete_as_of.value)},
         {"tracked_from", std::to_string(m_tracked_from.value)}});
  }
  if (!UnknownServices(Now()).empty()) {
    co_await m_context.learn_from_log();
  }
  m_is_asking = false;
}

}  // namespace pomeloring
