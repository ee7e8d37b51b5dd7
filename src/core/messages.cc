#include "core/messages.h"

namespace pomeloring {

std::string_view ToString(DeclineReason reason) {
  switch (reason) {
    case DeclineReason::kOverloaded:
      return "overloaded";
    case DeclineReason::kTooLate:
      return "too-late";
    case DeclineReason::kNoUpstream:
      return "no-upstream";
    case DeclineReason::kNotScheduler:
      return "not-scheduler";
    case DeclineReason::kAccountLimit:
      return "account-limit";
    case DeclineReason::kDependencyDown:
      return "dependency-down";
    case DeclineReason::kNoScheduler:
      return "no-scheduler";
    case DeclineReason::kNotReady:
      return "not-ready";
    case DeclineReason::kStopping:
      return "stopping";
    case DeclineReason::kLogUnavailable:
      return "log-unavailable";
    case DeclineReason::kKeyTableFull:
      return "key-table-full";
    case DeclineReason::kUpstreamRefused:
      return "upstream-refused";
  }
  return "overloaded";
}

}  // namespace pomeloring
