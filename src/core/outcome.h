// Defines Outcome, the final outcome of a request, and AttemptOutcome, the
// result of one attempt at an upstream.

#ifndef POMELORING_CORE_OUTCOME_H_
#define POMELORING_CORE_OUTCOME_H_

#include <memory>
#include <string>
#include <variant>

#include "core/ids.h"
#include "core/messages.h"

namespace pomeloring {

// An answer that is stored, so that a repeated request gets it again.
struct KeptAnswer {
  uint32_t status = 200;
  std::string content_type;
  std::string body;
};

// The whole answer was delivered to the caller.
struct Answered {};

// The request was not run and never will be. The caller may retry it.
struct NotRun {
  DeclineReason reason = DeclineReason::kOverloaded;
  Duration retry_after{0};
};

enum class UnknownReason {
  kUpstreamLost,        // The upstream was lost after it may have started.
  kOwnerLost,           // The instance that the key is bound to is lost.
  kOwnerUnreachable,    // That instance is live, but did not answer.
  kNoAnswerKept,        // The request ran, but its answer was too large.
  kCallerDisconnected,  // The caller closed its connection.
  kRetriesSpent,        // The retry budget or the time left is used up.
};

std::string_view ToString(UnknownReason reason);

// The request may have run. It is not retried.
struct OutcomeUnknown {
  UnknownReason reason = UnknownReason::kUpstreamLost;
};

// The request ran before, with this answer.
struct Replayed {
  std::shared_ptr<const KeptAnswer> answer;
};

// Another request with the same key is running.
struct KeyInProgress {
  Duration retry_after{0};
};

// The key was already used with another body.
struct KeyReused {};

using Outcome = std::variant<Answered,
                             NotRun,
                             OutcomeUnknown,
                             Replayed,
                             KeyInProgress,
                             KeyReused>;

// Returns the outcome's name in lower case with hyphens.
std::string_view TypeName(const Outcome& outcome);

// The upstream returned the whole answer.
struct AttemptAnswered {
  std::shared_ptr<const KeptAnswer> kept;  // Null unless it is to be stored.
};
// Provably not started: no byte left this instance, or the upstream refused the
// request.
struct AttemptNotStarted {};
// The attempt may have started and may still be running.
struct AttemptUnknown {};

using AttemptOutcome =
    std::variant<AttemptAnswered, AttemptNotStarted, AttemptUnknown>;

}  // namespace pomeloring

#endif  // POMELORING_CORE_OUTCOME_H_
