#include "core/instance.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
namespace {

constexpr Duration kDefaultRetryAfter = seconds(1);
// A snapshot is appended after a random delay of up to this, so that one
// instance usually appends it and the others then read it from the log.
constexpr Duration kMaxSnapshotDelay = seconds(10);

RunningSlots MakeRunningSlots(
    const CellView& cell,
    const std::map<UpstreamName, uint32_t>& running_at) {
  RunningSlots running{cell.id, cell.replicas_hash, {}};
  for (uint32_t i = 0; i < cell.upstreams.size(); ++i) {
    const auto count = running_at.find(cell.upstreams[i].name);
    if (count != running_at.end()) {
      running.counts.push_back({i, count->second});
    }
  }
  return running;
}

}  // namespace

Actions Instance::HandleTick(Time now) {
  Actions out;
  MembershipOutput output;
  bool superseded = false;
  {
    const std::lock_guard lock(m_membership_mutex);
    output = TickMembership(m_membership, now);
    superseded = m_membership.superseded;
  }
  if (superseded) {
    out.push_back(StopSuperseded{});
  }
  ApplyMembershipOutput(std::move(output), now, out);
  TickCells(now, out);
  TickEntries(now, out);
  TickClaims(now, out);
  TickSnapshots(now, out);
  TickEngines(now, out);
  ProbeSchedulers(now, out);
  ReportRunning(now, out);
  return DeliverLocally(std::move(out), now);
}

void Instance::TickCells(Time now, Actions& out) {
  const auto view = View();
  std::vector<std::shared_ptr<GuardedCell>> cells;
  {
    const std::lock_guard lock(m_cells_mutex);
    for (const auto& [id, guarded] : m_cells) {
      cells.push_back(guarded);
    }
  }
  for (const auto& guarded : cells) {
    CellReplies replies;
    {
      const std::lock_guard lock(guarded->mutex);
      replies = TickCell(guarded->cell, now);
    }
    SendReplies(std::move(replies), *view, now, out);
  }
}

void Instance::TickEntries(Time now, Actions& out) {
  const auto view = View();
  for (GuardedEntryShard& guarded : m_entries) {
    EntryOutput output;
    {
      const std::lock_guard lock(guarded.mutex);
      output = TickEntry(guarded.shard, *view, now);
    }
    ApplyEntryOutput(std::move(output), now, out);
  }
}

void Instance::TickClaims(Time now, Actions& out) {
  std::vector<CallerRequest> expired;
  {
    const std::lock_guard lock(m_claims_mutex);
    for (const RequestId& id : ExpireClaims(m_claims, now)) {
      const auto it = m_awaiting_claim.find(id);
      if (it != m_awaiting_claim.end()) {
        expired.push_back(it->second);
        m_awaiting_claim.erase(it);
      }
    }
  }
  // Safe to report as not run: a claim that is read back later finds no waiting
  // request and starts nothing.
  for (const CallerRequest& request : expired) {
    FinishUnstarted(request,
                    NotRun{DeclineReason::kLogUnavailable, kDefaultRetryAfter},
                    now, out);
  }
  AppendClaims(out);
}

void Instance::TickSnapshots(Time now, Actions& out) {
  const std::lock_guard lock(m_config_mutex);
  const auto snapshot =
      MakeSnapshotIfDue(m_history, m_settings.log_retention, now);
  if (!snapshot) {
    m_next_snapshot = Time{};
    return;
  }
  if (m_next_snapshot == Time{}) {
    const auto spread = static_cast<uint64_t>(kMaxSnapshotDelay.count());
    m_next_snapshot =
        now + Duration{static_cast<int64_t>(NextRandom(m_random) % spread)};
    return;
  }
  if (now >= m_next_snapshot) {
    m_next_snapshot = now + kMaxSnapshotDelay;
    out.push_back(
        AppendRecord{LogStream::kConfiguration, EncodeConfigRecord(*snapshot)});
  }
}

void Instance::ReportRunning(Time now, Actions& out) {
  if (now < m_next_running_report) {
    return;
  }
  m_next_running_report = now + m_settings.running_report_interval;
  std::map<CellId, std::map<UpstreamName, uint32_t>> counts;
  for (GuardedEntryShard& guarded : m_entries) {
    const std::lock_guard lock(guarded.mutex);
    CountRunning(guarded.shard, counts);
  }
  {
    // Cells that were in the last report but run nothing now are reported once
    // more, with no counts.
    const std::lock_guard lock(m_limits_mutex);
    for (const auto& [id, reported] : m_reported_running) {
      counts[id];
    }
    m_reported_running.clear();
    for (const auto& [id, upstreams] : counts) {
      if (!upstreams.empty()) {
        m_reported_running[id] = true;
      }
    }
  }
  const auto view = View();
  for (const auto& [id, upstreams] : counts) {
    const auto cell = view->cells.find(id);
    if (cell == view->cells.end()) {
      continue;
    }
    const RunningSlots running = MakeRunningSlots(cell->second, upstreams);
    for (const InstanceName& scheduler : cell->second.schedulers) {
      const auto member = view->live.find(scheduler);
      const std::string address =
          member == view->live.end() ? "" : member->second.link_address;
      out.push_back(SendSlotMessage{scheduler, address, running});
    }
  }
}

Actions Instance::HandleStop(Time now) {
  Actions out;
  m_stopping = true;
  m_timeline.Record(EventKind::kStopping, {}, m_settings.self.name.value, "",
                    now);
  MembershipOutput output;
  {
    const std::lock_guard lock(m_membership_mutex);
    output = AdvertiseLeaving(m_membership, now);
  }
  ApplyMembershipOutput(std::move(output), now, out);
  RebuildView(now, out);
  return DeliverLocally(std::move(out), now);
}

}  // namespace pomeloring
