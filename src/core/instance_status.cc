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
  for (const EntrySlot& slot : m_entries) {
    const std::lock_guard lock(slot.mutex);
    in_flight += slot.shard.requests.size();
  }
  const std::lock_guard lock(m_claims_mutex);
  return in_flight + m_claiming.size();
}

std::optional<ConfigInForce> Instance::ConfigurationInForce() const {
  const std::lock_guard lock(m_config_mutex);
  return m_has_caught_up ? m_history.in_force : std::nullopt;
}

std::optional<PublishOutcome> Instance::OutcomeOf(
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
  std::vector<std::shared_ptr<CellSlot>> slots;
  {
    const std::lock_guard lock(m_cells_mutex);
    for (const auto& [id, slot] : m_cells) {
      slots.push_back(slot);
    }
  }
  std::vector<CellSummary> summaries;
  for (const auto& slot : slots) {
    const std::lock_guard lock(slot->mutex);
    CellSummary summary;
    summary.id = slot->cell.id;
    const auto cell = view->cells.find(summary.id);
    summary.is_scheduler =
        cell != view->cells.end() && !cell->second.schedulers.empty() &&
        cell->second.schedulers.front() == m_settings.self.name;
    for (const auto& [tier, waiting] : slot->cell.queue.tiers) {
      summary.waiting[tier] = waiting.by_latest_start.size();
    }
    for (const Replica& replica : slot->cell.replicas) {
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
