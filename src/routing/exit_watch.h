// Defines ExitWatch, which tells the exit of an upstream's process from the
// loss of single connections to it.

#ifndef POMELORING_ROUTING_EXIT_WATCH_H_
#define POMELORING_ROUTING_EXIT_WATCH_H_

#include <functional>
#include <map>
#include <vector>

#include "routing/request_quarantine.h"

namespace pomeloring {

// Attempts that broke at one process, until it is known whether it has exited.
struct BrokenProcess {
  UpstreamName upstream;
  Time broken_at;            // The first of `attempts`.
  bool is_refusing = false;  // Connections to its address are refused.
  std::vector<BrokenAttempt> attempts;
};

struct ExitWatch {
  std::map<ProcessId, BrokenProcess> broken;
  std::map<ProcessId, Time> exited;
};

enum class ProbeResult {
  kAccepted,
  kRefused,
  kUnknown,  // No reply in time.
};

// Records an attempt that broke.
void RecordBreak(ExitWatch& watch,
                 const UpstreamRecord& upstream,
                 BrokenAttempt attempt,
                 Time now);

// Records the result of a connection to the upstream's address after a break.
void RecordProbe(ExitWatch& watch, ProcessId process, ProbeResult result);

// Whether the process is known to have exited.
bool HasExited(const ExitWatch& watch, ProcessId process);

struct ConfirmedExit {
  ProcessId process = 0;
  BrokenProcess broken;
};

// Whether an attempt has broken at the process before.
bool HasBroken(const ExitWatch& watch, ProcessId process);

// Returns the broken processes that have exited, with the attempts that broke
// there, once each. `last_byte_of_others` returns when any upstream but the
// given one last sent a byte.
std::vector<ConfirmedExit> TakeConfirmedExits(
    ExitWatch& watch,
    const std::function<bool(ProcessId)>& is_registered,
    const std::function<Time(const UpstreamName&)>& last_byte_of_others,
    Time now);

}  // namespace pomeloring

#endif  // POMELORING_ROUTING_EXIT_WATCH_H_
