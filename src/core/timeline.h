// Defines Timeline: a ring buffer of typed events of one instance, with
// timestamps by which the events of all instances merge in causal order.

#ifndef POMELORING_CORE_TIMELINE_H_
#define POMELORING_CORE_TIMELINE_H_

#include <mutex>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// A timestamp of a hybrid logical clock: wall time that is never behind that of
// a received message, and a counter that orders events within a microsecond.
struct HybridTime {
  int64_t micros = 0;  // Since the epoch of Time.
  uint32_t counter = 0;
  auto operator<=>(const HybridTime&) const = default;
};

// Returns the timestamp of an event at `now`, larger than `last` and
// `received`.
HybridTime NextHybridTime(HybridTime last, HybridTime received, Time now);

enum class EventKind {
  kRequestAccepted,
  kKeyDecided,
  kForwarded,
  kSlotRequested,  // A slot request for the first attempt was sent.
  kQueued,
  kGranted,
  kDeclined,
  kWithdrawn,
  kUpstreamStarted,
  kFirstToken,
  kUpstreamEnded,
  kRetried,  // A slot request for a later attempt was sent.
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
  RequestId request;    // Zero if the event concerns no request.
  std::string subject;  // The class, member, upstream or cell concerned.
  std::string detail;   // The reason or the outcome.
};

// Thread-safe. Once full, each new event overwrites the oldest one.
class Timeline {
 public:
  explicit Timeline(size_t capacity);

  // Records an event and returns its timestamp.
  HybridTime Record(EventKind kind,
                    const RequestId& request,
                    std::string_view subject,
                    std::string_view detail,
                    Time now);
  // Advances the clock past the timestamp of a received message.
  void Observe(HybridTime received, Time now);
  // Returns the latest timestamp, to be sent with messages.
  HybridTime Last() const;
  // Returns the events in the buffer, the oldest first.
  std::vector<TimelineEvent> Events() const;

 private:
  mutable std::mutex m_mutex;
  const size_t m_capacity;
  HybridTime m_last;
  size_t m_next = 0;  // Index of the oldest event, once the buffer is full.
  std::vector<TimelineEvent> m_events;
};

}  // namespace pomeloring

#endif  // POMELORING_CORE_TIMELINE_H_
