// Defines Timeline: a bounded ring of typed events of one instance, stamped so
// that the rings of all instances merge in causal order.

#ifndef POMELORING_CORE_TIMELINE_H_
#define POMELORING_CORE_TIMELINE_H_

#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// A hybrid logical clock's reading: wall time that never runs behind a message
// that was received, and a counter for events within one microsecond.
struct HybridTime {
  int64_t micros = 0;
  uint32_t counter = 0;
  auto operator<=>(const HybridTime&) const = default;
};

// Returns the stamp of an event at `now` that follows `last` and `received`.
HybridTime NextHybridTime(HybridTime last, HybridTime received, Time now);

enum class EventKind {
  kRequestAccepted,
  kKeyDecided,
  kForwarded,
  kAsked,
  kQueued,
  kGranted,
  kDeclined,
  kWithdrawn,
  kUpstreamStarted,
  kFirstToken,
  kUpstreamEnded,
  kRetried,
  kRequestFinished,
  kMemberChanged,
  kConfigurationInForce,
  kLogUnavailable,
  kOrderSent,
  kOrderEnded,
  kStopping,
};

std::string_view ToString(EventKind kind);

struct TimelineEvent {
  HybridTime time;
  EventKind kind = EventKind::kRequestAccepted;
  RequestId request;    // Zero where no request is concerned.
  std::string subject;  // The class, member, upstream or cell concerned.
  std::string detail;   // The reason or the outcome.
};

// Safe to use from several threads.
class Timeline {
 public:
  explicit Timeline(size_t capacity);

  // Records an event and returns its stamp, to be sent with messages.
  HybridTime Record(EventKind kind,
                    const RequestId& request,
                    std::string_view subject,
                    std::string_view detail,
                    Time now);
  // Takes in the stamp of a message from another instance.
  void Observe(HybridTime received, Time now);
  HybridTime Last() const;
  // Returns the events kept, the oldest first.
  std::vector<TimelineEvent> Events() const;

 private:
  mutable std::mutex m_mutex;
  const size_t m_capacity;
  HybridTime m_last;
  size_t m_next = 0;
  std::vector<TimelineEvent> m_events;
};

}  // namespace pomeloring

#endif  // POMELORING_CORE_TIMELINE_H_
