#include "core/instance.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
LogOffset Instance::NextOffset(LogStream stream) const {
  if (stream == LogStream::kClaims) {
    const std::lock_guard lock(m_claims_mutex);
    return m_claims.next_offset;
  }
  const std::lock_guard lock(m_config_mutex);
  return m_history.next_offset;
}

Actions Instance::HandleLogRead(LogStream stream,
                                std::vector<LogRecord> records,
                                LogOffset first_retained,
                                bool is_end,
                                Time now) {
  Actions out;
  if (stream == LogStream::kConfiguration) {
    bool changed = false;
    LogOffset as_of;
    {
      const std::lock_guard lock(m_config_mutex);
      changed =
          ApplyRecords(m_history, std::move(records), first_retained, now);
      changed |= is_end && !m_has_caught_up;
      m_has_caught_up |= is_end;
      as_of = m_history.in_force && m_has_caught_up ? m_history.in_force->as_of
                                                    : LogOffset{};
    }
    {
      const std::lock_guard lock(m_membership_mutex);
      m_membership.config_as_of = std::max(m_membership.config_as_of, as_of);
    }
    if (changed) {
      RebuildView(now, out);
    }
  } else {
    std::vector<std::pair<CallerRequest, Incarnation>> resolved;
    {
      const std::lock_guard lock(m_claims_mutex);
      for (const ResolvedClaim& claim :
           ApplyClaimRecords(m_claims, records, first_retained)) {
        const auto it = m_awaiting_claim.find(claim.request);
        if (it != m_awaiting_claim.end()) {
          resolved.emplace_back(it->second, claim.owner.owner);
          m_awaiting_claim.erase(it);
        }
      }
    }
    for (const auto& [request, owner] : resolved) {
      if (owner == m_settings.self.incarnation) {
        StartOwnedKey(request, now, out);
      } else {
        ForwardToOwner(request, owner, now, out);
      }
    }
  }
  return DeliverLocally(std::move(out), now);
}

Actions Instance::HandleLogReadFailed(LogStream /*stream*/, Time now) {
  m_timeline.Record(EventKind::kLogUnavailable, {}, "read", "", now);
  return {};
}

Actions Instance::HandleAppendEnded(LogStream stream,
                                    bool succeeded,
                                    Time now) {
  Actions out;
  if (!succeeded) {
    m_timeline.Record(EventKind::kLogUnavailable, {}, "append", "", now);
  }
  if (stream == LogStream::kClaims) {
    {
      const std::lock_guard lock(m_claims_mutex);
      EndClaimAppend(m_claims, succeeded);
    }
    // After a failure, the next tick retries.
    if (succeeded) {
      AppendClaims(out);
    }
  }
  return DeliverLocally(std::move(out), now);
}

Actions Instance::HandleInstanceList(
    const std::vector<std::string>& probe_addresses,
    const std::set<UpstreamName>& leaving,
    Time now) {
  Actions out;
  {
    const std::lock_guard lock(m_membership_mutex);
    // The list may be out of date, so it only serves as seeds for membership.
    m_membership.seeds = m_settings.seeds;
    for (const std::string& address : probe_addresses) {
      if (std::find(m_membership.seeds.begin(), m_membership.seeds.end(),
                    address) == m_membership.seeds.end()) {
        m_membership.seeds.push_back(address);
      }
    }
  }
  bool changed = false;
  {
    const std::lock_guard lock(m_view_mutex);
    changed = m_leaving_by_platform != leaving;
    m_leaving_by_platform = leaving;
  }
  if (changed) {
    RebuildView(now, out);
  }
  return DeliverLocally(std::move(out), now);
}

void Instance::RebuildView(Time now, Actions& out) {
  // Drawn before the state is read, so that of two threads, the one with the
  // later generation has seen all changes that the other has.
  const uint64_t generation = ++m_last_view_generation;
  ConfigInForce config;
  {
    const std::lock_guard lock(m_config_mutex);
    if (m_history.in_force && m_has_caught_up) {
      config = *m_history.in_force;
    } else {
      config.configuration = std::make_shared<const Configuration>();
    }
  }
  std::vector<Member> live;
  Member self;
  {
    const std::lock_guard lock(m_membership_mutex);
    live = LiveMembers(m_membership);
    self = m_membership.self;
    m_membership.config_as_of =
        std::max(m_membership.config_as_of, config.as_of);
  }
  std::shared_ptr<const ClusterView> view;
  Revision before;
  {
    const std::lock_guard lock(m_view_mutex);
    before = m_view->config.revision;
    if (generation < m_view->generation) {
      return;
    }
    m_view = BuildClusterView(generation, self, m_stopping, config,
                              m_leaving_by_platform, live);
    view = m_view;
  }
  if (view->config.revision != before) {
    m_timeline.Record(EventKind::kConfigurationInForce, {},
                      std::to_string(view->config.revision.value),
                      fmt::format("offset {}", view->config.as_of.value), now);
  }
  ReconfigureCells(*view, now, out);
  const std::lock_guard lock(m_engines_mutex);
  // Another thread may have applied a later view already.
  if (view->generation >= m_engines_generation) {
    m_engines_generation = view->generation;
    UpdateEngineTable(m_engines, *view, now);
  }
}

void Instance::ReconfigureCells(const ClusterView& view,
                                Time now,
                                Actions& out) {
  std::vector<std::pair<CellId, std::shared_ptr<GuardedCell>>> cells;
  {
    const std::lock_guard lock(m_cells_mutex);
    if (view.generation < m_cells_generation) {
      return;
    }
    m_cells_generation = view.generation;
    cells.assign(m_cells.begin(), m_cells.end());
    std::erase_if(m_cells, [&](const auto& entry) {
      return !view.cells.contains(entry.first);
    });
  }
  for (const auto& [id, guarded] : cells) {
    const auto cell_view = view.cells.find(id);
    CellReplies replies;
    {
      const std::lock_guard lock(guarded->mutex);
      const bool is_scheduler =
          cell_view != view.cells.end() &&
          !cell_view->second.schedulers.empty() &&
          cell_view->second.schedulers.front() == m_settings.self.name;
      if (view.generation < guarded->configured_generation) {
        continue;
      }
      guarded->configured_generation = view.generation;
      if (cell_view != view.cells.end()) {
        ConfigureCell(guarded->cell, *view.config.configuration,
                      cell_view->second.upstreams, view.leaving);
      }
      if (!is_scheduler) {
        replies = ReturnQueue(guarded->cell);
      }
    }
    SendReplies(std::move(replies), view, now, out);
  }
}

}  // namespace pomeloring
