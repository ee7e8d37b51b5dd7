// Defines the messages that instances send each other about slots.

#ifndef POMELORING_CORE_MESSAGES_H_
#define POMELORING_CORE_MESSAGES_H_

#include <string_view>
#include <variant>
#include <vector>

#include "core/ids.h"

namespace pomeloring {

// Times cross between instances only as durations, since their clocks differ.

enum class DeclineReason {
  kOverloaded,       // The queue is full of equal or higher tiers.
  kTooLate,          // The target can't be met by the estimate.
  kNoUpstream,       // No upstream is in service.
  kNotScheduler,     // The instance asked does not know the cell.
  kAccountLimit,     // The account has too many requests in flight.
  kDependencyDown,   // A service that this one depends on is down.
  kNoScheduler,      // No scheduler answered in time.
  kNotReady,         // The instance has no configuration yet.
  kStopping,         // The instance is stopping.
  kLogUnavailable,   // An opaque key can't be claimed now.
  kKeyTableFull,     // No more idempotency keys can be kept.
  kUpstreamRefused,  // Every upstream tried refused the request.
};

std::string_view ToString(DeclineReason reason);

// Asks a cell's scheduler for a slot. Idempotent by `attempt`: asking again
// renews the place in the queue.
struct SlotRequest {
  AttemptId attempt;
  CellId cell;
  ClassName request_class;
  AccountName account;
  Duration time_left{0};  // Until the latest useful start.
  Duration waited{0};     // Since the caller's request came in.
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

// Takes an ask back, or gives back a grant that was not used.
struct Withdraw {
  AttemptId attempt;
  CellId cell;
};

enum class SlotOutcome { kAnswered, kCancelled, kNotStarted, kFailed };

// Gives a used slot back, with what the entry saw.
struct SlotReport {
  AttemptId attempt;
  CellId cell;
  UpstreamName upstream;
  SlotOutcome outcome = SlotOutcome::kAnswered;
  Duration first_token{0};  // Zero: none came.
  Duration total{0};
  uint32_t tokens = 0;
};

struct RunningCount {
  uint32_t replica = 0;  // Its place among the cell's upstreams.
  uint32_t running = 0;
};

// What an entry runs in a cell: sent from time to time to the scheduler and
// its successor, so that the successor starts warm and lost reports are found.
struct RunningSlots {
  CellId cell;
  uint32_t replicas_hash = 0;  // Of the configuration that gives the places.
  std::vector<RunningCount> counts;
};

// Asks an instance that holds queued asks whether it is still there: one small
// message for all of them.
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
