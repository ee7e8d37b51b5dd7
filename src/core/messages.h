// Defines the messages about slots that instances send each other.

#ifndef POMELORING_CORE_MESSAGES_H_
#define POMELORING_CORE_MESSAGES_H_

#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Messages carry durations instead of absolute times, since the clocks of
// instances differ.

enum class DeclineReason {
  kOverloaded,       // The queue is full of equal or higher tiers.
  kTooLate,          // By the estimate, the target can't be met.
  kNoUpstream,       // No upstream is in service.
  kNotScheduler,     // The instance does not schedule the cell.
  kAccountLimit,     // The account has too many requests in flight.
  kDependencyDown,   // A service that this one depends on is down.
  kNoScheduler,      // No scheduler answered in time.
  kNotReady,         // The instance has no configuration yet.
  kStopping,         // The instance is stopping.
  kLogUnavailable,   // An opaque key can't be claimed now.
  kKeyTableFull,     // No more idempotency keys can be stored.
  kUpstreamRefused,  // Every upstream tried refused the request.
};

std::string_view ToString(DeclineReason reason);

// Requests a slot from a cell's scheduler. Idempotent by `attempt`: sending it
// again renews the place in the queue.
struct SlotRequest {
  AttemptId attempt;
  CellId cell;
  ClassName request_class;
  AccountName account;
  Duration time_left{0};  // Until the latest useful start.
  Duration waited{0};     // Since the caller's request was received.
  uint64_t prefix_hash = 0;
  std::vector<UpstreamName> excluded;
};

struct Queued {
  AttemptId attempt;
  CellId cell;
};

struct Granted {
  AttemptId attempt;
  CellId cell;
  UpstreamName upstream;
};

struct Declined {
  AttemptId attempt;
  DeclineReason reason = DeclineReason::kOverloaded;
  Duration retry_after{0};
};

// Withdraws a slot request, or returns a grant that was not used.
struct Withdraw {
  AttemptId attempt;
  CellId cell;
};

enum class SlotOutcome { kAnswered, kCancelled, kNotStarted, kFailed };

// Releases a used slot and reports what the entry observed.
struct SlotReport {
  AttemptId attempt;
  CellId cell;
  UpstreamName upstream;
  SlotOutcome outcome = SlotOutcome::kAnswered;
  Duration first_token{0};  // From the start; 0: no token arrived.
  Duration total{0};        // From the start to the end of the attempt.
  uint32_t tokens = 0;      // Delivered by this attempt.
};

struct RunningCount {
  uint32_t replica = 0;  // Index among the cell's upstreams.
  uint32_t running = 0;
};

// The attempts that an entry runs in a cell. Sent periodically to the scheduler
// and its successor, so that the successor starts with the current load and
// lost reports are detected.
struct RunningSlots {
  CellId cell;
  uint32_t replicas_hash = 0;  // Of the upstreams that are indexed.
  std::vector<RunningCount> counts;
};

// Checks that an instance at which slot requests are queued is alive, with one
// small message for all of them.
struct SchedulerProbe {};
struct SchedulerAlive {};

using SlotMessage = std::variant<SlotRequest,
                                 Queued,
                                 Granted,
                                 Declined,
                                 Withdraw,
                                 SlotReport,
                                 RunningSlots,
                                 SchedulerProbe,
                                 SchedulerAlive>;

}  // namespace pomeloring

#endif  // POMELORING_CORE_MESSAGES_H_
