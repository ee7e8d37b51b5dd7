#include "core/slots_in_use.h"

#include <algorithm>

namespace pomeloring {
namespace {

// A slot that its entry has not reported for this long is released. Entries
// report every second, but the link may defer a report until the next one, so
// that reports arrive every 2 s at the latest, and one may be lost.
constexpr Duration kReportTimeout = seconds(5);

using KnownGrants = std::vector<std::pair<Time, AttemptId>>;

// Returns the grants of `entry` by replica, the oldest first, in one pass over
// all grants.
std::vector<KnownGrants> GrantsByReplica(const CellState& cell,
                                         const InstanceName& entry) {
  std::vector<KnownGrants> known(cell.replicas.size());
  for (const auto& [attempt, grant] : cell.grants) {
    if (grant.entry == entry) {
      known[grant.replica].emplace_back(grant.granted_at, attempt);
    }
  }
  for (KnownGrants& grants : known) {
    std::sort(grants.begin(), grants.end());
  }
  return known;
}

// Grants that are old enough to have been reported, but were not, were lost in
// transit. Releases the oldest ones.
void ReleaseLostGrants(CellState& cell,
                       const KnownGrants& known,
                       uint32_t reported,
                       Time now) {
  for (size_t k = 0; k + reported < known.size(); ++k) {
    if (now - known[k].first > kReportTimeout) {
      ReleaseGrant(cell, known[k].second);
    }
  }
}

}  // namespace

std::optional<uint32_t> ReplicaIndex(const CellState& cell,
                                     const UpstreamName& name) {
  for (uint32_t i = 0; i < cell.replicas.size(); ++i) {
    if (cell.replicas[i].upstream.name == name) {
      return i;
    }
  }
  return std::nullopt;
}

void ReleaseGrant(CellState& cell, const AttemptId& attempt) {
  const auto it = cell.grants.find(attempt);
  if (it == cell.grants.end()) {
    return;
  }
  uint32_t& granted = cell.replicas[it->second.replica].granted;
  granted -= granted > 0 ? 1 : 0;
  cell.grants.erase(it);
}

void ReleaseInheritedSlot(Replica& replica, const InstanceName& entry) {
  const auto it = replica.inherited.find(entry);
  if (it == replica.inherited.end()) {
    return;
  }
  --it->second;
  if (it->second == 0) {
    replica.inherited.erase(it);
  }
}

void ReconcileRunning(CellState& cell,
                      const InstanceName& entry,
                      const RunningSlots& running,
                      Time now) {
  cell.last_report[entry] = now;
  // The entry and this cell have different configurations, so that the indices
  // refer to other replicas. The report still shows that the entry is alive.
  if (running.replicas_hash != cell.replicas_hash) {
    return;
  }
  const std::vector<KnownGrants> known = GrantsByReplica(cell, entry);
  std::vector<uint32_t> reported(cell.replicas.size(), 0);
  for (const RunningCount& count : running.counts) {
    if (count.replica < reported.size()) {
      reported[count.replica] = count.running;
    }
  }
  for (size_t i = 0; i < cell.replicas.size(); ++i) {
    ReleaseLostGrants(cell, known[i], reported[i], now);
    Replica& replica = cell.replicas[i];
    replica.inherited.erase(entry);
    if (reported[i] > known[i].size()) {
      replica.inherited[entry] =
          reported[i] - static_cast<uint32_t>(known[i].size());
    }
  }
}

// An entry reports its slots in a cell every second, as long as it uses any.
// Without this sweep, a grant that was lost on its way to an entry without
// other slots would never be released.
void ReleaseUnreportedSlots(CellState& cell, Time now) {
  const auto is_silent = [&](const InstanceName& entry) {
    const auto it = cell.last_report.find(entry);
    return it == cell.last_report.end() || now - it->second > kReportTimeout;
  };
  std::vector<AttemptId> lost;
  for (const auto& [attempt, grant] : cell.grants) {
    if (now - grant.granted_at > kReportTimeout && is_silent(grant.entry)) {
      lost.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : lost) {
    ReleaseGrant(cell, attempt);
  }
  for (Replica& replica : cell.replicas) {
    std::erase_if(replica.inherited,
                  [&](const auto& entry) { return is_silent(entry.first); });
  }
}

void ReleaseSlotsOf(CellState& cell, const InstanceName& entry) {
  std::vector<AttemptId> granted;
  for (const auto& [attempt, grant] : cell.grants) {
    if (grant.entry == entry) {
      granted.push_back(attempt);
    }
  }
  for (const AttemptId& attempt : granted) {
    ReleaseGrant(cell, attempt);
  }
  for (Replica& replica : cell.replicas) {
    replica.inherited.erase(entry);
  }
  cell.last_report.erase(entry);
}

}  // namespace pomeloring
