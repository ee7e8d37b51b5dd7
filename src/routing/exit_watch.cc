#include "routing/exit_watch.h"

#include <algorithm>

namespace pomeloring {
namespace {

// Longer than an upstream that has exited stays registered.
constexpr Duration kBreakRetention = seconds(5);
constexpr Duration kExitRetention = seconds(60);
// Limits memory; more attempts at one process add no evidence.
constexpr size_t kMaxBrokenAttempts = 64;

}  // namespace

void RecordBreak(ExitWatch& watch,
                 const UpstreamRecord& upstream,
                 BrokenAttempt attempt,
                 Time now) {
  auto [entry, is_new] = watch.broken.try_emplace(ProcessIdOf(upstream));
  BrokenProcess& broken = entry->second;
  if (is_new) {
    broken.upstream = upstream.id;
    broken.broken_at = now;
  }
  if (broken.attempts.size() < kMaxBrokenAttempts) {
    broken.attempts.push_back(std::move(attempt));
  }
}

void RecordProbe(ExitWatch& watch, ProcessId process, ProbeResult result) {
  const auto found = watch.broken.find(process);
  if (found == watch.broken.end()) {
    return;
  }
  if (result == ProbeResult::kAccepted) {
    watch.broken.erase(found);
  } else if (result == ProbeResult::kRefused) {
    found->second.is_refusing = true;
  }
}

bool HasExited(const ExitWatch& watch, ProcessId process) {
  return watch.exited.contains(process);
}

bool HasBroken(const ExitWatch& watch, ProcessId process) {
  return watch.broken.contains(process) || watch.exited.contains(process);
}

// A refused connection alone does not show an exit: an instance that is cut off
// may be refused by all upstreams. One that still hears from another is not.
std::vector<ConfirmedExit> TakeConfirmedExits(
    ExitWatch& watch,
    const std::function<bool(ProcessId)>& is_registered,
    const std::function<Time(const UpstreamName&)>& last_byte_of_others,
    Time now) {
  std::vector<ConfirmedExit> exits;
  for (auto& [process, broken] : watch.broken) {
    const bool has_exited =
        watch.exited.contains(process) || !is_registered(process) ||
        (broken.is_refusing &&
         last_byte_of_others(broken.upstream) >= broken.broken_at);
    if (has_exited) {
      watch.exited[process] = now;
      exits.push_back({process, std::move(broken)});
    }
  }
  for (const ConfirmedExit& exit : exits) {
    watch.broken.erase(exit.process);
  }
  std::erase_if(watch.broken, [&](const auto& entry) {
    return now - entry.second.broken_at >= kBreakRetention;
  });
  std::erase_if(watch.exited, [&](const auto& entry) {
    return now - entry.second >= kExitRetention;
  });
  return exits;
}

}  // namespace pomeloring
