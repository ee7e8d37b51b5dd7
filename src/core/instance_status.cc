#include "core/instance.h"

#include <fmt/format.h>

#include <algorithm>

namespace pomeloring {
bool Instance::IsReady() const {
  const auto view = View();
  return view->config.revision.value > 0 && !m_stopping;
}

size_t Instance::InFlight() const {
  size_t in_flight = 0;
  for (const GuardedEntryShard& guarded : m_entries) {
    const std::lock_guard lock(guarded.mutex);
    in_flight += guarded.shard.requests.size();
  }
  const std::lock_guard lock(m_claims_mutex);
  return in_flight + m_awaiting_claim.size();
}

std::optional<ConfigInForce> Instance::ConfigurationInForce() const {
  const std::lock_guard lock(m_config_mutex);
  return m_has_caught_up ? m_history.in_force : std::nullopt;
}

std::optional<PublishOutcome> Instance::FindPublishOutcome(
    const std::string& publish_id) const {
  const std::lock_guard lock(m_config_mutex);
  const auto it = m_history.outcomes.find(publish_id);
  return it == m_history.outcomes.end()
             ? std::nullopt
             : std::optional<PublishOutcome>(it->second);
}

std::vector<Member> Instance::KnownMembers() const {
  const std::lock_guard lock(m_membership_mutex);
  std::vector<Member> members{m_membership.self};
  for (const auto& [name, known] : m_membership.members) {
    members.push_back(known.member);
  }
  return members;
}

std::vector<CellSummary> Instance::Cells(Time now) const {
  const auto view = View();
  std::vector<std::shared_ptr<GuardedCell>> guarded_cells;
  {
    const std::lock_guard lock(m_cells_mutex);
    for (const auto& [id, guarded] : m_cells) {
      guarded_cells.push_back(guarded);
    }
  }
  std::vector<CellSummary> summaries;
  for (const auto& guarded : guarded_cells) {
    const std::lock_guard lock(guarded->mutex);
    CellSummary summary;
    summary.id = guarded->cell.id;
    const auto cell = view->cells.find(summary.id);
    summary.is_scheduler =
        cell != view->cells.end() && !cell->second.schedulers.empty() &&
        cell->second.schedulers.front() == m_settings.self.name;
    for (const auto& [tier, waiting] : guarded->cell.queue.tiers) {
      summary.waiting[tier] = waiting.by_latest_start.size();
    }
    for (const Replica& replica : guarded->cell.replicas) {
      summary.replicas.push_back(
          {replica.upstream.name, Running(replica), replica.limit,
           Duration{static_cast<int64_t>(replica.step_micros)}, replica.leaving,
           now < replica.ejected_until});
    }
    summaries.push_back(std::move(summary));
  }
  return summaries;
}

}  // namespace pomeloring
