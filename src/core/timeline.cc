#include "core/timeline.h"

#include <algorithm>

namespace pomeloring {

HybridTime NextHybridTime(HybridTime last, HybridTime received, Time now) {
  const HybridTime newest = std::max(last, received);
  const int64_t micros = now.time_since_epoch().count();
  if (micros > newest.micros) {
    return {micros, 0};
  }
  return {newest.micros, newest.counter + 1};
}

std::string_view ToString(EventKind kind) {
  static constexpr std::string_view kNames[] = {
      "request-accepted",
      "key-decided",
      "forwarded",
      "asked",
      "queued",
      "granted",
      "declined",
      "withdrawn",
      "upstream-started",
      "first-token",
      "upstream-ended",
      "retried",
      "request-finished",
      "member-changed",
      "configuration-in-force",
      "log-unavailable",
      "order-sent",
      "order-ended",
      "stopping",
  };
  static_assert(std::size(kNames) ==
                static_cast<size_t>(EventKind::kStopping) + 1);
  return kNames[static_cast<size_t>(kind)];
}

Timeline::Timeline(size_t capacity) : m_capacity(capacity) {}

HybridTime Timeline::Record(EventKind kind,
                            const RequestId& request,
                            std::string_view subject,
                            std::string_view detail,
                            Time now) {
  const std::lock_guard lock(m_mutex);
  m_last = NextHybridTime(m_last, m_last, now);
  TimelineEvent event{m_last, kind, request, std::string(subject),
                      std::string(detail)};
  if (m_events.size() < m_capacity) {
    m_events.push_back(std::move(event));
  } else {
    m_events[m_next] = std::move(event);
    m_next = (m_next + 1) % m_capacity;
  }
  return m_last;
}

void Timeline::Observe(HybridTime received, Time now) {
  const std::lock_guard lock(m_mutex);
  m_last = NextHybridTime(m_last, received, now);
}

HybridTime Timeline::Last() const {
  const std::lock_guard lock(m_mutex);
  return m_last;
}

std::vector<TimelineEvent> Timeline::Events() const {
  const std::lock_guard lock(m_mutex);
  std::vector<TimelineEvent> events = m_events;
  std::rotate(events.begin(), events.begin() + static_cast<ptrdiff_t>(m_next),
              events.end());
  return events;
}

}  // namespace pomeloring
